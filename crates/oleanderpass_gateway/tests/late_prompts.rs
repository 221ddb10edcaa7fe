//! Test what becomes of long prompts that can't be on time.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use oleanderpass_gateway::gateway::AttemptEnd;
use oleanderpass_gateway::gateway::Gateway;
use oleanderpass_gateway::gateway::Next;
use oleanderpass_gateway::gateway::Request;
use test_case::test_case;

use crate::common::at;
use crate::common::attempt;
use crate::common::begin;
use crate::common::gateway;

/// The objective of long prompts, in milliseconds.
const OBJECTIVE_MS: u64 = 3_000;

/// Return when a request is sent or refused, and the next step.
fn decided(gateway: &mut Gateway, req: &mut Request, from: u64) -> (u64, Next) {
    let mut now = from;
    loop {
        match gateway.next(at(now), req) {
            Next::Wait(until) => now += at(now).until(until).get(),
            next => return (now, next),
        }
    }
}

/// Guards against long prompts that wait for seconds after they can no longer be on time. Once sent,
/// they held the memory for want of which larger prompts were refused.
#[test_case(100_000; "it becomes late while it waits")]
#[test_case(200_000; "it arrives too late")]
fn late_long_prompt_is_refused_before_its_objective(running: u64) {
    let mut gateway = gateway(1);
    let mut first = begin(&mut gateway, at(0), "/review/1", running);
    attempt(gateway.next(at(0), &mut first));
    let mut second = begin(&mut gateway, at(0), "/review/1", 60_000);
    let (now, next) = decided(&mut gateway, &mut second, 0);
    assert!(now < OBJECTIVE_MS, "{now} ms: {next:?}");
    match next {
        Next::End {
            status,
            retry_after,
            ..
        } => assert!(status == 503 && retry_after.is_some(), "{next:?}"),
        other => panic!("not refused: {other:?}"),
    }
}

/// Guards against a refusal of a request whose first server refused it, because it can no longer be
/// on time at the next one.
#[test]
fn late_long_prompt_that_was_sent_is_served() {
    let mut gateway = gateway(3);
    let mut req = begin(&mut gateway, at(0), "/review/1", 60_000);
    let first = attempt(gateway.next(at(0), &mut req));
    gateway.on_sent(&mut req, &first);
    let mut other = begin(&mut gateway, at(1_000), "/review/1", 200_000);
    attempt(gateway.next(at(1_000), &mut other));
    gateway.on_attempt_end(at(2_000), &mut req, &first, AttemptEnd::Refused);
    let (now, next) = decided(&mut gateway, &mut req, 2_000);
    assert!(matches!(next, Next::Send(_)), "{now} ms: {next:?}");
}
