//! Test that a request whose answer has begun isn't ended by a shortage that soon passes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use oleanderpass_gateway::absence::Absence;
use oleanderpass_gateway::gateway::AttemptEnd;
use oleanderpass_gateway::gateway::Next;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::size::RequestRate;
use test_case::test_case;

use crate::common::at;
use crate::common::attempt;
use crate::common::begin;
use crate::common::gateway;
use crate::common::gateway_named;
use crate::common::introduce;

/// The time after the last event for which callers wait for the next one. Source: the callers'
/// published behaviour.
const CALLER_PATIENCE: Millis = Millis::new(2_000);

/// Guards against giving up a stream whose events arrive, because a peer could not connect to its
/// server.
#[test]
fn server_that_sends_events_is_not_gone() {
    let mut peer = gateway_named("edge-1", 2);
    let mut own = gateway_named("edge-2", 2);
    introduce(&mut peer, "edge-2");
    let mut req = begin(&mut own, at(0), "/chat/1", 5_000);
    let first = attempt(own.next(at(0), &mut req));
    own.on_sent(&mut req, &first);
    own.on_first_event(&first);
    let key = first.plan.primary;
    peer.on_server_gone(at(990), key, Absence::Unreachable);
    let mut out = Vec::new();
    peer.on_tick(at(1_000), &mut out);
    let source = "10.0.1.1:7340".parse().unwrap();
    for (_, packet) in out {
        own.on_packet(at(1_000), source, &packet, &mut Vec::new());
    }
    own.on_pass(at(1_040), key, 44.0);
    assert!(!own.is_gone(at(1_050), key));
}

/// Guards against waiting for a server that died, because it sent events before it did.
#[test]
fn server_that_broke_off_or_fell_silent_is_gone() {
    let mut own = gateway_named("edge-2", 2);
    let mut req = begin(&mut own, at(0), "/chat/1", 5_000);
    let first = attempt(own.next(at(0), &mut req));
    own.on_sent(&mut req, &first);
    let key = first.plan.primary;
    own.on_events(at(900), &mut req, &first);
    own.on_server_gone(at(1_000), key, Absence::Unreachable);
    assert!(!own.is_gone(at(1_899), key));
    assert!(own.is_gone(at(1_900), key));
    own.on_events(at(1_900), &mut req, &first);
    own.on_attempt_end(at(1_910), &mut req, &first, AttemptEnd::Broken);
    assert!(own.is_gone(at(1_910), key));
}

/// Guards against cutting a stream whose caller waits longer than the servers' limits on their
/// request rates hold it up.
#[test_case(2_000; "two requests per second")]
#[test_case(800; "less than one request per second")]
fn stream_that_broke_off_waits_for_a_rate_limit(thousandths: u32) {
    let mut gateway = gateway(2);
    let mut req = begin(&mut gateway, at(0), "/chat/1", 5_000);
    let first = attempt(gateway.next(at(0), &mut req));
    gateway.on_sent(&mut req, &first);
    req.delivering = true;
    let rate = RequestRate::from_thousandths(thousandths);
    let keys: Vec<_> = gateway.registry().iter().map(|(key, _)| key).collect();
    for key in keys {
        gateway.on_server_limit(at(1_000), key, Some(rate));
    }
    gateway.on_tick(at(1_000), &mut Vec::new());
    gateway.on_attempt_end(at(1_010), &mut req, &first, AttemptEnd::Broken);
    let next = gateway.next(at(1_010), &mut req);
    let waits = matches!(next, Next::Wait(until) if until < at(1_010) + CALLER_PATIENCE);
    assert!(waits, "{next:?}");
}

/// Guards against cutting a stream of a prompt that needs several engines, because their memory is
/// taken at the moment in which its server breaks it off.
#[test]
fn stream_that_broke_off_waits_for_memory() {
    let mut gateway = gateway(3);
    let mut req = begin(&mut gateway, at(0), "/review/1", 400_000);
    let first = attempt(gateway.next(at(0), &mut req));
    gateway.on_sent(&mut req, &first);
    req.delivering = true;
    gateway.on_attempt_end(at(5_000), &mut req, &first, AttemptEnd::Broken);
    let mut other = begin(&mut gateway, at(5_000), "/review/2", 400_000);
    attempt(gateway.next(at(5_000), &mut other));
    let next = gateway.next(at(5_001), &mut req);
    let waits = matches!(next, Next::Wait(until) if until < at(5_001) + CALLER_PATIENCE);
    assert!(waits, "{next:?}");
}
