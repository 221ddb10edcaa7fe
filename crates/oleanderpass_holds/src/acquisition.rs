//! All-or-nothing acquisition of the holds of a plan.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::size::Tokens;
use rand::Rng;
use rand::RngExt;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::plan::Plan;

/// Time limit of one round, in which all holds of a plan are requested. Source: design section 4.7.
pub const ROUND_TIMEOUT: Millis = Millis::from_secs(2);

/// Upper bound of the random delay after the first failed round. The bound doubles with each round.
/// A tenth of [`ROUND_TIMEOUT`] lets a short overlap with another prompt pass without leaving
/// memory idle.
pub const INITIAL_BACKOFF: Millis = Millis::new(200);

/// Largest upper bound of the random delay after a failed round.
pub const MAX_BACKOFF: Millis = Millis::from_secs(4);

/// A lease of KV cache memory on one engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Hold {
    /// The hold's id, unique across the fleet and across rounds.
    pub id: SmolStr,
    /// The engine whose memory is held.
    pub server: BackendServerId,
    /// The held memory.
    pub tokens: Tokens,
}

/// An action that the user of an [`Acquisition`] must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HoldAction {
    /// Request the hold from its engine.
    Request(Hold),
    /// Release the hold, which may not exist.
    Release(Hold),
    /// All holds are granted. Release them with [`Acquisition::cancel`] when the request ends.
    Acquired(Vec<Hold>),
    /// The deadline of the request has passed, or the acquisition was cancelled before all holds
    /// were granted. Nothing is held.
    GaveUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// A round is in progress.
    Requesting {
        until: Timestamp,
    },
    /// The acquisition waits before the next round.
    BackingOff {
        until: Timestamp,
    },
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
    /// The holds that were requested in this round. All but the last are granted, and once all
    /// holds are acquired the last is too.
    requested: Vec<Hold>,
}

impl Acquisition {
    /// Start the first round. `name` must be unique across the fleet, as a stream id is, because it
    /// is the prefix of the hold ids.
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

    /// Return whether a hold was requested in the current round, so that the owner doesn't treat it
    /// as an orphan when an engine lists it.
    pub fn owns(&self, hold: &str) -> bool {
        self.requested.iter().any(|requested| requested.id == hold)
    }

    /// Return whether all holds are granted.
    pub fn is_acquired(&self) -> bool {
        self.state == State::Acquired
    }

    /// Return whether the acquisition gave up or was cancelled.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Replace the plan of the next round after a change of free memory. It has no effect while a
    /// round is in progress.
    pub fn replan(&mut self, plan: Plan) {
        if matches!(self.state, State::BackingOff { .. }) {
            self.plan = plan;
        }
    }

    /// Process an engine's answer. `None` means that no answer arrived, so the hold may exist.
    pub fn on_answer(
        &mut self,
        now: Timestamp,
        hold: &Hold,
        granted: Option<bool>,
        rng: &mut impl Rng,
        out: &mut Vec<HoldAction>,
    ) {
        let awaited = self.requested.last() == Some(hold);
        if !awaited || !matches!(self.state, State::Requesting { .. }) {
            // A hold that is granted after its round ended must be released.
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

    /// Enforce the deadline and the round timeout, and start the next round when it is due.
    pub fn tick(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<HoldAction>) {
        match self.state {
            State::Requesting { .. } | State::BackingOff { .. } if now >= self.deadline => {
                self.cancel(out);
            }
            State::Requesting { until } if now >= until => self.end_round(now, rng, out),
            State::BackingOff { until } if now >= until => self.start_round(now, out),
            _ => {}
        }
    }

    /// Release all holds and end the acquisition. Call it on every end of the request: completion,
    /// failure, deadline and disconnect of the caller.
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
        self.state = State::Requesting {
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
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << self.round.min(8).saturating_sub(1));
        let bound = backoff.min(MAX_BACKOFF).get();
        self.state = State::BackingOff {
            until: now + Millis::new(rng.random_range(1..=bound)),
        };
    }

    fn release_all(&mut self, out: &mut Vec<HoldAction>) {
        out.extend(self.requested.drain(..).rev().map(HoldAction::Release));
    }
}
