//! The history of a run: records of what happened, with times of the simulation's clock. No
//! simulated process can read that clock.

use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::outcome::Outcome;
use smol_str::SmolStr;

/// The number of one call of a caller, from 0. A resend is another call of the same operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

/// The number of an operation, from 0: work that a caller wants done, with any number of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationNumber(pub u64);

/// A process of an entry instance. An instance that exits or is killed returns as a new process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceProcess {
    /// The id, which all processes of the instance share.
    pub instance: InstanceId,
    /// How many times the instance had started with this process; the first one has 1.
    pub start_number: u32,
}

/// How a fault hinders an instance. A fault extends only the time limits of requirements that it
/// affects: a cut from the platform, for example, extends none and has no value here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Impairment {
    /// The process runs nothing.
    Paused,
    /// Messages to or from some peers are lost.
    CutFromPeers,
    /// Messages to and from this backend server are lost.
    CutFromServer(BackendServerId),
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A caller sent a request.
    Invoke {
        /// The number of the new call.
        call: CallNumber,
        /// The operation that the caller wants done.
        operation: OperationNumber,
        /// The operation must run at most once, and all of its calls carry the same ticket.
        non_idempotent: bool,
        /// The instance that received the request.
        process: InstanceProcess,
        /// The time of the call plus the caller's timeout. [`Record::Read`] replaces it.
        deadline: Timestamp,
        /// The text of the correct answer to the operation.
        expected: SmolStr,
    },
    /// The instance had read the whole request. The caller's timeout counts from here (design
    /// section 4.2).
    Read {
        /// The call that the request belongs to.
        call: CallNumber,
        /// The time of this record plus the caller's timeout.
        deadline: Timestamp,
    },
    /// A request's bytes arrived at a backend server.
    RequestArrived {
        /// The call that the request belongs to.
        call: CallNumber,
        /// The backend server, which may still refuse the request.
        server: BackendServerId,
        /// The instance that sent the bytes.
        sender: InstanceProcess,
    },
    /// A backend server began to run a request.
    ExecutionStarted {
        /// The call that the request belongs to.
        call: CallNumber,
        /// The operation that the server read from the body.
        operation: OperationNumber,
        /// The backend server that runs it.
        server: BackendServerId,
        /// The time at which the request's bytes arrived.
        arrived_at: Timestamp,
    },
    /// A caller received the end of an answer.
    Answer {
        /// The call that was answered.
        call: CallNumber,
        /// The outcome that the answer states.
        outcome: Outcome,
        /// All of the answer's text.
        text: SmolStr,
        /// The generation in the answer's headers.
        generation: Generation,
    },
    /// The connection between caller and instance ended without an answer.
    ConnectionLost(CallNumber),
    /// The caller closed the connection.
    CallerGone(CallNumber),
    /// A document came into force at an instance.
    InForce {
        /// The instance that applied the document.
        process: InstanceProcess,
        /// The document's generation.
        generation: Generation,
        /// The document's digest, which orders documents of the same generation.
        digest: Digest,
    },
    /// An instance started.
    InstanceStarted(InstanceProcess),
    /// A fault began to hinder an instance.
    FaultBegins {
        /// The instance that is hindered.
        process: InstanceProcess,
        /// How the fault hinders it.
        impairment: Impairment,
    },
    /// A fault stopped hindering an instance.
    FaultEnds {
        /// The instance that was hindered.
        process: InstanceProcess,
        /// The same value as in [`Record::FaultBegins`].
        impairment: Impairment,
    },
    /// An instance was asked to stop.
    ShutdownBegins(InstanceProcess),
    /// An instance drained and ended its process itself.
    InstanceExited(InstanceProcess),
    /// An instance was killed.
    InstanceKilled(InstanceProcess),
    /// An engine granted a hold.
    HoldGranted {
        /// The engine whose memory is held.
        server: BackendServerId,
        /// The id of the hold.
        hold: SmolStr,
    },
    /// An engine removed a hold because an instance released it.
    HoldReleased {
        /// The engine whose memory was held.
        server: BackendServerId,
        /// The id of the hold.
        hold: SmolStr,
    },
    /// A backend server crashed or restarted. It lost its memory and the requests that it ran.
    ServerCrashed(BackendServerId),
    /// A backend server's operator told it to leave.
    ServerLeaving(BackendServerId),
    /// An engine accepted an order.
    OrderApplied {
        /// The engine that accepted it.
        server: BackendServerId,
        /// The order's fencing number.
        fencing: Generation,
        /// Whether the engine refuses orders with an old fencing number.
        checks_fencing: bool,
    },
    /// The memory that a backend server still used at the end of the run.
    MemoryAtEnd {
        /// The backend server.
        server: BackendServerId,
        /// The memory of running prompts and of holds, in tokens.
        used_tokens: u64,
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

/// The records of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// The records, by ascending time.
    pub entries: Vec<Entry>,
}

impl History {
    /// Append a record.
    pub fn push(&mut self, at: Timestamp, record: Record) {
        self.entries.push(Entry { at, record });
    }

    /// Return the time of the last record, or the beginning of the run if there is none.
    pub fn end(&self) -> Timestamp {
        self.entries.last().map_or(Timestamp::ORIGIN, |e| e.at)
    }
}
