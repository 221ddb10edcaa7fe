//! Describe what the edges report to the core.

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
    /// A caller sends a request, or a peer forwards one to the owner of its ticket. Its body is
    /// complete.
    Request(Box<NewRequest>),
    /// A caller asks for a ticket.
    IssueTicket {
        /// The id of the call.
        req: RequestId,
        /// The digest of the caller's API key.
        key: Digest,
        /// The route that the ticket is for.
        route: RouteId,
    },
    /// The caller of a request disconnected. The request task runs on until the core answers it,
    /// because a non-idempotent request is finished for a second use of its ticket.
    CallerGone(RequestId),
    /// An attempt made progress.
    Attempt {
        /// The request.
        req: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// What happened.
        progress: Progress,
    },
    /// The owner of a ticket answered a forwarded request and the answer was relayed.
    ForwardEnded {
        /// The request.
        req: RequestId,
        /// The owner's outcome.
        outcome: Outcome,
    },
    /// A forwarded request ended at this hop without an answer from its owner.
    ForwardFailed {
        /// The request.
        req: RequestId,
        /// What went wrong.
        cause: SmolStr,
    },
    /// A datagram of a peer arrived. Its HMAC is correct.
    PeerPacket {
        /// The sender's address.
        from: SocketAddr,
        /// The content.
        packet: Arc<peer::Packet>,
    },
    /// A connection to a peer could not be opened or broke.
    PeerUnreachable(InstanceId),
    /// The text of a document was read from the platform.
    DocumentText(Arc<str>),
    /// A document was read from the platform and parsed.
    Document(Arc<environment::Document>),
    /// The platform holds no later document than the one that was asked for.
    DocumentUnchanged,
    /// The platform holds a document that can't be parsed.
    DocumentMalformed {
        /// What is wrong.
        cause: SmolStr,
    },
    /// The platform did not answer a read of the document.
    DocumentReadFailed {
        /// What went wrong.
        cause: SmolStr,
    },
    /// A peer answered [`crate::action::Action::FetchDocument`].
    DocumentFetched {
        /// The peer.
        from: InstanceId,
        /// The answer.
        answer: Arc<peer::FetchDocumentResponse>,
    },
    /// A peer did not answer [`crate::action::Action::FetchDocument`].
    DocumentFetchFailed {
        /// The peer.
        from: InstanceId,
        /// What went wrong.
        cause: SmolStr,
    },
    /// A peer asks for a document. Its proof is correct.
    FetchDocumentCall {
        /// The call, numbered by the edge.
        call: CallId,
        /// What the peer asks for.
        query: Arc<peer::FetchDocumentRequest>,
    },
    /// A peer asks its organisations' home instance for quota. Its proof is correct.
    LeaseQuotaCall {
        /// The call, numbered by the edge.
        call: CallId,
        /// The asking instance.
        from: InstanceId,
        /// What it would use.
        demands: Vec<peer::QuotaDemand>,
    },
    /// A home instance answered [`crate::action::Action::LeaseQuota`].
    QuotaLeased {
        /// The home instance.
        home: InstanceId,
        /// The leases.
        leases: Vec<peer::QuotaLease>,
    },
    /// A home instance did not answer [`crate::action::Action::LeaseQuota`].
    QuotaLeaseFailed {
        /// The home instance.
        home: InstanceId,
    },
    /// The platform's instance list was read.
    InstanceList(Arc<InstanceList>),
    /// The platform did not answer a read of the instance list.
    InstanceListFailed {
        /// What went wrong.
        cause: SmolStr,
    },
    /// A backend server reported its load.
    LoadReport(ServerLoad),
    /// An engine reported its models and role.
    EngineState(Box<engine::EngineState>),
    /// An engine listed its holds.
    HoldList {
        /// The engine.
        server: BackendServerId,
        /// The holds.
        list: Box<engine::HoldList>,
    },
    /// An engine listed changes of its prefix cache.
    CacheEvents {
        /// The engine.
        server: BackendServerId,
        /// The changes.
        events: Box<engine::CacheEvents>,
    },
    /// A backend server did not answer an [`crate::action::Action::Observe`].
    ObserveFailed {
        /// The server.
        server: BackendServerId,
        /// What the server was asked for.
        observation: Observation,
        /// What went wrong.
        cause: SmolStr,
    },
    /// An engine answered an order.
    OrderAnswered {
        /// The engine.
        server: BackendServerId,
        /// The order.
        order: Box<engine::Order>,
        /// The answer; `None` when the engine gave none.
        answer: Option<engine::OrderAnswer>,
    },
    /// An engine answered a request for a hold.
    HoldAnswered {
        /// The engine.
        server: BackendServerId,
        /// The hold.
        hold: SmolStr,
        /// Whether the engine granted the hold; `None` when it gave no answer.
        granted: Option<bool>,
    },
    /// An engine answered the release of a hold.
    HoldReleased {
        /// The engine.
        server: BackendServerId,
        /// The hold.
        hold: SmolStr,
        /// The engine confirmed that it no longer has the hold.
        confirmed: bool,
    },
    /// The operator or the platform stops the process.
    Shutdown,
    /// Time has passed.
    Tick,
}

/// A call of a peer that waits for an answer, numbered by the edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What to ask a backend server about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Observation {
    /// Its load: `GET /load`.
    Load,
    /// Its models and role: `GET /state`.
    State,
    /// Its holds: `GET /holds`.
    Holds,
    /// The changes of its prefix cache: `GET /events`.
    CacheEvents {
        /// The first event to read.
        after: u64,
    },
}

/// Where a request comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// A caller with the digest of its API key.
    Caller(Digest),
    /// A peer that checked the caller and forwards a ticket.
    Peer {
        /// The forwarding instance.
        instance: InstanceId,
        /// The caller's organisation.
        organisation: OrganisationId,
        /// The caller.
        caller: CallerId,
    },
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Target {
    /// A generation by a model.
    Model {
        /// The model.
        model: ModelId,
        /// The adapter.
        adapter: Option<AdapterId>,
    },
    /// A call of a plain service.
    Route(RouteId),
}

/// How urgent a request is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum Priority {
    /// Work that may wait.
    Batch,
    /// A person waits for the answer.
    #[default]
    Interactive,
}

/// A request as it arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewRequest {
    /// The id, drawn by the edge.
    pub id: RequestId,
    /// Where the request comes from.
    pub source: Source,
    /// What the request asks for.
    pub target: Target,
    /// The ticket, as sent.
    pub ticket: Option<SmolStr>,
    /// The time that the caller gives.
    pub timeout: Option<Millis>,
    /// How urgent the request is.
    pub priority: Priority,
    /// What the caller says of running it twice.
    pub idempotent: Option<bool>,
    /// The estimated length of the prompt.
    pub prompt: Tokens,
    /// The most tokens to generate.
    pub max_output: Tokens,
    /// Prefixes of the prompt, the shortest first.
    pub prefixes: Vec<Prefix>,
    /// The hash of the body.
    pub body_hash: u64,
}

/// The progress of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The connection is open and the first byte is about to be written.
    Sending,
    /// The backend server began to answer.
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
        /// The generated tokens.
        output: Tokens,
        /// The answer, kept for a second use of the ticket.
        answer: Option<Arc<RecordedAnswer>>,
    },
    /// No byte was sent.
    NotSent(SmolStr),
    /// The backend server refused before start.
    Refused(Refusal),
    /// The backend server answered with an error.
    Failed(SmolStr),
    /// The connection broke or went silent, and the stream can't be resumed.
    Broken {
        /// A part of the answer has reached the caller.
        delivered: bool,
        /// What went wrong.
        cause: SmolStr,
    },
    /// The core cancelled the attempt.
    Cancelled,
}

/// Why a backend server refused a request before start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The server is leaving.
    Leaving,
    /// The server has no room.
    Full,
    /// The deadline has passed.
    Deadline,
    /// The model isn't loaded.
    NotLoaded,
}

/// The checked instance list of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceList {
    /// The entry instances.
    pub entry_instances: Vec<ListedInstance>,
    /// The backend servers.
    pub backend_servers: Vec<ListedServer>,
}

/// Whether an instance or a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Lifecycle {
    /// It takes new work.
    Live,
    /// It finishes what it has.
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
    /// Whether it takes new work.
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
    /// Whether it takes new work.
    pub state: Lifecycle,
}

/// The load that a backend server reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// The server.
    pub server: BackendServerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub state: Lifecycle,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Prompt tokens that wait for their prefill.
    pub queued_prefill: Tokens,
    /// KV memory in use.
    pub memory_used: Tokens,
    /// KV memory in all.
    pub memory: Tokens,
    /// The age of the figures on arrival.
    pub age: Millis,
}
