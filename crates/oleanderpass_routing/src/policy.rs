//! Choose the engine or engines for a request.

use std::cmp::Reverse;

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::size::Tokens;
use rand::Rng;
use rand::RngExt;
use strum::Display;
use strum::EnumString;

use crate::cost::CostOptions;
use crate::cost::Estimate;
use crate::cost::estimate;
use crate::cost::free_memory;
use crate::cost::others_prefill;
use crate::rendezvous::top_two;
use crate::request::LengthClass;
use crate::request::Request;
use crate::view::Dispatch;
use crate::view::Server;
use crate::view::View;

/// The estimated wait above which a short prompt stays in the local queue.
///
/// It keeps engines busy over one poll period, and leaves the order of the rest to the fair queue.
const SHORT_WAIT_LIMIT: Millis = Millis::from_secs(2);

/// The estimated wait above which a long prompt stays in the local queue.
const LONG_WAIT_LIMIT: Millis = Millis::from_secs(10);

/// The prompt tokens of other instances up to which an engine of the long part counts as idle.
const IDLE_PREFILL: Tokens = Tokens::new(2_048);

/// The engines drawn at random for one request, in each part.
const RANDOM_CANDIDATES: usize = 2;

/// How to choose an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// One engine after the other.
    RoundRobin,
    /// The engine with the least reported load.
    LeastReported,
    /// The better of two random engines by report and own work.
    TwoChoices,
    /// Length split with prefix affinity, two choices and aged load.
    Split(SplitOptions),
}

/// The parts of the split policy that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SplitOptions {
    /// Prefer engines that are expected to hold the prompt's prefix.
    pub affinity: bool,
    /// Limit long prompts to a part of the engines.
    pub long_part: bool,
    /// Run long prompts at lower priority.
    pub priorities: bool,
    /// Let old reports fade into the average.
    pub aging: bool,
    /// Keep requests in the local queue while all engines are busy.
    pub local_queue: bool,
}

impl Default for SplitOptions {
    fn default() -> Self {
        Self {
            affinity: true,
            long_part: true,
            priorities: true,
            aging: true,
            local_queue: true,
        }
    }
}

impl SplitOptions {
    fn cost(self) -> CostOptions {
        CostOptions {
            affinity: self.affinity,
            aging: self.aging,
            priorities: self.priorities,
        }
    }
}

/// The information that the simple policies use.
const SIMPLE_COST: CostOptions = CostOptions {
    affinity: false,
    aging: false,
    priorities: false,
};

/// The decision for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Run on the engines of the dispatch: on one, or on several that join their memory.
    Run {
        /// The engines, by ascending id, and what the request adds to them.
        dispatch: Dispatch,
        /// The estimate at the decision.
        estimate: Estimate,
        /// Send the request at lower priority.
        low_priority: bool,
    },
    /// Keep the request in the local queue.
    Wait,
    /// Answer `not run`.
    Refuse(Refusal),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// No engine is usable.
    NoServer,
    /// All usable engines together have too little memory.
    TooLarge,
    /// The request can't finish before its deadline.
    Deadline,
}

/// Choose for one request. Call [`View::refresh`] before.
pub fn choose(
    policy: Policy,
    view: &View,
    now: Timestamp,
    req: &Request<'_>,
    rng: &mut impl Rng,
) -> Choice {
    let pool: Vec<usize> = view
        .pool()
        .iter()
        .copied()
        .filter(|index| !req.excluded.contains(&view.at(*index).id))
        .collect();
    let Some(largest) = pool.iter().map(|index| view.at(*index).spec.memory).max() else {
        return Choice::Refuse(Refusal::NoServer);
    };
    if req.memory() > largest {
        return choose_join(policy, view, &pool, now, req);
    }
    let class = LengthClass::of(req.prompt, view.long_prompt);
    match policy {
        Policy::RoundRobin => {
            let index = pool[(view.dispatches % pool.len() as u64) as usize];
            run_simple(view, index, now, req)
        }
        Policy::LeastReported => run_simple(view, least_reported(view, &pool, rng), now, req),
        Policy::TwoChoices => {
            let candidates = [random(&pool, rng), random(&pool, rng)];
            let index = cheapest(view, &candidates, now, req, SIMPLE_COST).0;
            run_simple(view, index, now, req)
        }
        Policy::Split(options) => choose_split(view, &pool, options, class, now, req, rng),
    }
}

fn choose_split(
    view: &View,
    pool: &[usize],
    options: SplitOptions,
    class: LengthClass,
    now: Timestamp,
    req: &Request<'_>,
    rng: &mut impl Rng,
) -> Choice {
    // Engines that are excluded, because they are full for example, don't move the border between
    // the parts.
    let part = if options.long_part {
        view.long_part()
    } else {
        0
    };
    let split = view.pool()[..part]
        .iter()
        .filter(|index| !req.excluded.contains(&view.at(**index).id))
        .count();
    let (long, short) = pool.split_at(split);
    let (own, borrowed) = match class {
        LengthClass::Short if part < view.pool().len() => (short, long),
        LengthClass::Long if part > 0 => (long, &[][..]),
        _ => (pool, &[][..]),
    };
    let mut candidates = Vec::with_capacity(2 + 2 * RANDOM_CANDIDATES);
    if options.affinity
        && let Some(key) = req.affinity_key()
    {
        let nodes = own.iter().map(|index| (view.at(*index).key, *index));
        candidates.extend(top_two(key, nodes).into_iter().flatten());
    }
    for _ in 0..RANDOM_CANDIDATES {
        if !own.is_empty() {
            candidates.push(random(own, rng));
        }
        if !borrowed.is_empty() {
            let index = random(borrowed, rng);
            if is_idle(view, view.at(index), now, options) {
                candidates.push(index);
            }
        }
    }
    if candidates.is_empty() {
        return Choice::Refuse(Refusal::NoServer);
    }
    let (index, best) = cheapest(view, &candidates, now, req, options.cost());
    if cannot_finish(now, req, best) {
        return Choice::Refuse(Refusal::Deadline);
    }
    if options.local_queue && best.wait > wait_limit(class) {
        return Choice::Wait;
    }
    let low_priority = options.priorities && class == LengthClass::Long;
    run_on(view, vec![index], best, low_priority, req)
}

/// Return whether a request has no chance to finish before its deadline.
///
/// A queue may drain faster than estimated, so a request that only the queue delays is refused
/// when half of the estimated wait would still be too long.
fn cannot_finish(now: Timestamp, req: &Request<'_>, best: Estimate) -> bool {
    let alone = best.finish.saturating_sub(best.wait);
    now + alone + Millis::new(best.wait.get() / 2) > req.deadline
}

fn wait_limit(class: LengthClass) -> Millis {
    match class {
        LengthClass::Short => SHORT_WAIT_LIMIT,
        LengthClass::Long => LONG_WAIT_LIMIT,
    }
}

fn is_idle(view: &View, server: &Server, now: Timestamp, options: SplitOptions) -> bool {
    server.own.long_prefill == Tokens::ZERO
        && others_prefill(view, server, now, options.aging) <= IDLE_PREFILL
}

/// Choose the engines of a prompt that is larger than one engine: the least number of engines
/// whose memory is enough, those with the most free memory first.
fn choose_join(
    policy: Policy,
    view: &View,
    pool: &[usize],
    now: Timestamp,
    req: &Request<'_>,
) -> Choice {
    let mut engines = pool.to_vec();
    engines.sort_by_key(|index| Reverse(free_memory(view.at(*index))));
    let mut part = Tokens::ZERO;
    let fitting = (2..=engines.len()).find(|count| {
        part = Tokens::new(req.memory().get().div_ceil(*count as u64));
        engines[..*count]
            .iter()
            .all(|index| view.at(*index).spec.memory >= part)
    });
    let Some(count) = fitting else {
        return Choice::Refuse(Refusal::TooLarge);
    };
    engines.truncate(count);
    let share = Request {
        prompt: Tokens::new(req.prompt.get().div_ceil(count as u64)),
        expected_output: part.saturating_sub(Tokens::new(req.prompt.get() / count as u64)),
        prefixes: &[],
        ..*req
    };
    let (options, low_priority) = match policy {
        Policy::Split(options) => (options.cost(), options.priorities),
        _ => (SIMPLE_COST, false),
    };
    let slowest = engines
        .iter()
        .map(|index| estimate(view, view.at(*index), now, &share, options))
        .max_by_key(|estimate| estimate.ttft);
    let Some(mut slowest) = slowest else {
        return Choice::Refuse(Refusal::NoServer);
    };
    let decode = view
        .at(engines[0])
        .spec
        .token_time
        .saturating_mul(req.expected_output.get());
    slowest.finish = slowest.ttft + decode;
    if matches!(policy, Policy::Split(_)) && cannot_finish(now, req, slowest) {
        return Choice::Refuse(Refusal::Deadline);
    }
    if engines
        .iter()
        .any(|index| free_memory(view.at(*index)) < part)
    {
        return Choice::Wait;
    }
    run_on(view, engines, slowest, low_priority, req)
}

fn run_simple(view: &View, index: usize, now: Timestamp, req: &Request<'_>) -> Choice {
    let estimate = estimate(view, view.at(index), now, req, SIMPLE_COST);
    run_on(view, vec![index], estimate, false, req)
}

fn run_on(
    view: &View,
    engines: Vec<usize>,
    estimate: Estimate,
    low_priority: bool,
    req: &Request<'_>,
) -> Choice {
    let count = engines.len() as u64;
    let mut servers: Vec<BackendServerId> = engines
        .iter()
        .map(|index| view.at(*index).id.clone())
        .collect();
    servers.sort();
    let prefill = req
        .prompt
        .saturating_sub(estimate.hit)
        .get()
        .div_ceil(count);
    Choice::Run {
        dispatch: Dispatch {
            servers,
            class: LengthClass::of(req.prompt, view.long_prompt),
            prefill: Tokens::new(prefill),
            memory: Tokens::new(req.memory().get().div_ceil(count)),
            started: false,
        },
        estimate,
        low_priority,
    }
}

fn random(engines: &[usize], rng: &mut impl Rng) -> usize {
    engines[rng.random_range(0..engines.len())]
}

/// Return the engine with the least reported load; equal ones are drawn at random.
fn least_reported(view: &View, pool: &[usize], rng: &mut impl Rng) -> usize {
    let load = |index: &usize| {
        view.at(*index).report.map_or((0, 0), |seen| {
            (seen.report.queued_prefill.get(), seen.report.requests)
        })
    };
    let least = pool.iter().map(load).min().unwrap_or_default();
    let equal: Vec<usize> = pool
        .iter()
        .copied()
        .filter(|index| load(index) == least)
        .collect();
    random(&equal, rng)
}

fn cheapest(
    view: &View,
    candidates: &[usize],
    now: Timestamp,
    req: &Request<'_>,
    options: CostOptions,
) -> (usize, Estimate) {
    let mut best: Option<(usize, Estimate)> = None;
    for index in candidates {
        let cost = estimate(view, view.at(*index), now, req, options);
        if best.is_none_or(|(_, held)| cost.ttft < held.ttft) {
            best = Some((*index, cost));
        }
    }
    best.unwrap_or_else(|| {
        let idle = Estimate {
            wait: Millis::ZERO,
            ttft: Millis::ZERO,
            finish: Millis::ZERO,
            hit: Tokens::ZERO,
        };
        (0, idle)
    })
}
