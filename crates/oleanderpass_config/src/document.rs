//! Define the types of a checked environment document.

use indexmap::IndexMap;
use indexmap::IndexSet;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::AdapterId;
use oleanderpass_types::id::CallerId;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::ModelId;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::RouteId;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::id::ZoneId;
use oleanderpass_types::size::Tokens;
use smol_str::SmolStr;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;
use strum::VariantNames;

pub use crate::parse::parse_yaml;

/// The largest accepted document, in bytes. Source: the configuration service's value limit.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// A checked environment document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// The generation, which rises with each promotion.
    pub generation: Generation,
    /// The SHA-256 of the canonical form.
    pub digest: Digest,
    /// The only section that differs between trial and production.
    pub environment: Environment,
    /// The default and maximum timeout of requests, and the length of a long prompt.
    pub defaults: Defaults,
    /// The services: groups of equal backend servers.
    pub services: IndexMap<ServiceId, Service>,
    /// The models that engines serve.
    pub models: IndexMap<ModelId, Model>,
    /// The routes to plain services.
    pub routes: IndexMap<RouteId, Route>,
    /// The organisations with their limits, permissions and callers.
    pub organisations: IndexMap<OrganisationId, Organisation>,
    /// The callers of all organisations by the SHA-256 of their API key.
    pub callers: IndexMap<Digest, (OrganisationId, CallerId)>,
}

/// The section of a document that differs between trial and production.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Environment {
    /// The name, for example `production`.
    pub name: SmolStr,
    /// The availability zones; at least one.
    pub zones: IndexSet<ZoneId>,
    /// The most loads from the weight store that run at the same time in one zone; at least 1.
    pub concurrent_loads_per_zone: u32,
}

/// The default and maximum timeout of requests, and the length of a long prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Defaults {
    /// The timeout of a request when neither the request nor its route sets one.
    pub timeout: Millis,
    /// The upper bound on the timeout of a request; a longer one in a request is shortened to it.
    pub max_timeout: Millis,
    /// The length above which a prompt is long.
    pub long_prompt: Tokens,
}

/// The kind of the servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines.
    Engine,
    /// Workers of a plain service, which doesn't generate.
    Plain,
}

/// A group of equal backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The kind of all servers in the group.
    pub kind: ServiceKind,
    /// The servers refuse an order with an old fencing number.
    pub checks_fencing: bool,
    /// The servers refuse a request after its deadline.
    pub checks_deadline: bool,
    /// The KV cache memory of one engine; at least 1 for an engine.
    pub memory: Tokens,
    /// The tokens that one engine prefills per second; at least 1 for an engine.
    pub prefill_per_s: Tokens,
    /// The time between two generated tokens of a request in a full batch. Source: `token_ms`; 0 if
    /// the document sets none.
    pub token_time: Millis,
    /// The requests that one server runs at the same time; at least 1.
    pub concurrent_requests: u32,
}

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// The version of the model to serve.
    pub version: SmolStr,
    /// The service whose engines hold the model.
    pub service: ServiceId,
    /// The number of engines in each zone that hold the model; `None` means all of the service.
    pub engines_per_zone: Option<u32>,
    /// The longest accepted prompt.
    pub max_prompt: Tokens,
    /// The adapters of the model with the version of each.
    pub adapters: IndexMap<AdapterId, SmolStr>,
}

/// Whether a non-idempotent route needs a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub enum TicketRule {
    /// A request without a ticket is refused.
    Required,
    /// A request without a ticket is accepted and dispatched at most once. A resend by the caller
    /// counts as a new request, so it may run a second time.
    Optional,
}

/// A route to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The service whose servers run the requests.
    pub service: ServiceId,
    /// Whether running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Whether a request needs a ticket; has no meaning for an idempotent route.
    pub ticket: TicketRule,
    /// The timeout of a request that sets none; `None` means [`Defaults::timeout`].
    pub timeout: Option<Millis>,
}

/// The class of an organisation, which labels its metrics.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    VariantNames,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum OrganisationClass {
    /// A large organisation.
    Large,
    /// An ordinary organisation.
    Standard,
    /// A small organisation.
    Small,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// The class, which labels the metrics.
    pub class: OrganisationClass,
    /// The limits over the whole fleet, for all callers together.
    pub limits: Limits,
    /// The models that the callers may use.
    pub models: IndexSet<ModelId>,
    /// The routes that the callers may use.
    pub routes: IndexSet<RouteId>,
    /// The callers with the SHA-256 of their API key.
    pub callers: IndexMap<CallerId, Digest>,
}

/// The limits of an organisation, summed over the whole fleet; `None` means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Requests per second.
    pub requests_per_s: Option<u64>,
    /// Prompt tokens and generated tokens together, per second.
    pub tokens_per_s: Option<u64>,
    /// Requests that run at the same time.
    pub concurrent_requests: Option<u32>,
}
