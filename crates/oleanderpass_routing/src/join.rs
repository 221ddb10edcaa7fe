//! Choose the engines for a request that needs more memory than one engine has.
//!
//! These engines join their memory: each one prefills an equal part of the prompt and holds an
//! equal part of the KV cache.

use std::cmp::Reverse;

use oleanderpass_types::size::Tokens;

use crate::cost::Estimate;
use crate::cost::EstimateOptions;
use crate::cost::estimate;
use crate::cost::free_memory;
use crate::policy::BASIC_ESTIMATE;
use crate::policy::Choice;
use crate::policy::Placement;
use crate::policy::Refusal;
use crate::request::Request;
use crate::view::Candidate;

/// The options of a policy for joining engines.
pub(crate) struct JoinOptions {
    pub(crate) estimate: EstimateOptions,
    /// The memory to leave free on each engine.
    pub(crate) reserve: Tokens,
    /// Run the parts at a lower priority than short prompts.
    pub(crate) low_priority: bool,
    /// Refuse a request that can't finish before its deadline.
    pub(crate) refuse_late: bool,
}

impl Default for JoinOptions {
    fn default() -> Self {
        Self {
            estimate: BASIC_ESTIMATE,
            reserve: Tokens::ZERO,
            low_priority: false,
            refuse_late: false,
        }
    }
}

/// Choose the smallest number of engines that have enough free memory now, those with the most free
/// memory first, or wait until there are enough.
///
/// The search starts at the smallest number that could hold the request if the engines were empty.
/// If they are too full, it tries more engines, because smaller parts fit earlier. If even all
/// engines together are too small with the reserve, the reserve is used too.
pub(crate) fn choose(
    placement: &Placement<'_>,
    pool: &[Candidate],
    options: &JoinOptions,
) -> Choice {
    let view = placement.view;
    let memory = |engine: Candidate| view.at(engine).spec.memory;
    let mut engines = pool.to_vec();
    engines.sort_by_key(|engine| Reverse(free_memory(view.at(*engine))));
    let (min_count, reserve) =
        match min_fitting_count(placement, &engines, 2, options.reserve, memory) {
            Some(min_count) => (min_count, options.reserve),
            None => match min_fitting_count(placement, &engines, 2, Tokens::ZERO, memory) {
                Some(min_count) => (min_count, Tokens::ZERO),
                None => return Choice::Refuse(Refusal::TooLarge),
            },
        };
    let free = |engine: Candidate| free_memory(view.at(engine));
    let count = min_fitting_count(placement, &engines, min_count, reserve, free);
    engines.truncate(count.unwrap_or(min_count));
    let Some(slowest) = slowest_part(placement, &engines, options.estimate) else {
        return Choice::Refuse(Refusal::NoServer);
    };
    if options.refuse_late && placement.cannot_finish(slowest) {
        return Choice::Refuse(Refusal::Deadline);
    }
    if count.is_none() {
        return Choice::Wait;
    }
    placement.run(&engines, slowest, options.low_priority)
}

/// Return the memory that each of `count` engines needs for its part.
fn part_memory(placement: &Placement<'_>, count: usize) -> Tokens {
    Tokens::new(placement.req.memory().get().div_ceil(count as u64))
}

/// Return the smallest number of engines, at least `min_count`, that can hold a part each.
///
/// The engines are taken from the start of `engines`, and each one needs `memory` for its part and
/// for `reserve`. Return `None` if even all of them are too small.
fn min_fitting_count(
    placement: &Placement<'_>,
    engines: &[Candidate],
    min_count: usize,
    reserve: Tokens,
    memory: impl Fn(Candidate) -> Tokens,
) -> Option<usize> {
    (min_count..=engines.len()).find(|count| {
        let need = part_memory(placement, *count) + reserve;
        engines[..*count]
            .iter()
            .all(|engine| memory(*engine) >= need)
    })
}

/// Return the estimate of the part with the latest first token, or `None` without engines.
///
/// Each estimate includes the decode of the whole answer.
fn slowest_part(
    placement: &Placement<'_>,
    engines: &[Candidate],
    options: EstimateOptions,
) -> Option<Estimate> {
    let count = engines.len() as u64;
    let part = Request {
        prompt: Tokens::new(placement.req.prompt.get().div_ceil(count)),
        prefixes: &[],
        ..*placement.req
    };
    engines
        .iter()
        .map(|engine| {
            let server = placement.view.at(*engine);
            estimate(placement.view, server, placement.now, &part, options)
        })
        .max_by_key(|estimate| estimate.ttft)
}
