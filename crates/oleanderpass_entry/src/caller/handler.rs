//! Turn a caller's HTTP request into a request task.

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
use crate::caller::head::TICKET;
use crate::caller::openai;
use crate::caller::output::Output;
use crate::caller::parse;
use crate::caller::parse::CallerNames;
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
            context(&shared, &id).whole(200, JSON, body, Some(Outcome::Completed))
        }
        Ok(Parsed::Task(task)) => start(shared, id, *task).await,
        Err(refused) => {
            let answer = refuse(&shared, &id, &parts, refused);
            // A caller that waits for `100 Continue` has not sent the body.
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

fn refuse(
    shared: &Shared,
    req: &RequestId,
    parts: &Parts,
    refused: Refused,
) -> Response<CallerBody> {
    // An earlier use of the ticket may have run, and only the ticket's owner knows.
    let outcome = if parts.headers.contains_key(TICKET) {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    };
    shared.metrics.count_refused(refused.status);
    tracing::info!(%req, step = %refused.step, status = refused.status, cause = %refused.cause, "request refused");
    let error = StepError::new(refused.step, Party::Caller, refused.cause);
    let mut answer = context(shared, req).error(refused.status, outcome, &error);
    // The rest of the body may still be under way, so the connection can't be used again.
    let close = http::HeaderValue::from_static("close");
    answer.headers_mut().insert(http::header::CONNECTION, close);
    answer
}

/// Start the request task and wait for the head of its answer. A caller that disconnects drops
/// this future or the answer's body, and with it the guard.
async fn start(shared: Arc<Shared>, req: RequestId, parsed: ParsedTask) -> Response<CallerBody> {
    let ParsedTask { event, work, share } = parsed;
    let (guard, caller_gone) = CallerGuard::channel();
    let (output, answer) = Output::caller();
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
            context(&shared, &req).error(503, Outcome::Unknown, &error)
        }
    }
}

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
    let names = authenticate(shared, &head)?;
    let path = parts.uri.path();
    match (parts.method.as_str(), path) {
        ("POST", "/v1/chat/completions") => {
            parse::generation(shared, id, head, &names, Interface::Chat, body).await
        }
        ("POST", "/v1/completions") => {
            parse::generation(shared, id, head, &names, Interface::Completion, body).await
        }
        ("POST", "/v1/tickets") => parse::ticket(shared, id, head, body).await,
        ("GET", "/v1/models") => openai::model_list(&shared.snapshot.borrow(), &head.key)
            .map(Parsed::Answer)
            .ok_or_else(|| Refused::new(Step::Admit, 503, "no document is in force")),
        (_, "/v1/chat/completions" | "/v1/completions" | "/v1/tickets" | "/v1/models") => {
            Err(Refused::new(Step::Read, 405, "wrong method"))
        }
        (_, path) if path.starts_with(SERVICE_PREFIX) => {
            parse::service(shared, id, head, names, parts, body).await
        }
        _ => Err(Refused::new(Step::Read, 404, "unknown path")),
    }
}

/// Check the API key before the body is read, so that strangers can't use up the byte budget.
fn authenticate(shared: &Shared, head: &Head) -> Result<CallerNames, Refused> {
    let snapshot = shared.snapshot.borrow();
    let Some(document) = &snapshot.document else {
        return Err(Refused::new(Step::Admit, 503, "no document is in force"));
    };
    let Some((organisation, caller)) = document.callers.get(&head.key) else {
        return Err(Refused::new(Step::Authenticate, 401, "unknown API key"));
    };
    let class = document
        .organisations
        .get(organisation)
        .map_or(UNKNOWN_CLASS, |organisation| organisation.class.into());
    Ok(CallerNames {
        organisation: organisation.clone(),
        caller: caller.clone(),
        class,
    })
}
