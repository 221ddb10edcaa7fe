//! Choose by length split with prefix affinity, two choices and aged load.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::size::Tokens;
use rand::Rng;

use crate::cost::CostOptions;
use crate::cost::free_memory;
use crate::join;
use crate::join::JoinRules;
use crate::policy::Choice;
use crate::policy::Placement;
use crate::policy::Refusal;
use crate::policy::SplitOptions;
use crate::policy::random;
use crate::rendezvous::top_two;
use crate::request::LengthClass;
use crate::view::Candidate;

/// The estimated wait above which a short prompt stays in the local queue.
///
/// It keeps engines busy over one poll period, and leaves the order of the rest to the fair queue.
const SHORT_WAIT_LIMIT: Millis = Millis::from_secs(2);

/// The estimated wait above which a long prompt stays in the local queue.
const LONG_WAIT_LIMIT: Millis = Millis::from_secs(10);

/// The engines drawn at random for one request, in each part.
const RANDOM_CANDIDATES: usize = 2;

/// The part of an engine's memory that long prompts leave to short ones: one in five.
///
/// A short prompt that finds no memory waits for the end of a long one. One fifth of 450,000
/// tokens holds about 15 short requests, and three engines still hold 1,000,000 tokens.
pub const SHORT_PROMPT_RESERVE_DIVISOR: u64 = 5;

pub(crate) fn choose(
    placement: &Placement<'_>,
    pool: &[Candidate],
    options: SplitOptions,
    rng: &mut impl Rng,
) -> Choice {
    match placement.class() {
        LengthClass::Short => choose_short(placement, pool, options, rng),
        LengthClass::Long => choose_long(placement, pool, options),
    }
}

fn cost(options: SplitOptions) -> CostOptions {
    CostOptions {
        affinity: options.affinity,
        aging: options.aging,
        priorities: options.priorities,
    }
}

/// Return the engines for long prompts and the rest.
///
/// Engines that are excluded, because they are full for example, don't move the border between the
/// parts, so each part may be empty.
fn parts<'p>(
    placement: &Placement<'_>,
    pool: &'p [Candidate],
    options: SplitOptions,
) -> (&'p [Candidate], &'p [Candidate]) {
    let all = placement.view.pool();
    if !options.long_partition || all.len() < 2 {
        return (pool, pool);
    }
    let border = placement.view.long_partition_size().clamp(1, all.len() - 1);
    pool.split_at(pool.partition_point(|engine| engine.rank < border))
}

fn choose_short(
    placement: &Placement<'_>,
    pool: &[Candidate],
    options: SplitOptions,
    rng: &mut impl Rng,
) -> Choice {
    let (long, own) = parts(placement, pool, options);
    let mut candidates = Vec::with_capacity(2 + 2 * RANDOM_CANDIDATES);
    if options.affinity
        && let Some(key) = placement.req.affinity_key()
    {
        let nodes = own.iter().map(|engine| (engine.key, *engine));
        candidates.extend(top_two(key, nodes).into_iter().flatten());
    }
    for _ in 0..RANDOM_CANDIDATES {
        for part in [own, long] {
            if !part.is_empty() {
                candidates.push(random(part, rng));
            }
        }
    }
    let (index, best) = placement.cheapest(&candidates, cost(options));
    if placement.cannot_finish(best) {
        return Choice::Refuse(Refusal::Deadline);
    }
    if options.local_queue && best.wait > SHORT_WAIT_LIMIT {
        return Choice::Wait;
    }
    placement.run(&[index], best, false)
}

/// Choose among all engines of the long part: long prompts are rare, and each one weighs much.
fn choose_long(placement: &Placement<'_>, pool: &[Candidate], options: SplitOptions) -> Choice {
    let reserve = reserve(placement, pool, options);
    if placement.needs_join(pool, reserve) {
        let rules = JoinRules {
            cost: cost(options),
            reserve,
            low_priority: options.priorities,
            refuse: true,
        };
        return join::choose(placement, pool, &rules);
    }
    let part = match placement.req.urgent {
        true => pool,
        false => parts(placement, pool, options).0,
    };
    if part.is_empty() {
        return Choice::Wait;
    }
    let (_, best) = placement.cheapest(part, cost(options));
    if placement.cannot_finish(best) {
        return Choice::Refuse(Refusal::Deadline);
    }
    let need = placement.req.memory() + reserve;
    let has_room = |engine: &Candidate| {
        !options.memory_reserve || free_memory(placement.view.at(*engine)) >= need
    };
    let roomy: Vec<Candidate> = part.iter().copied().filter(has_room).collect();
    if roomy.is_empty() {
        return Choice::Wait;
    }
    let (index, best) = placement.cheapest(&roomy, cost(options));
    if options.local_queue && best.wait > LONG_WAIT_LIMIT {
        return Choice::Wait;
    }
    placement.run(&[index], best, options.priorities)
}

fn reserve(placement: &Placement<'_>, pool: &[Candidate], options: SplitOptions) -> Tokens {
    if !options.memory_reserve || placement.req.urgent {
        return Tokens::ZERO;
    }
    let memory = pool
        .iter()
        .map(|engine| placement.view.at(*engine).spec.memory.get());
    Tokens::new(memory.max().unwrap_or_default() / SHORT_PROMPT_RESERVE_DIVISOR)
}
