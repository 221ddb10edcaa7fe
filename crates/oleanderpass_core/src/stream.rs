//! Assemble the events of one attempt into a complete answer.
//!
//! The engine numbers the events of a stream consecutively from 0. The final event carries no text;
//! its sequence number is the number of events before it. The assembler owns no socket: the request
//! task feeds it each event with its arrival time, and carries out what it returns.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use smol_str::SmolStr;

/// The time without a byte after which a connection counts as dead. Engines send a keep-alive each
/// second, so three of them are missing by then.
pub const SILENCE_LIMIT: Millis = Millis::from_secs(3);

/// The timeout for the first byte of a resumed connection. It makes two silent resumes fail within
/// [`RESUME_WINDOW`].
pub const RESUME_TIMEOUT: Millis = Millis::from_secs(1);

/// The time within which two failed resumes make the attempt fail.
pub const RESUME_WINDOW: Millis = Millis::from_secs(2);

/// An event of a stream, as it arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The id of the stream, as the engine names it.
    pub id: SmolStr,
    /// The sequence number, from 0.
    pub sequence: u64,
    /// The generated text.
    pub text: String,
    /// This is the final event.
    pub done: bool,
}

/// What to do with an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedResult {
    /// Deliver this text to the caller.
    Deliver(String),
    /// The answer is complete: every event was delivered once.
    Complete,
    /// The event was delivered before or follows the final one. Drop it.
    Duplicate,
    /// The event belongs to another stream. Drop it.
    OtherStream,
    /// Events are missing. Drop the event and call [`Assembler::on_connection_lost`].
    MissingEvents {
        /// The sequence number of the next event to deliver.
        expected: u64,
        /// The sequence number that arrived.
        received: u64,
    },
    /// The final event contradicts what was delivered. The attempt has failed.
    Inconsistent {
        /// The number of events that were delivered.
        delivered: u64,
        /// The number of events that the final event announces.
        announced: u64,
    },
}

/// How to recover from a lost connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Open a new connection and resume.
    Resume {
        /// The sequence number of the first event to send.
        from: u64,
    },
    /// Give up the attempt.
    Fail,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connection {
    /// A new event was delivered on this connection, or it is the first one of the attempt.
    Established,
    /// The stream is being resumed and no byte has arrived.
    Resuming,
    /// A resumed connection has delivered bytes, but no new event. Its loss counts as a failed
    /// resume.
    Unconfirmed,
}

/// Assembles the stream of one attempt.
#[derive(Clone, Debug)]
pub struct Assembler {
    id: SmolStr,
    next_sequence: u64,
    complete: bool,
    last_byte: Timestamp,
    connection: Connection,
    last_failed_resume: Option<Timestamp>,
}

impl Assembler {
    /// Create the assembler of a stream whose first connection opened at `now`.
    pub fn new(id: impl Into<SmolStr>, now: Timestamp) -> Self {
        Self {
            id: id.into(),
            next_sequence: 0,
            complete: false,
            last_byte: now,
            connection: Connection::Established,
            last_failed_resume: None,
        }
    }

    /// Return the sequence number of the next event to deliver, which is also the number of events
    /// delivered.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Return whether a part of the answer was delivered.
    pub fn has_delivered(&self) -> bool {
        self.next_sequence > 0
    }

    /// Return whether every event up to the final one was delivered.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Record that bytes arrived: the head of the answer, a keep-alive or a part of an event.
    ///
    /// Call it also after a delivery that a slow caller held up, because the connection was not
    /// read in that time.
    pub fn on_bytes(&mut self, now: Timestamp) {
        self.last_byte = now;
        if self.connection == Connection::Resuming {
            self.connection = Connection::Unconfirmed;
        }
    }

    /// Record an event and return what to do with it.
    pub fn feed(&mut self, now: Timestamp, event: StreamEvent) -> FeedResult {
        self.on_bytes(now);
        if event.id != self.id {
            return FeedResult::OtherStream;
        }
        if self.complete {
            return FeedResult::Duplicate;
        }
        if event.sequence > self.next_sequence {
            return FeedResult::MissingEvents {
                expected: self.next_sequence,
                received: event.sequence,
            };
        }
        if event.done {
            return self.finish(event.sequence);
        }
        if event.sequence < self.next_sequence {
            return FeedResult::Duplicate;
        }
        self.next_sequence += 1;
        self.connection = Connection::Established;
        FeedResult::Deliver(event.text)
    }

    fn finish(&mut self, announced: u64) -> FeedResult {
        if announced < self.next_sequence {
            return FeedResult::Inconsistent {
                delivered: self.next_sequence,
                announced,
            };
        }
        self.complete = true;
        FeedResult::Complete
    }

    /// Return the time at which [`Assembler::check_silence`] will report the connection as dead.
    pub fn silence_deadline(&self) -> Timestamp {
        let limit = match self.connection {
            Connection::Resuming => RESUME_TIMEOUT,
            Connection::Established | Connection::Unconfirmed => SILENCE_LIMIT,
        };
        self.last_byte + limit
    }

    /// Return how to recover if the connection has been silent for too long.
    pub fn check_silence(&mut self, now: Timestamp) -> Option<Recovery> {
        if self.complete || now < self.silence_deadline() {
            return None;
        }
        Some(self.on_connection_lost(now))
    }

    /// Record that the connection broke, that a resume failed or that events are missing.
    pub fn on_connection_lost(&mut self, now: Timestamp) -> Recovery {
        if self.connection != Connection::Established {
            let previous = self.last_failed_resume.replace(now);
            if previous.is_some_and(|at| now.since(at) <= RESUME_WINDOW) {
                return Recovery::Fail;
            }
        }
        self.connection = Connection::Resuming;
        self.last_byte = now;
        Recovery::Resume {
            from: self.next_sequence,
        }
    }
}
