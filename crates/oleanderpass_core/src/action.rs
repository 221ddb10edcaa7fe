//! Define the actions that the core asks the edges to carry out.

use std::net::SocketAddr;
use std::sync::Arc;

use oleanderpass_proto::engine;
use oleanderpass_proto::peer;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::error::StepError;
use oleanderpass_types::id::AttemptNumber;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::outcome::Outcome;
use oleanderpass_types::size::Tokens;
use smol_str::SmolStr;

use crate::event::CallId;
use crate::event::Observation;
use crate::event::Priority;
use crate::event::RecordedAnswer;

/// An output of the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt and report its progress by `Attempt` events.
    StartAttempt(StartAttempt),
    /// Cancel an attempt, at the backend server too. The edge still reports its end.
    CancelAttempt {
        /// The request that the attempt belongs to.
        req: RequestId,
        /// The number of the attempt within the request.
        attempt: AttemptNumber,
    },
    /// Answer the caller and end the request task. After the `Answer` of a request, its attempt may
    /// still run until the edge reports its end.
    Answer {
        /// The request, or the call for a ticket.
        req: RequestId,
        /// What to send to the caller.
        answer: Answer,
    },
    /// Send a request to the instance that owns its ticket, relay the answer and report
    /// `ForwardEnded` or `ForwardFailed`. An `Answer` for the request ends the forward.
    Forward {
        /// The request to forward.
        req: RequestId,
        /// The instance that issued the ticket.
        owner: InstanceId,
        /// The owner's peer address.
        addr: SocketAddr,
        /// The deadline of the request.
        deadline: Timestamp,
    },
    /// Send a datagram to a peer.
    SendPacket {
        /// The peer's address.
        to: SocketAddr,
        /// The content of the datagram, to which the edge appends the HMAC.
        packet: Box<peer::Packet>,
    },
    /// Read the document from the platform once, by a long poll of up to `wait` for a generation
    /// after `after`. Report `DocumentText` or `Document`, `DocumentUnchanged`,
    /// `DocumentMalformed` or `DocumentReadFailed`.
    ReadDocument {
        /// The latest generation that the instance has.
        after: Generation,
        /// The longest time for which the platform delays its answer.
        wait: Millis,
    },
    /// Read the instance list from the platform once and report `InstanceList` or
    /// `InstanceListFailed`.
    ReadInstanceList,
    /// Fetch the instance list from a peer and report `InstanceList`. A failure is not reported:
    /// the next failed read of the platform's list causes the next fetch.
    FetchInstanceList {
        /// The peer.
        from: InstanceId,
        /// Its address.
        addr: SocketAddr,
    },
    /// Fetch a document from a peer and report `DocumentFetched` or `DocumentFetchFailed`.
    FetchDocument {
        /// The peer.
        from: InstanceId,
        /// Its address.
        addr: SocketAddr,
        /// The version to fetch and the one to start from. The edge adds the proof of the
        /// fleet key.
        query: Box<peer::FetchDocumentRequest>,
    },
    /// Answer a `FetchDocumentCall` of a peer.
    AnswerFetch {
        /// The call to answer.
        call: CallId,
        /// The document, or the changes that lead to it.
        answer: Box<peer::FetchDocumentResponse>,
    },
    /// Request quota from a home instance and report `QuotaLeased` or `QuotaLeaseFailed`.
    LeaseQuota {
        /// The home instance of the organisations in `demands`.
        home: InstanceId,
        /// Its address.
        addr: SocketAddr,
        /// The quota that this instance would use, by organisation.
        demands: Vec<peer::QuotaDemand>,
    },
    /// Answer a `LeaseQuotaCall` of a peer.
    AnswerLease {
        /// The call to answer.
        call: CallId,
        /// The granted leases.
        leases: Vec<peer::QuotaLease>,
    },
    /// Poll a backend server and report the matching event (`LoadReport`, `EngineState`, `HoldList`
    /// or `CacheEvents`) or `ObserveFailed`.
    Observe {
        /// The server.
        server: BackendServerId,
        /// Its address.
        addr: SocketAddr,
        /// What to read from the server.
        observation: Observation,
    },
    /// Send an order to an engine and report `OrderAnswered`.
    SendOrder {
        /// The engine.
        server: BackendServerId,
        /// Its address.
        addr: SocketAddr,
        /// The order to send.
        order: Box<engine::Order>,
    },
    /// Request a hold from an engine and report `HoldAnswered`.
    RequestHold {
        /// The engine.
        server: BackendServerId,
        /// Its address.
        addr: SocketAddr,
        /// The requested hold.
        hold: Box<engine::HoldRequest>,
    },
    /// Release a hold and report `HoldReleased`.
    ReleaseHold {
        /// The engine.
        server: BackendServerId,
        /// Its address.
        addr: SocketAddr,
        /// The id of the hold.
        hold: SmolStr,
    },
    /// End the process.
    Exit,
}

/// An attempt to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartAttempt {
    /// The request that the attempt belongs to.
    pub req: RequestId,
    /// The number of the attempt within the request.
    pub attempt: AttemptNumber,
    /// The backend server that receives the request.
    pub server: BackendServerId,
    /// Its address.
    pub addr: SocketAddr,
    /// The deadline of the request. The request task checks it directly before the first byte is
    /// written.
    pub deadline: Timestamp,
    /// The priority that is sent to the backend server.
    pub priority: Priority,
    /// Whether the request is non-idempotent. The edge then uses a connection that carried no
    /// request before and never sends the request twice.
    pub non_idempotent: bool,
    /// Holds for the parts of the prompt's KV cache, in the order of use. They include the one on
    /// `server`. Empty when the prompt fits on one engine.
    pub holds: Vec<HeldMemory>,
}

/// KV cache memory that is held for an attempt on one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldMemory {
    /// The engine.
    pub server: BackendServerId,
    /// Its address.
    pub addr: SocketAddr,
    /// The id of the hold.
    pub hold: SmolStr,
    /// The size of the hold.
    pub tokens: Tokens,
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A new ticket.
    Ticket {
        /// The encoded ticket.
        ticket: SmolStr,
        /// The time within which the first use must begin.
        valid_for: Millis,
        /// The generation in force.
        generation: Generation,
    },
    /// The end of a request: its attempt has delivered the answer to the caller, or it failed.
    End {
        /// The outcome of the request.
        outcome: Outcome,
        /// The HTTP status to send if nothing was sent to the caller yet.
        status: u16,
        /// The cause; `None` only for the outcome `completed`.
        error: Option<StepError>,
        /// The generation in force.
        generation: Generation,
    },
    /// The recorded answer of an earlier use of the same ticket.
    Recorded {
        /// The answer; `None` when its body is no longer kept.
        answer: Option<Arc<RecordedAnswer>>,
        /// The outcome of the earlier use.
        outcome: Outcome,
        /// The generation in force.
        generation: Generation,
    },
}
