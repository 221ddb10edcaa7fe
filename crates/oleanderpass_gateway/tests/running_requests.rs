//! Test that a request whose answer has begun isn't ended by a shortage that soon passes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use oleanderpass_gateway::absence::Absence;
use oleanderpass_gateway::gateway::AttemptEnd;

use crate::common::at;
use crate::common::attempt;
use crate::common::begin;
use crate::common::gateway_named;
use crate::common::introduce;

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
