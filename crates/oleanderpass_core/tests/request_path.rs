//! Guard against wrong outcomes, missed deadlines and mixed-up attempts.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use common::OTHER_KEY;
use common::TestBed;
use common::broken;
use common::completed;
use common::model_target;
use common::route_target;
use oleanderpass_core::event::AttemptEnd;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::NewRequest;
use oleanderpass_core::event::Priority;
use oleanderpass_core::event::Progress;
use oleanderpass_core::event::Refusal;
use oleanderpass_core::event::Source;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::Digest;
use oleanderpass_types::outcome::Outcome;
use oleanderpass_types::size::Tokens;
use test_case::test_case;

fn failed() -> AttemptEnd {
    AttemptEnd::Failed("status 500".into())
}

fn not_sent() -> AttemptEnd {
    AttemptEnd::NotSent("connection refused".into())
}

/// Guards against an outcome or a status that doesn't follow from the end of the attempt.
#[test_case("saga", completed(), false, (Outcome::Completed, 200))]
#[test_case("saga", not_sent(), false, (Outcome::NotRun, 503))]
#[test_case("saga", failed(), false, (Outcome::Failed, 502))]
#[test_case("saga", broken(false), false, (Outcome::Unknown, 502); "lost before start")]
#[test_case("saga", broken(true), true, (Outcome::Failed, 502); "lost after start")]
#[test_case("saga", AttemptEnd::Refused(Refusal::Deadline), false, (Outcome::NotRun, 504))]
#[test_case("book", completed(), false, (Outcome::Completed, 200); "non-idempotent completed")]
#[test_case("book", not_sent(), false, (Outcome::NotRun, 503); "non-idempotent not sent")]
#[test_case("book", failed(), false, (Outcome::Failed, 502); "non-idempotent failed")]
#[test_case("book", broken(false), false, (Outcome::Unknown, 502); "non-idempotent lost before start")]
#[test_case("book", broken(true), true, (Outcome::Unknown, 502); "non-idempotent lost after start")]
#[test_case("book", AttemptEnd::Refused(Refusal::Deadline), false, (Outcome::NotRun, 504); "non-idempotent refused for its deadline")]
#[test_case("book", AttemptEnd::Cancelled, true, (Outcome::Unknown, 502); "non-idempotent cancelled")]
fn the_end_of_the_only_attempt_decides_the_outcome(
    target: &str,
    end: AttemptEnd,
    started: bool,
    expected: (Outcome, u16),
) {
    let mut bed = TestBed::new(&["e1", "e2"], &["w1", "w2"]);
    let target = if target == "saga" {
        model_target()
    } else {
        route_target(target)
    };
    let new = bed.request(target);
    let id = bed.send(new);
    let start = bed.only_start(&id);
    if started {
        bed.progress(&start, Progress::Started);
    }
    bed.end(&start, end);
    assert_eq!(bed.answer_of(&id), Some(expected));
    assert_eq!(bed.instance.in_flight(), 0);
}

/// Start an instance and fill its retry budget by requests that complete.
fn bed_with_retry_budget(engines: &[&str]) -> TestBed {
    let mut bed = TestBed::new(engines, &["w1", "w2"]);
    for _ in 0..100 {
        let id = bed.generate();
        let start = bed.only_start(&id);
        bed.end(&start, completed());
    }
    bed
}

/// Guards against a retry on the server that just failed, and against a second run of a
/// non-idempotent request or of one whose answer was delivered in part.
#[test_case("saga", failed(), 2; "failed")]
#[test_case("saga", broken(false), 2; "lost")]
#[test_case("saga", not_sent(), 2; "not sent")]
#[test_case("saga", AttemptEnd::Refused(Refusal::Leaving), 2; "leaving")]
#[test_case("saga", broken(true), 1; "lost after delivery")]
#[test_case("book", not_sent(), 2; "non-idempotent not sent")]
#[test_case("book", AttemptEnd::Refused(Refusal::Full), 2; "non-idempotent refused")]
#[test_case("book", failed(), 1; "non-idempotent failed")]
#[test_case("book", broken(false), 1; "non-idempotent lost")]
fn retries_use_another_server_and_never_repeat_a_non_idempotent_run(
    target: &str,
    end: AttemptEnd,
    attempts: usize,
) {
    let mut bed = bed_with_retry_budget(&["e1", "e2", "e3"]);
    let target = if target == "saga" {
        model_target()
    } else {
        route_target(target)
    };
    let new = bed.request(target);
    let id = bed.send(new);
    let first = bed.only_start(&id);
    bed.end(&first, end);
    bed.advance(500);
    let starts = bed.starts_of(&id);
    assert_eq!(starts.len(), attempts);
    if attempts == 2 {
        assert_ne!(starts[0].server, starts[1].server);
        bed.end(&starts[1], completed());
        assert_eq!(bed.outcome(&id), Some(Outcome::Completed));
    }
}

/// Guards against the outcome `not run` for a request of which an earlier attempt ran.
#[test]
fn a_refusal_after_a_failed_attempt_does_not_end_as_not_run() {
    let mut bed = bed_with_retry_budget(&["e1", "e2"]);
    let id = bed.generate();
    let first = bed.only_start(&id);
    bed.end(&first, failed());
    bed.advance(500);
    let second = bed.starts_of(&id)[1].clone();
    bed.end(&second, AttemptEnd::Refused(Refusal::Deadline));
    assert_eq!(bed.outcome(&id), Some(Outcome::Failed));
}

/// Guards against an earlier attempt that ends or advances the current one.
#[test]
fn late_progress_of_an_earlier_attempt_changes_nothing() {
    let mut bed = bed_with_retry_budget(&["e1", "e2"]);
    let id = bed.generate();
    let first = bed.only_start(&id);
    bed.end(&first, broken(false));
    bed.advance(500);
    let second = bed.starts_of(&id)[1].clone();
    for progress in [
        Progress::Started,
        Progress::FirstToken,
        Progress::Ended(completed()),
    ] {
        bed.progress(&first, progress);
    }
    assert_eq!(bed.answer_of(&id), None);
    bed.end(&second, broken(false));
    assert_eq!(
        bed.outcome(&id),
        None,
        "the second attempt counts as not started"
    );
}

/// Guards against an answer after the deadline, and against a wrong outcome at the deadline.
#[test_case("saga", "queued", Outcome::NotRun)]
#[test_case("saga", "sent", Outcome::Unknown)]
#[test_case("saga", "streaming", Outcome::Failed)]
#[test_case("book", "queued", Outcome::NotRun; "non-idempotent queued")]
#[test_case("book", "sent", Outcome::Unknown; "non-idempotent sent")]
#[test_case("book", "streaming", Outcome::Unknown; "non-idempotent streaming")]
fn the_deadline_ends_a_request_in_every_phase(target: &str, phase: &str, expected: Outcome) {
    let mut bed = TestBed::new(&["e1"], &["w1"]);
    let target = if target == "saga" {
        model_target()
    } else {
        route_target(target)
    };
    if phase == "queued" {
        for _ in 0..2 {
            let mut blocking = bed.request(target.clone());
            blocking.timeout = Some(Millis::from_secs(60));
            bed.send(blocking);
        }
    }
    let new = bed.request(target);
    let id = bed.send(new);
    if phase == "streaming" {
        let start = bed.only_start(&id);
        bed.progress(&start, Progress::Started);
    }
    bed.advance(19_900);
    assert_eq!(bed.answer_of(&id), None);
    bed.advance(100);
    assert_eq!(bed.answer_of(&id), Some((expected, 504)));
    assert_eq!(bed.starts_of(&id).len(), usize::from(phase != "queued"));
}

/// Guards against a cancelled attempt whose slot is reused while it still runs, and against a
/// second answer when it ends.
#[test]
fn a_cancelled_attempt_keeps_its_slot_until_it_ends() {
    let mut bed = TestBed::new(&["e1"], &[]);
    let ids = [bed.generate(), bed.generate()];
    let starts = ids.clone().map(|id| bed.only_start(&id));
    bed.advance(20_000);
    assert!(starts.iter().all(|start| bed.cancelled(start)));
    let next = bed.generate();
    assert!(bed.starts_of(&next).is_empty());
    assert_eq!(bed.in_flight("e1"), 2);
    bed.end(&starts[0], AttemptEnd::Cancelled);
    assert_eq!(bed.starts_of(&next).len(), 1);
    bed.end(&starts[1], completed());
    assert_eq!(bed.outcome(&ids[1]), Some(Outcome::Unknown));
    assert_eq!(bed.in_flight("e1"), 1);
}

/// Guards against requests that a process dispatches after their deadline because it was paused.
#[test_case(true; "tick first")]
#[test_case(false; "free slot first")]
fn no_overdue_request_is_dispatched_after_a_pause(tick_first: bool) {
    let mut bed = TestBed::new(&[], &["w1"]);
    let running = [bed.call("status", None), bed.call("status", None)];
    let queued = bed.call("status", None);
    let start = bed.only_start(&running[0]);
    bed.pause(30_000);
    if tick_first {
        bed.event(Event::Tick);
    }
    bed.end(&start, completed());
    bed.advance(100);
    assert!(bed.starts_of(&queued).is_empty());
    assert_eq!(bed.answer_of(&queued), Some((Outcome::NotRun, 504)));
}

/// Guards against a retry after the deadline.
#[test]
fn an_attempt_that_ends_late_is_not_retried() {
    let mut bed = bed_with_retry_budget(&["e1", "e2"]);
    let id = bed.generate();
    let start = bed.only_start(&id);
    bed.pause(30_000);
    bed.end(&start, not_sent());
    assert_eq!(bed.answer_of(&id), Some((Outcome::NotRun, 504)));
}

/// Guards against requests that are admitted although they must be refused.
#[test_case(|new| new.source = Source::Caller(Digest([3; 32])), 401; "unknown key")]
#[test_case(|new| new.target = route_target("refund"), 404; "unknown route")]
#[test_case(|new| new.target = route_target("charge"), 428; "no ticket")]
#[test_case(|new| new.prompt = Tokens::new(1_000_001), 413; "prompt too long")]
#[test_case(|new| new.timeout = Some(Millis::ZERO), 504; "timeout of zero")]
#[test_case(|new| { new.prompt = Tokens::new(90_000); new.timeout = Some(Millis::from_secs(5)) }, 503; "prefill longer than the timeout")]
#[test_case(|new| new.prompt = Tokens::new(200_000), 503; "prompt larger than all engines")]
#[test_case(|new| new.ticket = Some("x".into()), 400; "ticket for a model")]
fn refused_requests_end_as_not_run(change: fn(&mut NewRequest), status: u16) {
    let mut bed = TestBed::new(&["e1"], &["w1"]);
    let mut new = bed.request(model_target());
    change(&mut new);
    let id = bed.send(new);
    assert_eq!(bed.answer_of(&id), Some((Outcome::NotRun, status)));
    assert!(bed.starts().is_empty());
}

/// Guards against an organisation of which only the first caller is accepted.
#[test]
fn each_caller_of_an_organisation_is_accepted() {
    let mut bed = TestBed::new(&["e1"], &[]);
    let mut new = bed.request(model_target());
    new.source = Source::Caller(OTHER_KEY);
    let id = bed.send(new);
    assert_eq!(bed.starts_of(&id).len(), 1);
}

/// Guards against a batch request that overtakes an interactive one.
#[test]
fn interactive_requests_leave_the_queue_first() {
    let mut bed = TestBed::new(&["e1"], &[]);
    let first = bed.generate();
    bed.generate();
    let mut batch = bed.request(model_target());
    batch.priority = Priority::Batch;
    let batch = bed.send(batch);
    let interactive = bed.generate();
    let start = bed.only_start(&first);
    bed.end(&start, completed());
    assert_eq!(bed.starts_of(&interactive).len(), 1);
    assert!(bed.starts_of(&batch).is_empty());
}

/// Guards against an attempt that keeps an engine busy after its caller disconnected, and against a
/// non-idempotent call that is cancelled in that case.
#[test_case("saga", true)]
#[test_case("book", false)]
fn only_idempotent_attempts_are_cancelled_when_the_caller_is_gone(target: &str, cancels: bool) {
    let mut bed = TestBed::new(&["e1"], &["w1"]);
    let target = if target == "saga" {
        model_target()
    } else {
        route_target(target)
    };
    let new = bed.request(target);
    let id = bed.send(new);
    let start = bed.only_start(&id);
    bed.event(Event::CallerGone(id.clone()));
    assert_eq!(bed.cancelled(&start), cancels);
    assert_eq!(bed.answer_of(&id).is_some(), cancels);
}

/// Guards against a caller that waits until its deadline when no server exists.
#[test]
fn a_request_to_a_service_without_servers_ends_after_5_s() {
    let mut bed = TestBed::new(&[], &["w1"]);
    let id = bed.generate();
    bed.advance(4_900);
    assert_eq!(bed.answer_of(&id), None);
    bed.advance(100);
    assert_eq!(bed.answer_of(&id), Some((Outcome::NotRun, 503)));
}

/// Guards against an engine of another zone that serves while one of the own zone is ready.
#[test]
fn other_zones_serve_only_when_the_own_one_can_not() {
    use oleanderpass_core::event::Lifecycle;
    let mut bed = TestBed::new(&[], &[]);
    let far = common::listed_server("far", "skald", "south", Lifecycle::Live);
    let near = common::listed_server("near", "skald", "north", Lifecycle::Live);
    bed.apply_list(vec![far.clone(), near]);
    let ids = [bed.generate(), bed.generate(), bed.generate()];
    assert_eq!(bed.only_start(&ids[0]).server.as_str(), "near");
    assert!(
        bed.starts_of(&ids[2]).is_empty(),
        "a full zone must not pass its requests on to another"
    );
    bed.apply_list(vec![far]);
    assert_eq!(bed.only_start(&ids[2]).server.as_str(), "far");
}

/// Guards against a kind of end that leaves the request counted as running.
#[test]
fn every_kind_of_end_frees_the_concurrency_limit() {
    let mut bed = TestBed::new(&["e1", "e2", "e3"], &["w1"]);
    let limited = common::DOCUMENT
        .replace("generation: 1", "generation: 2")
        .replace(
            "    class: large\n",
            "    class: large\n    limits: {concurrent_requests: 2}\n",
        );
    bed.bring_into_force(&limited);
    // Two zones share the limit and this instance has no peer, so it may run one request at a
    // time.
    for end in [completed(), failed(), not_sent(), broken(false)] {
        let id = bed.generate();
        let refused = bed.generate();
        assert_eq!(bed.answer_of(&refused), Some((Outcome::NotRun, 429)));
        let start = bed.only_start(&id);
        bed.end(&start, end);
        assert!(bed.answer_of(&id).is_some());
        // By then the last lease has expired. One that is renewed after the end of the request may
        // allow no request.
        bed.advance(6_000);
    }
    let id = bed.generate();
    bed.event(Event::CallerGone(id));
    bed.advance(6_000);
    let id = bed.generate();
    assert_eq!(bed.answer_of(&id), None);
    bed.advance(26_000);
    assert!(bed.answer_of(&id).is_some());
    let id = bed.generate();
    assert_eq!(bed.answer_of(&id), None);
}
