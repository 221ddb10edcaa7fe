//! Describe what the core asks the edges to do.

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
    /// Run an attempt.
    StartAttempt(StartAttempt),
    /// Stop an attempt and tell the backend server.
    CancelAttempt {
        /// The request.
        req: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Answer the caller and end the request task. After a request's `Answer`, its attempt may still
    /// run until the edge reports its end.
    Answer {
        /// The request.
        req: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Send a request to the instance that owns its ticket, relay the answer and report
    /// `ForwardEnded` or `ForwardFailed`. An `Answer` for the request ends the forward.
    Forward {
        /// The request.
        req: RequestId,
        /// The owner.
        owner: InstanceId,
        /// The owner's peer address.
        addr: SocketAddr,
        /// The end of the request's time.
        deadline: Timestamp,
    },
    /// Send a datagram to a peer.
    SendPacket {
        /// The peer's address.
        to: SocketAddr,
        /// The content. The edge adds the HMAC.
        packet: Box<peer::Packet>,
    },
    /// Read the document from the platform once: wait up to `wait` for one after `after`, and
    /// report `Document`, `DocumentUnchanged`, `DocumentMalformed` or `DocumentReadFailed`.
    ReadDocument {
        /// The generation that the instance holds.
        after: Generation,
        /// The time in which the platform holds the call.
        wait: Millis,
    },
    /// Read the instance list from the platform once and report it or `InstanceListFailed`.
    ReadInstanceList,
    /// Fetch the instance list from a peer and report it. A failure is not reported: the next failed
    /// read of the platform's list leads to the next fetch.
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
        /// What to ask for. The edge adds the proof.
        query: Box<peer::FetchDocumentRequest>,
    },
    /// Answer a peer's call for a document.
    AnswerFetch {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Box<peer::FetchDocumentResponse>,
    },
    /// Ask a home instance for quota and report `QuotaLeased` or `QuotaLeaseFailed`.
    LeaseQuota {
        /// The home instance.
        home: InstanceId,
        /// Its address.
        addr: SocketAddr,
        /// What this instance would use.
        demands: Vec<peer::QuotaDemand>,
    },
    /// Answer a peer's call for quota.
    AnswerLease {
        /// The call.
        call: CallId,
        /// The leases.
        leases: Vec<peer::QuotaLease>,
    },
    /// Ask a backend server about itself and report the answer or `ObserveFailed`.
    Observe {
        /// The server.
        server: BackendServerId,
        /// Its address.
        addr: SocketAddr,
        /// What the server is asked for.
        observation: Observation,
    },
    /// Send an order to an engine and report `OrderAnswered`.
    SendOrder {
        /// The engine.
        server: BackendServerId,
        /// Its address.
        addr: SocketAddr,
        /// The order.
        order: Box<engine::Order>,
    },
    /// Ask an engine for a hold and report `HoldAnswered`.
    RequestHold {
        /// The engine.
        server: BackendServerId,
        /// Its address.
        addr: SocketAddr,
        /// The hold.
        hold: Box<engine::HoldRequest>,
    },
    /// Release a hold and report `HoldReleased`.
    ReleaseHold {
        /// The engine.
        server: BackendServerId,
        /// Its address.
        addr: SocketAddr,
        /// The hold.
        hold: SmolStr,
    },
    /// End the process.
    Exit,
}

/// The order to run an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartAttempt {
    /// The request.
    pub req: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The backend server.
    pub server: BackendServerId,
    /// Its address.
    pub addr: SocketAddr,
    /// The end of the request's time. The request task checks it directly before the write.
    pub deadline: Timestamp,
    /// How urgent the request is.
    pub priority: Priority,
    /// Whether the request is non-idempotent: it uses a connection that carried no request before
    /// and is never sent twice.
    pub non_idempotent: bool,
    /// Holds on other engines that keep the rest of the prompt's KV cache, in the order of use.
    pub holds: Vec<HeldMemory>,
}

/// KV memory that is held for an attempt on another engine than the one that runs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldMemory {
    /// The engine.
    pub server: BackendServerId,
    /// Its address.
    pub addr: SocketAddr,
    /// The hold.
    pub hold: SmolStr,
    /// Its size.
    pub tokens: Tokens,
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A ticket.
    Ticket {
        /// The ticket.
        ticket: SmolStr,
        /// The time in which it can be used first.
        valid_for: Millis,
        /// The generation in force.
        generation: Generation,
    },
    /// The end of a request whose attempt delivered the answer, or an error.
    End {
        /// The outcome.
        outcome: Outcome,
        /// The HTTP status when nothing has been sent to the caller yet.
        status: u16,
        /// The error, for every outcome but `completed`.
        error: Option<StepError>,
        /// The generation in force.
        generation: Generation,
    },
    /// The recorded answer of an earlier use of the same ticket.
    Recorded {
        /// The answer; `None` when its body is no longer held.
        answer: Option<Arc<RecordedAnswer>>,
        /// The outcome.
        outcome: Outcome,
        /// The generation in force.
        generation: Generation,
    },
}
