//! Test that confirmed changes come into force when the store is restored from a copy of itself.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use oleanderpass_gateway::backend::AnnouncedState;
use oleanderpass_gateway::backend::Announcement;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

use crate::common::fleet::Fault;
use crate::common::server;
use crate::common::store::Outage;
use crate::common::store::Restore;
use crate::common::store::StoreFleet;
use crate::common::store::Write;

fn engine(number: u8) -> Announcement {
    server(&format!("e{number}"), "engines", 1, number)
}

fn fleet(instances: usize, absent: &[usize]) -> StoreFleet {
    let mut writes = vec![Write::Configuration(1)];
    writes.extend((0..6).map(|number| Write::Server(engine(number))));
    StoreFleet::new(instances, absent, writes)
}

/// Return a restore after which what was lost is written again within a few hundred milliseconds.
fn restore(ms: u64, age_ms: u64) -> Restore {
    Restore {
        ms,
        age_ms,
        operator_ms: 100,
        servers_ms: 300,
    }
}

/// Guards against an instance that takes itself for up to date, because it read a higher revision
/// before the store was restored than its peers have read since.
#[test_case(8, 9_000)]
#[test_case(8, 500)]
#[test_case(295, 6_000)]
fn change_after_a_restore_comes_into_force(instances: usize, age_ms: u64) {
    let mut fleet = fleet(instances, &[]);
    for (at, version) in [(1_000, 3), (2_000, 4), (3_000, 6)] {
        fleet.write(at, Write::Configuration(version));
    }
    fleet.restore(4_000, restore(500, age_ms));
    fleet.write(5_500, Write::Configuration(9));
    fleet.write(6_000, Write::Configuration(11));
    let mut leaving = engine(2);
    leaving.state = AnnouncedState::Draining;
    fleet.write(6_200, Write::Server(leaving));
    fleet.run(11_000);
    fleet.assert_no_violations();
}

/// Guards against the same around instances that start, stand still or are cut off, and over
/// several restores.
#[test_case(8, 1)]
#[test_case(8, 2)]
#[test_case(8, 3)]
#[test_case(8, 4)]
#[test_case(8, 5)]
#[test_case(8, 6)]
#[test_case(295, 7)]
fn changes_come_into_force_around_disturbed_instances(instances: usize, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = fleet(instances, &[1]);
    let end = if instances > 100 { 13_000 } else { 30_000 };
    let mut at = 500;
    let mut version = 1;
    while at < end - 4_000 {
        at += rng.random_range(50..2_500);
        version += rng.random_range(1..4);
        fleet.write(at, Write::Configuration(version));
    }
    let mut at = 2_000;
    while at < end - 4_000 {
        at += rng.random_range(500..4_000);
        let (ms, age_ms) = (rng.random_range(50..3_000), rng.random_range(50..12_000));
        let restore = Restore {
            operator_ms: rng.random_range(0..3_000),
            servers_ms: rng.random_range(0..1_500),
            ..restore(ms, age_ms)
        };
        fleet.restore(at, restore);
        at += ms;
        for _ in 0..instances / 4 {
            let instance = rng.random_range(0..instances);
            let fault = match rng.random_range(0..3) {
                0 => Fault::Start,
                1 => Fault::Freeze(rng.random_range(100..3_000)),
                _ => Fault::Cut(rng.random_range(100..3_000)),
            };
            let at = at.saturating_sub(rng.random_range(0..2_000));
            fleet.fault(at, instance, fault);
        }
        at += 4_000;
    }
    fleet.run(end);
    fleet.assert_no_violations();
}

/// Guards against an instance that starts with an older version than its peers have, because the
/// operators have not yet written again what the store lost.
#[test_case(8)]
#[test_case(295)]
fn starting_instance_takes_the_version_of_its_peers(instances: usize) {
    let mut fleet = fleet(instances, &[]);
    fleet.write(1_000, Write::Configuration(5));
    let restore = Restore {
        operator_ms: 30_000,
        ..restore(500, 5_000)
    };
    fleet.restore(2_000, restore);
    for instance in [0, 4, 5] {
        fleet.fault(3_000 + 10 * instance as u64, instance, Fault::Start);
    }
    fleet.run(8_000);
    fleet.assert_no_violations();
}

/// Guards against handing an older version to an instance that can't reach the store.
#[test]
fn copy_for_peers_keeps_the_newest_version() {
    let mut fleet = fleet(8, &[]);
    fleet.write(1_000, Write::Configuration(5));
    let slow = Restore {
        operator_ms: 30_000,
        ..restore(500, 5_000)
    };
    fleet.restore(2_000, slow);
    fleet.outage(5_000, 2_000, Outage::Reset);
    fleet.fault(5_500, 3, Fault::Start);
    fleet.run(6_500);
    assert_eq!(fleet.version(3), 5, "the copy has an older version");
    fleet.run(12_000);
    fleet.assert_no_violations();
}

/// Guards against new work for a server that has left, because a copy from before lists it again.
#[test_case(8, true; "announced")]
#[test_case(8, false; "unannounced")]
#[test_case(295, false; "unannounced, large fleet")]
fn server_that_has_left_is_not_used_again(instances: usize, announced: bool) {
    let mut fleet = fleet(instances, &[]);
    if announced {
        let mut leaving = engine(2);
        leaving.state = AnnouncedState::Draining;
        fleet.write(1_500, Write::Server(leaving));
    }
    fleet.write(3_000, Write::Removal("e2".into()));
    let restore = Restore {
        servers_ms: 3_600,
        ..restore(500, 4_000)
    };
    fleet.restore(4_500, restore);
    fleet.run(11_000);
    fleet.assert_no_violations();
}

/// Guards against losing a server for good whose entry had expired before the restore, although it
/// lives and goes on writing.
#[test]
fn server_that_lives_is_used_again() {
    let mut fleet = fleet(8, &[]);
    fleet.write(3_000, Write::Removal("e2".into()));
    fleet.restore(4_500, restore(500, 4_000));
    fleet.write(6_500, Write::Server(engine(2)));
    fleet.run(20_000);
    fleet.assert_no_violations();
}

/// Guards against dropping a server for one that had its address before, because a copy from before
/// lists that one again.
#[test]
fn reused_address_stays_with_the_new_server() {
    let mut fleet = fleet(8, &[]);
    fleet.write(1_500, Write::Removal("e2".into()));
    fleet.write(3_500, Write::Server(server("a9", "engines", 5, 2)));
    let restore = Restore {
        servers_ms: 3_600,
        ..restore(500, 4_000)
    };
    fleet.restore(4_500, restore);
    fleet.write(5_900, Write::Server(server("a9", "engines", 5, 2)));
    fleet.run(12_000);
    fleet.assert_no_violations();
}
