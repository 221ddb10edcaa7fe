//! Guard against a second run of a non-idempotent request, and against wrong outcomes of the first.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::net::SocketAddr;

use common::KEY;
use common::OTHER_KEY;
use common::TestBed;
use common::broken;
use common::completed;
use common::route_target;
use oleanderpass_core::action::Action;
use oleanderpass_core::event::AttemptEnd;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::NewRequest;
use oleanderpass_core::event::Progress;
use oleanderpass_core::event::Refusal;
use oleanderpass_core::event::Source;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::outcome::Outcome;
use smol_str::SmolStr;
use test_case::test_case;

fn bed() -> TestBed {
    TestBed::new(&["e1"], &["w1", "w2"])
}

/// Start a second instance, `entry-2`, which doesn't own the tickets of [`bed`].
fn other_bed() -> TestBed {
    TestBed::named("entry-2", 1, &["e1"], &["w1", "w2"])
}

/// Return the requests that were forwarded, with their owners and addresses.
fn forwards(bed: &TestBed) -> Vec<(RequestId, String, SocketAddr)> {
    bed.actions
        .iter()
        .filter_map(|action| match action {
            Action::Forward {
                req, owner, addr, ..
            } => Some((req.clone(), owner.to_string(), *addr)),
            _ => None,
        })
        .collect()
}

/// Return the request that the owner of a ticket receives when `entry-2` forwards one.
fn forwarded_request(owner: &mut TestBed, ticket: &SmolStr) -> NewRequest {
    let mut new = owner.request(route_target("charge"));
    new.ticket = Some(ticket.clone());
    new.source = Source::Peer {
        instance: "entry-2".parse().unwrap(),
        organisation: "acme".parse().unwrap(),
        caller: "till".parse().unwrap(),
    };
    new
}

/// Guards against a resend that runs again or doesn't get the recorded answer.
#[test]
fn a_request_with_a_ticket_runs_once_and_each_resend_gets_its_answer() {
    let mut bed = bed();
    let ticket = bed.issue_ticket("charge");
    let first = bed.call("charge", Some(&ticket));
    let start = bed.only_start(&first);
    assert!(start.non_idempotent);
    bed.end(&start, completed());
    // The first use ends with status 200, because its answer was relayed. A resend gets the
    // recorded status.
    assert_eq!(bed.answer_of(&first), Some((Outcome::Completed, 200)));
    for _ in 0..3 {
        let resend = bed.call("charge", Some(&ticket));
        assert_eq!(bed.answer_of(&resend), Some((Outcome::Completed, 201)));
    }
    assert_eq!(bed.starts().len(), 1);
}

/// Guards against two runs of a ticket that is used twice at the same time.
#[test_case(completed(), Outcome::Completed)]
#[test_case(broken(false), Outcome::Unknown)]
#[test_case(AttemptEnd::Failed("status 500".into()), Outcome::Failed)]
#[test_case(AttemptEnd::Refused(Refusal::Deadline), Outcome::NotRun)]
fn a_second_use_waits_for_the_first(end: AttemptEnd, expected: Outcome) {
    let mut bed = bed();
    let ticket = bed.issue_ticket("charge");
    let first = bed.call("charge", Some(&ticket));
    let second = bed.call("charge", Some(&ticket));
    assert_eq!(bed.answer_of(&second), None);
    let start = bed.only_start(&first);
    bed.end(&start, end);
    assert_eq!(bed.outcome(&first), Some(expected));
    assert_eq!(bed.outcome(&second), Some(expected));
    assert_eq!(bed.starts().len(), 1);
    assert_eq!(bed.instance.in_flight(), 0);
}

/// Guards against a resend that waits for the first use beyond its own deadline.
#[test]
fn a_waiting_use_keeps_its_own_deadline() {
    let mut bed = bed();
    let ticket = bed.issue_ticket("charge");
    let first = bed.call("charge", Some(&ticket));
    let mut second = bed.request(route_target("charge"));
    second.ticket = Some(ticket);
    second.timeout = Some(Millis::from_secs(1));
    let second = bed.send(second);
    bed.advance(1_000);
    assert_eq!(bed.answer_of(&second), Some((Outcome::Unknown, 504)));
    let start = bed.only_start(&first);
    bed.end(&start, completed());
    assert_eq!(bed.outcome(&first), Some(Outcome::Completed));
}

/// Guards against a resend that reaches another instance and runs there.
#[test]
fn another_instance_forwards_to_the_owner() {
    let mut owner = bed();
    let mut forwarder = other_bed();
    let ticket = owner.issue_ticket("charge");
    let at_forwarder = forwarder.call("charge", Some(&ticket));
    assert!(forwarder.starts().is_empty());
    let expected: SocketAddr = "127.0.0.1:7000".parse().unwrap();
    assert_eq!(
        forwards(&forwarder),
        [(at_forwarder.clone(), "entry-1".to_owned(), expected)]
    );

    let new = forwarded_request(&mut owner, &ticket);
    let at_owner = owner.send(new);
    let start = owner.only_start(&at_owner);
    owner.end(&start, completed());
    assert_eq!(owner.outcome(&at_owner), Some(Outcome::Completed));
    forwarder.event(Event::ForwardEnded {
        req: at_forwarder.clone(),
        outcome: Outcome::Completed,
    });
    assert_eq!(forwarder.instance.in_flight(), 0);
    assert_eq!(
        forwarder.answer_of(&at_forwarder),
        None,
        "the answer was relayed, so there is no second one"
    );
}

/// Guards against a second run when a resend arrives through another instance.
#[test]
fn a_resend_through_another_instance_waits_at_the_owner() {
    let mut owner = bed();
    let ticket = owner.issue_ticket("charge");
    let first = owner.call("charge", Some(&ticket));
    let new = forwarded_request(&mut owner, &ticket);
    let second = owner.send(new);
    let start = owner.only_start(&first);
    owner.end(&start, completed());
    assert_eq!(owner.answer_of(&second), Some((Outcome::Completed, 201)));
    assert_eq!(owner.starts().len(), 1);
}

/// Guards against the outcome `not run` from an instance that can't know whether the owner of the
/// ticket ran the request.
#[test_case("unreachable")]
#[test_case("silent")]
#[test_case("not listed")]
#[test_case("draining")]
#[test_case("revoked key")]
fn without_an_answer_of_the_owner_the_outcome_is_unknown(case: &str) {
    let mut owner = bed();
    let mut forwarder = other_bed();
    let ticket = owner.issue_ticket("charge");
    let mut new = forwarder.request(route_target("charge"));
    new.ticket = Some(ticket);
    match case {
        "not listed" => forwarder.event(Event::InstanceList(std::sync::Arc::default())),
        "draining" => {
            forwarder.event(Event::Shutdown);
            forwarder.advance(5_000);
        }
        "revoked key" => new.source = Source::Caller(oleanderpass_types::id::Digest([5; 32])),
        _ => {}
    }
    let id = forwarder.send(new);
    match case {
        "unreachable" => forwarder.event(Event::ForwardFailed {
            req: id.clone(),
            cause: "connection refused".into(),
        }),
        "silent" => forwarder.advance(20_000),
        _ => {}
    }
    assert_eq!(forwarder.outcome(&id), Some(Outcome::Unknown));
    assert!(forwarder.starts().is_empty());
}

/// Guards against a second run by a new incarnation, which can't know whether the previous one ran
/// the request with this ticket.
#[test_case(false; "sent by the caller")]
#[test_case(true; "forwarded by a peer")]
fn a_new_incarnation_does_not_run_requests_with_old_tickets(from_peer: bool) {
    let ticket = bed().issue_ticket("charge");
    let mut successor = TestBed::named("entry-1", 2, &["e1"], &["w1"]);
    let mut new = forwarded_request(&mut successor, &ticket);
    if !from_peer {
        new.source = Source::Caller(KEY);
    }
    let id = successor.send(new);
    assert_eq!(successor.outcome(&id), Some(Outcome::Unknown));
    assert!(successor.starts().is_empty());
}

/// Guards against an owner that runs a request after a pause, although its ticket has expired and
/// the caller has given up.
#[test]
fn a_paused_owner_does_not_run_requests_with_expired_tickets() {
    let mut owner = bed();
    let ticket = owner.issue_ticket("charge");
    owner.pause(60_000);
    let new = forwarded_request(&mut owner, &ticket);
    let id = owner.send(new);
    assert_eq!(owner.answer_of(&id), Some((Outcome::NotRun, 410)));
    assert!(owner.starts().is_empty());
}

/// Guards against a first use after the expiry, and against the outcome `not run` once the record
/// of a use may have been dropped.
#[test_case(29_900, None; "in time")]
#[test_case(30_000, Some((Outcome::NotRun, 410)); "expired and never used")]
#[test_case(119_900, Some((Outcome::NotRun, 410)); "a use would still be recorded")]
#[test_case(120_000, Some((Outcome::Unknown, 410)); "the record of a use may be gone")]
fn an_expired_ticket_is_refused(after_ms: u64, expected: Option<(Outcome, u16)>) {
    let mut bed = bed();
    let ticket = bed.issue_ticket("charge");
    bed.advance(after_ms);
    let id = bed.call("charge", Some(&ticket));
    assert_eq!(bed.answer_of(&id), expected);
    assert_eq!(bed.starts().len(), usize::from(expected.is_none()));
}

/// Guards against an outcome that is dropped early, and against a second run once it is dropped.
#[test]
fn an_outcome_is_kept_for_120_s_after_the_end() {
    let mut bed = bed();
    let ticket = bed.issue_ticket("charge");
    let first = bed.call("charge", Some(&ticket));
    bed.advance(10_000);
    let start = bed.only_start(&first);
    bed.end(&start, completed());
    bed.advance(119_900);
    let kept = bed.call("charge", Some(&ticket));
    assert_eq!(bed.outcome(&kept), Some(Outcome::Completed));
    bed.advance(100);
    let gone = bed.call("charge", Some(&ticket));
    assert_eq!(bed.outcome(&gone), Some(Outcome::Unknown));
    assert_eq!(bed.starts().len(), 1);
}

/// Guards against a ticket that is valid for another caller or another route than it was issued
/// for.
#[test_case(|new| new.source = Source::Caller(OTHER_KEY), 403; "other caller")]
#[test_case(|new| new.target = route_target("book"), 403; "other route")]
#[test_case(|new| new.ticket = Some("forged".into()), 400; "not authentic")]
fn a_ticket_for_another_scope_is_refused(change: fn(&mut NewRequest), status: u16) {
    let mut bed = bed();
    let ticket = bed.issue_ticket("charge");
    let mut new = bed.request(route_target("charge"));
    new.ticket = Some(ticket.clone());
    change(&mut new);
    let id = bed.send(new);
    assert_eq!(bed.answer_of(&id), Some((Outcome::NotRun, status)));
    let id = bed.call("charge", Some(&ticket));
    bed.only_start(&id);
}

/// Guards against a call without a ticket on a route that requires one, and against its refusal on
/// other routes.
#[test_case("charge", Some((Outcome::NotRun, 428)); "required")]
#[test_case("book", None; "optional")]
#[test_case("status", None; "idempotent")]
fn only_routes_that_require_a_ticket_refuse_calls_without_one(
    route: &str,
    expected: Option<(Outcome, u16)>,
) {
    let mut bed = bed();
    let id = bed.call(route, None);
    assert_eq!(bed.answer_of(&id), expected);
}

/// Guards against an outcome that stays unknown although the late end of the attempt decides it.
#[test_case(completed(), Outcome::Completed)]
#[test_case(AttemptEnd::NotSent("deadline passed before the write".into()), Outcome::NotRun)]
#[test_case(AttemptEnd::Cancelled, Outcome::Unknown)]
fn an_attempt_that_ends_after_its_deadline_decides_the_outcome(end: AttemptEnd, expected: Outcome) {
    let mut bed = bed();
    let ticket = bed.issue_ticket("charge");
    let first = bed.call("charge", Some(&ticket));
    let start = bed.only_start(&first);
    bed.advance(20_000);
    assert_eq!(bed.answer_of(&first), Some((Outcome::Unknown, 504)));
    bed.end(&start, end);
    let resend = bed.call("charge", Some(&ticket));
    assert_eq!(bed.outcome(&resend), Some(expected));
    assert_eq!(bed.starts().len(), 1);
}

/// Guards against an outcome that is lost because the caller loses its connection.
#[test]
fn a_running_use_continues_without_its_caller() {
    let mut bed = bed();
    let ticket = bed.issue_ticket("charge");
    let first = bed.call("charge", Some(&ticket));
    let start = bed.only_start(&first);
    bed.progress(&start, Progress::Started);
    bed.event(Event::CallerGone(first));
    let second = bed.call("charge", Some(&ticket));
    bed.end(&start, completed());
    assert_eq!(bed.answer_of(&second), Some((Outcome::Completed, 201)));
    assert!(!bed.cancelled(&start));
}

/// Guards against a ticket that counts as used although nothing was sent.
#[test]
fn a_queued_use_whose_caller_is_gone_leaves_the_ticket_unused() {
    let mut bed = TestBed::new(&[], &[]);
    let ticket = bed.issue_ticket("charge");
    let first = bed.call("charge", Some(&ticket));
    bed.event(Event::CallerGone(first));
    assert!(bed.instance.ledger().is_empty());
    bed.apply_list(TestBed::live_servers(&[], &["w1"]));
    let second = bed.call("charge", Some(&ticket));
    bed.only_start(&second);
}
