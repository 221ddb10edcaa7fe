//! Guard against a check that accepts histories with a violation or rejects histories without one.

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
use oleanderpass_history::record::InstanceProcess;
use oleanderpass_history::record::OperationNumber;
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

fn process() -> InstanceProcess {
    InstanceProcess {
        instance: "entry-1".parse().unwrap(),
        start_number: 1,
    }
}

fn server() -> BackendServerId {
    "engine-1".parse().unwrap()
}

fn invoke(call: u64, operation: u64, non_idempotent: bool) -> Record {
    Record::Invoke {
        call: CallNumber(call),
        operation: OperationNumber(operation),
        non_idempotent,
        process: process(),
        deadline: Timestamp::from_millis(20_000),
        expected: "abc".into(),
    }
}

fn request_read(call: u64, deadline: u64) -> Record {
    Record::Read {
        call: CallNumber(call),
        deadline: Timestamp::from_millis(deadline),
    }
}

fn execution_started(call: u64, operation: u64, arrived_at: u64) -> Record {
    Record::ExecutionStarted {
        call: CallNumber(call),
        operation: OperationNumber(operation),
        server: server(),
        arrived_at: Timestamp::from_millis(arrived_at),
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

fn request_arrived(call: u64) -> Record {
    Record::RequestArrived {
        call: CallNumber(call),
        server: server(),
        sender: process(),
    }
}

fn in_force(generation: u64, digest: u8) -> Record {
    Record::InForce {
        process: process(),
        generation: Generation::new(generation),
        digest: Digest([digest; 32]),
    }
}

fn peer_process() -> InstanceProcess {
    InstanceProcess {
        instance: "entry-2".parse().unwrap(),
        start_number: 1,
    }
}

fn hold(granted: bool) -> Record {
    let (server, hold) = (server(), "h".into());
    if granted {
        Record::HoldGranted { server, hold }
    } else {
        Record::HoldReleased { server, hold }
    }
}

fn fault_begins(impairment: Impairment) -> Record {
    let process = process();
    Record::FaultBegins {
        process,
        impairment,
    }
}

fn memory_at_end() -> (u64, Record) {
    let memory = Record::MemoryAtEnd {
        server: server(),
        used_tokens: 0,
    };
    (60_000, memory)
}

fn completed(call: u64) -> Record {
    answer(call, Outcome::Completed, "abc")
}

#[test_case(vec![(0, invoke(1, 1, true)), (5, execution_started(1, 1, 4)), (9, completed(1))], None; "a completed call")]
#[test_case(vec![(0, invoke(1, 1, false)), (20_200, completed(1))], None; "an answer within the slack")]
#[test_case(vec![(0, invoke(1, 1, false)), (20_201, completed(1))], Some(R1); "a late answer")]
#[test_case(vec![(0, invoke(1, 1, false))], Some(R1); "no answer")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, completed(1)), (9, completed(1))], Some(R1); "two answers")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, Record::CallerGone(CallNumber(1)))], None; "a caller that closed the connection")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, Record::FaultBegins { process: process(), impairment: Impairment::Paused }), (30_000, Record::FaultEnds { process: process(), impairment: Impairment::Paused }), (30_200, answer(1, Unknown, ""))], None; "a paused instance answers after the pause")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, Record::FaultBegins { process: process(), impairment: Impairment::CutFromPeers }), (30_000, Record::FaultEnds { process: process(), impairment: Impairment::CutFromPeers }), (31_000, completed(1))], Some(R1); "a cut instance still ends its calls in time")]
#[test_case(vec![(0, invoke(1, 1, false)), (201, request_read(1, 9_000)), (8_000, completed(1))], Some(R1); "a late read without a pause")]
#[test_case(vec![(0, invoke(1, 1, false)), (10, request_read(1, 9_000)), (9_201, completed(1))], Some(R1); "a late answer counted from the read")]
#[test_case(vec![(0, Record::FaultBegins { process: process(), impairment: Impairment::Paused }), (1, invoke(1, 1, false)), (5_000, Record::FaultEnds { process: process(), impairment: Impairment::Paused }), (5_001, request_read(1, 25_000)), (25_200, completed(1))], None; "a read after a pause")]
#[test_case(vec![(0, hold(true))], Some(R2); "a hold that is not released")]
#[test_case(vec![(0, hold(true)), (1, hold(false))], None; "a released hold")]
#[test_case(vec![(0, hold(true)), (1, Record::ServerCrashed(server()))], None; "a crash frees the memory")]
#[test_case(vec![(0, Record::MemoryAtEnd { server: server(), used_tokens: 1 })], Some(R2); "memory without a hold")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, answer(1, Outcome::Completed, "ab"))], Some(R3); "a partial answer that is completed")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, answer(1, Outcome::Completed, "abd"))], Some(R3); "an answer of another call")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, answer(1, Failed, "x"))], Some(R3); "a failed answer with the text of another answer")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, answer(1, Failed, "a"))], None; "a failed answer with a prefix of the own answer")]
#[test_case(vec![(0, invoke(1, 1, false)), (5, execution_started(1, 1, 4)), (9, answer(1, NotRun, ""))], Some(R4); "not run but started before")]
#[test_case(vec![(0, invoke(1, 1, false)), (9, answer(1, NotRun, "")), (12, execution_started(1, 1, 8))], Some(R4); "not run but started later from bytes that arrived before")]
#[test_case(vec![(0, invoke(1, 1, true)), (5, execution_started(1, 1, 4)), (6, completed(1)), (7, invoke(2, 1, true)), (9, answer(2, NotRun, ""))], Some(R4); "not run but an earlier call of the operation started")]
#[test_case(vec![(0, invoke(1, 1, true)), (5, answer(1, NotRun, "")), (7, invoke(2, 1, true)), (9, execution_started(2, 1, 8)), (10, completed(2))], None; "not run and then started by a resend")]
#[test_case(vec![(0, invoke(1, 1, true)), (5, execution_started(1, 1, 4)), (6, execution_started(1, 1, 5)), (9, completed(1))], Some(R5); "a non idempotent operation that starts twice")]
#[test_case(vec![(0, invoke(1, 1, true)), (0, invoke(2, 1, true)), (5, execution_started(1, 1, 4)), (6, execution_started(2, 1, 5)), (9, completed(1)), (9, completed(2))], Some(R5); "a non idempotent operation that starts again by a resend")]
#[test_case(vec![(0, invoke(1, 1, false)), (5, execution_started(1, 1, 4)), (6, execution_started(1, 1, 5)), (9, completed(1))], None; "an idempotent operation that starts twice")]
#[test_case(vec![(0, Record::ServerLeaving(server())), (3_000, request_arrived(1))], None; "a request to a leaving server within the limit")]
#[test_case(vec![(0, Record::ServerLeaving(server())), (3_001, request_arrived(1))], Some(R6); "a request to a leaving server after the limit")]
#[test_case(vec![(0, Record::ServerLeaving(server())), (1, fault_begins(Impairment::CutFromPeers)), (3_001, request_arrived(1))], Some(R6); "a late request to a leaving server during a cut from peers")]
#[test_case(vec![(0, Record::ServerLeaving(server())), (1, fault_begins(Impairment::CutFromServer(server()))), (3_001, request_arrived(1))], None; "a late request to a leaving server that is cut off")]
#[test_case(vec![(0, Record::ServerLeaving(server())), (100, Record::ServerCrashed(server())), (9_000, request_arrived(1))], None; "a request to the next incarnation of a server")]
#[test_case(vec![(0, invoke(1, 1, false)), (5, Record::InstanceExited(process())), (6, Record::ConnectionLost(CallNumber(1)))], Some(R7); "a planned stop that interrupts a call")]
#[test_case(vec![(0, invoke(1, 1, false)), (5, completed(1)), (6, Record::InstanceExited(process()))], None; "a planned stop after the answer")]
#[test_case(vec![(0, invoke(1, 1, false)), (5, Record::InstanceKilled(process())), (6, Record::ConnectionLost(CallNumber(1)))], None; "a kill that interrupts a call")]
#[test_case(vec![(0, in_force(2, 1)), (5, in_force(1, 1))], Some(R8); "a revert to an older generation")]
#[test_case(vec![(0, in_force(2, 2)), (5, in_force(2, 1))], Some(R8); "a revert to a lower digest of the same generation")]
#[test_case(vec![(0, Record::InstanceStarted(peer_process())), (5, in_force(2, 1))], Some(R8); "a promotion that misses an instance")]
#[test_case(vec![(0, Record::InstanceStarted(peer_process())), (5, in_force(2, 1)), (900, Record::InstanceKilled(peer_process()))], None; "a promotion that misses a killed instance")]
#[test_case(vec![(0, Record::InstanceStarted(peer_process())), (5, in_force(2, 1)), (6, Record::FaultBegins { process: peer_process(), impairment: Impairment::CutFromPeers })], None; "a promotion that misses an instance cut from its peers")]
fn each_requirement_is_checked(records: Vec<(u64, Record)>, violated: Option<Requirement>) {
    let mut history = History::default();
    for (at, record) in records.into_iter().chain([memory_at_end()]) {
        history.push(Timestamp::from_millis(at), record);
    }
    let violations = check(&history);
    let requirements: Vec<Requirement> = violations
        .iter()
        .map(|violation| violation.requirement)
        .collect();
    assert_eq!(requirements.first().copied(), violated, "{violations:?}");
    assert!(
        requirements.iter().all(|r| Some(*r) == violated),
        "{violations:?}"
    );
}
