//! Find the pace of backend servers that have just started or recovered.
//!
//! Such a server has a window: the requests in flight, from all instances together, up to which it
//! counts as having room. The window grows by one with each response that is on time and halves
//! with each one that is late or fails. Instances tell each other how many of both they have seen,
//! as counts that only grow, so that a later bulletin makes up for a lost one.

use indexmap::IndexMap;
use oleanderpass_proto::peer::ServerPace as RawServerPace;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::InstanceId;
use strum::Display;

use crate::backend::Announcement;
use crate::backend::BackendKey;

/// The divisor of a server's slots that gives its first window.
const FIRST_WINDOW_DIVISOR: u32 = 3;

/// The smallest first window.
const MIN_FIRST_WINDOW: u32 = 2;

/// The time after which a ramp ends unless late responses have made its window smaller than the first
/// one. A server that has started is slow for some seconds.
const RAMP_TIME: Millis = Millis::from_secs(5);

/// The time without evidence after which a ramp ends.
const QUIET_LIFETIME: Millis = Millis::from_secs(30);

/// The time within which the starts that two instances saw are those of the same ramp. A peer's
/// report that a server is gone expires up to 1.5 s later at some instances, and the server may be
/// tested 0.4 s after its return.
const SAME_START: Millis = Millis::from_secs(3);

/// The time for which a ramp that ended is remembered after the last report of a peer on it, so that
/// such a report doesn't start it again.
const ENDED_LIFETIME: Millis = Millis::from_secs(60);

/// The time for which the counts of a ramp that ended are reported, so that they reach the peers.
const ENDED_REPORT_LIFETIME: Millis = Millis::from_secs(3);

/// The time after which counts that didn't change are reported again, for peers that lost the
/// bulletin or have started since.
const REPEAT_INTERVAL: Millis = Millis::from_secs(1);

/// The most servers of which one bulletin reports.
const MAX_REPORTS_PER_BULLETIN: usize = 8;

/// The most counts of peers that are kept: one for each peer and server in the ramp. It bounds the
/// memory when thousands of servers return at once to hundreds of instances.
const MAX_PEER_COUNTS: usize = 200_000;

/// The most halvings that one report of a peer causes. Any window is one after them.
const MAX_HALVINGS: u32 = 16;

/// The factor and the time by which a first event takes longer than expected if it is late.
const LATE_FACTOR: f64 = 2.0;
const LATE_MARGIN_MS: f64 = 150.0;

/// The most servers that are logged one by one when many ramps start or end at once.
const MAX_LOGGED: usize = 16;

/// Return the first window of a server with these slots.
fn first_window(slots: u32) -> u32 {
    (slots / FIRST_WINDOW_DIVISOR).max(MIN_FIRST_WINDOW)
}

/// Return whether a first event that took `elapsed` is on time if `expected_ms` were expected.
pub fn is_on_time(elapsed: Millis, expected_ms: f64) -> bool {
    let elapsed_ms = elapsed.get() as f64;
    elapsed_ms <= expected_ms * LATE_FACTOR || elapsed_ms <= expected_ms + LATE_MARGIN_MS
}

/// Why a ramp starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum RampCause {
    /// The incarnation is new.
    Started,
    /// The server was gone.
    Returned,
    /// The evacuation of its availability zone was revoked.
    ZoneReturned,
    /// A peer reports a later start than the one known here.
    Reported,
}

/// Why a ramp ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum RampEnd {
    /// The window has reached the server's slots.
    Full,
    /// The server had time to warm up, and nothing showed that it is slow.
    Elapsed,
    /// There was no evidence for some time.
    Quiet,
    /// The server was removed.
    Removed,
}

/// The responses of a server since its ramp began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Those on time.
    pub on_time: u32,
    /// Those that were late, refusals, failures and silence.
    pub late: u32,
}

/// What one instance has seen of a ramp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceReport {
    /// The server.
    pub key: BackendKey,
    /// The responses to the instance's requests.
    pub counts: Counts,
    /// The time since the ramp began.
    pub age: Millis,
}

/// The ramp of one server.
#[derive(Clone, Debug)]
struct Ramp {
    id: BackendServerId,
    slots: u32,
    window: u32,
    cause: RampCause,
    started: Timestamp,
    last_evidence: Timestamp,
    own: Counts,
    /// What peers last reported.
    peers: IndexMap<InstanceId, Counts>,
    /// When and why it ended.
    ended: Option<(Timestamp, RampEnd)>,
    /// When a peer last reported it.
    last_report: Timestamp,
    /// When this instance last reported its counts, and what they were.
    reported: Option<(Timestamp, Counts)>,
}

impl Ramp {
    /// Return why the ramp ends by the time, or `None` if it goes on.
    fn due_end(&self, now: Timestamp) -> Option<RampEnd> {
        if self.window >= first_window(self.slots) && now.since(self.started) >= RAMP_TIME {
            Some(RampEnd::Elapsed)
        } else if now.since(self.last_evidence) >= QUIET_LIFETIME {
            Some(RampEnd::Quiet)
        } else {
            None
        }
    }

    /// Add evidence. The ramp ends when the window has reached the slots.
    fn add(&mut self, now: Timestamp, counts: Counts) {
        self.last_evidence = now;
        self.window = self.window.saturating_add(counts.on_time).min(self.slots);
        self.window = (self.window >> counts.late.min(MAX_HALVINGS)).max(1);
        if self.window >= self.slots && self.ended.is_none() {
            self.ended = Some((now, RampEnd::Full));
        }
    }

    /// Return whether this instance has something to report of the ramp now.
    fn has_report(&self, now: Timestamp) -> bool {
        let is_witness = self.own != Counts::default() || self.cause != RampCause::Reported;
        let is_due = self
            .reported
            .is_none_or(|(at, counts)| counts != self.own || now.since(at) >= REPEAT_INTERVAL);
        is_witness
            && is_due
            && self
                .ended
                .is_none_or(|(at, _)| now.since(at) < ENDED_REPORT_LIFETIME)
    }
}

/// The ramps of all backend servers.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    ramps: IndexMap<BackendKey, Ramp>,
    /// The number of counts of peers in all ramps.
    peer_counts: usize,
    /// The index in `ramps` at which the next bulletin continues.
    next_report: usize,
    /// Servers whose ramps started or ended and that are not logged yet.
    unlogged: Vec<(BackendServerId, Event)>,
    /// The number of ramps that ended since the last call of [`Paces::take_ended`].
    ended: IndexMap<RampEnd, u64>,
}

/// A change to log.
#[derive(Clone, Copy, Debug)]
enum Event {
    Start(RampCause, u32),
    End(RampEnd, u32, Millis),
}

impl Paces {
    /// Begin the ramp of a server, again if it is in one already.
    pub fn on_start(&mut self, now: Timestamp, entry: &Announcement, cause: RampCause) {
        self.start(now, now, entry, cause);
    }

    fn start(
        &mut self,
        now: Timestamp,
        started: Timestamp,
        entry: &Announcement,
        cause: RampCause,
    ) {
        let window = first_window(entry.slots);
        if window >= entry.slots {
            return;
        }
        let is_new = self.window(entry.key()).is_none();
        let ramp = Ramp {
            id: entry.id.clone(),
            slots: entry.slots,
            window,
            cause,
            started,
            last_evidence: now,
            own: Counts::default(),
            peers: IndexMap::new(),
            ended: None,
            last_report: now,
            reported: None,
        };
        if is_new {
            self.unlogged
                .push((entry.id.clone(), Event::Start(cause, window)));
        }
        let previous = self.ramps.insert(entry.key(), ramp);
        self.peer_counts -= previous.map_or(0, |previous| previous.peers.len());
    }

    /// Record the first event of a stream of this instance, which took `elapsed` where `expected_ms`
    /// were expected. `had_room` tells whether the server was within its window when the attempt
    /// began. If it wasn't, a late event shows the queue there and not how fast the server is.
    pub fn on_first_event(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        elapsed: Millis,
        expected_ms: f64,
        had_room: bool,
    ) {
        let is_on_time = is_on_time(elapsed, expected_ms);
        if is_on_time || had_room {
            self.on_response(now, key, is_on_time);
        }
    }

    /// Record a response to a request of this instance.
    pub fn on_response(&mut self, now: Timestamp, key: BackendKey, is_on_time: bool) {
        let Some(ramp) = self.ramps.get_mut(&key).filter(|r| r.ended.is_none()) else {
            return;
        };
        let counts = Counts {
            on_time: u32::from(is_on_time),
            late: u32::from(!is_on_time),
        };
        ramp.own.on_time += counts.on_time;
        ramp.own.late += counts.late;
        ramp.add(now, counts);
        self.note_end(now, key);
    }

    /// Apply what a peer reports of the server with this entry, if it is in a ramp here too.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        entry: &Announcement,
        report: &PaceReport,
    ) {
        let started = now - report.age;
        // An instance that saw no start has no reason to hold the server back: it has just started
        // itself, or the server went on for it while the peer didn't reach it.
        let Some(known) = self.ramps.get(&report.key) else {
            return;
        };
        if started.since(known.started) >= SAME_START {
            self.start(now, started, entry, RampCause::Reported);
        }
        let has_space = self.peer_counts < MAX_PEER_COUNTS;
        let Some(ramp) = self.ramps.get_mut(&report.key) else {
            return;
        };
        ramp.last_report = now;
        if ramp.ended.is_some() || ramp.started.since(started) >= SAME_START {
            return;
        }
        let known = ramp.peers.get(from).copied();
        if known.is_none() && !has_space {
            return;
        }
        let last = known.unwrap_or_default();
        ramp.peers.insert(from.clone(), report.counts);
        self.peer_counts += usize::from(known.is_none());
        // Lower counts are those of a peer that has started again.
        let news = Counts {
            on_time: report.counts.on_time.saturating_sub(last.on_time),
            late: report.counts.late.saturating_sub(last.late),
        };
        if news != Counts::default() {
            ramp.add(now, news);
            self.note_end(now, report.key);
        }
    }

    /// Count and log the end of a ramp that has just ended.
    fn note_end(&mut self, now: Timestamp, key: BackendKey) {
        let Some(ramp) = self.ramps.get_mut(&key) else {
            return;
        };
        let Some((at, end)) = ramp.ended.filter(|(at, _)| *at == now) else {
            return;
        };
        self.peer_counts -= ramp.peers.len();
        ramp.peers = IndexMap::new();
        *self.ended.entry(end).or_default() += 1;
        let took = at.since(ramp.started);
        self.unlogged
            .push((ramp.id.clone(), Event::End(end, ramp.window, took)));
    }

    /// Forget a server that was removed.
    pub fn remove(&mut self, now: Timestamp, key: BackendKey) {
        if let Some(ramp) = self.ramps.get_mut(&key)
            && ramp.ended.is_none()
        {
            ramp.ended = Some((now, RampEnd::Removed));
            self.note_end(now, key);
        }
        self.ramps.swap_remove(&key);
    }

    /// Return the window of a server, or `None` if it is in no ramp.
    pub fn window(&self, key: BackendKey) -> Option<u32> {
        let ramp = self.ramps.get(&key)?;
        ramp.ended.is_none().then_some(ramp.window)
    }

    /// Return the number of servers in the ramp.
    pub fn count(&self) -> usize {
        let ramps = self.ramps.values();
        ramps.filter(|ramp| ramp.ended.is_none()).count()
    }

    /// Return how many ramps ended since the last call, by cause.
    pub fn take_ended(&mut self) -> IndexMap<RampEnd, u64> {
        std::mem::take(&mut self.ended)
    }

    /// End ramps without evidence, forget those that ended, and log what changed.
    pub fn tick(&mut self, now: Timestamp) {
        let running = self.ramps.iter_mut();
        let running = running.filter(|(_, ramp)| ramp.ended.is_none());
        let ended = running.filter_map(|(key, ramp)| {
            ramp.ended = Some((now, ramp.due_end(now)?));
            Some(*key)
        });
        let ended: Vec<BackendKey> = ended.collect();
        for key in ended {
            self.note_end(now, key);
        }
        self.ramps.retain(|_, ramp| {
            let ended = ramp.ended.map(|(at, _)| at.max(ramp.last_report));
            ended.is_none_or(|at| now.since(at) < ENDED_LIFETIME)
        });
        self.log();
    }

    fn log(&mut self) {
        let unlogged = std::mem::take(&mut self.unlogged);
        let more = unlogged.len().saturating_sub(MAX_LOGGED);
        for (server, event) in unlogged.into_iter().take(MAX_LOGGED) {
            match event {
                Event::Start(cause, window) => {
                    tracing::info!(%server, %cause, window, "a backend server's ramp starts");
                }
                Event::End(cause, window, took) => {
                    let ramp_ms = took.get();
                    tracing::info!(%server, %cause, window, ramp_ms, "a backend server's ramp ended");
                }
            }
        }
        if more > 0 {
            tracing::info!(changes = more, "further ramps of backend servers changed");
        }
    }

    /// Return reports for the next bulletin. Bulletins take turns if there are too many for one.
    pub fn next_reports(&mut self, now: Timestamp) -> Vec<PaceReport> {
        let len = self.ramps.len();
        let first = self.next_report;
        let in_turn = (first..first + len).map(|index| index % len);
        let mut reports = Vec::new();
        for index in in_turn {
            if reports.len() >= MAX_REPORTS_PER_BULLETIN {
                break;
            }
            self.next_report = (index + 1) % len;
            if let Some((key, ramp)) = self.ramps.get_index_mut(index)
                && ramp.has_report(now)
            {
                ramp.reported = Some((now, ramp.own));
                reports.push(PaceReport {
                    key: *key,
                    counts: ramp.own,
                    age: now.since(ramp.started),
                });
            }
        }
        reports
    }
}

/// Encode what this instance has seen of a ramp for a bulletin.
pub(crate) fn encode_pace(report: &PaceReport) -> RawServerPace {
    RawServerPace {
        server: report.key.0,
        on_time: report.counts.on_time,
        late: report.counts.late,
        age_ms: u32::try_from(report.age.get()).unwrap_or(u32::MAX),
    }
}

/// Decode what a peer reports of a ramp.
pub(crate) fn decode_pace(raw: &RawServerPace) -> PaceReport {
    PaceReport {
        key: BackendKey(raw.server),
        counts: Counts {
            on_time: raw.on_time,
            late: raw.late,
        },
        age: Millis::new(raw.age_ms.into()),
    }
}
