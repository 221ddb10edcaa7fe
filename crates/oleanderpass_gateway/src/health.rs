//! Judge the health of backend servers by the results of requests to them, not by what the servers
//! announce.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

/// What the end of one request shows about a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The server answered correctly.
    Success,
    /// The server answered with an error, or with bytes that are not a valid answer.
    Error,
    /// The server accepted the request and then sent nothing.
    Silent,
    /// The server could not be reached.
    Unreachable,
}

/// The weight of the latest request in the failure rate, an exponential moving average. The last
/// ten requests together have about 80 percent of the weight.
const LATEST_WEIGHT: f64 = 0.15;

/// The number of consecutive silent requests from which a server counts as unreachable. A single
/// answer may be lost on its way.
const SILENT_LIMIT: u32 = 2;

/// The time for which a server gets no requests after its first failure. It doubles with each
/// further failure.
const FIRST_PAUSE: Millis = Millis::new(500);

/// The longest time for which an unreachable server gets no requests without a new failure.
const MAX_PAUSE: Millis = Millis::new(2_000);

/// The time for which a server gets no requests after a peer reported it as unreachable. Peers
/// repeat the report while it holds.
const PEER_REPORT_PAUSE: Millis = Millis::new(600);

/// The time for which a success of this instance's own request, or an event of one, overrides a
/// peer's report.
const OWN_SUCCESS_LIFETIME: Millis = Millis::new(1_000);

/// The length of one window over which the shortest pass is recorded. Two windows contain at least
/// one pass without prefill, and an engine that turns slow is noticed within a second.
const PASS_WINDOW: Millis = Millis::new(500);

/// The slowdown below which an engine counts as normal. A pass over a full batch takes up to 1.5
/// times as long as one over an empty batch.
const NORMAL_SLOWDOWN: f64 = 1.7;

/// The upper bound of the slowdown. A larger value has another cause than a slow engine.
const MAX_SLOWDOWN: f64 = 10.0;

/// The time for which an engine that refused memory counts as having none. The memory that is in use
/// there beyond what is known is that of requests which have just ended or just begun.
const NO_MEMORY_TIME: Millis = Millis::new(300);

/// The health of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    failure_rate: f64,
    /// Consecutive silent requests and failed connections since the last success.
    failures_in_row: u32,
    paused_until: Option<Timestamp>,
    /// Whether the pause comes from a request of this instance rather than from a peer's report.
    own_pause: bool,
    last_success: Option<Timestamp>,
    /// When the last event arrived, unless a connection to the server broke since.
    last_event: Option<Timestamp>,
    /// When the server last refused to reserve memory.
    refused_memory: Option<Timestamp>,
    passes: ShortestPass,
}

/// The shortest time between two events of one stream, in milliseconds, for the current window and
/// the previous one. An engine sends one event of each stream per pass.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ShortestPass {
    /// The start of the current window.
    window_start: Timestamp,
    current: Option<f64>,
    previous: Option<f64>,
}

impl ShortestPass {
    fn record(&mut self, now: Timestamp, pass_ms: f64) {
        if now.since(self.window_start) >= PASS_WINDOW {
            let adjacent = now.since(self.window_start) < PASS_WINDOW.saturating_mul(2);
            self.previous = self.current.filter(|_| adjacent);
            self.current = None;
            self.window_start = now;
        }
        self.current = Some(
            self.current
                .map_or(pass_ms, |shortest| shortest.min(pass_ms)),
        );
    }

    fn get(&self, now: Timestamp) -> Option<f64> {
        if now.since(self.window_start) >= PASS_WINDOW.saturating_mul(3) {
            return None;
        }
        match (self.current, self.previous) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}

impl Health {
    /// Record the end of a request.
    pub fn record(&mut self, now: Timestamp, observation: Observation) {
        let failed = if observation == Observation::Success {
            0.0
        } else {
            1.0
        };
        self.failure_rate += LATEST_WEIGHT * (failed - self.failure_rate);
        match observation {
            Observation::Success => {
                self.failures_in_row = 0;
                self.paused_until = None;
                self.last_success = Some(now);
            }
            Observation::Error => {}
            Observation::Silent if self.failures_in_row + 1 < SILENT_LIMIT => {
                self.failures_in_row += 1;
            }
            Observation::Silent | Observation::Unreachable => {
                let pause = FIRST_PAUSE.saturating_mul(1 << self.failures_in_row.min(4));
                self.paused_until = Some(now + pause.min(MAX_PAUSE));
                self.own_pause = true;
                self.failures_in_row += 1;
            }
        }
    }

    /// Record that the server refused to reserve memory.
    pub fn on_memory_refused(&mut self, now: Timestamp) {
        self.refused_memory = Some(now);
    }

    /// Return whether the server refused to reserve memory a moment ago.
    pub fn lacks_memory(&self, now: Timestamp) -> bool {
        self.refused_memory
            .is_some_and(|at| now.since(at) < NO_MEMORY_TIME)
    }

    /// Record a peer's report that the server can't be reached.
    pub fn on_peer_report(&mut self, now: Timestamp) {
        if !self.succeeded_recently(now) && !self.is_paused(now) {
            self.own_pause = false;
            let until = now + PEER_REPORT_PAUSE;
            self.paused_until = Some(until);
        }
    }

    /// Return whether a request of this instance succeeded a short time ago.
    pub fn succeeded_recently(&self, now: Timestamp) -> bool {
        self.last_success
            .is_some_and(|at| now.since(at) < OWN_SUCCESS_LIFETIME)
    }

    /// Return whether the server sent an answer or an event to this instance a short time ago.
    pub fn shows_life(&self, now: Timestamp) -> bool {
        let sent_event = self
            .last_event
            .is_some_and(|at| now.since(at) < OWN_SUCCESS_LIFETIME);
        sent_event || self.succeeded_recently(now)
    }

    /// Record that an event arrived.
    pub fn on_event(&mut self, now: Timestamp) {
        self.last_event = Some(now);
    }

    /// Record that a connection broke. The events before it don't show that the server still lives.
    pub fn on_broken(&mut self) {
        self.last_event = None;
    }

    /// Record the time between two events of one stream, in milliseconds. It is about the time of
    /// one pass of the engine.
    pub fn on_pass(&mut self, now: Timestamp, pass_ms: f64) {
        self.on_event(now);
        self.passes.record(now, pass_ms);
    }

    /// Return how many times longer than normal an engine takes for a pass. `decode_pass_ms` is the
    /// normal time of a pass without prefill. The result is 1 for a normal engine and for one
    /// without recent passes.
    pub fn slowdown(&self, now: Timestamp, decode_pass_ms: f64) -> f64 {
        let slowdown = self
            .passes
            .get(now)
            .map_or(1.0, |pass| pass / decode_pass_ms);
        if slowdown < NORMAL_SLOWDOWN {
            1.0
        } else {
            slowdown.min(MAX_SLOWDOWN)
        }
    }

    /// Return whether the server gets no requests now because it was unreachable a short time ago.
    pub fn is_paused(&self, now: Timestamp) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Return whether the server is paused because of this instance's own requests. Only such a
    /// pause is reported to peers.
    pub fn is_paused_by_own_requests(&self, now: Timestamp) -> bool {
        self.own_pause && self.is_paused(now)
    }

    /// Return the fraction of recent requests that failed, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Reduce the failure rate by the time that has passed, so that a failing server eventually
    /// gets requests again.
    pub fn decay(&mut self, elapsed: Millis) {
        /// The time in which the failure rate falls by half.
        const HALF_LIFE_MS: f64 = 3_000.0;
        self.failure_rate *= 0.5_f64.powf(elapsed.get() as f64 / HALF_LIFE_MS);
    }
}
