//! Check how backend servers are judged by what requests show.

mod common;

use oleanderpass_gateway::health::Health;
use oleanderpass_gateway::health::Observation;
use oleanderpass_types::clock::Millis;

use crate::common::at;

/// The pass of an idle engine of the standard sites, in milliseconds.
const DECODE_PASS_MS: f64 = 44.0;

/// Guards against a server that is left out because one answer was lost.
#[test]
fn one_silent_answer_is_no_outage() {
    let mut health = Health::default();
    health.record(at(0), Observation::Silent);
    assert!(!health.is_paused(at(1)));
    health.record(at(10), Observation::Silent);
    assert!(health.is_paused(at(11)));
}

/// Guards against requests that try an unreachable server again and again, and against one that is
/// never tried again.
#[test]
fn pause_grows_and_ends() {
    let mut health = Health::default();
    health.record(at(0), Observation::Unreachable);
    assert!(health.is_paused(at(499)) && !health.is_paused(at(500)));
    health.record(at(500), Observation::Unreachable);
    assert!(health.is_paused(at(1_499)) && !health.is_paused(at(1_500)));
    for _ in 0..20 {
        health.record(at(2_000), Observation::Unreachable);
    }
    assert!(!health.is_paused(at(4_000)), "the pause has no bound");
    health.record(at(2_001), Observation::Success);
    assert!(!health.is_paused(at(2_001)));
}

/// Guards against a peer in a cut zone that takes servers from those who reach them.
#[test]
fn own_answers_outweigh_a_peers_word() {
    let mut health = Health::default();
    health.record(at(0), Observation::Success);
    health.on_peer_report(at(500));
    assert!(!health.is_paused(at(501)));
    health.on_peer_report(at(1_500));
    assert!(health.is_paused(at(1_501)));
    assert!(
        !health.is_paused_by_own_requests(at(1_501)),
        "a peer's word would be told on"
    );
    health.record(at(1_600), Observation::Success);
    assert!(!health.is_paused(at(1_601)));
}

#[test]
fn failure_rate_follows_and_fades() {
    let mut health = Health::default();
    for _ in 0..30 {
        health.record(at(0), Observation::Error);
    }
    assert!(health.failure_rate() > 0.9);
    health.decay(Millis::new(3_000));
    assert!(health.failure_rate() < 0.5);
}

/// Guards against an engine that counts as slow because it read prompts between two events, and
/// against a slow one that goes unnoticed.
#[test]
fn pace_is_that_of_the_shortest_pass() {
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
        "old news counts"
    );
}
