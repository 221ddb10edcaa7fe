//! Test that an instance keeps to the pauses that backend servers ask for.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use oleanderpass_gateway::backend::BackendKey;
use oleanderpass_gateway::gateway::AttemptEnd;
use oleanderpass_gateway::gateway::Gateway;
use oleanderpass_gateway::gateway::Next;
use oleanderpass_gateway::pauses::MAX_PAUSE;
use oleanderpass_gateway::pauses::Pauses;
use oleanderpass_gateway::pauses::UrgentOrder;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use test_case::test_case;

use crate::common::at;
use crate::common::attempt;
use crate::common::begin;
use crate::common::gateway;
use crate::common::server;

const KEY: BackendKey = BackendKey(7);

fn keys(gateway: &Gateway) -> Vec<BackendKey> {
    gateway.registry().iter().map(|(key, _)| key).collect()
}

/// Let all servers ask for a pause.
fn pause_all(gateway: &mut Gateway, now: Timestamp, ms: u64) {
    for key in keys(gateway) {
        gateway.on_pause_asked(now, key, Millis::new(ms));
    }
}

/// Guards against a later answer that shortens a pause, and against a value that shuts a server out
/// for good. Each pair is when an answer came and the pause that it asked for.
#[test_case(&[(0, 3_000)], 3_000)]
#[test_case(&[(0, 3_000), (100, 500)], 3_000; "a shorter one later")]
#[test_case(&[(0, 3_000), (2_000, 3_000)], 5_000; "a longer one later")]
#[test_case(&[(0, u64::MAX)], MAX_PAUSE.get(); "enormous")]
#[test_case(&[(0, 0)], 0; "none")]
fn pause_lasts(asked: &[(u64, u64)], end: u64) {
    let mut pauses = Pauses::default();
    for (now, ms) in asked {
        pauses.on_asked(at(*now), KEY, Millis::new(*ms));
    }
    let last = asked.last().unwrap().0;
    let left = pauses.left(at(last), KEY).unwrap_or_default();
    assert_eq!(at(last) + left, at(end));
    assert_eq!(pauses.left(at(end), KEY), None);
}

/// Guards against more orders in a pause than its bound allows.
#[test]
fn urgent_orders_are_sent_once_in_a_pause() {
    let mut pauses = Pauses::default();
    assert!(pauses.take_order(at(0), KEY, UrgentOrder::Extend));
    pauses.on_asked(at(0), KEY, Millis::new(2_000));
    for order in [UrgentOrder::Extend, UrgentOrder::Release] {
        assert!(pauses.take_order(at(10), KEY, order));
        assert!(!pauses.take_order(at(20), KEY, order));
    }
    pauses.on_asked(at(1_000), KEY, Millis::new(3_000));
    assert!(!pauses.take_order(at(1_100), KEY, UrgentOrder::Extend));
    assert!(pauses.take_order(at(4_000), KEY, UrgentOrder::Extend));
}

/// Guards against a request that waits although it can't be served in time, or that is told to come
/// back too early: all servers of its service want a pause.
#[test_case("/look/1", 3_000, Some(503); "refused at once")]
#[test_case("/chat/1", 3_000, Some(503); "stream")]
#[test_case("/look/1", 200, None; "waits for a short pause")]
fn request_without_a_server_that_wants_it(path: &str, ms: u64, refused: Option<u16>) {
    let mut gateway = gateway(3);
    pause_all(&mut gateway, at(0), ms);
    let mut req = begin(&mut gateway, at(10), path, 5_000);
    match (gateway.next(at(10), &mut req), refused) {
        (
            Next::End {
                status,
                retry_after,
                ..
            },
            Some(expected),
        ) => {
            assert_eq!(status, expected);
            let left = Millis::new(ms - 10);
            let wait = retry_after.unwrap();
            assert!(wait >= left && wait <= left + Millis::new(250), "{wait}");
        }
        (Next::Wait(until), None) => assert_eq!(until, at(ms)),
        other => panic!("{other:?}"),
    }
}

/// Guards against an attempt that was planned before the pause, and against a retry, a hedge or a
/// helper at a server that wants nothing.
#[test]
fn planned_attempt_is_not_sent_in_a_pause() {
    let mut gateway = gateway(2);
    let mut req = begin(&mut gateway, at(0), "/review/1", 400_000);
    let planned = attempt(gateway.next(at(0), &mut req));
    let helper = planned.plan.helpers[0].key;
    gateway.on_pause_asked(at(1), helper, Millis::new(4_000));
    assert!(!gateway.may_send(at(2), &req, &planned));
    assert!(gateway.may_send(at(4_001), &req, &planned));
    gateway.on_attempt_end(at(3), &mut req, &planned, AttemptEnd::StaleConnection);
    // One engine is too few for the prompt.
    let next = gateway.next(at(4), &mut req);
    assert!(matches!(next, Next::End { status: 503, .. }), "{next:?}");
}

/// Guards against requests that arrive together right after a pause, because all waited for its
/// end.
#[test]
fn requests_after_a_pause_keep_a_distance() {
    let mut gateway = gateway(1);
    let key = server("e0", "engines", 1, 0).key();
    gateway.on_pause_asked(at(0), key, Millis::new(200));
    let mut waiting: Vec<_> = (0..6)
        .map(|_| begin(&mut gateway, at(50), "/chat/1", 500))
        .collect();
    let mut sent = Vec::new();
    for now in (50..1_000).step_by(5) {
        waiting.retain_mut(|req| match gateway.next(at(now), req) {
            Next::Send(_) => {
                sent.push(now);
                false
            }
            Next::Wait(_) => true,
            // Its objective can't be met any more.
            Next::End { status: 503, .. } => false,
            other => panic!("{other:?}"),
        });
    }
    assert_eq!(sent, [200, 250, 300, 350]);
}

/// Guards against a pause that outlasts the server that asked for it.
#[test]
fn pause_ends_with_the_lifetime_of_its_server() {
    let mut gateway = gateway(1);
    let key = server("e0", "engines", 1, 0).key();
    gateway.on_pause_asked(at(0), key, MAX_PAUSE);
    let entry = server("e0", "engines", 2, 0);
    let new_key = entry.key();
    gateway.on_entry(at(20), entry.id.clone(), 21, Some(entry));
    let mut req = begin(&mut gateway, at(30), "/chat/1", 5_000);
    assert_eq!(
        attempt(gateway.next(at(30), &mut req)).plan.primary,
        new_key
    );
}
