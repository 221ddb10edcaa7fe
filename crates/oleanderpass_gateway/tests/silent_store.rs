//! Test that changes come into force after the store was silent, however calls to it hang.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

use crate::common::fleet::Fault;
use crate::common::server;
use crate::common::store::Outage;
use crate::common::store::StoreFleet;
use crate::common::store::Write;

fn fleet(instances: usize, absent: &[usize]) -> StoreFleet {
    let mut writes = vec![Write::Configuration(1)];
    writes.extend((0..6).map(|number| {
        let entry = server(&format!("e{number}"), "engines", 1, number);
        Write::Server(entry)
    }));
    StoreFleet::new(instances, absent, writes)
}

/// Guards against waiting for watches that will never be answered, because the store fell silent
/// after they had begun, at all instances that read it.
#[test_case(8, 500)]
#[test_case(8, 2_000)]
#[test_case(8, 4_200)]
#[test_case(8, 9_000)]
#[test_case(295, 4_200)]
fn change_after_a_silence_comes_into_force(instances: usize, silent_ms: u64) {
    let mut fleet = fleet(instances, &[]);
    fleet.write(1_000, Write::Configuration(3));
    fleet.outage(1_200, silent_ms, Outage::Silent);
    fleet.write(1_200 + silent_ms + 300, Write::Configuration(5));
    fleet.run(1_200 + silent_ms + 6_000);
    fleet.assert_no_violations();
}

/// Guards against the same at any moment, around instances that start, stand still or are cut off.
#[test_case(8, 1)]
#[test_case(8, 2)]
#[test_case(8, 3)]
#[test_case(8, 4)]
#[test_case(60, 5)]
#[test_case(295, 6)]
fn changes_come_into_force_around_silences(instances: usize, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = fleet(instances, &[1]);
    let end = if instances > 100 { 14_000 } else { 40_000 };
    let mut at = 500;
    let mut version = 1;
    while at < end - 4_000 {
        at += rng.random_range(50..2_500);
        version += rng.random_range(1..4);
        fleet.write(at, Write::Configuration(version));
    }
    let mut at = 1_000;
    while at < end - 4_000 {
        at += rng.random_range(500..5_000);
        let ms = rng.random_range(50..6_000);
        fleet.outage(at, ms, Outage::Silent);
        for _ in 0..instances / 4 {
            let instance = rng.random_range(0..instances);
            let fault = match rng.random_range(0..3) {
                0 => Fault::Start,
                1 => Fault::Freeze(rng.random_range(100..3_000)),
                _ => Fault::Cut(rng.random_range(100..3_000)),
            };
            fleet.fault(at + rng.random_range(0..ms), instance, fault);
        }
        at += ms + 3_500;
    }
    fleet.run(end);
    fleet.assert_no_violations();
}
