//! Test which streams are served first, deferred or refused. The loads are those of bursts of short
//! streams on too few engines: ten of fourteen engines were left for 2.4 times the usual short
//! streams (site `mispill`, run `trouble-3`).

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use oleanderpass_gateway::admission::LongPromptState;
use oleanderpass_gateway::admission::LongPromptTurn;
use oleanderpass_gateway::admission::LongPromptTurn::Later;
use oleanderpass_gateway::admission::LongPromptTurn::Now;
use oleanderpass_gateway::admission::LongPromptTurn::Refused;
use oleanderpass_gateway::admission::Scheduling;
use oleanderpass_gateway::admission::long_prompt_turn;
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
#[test_case(300, 0, 400, Now; "little prefill is pending")]
#[test_case(301, 0, 400, Later(at(40)); "the engines are busy")]
#[test_case(900, 1_000, 1_500, Now; "it has waited")]
#[test_case(901, 1_000, 1_100, Later(at(1_040)); "it has not waited long enough")]
#[test_case(100, 1_000, 1_700, Now; "it will be late and little prefill is pending")]
#[test_case(101, 1_000, 1_700, Later(at(1_040)); "it will be late and others may be on time")]
#[test_case(300, 1_000, 1_700, Later(at(1_040)); "it will be late after a short wait")]
fn long_prompt_waits_for_its_engines(
    backlog: u64,
    waited: u64,
    expected: u64,
    wanted: LongPromptTurn,
) {
    let prompt = state(backlog, expected);
    assert_eq!(turn(waited, &prompt), wanted);
}

/// Guards against late long prompts that wait for seconds and then take memory and prefill from
/// those that can be on time: the largest prompts were refused for want of the same memory.
#[test_case(901, 1_000, 1_101; "it may be late")]
#[test_case(301, 1_000, 1_700; "it will be late")]
#[test_case(9_000, 0, 9_500; "it arrives too late")]
fn late_long_prompt_is_refused(backlog: u64, waited: u64, expected: u64) {
    let prompt = state(backlog, expected);
    assert_eq!(turn(waited, &prompt), Refused);
}

/// Guards against refusals that help nobody: of a request whose first server failed, and of a prompt
/// that is late on idle engines too. Such a prompt waits until its caller would give up.
#[test_case(true, 300; "it was sent before")]
#[test_case(false, 2_101; "it is too long for its objective")]
fn late_long_prompt_waits(was_sent: bool, shortest_prefill: u64) {
    for (backlog, waited, expected, wanted) in [
        (101, 1_000, 1_700, Later(at(1_040))),
        (9_000, 5_999, 9_500, Later(at(6_039))),
        (9_000, 6_000, 9_500, Now),
    ] {
        let prompt = LongPromptState {
            was_sent,
            shortest_prefill: Millis::new(shortest_prefill),
            ..state(backlog, expected)
        };
        assert_eq!(turn(waited, &prompt), wanted, "{prompt:?}");
    }
}

fn state(backlog: u64, expected: u64) -> LongPromptState {
    LongPromptState {
        received: at(0),
        deadline: at(15_000),
        backlog: Millis::new(backlog),
        expected: Millis::new(expected),
        shortest_prefill: Millis::new(300),
        was_sent: false,
    }
}

fn turn(waited: u64, prompt: &LongPromptState) -> LongPromptTurn {
    let mut route = route("chat", RouteKind::ResumableStream, "engines");
    route.objective = Millis::new(3_000);
    long_prompt_turn(&route, at(waited), prompt)
}
