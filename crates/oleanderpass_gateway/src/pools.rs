//! Divide the engines of a service into a pool for short streams and a pool for long prompts, which
//! are all generations that are no short streams (see
//! [`GenerationSpec::is_short`](crate::placement::GenerationSpec::is_short)).
//!
//! An engine prefills waiting prompts in the same pass in which its streams decode their next
//! event. Two parts of long prompts in one pass make the gap of every short stream on that engine
//! too long.
//!
//! All instances sort the engines by the same hash and count the same load, so they arrive at the
//! same pools without coordination. The sizes follow the load of both pools. Sizes that follow the
//! short streams alone are unstable: long prompts on too few engines slow the streams beside them,
//! which then last longer and take still more engines (seen when all streams had been broken off and
//! came back at once).

use oleanderpass_types::size::Tokens;

use crate::placement::Candidate;

/// The percentage of an engine's slots that short streams fill before their pool grows by another
/// engine. The rest is for streams that peers place at the same moment.
const SHORT_FILL_PERCENT: u32 = 70;

/// The percentage of an engine's slots that short streams fill while there are too few engines for
/// them and for long prompts.
const PACKED_PERCENT: u32 = 90;

/// The engines that long prompts need, as a percentage of their prefill load in engines. With fewer
/// engines the time to first token grows steeply.
const LONG_HEADROOM_PERCENT: f64 = 120.0;

/// The percentage of used slots from which an engine counts as full.
const FULL_PERCENT: u32 = 88;

/// The pending prefill time from which an engine of the short streams counts as full, in
/// milliseconds. One more prompt would use up the shortest gap of the standard routes.
const FULL_UNREAD_MS: f64 = 130.0;

/// The engines that a generation may use.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The engines, sorted by key.
    pub engines: Vec<Candidate>,
}

/// The number of engines for short streams. They are the first ones when sorted by key; the others
/// are for long prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSizes {
    /// The engines that short streams use normally.
    pub short: usize,
    /// The most engines that short streams may use when the normal ones are full.
    pub max_short: usize,
}

/// Divide the engines between the short streams and the long prompts. `tight_streams` is the number
/// of streams with a tight gap, `long_prompt_load` the average number of engines that prefill long
/// prompts, and `slots` the slots of one engine.
pub fn divide(tight_streams: u32, long_prompt_load: f64, slots: u32, engines: usize) -> PoolSizes {
    let per_engine = (slots * SHORT_FILL_PERCENT / 100).max(1);
    let short = tight_streams.div_ceil(per_engine).max(1) as usize;
    let long = (long_prompt_load * LONG_HEADROOM_PERCENT / 100.0)
        .ceil()
        .max(1.0) as usize;
    let max_pool = engines.saturating_sub(1).max(1);
    if short + long <= engines {
        let max_short = engines - long;
        return PoolSizes { short, max_short };
    }
    // Too few engines for both: each pool gets a share in proportion to its need, but the short
    // streams get at least as many as hold them with hardly a free slot, up to half of all.
    let packed = tight_streams.div_ceil((slots * PACKED_PERCENT / 100).max(1)) as usize;
    let in_proportion = engines * short / (short + long);
    let short = in_proportion
        .max(packed.min(engines / 2))
        .clamp(1, max_pool);
    PoolSizes {
        short,
        max_short: short,
    }
}

/// Return the engines for a generation: those of the short streams if `is_short` is set, otherwise
/// those of the long prompts. Avoided engines are left out unless all are avoided. If all engines of
/// the short streams are full, they also use those of the long prompts that are not. An engine that
/// uses more than `max_memory` has no memory left for the generation.
pub fn choose(
    candidates: &[Candidate],
    is_short: bool,
    long_prompt_load: f64,
    max_memory: Tokens,
) -> Pool {
    let mut healthy: Vec<Candidate> = candidates.iter().filter(|c| !c.avoided).copied().collect();
    if healthy.is_empty() {
        healthy = candidates.to_vec();
    }
    if healthy.is_empty() {
        return Pool { engines: healthy };
    }
    healthy.sort_by_key(|candidate| candidate.key);
    let tight_streams =
        healthy.iter().map(|c| c.load.tight_writers).sum::<u32>() + u32::from(is_short);
    let slots = healthy.iter().map(|c| c.slots).min().unwrap_or(1);
    let sizes = divide(tight_streams, long_prompt_load, slots, healthy.len());
    if !is_short {
        return Pool {
            engines: healthy.split_off(sizes.short.min(healthy.len().saturating_sub(1))),
        };
    }
    let mut short = sizes.short;
    while short < sizes.max_short && healthy[..short].iter().all(|c| is_full(c, max_memory)) {
        short += 1;
    }
    let spare = healthy.split_off(short);
    if healthy.iter().all(|c| is_full(c, max_memory)) {
        healthy.extend(spare.into_iter().filter(|c| !is_full(c, max_memory)));
    }
    Pool { engines: healthy }
}

/// Return whether an engine has too few slots, too little time or too little memory for another
/// short stream.
fn is_full(candidate: &Candidate, max_memory: Tokens) -> bool {
    candidate.load.in_flight * 100 >= candidate.window * FULL_PERCENT
        || candidate.load.unread_ms >= FULL_UNREAD_MS
        || candidate.load.memory > max_memory
}
