//! Decide when an instance reads the platform.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Generation;

/// The time that a reader's watch waits for a change. A refresh waits for the end of the watch, so it
/// is short; 16 readers make 3 of 2,000 reads/s.
const WATCH_TIME: Millis = Millis::from_secs(5);

/// The time after which a read without an answer counts as failed, beyond its wait.
const ANSWER_TIME: Millis = Millis::from_secs(5);

/// The time between two reads that deliver a text. It also repeats the read once while a candidate
/// settles, which finds a second content of the same generation. Each read of 1 MB costs its whole
/// size, so it is no shorter.
const TEXT_INTERVAL: Millis = Millis::from_secs(1);

/// The time until the next read after a failure.
const RETRY_TIME: Millis = Millis::from_secs(1);

/// The time until the next read after a rejected text, as one of a stale service. The service may
/// answer each watch with it at once.
const REPEAT_INTERVAL: Millis = Millis::from_secs(2);

/// The time between reads of an instance that isn't a reader. It covers the case that all readers
/// are alive but cut off from the platform. 410 instances make 7 reads/s of 2,000.
const OTHER_INTERVAL: Millis = Millis::from_secs(60);

/// A call of the configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Read {
    /// Answer with a generation above this one.
    pub after: Generation,
    /// Wait for one as long as this.
    pub wait: Millis,
}

/// What a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Brought {
    /// A text that may become a candidate, is one or is in force.
    New,
    /// A text that was rejected.
    Rejected,
    /// No text after the wait.
    Nothing,
    /// No answer.
    Failure,
}

/// When the platform was and will be read.
#[derive(Clone, Debug)]
pub(crate) struct Reading {
    reader: bool,
    waited: bool,
    overdue: Option<Timestamp>,
    due: Timestamp,
}

impl Reading {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            reader: true,
            waited: false,
            overdue: None,
            due: now,
        }
    }

    /// Set whether this instance is a reader of its zone.
    pub(crate) fn set_reader(&mut self, now: Timestamp, reader: bool) {
        if reader && !self.reader {
            self.due = now;
        }
        self.reader = reader;
    }

    pub(crate) fn is_reader(&self) -> bool {
        self.reader
    }

    /// Read as soon as no read is waiting.
    pub(crate) fn refresh(&mut self, now: Timestamp) {
        self.due = now;
    }

    pub(crate) fn answered(&mut self, now: Timestamp, brought: Brought) {
        self.overdue = None;
        let pause = match brought {
            Brought::New => TEXT_INTERVAL,
            Brought::Rejected => REPEAT_INTERVAL,
            Brought::Nothing if self.waited => Millis::ZERO,
            Brought::Nothing => TEXT_INTERVAL,
            Brought::Failure => RETRY_TIME,
        };
        let other = !self.reader && brought != Brought::Failure && brought != Brought::New;
        self.due = now + if other { OTHER_INTERVAL } else { pause };
    }

    /// Return the read that is due. `after` is the generation in force; during a settle time the
    /// read doesn't wait, because the service may hold the candidate's generation only.
    pub(crate) fn next(
        &mut self,
        now: Timestamp,
        after: Generation,
        settling: bool,
    ) -> Option<Read> {
        if self.overdue.is_some_and(|overdue| overdue <= now) {
            self.answered(now, Brought::Failure);
        }
        if self.overdue.is_some() || now < self.due {
            return None;
        }
        let watch = self.reader && !settling;
        let wait = if watch { WATCH_TIME } else { Millis::ZERO };
        self.waited = watch;
        self.overdue = Some(now + wait + ANSWER_TIME);
        Some(Read { after, wait })
    }
}
