//! Test how often the instances of one availability zone call a store that fails, and how soon they
//! notice that it serves them again.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use oleanderpass_routing::rendezvous::node_key;
use test_case::test_case;

use crate::common::fleet::name_of;
use crate::common::server;
use crate::common::store::Outage;
use crate::common::store::StoreFleet;
use crate::common::store::Write;
use crate::common::store::ZONES;

/// The number of instances of each zone.
const PER_ZONE: usize = 20;

/// When the store fails, in milliseconds.
const DOWN_AT: u64 = 2_000;

/// The calls per second that a zone of any size may make to a store that fails. With mean jitter, its
/// two readers make 3.5 and the next eight instances together 5; each further eight make half as many
/// as the eight before them, which is 3.7 in all.
const ALLOWED_PER_S: f64 = 14.0;

/// Return a running fleet with this number of instances in each zone.
fn fleet(per_zone: usize) -> StoreFleet {
    let mut writes = vec![Write::Configuration(1)];
    writes.extend((0..6).map(|number| {
        let entry = server(&format!("e{number}"), "engines", 1, number);
        Write::Server(entry)
    }));
    StoreFleet::new(per_zone * ZONES, &[], writes)
}

/// Return the instances of a zone in their hash order.
fn zone(per_zone: usize, zone: usize) -> Vec<usize> {
    let all = 0..per_zone * ZONES;
    let mut members: Vec<usize> = all.filter(|n| StoreFleet::zone(*n) == zone).collect();
    members.sort_by_key(|number| node_key(&name_of(*number)));
    members
}

/// Return the calls per second of the members between two times in milliseconds.
fn calls_per_s(fleet: &StoreFleet, members: &[usize], from: u64, to: u64) -> f64 {
    let within = |(at, number): &&(u64, usize)| (from..to).contains(at) && members.contains(number);
    let calls = fleet.calls_begun.iter().filter(within).count();
    calls as f64 * 1_000.0 / (to - from) as f64
}

/// Guards against a store that comes back under the calls of all instances. Without ranks, 20
/// instances of a zone called it 37 times a second, and 40 called it 73 times.
#[test_case(20, Outage::Reset, 2.0)]
#[test_case(40, Outage::Reset, 2.0)]
#[test_case(40, Outage::Silent, 1.0; "calls hang")]
fn calls_to_a_store_that_fails_are_bounded_for_any_zone(
    per_zone: usize,
    outage: Outage,
    least_of_readers: f64,
) {
    let mut fleet = fleet(per_zone);
    let end = DOWN_AT + 40_000;
    fleet.outage(DOWN_AT, end, outage);
    fleet.run(end);
    for number in 0..ZONES {
        let members = zone(per_zone, number);
        // In the first second, each instance notices by a call of its own.
        let per_s = calls_per_s(&fleet, &members, DOWN_AT + 1_000, end);
        assert!(
            per_s <= ALLOWED_PER_S,
            "zone {number}: {per_s} calls a second"
        );
        let readers = calls_per_s(&fleet, &members[..2], DOWN_AT + 1_000, end);
        assert!(
            readers >= least_of_readers,
            "zone {number}: {readers} calls a second of its readers"
        );
    }
}

/// Guards against instances that come back late, because their backoff is long. What is written
/// right after the outage has to be in force everywhere, and all have to be in touch with the store
/// or with peers that are.
#[test_case(3_000, Outage::Reset)]
#[test_case(12_000, Outage::Reset)]
#[test_case(30_000, Outage::Reset)]
#[test_case(3_000, Outage::Silent; "short, calls hang")]
#[test_case(30_000, Outage::Silent; "long, calls hang")]
fn all_instances_are_back_soon_after_an_outage(outage_ms: u64, outage: Outage) {
    let mut fleet = fleet(PER_ZONE);
    let back = DOWN_AT + outage_ms;
    fleet.outage(DOWN_AT, outage_ms, outage);
    fleet.write(back + 1, Write::Configuration(7));
    fleet.run(back + 2_000);
    let all = 0..PER_ZONE * ZONES;
    let late: Vec<usize> = all
        .filter(|n| fleet.version(*n) != 7 || !fleet.is_in_touch(*n))
        .collect();
    assert!(late.is_empty(), "not back: {late:?}");
    fleet.assert_no_violations();
    // Afterwards, only the readers of each zone call the store.
    fleet.run(back + 6_000);
    for number in 0..ZONES {
        let members = zone(PER_ZONE, number);
        let others = calls_per_s(&fleet, &members[2..], back + 2_000, back + 6_000);
        assert!(others == 0.0, "zone {number}: {others} calls of others");
    }
}

/// Guards against a zone without news, because the store refuses the first instances of its hash
/// order and the others leave the calls to them. Each one that the store serves again has to notice
/// within three seconds.
#[test]
fn others_take_over_if_the_store_refuses_the_first_instances() {
    let mut fleet = fleet(PER_ZONE);
    for number in 0..PER_ZONE * ZONES {
        fleet.refuse(number, true);
    }
    fleet.run(20_000);
    let served: Vec<usize> = (0..ZONES)
        .flat_map(|number| zone(PER_ZONE, number).split_off(2))
        .collect();
    for number in &served {
        fleet.refuse(*number, false);
    }
    fleet.write(20_001, Write::Configuration(5));
    fleet.run(23_000);
    let all = 0..PER_ZONE * ZONES;
    let late: Vec<usize> = all.filter(|number| fleet.version(*number) != 5).collect();
    assert!(late.is_empty(), "without the configuration: {late:?}");
    let late = served.iter().filter(|number| !fleet.is_in_touch(**number));
    assert_eq!(late.count(), 0, "instances that the store serves are late");
}

/// Guards against an instance that the store serves while it refuses all others of the zone, and
/// that doesn't notice within three seconds: one of the first ten of its zone at all times, and any
/// other while instances of other zones read the store.
#[test_case(2, true)]
#[test_case(9, true)]
#[test_case(10, false)]
#[test_case(19, false)]
fn only_served_instance_notices_within_three_seconds(rank: usize, all_zones_refused: bool) {
    for phase in 0..6 {
        let mut fleet = fleet(PER_ZONE);
        fleet.run(DOWN_AT);
        let members = zone(PER_ZONE, 0);
        for number in 0..PER_ZONE * ZONES {
            fleet.refuse(number, all_zones_refused || members.contains(&number));
        }
        // The return meets the instance at different moments of its backoff.
        let back = 10_000 + 500 * phase;
        fleet.run(back);
        fleet.refuse(members[rank], false);
        fleet.run(back + 3_000);
        assert!(fleet.is_in_touch(members[rank]), "late in phase {phase}");
    }
}
