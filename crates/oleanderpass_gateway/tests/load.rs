//! Check the account of work at backend servers.

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

fn work() -> AttemptLoad {
    AttemptLoad {
        unread_ms: 26.0,
        gap: Some(Millis::new(250)),
        memory: Tokens::new(6_000),
        takes_slot: true,
        deferred: false,
        prefill_end: None,
    }
}

/// Guards against work that stays in the account after its attempt ended.
#[test]
fn account_is_empty_after_the_end() {
    let mut book = LoadTracker::default();
    book.add(KEY, AttemptId(1), work());
    book.add(KEY, AttemptId(2), work());
    assert!(book.take_changed());
    let sum = book.backend_load(at(0), KEY);
    assert_eq!(
        (sum.in_flight, sum.tight_writers, sum.memory.get()),
        (2, 2, 12_000)
    );
    book.on_first_event([KEY], AttemptId(1));
    assert!((book.backend_load(at(0), KEY).unread_ms - 26.0).abs() < f64::EPSILON);
    book.remove([KEY], AttemptId(1));
    book.remove([KEY], AttemptId(2));
    assert_eq!(book.backend_load(at(0), KEY), BackendLoad::default());
    assert_eq!(book.placed(at(0)).count(), 0);
}

/// Guards against a late datagram that brings old work back, and against a dead peer whose work
/// counts for ever.
#[test]
fn latest_bulletin_counts_until_its_sender_is_silent() {
    let mut book = LoadTracker::default();
    let placed = |in_flight| {
        let sum = BackendLoad {
            in_flight,
            ..BackendLoad::default()
        };
        IndexMap::from_iter([(KEY, sum)])
    };
    let peer = || "edge-2".parse().unwrap();
    assert!(book.on_bulletin(at(0), peer(), 5, placed(3), 1.5));
    assert!(!book.on_bulletin(at(1), peer(), 4, placed(9), 0.0));
    assert_eq!(book.backend_load(at(2), KEY).in_flight, 3);
    book.record_long_prompt(at(2), 2_500.0);
    assert!((book.long_prompt_load(at(3)) - 2.5).abs() < f64::EPSILON);
    let silent = at(0) + BULLETIN_LIFETIME;
    assert!((book.long_prompt_load(silent) - 1.0).abs() < f64::EPSILON);
    assert_eq!(book.backend_load(silent, KEY).in_flight, 0);
    // A restarted peer whose numbers begin lower is heard after its silence.
    assert!(book.on_bulletin(silent, peer(), 1, placed(2), 0.0));
}

/// Guards against engines that count as busy while the slowest engine of a split prompt reads
/// (mispill-grown scale-1, seconds 6 to 11: engines counted 1.2 s of unread work that took half of
/// it).
#[test]
fn part_of_a_split_prompt_shrinks_as_time_passes() {
    let part = |ms, prefill_end| AttemptLoad {
        unread_ms: ms,
        prefill_end: Some(at(prefill_end)),
        ..work()
    };
    let mut book = LoadTracker::default();
    book.add(KEY, AttemptId(1), part(400.0, 400));
    book.add(KEY, AttemptId(2), part(200.0, 600));
    book.add(KEY, AttemptId(3), work());
    let unread = |book: &LoadTracker, now| book.backend_load(at(now), KEY).unread_ms as u64;
    assert_eq!(unread(&book, 0), 626);
    assert_eq!(unread(&book, 300), 326);
    assert_eq!(unread(&book, 500), 126);
    assert_eq!(
        unread(&book, 9_000),
        26,
        "a whole prompt is read when its first event comes"
    );

    // A peer that heard of it at 300 knows as much later without another bulletin.
    let mut peer = LoadTracker::default();
    let placed = book.placed(at(300)).collect();
    peer.on_bulletin(at(300), "edge-2".parse().unwrap(), 1, placed, 0.0);
    assert_eq!(unread(&peer, 300), 326);
    assert_eq!(unread(&peer, 500), 126);
    assert_eq!(unread(&peer, 900), 26);
}
