//! Guard against a shutdown that interrupts requests, strands tickets or never ends.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::KEY;
use common::TestBed;
use common::completed;
use common::model_target;
use common::route_target;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::Progress;
use oleanderpass_core::event::Source;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::outcome::Outcome;
use test_case::test_case;

fn bed() -> TestBed {
    TestBed::new(&["e1"], &["w1", "w2"])
}

#[test]
fn readiness_fails_and_tickets_stop_at_once() {
    let mut bed = bed();
    assert!(bed.instance.is_ready());
    bed.event(Event::Shutdown);
    assert!(!bed.instance.is_ready());
    let req = bed.request(route_target("charge")).id;
    bed.event(Event::IssueTicket {
        req: req.clone(),
        key: KEY,
        route: "charge".parse().unwrap(),
    });
    assert_eq!(bed.answer_of(&req), Some((Outcome::NotRun, 503)));
}

#[test_case(4_900, None; "within the balancer's lag")]
#[test_case(5_000, Some((Outcome::NotRun, 503)); "after it")]
fn new_requests_are_accepted_for_the_balancers_lag(after: u64, expected: Option<(Outcome, u16)>) {
    let mut bed = bed();
    bed.ticket("charge");
    bed.event(Event::Shutdown);
    bed.advance(after);
    let id = bed.generate();
    assert_eq!(bed.answer_of(&id), expected);
}

#[test]
fn an_idle_instance_exits_once_after_the_balancers_lag() {
    let mut bed = bed();
    bed.event(Event::Shutdown);
    bed.advance(4_900);
    assert!(!bed.exited());
    bed.event(Event::Shutdown);
    bed.advance(100);
    assert!(bed.exited());
    bed.actions.clear();
    bed.advance(1_000);
    assert!(!bed.exited());
}

#[test]
fn a_stream_is_not_interrupted() {
    let mut bed = bed();
    let mut new = bed.request(model_target());
    new.timeout = Some(Millis::from_secs(600));
    let id = bed.send(new);
    let start = bed.only_start(&id);
    bed.progress(&start, Progress::FirstToken);
    bed.event(Event::Shutdown);
    bed.advance(500_000);
    assert!(!bed.exited() && !bed.cancelled(&start));
    bed.end(&start, completed());
    assert_eq!(bed.outcome(&id), Some(Outcome::Completed));
    assert!(bed.exited());
}

#[test]
fn a_queued_request_is_still_dispatched() {
    let mut bed = bed();
    let running = [bed.generate(), bed.generate()];
    let queued = bed.generate();
    bed.event(Event::Shutdown);
    bed.advance(6_000);
    let start = bed.only_start(&running[0]);
    bed.end(&start, completed());
    bed.only_start(&queued);
}

/// Guards against an owner that leaves while a caller holds its unexpired ticket.
#[test_case(false; "from a caller")]
#[test_case(true; "from a peer")]
fn own_tickets_are_accepted_until_they_expire(from_peer: bool) {
    let mut bed = bed();
    let ticket = bed.ticket("charge");
    bed.event(Event::Shutdown);
    bed.advance(29_900);
    assert!(!bed.exited());
    let mut new = bed.request(route_target("charge"));
    new.ticket = Some(ticket);
    if from_peer {
        new.source = Source::Peer {
            instance: "entry-2".parse().unwrap(),
            organisation: "acme".parse().unwrap(),
            caller: "till".parse().unwrap(),
        };
    }
    let id = bed.send(new);
    let start = bed.only_start(&id);
    bed.advance(5_000);
    assert!(!bed.exited());
    bed.end(&start, completed());
    assert_eq!(bed.outcome(&id), Some(Outcome::Completed));
    assert!(
        bed.exited(),
        "the retention of the outcome doesn't delay the exit"
    );
}

#[test]
fn the_shutdown_ends_by_the_longest_deadline() {
    let mut bed = bed();
    let id = bed.generate();
    let start = bed.only_start(&id);
    bed.event(Event::Shutdown);
    bed.advance(20_000);
    assert_eq!(bed.answer_of(&id), Some((Outcome::Unknown, 504)));
    assert!(!bed.exited(), "the cancelled attempt hasn't ended");
    bed.end(&start, oleanderpass_core::event::AttemptEnd::Cancelled);
    assert!(bed.exited());
}
