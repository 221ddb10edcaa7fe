//! Guard against a shutdown that interrupts requests, makes issued tickets unusable or never ends.

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

/// Guards against new callers and tickets at an instance that is shutting down.
#[test]
fn a_shutdown_ends_readiness_and_issues_no_tickets() {
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

/// Guards against the refusal of requests that the load balancer sends in the 5 s before it notices
/// the shutdown.
#[test_case(4_900, None; "the load balancer may still send requests")]
#[test_case(5_000, Some((Outcome::NotRun, 503)); "the load balancer sends no more requests")]
fn new_requests_are_accepted_while_the_load_balancer_still_sends_them(
    after_ms: u64,
    expected: Option<(Outcome, u16)>,
) {
    let mut bed = bed();
    // The unexpired ticket keeps the instance from exiting.
    bed.issue_ticket("charge");
    bed.event(Event::Shutdown);
    bed.advance(after_ms);
    let id = bed.generate();
    assert_eq!(bed.answer_of(&id), expected);
}

/// Guards against an early exit, and against a second one.
#[test]
fn an_idle_instance_exits_once_when_the_load_balancer_sends_no_more_requests() {
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

/// Guards against an exit that ends a running stream.
#[test]
fn a_shutdown_does_not_interrupt_a_stream() {
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

/// Guards against queued requests that a shutdown leaves in the queue.
#[test]
fn a_shutdown_still_dispatches_queued_requests() {
    let mut bed = bed();
    let running = [bed.generate(), bed.generate()];
    let queued = bed.generate();
    bed.event(Event::Shutdown);
    bed.advance(6_000);
    let start = bed.only_start(&running[0]);
    bed.end(&start, completed());
    bed.only_start(&queued);
}

/// Guards against an instance that exits, or refuses a request, while a ticket of its own has not
/// expired.
#[test_case(false; "from a caller")]
#[test_case(true; "from a peer")]
fn own_tickets_are_accepted_until_they_expire(from_peer: bool) {
    let mut bed = bed();
    let ticket = bed.issue_ticket("charge");
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
        "the exit must not wait until the recorded outcome expires"
    );
}

/// Guards against a shutdown that doesn't end after the longest deadline, and against an exit
/// before a cancelled attempt has ended.
#[test]
fn a_shutdown_ends_by_the_longest_deadline() {
    let mut bed = bed();
    let id = bed.generate();
    let start = bed.only_start(&id);
    bed.event(Event::Shutdown);
    bed.advance(20_000);
    assert_eq!(bed.answer_of(&id), Some((Outcome::Unknown, 504)));
    assert!(!bed.exited(), "the cancelled attempt has not ended");
    bed.end(&start, oleanderpass_core::event::AttemptEnd::Cancelled);
    assert!(bed.exited());
}
