//! Choose the engine for a request, or several engines that join their memory.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::size::Tokens;
use rand::Rng;
use rand::RngExt;
use strum::Display;
use strum::EnumString;

use crate::cost::Estimate;
use crate::cost::EstimateOptions;
use crate::cost::estimate;
use crate::join;
use crate::join::JoinOptions;
use crate::request::LengthClass;
use crate::request::Request;
use crate::split;
use crate::view::Candidate;
use crate::view::Dispatch;
use crate::view::View;

/// The policy that chooses an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// The engines in turn.
    RoundRobin,
    /// The engine with the shortest reported prefill queue, then with the fewest reported requests.
    LeastReported,
    /// The better of two random engines, by their last report and this instance's own work.
    TwoChoices,
    /// Separate engines for long prompts, with prefix affinity, two random choices and load reports
    /// whose influence decreases with age.
    Split(SplitOptions),
}

/// The features of the split policy, each of which can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SplitOptions {
    /// Prefer engines that are expected to hold the prompt's prefix.
    pub affinity: bool,
    /// Restrict long prompts that aren't urgent to the long-prompt partition.
    pub long_partition: bool,
    /// Run long prompts at a lower priority than short ones.
    pub priorities: bool,
    /// Give the average over the engines more weight than an engine's report as the report ages.
    pub aging: bool,
    /// Keep requests in the local queue while the estimated wait on the engines is too long.
    pub local_queue: bool,
    /// Reserve a part of each engine's memory for short prompts.
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

/// The estimate options of all policies but the split policy.
pub(crate) const BASIC_ESTIMATE: EstimateOptions = EstimateOptions {
    affinity: false,
    aging: false,
    priorities: false,
};

/// The decision for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Run on the engines of the dispatch: on one, or on several that join their memory.
    Run {
        /// The engines, by ascending id, and the work that the request adds to them.
        dispatch: Dispatch,
        /// The estimate on which the choice is based.
        estimate: Estimate,
        /// Run the request on its engines at a lower priority than short prompts.
        low_priority: bool,
    },
    /// Keep the request in the local queue.
    Wait,
    /// Refuse the request. It has not run.
    Refuse(Refusal),
}

/// The reason for refusing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// No engine is usable, or all usable ones are excluded for this request.
    NoServer,
    /// All usable engines together have too little memory.
    TooLarge,
    /// The request can't finish before its deadline.
    Deadline,
}

/// Choose the engine or engines for one request. Call [`View::refresh`] before.
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
        return join::choose(&placement, pool, &JoinOptions::default());
    }
    let engine = match policy {
        Policy::RoundRobin => pool[(view.dispatches % pool.len() as u64) as usize],
        Policy::LeastReported => least_reported(view, pool, rng),
        Policy::TwoChoices | Policy::Split(_) => {
            let candidates = [random_candidate(pool, rng), random_candidate(pool, rng)];
            placement
                .earliest_first_token(&candidates, BASIC_ESTIMATE)
                .0
        }
    };
    let estimate = placement.estimate(engine, BASIC_ESTIMATE);
    placement.run(&[engine], estimate, false)
}

/// A request to place on the engines of a view.
pub(crate) struct Placement<'a> {
    pub(crate) view: &'a View,
    pub(crate) now: Timestamp,
    pub(crate) req: &'a Request<'a>,
}

impl Placement<'_> {
    pub(crate) fn class(&self) -> LengthClass {
        LengthClass::of(self.req.prompt, self.view.long_prompt())
    }

    pub(crate) fn estimate(&self, engine: Candidate, options: EstimateOptions) -> Estimate {
        estimate(self.view, self.view.at(engine), self.now, self.req, options)
    }

    /// Return whether the request and `reserve` exceed the memory of each single engine.
    pub(crate) fn needs_join(&self, pool: &[Candidate], reserve: Tokens) -> bool {
        let need = self.req.memory() + reserve;
        pool.iter()
            .all(|engine| self.view.at(*engine).spec.memory < need)
    }

    /// Return the candidate with the earliest estimated first token, and its estimate.
    pub(crate) fn earliest_first_token(
        &self,
        candidates: &[Candidate],
        options: EstimateOptions,
    ) -> (Candidate, Estimate) {
        let mut best = (candidates[0], self.estimate(candidates[0], options));
        for engine in &candidates[1..] {
            let estimate = self.estimate(*engine, options);
            if estimate.ttft < best.1.ttft {
                best = (*engine, estimate);
            }
        }
        best
    }

    /// Return whether even the best estimate lets the request finish only after its deadline.
    ///
    /// Only half of the estimated wait counts, because a queue may drain faster than estimated.
    pub(crate) fn cannot_finish(&self, best: Estimate) -> bool {
        let without_wait = best.finish.saturating_sub(best.wait);
        self.now + without_wait + Millis::new(best.wait.get() / 2) > self.req.deadline
    }

    /// Return the choice to run the request on `engines`, split evenly between them.
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
        let prefill = self.req.prompt.saturating_sub(estimate.expected_hit);
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

/// Draw one of the engines at random.
pub(crate) fn random_candidate(engines: &[Candidate], rng: &mut impl Rng) -> Candidate {
    engines[rng.random_range(0..engines.len())]
}

/// Return the engine with the least reported load; ties are broken at random.
fn least_reported(view: &View, pool: &[Candidate], rng: &mut impl Rng) -> Candidate {
    let load = |engine: &Candidate| {
        let report = view.at(*engine).report.map(|received| received.report);
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
    random_candidate(&equal, rng)
}
