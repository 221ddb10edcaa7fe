//! Guard against instances that act on outdated information when their peers have newer, and
//! against limits and tickets that fail when several instances share them.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::DOCUMENT;
use common::TestBed;
use common::broken;
use common::document;
use common::fleet::Fleet;
use common::load_report;
use common::model_target;
use oleanderpass_core::action::Action;
use oleanderpass_core::event::AttemptEnd;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::Lifecycle;
use oleanderpass_core::event::Observation;
use oleanderpass_core::event::Refusal;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::outcome::Outcome;
use test_case::test_case;

/// Return the event that reports [`DOCUMENT`], with this generation, as read from the platform.
fn document_event(generation: u64) -> Event {
    let text = DOCUMENT.replace("generation: 1", &format!("generation: {generation}"));
    Event::Document(document(&text))
}

/// Start a fleet whose instances are all members of each other's view and serve generation 1.
fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count, &["e1", "e2"], &["w1", "w2"]);
    for bed in &mut fleet.beds {
        bed.event(document_event(1));
    }
    fleet.advance(15_000);
    assert!(fleet.beds.iter().all(|bed| bed.instance.is_ready()));
    for bed in &fleet.beds {
        let peers = bed.instance.membership().unwrap().live_members().count();
        assert_eq!(peers, count - 1);
    }
    fleet
}

/// Advance until a condition is met and return the milliseconds that it took.
fn time_until(fleet: &mut Fleet, limit_ms: u64, is_met: impl Fn(&Fleet) -> bool) -> u64 {
    for passed_ms in (0..limit_ms).step_by(100) {
        if is_met(fleet) {
            return passed_ms;
        }
        fleet.advance(100);
    }
    panic!("the condition is not met after {limit_ms} ms");
}

/// Guards against a document that one instance read and that isn't in force at all instances within
/// 8 s.
#[test]
fn a_document_read_by_one_instance_comes_into_force_at_all_instances() {
    let mut fleet = fleet(7);
    fleet.beds[3].event(document_event(2));
    let all = |fleet: &Fleet| fleet.generations() == [2; 7];
    let time = time_until(&mut fleet, 8_000, all);
    println!("in force at all 7 instances after {time} ms");
}

/// Guards against an instance that reads an old document from a stale platform at its start and
/// serves it, or reverts the fleet to it.
#[test]
fn a_new_instance_serves_what_its_peers_have_in_force() {
    let mut fleet = fleet(3);
    fleet.beds[0].event(document_event(2));
    fleet.advance(8_000);
    fleet.replace(2, 2);
    fleet.beds[2].event(document_event(1));
    for _ in 0..100 {
        fleet.advance(100);
        let bed = &fleet.beds[2];
        assert!(!bed.instance.is_ready() || bed.instance.generation().get() == 2);
    }
    assert!(fleet.beds[2].instance.is_ready());
    assert_eq!(fleet.generations(), [2; 3]);
}

/// Guards against requests that are admitted under a document that may be outdated.
#[test]
fn an_instance_that_is_not_ready_refuses_requests() {
    let mut bed = TestBed::without_document("entry-1", 1);
    bed.event(document_event(1));
    let id = bed.generate();
    assert_eq!(bed.answer_of(&id), Some((Outcome::NotRun, 503)));
}

/// Guards against new work for a leaving server from instances that it has not refused yet.
#[test]
fn a_leaving_server_is_marked_at_all_instances_within_3_s() {
    let mut fleet = fleet(7);
    // While `e2` is leaving, the request below is sent to `e1`.
    for bed in &mut fleet.beds {
        bed.event(Event::LoadReport(load_report("e1", 5, Lifecycle::Live)));
        bed.event(Event::LoadReport(load_report("e2", 5, Lifecycle::Leaving)));
    }
    let id = fleet.beds[0].generate();
    let start = fleet.beds[0].only_start(&id);
    fleet.beds[0].end(&start, AttemptEnd::Refused(Refusal::Leaving));
    let e1: BackendServerId = "e1".parse().unwrap();
    let is_marked = |bed: &TestBed| !bed.instance.servers()[&e1].is_live();
    let time = time_until(&mut fleet, 3_000, |fleet| fleet.beds.iter().all(is_marked));
    println!("marked as leaving at all 7 instances after {time} ms");
}

/// Guards against a request that crashes servers again when it is sent to another instance.
#[test]
fn crash_evidence_reaches_all_instances() {
    let mut fleet = fleet(7);
    let mut new = fleet.beds[0].request(model_target());
    new.body_hash = 666;
    let id = fleet.beds[0].send(new);
    let start = fleet.beds[0].only_start(&id);
    fleet.beds[0].end(&start, broken(false));
    fleet.beds[0].event(Event::ObserveFailed {
        server: start.server,
        observation: Observation::Load,
        cause: "connection refused".into(),
    });
    let has_suspect = |bed: &TestBed| bed.instance.quarantine().suspect_count() == 1;
    let time = time_until(&mut fleet, 10_000, |fleet| {
        fleet.beds.iter().all(has_suspect)
    });
    println!("suspected at all 7 instances after {time} ms");
}

/// Guards against a caller that waits until its deadline for an instance that is gone, against a
/// forward to its next incarnation, which doesn't own the ticket, and against a run at the instance
/// that received the request.
#[test_case(false, "before"; "dead before the resend")]
#[test_case(false, "after"; "dead after the forward")]
#[test_case(true, "before"; "replaced before the resend")]
#[test_case(true, "after"; "replaced after the forward")]
fn the_outcome_is_unknown_when_the_owner_of_the_ticket_is_gone(replaced: bool, when: &str) {
    let mut fleet = fleet(3);
    let ticket = fleet.beds[0].issue_ticket("charge");
    let mut id = None;
    if when == "after" {
        id = Some(fleet.beds[1].call("charge", Some(&ticket)));
        let forwarded = |action: &Action| matches!(action, Action::Forward { .. });
        assert!(fleet.beds[1].actions.iter().any(forwarded));
    }
    if replaced {
        fleet.replace(0, 2);
    } else {
        fleet.cut_off.insert(0);
    }
    fleet.advance(12_000);
    let id = id.unwrap_or_else(|| fleet.beds[1].call("charge", Some(&ticket)));
    assert_eq!(fleet.beds[1].answer_of(&id), Some((Outcome::Unknown, 502)));
    assert!(fleet.beds[1].starts().is_empty());
}

/// Guards against an organisation that can use its whole limit at each instance, and against one
/// that gets only a small part of it because the load balancer distributes unevenly.
#[test]
fn a_limit_holds_over_the_fleet_under_uneven_load() {
    let mut fleet = fleet(3);
    let limited = DOCUMENT.replace("generation: 1", "generation: 2").replace(
        "    class: large\n",
        "    class: large\n    limits: {requests_per_s: 30}\n",
    );
    // If the document had a zone without instances, the instances would act as the minority side
    // of a partition.
    let limited = limited.replace("zones: [north, south]", "zones: [north]");
    fleet.beds[0].event(Event::Document(document(&limited)));
    fleet.advance(15_000);
    let mut admitted = 0;
    for step in 0..300 {
        for (index, calls) in [(0, 6), (1, 1), (2, 1)] {
            for _ in 0..calls {
                let bed = &mut fleet.beds[index];
                let id = bed.call("status", None);
                let started = bed.starts_of(&id).first().cloned();
                // In the first 10 s the leases adapt to the demand.
                admitted += u64::from(step >= 100 && started.is_some());
                if let Some(start) = started {
                    bed.end(&start, common::completed());
                }
            }
        }
        fleet.advance(100);
    }
    println!("{admitted} admitted in 20 s at a limit of 600");
    assert!(
        (500..=630).contains(&admitted),
        "{admitted} admitted in 20 s"
    );
}

/// Guards against requests that fail because the owner of their ticket is leaving, although it
/// still accepts them.
#[test]
fn tickets_are_forwarded_to_a_leaving_owner() {
    let mut fleet = fleet(3);
    let ticket = fleet.beds[0].issue_ticket("charge");
    fleet.beds[0].event(Event::Shutdown);
    fleet.advance(8_000);
    let owner = "entry-1".parse().unwrap();
    let member = fleet.beds[1].instance.membership().unwrap().get(&owner);
    assert!(member.unwrap().leaving);
    let id = fleet.beds[1].call("charge", Some(&ticket));
    assert_eq!(fleet.beds[1].answer_of(&id), None);
}

/// Guards against two incarnations that serve at the same time, after an instance was replaced
/// while it was paused and then continues.
#[test]
fn a_superseded_incarnation_shuts_down() {
    let mut fleet = fleet(3);
    let mut paused = std::mem::replace(&mut fleet.beds[0], TestBed::without_document("entry-1", 1));
    fleet.replace(0, 2);
    fleet.advance(10_000);
    let packet = fleet.beds[1]
        .actions
        .iter()
        .rev()
        .find_map(|action| match action {
            Action::SendPacket { packet, .. }
                if packet.members.iter().any(|m| m.instance == "entry-1") =>
            {
                Some(packet.clone())
            }
            _ => None,
        });
    paused.event(Event::PeerPacket {
        from: "127.0.0.1:7002".parse().unwrap(),
        packet: packet.unwrap().into(),
    });
    assert!(!paused.instance.is_ready());
}
