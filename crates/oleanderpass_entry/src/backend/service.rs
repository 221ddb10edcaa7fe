//! Run a call on a plain service.

use std::sync::Arc;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use oleanderpass_core::event::AttemptEnd;
use oleanderpass_core::event::Progress;
use oleanderpass_core::event::RecordedAnswer;
use oleanderpass_types::size::Tokens;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::backend::attempt::AttemptCx;
use crate::backend::attempt::SendError;
use crate::backend::connection::Connection;
use crate::backend::refusal;

/// The largest recorded answer, in bytes. Source: design section 4.1.
const MAX_RECORDED_BYTES: usize = 64 << 10;

/// The largest answer of a plain service, in bytes. The same as the largest body of a request.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The HTTP method.
    pub method: http::Method,
    /// The path with its query.
    pub path: SmolStr,
    /// The content type of the body; may be empty.
    pub content_type: SmolStr,
    /// The body.
    pub body: Bytes,
    /// Keep the answer for a second use of the ticket.
    pub record: bool,
}

/// The answer of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: SmolStr,
    /// The body.
    pub body: Bytes,
}

/// Run an attempt and return its end, with the answer when it completed.
///
/// Every answer but a refusal before start completes the attempt, whatever its status: the service
/// ran the call and its own answer is what the caller needs.
pub async fn run(cx: AttemptCx<'_>, call: &ServiceCall) -> (AttemptEnd, Option<ServiceAnswer>) {
    match exchange(cx, call).await {
        Ok(answer) => {
            let end = AttemptEnd::Completed {
                output: Tokens::ZERO,
                answer: record(call, &answer),
            };
            (end, Some(answer))
        }
        Err(end) => (end, None),
    }
}

async fn exchange(cx: AttemptCx<'_>, call: &ServiceCall) -> Result<ServiceAnswer, AttemptEnd> {
    let mut connection = cx.connect().await.map_err(AttemptEnd::NotSent)?;
    let method = call.method.clone();
    let req = cx
        .request(method, &call.path, &call.content_type, call.body.clone())
        .map_err(AttemptEnd::NotSent)?;
    cx.progress(Progress::Sending);
    let answer = cx
        .send(&mut connection, req, None)
        .await
        .map_err(|error| match error {
            SendError::NotSent(cause) => AttemptEnd::NotSent(cause),
            SendError::Broken(cause) => broken(cause),
        })?;
    let (head, body) = answer.into_parts();
    if refusal::is_refusal(&head) {
        return Err(AttemptEnd::Refused(refusal::read_reason(body).await));
    }
    cx.progress(Progress::Started);
    let answer = read_answer(&head, body).await.map_err(broken)?;
    keep(cx, connection);
    Ok(answer)
}

fn keep(cx: AttemptCx<'_>, connection: Connection) {
    if !cx.order.once {
        cx.shared.pool.put(connection);
    }
}

fn broken(cause: SmolStr) -> AttemptEnd {
    AttemptEnd::Broken {
        delivered: false,
        cause,
    }
}

async fn read_answer(
    head: &http::response::Parts,
    body: Incoming,
) -> Result<ServiceAnswer, SmolStr> {
    let body = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| format_smolstr!("read the answer: {error}"))?
        .to_bytes();
    let content_type = head
        .headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    Ok(ServiceAnswer {
        status: head.status.as_u16(),
        content_type: content_type.into(),
        body,
    })
}

fn record(call: &ServiceCall, answer: &ServiceAnswer) -> Option<Arc<RecordedAnswer>> {
    let kept = call.record && answer.body.len() <= MAX_RECORDED_BYTES;
    kept.then(|| {
        Arc::new(RecordedAnswer {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: answer.body.to_vec(),
        })
    })
}
