//! Guard against a checker that passes bad histories or rejects good ones.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use oleanderpass_history::check::Requirement;
use oleanderpass_history::check::Requirement::R1;
use oleanderpass_history::check::Requirement::R2;
use oleanderpass_history::check::Requirement::R3;
use oleanderpass_history::check::Requirement::R4;
use oleanderpass_history::check::Requirement::R5;
use oleanderpass_history::check::Requirement::R6;
use oleanderpass_history::check::Requirement::R7;
use oleanderpass_history::check::Requirement::R8;
use oleanderpass_history::check::check;
use oleanderpass_history::record::CallNumber;
use oleanderpass_history::record::History;
use oleanderpass_history::record::Impairment;
use oleanderpass_history::record::Life;
use oleanderpass_history::record::Operation;
use oleanderpass_history::record::Record;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::Generation;
use oleanderpass_types::outcome::Outcome;
use oleanderpass_types::outcome::Outcome::Failed;
use oleanderpass_types::outcome::Outcome::NotRun;
use oleanderpass_types::outcome::Outcome::Unknown;
use test_case::test_case;

fn life() -> Life {
    Life {
        instance: "entry-1".parse().unwrap(),
        start: 1,
    }
}

fn server() -> BackendServerId {
    "engine-1".parse().unwrap()
}

fn invoke(call: u64, operation: u64, once: bool) -> Record {
    Record::Invoke {
        call: CallNumber(call),
        operation: Operation(operation),
        once,
        at: life(),
        deadline: Timestamp::from_millis(20_000),
        expected: "abc".into(),
    }
}

fn read(call: u64, deadline: u64) -> Record {
    Record::Read {
        call: CallNumber(call),
        deadline: Timestamp::from_millis(deadline),
    }
}

fn start(call: u64, operation: u64, dispatched: u64) -> Record {
    Record::Start {
        call: CallNumber(call),
        operation: Operation(operation),
        server: server(),
        dispatched: Timestamp::from_millis(dispatched),
    }
}

fn answer(call: u64, outcome: Outcome, text: &str) -> Record {
    Record::Answer {
        call: CallNumber(call),
        outcome,
        text: text.into(),
        generation: Generation::new(1),
    }
}

fn dispatch(call: u64) -> Record {
    Record::Dispatch {
        call: CallNumber(call),
        server: server(),
        by: life(),
    }
}

fn in_force(generation: u64, digest: u8) -> Record {
    Record::InForce {
        at: life(),
        generation: Generation::new(generation),
        digest: Digest([digest; 32]),
    }
}

fn peer() -> Life {
    Life {
        instance: "entry-2".parse().unwrap(),
        start: 1,
    }
}

fn hold(taken: bool) -> Record {
    let (server, hold) = (server(), "h".into());
    if taken {
        Record::HoldTaken { server, hold }
    } else {
        Record::HoldReleased { server, hold }
    }
}

fn cut(impairment: Impairment) -> Record {
    let at = life();
    Record::FaultBegins { at, impairment }
}

fn end() -> (u64, Record) {
    let memory = Record::MemoryAtEnd {
        server: server(),
        used: 0,
    };
    (60_000, memory)
}

fn ok(call: u64) -> Record {
    answer(call, Outcome::Completed, "abc")
}

#[test_case(vec![(0, invoke(1, 1, true)), (5, start(1, 1, 4)), (9, ok(1))], None; "a completed call")]
#[test_case(vec![(0, invoke(1, 1, false)), (20_200, ok(1))], None; "an answer within the slack")]
#[test_case(vec![(0, invoke(1, 1, false)), (20_201, ok(1))], Some(R1); "a late answer")]
#[test_case(vec![(0, invoke(1, 1, false))], Some(R1); "no answer")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, ok(1)), (9, ok(1))], Some(R1); "two answers")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, Record::CallerGone(CallNumber(1)))], None; "a caller that left")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, Record::FaultBegins { at: life(), impairment: Impairment::Paused }), (30_000, Record::FaultEnds { at: life(), impairment: Impairment::Paused }), (30_200, answer(1, Unknown, ""))], None; "a paused instance answers when it wakes")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, Record::FaultBegins { at: life(), impairment: Impairment::CutFromPeers }), (30_000, Record::FaultEnds { at: life(), impairment: Impairment::CutFromPeers }), (31_000, ok(1))], Some(R1); "a cut instance still ends its calls in time")]
#[test_case(vec![(0, invoke(1, 1, false)), (201, read(1, 9_000)), (8_000, ok(1))], Some(R1); "read late without a pause")]
#[test_case(vec![(0, invoke(1, 1, false)), (10, read(1, 9_000)), (9_201, ok(1))], Some(R1); "late after the reading")]
#[test_case(vec![(0, Record::FaultBegins { at: life(), impairment: Impairment::Paused }), (1, invoke(1, 1, false)), (5_000, Record::FaultEnds { at: life(), impairment: Impairment::Paused }), (5_001, read(1, 25_000)), (25_200, ok(1))], None; "read after a pause")]
#[test_case(vec![(0, hold(true))], Some(R2); "a hold is left")]
#[test_case(vec![(0, hold(true)), (1, hold(false))], None; "a released hold")]
#[test_case(vec![(0, hold(true)), (1, Record::ServerCrashed(server()))], None; "a crash empties memory")]
#[test_case(vec![(0, Record::MemoryAtEnd { server: server(), used: 1 })], Some(R2); "memory without a hold")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, answer(1, Outcome::Completed, "ab"))], Some(R3); "a cut answer that says completed")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, answer(1, Outcome::Completed, "abd"))], Some(R3); "an answer of another call")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, answer(1, Failed, "x"))], Some(R3); "a foreign part of an answer")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, answer(1, Failed, "a"))], None; "a part of the own answer")]
#[test_case(vec![(0, invoke(1, 1, false)), (5, start(1, 1, 4)), (9, answer(1, NotRun, ""))], Some(R4); "it ran")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, answer(1, NotRun, "")), (12, start(1, 1, 8))], Some(R4); "it runs later from bytes sent before")]
#[test_case(vec![(0, invoke(1, 1, true)), (5, start(1, 1, 4)), (6, ok(1)), (7, invoke(2, 1, true)), (9, answer(2, NotRun, ""))], Some(R4); "an earlier call of the ticket ran")]
#[test_case(vec![(0, invoke(1, 1, true)), (5, answer(1, NotRun, "")), (7, invoke(2, 1, true)), (9, start(2, 1, 8)), (10, ok(2))], None; "not run then run")]
#[test_case(vec![(0, invoke(1, 1, true)), (5, start(1, 1, 4)), (6, start(1, 1, 5)), (9, ok(1))], Some(R5); "a doubled charge")]
#[test_case(vec![(0, invoke(1, 1, true)), (0, invoke(2, 1, true)), (5, start(1, 1, 4)), (6, start(2, 1, 5)), (9, ok(1)), (9, ok(2))], Some(R5); "a doubled charge by a resend")]
#[test_case(vec![(0, invoke(1, 1, false)), (5, start(1, 1, 4)), (6, start(1, 1, 5)), (9, ok(1))], None; "a retried question")]
#[test_case(vec![(0, Record::ServerLeaving(server())), (3_000, dispatch(1))], None; "work within the limit")]
#[test_case(vec![(0, Record::ServerLeaving(server())), (3_001, dispatch(1))], Some(R6); "work to a leaving server")]
#[test_case(vec![(0, Record::ServerLeaving(server())), (1, cut(Impairment::CutFromPeers)), (3_001, dispatch(1))], Some(R6); "work to a leaving server beside a cut from peers")]
#[test_case(vec![(0, Record::ServerLeaving(server())), (1, cut(Impairment::CutFromServer(server()))), (3_001, dispatch(1))], None; "work to a leaving server that can't be reached")]
#[test_case(vec![(0, Record::ServerLeaving(server())), (100, Record::ServerCrashed(server())), (9_000, dispatch(1))], None; "work to the next incarnation")]
#[test_case(vec![(0, invoke(1, 1, false)), (5, Record::Exit(life())), (6, Record::ConnectionLost(CallNumber(1)))], Some(R7); "a planned stop cuts a call")]
#[test_case(vec![(0, invoke(1, 1, false)), (5, ok(1)), (6, Record::Exit(life()))], None; "a planned stop after the answer")]
#[test_case(vec![(0, invoke(1, 1, false)), (5, Record::Killed(life())), (6, Record::ConnectionLost(CallNumber(1)))], None; "a kill cuts a call")]
#[test_case(vec![(0, in_force(2, 1)), (5, in_force(1, 1))], Some(R8); "an older generation")]
#[test_case(vec![(0, in_force(2, 2)), (5, in_force(2, 1))], Some(R8); "a lower digest of one generation")]
#[test_case(vec![(0, Record::Started(peer())), (5, in_force(2, 1))], Some(R8); "a promotion that misses an instance")]
#[test_case(vec![(0, Record::Started(peer())), (5, in_force(2, 1)), (900, Record::Killed(peer()))], None; "a promotion and a killed instance")]
#[test_case(vec![(0, Record::Started(peer())), (5, in_force(2, 1)), (6, Record::FaultBegins { at: peer(), impairment: Impairment::CutFromPeers })], None; "a promotion and a cut instance")]
fn each_requirement_is_checked(records: Vec<(u64, Record)>, broken: Option<Requirement>) {
    let mut history = History::default();
    for (at, record) in records.into_iter().chain([end()]) {
        history.push(Timestamp::from_millis(at), record);
    }
    let found = check(&history);
    let requirements: Vec<Requirement> = found.iter().map(|found| found.requirement).collect();
    assert_eq!(requirements.first().copied(), broken, "{found:?}");
    assert!(requirements.iter().all(|r| Some(*r) == broken), "{found:?}");
}
