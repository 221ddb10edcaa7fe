//! Check where work goes. The loads are those of the standard days' heavy phases: long prompts
//! beside many short streams.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use oleanderpass_gateway::backend::BackendKey;
use oleanderpass_gateway::load::BackendLoad;
use oleanderpass_gateway::placement::Candidate;
use oleanderpass_gateway::placement::GenerationSpec;
use oleanderpass_gateway::placement::MAX_HELPERS;
use oleanderpass_gateway::placement::Plan;
use oleanderpass_gateway::placement::place_call;
use oleanderpass_gateway::placement::place_generation;
use oleanderpass_gateway::pools;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::size::Tokens;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

use crate::common::engine;

fn idle(count: u64) -> Vec<Candidate> {
    (0..count)
        .map(|key| Candidate {
            key: BackendKey(key),
            slots: 16,
            load: BackendLoad::default(),
            avoided: false,
            failure_rate: 0.0,
            slowdown: 1.0,
            own_zone: true,
        })
        .collect()
}

fn short() -> GenerationSpec {
    GenerationSpec {
        prompt: Tokens::new(4_960),
        max_output: Tokens::new(1_400),
        gap: Some(Millis::new(250)),
        required_primary: None,
    }
}

fn long(prompt: u64) -> GenerationSpec {
    GenerationSpec {
        prompt: Tokens::new(prompt),
        max_output: Tokens::new(700),
        gap: Some(Millis::new(1_000)),
        required_primary: None,
    }
}

fn place(candidates: &[Candidate], generation: &GenerationSpec) -> Option<Plan> {
    place_generation(
        &engine(),
        candidates,
        generation,
        1.0,
        &mut Pcg64Mcg::new(1),
    )
}

fn write_short(candidate: &mut Candidate, streams: u32) {
    candidate.load.in_flight = streams;
    candidate.load.tight_writers = streams;
    candidate.load.gap = Some(Millis::new(250));
}

#[test_case(4_960, 14, 1; "a short prompt is read whole")]
#[test_case(45_000, 14, 6; "a prompt is read in parts of 8,000")]
#[test_case(133_000, 30, 17; "no more helpers than the protocol has")]
#[test_case(133_000, 4, 3; "no more parts than engines of the pool")]
fn parts(prompt: u64, engines: u64, expected: usize) {
    let plan = place(&idle(engines), &long(prompt)).unwrap();
    assert_eq!(plan.keys().count(), expected);
    assert!(plan.helpers.len() <= MAX_HELPERS);
}

/// Guards against short streams that are late because long prompts are read beside them
/// (muscat-prism trouble-2: half of the short streams).
#[test]
fn long_prompts_keep_away_from_short_streams() {
    let mut candidates = idle(14);
    candidates[0..3].iter_mut().for_each(|c| write_short(c, 10));
    let plan = place(&candidates, &long(133_000)).unwrap();
    assert!(plan.keys().all(|key| key.0 >= 3), "{plan:?}");
    let plan = place(&candidates, &short()).unwrap();
    assert!(
        plan.primary.0 < 3,
        "a short stream opens an engine of the long prompts"
    );
}

/// Guards against short streams that wait behind full engines while others are free.
#[test]
fn short_streams_take_more_engines_when_theirs_are_full() {
    let mut candidates = idle(4);
    candidates[0..2].iter_mut().for_each(|c| write_short(c, 16));
    let long_prompt_load = 0.0;
    let rng = &mut Pcg64Mcg::new(1);
    let plan = place_generation(&engine(), &candidates, &short(), long_prompt_load, rng).unwrap();
    assert!(plan.primary.0 >= 2);
}

/// Guards against two instances that draw the border between the pools in different places.
#[test]
fn border_does_not_depend_on_the_order_of_the_list() {
    let mut candidates = idle(9);
    candidates[0..2].iter_mut().for_each(|c| write_short(c, 11));
    let keys = |candidates: &[Candidate], tight| -> Vec<BackendKey> {
        let pool = pools::choose(candidates, tight, 1.0, engine().memory);
        pool.engines.iter().map(|c| c.key).collect()
    };
    let mut other = candidates.clone();
    other.reverse();
    for tight in [true, false] {
        assert_eq!(keys(&candidates, tight), keys(&other, tight));
    }
}

#[test_case(0, 0.0, 1, 13; "idle")]
#[test_case(11, 0.0, 1, 13; "one engine is filled")]
#[test_case(12, 0.0, 2, 13; "a second one")]
#[test_case(190, 0.0, 13, 13; "long prompts keep one engine")]
#[test_case(14, 9.5, 2, 2; "phase with 2.9 times the long prompts")]
#[test_case(60, 4.5, 6, 8; "usual mix")]
#[test_case(120, 4.5, 9, 9; "both lack engines: none takes all")]
fn border_follows_both_loads(writers: u32, long_prompt_load: f64, short: usize, most: usize) {
    let sizes = pools::divide(writers, long_prompt_load, 16, 14);
    assert_eq!((sizes.short, sizes.max_short), (short, most));
}

/// Guards against prompts beyond one engine that are refused (grown sites: the fifth below the
/// largest tenth of the long kind was never served).
#[test]
fn prompt_beyond_one_engine_reserves_the_rest() {
    let plan = place(&idle(8), &long(600_000)).unwrap();
    let reserved: u64 = plan
        .helpers
        .iter()
        .filter_map(|h| h.reserve)
        .map(Tokens::get)
        .sum();
    assert!(reserved + plan.memory.get() >= 600_700);
    assert!(plan.memory <= engine().memory);
    let first_plain = plan.helpers.iter().position(|h| h.reserve.is_none());
    let last_reserved = plan.helpers.iter().rposition(|h| h.reserve.is_some());
    assert!(
        first_plain.is_none() || last_reserved < first_plain,
        "tickets are filled in turn"
    );
}

#[test]
fn prompt_beyond_all_engines_has_no_place() {
    assert!(place(&idle(2), &long(600_000)).is_none());
    assert!(place(&[], &short()).is_none());
}

/// Guards against long prompts whose first token waits for one slow engine.
#[test]
fn slow_engine_helps_last() {
    let mut candidates = idle(12);
    candidates[7].slowdown = 4.0;
    let plan = place(&candidates, &long(45_000)).unwrap();
    assert!(plan.keys().all(|key| key.0 != 7));
}

/// Guards against an overload of the healthy engines when half of all fail some requests
/// (muscat-prism trouble-2: 13 of 23 engines lost answers).
#[test]
fn engine_that_fails_sometimes_still_serves() {
    let mut candidates = idle(4);
    candidates[0].failure_rate = 0.3;
    candidates[1..].iter_mut().for_each(|c| write_short(c, 16));
    assert_eq!(place(&candidates, &short()).unwrap().primary, BackendKey(0));
}

/// Guards against a second first engine for a request that may go to no other.
#[test]
fn first_engine_is_kept_when_it_must_be() {
    let mut generation = long(45_000);
    generation.required_primary = Some(BackendKey(5));
    let plan = place(&idle(14), &generation).unwrap();
    assert_eq!(plan.primary, BackendKey(5));
    assert_eq!(plan.keys().count(), 6);
    let mut keys: Vec<BackendKey> = plan.keys().collect();
    keys.dedup();
    assert_eq!(keys.len(), 6, "an engine helps itself");
}

#[test]
fn call_goes_to_the_server_with_the_fewest() {
    let mut candidates = idle(3);
    candidates[0].load.in_flight = 3;
    candidates[1].load.in_flight = 1;
    candidates[2].load.in_flight = 2;
    let plan = place_call(&candidates, &mut Pcg64Mcg::new(1)).unwrap();
    assert_eq!(plan.primary, BackendKey(1));
    candidates[1].avoided = true;
    let plan = place_call(&candidates, &mut Pcg64Mcg::new(1)).unwrap();
    assert_eq!(plan.primary, BackendKey(2));
}

/// Guards against a burst in which all short streams are deferred because of each other, so that
/// all are late (incident inc-7e0b of muscat-prism: 14 of 23 engines left, 2.4 times the short
/// streams).
#[test]
fn deferred_streams_do_not_delay_those_on_time() {
    let mut candidates = idle(1);
    write_short(&mut candidates[0], 26);
    candidates[0].load.deferred = 10;
    candidates[0].load.unread_ms = 300.0;
    candidates[0].load.deferred_ms = 280.0;
    let plan = place(&candidates, &short()).unwrap();
    assert!(plan.expected_ms < 300.0, "{}", plan.expected_ms);
    assert!(plan.behind_all_ms > 1_000.0, "{}", plan.behind_all_ms);
}

/// Guards against short streams that wait for memory until a long one ends while other engines have
/// room (phase of short streams after long prompts, mispill-grown scale-2).
#[test]
fn short_stream_avoids_an_engine_whose_memory_is_taken() {
    let mut candidates = idle(3);
    candidates[0].load.memory = Tokens::new(engine().memory.get() * 9 / 10);
    candidates[0].load.in_flight = 1;
    let rng = &mut Pcg64Mcg::new(1);
    let plan = place_generation(&engine(), &candidates, &short(), 0.0, rng).unwrap();
    assert_ne!(plan.primary, candidates[0].key);
    candidates[1].load.in_flight = 20;
    candidates[2].load.in_flight = 20;
    let plan = place_generation(&engine(), &candidates, &short(), 0.0, rng).unwrap();
    assert_eq!(plan.primary, candidates[0].key, "a slot takes longer");
}
