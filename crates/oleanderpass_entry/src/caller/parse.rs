//! Parse callers' requests into events for the core and work for request tasks.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use http::header::CONTENT_TYPE;
use http::request::Parts;
use hyper::body::Incoming;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::NewRequest;
use oleanderpass_core::event::Source;
use oleanderpass_core::event::Target;
use oleanderpass_types::error::Step;
use oleanderpass_types::id::CallerId;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::id::RouteId;
use oleanderpass_types::size::Bytes as ByteCount;
use oleanderpass_types::size::Tokens;
use serde::Deserialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use xxhash_rust::xxh3::xxh3_64;

use crate::backend::service::ServiceCall;
use crate::caller::body::read_body;
use crate::caller::budget::BudgetShare;
use crate::caller::head::Head;
use crate::caller::openai::AnswerFormat;
use crate::caller::prompt::Interface;
use crate::caller::prompt::Prompt;
use crate::clock::unix_ms;
use crate::generation_sink::GenerationWork;
use crate::peer::forward::ForwardContext;
use crate::request_task::ServiceWork;
use crate::request_task::Work;
use crate::shared::Shared;

/// The path prefix of calls of plain services.
pub const SERVICE_PREFIX: &str = "/svc/";

/// The largest body that is parsed on a thread that also serves connections, in bytes. Parsing it
/// takes about 0.1 ms.
const MAX_INLINE_PARSE_BYTES: usize = 64 << 10;

/// Why a request is refused before it reaches the core.
pub struct Refused {
    /// The step that failed.
    pub step: Step,
    /// The HTTP status.
    pub status: u16,
    /// The cause, as the caller receives it.
    pub cause: SmolStr,
}

impl Refused {
    /// Create a refusal at `step`.
    pub fn new(step: Step, status: u16, cause: impl Into<SmolStr>) -> Self {
        Self {
            step,
            status,
            cause: cause.into(),
        }
    }
}

/// A complete body with its share of the byte budget.
struct ReceivedBody {
    bytes: Bytes,
    share: BudgetShare,
}

/// The body of `POST /v1/tickets`.
#[derive(Deserialize)]
struct TicketBody {
    route: String,
}

/// The result of parsing a caller's request.
pub enum Parsed {
    /// The JSON of an answer that needs neither the core nor a backend server.
    Answer(Bytes),
    /// A request for the core.
    Task(Box<ParsedTask>),
}

/// A parsed request: its event for the core and what its request task needs.
pub struct ParsedTask {
    /// The event that describes the request to the core.
    pub event: Event,
    /// What the request task runs.
    pub work: Work,
    /// The share of the byte budget that the body uses.
    pub share: BudgetShare,
}

/// The owner of an API key.
pub struct CallerIdentity {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The caller.
    pub caller: CallerId,
    /// The class of the organisation, for metrics.
    pub class: &'static str,
}

/// Receive the body of a request within the limits for size, rate and byte budget.
async fn receive_body(shared: &Shared, body: &mut Incoming) -> Result<ReceivedBody, Refused> {
    let mut share = shared.budget.empty_share();
    let limit = usize::try_from(shared.limits.max_body.get()).unwrap_or(usize::MAX);
    let bytes = read_body(body, limit, &mut share)
        .await
        .map_err(|(status, cause)| Refused::new(Step::Read, status, cause))?;
    Ok(ReceivedBody { bytes, share })
}

/// Build the request for the core, with the prompt length estimated from the size of the body. The
/// parsers of generations and service calls then set the fields that depend on the content.
fn new_request(id: &RequestId, head: Head, target: Target, body: &Bytes) -> NewRequest {
    NewRequest {
        id: id.clone(),
        source: Source::Caller(head.key_digest),
        target,
        ticket: head.ticket,
        timeout: head.timeout,
        priority: head.priority,
        idempotent: head.idempotent,
        prompt: Tokens::estimate(ByteCount::new(body.len() as u64)),
        max_output: Tokens::ZERO,
        prefixes: Vec::new(),
        body_hash: xxh3_64(body),
    }
}

/// Receive and parse a generation request.
///
/// # Errors
///
/// Return why the body was refused.
pub async fn parse_generation(
    shared: &Arc<Shared>,
    id: &RequestId,
    head: Head,
    identity: &CallerIdentity,
    interface: Interface,
    body: &mut Incoming,
) -> Result<Parsed, Refused> {
    let body = receive_body(shared, body).await?;
    let prompt = parse_prompt(interface, &body.bytes)
        .await
        .map_err(|cause| Refused::new(Step::Read, 400, cause))?;
    let mut request = new_request(id, head, prompt.target.clone(), &body.bytes);
    request.prompt = prompt.tokens;
    request.max_output = prompt.max_output;
    request.prefixes.clone_from(&prompt.prefixes);
    let format = AnswerFormat {
        interface,
        id: format!("gen-{id}"),
        created: unix_ms() / 1_000,
        model: prompt.model.clone(),
        include_usage: prompt.include_usage,
    };
    let work = GenerationWork {
        prompt,
        format,
        body: body.bytes,
        text: String::new(),
        received_at: shared.clock.now(),
        class: identity.class,
    };
    Ok(Parsed::Task(Box::new(ParsedTask {
        event: Event::Request(Box::new(request)),
        work: Work::Generation(Box::new(work)),
        share: body.share,
    })))
}

/// Parse a prompt. A long one is parsed on the blocking pool, because it takes milliseconds, which
/// would delay the streams that this thread serves.
async fn parse_prompt(interface: Interface, body: &Bytes) -> Result<Prompt, SmolStr> {
    if body.len() <= MAX_INLINE_PARSE_BYTES {
        return Prompt::parse(interface, body);
    }
    let body = body.clone();
    tokio::task::spawn_blocking(move || Prompt::parse(interface, &body))
        .await
        .unwrap_or_else(|_| Err("the prompt could not be parsed".into()))
}

/// Receive and parse a request for a ticket.
///
/// # Errors
///
/// Return why the body was refused.
pub async fn parse_ticket_request(
    shared: &Arc<Shared>,
    id: &RequestId,
    head: Head,
    body: &mut Incoming,
) -> Result<Parsed, Refused> {
    let body = receive_body(shared, body).await?;
    let invalid = |cause: SmolStr| Refused::new(Step::Read, 400, cause);
    let parsed: TicketBody = serde_json::from_slice(&body.bytes)
        .map_err(|error| invalid(format_smolstr!("invalid JSON: {error}")))?;
    let route: RouteId = parsed
        .route
        .parse()
        .map_err(|error| invalid(format_smolstr!("route: {error}")))?;
    Ok(Parsed::Task(Box::new(ParsedTask {
        event: Event::IssueTicket {
            req: id.clone(),
            key: head.key_digest,
            route,
        },
        work: Work::Ticket,
        share: body.share,
    })))
}

/// Receive and parse a call of a plain service.
///
/// # Errors
///
/// Return why the head or the body was refused.
pub async fn parse_service_call(
    shared: &Arc<Shared>,
    id: &RequestId,
    head: Head,
    identity: CallerIdentity,
    parts: &Parts,
    body: &mut Incoming,
) -> Result<Parsed, Refused> {
    let (route, path) = split_route(&parts.uri)?;
    let method = parts.method.clone();
    if method == Method::CONNECT {
        return Err(Refused::new(Step::Read, 405, "wrong method"));
    }
    let content_type: SmolStr = parts
        .headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .into();
    let body = receive_body(shared, body).await?;
    let forward = head.ticket.clone().map(|ticket| ForwardContext {
        ticket,
        organisation: identity.organisation,
        caller: identity.caller,
        route: route.clone(),
        priority: head.priority,
    });
    let call = ServiceCall {
        method,
        path,
        content_type,
        body: body.bytes.clone(),
        record_answer: head.ticket.is_some(),
    };
    let mut request = new_request(id, head, Target::Route(route), &body.bytes);
    // A hash of the body alone would be the same for calls of a route with other paths or methods.
    request.body_hash = hash_call(&call);
    Ok(Parsed::Task(Box::new(ParsedTask {
        event: Event::Request(Box::new(request)),
        work: Work::Service(Box::new(ServiceWork { call, forward })),
        share: body.share,
    })))
}

/// Hash method, path and body of a call. The hash is part of the signature by which the crash
/// evidence of the core recognises a request that is sent again.
pub fn hash_call(call: &ServiceCall) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    hash.update(call.method.as_str().as_bytes());
    hash.update(b" ");
    hash.update(call.path.as_bytes());
    hash.update(b"\n");
    hash.update(&call.body);
    hash.digest()
}

/// Split `/svc/{route}/...` into the route and the path at the service, with the query.
fn split_route(uri: &http::Uri) -> Result<(RouteId, SmolStr), Refused> {
    let rest = uri.path().strip_prefix(SERVICE_PREFIX).unwrap_or_default();
    let (route, path) = rest.split_once('/').unwrap_or((rest, ""));
    let route = route
        .parse()
        .map_err(|error| Refused::new(Step::Read, 404, format_smolstr!("{error}")))?;
    let path = match uri.query() {
        Some(query) => format_smolstr!("/{path}?{query}"),
        None => format_smolstr!("/{path}"),
    };
    Ok((route, path))
}
