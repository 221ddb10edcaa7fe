//! Record what happened in a run, on one clock that no process of the run can read.

use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::outcome::Outcome;
use smol_str::SmolStr;

/// One call of a caller. A resend is another call of the same operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

/// The work that a caller wants done, whatever the number of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Operation(pub u64);

/// A life of an entry instance: its id and the number of its start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Life {
    /// The instance.
    pub instance: InstanceId,
    /// Counts its starts from 1.
    pub start: u32,
}

/// What a fault keeps an instance from. A requirement is extended only by what bears on it: a cut
/// from the platform, for example, extends none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Impairment {
    /// It doesn't act at all.
    Paused,
    /// It doesn't hear some peers, or they don't hear it.
    CutFromPeers,
    /// It can't exchange messages with a backend server.
    CutFromServer(BackendServerId),
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A caller sent a request.
    Invoke {
        /// The call.
        call: CallNumber,
        /// The operation.
        operation: Operation,
        /// The operation must run at most once, and its calls carry the same ticket.
        once: bool,
        /// The instance that received it.
        at: Life,
        /// The end of the time that the caller gave.
        deadline: Timestamp,
        /// The answer that belongs to this operation.
        expected: SmolStr,
    },
    /// The instance had read the request. Its time counts from here (design section 4.2).
    Read {
        /// The call.
        call: CallNumber,
        /// The end of its time.
        deadline: Timestamp,
    },
    /// The request's bytes arrived at a backend server.
    Dispatch {
        /// The call.
        call: CallNumber,
        /// The server.
        server: BackendServerId,
        /// The instance that sent them.
        by: Life,
    },
    /// A backend server began to run a request.
    Start {
        /// The call.
        call: CallNumber,
        /// The operation that it has read from the body.
        operation: Operation,
        /// The server.
        server: BackendServerId,
        /// The time at which the request's bytes arrived.
        dispatched: Timestamp,
    },
    /// A caller received the end of an answer.
    Answer {
        /// The call.
        call: CallNumber,
        /// The outcome.
        outcome: Outcome,
        /// The text that was delivered.
        text: SmolStr,
        /// The generation in the answer's headers.
        generation: Generation,
    },
    /// The connection between caller and instance ended without an answer.
    ConnectionLost(CallNumber),
    /// The caller closed the connection.
    CallerGone(CallNumber),
    /// A document came into force.
    InForce {
        /// The instance.
        at: Life,
        /// The generation.
        generation: Generation,
        /// The digest.
        digest: Digest,
    },
    /// An instance started.
    Started(Life),
    /// A fault kept an instance from acting or from hearing others.
    FaultBegins {
        /// The instance.
        at: Life,
        /// What it keeps the instance from.
        impairment: Impairment,
    },
    /// The fault of an instance is over.
    FaultEnds {
        /// The instance.
        at: Life,
        /// The value of the beginning.
        impairment: Impairment,
    },
    /// An instance was asked to stop.
    ShutdownBegins(Life),
    /// An instance ended on its own.
    Exit(Life),
    /// An instance was killed.
    Killed(Life),
    /// An engine granted a hold.
    HoldTaken {
        /// The engine.
        server: BackendServerId,
        /// The hold.
        hold: SmolStr,
    },
    /// An engine dropped a hold.
    HoldReleased {
        /// The engine.
        server: BackendServerId,
        /// The hold.
        hold: SmolStr,
    },
    /// A backend server crashed. It has lost its memory and runs nothing.
    ServerCrashed(BackendServerId),
    /// A backend server was told by its operator to leave.
    ServerLeaving(BackendServerId),
    /// An engine accepted an order.
    OrderApplied {
        /// The engine.
        server: BackendServerId,
        /// The order's fencing number.
        fencing: Generation,
        /// The engine refuses an old fencing number.
        checks: bool,
    },
    /// An engine's memory in use at the end of the run, in tokens.
    MemoryAtEnd {
        /// The engine.
        server: BackendServerId,
        /// The memory in use.
        used: u64,
    },
}

/// A record with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The time since the beginning of the run.
    pub at: Timestamp,
    /// What happened.
    pub record: Record,
}

/// The records of one run in the order of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// The records.
    pub entries: Vec<Entry>,
}

impl History {
    /// Append a record.
    pub fn push(&mut self, at: Timestamp, record: Record) {
        self.entries.push(Entry { at, record });
    }

    /// Return the time of the last record.
    pub fn end(&self) -> Timestamp {
        self.entries.last().map_or(Timestamp::ORIGIN, |e| e.at)
    }
}
