//! Choose between a silent attempt and a second one that runs beside it.
//!
//! A backend server that is silent may be paused and go on, and every step towards a replacement may
//! fail. The silent attempt is therefore kept until another one has an answer: whichever is first
//! to send something new for the caller goes on, and the other is dropped.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

use crate::load::AttemptId;

/// The interval between two tries to begin a hedge, for example because no server had room.
const RETRY_INTERVAL: Millis = Millis::new(250);

/// The attempts of one request that are in flight.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempts {
    /// The attempt that the caller's answer comes from, unless a hedge is faster.
    lead: Option<AttemptId>,
    /// The attempt that runs beside the lead.
    hedge: Option<AttemptId>,
    /// Whether the server of the lead is silent.
    is_silent: bool,
    /// When a hedge may be tried next.
    next_try: Option<Timestamp>,
}

impl Attempts {
    /// Record that an attempt begins. It is a hedge if there is a lead.
    pub fn begin(&mut self, id: AttemptId) {
        if self.lead.is_none() {
            *self = Self {
                lead: Some(id),
                ..Self::default()
            };
        } else {
            self.hedge = Some(id);
        }
    }

    /// Return whether an attempt is in flight.
    pub fn is_running(&self) -> bool {
        self.lead.is_some()
    }

    /// Return whether an attempt is the lead.
    pub fn is_lead(&self, id: AttemptId) -> bool {
        self.lead == Some(id)
    }

    /// Return whether an attempt was dropped because another one was first.
    pub fn is_superseded(&self, id: AttemptId) -> bool {
        self.lead != Some(id) && self.hedge != Some(id)
    }

    /// Return whether a hedge runs beside the lead.
    pub fn has_hedge(&self) -> bool {
        self.hedge.is_some()
    }

    /// Record that the server of the lead is silent. Return whether that is new.
    pub fn on_silent(&mut self) -> bool {
        !std::mem::replace(&mut self.is_silent, true)
    }

    /// Record that no hedge could begin at `now`.
    pub fn on_no_hedge(&mut self, now: Timestamp) {
        self.next_try = Some(now + RETRY_INTERVAL);
    }

    /// Return when to try to begin a hedge, or `None` if none is needed.
    pub fn hedge_due(&self, now: Timestamp) -> Option<Timestamp> {
        let is_needed = self.is_silent && self.hedge.is_none();
        is_needed.then(|| self.next_try.unwrap_or(now))
    }

    /// Record that an attempt has something new for the caller. Return whether the caller gets it;
    /// if not, the attempt is superseded.
    pub fn on_answer(&mut self, id: AttemptId) -> bool {
        if self.is_superseded(id) {
            return false;
        }
        *self = Self {
            lead: Some(id),
            ..Self::default()
        };
        true
    }

    /// Record that an attempt ended without an answer. If it was the lead, a hedge becomes the lead.
    pub fn on_end(&mut self, now: Timestamp, id: AttemptId) {
        if self.hedge == Some(id) {
            self.hedge = None;
            self.on_no_hedge(now);
        } else if self.lead == Some(id) {
            *self = Self {
                lead: self.hedge,
                ..Self::default()
            };
        }
    }
}
