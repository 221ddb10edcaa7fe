//! Test how a fleet keeps to the limits on request rates that backend servers name.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use oleanderpass_gateway::backend::BackendKey;
use oleanderpass_gateway::server_limits::Allowance;
use oleanderpass_gateway::server_limits::LimitReport;
use oleanderpass_gateway::server_limits::ServerLimits;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::size::RequestRate;
use test_case::test_case;

use crate::common::at;
use crate::common::fleet::CONTACT_MS;
use crate::common::fleet::Call;
use crate::common::fleet::Fault;
use crate::common::fleet::Fleet;

/// The length of the time over which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// The time after an instance was told of a limit from which its requests count, in milliseconds.
const TOLD_MS: u64 = 500;

/// When servers begin to name a limit, in milliseconds.
const NAMED_MS: u64 = 2_000;

/// The time of a run, in milliseconds.
const LENGTH_MS: u64 = 16_000;

fn rate(thousandths: u32) -> RequestRate {
    RequestRate::from_thousandths(thousandths)
}

/// Schedule requests with this time between two of them, in milliseconds.
fn requests(fleet: &mut Fleet, gap: u64) {
    for number in 0..LENGTH_MS / gap {
        let call = Call {
            parts: vec![number % 7],
            crashes: false,
        };
        fleet.arrive(number * gap, call);
    }
}

/// Check that a server got no more requests than its limit allows: one and a half times the limit
/// and five more in each window, from instances that knew it and were not disturbed.
fn check(fleet: &Fleet, server: usize, limit: RequestRate) {
    let times: Vec<u64> = fleet
        .sent
        .iter()
        .filter(|sent| sent.server == server && sent.in_touch)
        .filter(|sent| sent.at >= NAMED_MS + CONTACT_MS)
        .filter(|sent| {
            let told = fleet.told.get(&(sent.instance, server));
            told.is_some_and(|told| told + TOLD_MS <= sent.at)
        })
        .map(|sent| sent.at)
        .collect();
    let allowed = 1.5 * limit.per_second() * WINDOW_MS as f64 / 1_000.0 + 5.0;
    for (index, start) in times.iter().enumerate() {
        let in_window = times[index..]
            .iter()
            .take_while(|at| **at < start + WINDOW_MS);
        let count = in_window.count();
        assert!(
            count as f64 <= allowed,
            "{count} requests in the 4 s from {start} ms, {allowed} are allowed"
        );
    }
}

/// Return how many of the requests that arrived in this time began at their first attempt, and how
/// many there were.
fn count_begun(fleet: &Fleet, from: u64, to: u64) -> (usize, usize) {
    let judged = fleet
        .harmless()
        .filter(|fared| fared.at > from && fared.at < to);
    judged.fold((0, 0), |(begun, all), fared| {
        (begun + usize::from(fared.began_at_first), all + 1)
    })
}

/// Guards against instances that ignore the limit of a server, or that keep to it each by itself
/// and exceed it together.
#[test_case(8, 14, 12, 2_100; "8 instances")]
#[test_case(8, 14, 12, 1_000; "8 instances, one request per second")]
#[test_case(8, 14, 12, 300; "8 instances, less than one request per second")]
#[test_case(8, 14, 12, 0; "8 instances, no requests")]
#[test_case(8, 2, 30, 10_000; "8 instances, one of two servers")]
#[test_case(295, 56, 5, 1_000; "295 instances, one request per second")]
fn server_gets_no_more_requests_than_its_limit(
    instances: usize,
    engines: usize,
    gap: u64,
    thousandths: u32,
) {
    let mut fleet = Fleet::new(instances, engines, &[], 1);
    requests(&mut fleet, gap);
    for server in 0..2 {
        fleet.limit(NAMED_MS, server, Some(rate(thousandths)));
    }
    fleet.run(LENGTH_MS);
    check(&fleet, 0, rate(thousandths));
    check(&fleet, 1, rate(thousandths));
}

/// Guards against an instance that exceeds the limit with others after it has started, stood
/// still, or was cut off from its peers.
#[test_case(Fault::Start; "they start")]
#[test_case(Fault::Freeze(2_500); "they stand still")]
#[test_case(Fault::Cut(2_500); "they are cut off")]
fn limit_holds_around_disturbed_instances(fault: Fault) {
    let mut fleet = Fleet::new(8, 14, &[], 2);
    requests(&mut fleet, 12);
    for server in 0..14 {
        fleet.limit(NAMED_MS, server, Some(rate(1_500)));
    }
    for (number, instance) in [1, 4, 6].into_iter().enumerate() {
        fleet.fault(5_000 + 900 * number as u64, instance, fault);
    }
    fleet.run(LENGTH_MS);
    for server in 0..14 {
        check(&fleet, server, rate(1_500));
    }
}

/// Guards against a limited service that serves hardly anything: instances must use the limits of
/// all its servers. The limits together are above the demand.
#[test_case(8, 14; "8 instances")]
#[test_case(295, 56; "295 instances")]
fn limits_of_all_servers_are_used(instances: usize, engines: usize) {
    let mut fleet = Fleet::new(instances, engines, &[], 3);
    let limit = rate(2_000);
    // The demand is 71% of what the limits allow.
    requests(&mut fleet, 700 / engines as u64);
    for server in 0..engines {
        fleet.limit(NAMED_MS, server, Some(limit));
    }
    fleet.run(LENGTH_MS);
    for server in 0..engines {
        check(&fleet, server, limit);
    }
    let (begun, all) = count_begun(&fleet, NAMED_MS + CONTACT_MS, LENGTH_MS - 1_000);
    assert!(
        2 * begun >= all,
        "{begun} of {all} requests began although the limits allow them"
    );
}

/// Guards against a limit that is kept to after the servers stopped naming it.
#[test]
fn lifted_limit_no_longer_holds() {
    let mut fleet = Fleet::new(8, 14, &[], 4);
    requests(&mut fleet, 12);
    for server in 0..14 {
        fleet.limit(NAMED_MS, server, Some(rate(1_000)));
        fleet.limit(8_000, server, None);
    }
    fleet.run(LENGTH_MS);
    let (begun, all) = count_begun(&fleet, 8_000 + CONTACT_MS, LENGTH_MS - 1_000);
    assert!(10 * begun >= 9 * all, "{begun} of {all} requests began");
}

/// Guards against limits that are forgotten while no request is sent, and then exceeded by all
/// instances at once.
#[test]
fn limit_is_remembered_over_a_quiet_time() {
    let mut fleet = Fleet::new(8, 14, &[], 5);
    for server in 0..14 {
        fleet.limit(NAMED_MS, server, Some(rate(500)));
    }
    for number in 0..3_000 {
        let call = Call {
            parts: vec![number % 7],
            crashes: false,
        };
        let start = if number < 300 { 0 } else { 60_000 };
        fleet.arrive(start + number * 12, call);
    }
    fleet.run(100_000);
    for server in 0..14 {
        check(&fleet, server, rate(500));
    }
}

const KEY: BackendKey = BackendKey(7);

fn report(rate: Option<RequestRate>, age: u64) -> LimitReport {
    LimitReport {
        key: KEY,
        rate,
        age: Millis::new(age),
    }
}

/// Guards against an old report of a peer that replaces what the server said later.
#[test]
fn newer_answer_wins() {
    let mut limits = ServerLimits::default();
    limits.on_answer(at(5_000), KEY, Some(rate(1_000)));
    limits.on_report(at(5_100), &report(Some(rate(9_000)), 500));
    assert_eq!(limits.get(KEY), Some((rate(1_000), at(5_000))));
    limits.on_report(at(6_000), &report(None, 500));
    assert_eq!(limits.get(KEY), None);
    limits.on_report(at(6_100), &report(Some(rate(1_000)), 1_000));
    assert_eq!(limits.get(KEY), None, "an old report restored a limit");
    assert_eq!(limits.allowance(at(6_100), KEY), Allowance::Unlimited);
}

/// Guards against a request that is counted although it was not sent, and against saving more than
/// one request.
#[test]
fn request_that_was_not_sent_is_given_back() {
    let mut limits = ServerLimits::default();
    limits.on_answer(at(0), KEY, Some(rate(1_000)));
    assert_eq!(limits.allowance(at(0), KEY), Allowance::Never);
    limits.tick(at(0), 1, &[]);
    assert_eq!(
        limits.allowance(at(400), KEY),
        Allowance::After(Millis::new(600))
    );
    assert_eq!(limits.allowance(at(60_000), KEY), Allowance::Now);
    assert!(limits.take(at(60_000), KEY));
    assert_ne!(limits.allowance(at(60_000), KEY), Allowance::Now);
    limits.refund(at(60_000), KEY);
    assert_eq!(limits.allowance(at(60_000), KEY), Allowance::Now);
    assert!(!limits.take(at(60_000), BackendKey(8)), "no limit is named");
}

/// Guards against limits that don't fit a bulletin and are never sent.
#[test]
fn bulletins_take_turns_to_name_limits() {
    let mut limits = ServerLimits::default();
    for key in 0..100 {
        limits.on_answer(at(0), BackendKey(key), Some(rate(1_000)));
    }
    let mut named = std::collections::BTreeSet::new();
    for _ in 0..7 {
        let reports = limits.next_reports(at(0));
        assert!(reports.len() <= 16);
        named.extend(reports.iter().map(|report| report.key));
    }
    assert_eq!(named.len(), 100);
}
