//! Choose the engines of a prompt that is larger than one engine.

use std::cmp::Reverse;

use oleanderpass_types::size::Tokens;

use crate::cost::CostOptions;
use crate::cost::Estimate;
use crate::cost::estimate;
use crate::cost::free_memory;
use crate::policy::Choice;
use crate::policy::Placement;
use crate::policy::Refusal;
use crate::policy::SIMPLE_COST;
use crate::request::Request;
use crate::view::Candidate;

/// How a policy joins engines.
pub(crate) struct JoinRules {
    /// The information for the estimate.
    pub(crate) cost: CostOptions,
    /// The memory to leave free on each engine.
    pub(crate) reserve: Tokens,
    /// Send the parts at lower priority.
    pub(crate) low_priority: bool,
    /// Refuse what can't finish in time.
    pub(crate) refuse: bool,
}

impl Default for JoinRules {
    fn default() -> Self {
        Self {
            cost: SIMPLE_COST,
            reserve: Tokens::ZERO,
            low_priority: false,
            refuse: false,
        }
    }
}

/// Choose the least number of engines that have the memory free now, those with the most free
/// memory first, or wait until some have it.
///
/// More engines than the least number take smaller parts, which fit earlier. When all engines with
/// their reserve are too small, the reserve is used.
pub(crate) fn choose(placement: &Placement<'_>, pool: &[Candidate], rules: &JoinRules) -> Choice {
    let view = placement.view;
    let memory = |engine: Candidate| view.at(engine).spec.memory;
    let mut engines = pool.to_vec();
    engines.sort_by_key(|engine| Reverse(free_memory(view.at(*engine))));
    let (least, reserve) = match fitting(placement, &engines, 2, rules.reserve, memory) {
        Some(least) => (least, rules.reserve),
        None => match fitting(placement, &engines, 2, Tokens::ZERO, memory) {
            Some(least) => (least, Tokens::ZERO),
            None => return Choice::Refuse(Refusal::TooLarge),
        },
    };
    let free = |engine: Candidate| free_memory(view.at(engine));
    let room = fitting(placement, &engines, least, reserve, free);
    engines.truncate(room.unwrap_or(least));
    let Some(slowest) = slowest_part(placement, &engines, rules.cost) else {
        return Choice::Refuse(Refusal::NoServer);
    };
    if rules.refuse && placement.cannot_finish(slowest) {
        return Choice::Refuse(Refusal::Deadline);
    }
    if room.is_none() {
        return Choice::Wait;
    }
    placement.run(&engines, slowest, rules.low_priority)
}

fn part_memory(placement: &Placement<'_>, count: usize) -> Tokens {
    Tokens::new(placement.req.memory().get().div_ceil(count as u64))
}

/// Return the least number of engines, from `least` on, that have memory for a part each.
fn fitting(
    placement: &Placement<'_>,
    engines: &[Candidate],
    least: usize,
    reserve: Tokens,
    memory: impl Fn(Candidate) -> Tokens,
) -> Option<usize> {
    (least..=engines.len()).find(|count| {
        let need = part_memory(placement, *count) + reserve;
        engines[..*count]
            .iter()
            .all(|engine| memory(*engine) >= need)
    })
}

/// Estimate the part that takes longest, with the generation of the whole answer.
fn slowest_part(
    placement: &Placement<'_>,
    engines: &[Candidate],
    options: CostOptions,
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
