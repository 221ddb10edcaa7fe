//! Represent a checked environment document.

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
    /// The generation.
    pub generation: Generation,
    /// The digest of the canonical form.
    pub digest: Digest,
    /// The environment.
    pub environment: Environment,
    /// Values for requests that name none.
    pub defaults: Defaults,
    /// The groups of backend servers.
    pub services: IndexMap<ServiceId, Service>,
    /// The models.
    pub models: IndexMap<ModelId, Model>,
    /// The routes to plain services.
    pub routes: IndexMap<RouteId, Route>,
    /// The organisations.
    pub organisations: IndexMap<OrganisationId, Organisation>,
    /// The callers by the digest of their API key.
    pub callers: IndexMap<Digest, (OrganisationId, CallerId)>,
}

/// The section of a document that differs between trial and production.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Environment {
    /// The name.
    pub name: SmolStr,
    /// The availability zones.
    pub zones: IndexSet<ZoneId>,
    /// Loads from the weight store that may run at the same time in one zone.
    pub concurrent_loads_per_zone: u32,
}

/// Values for requests that name none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Defaults {
    /// The time for a request.
    pub timeout: Millis,
    /// The longest accepted time for a request.
    pub max_timeout: Millis,
    /// Prompts longer than this are long.
    pub long_prompt: Tokens,
}

/// What the servers of a service are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines.
    Engine,
    /// Workers of a plain service.
    Plain,
}

/// A group of equal backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// What the servers are.
    pub kind: ServiceKind,
    /// The servers refuse an order with an old fencing number.
    pub checks_fencing: bool,
    /// The servers refuse a request after its deadline.
    pub checks_deadline: bool,
    /// The KV memory of one engine.
    pub memory: Tokens,
    /// The tokens that one engine prefills in a second.
    pub prefill_per_s: Tokens,
    /// The time between generated tokens at a full batch.
    pub token_time: Millis,
    /// The requests that one server runs at the same time.
    pub concurrent_requests: u32,
}

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// The version to serve.
    pub version: SmolStr,
    /// The service whose engines hold the model.
    pub service: ServiceId,
    /// The engines that hold the model, in each zone; `None` means all.
    pub engines_per_zone: Option<u32>,
    /// The longest accepted prompt.
    pub max_prompt: Tokens,
    /// The adapters with their versions.
    pub adapters: IndexMap<AdapterId, SmolStr>,
}

/// Whether a non-idempotent route needs a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub enum TicketRule {
    /// Requests without a ticket are refused.
    Required,
    /// A request without a ticket is dispatched at most once, but a resend is a new request.
    Optional,
}

/// A route to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The service.
    pub service: ServiceId,
    /// Running a request twice has the effect of running it once.
    pub idempotent: bool,
    /// Whether a request needs a ticket.
    pub ticket: TicketRule,
    /// The time for a request that names none.
    pub timeout: Option<Millis>,
}

/// The class of an organisation: the label of its metrics.
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
    /// The class.
    pub class: OrganisationClass,
    /// The limits over the whole fleet.
    pub limits: Limits,
    /// The models that the callers may use.
    pub models: IndexSet<ModelId>,
    /// The routes that the callers may use.
    pub routes: IndexSet<RouteId>,
    /// The callers.
    pub callers: IndexMap<CallerId, Digest>,
}

/// The limits of an organisation over the whole fleet; `None` means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Requests a second.
    pub requests_per_s: Option<u64>,
    /// Prompt and generated tokens a second.
    pub tokens_per_s: Option<u64>,
    /// Requests at the same time.
    pub concurrent_requests: Option<u32>,
}
