//! Guard against a view that miscounts own work, expects hits after lost cache events, or has the
//! wrong engines in its pool.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

mod common;

use oleanderpass_routing::prefix::CacheKey;
use oleanderpass_routing::prefix::PrefixIndex;
use oleanderpass_routing::request::LengthClass;
use oleanderpass_routing::view::Dispatch;
use oleanderpass_routing::view::LoadReport;
use oleanderpass_routing::view::OwnWork;
use oleanderpass_routing::view::View;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Tokens;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::proptest;
use proptest::prop_assert_eq;

use crate::common::engine;
use crate::common::prefixes;
use crate::common::server;
use crate::common::view;

fn pool_ids(view: &mut View) -> Vec<String> {
    view.refresh();
    view.pool()
        .iter()
        .map(|candidate| view.at(*candidate).id.to_string())
        .collect()
}

/// Guards against instances that disagree on the long-prompt partition because they learned of the
/// engines in different orders.
#[test]
fn long_partition_does_not_depend_on_insertion_order() {
    let mut forward = view(9);
    let mut backward = View::new("z1".parse().unwrap());
    for number in (0..9).rev() {
        backward.upsert(server(number, "z1"));
    }
    assert_eq!(pool_ids(&mut forward), pool_ids(&mut backward));
}

/// Guards against new work on a draining engine, and against cross-zone traffic while the own zone
/// has a usable engine.
#[test]
fn other_zones_are_used_only_without_own_engine() {
    let mut view = view(2);
    view.upsert(server(7, "z2"));
    assert_eq!(pool_ids(&mut view).len(), 2);
    view.set_usable(&engine(0), true, true);
    assert_eq!(pool_ids(&mut view), ["e01"]);
    view.remove(&engine(1));
    assert_eq!(pool_ids(&mut view), ["e07"]);
    view.upsert(server(1, "z1"));
    assert_eq!(pool_ids(&mut view), ["e01"]);
}

/// Guards against a delayed report that replaces a newer one.
#[test]
fn older_report_is_ignored() {
    let mut view = view(1);
    let report = |tokens| LoadReport {
        queued_prefill: Tokens::new(tokens),
        ..LoadReport::default()
    };
    let now = Timestamp::from_millis(60_000);
    view.apply_report(now, &engine(0), Millis::new(100), report(7));
    view.apply_report(now, &engine(0), Millis::new(5_000), report(9));
    assert_eq!(view.mean_others_prefill(), Tokens::new(7));
    view.remove(&engine(0));
    assert_eq!(view.mean_others_prefill(), Tokens::ZERO);
}

/// Guards against expected hits on a prefix that was evicted, or that may have been evicted by a
/// cache event that was lost.
#[test]
fn evicted_or_lost_prefixes_are_not_expected() {
    let mut view = view(1);
    let list = prefixes(&[1_024, 2_048]);
    let hit = |view: &View| {
        let key = view.server(&engine(0)).unwrap().cache_key();
        view.prefixes.expected_hit(&list, key).get()
    };
    for prefix in &list {
        view.apply_cache_event(&engine(0), prefix.hash, false);
    }
    assert_eq!(hit(&view), 2_048);
    view.apply_cache_event(&engine(0), list[1].hash, true);
    assert_eq!(hit(&view), 1_024);
    view.record_lost_cache_events(&engine(0));
    assert_eq!(hit(&view), 0);
}

/// Guards against an index that grows without bound or drops entries in use.
#[test]
fn prefix_index_is_bounded() {
    let mut index = PrefixIndex::default();
    let list = prefixes(&[1_024]);
    for number in 0..300_000_u64 {
        index.insert(number.wrapping_mul(0x9e37_79b9_7f4a_7c15), CacheKey(number));
        index.insert(list[0].hash, CacheKey(1));
    }
    assert!(index.len() <= 65_536);
    assert_eq!(index.expected_hit(&list, CacheKey(1)).get(), 1_024);
}

proptest! {
    /// Guards against leaked load: own work that stays on an engine after its requests have ended.
    #[test]
    fn own_work_returns_to_zero(
        work in prop::collection::vec((0..3_u32, 1..900_000_u64, any::<bool>()), 1..40)
    ) {
        let mut view = view(3);
        let mut running = Vec::new();
        for (number, tokens, has_first_token) in work {
            let mut dispatch = Dispatch {
                servers: vec![engine(number)],
                class: LengthClass::of(Tokens::new(tokens), view.long_prompt()),
                prefill: Tokens::new(tokens),
                memory: Tokens::new(tokens),
                prefill_done: false,
            };
            view.record_dispatch(Timestamp::ORIGIN, &dispatch, &[]);
            if has_first_token {
                view.record_first_token(&mut dispatch);
                view.record_first_token(&mut dispatch);
            }
            running.push(dispatch);
        }
        for dispatch in running {
            view.record_end(dispatch);
        }
        for server in view.servers() {
            prop_assert_eq!(server.own, OwnWork::default());
        }
    }
}
