//! Choose the backend servers of an attempt.
//!
//! An attempt goes to one primary server. Several engines prefill a long prompt in equal parts: the
//! primary engine and its helpers. This shortens the time to first token, and it keeps each pass of
//! an engine within the gaps of its streams.

use std::cmp::Reverse;

use oleanderpass_types::clock::Millis;
use oleanderpass_types::size::Tokens;
use rand::Rng;
use rand::RngExt;

use crate::backend::BackendKey;
use crate::engine::EngineModel;
use crate::load::BackendLoad;
use crate::load::TIGHT_GAP;
use crate::pools;
use crate::split;

/// The smallest part of a prompt for which a further engine is used.
pub const MIN_PART: Tokens = Tokens::new(8_000);

/// The shortest prompt that is split. For a shorter one, two parts cost a stream more per token
/// than they save.
pub const MIN_SPLIT_PROMPT: Tokens = Tokens::new(12_000);

/// The shortest prompt that never shares engines with short streams, whatever its own gap is. Its
/// prefill takes half of the shortest gap of the standard routes.
const MIN_LONG_PROMPT: Tokens = Tokens::new(30_000);

/// The largest number of helpers for one request. Source: the platform's protocol.
pub const MAX_HELPERS: usize = 16;

/// The percentage of an engine's memory that placement fills. The rest covers answers that grow
/// beyond their estimate and load of peers that is not known yet.
const MEMORY_PERCENT: u64 = 92;

/// The cost of an engine without a free slot, in milliseconds for each request that waits for one.
/// It is about the time until a request frees its slot.
const NO_SLOT_COST_MS: f64 = 1_500.0;

/// The cost of an engine that lacks the memory for a whole prompt, in milliseconds. It is about the
/// time until a stream with a long prompt ends on the engine.
const NO_MEMORY_COST_MS: f64 = 1_500.0;

/// The cost of an avoided server: in milliseconds for an engine, and as a multiple of the load of a
/// full server for a plain service. It is so high that other servers go first.
const AVOIDED_COST_MS: f64 = 20_000.0;

/// The cost of a failed attempt, in milliseconds. It is about the silence after which an attempt is
/// given up.
const FAILURE_COST_MS: f64 = 1_500.0;

/// The cost of an engine that is twice as slow as normal, in milliseconds, because all events of
/// its streams are late.
const SLOWDOWN_COST_MS: f64 = 400.0;

/// The cost of the prefill of a long prompt on an engine with tight streams, per such stream, in
/// milliseconds.
const TIGHT_STREAM_COST_MS: f64 = 25.0;

/// The cost of a late event of one tight stream, in milliseconds per millisecond of prefill beyond
/// what its gap allows.
const LATE_COST_PER_STREAM: f64 = 0.5;

/// The cost of a server in another availability zone, in milliseconds, for the round trip and the
/// price of the traffic.
const OTHER_ZONE_COST_MS: f64 = 2.0;

/// The cost of an engine whose last free slot the attempt would take, in milliseconds. Instances
/// learn of each other's attempts some milliseconds late, so several of them may choose the slot,
/// and all but one wait. Each further free slot halves the cost.
const LAST_SLOT_COST_MS: f64 = 40.0;

/// The percentage of a gap that prefill may take in one pass. The rest covers the token steps of
/// the pass and prefill that peers place at the same moment.
const GAP_PERCENT: u64 = 60;

/// The cost of a failed call to a plain service, as a multiple of the load of a full server.
const FAILURE_COST_LOADS: f64 = 1.0;

/// A backend server that an attempt may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The server.
    pub key: BackendKey,
    /// The number of requests that the server runs concurrently.
    pub slots: u32,
    /// The requests in flight up to which the server counts as having room: its slots, or less
    /// after it has started or recovered. It only ranks servers and rules out none.
    pub window: u32,
    /// The load that all instances have placed on the server.
    pub load: BackendLoad,
    /// Whether the server is used only if no other one can run the attempt.
    pub avoided: bool,
    /// The fraction of its recent requests that failed, from 0 to 1.
    pub failure_rate: f64,
    /// How many times longer than normal a pass of the server takes; 1 for a normal server.
    pub slowdown: f64,
    /// Whether the server is in this instance's availability zone.
    pub own_zone: bool,
}

impl Candidate {
    /// Return whether the server has no room within its window.
    pub fn is_full(&self) -> bool {
        self.load.in_flight >= self.window
    }
}

/// What a request requires of an engine.
#[derive(Clone, Copy, Debug)]
pub struct GenerationSpec {
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The largest number of tokens that may be generated.
    pub max_output: Tokens,
    /// The longest pause between events that is on time. `None` if the route sets no limit.
    pub gap: Option<Millis>,
    /// The time until the objective of the first event has passed; 0 if it has.
    pub objective_left: Millis,
    /// The engine that must get the request, because it was already sent to as many servers as the
    /// route allows.
    pub required_primary: Option<BackendKey>,
}

impl GenerationSpec {
    /// Return whether this is a short stream: its gap is tight, and its prompt is so short that the
    /// prefill doesn't delay other short streams. Any other generation counts as a long prompt.
    pub fn is_short(&self) -> bool {
        self.prompt < MIN_LONG_PROMPT && self.gap.is_some_and(|gap| gap <= TIGHT_GAP)
    }

    /// Return whether a server lacks the memory for the whole prompt and its answer.
    pub fn exceeds_memory(&self, engine: &EngineModel, candidate: &Candidate) -> bool {
        candidate.load.memory + self.need() > usable_memory(engine)
    }

    /// Return the memory that the generation needs in total.
    fn need(&self) -> Tokens {
        self.prompt + self.max_output
    }
}

/// An engine that prefills a part of the prompt for the primary engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Helper {
    /// The engine.
    pub key: BackendKey,
    /// The memory to reserve on the engine, if it also keeps a part of the KV cache.
    pub reserve: Option<Tokens>,
}

/// The servers of an attempt and the expected times.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The server that gets the request.
    pub primary: BackendKey,
    /// The engines that prefill parts of the prompt for the primary engine.
    pub helpers: Vec<Helper>,
    /// The prefill time of each engine for this attempt, in milliseconds; 0 for plain services.
    pub part_ms: f64,
    /// The expected time to the first event in milliseconds if the attempt goes before deferred
    /// ones.
    pub expected_ms: f64,
    /// The expected time to the first event in milliseconds if the attempt waits behind all that
    /// the servers have, also behind deferred attempts.
    pub behind_all_ms: f64,
    /// The longest pending prefill time among the engines, without this attempt, in milliseconds.
    pub backlog_ms: f64,
    /// The memory that the attempt needs on the primary server.
    pub memory: Tokens,
}

impl Plan {
    /// Iterate over the primary server and the helpers.
    pub fn keys(&self) -> impl Iterator<Item = BackendKey> {
        std::iter::once(self.primary).chain(self.helpers.iter().map(|helper| helper.key))
    }
}

/// Estimate the cost of an engine for one of `parts` parts of a prompt, in milliseconds.
pub(crate) fn cost(
    engine: &EngineModel,
    candidate: &Candidate,
    generation: &GenerationSpec,
    parts: usize,
) -> f64 {
    let part_ms = engine.prefill_ms(generation.prompt, parts);
    let load = &candidate.load;
    let mut cost = (load.unread_ms + part_ms) * candidate.slowdown
        + SLOWDOWN_COST_MS * (candidate.slowdown - 1.0);
    cost += candidate.failure_rate * FAILURE_COST_MS;
    if !generation.is_short() {
        cost += TIGHT_STREAM_COST_MS * f64::from(load.tight_writers);
    }
    if load.tight_writers > 0
        && let Some(gap) = load.gap
    {
        let allowed = (gap.get() * GAP_PERCENT / 100) as f64;
        let over = (load.unread_ms + part_ms) * candidate.slowdown - allowed;
        cost += over.max(0.0) * LATE_COST_PER_STREAM * f64::from(load.tight_writers);
    }
    if parts == 1 && generation.exceeds_memory(engine, candidate) {
        cost += NO_MEMORY_COST_MS;
    }
    if candidate.is_full() {
        cost += NO_SLOT_COST_MS * f64::from(1 + load.in_flight - candidate.window);
    } else {
        let free = candidate.window - load.in_flight;
        cost += LAST_SLOT_COST_MS * 0.5_f64.powf(f64::from(free - 1));
    }
    if candidate.avoided {
        cost += AVOIDED_COST_MS;
    }
    if !candidate.own_zone {
        cost += OTHER_ZONE_COST_MS;
    }
    cost + engine.step_ms * f64::from(load.in_flight) / f64::from(candidate.slots.max(1))
}

/// Return the memory of an engine that placement may fill.
fn usable_memory(engine: &EngineModel) -> Tokens {
    Tokens::new(engine.memory.get() * MEMORY_PERCENT / 100)
}

/// Choose the engines of a generation. Return `None` if the candidates lack the memory for it.
pub fn place_generation(
    engine: &EngineModel,
    candidates: &[Candidate],
    generation: &GenerationSpec,
    long_prompt_load: f64,
    rng: &mut impl Rng,
) -> Option<Plan> {
    let is_short = generation.is_short();
    let need = generation.need();
    let max_memory = usable_memory(engine).saturating_sub(need);
    let pool = pools::choose(candidates, is_short, long_prompt_load, max_memory);
    place_in(engine, &pool.engines, generation, rng)
        .or_else(|| place_in(engine, candidates, generation, rng))
}

/// Choose the engines of a generation among these candidates.
fn place_in(
    engine: &EngineModel,
    candidates: &[Candidate],
    generation: &GenerationSpec,
    rng: &mut impl Rng,
) -> Option<Plan> {
    if candidates.is_empty() {
        return None;
    }
    let is_short = generation.is_short();
    let need = generation.need();
    let usable = usable_memory(engine);
    let wanted_parts = if generation.prompt < MIN_SPLIT_PROMPT {
        1
    } else {
        generation.prompt.get().div_ceil(MIN_PART.get()) as usize
    };
    let min_parts = need.get().div_ceil(usable.get().max(1)) as usize;
    let healthy_count = candidates.iter().filter(|c| !c.avoided).count().max(1);
    let max_parts = wanted_parts
        .min(healthy_count)
        .max(min_parts)
        .min(MAX_HELPERS + 1);
    // The parts of a short prompt fit within any gap, so the most parts are best.
    let min_parts = if is_short {
        max_parts
    } else {
        min_parts.max(1)
    };
    let split = split::choose(engine, candidates, generation, min_parts, max_parts, rng)?;
    let (chosen, part_ms) = (split.engines, split.part_ms);
    let parts = chosen.len();
    let primary = match generation.required_primary {
        Some(key) => candidates.iter().find(|c| c.key == key)?,
        None => choose_primary(&chosen, need, usable),
    };
    let first_event_ms = |pending: fn(&BackendLoad) -> f64| {
        let prefills = chosen
            .iter()
            .map(|c| (pending(&c.load) + part_ms) * c.slowdown);
        prefills.fold(0.0, f64::max) + engine.decode_pass_ms()
    };
    // The requests that wait for a slot, this one included, and those of them that go before
    // deferred ones.
    let waiting = (primary.load.in_flight + 1).saturating_sub(primary.slots);
    let urgent = waiting.saturating_sub(primary.load.deferred);
    // With several slots, one becomes free in a fraction of the time.
    let slot_ms =
        |waiting: u32| NO_SLOT_COST_MS * f64::from(waiting) / f64::from(primary.slots.max(1));
    let expected_ms = first_event_ms(|load| load.unread_ms - load.deferred_ms) + slot_ms(urgent);
    let behind_all_ms = first_event_ms(|load| load.unread_ms) + slot_ms(waiting);
    let mut primary_memory = need;
    let primary_free = usable.saturating_sub(primary.load.memory);
    let mut helpers: Vec<Helper> = chosen
        .iter()
        .filter(|c| c.key != primary.key)
        .take(parts - 1)
        .map(|c| Helper {
            key: c.key,
            reserve: None,
        })
        .collect();
    if need > primary_free {
        // Reservations are filled in the order of the helpers, so helpers with one come first.
        let mut by_free_memory: Vec<(Tokens, BackendKey)> = chosen
            .iter()
            .filter(|c| c.key != primary.key)
            .take(parts - 1)
            .map(|c| (usable.saturating_sub(c.load.memory), c.key))
            .collect();
        by_free_memory.sort_by_key(|(free, _)| Reverse(*free));
        let mut reserving = Vec::new();
        for (free, key) in by_free_memory {
            if primary_memory <= primary_free {
                break;
            }
            let size = Tokens::new(primary_memory.get() - primary_free.get()).min(free);
            if size > Tokens::ZERO {
                primary_memory = primary_memory.saturating_sub(size);
                let reserve = Some(size);
                reserving.push(Helper { key, reserve });
            }
        }
        if primary_memory > usable {
            return None;
        }
        helpers.retain(|helper| reserving.iter().all(|r| r.key != helper.key));
        reserving.append(&mut helpers);
        helpers = reserving;
    }
    Some(Plan {
        primary: primary.key,
        helpers,
        part_ms,
        expected_ms,
        behind_all_ms,
        backlog_ms: chosen.iter().map(|c| c.load.unread_ms).fold(0.0, f64::max),
        memory: primary_memory,
    })
}

/// Choose the engine that decodes. One that is not avoided comes first, then one with enough free
/// memory, then one with a free slot, then one with many requests: streams that share few engines
/// leave others on which a long part makes no stream late.
fn choose_primary<'a>(chosen: &[&'a Candidate], need: Tokens, usable: Tokens) -> &'a Candidate {
    let key = |c: &&&Candidate| {
        let free = usable.saturating_sub(c.load.memory);
        let lacking = need.saturating_sub(free);
        (c.avoided, lacking, c.is_full(), Reverse(c.load.in_flight))
    };
    chosen.iter().min_by_key(key).unwrap_or(&chosen[0])
}

/// Choose the server of a call to a plain service: the one with the fewest calls relative to its
/// window.
pub fn place_call(candidates: &[Candidate], rng: &mut impl Rng) -> Option<Plan> {
    let ranked = candidates.iter().map(|c| {
        let share = f64::from(c.load.in_flight) / f64::from(c.window.max(1));
        let avoided = if c.avoided { AVOIDED_COST_MS } else { 0.0 };
        (
            share + avoided + c.failure_rate * FAILURE_COST_LOADS + rng.random_range(0.0..0.01),
            c,
        )
    });
    let (_, best) = ranked.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(Plan {
        primary: best.key,
        helpers: Vec::new(),
        part_ms: 0.0,
        expected_ms: 0.0,
        behind_all_ms: 0.0,
        backlog_ms: 0.0,
        memory: Tokens::ZERO,
    })
}
