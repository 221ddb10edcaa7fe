//! Test that changes come into force while the store is slow.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use test_case::test_case;

use crate::common::fleet::Fault;
use crate::common::server;
use crate::common::store::Outage;
use crate::common::store::StoreFleet;
use crate::common::store::Write;

/// When the store becomes slow, and for how long, in milliseconds.
const SLOW_AT: u64 = 5_000;
const SLOW_MS: u64 = 20_000;

fn fleet(instances: usize) -> StoreFleet {
    let mut writes = vec![Write::Configuration(1)];
    writes.extend((0..6).map(|number| {
        let entry = server(&format!("e{number}"), "engines", 1, number);
        Write::Server(entry)
    }));
    StoreFleet::new(instances, &[], writes)
}

/// Guards against a store whose answers are dropped and asked for again because they take longer
/// than a call to a sound one. Each of its answers takes `call_ms`; reading everything takes two of
/// them.
#[test_case(8, 500)]
#[test_case(8, 800)]
#[test_case(8, 1_200)]
#[test_case(8, 2_500)]
#[test_case(60, 1_200)]
#[test_case(295, 1_600)]
fn changes_come_into_force_while_the_store_is_slow(instances: usize, call_ms: u64) {
    let mut fleet = fleet(instances);
    fleet.slow_down(SLOW_AT, SLOW_MS, call_ms);
    // Instances that start read everything, and their watches begin at other times.
    for start in 0..5 {
        fleet.fault(SLOW_AT + 170 + 3_000 * start, start as usize, Fault::Start);
    }
    let mut version = 1;
    let mut last_news = SLOW_AT;
    let mut longest = 0;
    let mut seen = 0;
    for now in (SLOW_AT..SLOW_AT + SLOW_MS).step_by(100) {
        if (now - SLOW_AT).is_multiple_of(500) {
            version += 1;
            fleet.write(now, Write::Configuration(version));
        }
        fleet.run(now);
        let oldest = (0..instances).map(|n| fleet.version(n)).min().unwrap();
        if oldest > seen {
            (seen, last_news) = (oldest, now);
        }
        longest = longest.max(now - last_news);
    }
    // A change may just miss a watch and wait for the next one.
    let allowed = 3 * call_ms + 2_000;
    assert!(longest <= allowed, "no news for {longest} ms");
    // Afterwards the store is as before.
    let end = SLOW_AT + SLOW_MS + 5_000;
    fleet.write(end, Write::Configuration(version + 1));
    fleet.run(end + 2_000);
    let late = (0..instances).filter(|n| fleet.version(*n) <= version);
    assert_eq!(late.count(), 0, "instances without the last version");
}

/// Guards against an instance that never gets ready because the store is slower than the time in
/// which it gives a call up.
#[test_case(1, 3_000)]
#[test_case(8, 3_000)]
#[test_case(1, 9_000)]
#[test_case(60, 14_000)]
fn instance_that_starts_reads_a_slow_store(instances: usize, call_ms: u64) {
    let mut fleet = fleet(instances);
    fleet.slow_down(SLOW_AT, 90_000, call_ms);
    let start_at = SLOW_AT + 170;
    for number in 0..instances {
        fleet.fault(start_at, number, Fault::Start);
    }
    fleet.run(start_at + 2 * call_ms + 2_000);
    let late = (0..instances).filter(|n| fleet.version(*n) == 0);
    assert_eq!(late.count(), 0, "instances without a configuration");
}

/// Guards against waiting for answers that will never come, once a slow store has been silent.
#[test_case(1_200, 500)]
#[test_case(1_200, 4_000)]
#[test_case(2_500, 9_000)]
fn silence_of_a_slow_store_is_noticed(call_ms: u64, silent_ms: u64) {
    let mut fleet = fleet(8);
    fleet.slow_down(SLOW_AT, SLOW_MS, call_ms);
    let silent_at = SLOW_AT + 4_000;
    fleet.outage(silent_at, silent_ms, Outage::Silent);
    fleet.slow_down(silent_at + silent_ms, 0, call_ms);
    let back = silent_at + silent_ms + 1;
    fleet.write(back, Write::Configuration(9));
    fleet.run(back + 2_000);
    let late: Vec<usize> = (0..8).filter(|n| fleet.version(*n) != 9).collect();
    assert!(late.is_empty(), "without the configuration: {late:?}");
}
