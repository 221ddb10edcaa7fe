//! Handle callers' HTTP requests: check them, start a request task and return its answer.

use std::sync::Arc;

use http::Request;
use http::Response;
use http::header::EXPECT;
use http::request::Parts;
use hyper::body::Incoming;
use oleanderpass_types::error::Party;
use oleanderpass_types::error::Step;
use oleanderpass_types::error::StepError;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::outcome::Outcome;

use crate::caller::answer::AnswerContext;
use crate::caller::answer::CallerBody;
use crate::caller::answer::CallerGuard;
use crate::caller::answer::JSON;
use crate::caller::body::discard;
use crate::caller::head::Head;
use crate::caller::head::TICKET_HEADER;
use crate::caller::openai;
use crate::caller::output::Output;
use crate::caller::parse;
use crate::caller::parse::CallerIdentity;
use crate::caller::parse::Parsed;
use crate::caller::parse::ParsedTask;
use crate::caller::parse::Refused;
use crate::caller::parse::SERVICE_PREFIX;
use crate::caller::prompt::Interface;
use crate::metrics::UNKNOWN_CLASS;
use crate::request_task::RequestTask;
use crate::shared::Shared;

/// Answer one request of a caller.
pub async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Response<CallerBody> {
    let id = shared.next_request_id();
    let (parts, mut body) = req.into_parts();
    match parse(&shared, &id, &parts, &mut body).await {
        Ok(Parsed::Answer(body)) => {
            context(&shared, &id).whole_response(200, JSON, body, Some(Outcome::Completed))
        }
        Ok(Parsed::Task(task)) => run_task(shared, id, *task).await,
        Err(refused) => {
            let answer = refusal_answer(&shared, &id, &parts, refused);
            // With `expect: 100-continue` the caller has not sent the body, so there is nothing to
            // read.
            if !parts.headers.contains_key(EXPECT) {
                discard(&mut body).await;
            }
            answer
        }
    }
}

fn context(shared: &Shared, req: &RequestId) -> AnswerContext {
    AnswerContext {
        req: req.clone(),
        generation: shared.generation(),
    }
}

fn refusal_answer(
    shared: &Shared,
    req: &RequestId,
    parts: &Parts,
    refused: Refused,
) -> Response<CallerBody> {
    // An earlier use of the ticket may have run. Only the instance that issued the ticket knows.
    let outcome = if parts.headers.contains_key(TICKET_HEADER) {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    };
    shared.metrics.count_refused(refused.status);
    tracing::info!(%req, step = %refused.step, status = refused.status, cause = %refused.cause, "request refused");
    let error = StepError::new(refused.step, Party::Caller, refused.cause);
    let mut answer = context(shared, req).error_response(refused.status, outcome, &error);
    // The rest of the body may still arrive, so the connection can't carry another request.
    let close = http::HeaderValue::from_static("close");
    answer.headers_mut().insert(http::header::CONNECTION, close);
    answer
}

/// Start the request task and wait for the head of its answer. When the caller disconnects, hyper
/// drops this future or the body of the answer, and with it the guard.
async fn run_task(shared: Arc<Shared>, req: RequestId, parsed: ParsedTask) -> Response<CallerBody> {
    let ParsedTask { event, work, share } = parsed;
    let (guard, caller_gone) = CallerGuard::channel();
    let (output, answer) = Output::for_caller();
    let commands = shared.core.open_request(req.clone(), event);
    let task = RequestTask {
        shared: Arc::clone(&shared),
        req: req.clone(),
        commands,
        caller_gone,
        output,
        work,
        share,
    };
    tokio::spawn(task.run());
    match answer.await {
        Ok(mut answer) => {
            answer.body_mut().set_guard(guard);
            answer
        }
        Err(_) => {
            let error = StepError::new(Step::Queue, Party::Local, "the instance has stopped");
            context(&shared, &req).error_response(503, Outcome::Unknown, &error)
        }
    }
}

/// Check head and API key, and parse the request by its method and path.
async fn parse(
    shared: &Arc<Shared>,
    id: &RequestId,
    parts: &Parts,
    body: &mut Incoming,
) -> Result<Parsed, Refused> {
    let head = Head::try_from(&parts.headers).map_err(|(status, cause)| {
        let step = if status == 401 {
            Step::Authenticate
        } else {
            Step::Read
        };
        Refused::new(step, status, cause)
    })?;
    let identity = authenticate(shared, &head)?;
    let path = parts.uri.path();
    match (parts.method.as_str(), path) {
        ("POST", "/v1/chat/completions") => {
            parse::parse_generation(shared, id, head, &identity, Interface::Chat, body).await
        }
        ("POST", "/v1/completions") => {
            parse::parse_generation(shared, id, head, &identity, Interface::Completion, body).await
        }
        ("POST", "/v1/tickets") => parse::parse_ticket_request(shared, id, head, body).await,
        ("GET", "/v1/models") => openai::model_list(&shared.snapshot.borrow(), &head.key_digest)
            .map(Parsed::Answer)
            .ok_or_else(|| Refused::new(Step::Admit, 503, "no document is in force")),
        (_, "/v1/chat/completions" | "/v1/completions" | "/v1/tickets" | "/v1/models") => {
            Err(Refused::new(Step::Read, 405, "wrong method"))
        }
        (_, path) if path.starts_with(SERVICE_PREFIX) => {
            parse::parse_service_call(shared, id, head, identity, parts, body).await
        }
        _ => Err(Refused::new(Step::Read, 404, "unknown path")),
    }
}

/// Look up the owner of the API key. This happens before the body is read, so that callers without
/// a valid key can't use up the byte budget.
fn authenticate(shared: &Shared, head: &Head) -> Result<CallerIdentity, Refused> {
    let snapshot = shared.snapshot.borrow();
    let Some(document) = &snapshot.document else {
        return Err(Refused::new(Step::Admit, 503, "no document is in force"));
    };
    let Some((organisation, caller)) = document.callers.get(&head.key_digest) else {
        return Err(Refused::new(Step::Authenticate, 401, "unknown API key"));
    };
    let class = document
        .organisations
        .get(organisation)
        .map_or(UNKNOWN_CLASS, |organisation| organisation.class.into());
    Ok(CallerIdentity {
        organisation: organisation.clone(),
        caller: caller.clone(),
        class,
    })
}
