//! Take the holds of a plan, all or nothing.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::size::Tokens;
use rand::Rng;
use rand::RngExt;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::plan::Plan;

/// The time for one round that takes all holds of a plan. Source: design section 4.7.
pub const ROUND_TIMEOUT: Millis = Millis::from_secs(2);

/// The upper bound of the random delay after the first failed round. It doubles with each round.
/// A tenth of the round's time lets a short overlap pass without leaving memory idle.
pub const FIRST_BACKOFF: Millis = Millis::new(200);

/// The largest upper bound of the random delay.
pub const MAX_BACKOFF: Millis = Millis::from_secs(4);

/// A hold on one engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Hold {
    /// The hold's id, unique over the fleet and over rounds.
    pub id: SmolStr,
    /// The engine.
    pub server: BackendServerId,
    /// The size.
    pub tokens: Tokens,
}

/// What the caller of an acquisition has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HoldAction {
    /// Ask the engine for a hold.
    Request(Hold),
    /// Release a hold, also one that may not exist.
    Release(Hold),
    /// All holds are taken. The caller releases them when the request ends.
    Acquired(Vec<Hold>),
    /// The request's time is over, or the acquisition was cancelled. Nothing is held.
    GaveUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Taking { until: Timestamp },
    Waiting { until: Timestamp },
    Acquired,
    Ended,
}

/// The acquisition of all holds for one prompt.
#[derive(Clone, Debug)]
pub struct Acquisition {
    name: SmolStr,
    plan: Plan,
    deadline: Timestamp,
    state: State,
    round: u32,
    /// Holds of this round that were requested. All but the last are granted.
    requested: Vec<Hold>,
}

impl Acquisition {
    /// Start the first round. `name` is unique over the fleet, as a stream id.
    pub fn start(
        name: SmolStr,
        plan: Plan,
        now: Timestamp,
        deadline: Timestamp,
        out: &mut Vec<HoldAction>,
    ) -> Self {
        let mut acquisition = Self {
            name,
            plan,
            deadline,
            state: State::Ended,
            round: 0,
            requested: Vec::new(),
        };
        acquisition.start_round(now, out);
        acquisition
    }

    /// Return whether a hold belongs to the current round, so that a listing that shows it is no
    /// leak.
    pub fn owns(&self, hold: &str) -> bool {
        self.requested.iter().any(|held| held.id == hold)
    }

    /// Return whether all holds are taken.
    pub fn is_acquired(&self) -> bool {
        self.state == State::Acquired
    }

    /// Return whether the acquisition gave up or was cancelled.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Replace the plan of the next round, because free memory has changed.
    pub fn replan(&mut self, plan: Plan) {
        if matches!(self.state, State::Waiting { .. }) {
            self.plan = plan;
        }
    }

    /// Take an engine's answer. `None` means that it gave none, so the hold may exist.
    pub fn on_answer(
        &mut self,
        now: Timestamp,
        hold: &Hold,
        granted: Option<bool>,
        rng: &mut impl Rng,
        out: &mut Vec<HoldAction>,
    ) {
        let awaited = self.requested.last() == Some(hold);
        if !awaited || !matches!(self.state, State::Taking { .. }) {
            // A grant that arrives after its round was given up must not stay.
            if granted != Some(false) && !self.owns(&hold.id) {
                out.push(HoldAction::Release(hold.clone()));
            }
            return;
        }
        match granted {
            Some(true) if self.requested.len() == self.plan.parts().len() => {
                self.state = State::Acquired;
                out.push(HoldAction::Acquired(self.requested.clone()));
            }
            Some(true) => self.request_next(out),
            Some(false) => {
                self.requested.pop();
                self.end_round(now, rng, out);
            }
            None => self.end_round(now, rng, out),
        }
    }

    /// Enforce the time limits.
    pub fn tick(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<HoldAction>) {
        match self.state {
            State::Taking { .. } | State::Waiting { .. } if now >= self.deadline => {
                self.cancel(out);
            }
            State::Taking { until } if now >= until => self.end_round(now, rng, out),
            State::Waiting { until } if now >= until => self.start_round(now, out),
            _ => {}
        }
    }

    /// Release everything and end. Call it on every end of the request: completion, failure,
    /// deadline and caller gone.
    pub fn cancel(&mut self, out: &mut Vec<HoldAction>) {
        if self.state == State::Ended {
            return;
        }
        self.release_all(out);
        if self.state != State::Acquired {
            out.push(HoldAction::GaveUp);
        }
        self.state = State::Ended;
    }

    fn start_round(&mut self, now: Timestamp, out: &mut Vec<HoldAction>) {
        self.round += 1;
        self.state = State::Taking {
            until: now + ROUND_TIMEOUT,
        };
        self.request_next(out);
    }

    fn request_next(&mut self, out: &mut Vec<HoldAction>) {
        let index = self.requested.len();
        let Some(part) = self.plan.parts().get(index) else {
            return;
        };
        let hold = Hold {
            id: format_smolstr!("{}:{}:{index}", self.name, self.round),
            server: part.server.clone(),
            tokens: part.tokens,
        };
        self.requested.push(hold.clone());
        out.push(HoldAction::Request(hold));
    }

    fn end_round(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<HoldAction>) {
        self.release_all(out);
        let doubled = FIRST_BACKOFF.saturating_mul(1 << self.round.min(8).saturating_sub(1));
        let bound = doubled.min(MAX_BACKOFF).get();
        self.state = State::Waiting {
            until: now + Millis::new(rng.random_range(1..=bound)),
        };
    }

    fn release_all(&mut self, out: &mut Vec<HoldAction>) {
        out.extend(self.requested.drain(..).rev().map(HoldAction::Release));
    }
}
