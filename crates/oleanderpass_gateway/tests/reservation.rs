//! Test how long memory at helpers stays reserved. The load is a long prompt on several engines
//! whose primary server crashes, loses power or loses its answer while the instance waits for the
//! first event.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use indexmap::IndexMap;
use oleanderpass_gateway::lifetime::Lifetime;
use oleanderpass_gateway::load::AttemptId;
use oleanderpass_gateway::reservation::Evidence;
use oleanderpass_gateway::reservation::LEASE;
use oleanderpass_gateway::reservation::RENEWAL_INTERVAL;
use oleanderpass_gateway::reservation::ReservationState;
use oleanderpass_gateway::reservation::ReservationUse;
use oleanderpass_gateway::reservation::reservation_id;
use oleanderpass_types::clock::Millis;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

use crate::common::at;

const ACTIVE: Evidence = Evidence::PrimaryActive;
const GONE: Evidence = Evidence::PrimaryUnreachable;
const USED: Evidence = Evidence::Reported(ReservationState::Used);
const UNUSED: Evidence = Evidence::Reported(ReservationState::Unused);
const MISSING: Evidence = Evidence::Reported(ReservationState::Missing);

/// The time within which an engine must have its memory back after the request that used it has
/// ended. Source: the platform's bounds.
const RELEASE_BOUND: Millis = Millis::new(4_000);

/// The time for which reserved memory may stay without use. Source: the platform's bounds.
const IDLE_BOUND: Millis = Millis::new(9_000);

/// Guards against memory that stays reserved for a request that has ended, and against releasing
/// the memory of a request that runs or waits.
#[test_case(&[GONE, GONE], Some(1); "the primary server is gone before the first event")]
#[test_case(&[USED, GONE, GONE], Some(2); "the primary server is gone during prefill")]
#[test_case(&[USED, GONE, USED, GONE, ACTIVE, GONE], None; "the link loses packets")]
#[test_case(&[ACTIVE, ACTIVE, GONE, GONE], Some(3); "the primary server is gone during the stream")]
#[test_case(&[USED, UNUSED, UNUSED], Some(2); "the answer is lost")]
#[test_case(&[USED, UNUSED, USED, UNUSED, ACTIVE], None; "the request is preempted")]
#[test_case(&[UNUSED, UNUSED, UNUSED, USED, USED], None; "the request waits for a slot")]
#[test_case(&[USED, USED, USED, USED, USED], None; "a long prefill")]
#[test_case(&[USED, Evidence::NoReport, Evidence::NoReport, USED], None; "the reports are late")]
#[test_case(&[USED, MISSING, MISSING], Some(2); "the lease has ended")]
#[test_case(&[MISSING, USED, USED], None; "the first report is from before the reservation")]
fn reservation_is_renewed_while_its_request_may_run(evidence: &[Evidence], ends: Option<usize>) {
    let mut usage = ReservationUse::new(at(0));
    let ended = evidence.iter().enumerate().position(|(number, evidence)| {
        let now = at((number as u64 + 1) * RENEWAL_INTERVAL.get());
        !usage.renews(now, *evidence)
    });
    assert_eq!(ended, ends);
}

/// Guards against memory that is reserved for a request that never starts.
#[test]
fn unused_reservation_ends_within_the_bound() {
    let mut usage = ReservationUse::new(at(0));
    let mut now = at(0);
    while usage.renews(now, UNUSED) {
        now = now + RENEWAL_INTERVAL;
    }
    assert!(now.since(at(0)) + LEASE < IDLE_BOUND);
}

/// Guards against a lease that outlives the bound if no release reaches the helper. The renewal
/// after the crash still counts events from before it, and the next one may see a lost packet.
#[test]
fn lease_ends_within_the_bound() {
    let connect_timeout = Millis::new(250);
    assert!(RENEWAL_INTERVAL.saturating_mul(2) + connect_timeout + LEASE < RELEASE_BOUND);
}

/// Guards against a request that uses the memory of one of an earlier lifetime of its instance: an
/// engine takes an order with an id that it knows for a renewal. Instances lose power for 0.2 to
/// 3.5 s beside long prompts, and count their attempts anew.
#[test]
fn no_lifetime_renews_a_reservation_of_another() {
    const HISTORIES: u64 = 1_000;
    const END_MS: u64 = 30_000;
    for seed in 0..HISTORIES {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // The lifetime that made each reservation, and the end of its lease.
        let mut engine: IndexMap<_, (Lifetime, u64)> = IndexMap::new();
        for name in ["edge-1", "edge-11"] {
            let instance = name.parse().unwrap();
            let mut now = 0;
            while now < END_MS {
                let lifetime = Lifetime::new(rng.random());
                for attempt in 1..=rng.random_range(1..6) {
                    now += rng.random_range(1..1_500);
                    let id = reservation_id(&instance, lifetime, AttemptId(attempt));
                    let known = engine.get(&id).filter(|(_, end)| now < *end);
                    assert!(
                        known.is_none_or(|(owner, _)| *owner == lifetime),
                        "seed {seed}: {id} is in use"
                    );
                    engine.insert(id, (lifetime, now + LEASE.get()));
                }
                now += rng.random_range(200..3_500);
            }
        }
    }
}
