//! Choose how many engines prefill a long prompt, and which ones.
//!
//! More engines finish a prompt sooner. But an engine prefills a whole part in one pass, in which
//! its streams get no event: a part that is longer than the gap of a stream makes that stream late.
//! The best split makes the least work late, the prompt itself included.

use oleanderpass_types::size::Tokens;
use rand::Rng;
use rand::RngExt;

use crate::engine::EngineModel;
use crate::placement::Candidate;
use crate::placement::GenerationSpec;
use crate::placement::cost;

/// The weight of an output token relative to a prompt token, as in usual prices for both.
const OUTPUT_TOKEN_WEIGHT: f64 = 10.0;

/// The weight of the output of one running stream, in prompt tokens. Bulletins don't tell how many
/// tokens a stream may generate, so this stands for a thousand.
const STREAM_OUTPUT_WEIGHT: f64 = 10_000.0;

/// The cost of an engine whose streams become late, in milliseconds per token of late work. It
/// ranks the engines of a split.
const LATE_COST_MS_PER_TOKEN: f64 = 0.01;

/// The part of the time until the objective within which a prefill ends on time although the
/// estimate may be too short. Beyond it, the risk of being late rises to certainty at the objective.
const SAFE_SHARE: f64 = 0.6;

/// The smallest difference in late work that counts, in tokens.
const MIN_LATE_DIFFERENCE: f64 = 1.0;

/// The engines that prefill a prompt in equal parts.
#[derive(Clone, Debug)]
pub(crate) struct Split<'a> {
    /// The engines, those with the lowest cost first.
    pub(crate) engines: Vec<&'a Candidate>,
    /// The prefill time of each engine, in milliseconds.
    pub(crate) part_ms: f64,
    /// The expected time until the last engine has prefilled its part, in milliseconds.
    finish_ms: f64,
    /// The weight of the work that the split makes late, in tokens.
    late_tokens: f64,
}

impl Split<'_> {
    /// Return whether this split makes less work late than `other`, or as much but finishes sooner.
    fn is_better_than(&self, other: &Self) -> bool {
        let difference = self.late_tokens - other.late_tokens;
        difference < -MIN_LATE_DIFFERENCE
            || (difference <= MIN_LATE_DIFFERENCE && self.finish_ms < other.finish_ms)
    }
}

/// Choose the best split over at least `min_parts` and at most `max_parts` of the candidates.
/// Return `None` if there are too few candidates.
pub(crate) fn choose<'a>(
    engine: &EngineModel,
    candidates: &'a [Candidate],
    generation: &GenerationSpec,
    min_parts: usize,
    max_parts: usize,
    rng: &mut impl Rng,
) -> Option<Split<'a>> {
    if max_parts > candidates.len() {
        return None;
    }
    let splits =
        (min_parts..=max_parts).map(|parts| over(engine, candidates, generation, parts, rng));
    splits.reduce(|best, split| {
        if split.is_better_than(&best) {
            split
        } else {
            best
        }
    })
}

/// Return the split over the `parts` engines with the lowest cost.
fn over<'a>(
    engine: &EngineModel,
    candidates: &'a [Candidate],
    generation: &GenerationSpec,
    parts: usize,
    rng: &mut impl Rng,
) -> Split<'a> {
    let is_short = generation.is_short();
    let part_ms = engine.prefill_ms(generation.prompt, parts);
    let mut ranked: Vec<(f64, &Candidate)> = candidates
        .iter()
        .map(|candidate| {
            // The jitter keeps instances with the same view from choosing the same engine.
            let mut cost = cost(engine, candidate, generation, parts) + rng.random_range(0.0..1.0);
            if !is_short {
                let late = late_stream_tokens(engine, candidate, part_ms);
                cost += late * LATE_COST_MS_PER_TOKEN;
            }
            (cost, candidate)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    let engines: Vec<&Candidate> = ranked.iter().take(parts).map(|(_, c)| *c).collect();
    let prefills = engines
        .iter()
        .map(|c| (c.load.unread_ms + part_ms) * c.slowdown);
    let finish_ms = prefills.fold(0.0, f64::max);
    let late_streams = engines
        .iter()
        .map(|c| late_stream_tokens(engine, c, part_ms));
    let late_tokens = late_streams.sum::<f64>() + late_prompt_tokens(generation, finish_ms);
    Split {
        engines,
        part_ms,
        finish_ms,
        late_tokens,
    }
}

/// Return the weight of the streams of an engine that become late if it also prefills a part of
/// `part_ms`. Streams that the pending prefill makes late anyway don't count.
fn late_stream_tokens(engine: &EngineModel, candidate: &Candidate, part_ms: f64) -> f64 {
    let load = &candidate.load;
    let Some(gap) = load.gap else {
        return 0.0;
    };
    let pause_ms = |prefill_ms: f64| (prefill_ms + engine.decode_pass_ms()) * candidate.slowdown;
    let gap_ms = gap.get() as f64;
    let becomes_late =
        pause_ms(load.unread_ms) <= gap_ms && pause_ms(load.unread_ms + part_ms) > gap_ms;
    if becomes_late {
        weight(
            load.memory,
            STREAM_OUTPUT_WEIGHT * f64::from(load.in_flight),
        )
    } else {
        0.0
    }
}

/// Return the weight of a generation times the risk that its first event is late if its prefill
/// ends after `finish_ms`.
fn late_prompt_tokens(generation: &GenerationSpec, finish_ms: f64) -> f64 {
    let left_ms = generation.objective_left.get().max(1) as f64;
    let risk = ((finish_ms / left_ms - SAFE_SHARE) / (1.0 - SAFE_SHARE)).clamp(0.0, 1.0);
    let output = OUTPUT_TOKEN_WEIGHT * generation.max_output.get() as f64;
    risk * weight(generation.prompt, output)
}

/// Return the weight of work, in prompt tokens.
fn weight(prompt: Tokens, output_weight: f64) -> f64 {
    prompt.get() as f64 + output_weight
}
