//! Read the clocks of the process.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Incarnation;

/// The number of random bits at the low end of an incarnation. The bits above them are the Unix
/// time of the start, in milliseconds.
const INCARNATION_RANDOM_BITS: u32 = 20;

/// The monotonic clock of the process. Its timestamps count from its start.
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

    /// Convert a timestamp of this clock to an [`Instant`].
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

/// Generate the incarnation of a process that starts now. A later start has a higher incarnation.
pub fn generate_incarnation() -> Incarnation {
    let random = u64::from(rand::random::<u32>()) & ((1 << INCARNATION_RANDOM_BITS) - 1);
    Incarnation::new((unix_ms() << INCARNATION_RANDOM_BITS) | random)
}
