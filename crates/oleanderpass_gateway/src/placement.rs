//! Choose the backend servers of an attempt.
//!
//! A long prompt is read in even parts by several engines, so that no pass over an engine's work
//! becomes longer than the pauses that its streams allow, and so that the first token comes sooner.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::size::Tokens;
use rand::Rng;
use rand::RngExt;

use crate::backend::BackendKey;
use crate::engine::EngineModel;
use crate::load::Summary;
use crate::load::TIGHT_GAP;
use crate::pools;

/// The largest part of a prompt that one engine reads. In runs with parts of 8,000, 16,000 and 32,000
/// tokens the smallest had the most answers on time.
pub const PART: Tokens = Tokens::new(8_000);

/// The prompts that are never split: two parts cost a stream more per token than they save.
pub const SPLIT_FROM: Tokens = Tokens::new(12_000);

/// The prompts that never share engines with short streams, whatever their own pause is. Reading one
/// takes as long as half of the shortest pause of the standard routes.
const LONG_PROMPT: Tokens = Tokens::new(30_000);

/// The most engines that help the first one. Source: the platform's protocol.
pub const MAX_HELPERS: usize = 16;

/// The part of an engine's memory that placement fills, in hundredths. The rest covers answers that
/// grow past their estimate and work of peers that is not known yet.
const MEMORY_PERCENT: u64 = 92;

/// The cost of an engine without a free slot, in milliseconds: about the time until one is free.
const NO_SLOT_MS: f64 = 1_500.0;

/// The cost of an engine that lacks the memory for a whole prompt, in milliseconds: about the time
/// until a stream with a long prompt ends there.
const NO_MEMORY_MS: f64 = 1_500.0;

/// The cost of an engine that can't be reached, in milliseconds. Any other engine goes first.
const AVOIDED_MS: f64 = 20_000.0;

/// The cost of a failed attempt, in milliseconds: about the silence after which it is given up.
const FAILURE_MS: f64 = 1_500.0;

/// The cost of an engine that is twice as slow as usual, in milliseconds: its streams are late all
/// along.
const SLOW_MS: f64 = 400.0;

/// The cost of reading on an engine with streams of short pauses, per stream, in milliseconds.
const TIGHT_WRITER_MS: f64 = 25.0;

/// The cost of one late event of one stream with a tight gap, per millisecond of reading beyond what
/// its gap allows.
const LATE_MS_PER_WRITER: f64 = 0.5;

/// The cost of another zone, in milliseconds: the round trip and the price of the bytes.
const OTHER_ZONE_MS: f64 = 2.0;

/// The part of a gap that reading may take in one pass, in hundredths. The rest covers the steps of
/// the pass and reading that peers placed in the same instant.
const GAP_PERCENT: u64 = 60;

/// The cost of a failed call to a plain service, in full loads of a server.
const FAILED_CALLS: f64 = 1.0;

/// A backend server that may take the attempt.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The server.
    pub key: BackendKey,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What it has.
    pub load: Summary,
    /// Take it only when no other can.
    pub avoided: bool,
    /// The part of its recent requests that failed, from 0 to 1.
    pub failure_rate: f64,
    /// How many times longer than usual it takes.
    pub pace: f64,
    /// It is in this instance's availability zone.
    pub own_zone: bool,
}

/// What an attempt asks of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Generation {
    /// The prompt.
    pub prompt: Tokens,
    /// The most that is written.
    pub max_output: Tokens,
    /// The longest pause between events that is on time.
    pub gap: Option<Millis>,
    /// The engine that must get the request, if it was sent to as many as it may be.
    pub primary: Option<BackendKey>,
}

impl Generation {
    /// Return whether it belongs to the short streams: a short pause and a prompt whose reading
    /// doesn't disturb others of its kind.
    pub fn is_short(&self) -> bool {
        self.prompt < LONG_PROMPT && self.gap.is_some_and(|gap| gap <= TIGHT_GAP)
    }
}

/// An engine that reads a part of the prompt for the first one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Helper {
    /// The engine.
    pub key: BackendKey,
    /// The memory to reserve there, if it also keeps a part.
    pub reserve: Option<Tokens>,
}

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The server that gets the request.
    pub primary: BackendKey,
    /// The engines that help it.
    pub helpers: Vec<Helper>,
    /// The time that each engine reads, in milliseconds; 0 for plain services.
    pub part_ms: f64,
    /// The expected time to the first event, in milliseconds.
    pub expected_ms: f64,
    /// The same behind all that waits at the first server, in milliseconds.
    pub behind_all_ms: f64,
    /// The unread time of the engine that has most, before this attempt.
    pub backlog_ms: f64,
    /// The memory that the first server needs.
    pub memory: Tokens,
}

impl Plan {
    /// Iterate over all servers.
    pub fn keys(&self) -> impl Iterator<Item = BackendKey> {
        std::iter::once(self.primary).chain(self.helpers.iter().map(|helper| helper.key))
    }
}

/// Return the estimated cost in milliseconds of reading for `part_ms` on a server.
fn cost(engine: &EngineModel, candidate: &Candidate, part_ms: f64, tight: bool) -> f64 {
    let load = &candidate.load;
    let mut cost = (load.unread_ms + part_ms) * candidate.pace + SLOW_MS * (candidate.pace - 1.0);
    cost += candidate.failure_rate * FAILURE_MS;
    if !tight {
        cost += TIGHT_WRITER_MS * f64::from(load.tight_writers);
    }
    if load.tight_writers > 0
        && let Some(gap) = load.gap
    {
        let allowed = (gap.get() * GAP_PERCENT / 100) as f64;
        let over = (load.unread_ms + part_ms) * candidate.pace - allowed;
        cost += over.max(0.0) * LATE_MS_PER_WRITER * f64::from(load.tight_writers);
    }
    if load.in_flight >= candidate.slots {
        cost += NO_SLOT_MS * f64::from(1 + load.in_flight - candidate.slots);
    }
    if candidate.avoided {
        cost += AVOIDED_MS;
    }
    if !candidate.own_zone {
        cost += OTHER_ZONE_MS;
    }
    cost + engine.step_ms * f64::from(load.in_flight) / f64::from(candidate.slots.max(1))
}

fn usable_memory(engine: &EngineModel) -> Tokens {
    Tokens::new(engine.memory.get() * MEMORY_PERCENT / 100)
}

/// Choose the engines of a generation, or none if the engines in reach can't hold it.
pub fn place_generation(
    engine: &EngineModel,
    candidates: &[Candidate],
    generation: &Generation,
    long_load: f64,
    rng: &mut impl Rng,
) -> Option<Plan> {
    let tight = generation.is_short();
    let need = generation.prompt + generation.max_output;
    let most_memory = usable_memory(engine).saturating_sub(need);
    let pool = pools::choose(candidates, tight, long_load, most_memory);
    place_in(engine, &pool.engines, generation, rng)
        .or_else(|| place_in(engine, candidates, generation, rng))
}

fn place_in(
    engine: &EngineModel,
    candidates: &[Candidate],
    generation: &Generation,
    rng: &mut impl Rng,
) -> Option<Plan> {
    if candidates.is_empty() {
        return None;
    }
    let tight = generation.is_short();
    let need = generation.prompt + generation.max_output;
    let usable = usable_memory(engine);
    let wanted = if generation.prompt < SPLIT_FROM {
        1
    } else {
        generation.prompt.get().div_ceil(PART.get()) as usize
    };
    let least = need.get().div_ceil(usable.get().max(1)) as usize;
    let sound = candidates.iter().filter(|c| !c.avoided).count().max(1);
    let parts = wanted.min(sound).max(least).min(MAX_HELPERS + 1);
    if parts > candidates.len() {
        return None;
    }
    let part_ms = engine.read_ms(generation.prompt, parts);
    let mut ranked: Vec<(f64, &Candidate)> = candidates
        .iter()
        .map(|c| {
            let mut cost = cost(engine, c, part_ms, tight) + rng.random_range(0.0..1.0);
            if parts == 1 && c.load.memory + need > usable {
                cost += NO_MEMORY_MS;
            }
            (cost, c)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    let chosen: Vec<&Candidate> = ranked.iter().take(parts).map(|(_, c)| *c).collect();
    let first = match generation.primary {
        Some(key) => candidates.iter().find(|c| c.key == key)?,
        None => pick_first(&chosen, need, usable),
    };
    let read_ms = |ahead: fn(&Summary) -> f64| {
        let reads = chosen.iter().map(|c| (ahead(&c.load) + part_ms) * c.pace);
        reads.fold(0.0, f64::max) + engine.idle_pass_ms()
    };
    let waiting = (first.load.in_flight + 1).saturating_sub(first.slots);
    let urgent = waiting.saturating_sub(first.load.deferred);
    let slot_ms = |waiting: u32| NO_SLOT_MS * f64::from(waiting) / f64::from(first.slots.max(1));
    let expected_ms = read_ms(|load| load.unread_ms - load.deferred_ms) + slot_ms(urgent);
    let behind_all_ms = read_ms(|load| load.unread_ms) + slot_ms(waiting);
    let mut left = need;
    let own_room = usable.saturating_sub(first.load.memory);
    let mut helpers: Vec<Helper> = chosen
        .iter()
        .filter(|c| c.key != first.key)
        .take(parts - 1)
        .map(|c| Helper {
            key: c.key,
            reserve: None,
        })
        .collect();
    if need > own_room {
        // The tickets are filled in turn, so those with a reservation go first.
        let mut by_room: Vec<(Tokens, BackendKey)> = chosen
            .iter()
            .filter(|c| c.key != first.key)
            .take(parts - 1)
            .map(|c| (usable.saturating_sub(c.load.memory), c.key))
            .collect();
        by_room.sort_by_key(|(room, _)| std::cmp::Reverse(*room));
        let mut reserving = Vec::new();
        for (room, key) in by_room {
            if left <= own_room {
                break;
            }
            let size = Tokens::new(left.get() - own_room.get()).min(room);
            if size > Tokens::ZERO {
                left = left.saturating_sub(size);
                let reserve = Some(size);
                reserving.push(Helper { key, reserve });
            }
        }
        if left > usable {
            return None;
        }
        helpers.retain(|helper| reserving.iter().all(|r| r.key != helper.key));
        reserving.append(&mut helpers);
        helpers = reserving;
    }
    Some(Plan {
        primary: first.key,
        helpers,
        part_ms,
        expected_ms,
        behind_all_ms,
        backlog_ms: chosen.iter().map(|c| c.load.unread_ms).fold(0.0, f64::max),
        memory: left,
    })
}

/// Choose the engine that writes: with room for the memory, then with few streams.
fn pick_first<'a>(chosen: &[&'a Candidate], need: Tokens, usable: Tokens) -> &'a Candidate {
    let key = |c: &&&Candidate| {
        let room = usable.saturating_sub(c.load.memory);
        let lacks = need.saturating_sub(room);
        (c.avoided, lacks, c.load.in_flight)
    };
    chosen.iter().min_by_key(key).unwrap_or(&chosen[0])
}

/// Choose the server of a call to a plain service: the one with the fewest calls for its size.
pub fn place_call(candidates: &[Candidate], rng: &mut impl Rng) -> Option<Plan> {
    let ranked = candidates.iter().map(|c| {
        let share = f64::from(c.load.in_flight) / f64::from(c.slots.max(1));
        let avoided = if c.avoided { AVOIDED_MS } else { 0.0 };
        (
            share + avoided + c.failure_rate * FAILED_CALLS + rng.random_range(0.0..0.01),
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
