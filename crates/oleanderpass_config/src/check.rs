//! Check a parsed document and collect all of its semantic errors.

use std::fmt::Display;
use std::str::FromStr;

use indexmap::IndexMap;
use indexmap::IndexSet;
use oleanderpass_proto::environment as raw;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::AdapterId;
use oleanderpass_types::id::CallerId;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::ModelId;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::RouteId;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::size::Tokens;
use smol_str::SmolStr;
use strum::VariantNames;

use crate::canonical::canonical_json;
use crate::canonical::digest;
use crate::document::Defaults;
use crate::document::Document;
use crate::document::Environment;
use crate::document::Limits;
use crate::document::MAX_DOCUMENT_BYTES;
use crate::document::Model;
use crate::document::Organisation;
use crate::document::OrganisationClass;
use crate::document::Route;
use crate::document::Service;
use crate::document::ServiceKind;
use crate::document::TicketRule;
use crate::error::DocumentError;
use crate::error::DocumentErrors;

/// The value of `defaults.timeout_ms` when the document sets none.
const DEFAULT_TIMEOUT: Millis = Millis::from_secs(60);

/// The value of `defaults.max_timeout_ms` when the document sets none.
const DEFAULT_MAX_TIMEOUT: Millis = Millis::from_secs(3_600);

/// The largest `defaults.max_timeout_ms` that a document may set. Callers may send at most
/// 3,600,000 ms.
const MAX_TIMEOUT_CEILING: Millis = Millis::from_secs(3_600);

/// The value of `defaults.long_prompt_tokens` when the document sets none.
const DEFAULT_LONG_PROMPT: Tokens = Tokens::new(32_768);

/// The errors of one document that were found so far.
#[derive(Default)]
struct Checker {
    errors: Vec<DocumentError>,
}

impl Checker {
    fn add_error(&mut self, path: impl Display, cause: impl Display) {
        let path = SmolStr::new(path.to_string());
        let cause = SmolStr::new(cause.to_string());
        self.errors.push(DocumentError {
            path,
            line: None,
            cause,
        });
    }

    /// Parse a text, or record why it is invalid and return `None`.
    fn parse<T: FromStr<Err: Display>>(&mut self, path: impl Display, text: &str) -> Option<T> {
        text.parse()
            .map_err(|error| self.add_error(path, error))
            .ok()
    }

    /// Parse the name of an enum value, or record the valid names and return `None`.
    fn parse_variant<T: FromStr + VariantNames>(
        &mut self,
        path: impl Display,
        text: &str,
    ) -> Option<T> {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let names = T::VARIANTS.join("`, `");
            self.add_error(path, format_args!("`{text}` isn't one of `{names}`"));
        }
        parsed
    }

    /// Record an error unless the condition holds.
    fn require(&mut self, condition: bool, path: impl Display, cause: impl Display) {
        if !condition {
            self.add_error(path, cause);
        }
    }
}

impl TryFrom<&raw::Document> for Document {
    type Error = DocumentErrors;

    fn try_from(raw: &raw::Document) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let canonical = canonical_json(raw).unwrap_or_default();
        checker.require(
            !canonical.is_empty() && canonical.len() <= MAX_DOCUMENT_BYTES,
            "document",
            format_args!("the canonical form is larger than {MAX_DOCUMENT_BYTES} bytes"),
        );
        checker.require(raw.generation > 0, "generation", "must be at least 1");
        let environment = check_environment(&mut checker, raw.environment.as_ref());
        let defaults = check_defaults(&mut checker, raw.defaults.unwrap_or_default());
        let services = check_services(&mut checker, &raw.services);
        let models = check_models(&mut checker, &raw.models, &services);
        let routes = check_routes(&mut checker, &raw.routes, &services, &defaults);
        let organisations = check_organisations(&mut checker, &raw.organisations, &models, &routes);
        let callers = index_callers(&mut checker, &raw.organisations);
        if !checker.errors.is_empty() {
            return Err(DocumentErrors(checker.errors));
        }
        Ok(Document {
            generation: Generation::new(raw.generation),
            digest: digest(&canonical),
            environment,
            defaults,
            services,
            models,
            routes,
            organisations,
            callers,
        })
    }
}

/// Return `default` for 0, which stands for an absent value.
fn or_default(value: u64, default: u64) -> u64 {
    if value == 0 { default } else { value }
}

/// Return `None` for the default value, which stands for an absent one.
fn non_default<T: Default + PartialEq>(value: T) -> Option<T> {
    (value != T::default()).then_some(value)
}

fn check_defaults(checker: &mut Checker, raw: raw::Defaults) -> Defaults {
    let defaults = Defaults {
        timeout: Millis::new(or_default(raw.timeout_ms, DEFAULT_TIMEOUT.get())),
        max_timeout: Millis::new(or_default(raw.max_timeout_ms, DEFAULT_MAX_TIMEOUT.get())),
        long_prompt: Tokens::new(or_default(
            raw.long_prompt_tokens,
            DEFAULT_LONG_PROMPT.get(),
        )),
    };
    checker.require(
        defaults.max_timeout <= MAX_TIMEOUT_CEILING,
        "defaults.max_timeout_ms",
        format_args!("must be at most {}", MAX_TIMEOUT_CEILING.get()),
    );
    checker.require(
        defaults.timeout <= defaults.max_timeout,
        "defaults.timeout_ms",
        "must be at most max_timeout_ms",
    );
    defaults
}

fn check_environment(checker: &mut Checker, raw: Option<&raw::Environment>) -> Environment {
    let raw = raw.cloned().unwrap_or_default();
    checker.require(!raw.name.is_empty(), "environment.name", "is missing");
    checker.require(
        !raw.zones.is_empty(),
        "environment.zones",
        "name at least one zone",
    );
    let mut zones = IndexSet::new();
    for (index, zone) in raw.zones.iter().enumerate() {
        let path = format!("environment.zones[{index}]");
        if let Some(id) = checker.parse(&path, zone) {
            let added = zones.insert(id);
            checker.require(added, path, "appears twice");
        }
    }
    let loads = raw
        .weight_store
        .unwrap_or_default()
        .concurrent_loads_per_zone;
    Environment {
        name: raw.name.into(),
        zones,
        concurrent_loads_per_zone: loads.max(1),
    }
}

fn check_services(checker: &mut Checker, raw: &[raw::Service]) -> IndexMap<ServiceId, Service> {
    let mut services = IndexMap::new();
    for (index, service) in raw.iter().enumerate() {
        let path = format!("services[{index}]");
        let id: Option<ServiceId> = checker.parse(format_args!("{path}.id"), &service.id);
        let kind = checker.parse_variant(format_args!("{path}.kind"), &service.kind);
        let (Some(id), Some(kind)) = (id, kind) else {
            continue;
        };
        if kind == ServiceKind::Engine {
            let complete = service.memory_tokens > 0 && service.prefill_tokens_per_s > 0;
            checker.require(
                complete,
                &path,
                "an engine needs memory_tokens and prefill_tokens_per_s",
            );
        }
        let checked = Service {
            kind,
            checks_fencing: service.checks_fencing,
            checks_deadline: service.checks_deadline,
            memory: Tokens::new(service.memory_tokens),
            prefill_per_s: Tokens::new(service.prefill_tokens_per_s),
            token_time: Millis::new(service.token_ms),
            concurrent_requests: service.concurrent_requests.max(1),
        };
        let added = services.insert(id, checked).is_none();
        checker.require(added, format_args!("{path}.id"), "appears twice");
    }
    services
}

fn check_service_reference(
    checker: &mut Checker,
    path: &str,
    id: &str,
    kind: ServiceKind,
    services: &IndexMap<ServiceId, Service>,
) -> Option<ServiceId> {
    let path = format!("{path}.service");
    let id: ServiceId = checker.parse(&path, id)?;
    match services.get(&id) {
        Some(service) if service.kind == kind => return Some(id),
        Some(_) => checker.add_error(path, format_args!("`{id}` is not of kind `{kind}`")),
        None => checker.add_error(path, format_args!("there is no service `{id}`")),
    }
    None
}

fn check_models(
    checker: &mut Checker,
    raw: &[raw::Model],
    services: &IndexMap<ServiceId, Service>,
) -> IndexMap<ModelId, Model> {
    let mut models = IndexMap::new();
    for (index, model) in raw.iter().enumerate() {
        let path = format!("models[{index}]");
        let id: Option<ModelId> = checker.parse(format_args!("{path}.id"), &model.id);
        let service = check_service_reference(
            checker,
            &path,
            &model.service,
            ServiceKind::Engine,
            services,
        );
        checker.require(
            !model.version.is_empty(),
            format_args!("{path}.version"),
            "is missing",
        );
        checker.require(
            model.max_prompt_tokens > 0,
            format_args!("{path}.max_prompt_tokens"),
            "must be at least 1",
        );
        let mut adapters = IndexMap::new();
        for (number, adapter) in model.adapters.iter().enumerate() {
            let path = format!("{path}.adapters[{number}]");
            checker.require(
                !adapter.version.is_empty(),
                format_args!("{path}.version"),
                "is missing",
            );
            if let Some(id) = checker.parse::<AdapterId>(&path, &adapter.id) {
                let added = adapters
                    .insert(id, adapter.version.as_str().into())
                    .is_none();
                checker.require(added, path, "appears twice");
            }
        }
        let (Some(id), Some(service)) = (id, service) else {
            continue;
        };
        let checked = Model {
            version: model.version.as_str().into(),
            service,
            engines_per_zone: non_default(model.engines_per_zone),
            max_prompt: Tokens::new(model.max_prompt_tokens),
            adapters,
        };
        let added = models.insert(id, checked).is_none();
        checker.require(added, format_args!("{path}.id"), "appears twice");
    }
    models
}

fn check_routes(
    checker: &mut Checker,
    raw: &[raw::Route],
    services: &IndexMap<ServiceId, Service>,
    defaults: &Defaults,
) -> IndexMap<RouteId, Route> {
    let mut routes = IndexMap::new();
    for (index, route) in raw.iter().enumerate() {
        let path = format!("routes[{index}]");
        let id: Option<RouteId> = checker.parse(format_args!("{path}.id"), &route.id);
        let service =
            check_service_reference(checker, &path, &route.service, ServiceKind::Plain, services);
        let ticket = if route.ticket.is_empty() {
            Some(TicketRule::Required)
        } else {
            checker.parse_variant(format_args!("{path}.ticket"), &route.ticket)
        };
        checker.require(
            route.ticket.is_empty() || !route.idempotent,
            format_args!("{path}.ticket"),
            "an idempotent route takes no ticket",
        );
        checker.require(
            route.timeout_ms <= defaults.max_timeout.get(),
            format_args!("{path}.timeout_ms"),
            format_args!("must be at most {}", defaults.max_timeout.get()),
        );
        let (Some(id), Some(service), Some(ticket)) = (id, service, ticket) else {
            continue;
        };
        let checked = Route {
            service,
            idempotent: route.idempotent,
            ticket,
            timeout: non_default(route.timeout_ms).map(Millis::new),
        };
        let added = routes.insert(id, checked).is_none();
        checker.require(added, format_args!("{path}.id"), "appears twice");
    }
    routes
}

fn check_references<T, V>(
    checker: &mut Checker,
    path: &str,
    raw: &[String],
    known: &IndexMap<T, V>,
) -> IndexSet<T>
where
    T: FromStr<Err: Display> + Display + Eq + std::hash::Hash,
{
    let mut references = IndexSet::new();
    for (index, text) in raw.iter().enumerate() {
        let path = format!("{path}[{index}]");
        let Some(id) = checker.parse::<T>(&path, text) else {
            continue;
        };
        checker.require(
            known.contains_key(&id),
            &path,
            format_args!("`{id}` is not defined"),
        );
        checker.require(references.insert(id), path, "appears twice");
    }
    references
}

fn check_organisations(
    checker: &mut Checker,
    raw: &[raw::Organisation],
    models: &IndexMap<ModelId, Model>,
    routes: &IndexMap<RouteId, Route>,
) -> IndexMap<OrganisationId, Organisation> {
    let mut organisations = IndexMap::new();
    for (index, organisation) in raw.iter().enumerate() {
        let path = format!("organisations[{index}]");
        let id: Option<OrganisationId> = checker.parse(format_args!("{path}.id"), &organisation.id);
        let class: Option<OrganisationClass> =
            checker.parse_variant(format_args!("{path}.class"), &organisation.class);
        let mut callers = IndexMap::new();
        for (number, caller) in organisation.callers.iter().enumerate() {
            let path = format!("{path}.callers[{number}]");
            let id: Option<CallerId> = checker.parse(format_args!("{path}.id"), &caller.id);
            let key: Option<Digest> =
                checker.parse(format_args!("{path}.key_sha256"), &caller.key_sha256);
            if let (Some(id), Some(key)) = (id, key) {
                let added = callers.insert(id, key).is_none();
                checker.require(added, format_args!("{path}.id"), "appears twice");
            }
        }
        let limits = organisation.limits.unwrap_or_default();
        let models = check_references(
            checker,
            &format!("{path}.models"),
            &organisation.models,
            models,
        );
        let routes = check_references(
            checker,
            &format!("{path}.routes"),
            &organisation.routes,
            routes,
        );
        let (Some(id), Some(class)) = (id, class) else {
            continue;
        };
        let checked = Organisation {
            class,
            limits: Limits {
                requests_per_s: non_default(limits.requests_per_s),
                tokens_per_s: non_default(limits.tokens_per_s),
                concurrent_requests: non_default(limits.concurrent_requests),
            },
            models,
            routes,
            callers,
        };
        let added = organisations.insert(id, checked).is_none();
        checker.require(added, format_args!("{path}.id"), "appears twice");
    }
    organisations
}

/// Index the callers by the digests of their API keys. Two callers with the same key are an error,
/// because requests with it couldn't be attributed to one of them.
fn index_callers(
    checker: &mut Checker,
    raw: &[raw::Organisation],
) -> IndexMap<Digest, (OrganisationId, CallerId)> {
    let mut index = IndexMap::new();
    for (number, organisation) in raw.iter().enumerate() {
        for (position, caller) in organisation.callers.iter().enumerate() {
            // Invalid ids and keys are reported by `check_organisations`.
            let ids = (organisation.id.parse().ok(), caller.id.parse().ok());
            let (Ok(key), (Some(owner), Some(id))) = (caller.key_sha256.parse(), ids) else {
                continue;
            };
            checker.require(
                index.insert(key, (owner, id)).is_none(),
                format_args!("organisations[{number}].callers[{position}].key_sha256"),
                "another caller has the same key",
            );
        }
    }
    index
}
