//! Read the clocks of the process.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Incarnation;

/// The random bits of an incarnation, below the start time.
const INCARNATION_RANDOM_BITS: u32 = 20;

/// The monotonic clock of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Start the clock.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Return the time since the start.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_millis(Millis::from(self.origin.elapsed()).get())
    }

    /// Return the instant of a timestamp.
    pub fn instant(&self, at: Timestamp) -> Instant {
        let elapsed = Duration::from_millis(at.as_millis());
        self.origin.checked_add(elapsed).unwrap_or(self.origin)
    }
}

/// Return the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis::from(elapsed).get()
}

/// Draw the incarnation of a process that starts now. A later start has a higher incarnation.
pub fn draw_incarnation() -> Incarnation {
    let random = u64::from(rand::random::<u32>()) & ((1 << INCARNATION_RANDOM_BITS) - 1);
    Incarnation::new((unix_ms() << INCARNATION_RANDOM_BITS) | random)
}
