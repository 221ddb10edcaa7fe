//! Test that long prompts of all sizes are served while engines are overloaded.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use oleanderpass_gateway::engine::EngineModel;
use oleanderpass_types::size::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

use crate::common::engine;
use crate::common::engines::Asked;
use crate::common::engines::EngineFleet;
use crate::common::engines::Kind;
use crate::common::engines::Size;

/// When long prompts begin to come in a burst, in milliseconds.
const BURST_AT_MS: u64 = 2_000;

/// The sizes of long prompts at tenths of their distribution, in tokens.
const REVIEW_TENTHS: [u64; 11] = [
    31_000, 90_000, 112_000, 133_000, 150_000, 170_000, 192_000, 218_000, 255_000, 325_000, 600_000,
];

/// The load on a fleet.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// The time in which callers ask, in milliseconds.
    length_ms: u64,
    /// Long prompts a second.
    reviews: f64,
    /// Long prompts a second while they come in a burst.
    burst: f64,
    /// Short prompts a second.
    letters: f64,
}

/// A disturbance while prompts come in a burst.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    None,
    /// A fifth of the servers is lost, twice.
    Losses,
    /// Most servers are replaced one after the other.
    Replacements,
    /// Both of them, and instances start again.
    All,
}

fn model(memory: u64, slots: u32) -> EngineModel {
    EngineModel {
        slots,
        memory: Tokens::new(memory),
        steps_per_pass: 48,
        ..engine()
    }
}

/// Return a size of a long prompt.
fn review_size(rng: &mut Pcg64Mcg) -> u64 {
    let tenth = rng.random_range(0..10);
    rng.random_range(REVIEW_TENTHS[tenth]..REVIEW_TENTHS[tenth + 1])
}

/// Play a burst of long prompts, and return what callers asked for.
fn play(size: Size, load: Load, trouble: Trouble, seed: u64) -> Vec<Asked> {
    let mut fleet = EngineFleet::new(size, seed);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut arrivals = |fleet: &mut EngineFleet, from: u64, to: u64, per_s: f64, kind: Kind| {
        let mut now = from as f64;
        loop {
            now -= rng.random_range(f64::MIN_POSITIVE..1.0).ln() * 1_000.0 / per_s;
            if now >= to as f64 {
                return;
            }
            let prompt = match kind {
                Kind::Review => review_size(&mut rng),
                Kind::Letter => rng.random_range(1_000..9_000),
            };
            fleet.ask(now as u64, kind, prompt);
        }
    };
    arrivals(&mut fleet, 0, BURST_AT_MS, load.reviews, Kind::Review);
    arrivals(
        &mut fleet,
        BURST_AT_MS,
        load.length_ms,
        load.burst,
        Kind::Review,
    );
    arrivals(&mut fleet, 0, load.length_ms, load.letters, Kind::Letter);
    let engines = size.engines;
    if matches!(trouble, Trouble::Losses | Trouble::All) {
        for engine in 0..engines / 5 {
            fleet.lose(5_000, engine * 5);
            fleet.lose(9_000, engine * 5 + 2);
        }
    }
    if matches!(trouble, Trouble::Replacements | Trouble::All) {
        for number in 0..engines * 3 / 5 {
            let at = 3_000 + number as u64 * 12_000 / engines as u64;
            fleet.replace(at, number * 7 % engines);
        }
    }
    if matches!(trouble, Trouble::All) {
        for instance in 0..size.instances / 4 {
            fleet.restart(4_000 + 900 * instance as u64 % 8_000, instance * 3);
        }
    }
    fleet.run_until_idle(load.length_ms);
    fleet.asked
}

/// The shares served of a kind by fifths of size, and of all.
#[derive(Debug)]
struct Shares {
    fifths: [f64; 5],
    largest_tenth: f64,
    next_fifth: f64,
    all: f64,
}

fn share(asked: &[&Asked]) -> f64 {
    let served = asked.iter().filter(|asked| asked.served).count();
    served as f64 / asked.len().max(1) as f64
}

/// Return the shares of a kind, without requests that the loss of a server broke off.
fn shares(asked: &[Asked], kind: Kind) -> Shares {
    let mut asked: Vec<&Asked> = asked
        .iter()
        .filter(|asked| asked.kind == kind && (asked.served || !asked.broken_off))
        .collect();
    asked.sort_by_key(|asked| asked.prompt);
    let count = asked.len();
    let part = |from: usize, to: usize| share(&asked[count * from / 10..count * to / 10]);
    Shares {
        fifths: [part(0, 2), part(2, 4), part(4, 6), part(6, 8), part(8, 10)],
        largest_tenth: part(9, 10),
        next_fifth: part(7, 9),
        all: part(0, 10),
    }
}

/// Guards against the largest prompts being refused while smaller ones of their route wait for the
/// same memory and get it.
#[test_case(8, 45, 11.0, 75.0, Trouble::None)]
#[test_case(8, 45, 11.0, 75.0, Trouble::Losses)]
#[test_case(8, 45, 11.0, 75.0, Trouble::Replacements)]
#[test_case(8, 45, 11.0, 75.0, Trouble::All)]
#[test_case(295, 60, 17.0, 60.0, Trouble::All; "large fleet")]
fn largest_prompts_are_served_half_as_often(
    instances: usize,
    engines: usize,
    burst: f64,
    letters: f64,
    trouble: Trouble,
) {
    let size = Size {
        instances,
        engines,
        model: model(197_200, 12),
    };
    let load = Load {
        length_ms: if instances > 100 { 10_000 } else { 20_000 },
        reviews: burst / 2.5,
        burst,
        letters,
    };
    let asked = play(size, load, trouble, 1);
    let reviews = shares(&asked, Kind::Review);
    let letters = shares(&asked, Kind::Letter);
    println!("{trouble:?} {reviews:.2?} {letters:.2?}");
    let half = reviews.all / 2.0;
    assert!(reviews.largest_tenth >= half, "{reviews:.2?}");
    assert!(reviews.next_fifth >= half, "{reviews:.2?}");
    // Smaller prompts don't pay for larger ones.
    assert!(reviews.fifths[0] >= reviews.all, "{reviews:.2?}");
    assert!(reviews.fifths[1] >= reviews.all, "{reviews:.2?}");
    assert!(letters.all >= reviews.all, "{letters:.2?}");
}
