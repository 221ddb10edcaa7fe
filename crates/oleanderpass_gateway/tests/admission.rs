//! Test which streams are served first, deferred or refused. The loads are those of bursts of short
//! streams on too few engines: ten of fourteen engines were left for 2.4 times the usual short
//! streams (site `mispill`, run `trouble-3`).

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use oleanderpass_gateway::admission::Scheduling;
use oleanderpass_gateway::admission::recheck_at;
use oleanderpass_gateway::admission::schedule;
use oleanderpass_gateway::route::RouteKind;
use oleanderpass_types::clock::Millis;
use test_case::test_case;

use crate::common::at;
use crate::common::route;

/// Guards against a queue in which all answers are late, and against a caller that waits for an
/// answer that would come after the caller has given up.
#[test_case(100, 100, 10_000, Scheduling::Now; "a slot is free")]
#[test_case(300, 1_500, 10_000, Scheduling::Now; "only deferred requests are waiting")]
#[test_case(301, 1_500, 10_000, Scheduling::Deferred; "too late to be on time")]
#[test_case(900, 1_601, 10_000, Scheduling::Refused; "the caller would have given up")]
#[test_case(301, 800, 900, Scheduling::Refused; "the deadline would have passed")]
fn scheduling_of_a_short_stream(expected: u64, behind_all: u64, left: u64, wanted: Scheduling) {
    let route = route("chat", RouteKind::ResumableStream, "engines");
    let [expected, behind_all, left] = [expected, behind_all, left].map(Millis::new);
    assert_eq!(schedule(&route, expected, behind_all, left), wanted);
}

/// Guards against refusing long prompts whose callers would still wait.
#[test]
fn callers_of_long_prompts_wait_longer() {
    let mut route = route("chat", RouteKind::ResumableStream, "engines");
    route.objective = Millis::new(3_000);
    route.gap = Some(Millis::new(1_000));
    let [expected, left] = [6_000, 15_000].map(Millis::new);
    assert_eq!(
        schedule(&route, expected, expected, left),
        Scheduling::Deferred
    );
}

/// Guards against engines that still prefill long prompts for seconds when a phase of short streams
/// begins, and against late prompts that make the next ones late. Two seconds after the change of
/// phase, 58 of 67 short streams were deferred (site `mispill`, run `scale-1`); with 2.9 times the
/// usual long prompts, 52 of 198 were on time and 105 late (site `mispill-grown`, run `scale-1`).
#[test_case(300, 0, 400, false; "little prefill is pending")]
#[test_case(301, 0, 400, true; "the engines are busy")]
#[test_case(900, 1_000, 1_500, false; "it has waited")]
#[test_case(1_500, 1_000, 1_600, true; "it has not waited long enough")]
#[test_case(100, 1_000, 1_700, false; "it will be late and little prefill is pending")]
#[test_case(101, 1_000, 1_700, true; "it will be late and others may be on time")]
#[test_case(9_000, 5_999, 9_500, true; "it is late and its caller still waits")]
#[test_case(9_000, 6_000, 9_500, false; "its caller would give up")]
fn long_prompt_waits_for_its_engines(backlog: u64, waited: u64, expected: u64, waits: bool) {
    let mut route = route("chat", RouteKind::ResumableStream, "engines");
    route.objective = Millis::new(3_000);
    let (now, deadline) = (at(waited), at(15_000));
    let [backlog, expected] = [backlog, expected].map(Millis::new);
    let until = recheck_at(&route, now, at(0), deadline, backlog, expected);
    assert_eq!(until.is_some(), waits);
    assert!(until.is_none_or(|until| until > now));
}
