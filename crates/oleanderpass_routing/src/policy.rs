//! Choose the engine or engines for a request.

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
use crate::join;
use crate::join::JoinRules;
use crate::request::LengthClass;
use crate::request::Request;
use crate::split;
use crate::view::Candidate;
use crate::view::Dispatch;
use crate::view::View;

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
    pub long_partition: bool,
    /// Run long prompts at lower priority.
    pub priorities: bool,
    /// Let old reports fade into the average.
    pub aging: bool,
    /// Keep requests in the local queue while all engines are busy.
    pub local_queue: bool,
    /// Leave a part of each engine's memory to short prompts.
    pub memory_reserve: bool,
}

impl Default for SplitOptions {
    fn default() -> Self {
        Self {
            affinity: true,
            long_partition: true,
            priorities: true,
            aging: true,
            local_queue: true,
            memory_reserve: true,
        }
    }
}

/// The information that the simple policies use.
pub(crate) const SIMPLE_COST: CostOptions = CostOptions {
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
    let excluded: Vec<usize> = req
        .excluded
        .iter()
        .filter_map(|id| view.index_of(id))
        .collect();
    let remaining: Vec<Candidate>;
    let pool = if excluded.is_empty() {
        view.pool()
    } else {
        let is_allowed = |candidate: &&Candidate| !excluded.contains(&candidate.index);
        remaining = view.pool().iter().filter(is_allowed).copied().collect();
        &remaining
    };
    if pool.is_empty() {
        return Choice::Refuse(Refusal::NoServer);
    }
    let placement = Placement { view, now, req };
    if let Policy::Split(options) = policy {
        return split::choose(&placement, pool, options, rng);
    }
    if placement.needs_join(pool, Tokens::ZERO) {
        return join::choose(&placement, pool, &JoinRules::default());
    }
    let index = match policy {
        Policy::RoundRobin => pool[(view.dispatches % pool.len() as u64) as usize],
        Policy::LeastReported => least_reported(view, pool, rng),
        Policy::TwoChoices | Policy::Split(_) => {
            let candidates = [random(pool, rng), random(pool, rng)];
            placement.cheapest(&candidates, SIMPLE_COST).0
        }
    };
    let estimate = placement.estimate(index, SIMPLE_COST);
    placement.run(&[index], estimate, false)
}

/// A request to place in a view.
pub(crate) struct Placement<'a> {
    pub(crate) view: &'a View,
    pub(crate) now: Timestamp,
    pub(crate) req: &'a Request<'a>,
}

impl Placement<'_> {
    pub(crate) fn class(&self) -> LengthClass {
        LengthClass::of(self.req.prompt, self.view.long_prompt())
    }

    pub(crate) fn estimate(&self, engine: Candidate, options: CostOptions) -> Estimate {
        estimate(self.view, self.view.at(engine), self.now, self.req, options)
    }

    /// Return whether no engine has the memory for the request and a reserve.
    pub(crate) fn needs_join(&self, pool: &[Candidate], reserve: Tokens) -> bool {
        let need = self.req.memory() + reserve;
        pool.iter()
            .all(|engine| self.view.at(*engine).spec.memory < need)
    }

    /// Return the candidate with the earliest first token.
    pub(crate) fn cheapest(
        &self,
        candidates: &[Candidate],
        options: CostOptions,
    ) -> (Candidate, Estimate) {
        let mut best = (candidates[0], self.estimate(candidates[0], options));
        for engine in &candidates[1..] {
            let cost = self.estimate(*engine, options);
            if cost.ttft < best.1.ttft {
                best = (*engine, cost);
            }
        }
        best
    }

    /// Return whether the request has no chance to finish before its deadline.
    ///
    /// A queue may drain faster than estimated, so a request that only the queue delays is refused
    /// when half of the estimated wait would still be too long.
    pub(crate) fn cannot_finish(&self, best: Estimate) -> bool {
        let alone = best.finish.saturating_sub(best.wait);
        self.now + alone + Millis::new(best.wait.get() / 2) > self.req.deadline
    }

    pub(crate) fn run(
        &self,
        engines: &[Candidate],
        estimate: Estimate,
        low_priority: bool,
    ) -> Choice {
        let count = engines.len() as u64;
        let mut servers: Vec<BackendServerId> = engines
            .iter()
            .map(|engine| self.view.at(*engine).id.clone())
            .collect();
        servers.sort();
        let prefill = self.req.prompt.saturating_sub(estimate.hit);
        Choice::Run {
            dispatch: Dispatch {
                servers,
                class: self.class(),
                prefill: Tokens::new(prefill.get().div_ceil(count)),
                memory: Tokens::new(self.req.memory().get().div_ceil(count)),
                prefill_done: false,
            },
            estimate,
            low_priority,
        }
    }
}

/// Draw one of some engines.
pub(crate) fn random(engines: &[Candidate], rng: &mut impl Rng) -> Candidate {
    engines[rng.random_range(0..engines.len())]
}

/// Return the engine with the least reported load; equal ones are drawn at random.
fn least_reported(view: &View, pool: &[Candidate], rng: &mut impl Rng) -> Candidate {
    let load = |engine: &Candidate| {
        let report = view.at(*engine).report.map(|seen| seen.report);
        report.map_or((0, 0), |report| {
            (report.queued_prefill.get(), report.requests)
        })
    };
    let least = pool.iter().map(load).min().unwrap_or_default();
    let equal: Vec<Candidate> = pool
        .iter()
        .copied()
        .filter(|engine| load(engine) == least)
        .collect();
    random(&equal, rng)
}
