//! A guard that stops an instance from issuing orders after its process was paused.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

/// Time between two ticks above which the process counts as paused, so that the document has to be
/// confirmed before the next order. Source: design section 4.9.
pub const MAX_TICK_GAP: Millis = Millis::from_secs(2);

/// Decides whether this instance may issue orders.
#[derive(Clone, Copy, Debug)]
pub struct IssueGuard {
    last_tick: Timestamp,
    /// Orders are blocked until a read that began at or after this time confirms the document.
    /// `None` means that they are not blocked.
    blocked_since: Option<Timestamp>,
}

impl IssueGuard {
    /// Create the guard of an instance that starts now. Orders are blocked until a confirmation.
    pub fn new(now: Timestamp) -> Self {
        Self {
            last_tick: now,
            blocked_since: Some(now),
        }
    }

    /// Record a tick. Call it before anything else that the tick causes.
    pub fn on_tick(&mut self, now: Timestamp) {
        if now.since(self.last_tick) > MAX_TICK_GAP {
            self.blocked_since = Some(now);
        }
        self.last_tick = now;
    }

    /// Record that a peer or the platform confirmed the document in force, or a later one that is
    /// now in force, in answer to a read that began at `read_began_at`.
    ///
    /// A read that began before the pause was detected doesn't unblock orders, because its answer
    /// may have waited in a queue while the process was paused.
    pub fn on_confirmed(&mut self, read_began_at: Timestamp) {
        if self
            .blocked_since
            .is_some_and(|since| read_began_at >= since)
        {
            self.blocked_since = None;
        }
    }

    /// Return whether orders may be sent at `now`. The result is false after a pause even before
    /// the first tick that detects it.
    pub fn may_issue(&self, now: Timestamp) -> bool {
        self.blocked_since.is_none() && now.since(self.last_tick) <= MAX_TICK_GAP
    }
}
