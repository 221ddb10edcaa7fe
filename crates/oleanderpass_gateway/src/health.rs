//! Judge backend servers by what requests to them show, not by what they say of themselves.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

/// How one request to a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It answered as it should.
    Good,
    /// It answered with an error, or with bytes that are no answer.
    Bad,
    /// It took the request and went silent.
    Silent,
    /// It could not be reached.
    Unreachable,
}

/// The weight of the latest request in the failure rate. Ten requests outweigh all earlier ones.
const LATEST_WEIGHT: f64 = 0.15;

/// The silent requests in a row from which on a server counts as unreachable. A single answer may be
/// lost on its way.
const SILENT_IN_ROW: u32 = 2;

/// The first time for which an unreachable server gets no requests; doubled with each failure.
const FIRST_PAUSE: Millis = Millis::new(500);

/// The longest time for which an unreachable server gets no requests.
const LONGEST_PAUSE: Millis = Millis::new(2_000);

/// What is known of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    failure_rate: f64,
    failures_in_row: u32,
    paused_until: Option<Timestamp>,
}

impl Health {
    /// Take the end of a request.
    pub fn record(&mut self, now: Timestamp, sign: Sign) {
        let failed = if sign == Sign::Good { 0.0 } else { 1.0 };
        self.failure_rate += LATEST_WEIGHT * (failed - self.failure_rate);
        match sign {
            Sign::Good => {
                self.failures_in_row = 0;
                self.paused_until = None;
            }
            Sign::Bad => {}
            Sign::Silent if self.failures_in_row + 1 < SILENT_IN_ROW => self.failures_in_row += 1,
            Sign::Silent | Sign::Unreachable => {
                let pause = FIRST_PAUSE.saturating_mul(1 << self.failures_in_row.min(4));
                self.paused_until = Some(now + pause.min(LONGEST_PAUSE));
                self.failures_in_row += 1;
            }
        }
    }

    /// Return whether the server was unreachable a short time ago.
    pub fn is_paused(&self, now: Timestamp) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Return the part of recent requests that failed, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Note that some time passed without requests: a failing server is tried again in the end.
    pub fn decay(&mut self, elapsed: Millis) {
        /// The time in which the failure rate falls by half without requests.
        const HALF_LIFE_MS: f64 = 3_000.0;
        self.failure_rate *= 0.5_f64.powf(elapsed.get() as f64 / HALF_LIFE_MS);
    }
}
