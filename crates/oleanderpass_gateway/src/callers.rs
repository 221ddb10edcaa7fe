//! Decide which connections of callers are closed and which uploads are refused.
//!
//! Callers may open many connections, send bodies without an end and read no answers. A decision
//! takes the state of each connection and the time, and favours callers that make progress.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Bytes;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

use crate::config::CallerLimits;

/// What an open connection takes beside heads, bodies and answers: the buffers of the HTTP library
/// for reading and writing (8 KiB each), and its task. With heads of 15,000 bytes, 26 KB of resident
/// memory were measured.
pub const CONNECTION_COST: Bytes = Bytes::new(16 * 1024);

/// The part of the budget that connections may take, as a divisor. With 160 MB, the budget is 80 MB,
/// and 2,500 connections take 39 MB.
const CONNECTION_PART: u64 = 2;

/// The part of the file descriptors that connections of callers may take: 2,500 of 4,100.
/// Connections to backend servers and peers need the rest.
const CALLER_DESCRIPTORS: (u64, u64) = (25, 41);

/// The time without progress after which an upload is refused first when memory is short, and a
/// connection without a whole head is closed first when there are too many. Callers send heads and
/// bodies at once; a lost packet is sent again within a few hundred milliseconds.
pub const STALL: Millis = Millis::new(1_000);

/// The time without progress after which an upload has failed. A caller that sends its body at once
/// pauses for less, also if packets are lost several times.
pub const UPLOAD_TIMEOUT: Millis = Millis::new(5_000);

/// The time after which a caller that takes nothing of a ready answer is closed while memory is
/// short.
pub const ANSWER_TIMEOUT: Millis = Millis::new(5_000);

/// An upload is refused for a smaller one if it holds at least this many times as much. Uploads of
/// similar size would otherwise evict one another in turn, and none would be completed.
const EVICTION_FACTOR: u64 = 2;

/// The largest request, by its head and what has arrived of its body, that is taken as long as the
/// budget has any room. Larger ones leave a quarter of it for small requests and for answers.
pub const SMALL_REQUEST: Bytes = Bytes::new(4 * 1024);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// The first byte of its first request.
    New,
    /// The first byte of its next request.
    Idle,
    /// The rest of a head.
    Head,
    /// The rest of a body.
    Upload,
    /// The answer, or the caller that is to read it.
    Answer,
    /// The caller that is to read a refusal. What it still sends is discarded.
    Refused,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerState {
    /// What the connection waits for.
    pub phase: Phase,
    /// When the phase began.
    pub since: Timestamp,
    /// When the last bytes of the head or the body arrived.
    pub last_progress: Timestamp,
    /// Since when the caller has taken nothing of a ready answer.
    pub blocked_since: Option<Timestamp>,
    /// The memory that the head or the body that arrives takes.
    pub held: Bytes,
}

impl CallerState {
    /// Return the state of a connection that was opened now.
    pub fn new(now: Timestamp) -> Self {
        Self {
            phase: Phase::New,
            since: now,
            last_progress: now,
            blocked_since: None,
            held: Bytes::ZERO,
        }
    }

    /// Begin a phase.
    pub fn enter(&mut self, now: Timestamp, phase: Phase) {
        self.phase = phase;
        self.since = now;
        self.last_progress = now;
    }

    /// Record that bytes arrived from the caller.
    pub fn on_received(&mut self, now: Timestamp) {
        match self.phase {
            Phase::New | Phase::Idle => self.enter(now, Phase::Head),
            Phase::Head | Phase::Upload => self.last_progress = now,
            Phase::Answer | Phase::Refused => {}
        }
    }

    /// Record whether the caller took bytes that were ready for it.
    pub fn on_written(&mut self, now: Timestamp, taken: bool) {
        self.blocked_since = match taken {
            true => None,
            false => self.blocked_since.or(Some(now)),
        };
    }

    fn stalled_for(&self, now: Timestamp) -> Millis {
        now.since(self.last_progress)
    }
}

/// Why the body of a request was not received. The request has not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum UploadEnd {
    /// The body is over the limit.
    TooLarge,
    /// Nothing arrived for [`UPLOAD_TIMEOUT`].
    Stalled,
    /// The deadline of the request has passed.
    Deadline,
    /// The memory is full, and no other upload is to be refused first.
    NoMemory,
    /// The memory was needed for another upload.
    Evicted,
    /// The connection broke, or the bytes were not HTTP.
    Broken,
}

/// Why a connection of a caller was closed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CloseCause {
    /// A head that had begun was not complete in time.
    HeadTimeout,
    /// The caller didn't read its answer while memory was short.
    AnswerUnread,
    /// Another connection needed the place.
    Replaced,
    /// The memory of its unfinished head was needed for an upload.
    Evicted,
    /// There were too many connections, and none was to be closed first.
    TooMany,
}

/// What is due on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// Its upload has failed.
    Upload,
    /// It is to be closed.
    Connection(CloseCause),
}

/// Return what is due on a connection, if anything. `memory_is_short` says whether three quarters of
/// the budget are in use.
pub fn overdue(
    state: &CallerState,
    now: Timestamp,
    limits: &CallerLimits,
    memory_is_short: bool,
) -> Option<Overdue> {
    match state.phase {
        Phase::Head if now.since(state.since) >= limits.head_timeout => {
            Some(Overdue::Connection(CloseCause::HeadTimeout))
        }
        Phase::Upload if state.stalled_for(now) >= UPLOAD_TIMEOUT => Some(Overdue::Upload),
        // The connection is idle for the gateway while the last part of an answer is unread.
        Phase::Answer | Phase::Idle | Phase::Refused if memory_is_short => {
            let blocked = state.blocked_since?;
            let is_due = now.since(blocked) >= ANSWER_TIMEOUT;
            is_due.then_some(Overdue::Connection(CloseCause::AnswerUnread))
        }
        _ => None,
    }
}

/// Return the connection whose upload is refused, or whose unfinished head is dropped, so that an
/// upload that would then hold `needed` has room. Return `None` if that upload is to be refused
/// itself. `others` doesn't contain it.
pub fn connection_to_evict<K>(
    now: Timestamp,
    others: impl Iterator<Item = (K, CallerState)>,
    needed: Bytes,
) -> Option<K> {
    others
        .filter(|(_, state)| {
            matches!(state.phase, Phase::Head | Phase::Upload) && state.held > Bytes::ZERO
        })
        .map(|(key, state)| (state.stalled_for(now), state.held, key))
        .filter(|&(stalled, held, _)| {
            stalled >= STALL || held.get() >= needed.get().saturating_mul(EVICTION_FACTOR)
        })
        .max_by_key(|&(stalled, held, _)| (stalled >= STALL, held, stalled))
        .map(|(_, _, key)| key)
}

/// Return the connection that is closed so that a new one has a place. Return `None` if the new one
/// is to be closed itself.
pub fn connection_to_replace<K>(
    now: Timestamp,
    open: impl Iterator<Item = (K, CallerState)>,
    limits: &CallerLimits,
) -> Option<K> {
    // Callers don't use connections that have been idle for longer.
    let usable_idle = Millis::new(limits.idle_timeout.get() * 4 / 5);
    open.filter_map(|(key, state)| {
        let waited = now.since(state.since);
        let blocked = state.blocked_since.map(|since| now.since(since));
        let is_unread = blocked.is_some_and(|blocked| blocked >= ANSWER_TIMEOUT);
        let may_close = match state.phase {
            Phase::New | Phase::Head | Phase::Refused => waited >= STALL,
            Phase::Idle => is_unread || waited >= usable_idle,
            Phase::Upload => state.stalled_for(now) >= STALL,
            Phase::Answer => is_unread,
        };
        may_close.then_some((state.phase != Phase::Idle, waited, key))
    })
    .max_by_key(|&(is_first, waited, _)| (is_first, waited))
    .map(|(_, _, key)| key)
}

/// Return how many connections of callers may be open in a process that may have `max_descriptors`
/// file descriptors and whose budget is `budget`.
pub fn max_connections(max_descriptors: u64, budget: Bytes) -> usize {
    let (part, whole) = CALLER_DESCRIPTORS;
    let by_descriptors = max_descriptors * part / whole;
    let by_memory = budget.get() / CONNECTION_PART / CONNECTION_COST.get();
    by_descriptors.min(by_memory).max(1) as usize
}
