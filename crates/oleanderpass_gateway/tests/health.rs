//! Test how the results of requests change the health of a backend server.

mod common;

use oleanderpass_gateway::health::Health;
use oleanderpass_gateway::health::Observation;
use oleanderpass_types::clock::Millis;

use crate::common::at;

/// The time of a pass without prefill on the engines of the benchmark's standard sites, in
/// milliseconds.
const DECODE_PASS_MS: f64 = 44.0;

/// Guards against a server that gets no requests because one answer was lost.
#[test]
fn one_silent_request_is_no_outage() {
    let mut health = Health::default();
    health.record(at(0), Observation::Silent);
    assert!(!health.is_paused(at(1)));
    health.record(at(10), Observation::Silent);
    assert!(health.is_paused(at(11)));
}

/// Guards against sending request after request to an unreachable server, and against a server that
/// never gets requests again.
#[test]
fn pause_doubles_up_to_its_bound() {
    let mut health = Health::default();
    health.record(at(0), Observation::Unreachable);
    assert!(health.is_paused(at(499)) && !health.is_paused(at(500)));
    health.record(at(500), Observation::Unreachable);
    assert!(health.is_paused(at(1_499)) && !health.is_paused(at(1_500)));
    for _ in 0..20 {
        health.record(at(2_000), Observation::Unreachable);
    }
    assert!(!health.is_paused(at(4_000)), "the pause exceeds its bound");
    health.record(at(2_001), Observation::Success);
    assert!(!health.is_paused(at(2_001)));
}

/// Guards against a peer in a cut availability zone whose reports pause servers that other
/// instances reach.
#[test]
fn own_success_overrides_a_peer_report() {
    let mut health = Health::default();
    health.record(at(0), Observation::Success);
    health.on_peer_report(at(500));
    assert!(!health.is_paused(at(501)));
    health.on_peer_report(at(1_500));
    assert!(health.is_paused(at(1_501)));
    assert!(
        !health.is_paused_by_own_requests(at(1_501)),
        "a peer's report would be passed on to other peers"
    );
    health.record(at(1_600), Observation::Success);
    assert!(!health.is_paused(at(1_601)));
}

/// Guards against a failure rate that ignores failures or that never recovers.
#[test]
fn failure_rate_rises_and_decays() {
    let mut health = Health::default();
    for _ in 0..30 {
        health.record(at(0), Observation::Error);
    }
    assert!(health.failure_rate() > 0.9);
    health.decay(Millis::new(3_000));
    assert!(health.failure_rate() < 0.5);
}

/// Guards against an engine that counts as slow because it prefilled prompts between two events,
/// and against a slow engine that isn't detected.
#[test]
fn slowdown_follows_the_shortest_pass() {
    let mut health = Health::default();
    for pass in [150.0, 300.0, 52.0, 210.0] {
        health.on_pass(at(100), pass);
    }
    assert!((health.slowdown(at(101), DECODE_PASS_MS) - 1.0).abs() < f64::EPSILON);
    let mut slow = Health::default();
    for pass in [190.0, 400.0, 176.0] {
        slow.on_pass(at(100), pass);
    }
    assert!((slow.slowdown(at(101), DECODE_PASS_MS) - 4.0).abs() < 0.01);
    assert!(
        (slow.slowdown(at(10_000), DECODE_PASS_MS) - 1.0).abs() < f64::EPSILON,
        "an old pass still counts"
    );
}

/// Guards against an engine that gets work by its former speed for seconds after it has become four
/// times slower.
#[test]
fn slow_engine_is_noticed_within_a_second() {
    let mut health = Health::default();
    let normal = (0..50).map(|number| (number * 44, 44.0));
    let slow = (1..=6).map(|number| (2_200 + number * 176, 176.0));
    for (ms, pass_ms) in normal.chain(slow) {
        health.on_pass(at(ms), pass_ms);
    }
    assert!((health.slowdown(at(2_200 + 1_100), DECODE_PASS_MS) - 4.0).abs() < 0.01);
}
