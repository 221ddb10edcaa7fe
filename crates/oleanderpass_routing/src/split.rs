//! Choose an engine by the split policy.
//!
//! Long prompts run on a partition of the engines. Short prompts prefer the other engines, and
//! choose among the two of rendezvous hashing over their prefix and a few random ones. Load reports
//! lose weight with age.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::size::Tokens;
use rand::Rng;

use crate::cost::EstimateOptions;
use crate::cost::free_memory;
use crate::join;
use crate::join::JoinOptions;
use crate::policy::Choice;
use crate::policy::Placement;
use crate::policy::Refusal;
use crate::policy::SplitOptions;
use crate::policy::random_candidate;
use crate::rendezvous::top_two;
use crate::request::LengthClass;
use crate::view::Candidate;

/// The estimated wait above which a short prompt stays in the local queue.
///
/// This much queued work keeps an engine busy over one poll period. Later requests stay in the
/// local queue, which orders them fairly between organisations.
const SHORT_WAIT_LIMIT: Millis = Millis::from_secs(2);

/// The estimated wait above which a long prompt stays in the local queue.
const LONG_WAIT_LIMIT: Millis = Millis::from_secs(10);

/// The number of engines drawn at random for one short prompt, from each partition.
const RANDOM_CANDIDATES: usize = 2;

/// The divisor of an engine's memory that gives the reserve for short prompts: one fifth.
///
/// Without a reserve, a short prompt that finds no free memory waits for the end of a long one. One
/// fifth of an engine's 450,000 tokens holds about 15 short requests, and the rest of three such
/// engines still holds a request of 1,000,000 tokens.
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

fn estimate_options(options: SplitOptions) -> EstimateOptions {
    EstimateOptions {
        affinity: options.affinity,
        aging: options.aging,
        priorities: options.priorities,
    }
}

/// Return the long-prompt partition of `pool` and the rest, or twice `pool` without partitions.
///
/// Engines that are excluded, for example because they are full, don't move the border between the
/// partitions, so either one may be empty.
fn partitions<'p>(
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
    let (long_partition, short_partition) = partitions(placement, pool, options);
    let mut candidates = Vec::with_capacity(2 + 2 * RANDOM_CANDIDATES);
    if options.affinity
        && let Some(key) = placement.req.affinity_key()
    {
        let nodes = short_partition.iter().map(|engine| (engine.key, *engine));
        candidates.extend(top_two(key, nodes).into_iter().flatten());
    }
    for _ in 0..RANDOM_CANDIDATES {
        for partition in [short_partition, long_partition] {
            if !partition.is_empty() {
                candidates.push(random_candidate(partition, rng));
            }
        }
    }
    let (engine, best) = placement.earliest_first_token(&candidates, estimate_options(options));
    if placement.cannot_finish(best) {
        return Choice::Refuse(Refusal::Deadline);
    }
    if options.local_queue && best.wait > SHORT_WAIT_LIMIT {
        return Choice::Wait;
    }
    placement.run(&[engine], best, false)
}

/// Choose among all engines of the long-prompt partition, or of the pool for an urgent request.
///
/// Long prompts are rare and each one causes much work, so comparing all of these engines pays off.
fn choose_long(placement: &Placement<'_>, pool: &[Candidate], options: SplitOptions) -> Choice {
    let reserve = reserve(placement, pool, options);
    if placement.needs_join(pool, reserve) {
        let join_options = JoinOptions {
            estimate: estimate_options(options),
            reserve,
            low_priority: options.priorities,
            refuse_late: true,
        };
        return join::choose(placement, pool, &join_options);
    }
    let partition = match placement.req.urgent {
        true => pool,
        false => partitions(placement, pool, options).0,
    };
    if partition.is_empty() {
        return Choice::Wait;
    }
    let (_, best) = placement.earliest_first_token(partition, estimate_options(options));
    if placement.cannot_finish(best) {
        return Choice::Refuse(Refusal::Deadline);
    }
    let need = placement.req.memory() + reserve;
    let has_room = |engine: &Candidate| {
        !options.memory_reserve || free_memory(placement.view.at(*engine)) >= need
    };
    let with_room: Vec<Candidate> = partition.iter().copied().filter(has_room).collect();
    if with_room.is_empty() {
        return Choice::Wait;
    }
    let (engine, best) = placement.earliest_first_token(&with_room, estimate_options(options));
    if options.local_queue && best.wait > LONG_WAIT_LIMIT {
        return Choice::Wait;
    }
    placement.run(&[engine], best, options.priorities)
}

/// Return the memory that a long prompt leaves free on each engine.
///
/// It is zero if the prompt is urgent or the policy reserves no memory.
fn reserve(placement: &Placement<'_>, pool: &[Candidate], options: SplitOptions) -> Tokens {
    if !options.memory_reserve || placement.req.urgent {
        return Tokens::ZERO;
    }
    let memory = pool
        .iter()
        .map(|engine| placement.view.at(*engine).spec.memory.get());
    Tokens::new(memory.max().unwrap_or_default() / SHORT_PROMPT_RESERVE_DIVISOR)
}
