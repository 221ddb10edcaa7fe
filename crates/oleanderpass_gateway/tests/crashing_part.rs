//! Test how a fleet treats requests that crash backend servers by a part of their prompts.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use test_case::test_case;

use crate::common::fleet::CONTACT_MS;
use crate::common::fleet::Call;
use crate::common::fleet::Fault;
use crate::common::fleet::Fleet;
use crate::common::fleet::RESTART_MS;

/// The part that crashes servers.
const CRASHING_PART: u64 = 0xbad;

/// The number of crashes after which the fleet must know the part.
const KNOWN_CRASHES: usize = 5;

/// The most requests with the part that may reach servers once the fleet knows it.
const MAX_LATE_SENDS: usize = 3;

/// The time of a run, in milliseconds.
const LENGTH_MS: u64 = 16_000;

/// Schedule harmless requests, each with one of a few first parts. `gap` is the time between two of
/// them, in milliseconds.
fn harmless_requests(fleet: &mut Fleet, gap: u64, length: u64) {
    for number in 0..length / gap {
        let call = Call {
            parts: vec![number % 7],
            crashes: false,
        };
        fleet.arrive(number * gap, call);
    }
}

/// Schedule requests with the crashing part from `start` on, `at_once` at a time, which share their
/// first parts with harmless ones.
fn crashing_requests(fleet: &mut Fleet, start: u64, gap: u64, at_once: u64) {
    for number in 0..(LENGTH_MS - start) / gap {
        for copy in 0..at_once {
            let call = Call {
                parts: vec![(number + copy) % 7, CRASHING_PART],
                crashes: true,
            };
            fleet.arrive(start + number * gap, call);
        }
    }
}

/// Check that requests with the part stop reaching servers and that harmless ones are still served.
fn check(fleet: &Fleet) {
    let known = fleet.crashes.get(KNOWN_CRASHES - 1);
    let late = fleet.sent.iter().filter(|sent| {
        sent.crashes && sent.in_touch && known.is_some_and(|known| sent.at > known + CONTACT_MS)
    });
    let late = late.count();
    assert!(
        late <= MAX_LATE_SENDS,
        "{late} requests reached servers once the part was known; {} crashes in all",
        fleet.crashes.len()
    );
    let last = fleet.crashes[..fleet.crashes.len().min(KNOWN_CRASHES)]
        .last()
        .unwrap();
    let (begun, all) = count_begun(fleet, last + 2 * CONTACT_MS, LENGTH_MS);
    assert!(all >= 20, "only {all} harmless requests");
    assert!(
        2 * begun >= all,
        "{begun} of {all} harmless requests began at their first attempt"
    );
}

/// Guards against requests that share a part of their prompts, but neither path, caller nor body,
/// and crash one server after another through different instances.
#[test_case(8, 14, 150, 1; "8 instances, a steady stream")]
#[test_case(8, 14, 1_500, 1; "8 instances, one after another")]
#[test_case(8, 14, 4_000, 5; "8 instances, in bursts")]
#[test_case(295, 56, 150, 1; "295 instances, a steady stream")]
fn part_that_crashes_servers_is_refused_by_the_fleet(
    instances: usize,
    engines: usize,
    gap: u64,
    at_once: u64,
) {
    let mut fleet = Fleet::new(instances, engines, &[], 1);
    harmless_requests(&mut fleet, 30, LENGTH_MS);
    crashing_requests(&mut fleet, 1_000, gap, at_once);
    fleet.run(LENGTH_MS);
    check(&fleet);
}

/// Guards against an instance that lets requests with a known part through because it started
/// after the crashes, stood still, or was cut off from its peers.
#[test_case(Fault::Start; "it starts")]
#[test_case(Fault::Freeze(4_000); "it stands still")]
#[test_case(Fault::Cut(4_000); "it is cut off")]
fn disturbed_instance_learns_of_the_part(fault: Fault) {
    let absent: &[usize] = if fault == Fault::Start { &[3] } else { &[] };
    let mut fleet = Fleet::new(8, 14, absent, 2);
    harmless_requests(&mut fleet, 30, LENGTH_MS);
    crashing_requests(&mut fleet, 1_000, 150, 1);
    let begin = if fault == Fault::Start { 9_000 } else { 1_100 };
    fleet.fault(begin, 3, fault);
    fleet.run(LENGTH_MS);
    check(&fleet);
}

/// Return how many of the harmless requests that arrived in this time began at their first attempt,
/// and how many there were.
fn count_begun(fleet: &Fleet, from: u64, to: u64) -> (usize, usize) {
    let judged = fleet
        .harmless()
        .filter(|fared| fared.in_touch && fared.at > from && fared.at <= to);
    judged.fold((0, 0), |(begun, all), fared| {
        (begun + usize::from(fared.began_at_first), all + 1)
    })
}

/// Guards against refusing harmless parts for long after all servers crashed for another reason:
/// at once, or one after the other. Half of the requests must begin as soon as the servers are
/// back, and all within the time that instances have to recover.
#[test_case(0; "all servers at once")]
#[test_case(70; "one server after the other")]
#[test_case(400; "slowly one server after the other")]
fn parts_stay_allowed_when_servers_crash_for_another_reason(gap: u64) {
    const LENGTH_MS: u64 = 25_000;
    const RECOVERY_MS: u64 = 12_000;
    for seed in 0..10 {
        let mut fleet = Fleet::new(8, 14, &[], seed);
        harmless_requests(&mut fleet, 30, LENGTH_MS);
        for server in 0..14 {
            fleet.crash_server(3_000 + gap * server as u64, server);
        }
        fleet.run(LENGTH_MS);
        let back = fleet.crashes[13] + RESTART_MS;
        let (begun, all) = count_begun(&fleet, back, LENGTH_MS - 1_000);
        assert!(2 * begun >= all, "{begun} of {all} began, seed {seed}");
        let (begun, all) = count_begun(&fleet, back + RECOVERY_MS, LENGTH_MS - 1_000);
        assert!(all >= 20, "only {all} requests");
        assert_eq!(begun, all, "requests are still refused, seed {seed}");
    }
}

/// Guards against evidence that is lost when instances that hold it are replaced one after the
/// other.
#[test]
fn part_stays_refused_over_restarts_of_all_instances() {
    let mut fleet = Fleet::new(8, 14, &[], 3);
    harmless_requests(&mut fleet, 30, LENGTH_MS);
    crashing_requests(&mut fleet, 1_000, 150, 1);
    for instance in 0..8 {
        fleet.fault(4_000 + 1_200 * instance as u64, instance, Fault::Start);
    }
    fleet.run(LENGTH_MS);
    check(&fleet);
}
