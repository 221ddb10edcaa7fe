//! Define the events that the edges report to the core.

use std::net::SocketAddr;
use std::sync::Arc;

use oleanderpass_proto::engine;
use oleanderpass_proto::environment;
use oleanderpass_proto::peer;
pub use oleanderpass_routing::request::Prefix;
pub use oleanderpass_ticket::answer::RecordedAnswer;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::AdapterId;
use oleanderpass_types::id::AttemptNumber;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::CallerId;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::ModelId;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::id::RouteId;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::id::ZoneId;
use oleanderpass_types::outcome::Outcome;
use oleanderpass_types::size::Tokens;
use smol_str::SmolStr;
use strum::Display;
use strum::EnumString;

/// An input of the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a request, or a peer forwarded one to the owner of its ticket. The whole body
    /// has been received.
    Request(Box<NewRequest>),
    /// A caller asks for a ticket.
    IssueTicket {
        /// The id of the call, which the answer carries.
        req: RequestId,
        /// The digest of the caller's API key.
        key: Digest,
        /// The route that the ticket is for.
        route: RouteId,
    },
    /// The caller of a request disconnected. The request task continues until the core answers the
    /// request, because a non-idempotent request runs to its end for a resend with the same ticket.
    CallerGone(RequestId),
    /// An attempt made progress.
    Attempt {
        /// The request that the attempt belongs to.
        req: RequestId,
        /// The number of the attempt within the request.
        attempt: AttemptNumber,
        /// The new state of the attempt.
        progress: Progress,
    },
    /// The owner of a ticket answered a forwarded request, and the answer was relayed.
    ForwardEnded {
        /// The forwarded request.
        req: RequestId,
        /// The outcome that the owner reported.
        outcome: Outcome,
    },
    /// A forwarded request failed at this instance without an answer from the owner of its ticket.
    ForwardFailed {
        /// The forwarded request.
        req: RequestId,
        /// The error text.
        cause: SmolStr,
    },
    /// A datagram from a peer was received and its HMAC verified.
    PeerPacket {
        /// The sender's address.
        from: SocketAddr,
        /// The content of the datagram.
        packet: Arc<peer::Packet>,
    },
    /// A connection to a peer could not be opened or was lost.
    PeerUnreachable(InstanceId),
    /// The text of a document was read from the platform and is not parsed yet.
    DocumentText(Arc<str>),
    /// A document was read from the platform and parsed.
    Document(Arc<environment::Document>),
    /// The platform has no generation after the one that the read named.
    DocumentUnchanged,
    /// The platform returned a document that can't be parsed.
    DocumentMalformed {
        /// The error text.
        cause: SmolStr,
    },
    /// A read of the document from the platform failed.
    DocumentReadFailed {
        /// The error text.
        cause: SmolStr,
    },
    /// A peer answered [`crate::action::Action::FetchDocument`].
    DocumentFetched {
        /// The peer.
        from: InstanceId,
        /// The document, or the changes that lead to it.
        answer: Arc<peer::FetchDocumentResponse>,
    },
    /// A peer did not answer [`crate::action::Action::FetchDocument`].
    DocumentFetchFailed {
        /// The peer.
        from: InstanceId,
        /// The error text.
        cause: SmolStr,
    },
    /// A peer fetches a document. Its proof of the fleet key was verified.
    FetchDocumentCall {
        /// The call to answer by [`crate::action::Action::AnswerFetch`].
        call: CallId,
        /// The version that the peer wants and the one that it has.
        query: Arc<peer::FetchDocumentRequest>,
    },
    /// A peer requests quota from this instance, the home instance of the organisations in
    /// `demands`. The peer's proof of the fleet key was verified.
    LeaseQuotaCall {
        /// The call to answer by [`crate::action::Action::AnswerLease`].
        call: CallId,
        /// The peer.
        from: InstanceId,
        /// The quota that the peer would use, by organisation.
        demands: Vec<peer::QuotaDemand>,
    },
    /// A home instance answered [`crate::action::Action::LeaseQuota`].
    QuotaLeased {
        /// The home instance.
        home: InstanceId,
        /// The granted leases.
        leases: Vec<peer::QuotaLease>,
    },
    /// A home instance did not answer [`crate::action::Action::LeaseQuota`].
    QuotaLeaseFailed {
        /// The home instance.
        home: InstanceId,
    },
    /// The instance list was read from the platform, or fetched from a peer.
    InstanceList(Arc<InstanceList>),
    /// A read of the platform's instance list failed.
    InstanceListFailed {
        /// The error text.
        cause: SmolStr,
    },
    /// A backend server reported its load.
    LoadReport(ServerLoad),
    /// An engine reported its loaded models and its role.
    EngineState(Box<engine::EngineState>),
    /// An engine listed its holds.
    HoldList {
        /// The engine.
        server: BackendServerId,
        /// All holds on the engine.
        list: Box<engine::HoldList>,
    },
    /// An engine reported changes of its prefix cache.
    CacheEvents {
        /// The engine.
        server: BackendServerId,
        /// The changes, with the number of the next event.
        events: Box<engine::CacheEvents>,
    },
    /// A backend server did not answer an [`crate::action::Action::Observe`], or its answer was
    /// invalid.
    ObserveFailed {
        /// The server.
        server: BackendServerId,
        /// What should have been read.
        observation: Observation,
        /// The error text.
        cause: SmolStr,
    },
    /// An engine answered an order.
    OrderAnswered {
        /// The engine.
        server: BackendServerId,
        /// The order that was sent.
        order: Box<engine::Order>,
        /// The answer; `None` when the call failed.
        answer: Option<engine::OrderAnswer>,
    },
    /// A request for a hold ended.
    HoldAnswered {
        /// The engine.
        server: BackendServerId,
        /// The id of the hold.
        hold: SmolStr,
        /// Whether the engine granted the hold; `None` when the call failed, so the hold may exist.
        granted: Option<bool>,
    },
    /// A release of a hold ended.
    HoldReleased {
        /// The engine.
        server: BackendServerId,
        /// The id of the hold.
        hold: SmolStr,
        /// Whether the engine confirmed that it no longer has the hold.
        confirmed: bool,
    },
    /// The operator or the platform asked the process to stop.
    Shutdown,
    /// Time has passed. Expected every 100 ms.
    Tick,
}

/// The number that the edge gives to a peer's call while the call waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What to read from a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Observation {
    /// The load: `GET /load`.
    Load,
    /// The loaded models and the role of an engine: `GET /state`.
    State,
    /// The holds on an engine: `GET /holds`.
    Holds,
    /// The changes of an engine's prefix cache: `GET /events`.
    CacheEvents {
        /// The number of the first event to read.
        after: u64,
    },
}

/// The sender of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// A caller, identified by the digest of its API key.
    Caller(Digest),
    /// A peer that authenticated the caller and forwards a request with a ticket of this instance.
    Peer {
        /// The peer.
        instance: InstanceId,
        /// The caller's organisation.
        organisation: OrganisationId,
        /// The caller.
        caller: CallerId,
    },
}

/// The model or service that a request is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Target {
    /// A generation by a model.
    Model {
        /// The model.
        model: ModelId,
        /// The adapter; `None` for the model without one.
        adapter: Option<AdapterId>,
    },
    /// A call of a plain service.
    Route(RouteId),
}

/// The priority of a request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum Priority {
    /// No user waits for the answer.
    Batch,
    /// A user waits for the answer.
    #[default]
    Interactive,
}

/// A request as it arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewRequest {
    /// The id, assigned by the edge.
    pub id: RequestId,
    /// The sender.
    pub source: Source,
    /// The model or service that the request is for.
    pub target: Target,
    /// The encoded ticket, not verified yet.
    pub ticket: Option<SmolStr>,
    /// The timeout that the caller set; `None` for the default.
    pub timeout: Option<Millis>,
    /// The priority.
    pub priority: Priority,
    /// Whether the request is idempotent according to the caller; `None` if the caller doesn't say.
    pub idempotent: Option<bool>,
    /// The estimated length of the prompt, or of the body for a plain service.
    pub prompt: Tokens,
    /// The most tokens to generate; zero for a plain service.
    pub max_output: Tokens,
    /// Prefixes of the prompt, the shortest first, for the match with prefix caches.
    pub prefixes: Vec<Prefix>,
    /// The hash of the body, which is part of the request's crash signature.
    pub body_hash: u64,
}

/// The progress of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The connection is open and the next step is to write the first byte.
    Sending,
    /// The backend server started to answer.
    Started,
    /// The first token reached the caller's connection.
    FirstToken,
    /// The attempt ended. No further progress follows.
    Ended(AttemptEnd),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer was delivered to the caller.
    Completed {
        /// The number of generated tokens; zero for a plain service.
        output: Tokens,
        /// The answer of a plain service, kept for resends with the same ticket.
        answer: Option<Arc<RecordedAnswer>>,
    },
    /// The attempt failed before a byte was sent. Contains the cause.
    NotSent(SmolStr),
    /// The backend server refused the request before it started to run it.
    Refused(Refusal),
    /// The backend server answered with an error. Contains the cause.
    Failed(SmolStr),
    /// The connection was lost or timed out, and the stream can't be resumed.
    Broken {
        /// Whether a part of the answer has reached the caller.
        delivered: bool,
        /// The error text.
        cause: SmolStr,
    },
    /// The core cancelled the attempt.
    Cancelled,
}

/// Why a backend server refused a request before it started to run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The server is leaving and accepts no new work.
    Leaving,
    /// The server has no free capacity.
    Full,
    /// The deadline of the request has passed.
    Deadline,
    /// The engine has not loaded the model.
    NotLoaded,
}

/// The platform's instance list, after validation by the edge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceList {
    /// The entry instances.
    pub entry_instances: Vec<ListedInstance>,
    /// The backend servers.
    pub backend_servers: Vec<ListedServer>,
}

/// Whether an instance or a backend server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Lifecycle {
    /// It accepts new work.
    Live,
    /// It finishes the work that it has and accepts no more.
    Leaving,
}

/// An entry instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// The id.
    pub id: InstanceId,
    /// The availability zone.
    pub zone: ZoneId,
    /// The address of the peer protocols.
    pub peer_addr: SocketAddr,
    /// Whether it accepts new work.
    pub state: Lifecycle,
}

/// A backend server in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// The id.
    pub id: BackendServerId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The availability zone.
    pub zone: ZoneId,
    /// The address.
    pub addr: SocketAddr,
    /// Whether it accepts new work.
    pub state: Lifecycle,
}

/// A load report of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// The server.
    pub server: BackendServerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it accepts new work.
    pub state: Lifecycle,
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that wait at the server.
    pub queued: u32,
    /// Prompt tokens that wait for their prefill.
    pub queued_prefill: Tokens,
    /// KV cache memory in use.
    pub memory_used: Tokens,
    /// KV cache memory of the engine, used or free.
    pub memory: Tokens,
    /// The age of the load data when the report arrived.
    pub age: Millis,
}
