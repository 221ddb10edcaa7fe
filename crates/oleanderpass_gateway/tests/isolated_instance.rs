//! Test that instances without links to servers serve callers all the same.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use test_case::test_case;

use crate::common::fleet::Call;
use crate::common::fleet::Fared;
use crate::common::fleet::Fault;
use crate::common::fleet::Fleet;
use crate::common::fleet::Links;

/// The time of a run, in milliseconds.
const LENGTH_MS: u64 = 13_000;

/// When instances are cut off from servers, and for how long, in milliseconds.
const CUT_AT_MS: u64 = 2_000;
const CUT_MS: u64 = 8_000;

/// The first tries that may fail at instances that are cut off: so many, and one in so many.
const ALLOWED_FAILURES: usize = 10;
const ALLOWED_SHARE: usize = 50;

/// Create a fleet with `per_s` requests a second, in which `cut` instances lose their links to all
/// servers.
fn fleet(instances: usize, engines: usize, per_s: u64, cut: usize, links: Links) -> Fleet {
    let mut fleet = Fleet::new(instances, engines, &[], 3);
    for number in 0..LENGTH_MS * per_s / 1_000 {
        let call = Call {
            parts: vec![number % 7],
            crashes: false,
        };
        fleet.arrive(number * 1_000 / per_s, call);
    }
    for instance in 0..cut {
        fleet.fault(CUT_AT_MS, instance, Fault::CutFromServers(CUT_MS, links));
    }
    fleet
}

fn check(fleet: &Fleet) {
    let end = CUT_AT_MS + CUT_MS;
    let all: Vec<Fared> = fleet
        .harmless()
        .filter(|f| f.in_touch && f.at >= CUT_AT_MS + 3_000 && f.at < end)
        .collect();
    let (cut, others): (Vec<Fared>, Vec<Fared>) = all.into_iter().partition(|f| f.from_cut);
    let served = |calls: &[Fared]| calls.iter().filter(|f| f.served).count();
    let failed = cut.len() - served(&cut);
    assert!(cut.len() >= 10, "only {} requests", cut.len());
    assert!(
        failed <= ALLOWED_FAILURES + cut.len() / ALLOWED_SHARE,
        "{} of {} first tries are served at instances without links, {} of {} at others",
        served(&cut),
        cut.len(),
        served(&others),
        others.len()
    );
    assert!(
        3 * served(&cut) * others.len() >= 2 * served(&others) * cut.len(),
        "{} of {} first tries are served at instances without links, {} of {} at others",
        served(&cut),
        cut.len(),
        served(&others),
        others.len()
    );
}

/// Guards against refusing callers because the links to all servers are cut, while peers reach the
/// servers.
#[test_case(8, 14, 40, 4, Links::Hang)]
#[test_case(8, 14, 40, 4, Links::Reset)]
#[test_case(8, 14, 40, 4, Links::Refuse)]
#[test_case(8, 14, 40, 7, Links::Hang; "all but one")]
#[test_case(8, 14, 6, 4, Links::Hang; "few requests")]
#[test_case(295, 60, 300, 100, Links::Hang; "large fleet")]
fn callers_are_served_without_links_to_servers(
    instances: usize,
    engines: usize,
    per_s: u64,
    cut: usize,
    links: Links,
) {
    let mut fleet = fleet(instances, engines, per_s, cut, links);
    fleet.run(LENGTH_MS);
    check(&fleet);
}

/// Guards against the same while peers start, stand still or can't be reached, and servers crash.
#[test_case(8, 14, 40)]
#[test_case(295, 60, 300)]
fn callers_are_served_around_disturbed_peers(instances: usize, engines: usize, per_s: u64) {
    let mut fleet = fleet(instances, engines, per_s, instances / 3, Links::Hang);
    let last = instances - 1;
    fleet.fault(4_500, last, Fault::Freeze(1_500));
    fleet.fault(6_000, last - 1, Fault::Start);
    fleet.fault(7_500, last - 2, Fault::Cut(2_000));
    for server in 0..engines / 7 {
        fleet.crash_server(5_500 + 700 * server as u64, server);
    }
    fleet.run(LENGTH_MS);
    check(&fleet);
}

/// Guards against prompt parts that count as crashing servers, because the links of some instances
/// were reset.
#[test]
fn lost_links_are_no_evidence_of_crashes() {
    let mut fleet = fleet(8, 14, 100, 3, Links::Reset);
    for instance in 0..3 {
        for at in [10_500, 11_100, 11_700] {
            fleet.fault(at, instance, Fault::CutFromServers(500, Links::Reset));
        }
    }
    fleet.run(LENGTH_MS);
    check(&fleet);
    let late = fleet.harmless().filter(|f| f.at > 5_000 && f.at < 12_000);
    let (served, all) = late.fold((0, 0), |(served, all), f| {
        (served + usize::from(f.served), all + 1)
    });
    assert!(20 * served >= 19 * all, "{served} of {all} requests served");
}
