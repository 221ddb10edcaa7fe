//! Guards against deadlock between large prompts and against holds that are never released.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use std::collections::BTreeMap;

use oleanderpass_holds::acquisition::Acquisition;
use oleanderpass_holds::acquisition::Hold;
use oleanderpass_holds::acquisition::HoldAction;
use oleanderpass_holds::orphan::ListedHold;
use oleanderpass_holds::orphan::OVERDUE_LIMIT;
use oleanderpass_holds::orphan::OwnerState;
use oleanderpass_holds::orphan::find_orphans;
use oleanderpass_holds::plan::EngineMemory;
use oleanderpass_holds::plan::Plan;
use oleanderpass_holds::release::PendingReleases;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::size::Tokens;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const ENGINES: u64 = 4;
const ENGINE_MEMORY_TOKENS: u64 = 100;
/// Time between two listings of an engine's holds.
const LISTING_PERIOD_MS: u64 = 5_000;

fn engine(index: u64) -> BackendServerId {
    format!("engine-{index}").parse().unwrap()
}

/// Return engines with the same free memory, in descending order of id.
fn engines_with(free: u64) -> Vec<EngineMemory> {
    let engine_memory = |index| EngineMemory {
        server: engine(index),
        free: Tokens::new(free),
    };
    (0..ENGINES).rev().map(engine_memory).collect()
}

/// The holds that each engine has granted: hold id to size in tokens, owner and deadline in ms.
#[derive(Default)]
struct Engines(BTreeMap<BackendServerId, BTreeMap<String, (u64, usize, u64)>>);

impl Engines {
    fn request(&mut self, hold: &Hold, owner: usize, deadline: u64) -> bool {
        let holds = self.0.entry(hold.server.clone()).or_default();
        let used: u64 = holds.values().map(|hold| hold.0).sum();
        let granted = used + hold.tokens.get() <= ENGINE_MEMORY_TOKENS;
        if granted {
            holds.insert(hold.id.to_string(), (hold.tokens.get(), owner, deadline));
        }
        granted
    }

    fn release(&mut self, hold: &Hold) {
        if let Some(holds) = self.0.get_mut(&hold.server) {
            holds.remove(hold.id.as_str());
        }
    }

    fn hold_count(&self) -> usize {
        self.0.values().map(BTreeMap::len).sum()
    }
}

/// Simulate prompts that acquire holds until `end`, with lost messages and delayed answers. Each
/// prompt keeps its holds for 500 ms. Return the engines and the time at which each prompt had
/// acquired all its holds. All times are in milliseconds.
fn run(
    seed: u64,
    sizes: &[u64],
    loss: f64,
    deadline: u64,
    end: u64,
) -> (Engines, Vec<Option<u64>>) {
    let mut rng = Pcg64Mcg::new(u128::from(seed));
    let mut engines = Engines::default();
    let mut releases = PendingReleases::new();
    let mut answers: Vec<(u64, usize, Hold, Option<bool>)> = Vec::new();
    let mut acquired = vec![None; sizes.len()];
    let mut actions: Vec<(usize, HoldAction)> = Vec::new();
    let mut out = Vec::new();
    let until = Timestamp::from_millis(deadline);
    let mut prompts: Vec<Acquisition> = Vec::new();
    for (index, size) in sizes.iter().enumerate() {
        let plan = Plan::new(
            Tokens::new(*size),
            &engines_with(ENGINE_MEMORY_TOKENS),
            Tokens::ZERO,
        )
        .unwrap();
        let name = format!("prompt-{index}").into();
        prompts.push(Acquisition::start(
            name,
            plan,
            Timestamp::ORIGIN,
            until,
            &mut out,
        ));
        actions.extend(out.drain(..).map(|action| (index, action)));
    }
    for ms in (0..end).step_by(10) {
        let now = Timestamp::from_millis(ms);
        let (due, later) = answers.into_iter().partition(|answer| answer.0 <= ms);
        answers = later;
        for (_, index, hold, granted) in due {
            prompts[index].on_answer(now, &hold, granted, &mut rng, &mut out);
            actions.extend(out.drain(..).map(|action| (index, action)));
        }
        for (index, prompt) in prompts.iter_mut().enumerate() {
            prompt.tick(now, &mut rng, &mut out);
            if acquired[index].is_some_and(|at| ms >= at + 500) {
                prompt.cancel(&mut out);
            }
            actions.extend(out.drain(..).map(|action| (index, action)));
        }
        for (index, action) in actions.drain(..) {
            match action {
                HoldAction::Request(hold) => {
                    let lost = rng.random_bool(loss);
                    let arrived = !lost || rng.random_bool(0.5);
                    let granted = arrived && engines.request(&hold, index, deadline);
                    let answer = (!lost).then_some(granted);
                    answers.push((ms + rng.random_range(1..300), index, hold, answer));
                }
                HoldAction::Release(hold) => releases.add(now, hold),
                HoldAction::Acquired(_) => acquired[index] = Some(ms),
                HoldAction::GaveUp => {}
            }
        }
        for hold in releases.due(now) {
            if !rng.random_bool(loss) {
                engines.release(&hold);
                releases.on_confirmed(&hold.id);
            }
        }
    }
    (engines, acquired)
}

/// If two prompts each keep some of their holds while they wait for memory that the other one
/// holds, both wait forever.
#[test]
fn prompts_that_together_exceed_all_memory_do_not_deadlock() {
    let mut slowest_ms = 0;
    for seed in 0..500 {
        let (engines, acquired) = run(seed, &[350, 350, 250], 0.0, 120_000, 60_000);
        for at in acquired {
            slowest_ms = slowest_ms.max(at.expect("every prompt gets its holds"));
        }
        assert_eq!(engines.hold_count(), 0, "seed {seed}");
    }
    assert!(
        slowest_ms < 30_000,
        "the slowest prompt waited {slowest_ms} ms"
    );
}

#[test_case(0.3; "with lost messages")]
#[test_case(1.0; "with no answer at all")]
fn every_end_releases_every_hold(loss: f64) {
    for seed in 0..200 {
        let (engines, _) = run(seed, &[250, 150, 50], loss, 8_000, 60_000);
        // A release that is lost at every send is left to the orphan search.
        assert!(loss == 1.0 || engines.hold_count() == 0, "seed {seed}");
    }
}

/// Once all owners are dead, the orphan search of another instance must release their holds.
#[test_case(Some(7_000), 7_000 + LISTING_PERIOD_MS; "owners declared dead after 7 s")]
#[test_case(None, 8_000 + 5_000 + LISTING_PERIOD_MS; "owners never declared dead")]
fn holds_of_dead_owners_are_released(declared_dead_after: Option<u64>, bound: u64) {
    let mut orphaned = 0;
    for seed in 0..500 {
        let killed_at = 50 + seed * 16;
        let (mut engines, _) = run(seed, &[250, 150, 90], 0.2, 8_000, killed_at);
        orphaned += engines.hold_count();
        for listing in (0..=bound).step_by(LISTING_PERIOD_MS as usize) {
            let now = killed_at + listing;
            let state = match declared_dead_after {
                Some(after) if listing >= after => OwnerState::Dead,
                Some(_) => OwnerState::Alive,
                None => OwnerState::Unknown,
            };
            for holds in engines.0.values_mut() {
                let listed: Vec<ListedHold> = holds
                    .iter()
                    .map(|(id, (_, owner, deadline))| ListedHold {
                        id: id.into(),
                        owner: format!("entry-{owner}").parse().unwrap(),
                        incarnation: Incarnation::new(1),
                        overdue: Millis::new(now.saturating_sub(*deadline)),
                    })
                    .collect();
                for id in find_orphans(&listed, |_| state) {
                    holds.remove(id.as_str());
                }
            }
        }
        assert_eq!(engines.hold_count(), 0, "seed {seed}");
    }
    assert!(orphaned > 0, "no simulation left a hold");
}

#[test_case(OwnerState::Alive, 4_999, false; "live owner within the limit")]
#[test_case(OwnerState::Alive, 5_000, true; "live owner past the limit")]
#[test_case(OwnerState::Unknown, 0, false; "owner that is not a member yet")]
#[test_case(OwnerState::Dead, 0, true; "dead owner")]
#[test_case(OwnerState::Own { tracked: false }, 0, true; "own hold that is not tracked")]
#[test_case(OwnerState::Own { tracked: true }, 9_000, false; "own hold that is tracked")]
#[test_case(OwnerState::of_live_member(Incarnation::new(2), Incarnation::new(1)), 0, true; "replaced owner")]
#[test_case(OwnerState::of_live_member(Incarnation::new(1), Incarnation::new(2)), 0, false; "lagging membership view")]
fn a_hold_is_an_orphan_only_if_its_owner_will_not_release_it(
    state: OwnerState,
    overdue: u64,
    orphan: bool,
) {
    assert_eq!(OVERDUE_LIMIT, Millis::new(5_000));
    let hold = ListedHold {
        id: "a".into(),
        owner: "entry-1".parse().unwrap(),
        incarnation: Incarnation::new(1),
        overdue: Millis::new(overdue),
    };
    assert_eq!(find_orphans(&[hold], |_| state).len(), usize::from(orphan));
}

#[test]
fn a_grant_after_the_round_ended_is_released() {
    let (mut rng, mut out) = (Pcg64Mcg::new(1), Vec::new());
    let plan = Plan::new(
        Tokens::new(150),
        &engines_with(ENGINE_MEMORY_TOKENS),
        Tokens::ZERO,
    )
    .unwrap();
    let at = Timestamp::from_millis;
    let mut prompt = Acquisition::start("p".into(), plan, at(0), at(60_000), &mut out);
    let Some(HoldAction::Request(first)) = out.pop() else {
        panic!("the first hold was not requested at once");
    };
    prompt.tick(at(2_000), &mut rng, &mut out);
    assert_eq!(out.pop(), Some(HoldAction::Release(first.clone())));
    prompt.on_answer(at(2_001), &first, Some(true), &mut rng, &mut out);
    assert_eq!(out, [HoldAction::Release(first)]);
}

#[test]
fn a_plan_is_in_ascending_order_and_covers_the_prompt() {
    let plan = Plan::new(
        Tokens::new(250),
        &engines_with(ENGINE_MEMORY_TOKENS),
        Tokens::ZERO,
    )
    .unwrap();
    let sizes: Vec<u64> = plan.parts().iter().map(|part| part.tokens.get()).collect();
    assert_eq!(sizes, [84, 83, 83]);
    assert!(plan.parts().is_sorted_by(|a, b| a.server < b.server));
    assert_eq!(plan.runner(), Some(&engine(0)));
    assert_eq!(
        Plan::new(
            Tokens::new(401),
            &engines_with(ENGINE_MEMORY_TOKENS),
            Tokens::ZERO
        ),
        None
    );
}

/// Guards against a long prompt that fills its engines, so that short prompts wait until it ends.
#[test_case(&[100, 100, 100, 100], 250, 20, Some(&[63, 63, 62, 62]); "one more engine because of the reserve")]
#[test_case(&[100, 100, 100, 100], 150, 20, Some(&[75, 75]); "even split over as few engines as possible")]
#[test_case(&[100, 60, 30], 110, 20, Some(&[75, 35]); "same free memory on a smaller engine")]
#[test_case(&[100, 100, 30], 180, 10, Some(&[90, 90]); "down to the reserve")]
#[test_case(&[100, 25, 25], 90, 20, Some(&[80, 5, 5]); "down to the reserve on all")]
#[test_case(&[100, 25, 25], 91, 20, None; "one token too many")]
#[test_case(&[100, 100], 170, 20, None; "too little memory besides the reserve")]
fn a_plan_leaves_the_reserve_free(free: &[u64], total: u64, reserve: u64, parts: Option<&[u64]>) {
    let engines: Vec<EngineMemory> = (0..free.len())
        .map(|index| EngineMemory {
            server: engine(index as u64),
            free: Tokens::new(free[index]),
        })
        .collect();
    let plan = Plan::new(Tokens::new(total), &engines, Tokens::new(reserve));
    let sizes: Option<Vec<u64>> =
        plan.map(|plan| plan.parts().iter().map(|part| part.tokens.get()).collect());
    assert_eq!(sizes.as_deref(), parts);
    assert_eq!(parts.map_or(total, |parts| parts.iter().sum()), total);
}
