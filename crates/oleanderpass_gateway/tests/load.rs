//! Test the tracking of load on backend servers.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use indexmap::IndexMap;
use oleanderpass_gateway::backend::BackendKey;
use oleanderpass_gateway::load::AttemptId;
use oleanderpass_gateway::load::AttemptLoad;
use oleanderpass_gateway::load::BULLETIN_LIFETIME;
use oleanderpass_gateway::load::BackendLoad;
use oleanderpass_gateway::load::LoadTracker;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::size::Tokens;

use crate::common::at;

const KEY: BackendKey = BackendKey(7);

fn attempt_load() -> AttemptLoad {
    AttemptLoad {
        unread_ms: 26.0,
        gap: Some(Millis::new(250)),
        memory: Tokens::new(6_000),
        takes_slot: true,
        deferred: false,
        prefill_end: None,
    }
}

/// Guards against load that is still counted after its attempt has ended.
#[test]
fn ended_attempts_leave_no_load() {
    let mut tracker = LoadTracker::default();
    tracker.add(KEY, AttemptId(1), attempt_load());
    tracker.add(KEY, AttemptId(2), attempt_load());
    assert!(tracker.take_changed());
    let sum = tracker.backend_load(at(0), KEY);
    assert_eq!(
        (sum.in_flight, sum.tight_writers, sum.memory.get()),
        (2, 2, 12_000)
    );
    tracker.on_first_event([KEY], AttemptId(1));
    assert!((tracker.backend_load(at(0), KEY).unread_ms - 26.0).abs() < f64::EPSILON);
    tracker.remove([KEY], AttemptId(1));
    tracker.remove([KEY], AttemptId(2));
    assert_eq!(tracker.backend_load(at(0), KEY), BackendLoad::default());
    assert_eq!(tracker.placed(at(0)).count(), 0);
}

/// Guards against a late datagram that restores old load, and against a dead peer whose load counts
/// forever.
#[test]
fn latest_bulletin_counts_until_it_expires() {
    let mut tracker = LoadTracker::default();
    let placed = |in_flight| {
        let load = BackendLoad {
            in_flight,
            ..BackendLoad::default()
        };
        IndexMap::from_iter([(KEY, load)])
    };
    let peer = || "edge-2".parse().unwrap();
    assert!(tracker.on_bulletin(at(0), peer(), 5, placed(3), 1.5));
    assert!(!tracker.on_bulletin(at(1), peer(), 4, placed(9), 0.0));
    assert_eq!(tracker.backend_load(at(2), KEY).in_flight, 3);
    tracker.record_long_prompt(at(2), 4_000.0);
    assert!((tracker.long_prompt_load(at(3)) - 2.5).abs() < f64::EPSILON);
    let silent = at(0) + BULLETIN_LIFETIME;
    assert!((tracker.long_prompt_load(silent) - 1.0).abs() < f64::EPSILON);
    assert_eq!(tracker.backend_load(silent, KEY).in_flight, 0);
    // A bulletin with a lower number, of a restarted peer, counts once the last one has expired.
    assert!(tracker.on_bulletin(silent, peer(), 1, placed(2), 0.0));
}

/// Guards against engines that count as busy until the slowest engine of a split prompt has
/// finished its prefill. Engines counted 1.2 s of pending prefill that took half of that time (site
/// `mispill-grown`, run `scale-1`, seconds 6 to 11).
#[test]
fn pending_prefill_of_a_split_prompt_falls_with_time() {
    let part = |ms, prefill_end| AttemptLoad {
        unread_ms: ms,
        prefill_end: Some(at(prefill_end)),
        ..attempt_load()
    };
    let mut tracker = LoadTracker::default();
    tracker.add(KEY, AttemptId(1), part(400.0, 400));
    tracker.add(KEY, AttemptId(2), part(200.0, 600));
    tracker.add(KEY, AttemptId(3), attempt_load());
    let unread = |tracker: &LoadTracker, now| tracker.backend_load(at(now), KEY).unread_ms as u64;
    assert_eq!(unread(&tracker, 0), 626);
    assert_eq!(unread(&tracker, 300), 326);
    assert_eq!(unread(&tracker, 500), 126);
    assert_eq!(
        unread(&tracker, 9_000),
        26,
        "a whole prompt is pending until its first event"
    );

    // A peer that received a bulletin at 300 computes the same values later without another one.
    let mut peer = LoadTracker::default();
    let placed = tracker.placed(at(300)).collect();
    peer.on_bulletin(at(300), "edge-2".parse().unwrap(), 1, placed, 0.0);
    assert_eq!(unread(&peer, 300), 326);
    assert_eq!(unread(&peer, 500), 126);
    assert_eq!(unread(&peer, 900), 26);
}

/// Guards against one very long prompt that leaves hardly any engine to the short streams. A prompt
/// of 616,000 tokens counted as 17 engines of prefill load for 2.5 s.
#[test]
fn load_of_one_prompt_is_bounded() {
    let mut tracker = LoadTracker::default();
    tracker.record_long_prompt(at(0), 44_000.0);
    assert!(tracker.long_prompt_load(at(1)) <= 3.0);
}
