//! Guard against deadlock between large prompts and against memory that never returns.

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
const MEMORY: u64 = 100;
/// The time between two listings of an engine's holds.
const LISTING_PERIOD: u64 = 5_000;

fn engine(index: u64) -> BackendServerId {
    format!("engine-{index}").parse().unwrap()
}

fn rooms(free: u64) -> Vec<EngineMemory> {
    let room = |index| EngineMemory {
        server: engine(index),
        free: Tokens::new(free),
    };
    (0..ENGINES).rev().map(room).collect()
}

/// Engines with granted holds: id to size, owner and deadline.
#[derive(Default)]
struct Engines(BTreeMap<BackendServerId, BTreeMap<String, (u64, usize, u64)>>);

impl Engines {
    fn request(&mut self, hold: &Hold, owner: usize, deadline: u64) -> bool {
        let holds = self.0.entry(hold.server.clone()).or_default();
        let used: u64 = holds.values().map(|held| held.0).sum();
        let granted = used + hold.tokens.get() <= MEMORY;
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

    fn used(&self) -> usize {
        self.0.values().map(BTreeMap::len).sum()
    }
}

/// Run prompts against engines with lost and late answers until `end`. Each prompt keeps its holds
/// for 500 ms. Return the engines and the time at which each prompt had all its holds.
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
    let mut mail: Vec<(u64, usize, Hold, Option<bool>)> = Vec::new();
    let mut acquired = vec![None; sizes.len()];
    let mut queue: Vec<(usize, HoldAction)> = Vec::new();
    let mut out = Vec::new();
    let until = Timestamp::from_millis(deadline);
    let mut prompts: Vec<Acquisition> = Vec::new();
    for (index, size) in sizes.iter().enumerate() {
        let plan = Plan::new(Tokens::new(*size), &rooms(MEMORY), Tokens::ZERO).unwrap();
        let name = format!("prompt-{index}").into();
        prompts.push(Acquisition::start(
            name,
            plan,
            Timestamp::ORIGIN,
            until,
            &mut out,
        ));
        queue.extend(out.drain(..).map(|action| (index, action)));
    }
    for ms in (0..end).step_by(10) {
        let now = Timestamp::from_millis(ms);
        let (due, later) = mail.into_iter().partition(|m| m.0 <= ms);
        mail = later;
        for (_, index, hold, granted) in due {
            prompts[index].on_answer(now, &hold, granted, &mut rng, &mut out);
            queue.extend(out.drain(..).map(|action| (index, action)));
        }
        for (index, prompt) in prompts.iter_mut().enumerate() {
            prompt.tick(now, &mut rng, &mut out);
            if acquired[index].is_some_and(|at| ms >= at + 500) {
                prompt.cancel(&mut out);
            }
            queue.extend(out.drain(..).map(|action| (index, action)));
        }
        for (index, action) in queue.drain(..) {
            match action {
                HoldAction::Request(hold) => {
                    let lost = rng.random_bool(loss);
                    let arrived = !lost || rng.random_bool(0.5);
                    let granted = arrived && engines.request(&hold, index, deadline);
                    let answer = (!lost).then_some(granted);
                    mail.push((ms + rng.random_range(1..300), index, hold, answer));
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

/// Two prompts that each hold a part and wait for the other's part would wait forever.
#[test]
fn prompts_larger_than_all_memory_together_do_not_deadlock() {
    let mut worst = 0;
    for seed in 0..500 {
        let (engines, acquired) = run(seed, &[350, 350, 250], 0.0, 120_000, 60_000);
        for at in acquired {
            worst = worst.max(at.expect("every prompt gets its holds"));
        }
        assert_eq!(engines.used(), 0, "seed {seed}");
    }
    assert!(worst < 30_000, "the slowest prompt waited {worst} ms");
}

#[test_case(0.3; "with lost messages")]
#[test_case(1.0; "with no answer at all")]
fn every_end_releases_every_hold(loss: f64) {
    for seed in 0..200 {
        let (engines, _) = run(seed, &[250, 150, 50], loss, 8_000, 60_000);
        // A release whose every try is lost is left to the orphan search.
        assert!(loss == 1.0 || engines.used() == 0, "seed {seed}");
    }
}

/// After any history whose owners are all dead, memory must return without them.
#[test_case(Some(7_000), 7_000 + LISTING_PERIOD; "deaths are known after 7 s")]
#[test_case(None, 8_000 + 5_000 + LISTING_PERIOD; "deaths are never known")]
fn memory_returns_after_all_owners_died(known_after: Option<u64>, bound: u64) {
    let mut found = 0;
    for seed in 0..500 {
        let killed_at = 50 + seed * 16;
        let (mut engines, _) = run(seed, &[250, 150, 90], 0.2, 8_000, killed_at);
        found += engines.used();
        for listing in (0..=bound).step_by(LISTING_PERIOD as usize) {
            let now = killed_at + listing;
            let state = match known_after {
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
        assert_eq!(engines.used(), 0, "seed {seed}");
    }
    assert!(found > 0, "no history left a hold");
}

#[test_case(OwnerState::Alive, 4_999, false; "a slow owner keeps its hold")]
#[test_case(OwnerState::Alive, 5_000, true; "an overdue hold")]
#[test_case(OwnerState::Unknown, 0, false; "an owner that is not known yet")]
#[test_case(OwnerState::Dead, 0, true; "a dead owner")]
#[test_case(OwnerState::Own { tracked: false }, 0, true; "an own hold without a request")]
#[test_case(OwnerState::Own { tracked: true }, 9_000, false; "an own hold with a request")]
#[test_case(OwnerState::of_live_member(Incarnation::new(2), Incarnation::new(1)), 0, true; "a replaced owner")]
#[test_case(OwnerState::of_live_member(Incarnation::new(1), Incarnation::new(2)), 0, false; "a lagging view")]
fn orphans_are_only_holds_that_nobody_releases(state: OwnerState, overdue: u64, orphan: bool) {
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
    let plan = Plan::new(Tokens::new(150), &rooms(MEMORY), Tokens::ZERO).unwrap();
    let at = Timestamp::from_millis;
    let mut prompt = Acquisition::start("p".into(), plan, at(0), at(60_000), &mut out);
    let Some(HoldAction::Request(first)) = out.pop() else {
        panic!("the first hold is requested at once");
    };
    prompt.tick(at(2_000), &mut rng, &mut out);
    assert_eq!(out.pop(), Some(HoldAction::Release(first.clone())));
    prompt.on_answer(at(2_001), &first, Some(true), &mut rng, &mut out);
    assert_eq!(out, [HoldAction::Release(first)]);
}

#[test]
fn a_plan_is_ascending_and_complete() {
    let plan = Plan::new(Tokens::new(250), &rooms(MEMORY), Tokens::ZERO).unwrap();
    let sizes: Vec<u64> = plan.parts().iter().map(|part| part.tokens.get()).collect();
    assert_eq!(sizes, [84, 83, 83]);
    assert!(plan.parts().is_sorted_by(|a, b| a.server < b.server));
    assert_eq!(plan.runner(), Some(&engine(0)));
    assert_eq!(
        Plan::new(Tokens::new(401), &rooms(MEMORY), Tokens::ZERO),
        None
    );
}

/// Guards against a long prompt that fills engines, on which short prompts then wait for its end.
#[test_case(&[100, 100, 100, 100], 250, 20, Some(&[63, 63, 62, 62]); "the reserve takes one more engine")]
#[test_case(&[100, 100, 100, 100], 150, 20, Some(&[75, 75]); "level over as few as possible")]
#[test_case(&[100, 60, 30], 110, 20, Some(&[75, 35]); "a smaller room keeps as much free")]
#[test_case(&[100, 100, 30], 180, 10, Some(&[90, 90]); "down to the reserve")]
#[test_case(&[100, 25, 25], 90, 20, Some(&[80, 5, 5]); "down to the reserve on all")]
#[test_case(&[100, 25, 25], 91, 20, None; "rooms below the reserve")]
#[test_case(&[100, 100], 170, 20, None; "too little beside the reserve")]
fn a_plan_leaves_the_reserve(free: &[u64], total: u64, reserve: u64, parts: Option<&[u64]>) {
    let rooms: Vec<EngineMemory> = (0..free.len())
        .map(|index| EngineMemory {
            server: engine(index as u64),
            free: Tokens::new(free[index]),
        })
        .collect();
    let plan = Plan::new(Tokens::new(total), &rooms, Tokens::new(reserve));
    let sizes: Option<Vec<u64>> =
        plan.map(|plan| plan.parts().iter().map(|part| part.tokens.get()).collect());
    assert_eq!(sizes.as_deref(), parts);
    assert_eq!(parts.map_or(total, |parts| parts.iter().sum()), total);
}
