//! Stop an instance that woke late from issuing orders.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

/// The lateness of a tick from which the document has to be confirmed. Source: design section 4.9.
pub const MAX_TICK_GAP: Millis = Millis::from_secs(2);

/// Whether this instance may issue orders.
#[derive(Clone, Copy, Debug)]
pub struct IssueGuard {
    last_tick: Timestamp,
    /// Orders are blocked until a read that began at or after this time confirms the document.
    blocked_since: Option<Timestamp>,
}

impl IssueGuard {
    /// Create the guard of an instance that starts now. It may not issue before a confirmation.
    pub fn new(now: Timestamp) -> Self {
        Self {
            last_tick: now,
            blocked_since: Some(now),
        }
    }

    /// Note a tick. Call it before anything else that a tick causes.
    pub fn on_tick(&mut self, now: Timestamp) {
        if now.since(self.last_tick) > MAX_TICK_GAP {
            self.blocked_since = Some(now);
        }
        self.last_tick = now;
    }

    /// Note that a peer or the platform confirmed the document in force, or a later one that is now
    /// in force, in answer to a read that began at `asked_at`. An answer to an earlier read may
    /// have waited in a queue while the process was paused.
    pub fn on_confirmed(&mut self, asked_at: Timestamp) {
        if self.blocked_since.is_some_and(|since| asked_at >= since) {
            self.blocked_since = None;
        }
    }

    /// Return whether orders may be sent at `now`. It also holds between a late wake and its first
    /// tick.
    pub fn may_issue(&self, now: Timestamp) -> bool {
        self.blocked_since.is_none() && now.since(self.last_tick) <= MAX_TICK_GAP
    }
}
