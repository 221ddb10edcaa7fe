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

/// The time for which a server that a peer can't reach gets no requests. Peers repeat their word while
/// they hold it.
const PEER_PAUSE: Millis = Millis::new(600);

/// The time for which an answer to this instance outweighs a peer's word.
const OWN_WORD: Millis = Millis::new(1_000);

/// The time over which the shortest pass is kept. A pass without reading comes within it.
const PACE_WINDOW: Millis = Millis::new(1_500);

/// The pace below which an engine counts as usual: a full batch takes up to 1.5 times an empty one.
const USUAL_PACE: f64 = 1.7;

/// The largest pace. A larger one comes from something else than slowness.
const LARGEST_PACE: f64 = 10.0;

/// What is known of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    failure_rate: f64,
    failures_in_row: u32,
    paused_until: Option<Timestamp>,
    /// The pause comes from a request of this instance.
    own_pause: bool,
    last_good: Option<Timestamp>,
    passes: ShortestPass,
}

/// The shortest time between two events of one stream, in the current window and the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ShortestPass {
    window: Timestamp,
    current: Option<f64>,
    previous: Option<f64>,
}

impl ShortestPass {
    fn record(&mut self, now: Timestamp, pass: f64) {
        if now.since(self.window) >= PACE_WINDOW {
            let adjacent = now.since(self.window) < PACE_WINDOW.saturating_mul(2);
            self.previous = self.current.filter(|_| adjacent);
            self.current = None;
            self.window = now;
        }
        self.current = Some(self.current.map_or(pass, |held| held.min(pass)));
    }

    fn get(&self, now: Timestamp) -> Option<f64> {
        if now.since(self.window) >= PACE_WINDOW.saturating_mul(3) {
            return None;
        }
        match (self.current, self.previous) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
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
                self.last_good = Some(now);
            }
            Sign::Bad => {}
            Sign::Silent if self.failures_in_row + 1 < SILENT_IN_ROW => self.failures_in_row += 1,
            Sign::Silent | Sign::Unreachable => {
                let pause = FIRST_PAUSE.saturating_mul(1 << self.failures_in_row.min(4));
                self.paused_until = Some(now + pause.min(LONGEST_PAUSE));
                self.own_pause = true;
                self.failures_in_row += 1;
            }
        }
    }

    /// Take a peer's word that the server can't be reached.
    pub fn on_peer_word(&mut self, now: Timestamp) {
        let own_word = self.last_good.is_some_and(|at| now.since(at) < OWN_WORD);
        if !own_word && !self.is_paused(now) {
            self.own_pause = false;
            let until = now + PEER_PAUSE;
            self.paused_until = Some(until);
        }
    }

    /// Take the time between two events of one stream, in milliseconds.
    pub fn on_pass(&mut self, now: Timestamp, pass_ms: f64) {
        self.passes.record(now, pass_ms);
    }

    /// Return how many times longer than usual an engine takes, if `idle_pass_ms` is the time of a
    /// pass that reads nothing. 1 for a usual engine and for one that isn't known.
    pub fn pace(&self, now: Timestamp, idle_pass_ms: f64) -> f64 {
        let pace = self.passes.get(now).map_or(1.0, |pass| pass / idle_pass_ms);
        if pace < USUAL_PACE {
            1.0
        } else {
            pace.min(LARGEST_PACE)
        }
    }

    /// Return whether the server was unreachable a short time ago.
    pub fn is_paused(&self, now: Timestamp) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Return whether the server is paused by what this instance saw itself.
    pub fn is_paused_by_own_word(&self, now: Timestamp) -> bool {
        self.own_pause && self.is_paused(now)
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
