//! Decide when an instance reads the document from the platform.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Generation;

/// How long a watch, a reader's read that waits at the platform for a change, lasts at most. It is
/// short, because a refresh can start only after this wait. 16 readers (2 in each of 8 zones) make
/// 3 reads/s of the 2,000 that the platform allows.
const WATCH_TIME: Millis = Millis::from_secs(5);

/// How long after the end of its wait a read without an answer counts as failed.
const ANSWER_TIMEOUT: Millis = Millis::from_secs(5);

/// The delay until the next read after one that returned a usable text, or that didn't wait and
/// returned none. It is shorter than the settle time, so that a candidate is read once more before
/// it comes into force and a second content of its generation is found. It is no shorter than this,
/// because each read transfers the whole document (up to 1 MB).
const TEXT_INTERVAL: Millis = Millis::from_secs(1);

/// The delay until the next read after a failed one.
const RETRY_DELAY: Millis = Millis::from_secs(1);

/// The delay until the next read after a rejected text, for example the old text of a stale
/// platform. The platform may answer every watch with that text at once.
const REJECTED_TEXT_INTERVAL: Millis = Millis::from_secs(2);

/// The delay until the next read of an instance that isn't a reader, after one that returned no
/// text or a rejected one. These reads cover the case that all readers are alive but can't reach
/// the platform. 410 instances make 7 reads/s of the 2,000 that the platform allows.
const NON_READER_INTERVAL: Millis = Millis::from_secs(60);

/// A read of the document from the platform's configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Read {
    /// The platform answers only with a generation above this one.
    pub after: Generation,
    /// How long the platform waits for such a generation before it answers without a text.
    pub wait: Millis,
}

/// The result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadResult {
    /// A text that can become a candidate, is one already, or is in force.
    Usable,
    /// A text that was rejected.
    Rejected,
    /// An answer without a text: the platform has no higher generation.
    Unchanged,
    /// No answer, or an error.
    Failed,
}

/// The pending read of the platform, and the time of the next one.
#[derive(Clone, Debug)]
pub(crate) struct ReadSchedule {
    /// This instance is a reader of its zone; true until the other members are known.
    is_reader: bool,
    /// The last read waited at the platform for a change.
    watched: bool,
    /// When the pending read counts as failed; `None` when no read is pending.
    deadline: Option<Timestamp>,
    next_at: Timestamp,
}

impl ReadSchedule {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            is_reader: true,
            watched: false,
            deadline: None,
            next_at: now,
        }
    }

    /// Set whether this instance is a reader of its zone.
    pub(crate) fn set_reader(&mut self, now: Timestamp, is_reader: bool) {
        if is_reader && !self.is_reader {
            self.next_at = now;
        }
        self.is_reader = is_reader;
    }

    pub(crate) fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Make the next read due as soon as no read is pending.
    pub(crate) fn refresh(&mut self, now: Timestamp) {
        self.next_at = now;
    }

    /// Record the result of the pending read and schedule the next one.
    pub(crate) fn record_result(&mut self, now: Timestamp, result: ReadResult) {
        self.deadline = None;
        let delay = match result {
            ReadResult::Usable => TEXT_INTERVAL,
            ReadResult::Rejected => REJECTED_TEXT_INTERVAL,
            ReadResult::Unchanged if self.watched => Millis::ZERO,
            ReadResult::Unchanged => TEXT_INTERVAL,
            ReadResult::Failed => RETRY_DELAY,
        };
        let use_long_delay =
            !self.is_reader && result != ReadResult::Failed && result != ReadResult::Usable;
        self.next_at = now
            + if use_long_delay {
                NON_READER_INTERVAL
            } else {
                delay
            };
    }

    /// Start and return the read that is due. `after` is the generation in force.
    ///
    /// With `immediate`, the read doesn't wait for a change. This is set while a candidate is held,
    /// because a watch of a platform without a higher generation lasts longer than the settle time,
    /// and while no document is in force, because a new instance waits for the platform's answer
    /// before it becomes ready.
    pub(crate) fn start_next(
        &mut self,
        now: Timestamp,
        after: Generation,
        immediate: bool,
    ) -> Option<Read> {
        if self.deadline.is_some_and(|deadline| deadline <= now) {
            self.record_result(now, ReadResult::Failed);
        }
        if self.deadline.is_some() || now < self.next_at {
            return None;
        }
        let watch = self.is_reader && !immediate;
        let wait = if watch { WATCH_TIME } else { Millis::ZERO };
        self.watched = watch;
        self.deadline = Some(now + wait + ANSWER_TIMEOUT);
        Some(Read { after, wait })
    }
}
