//! Run an attempt of a call on a plain service.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use oleanderpass_core::event::AttemptEnd;
use oleanderpass_core::event::Progress;
use oleanderpass_core::event::RecordedAnswer;
use oleanderpass_types::size::Tokens;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::backend::attempt::AttemptCx;
use crate::backend::attempt::SendError;
use crate::backend::refusal;
use crate::caller::budget::BudgetShare;

/// The largest body of a recorded answer, in bytes. Source: design section 4.1.
const MAX_RECORDED_BYTES: usize = 64 << 10;

/// The largest body of an answer, in bytes. It equals the default limit for the body of a request.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The HTTP method.
    pub method: http::Method,
    /// The path at the service, with the query.
    pub path: SmolStr,
    /// The content type of the body; empty when the caller sent none.
    pub content_type: SmolStr,
    /// The body.
    pub body: Bytes,
    /// Whether the core records the answer, to return it when the ticket is used again.
    pub record_answer: bool,
}

/// The answer of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, `application/octet-stream` when the service sent none.
    pub content_type: SmolStr,
    /// The body.
    pub body: Bytes,
}

/// Run an attempt and return how it ended, with the answer if it completed.
///
/// Every answer other than a refusal before start completes the attempt, whatever its status,
/// because the service ran the call and the caller needs its answer.
pub async fn run(
    cx: AttemptCx<'_>,
    call: &ServiceCall,
    share: &mut BudgetShare,
) -> (AttemptEnd, Option<ServiceAnswer>) {
    match exchange(cx, call, share).await {
        Ok(answer) => {
            let end = AttemptEnd::Completed {
                output: Tokens::ZERO,
                answer: recorded_answer(call, &answer),
            };
            (end, Some(answer))
        }
        Err(end) => (end, None),
    }
}

/// Send the call and read the answer. `share` grows with the size of the answer.
async fn exchange(
    cx: AttemptCx<'_>,
    call: &ServiceCall,
    share: &mut BudgetShare,
) -> Result<ServiceAnswer, AttemptEnd> {
    let mut connection = cx.connect().await.map_err(AttemptEnd::NotSent)?;
    let method = call.method.clone();
    let req = cx
        .build_request(method, &call.path, &call.content_type, call.body.clone())
        .map_err(AttemptEnd::NotSent)?;
    cx.report_progress(Progress::Sending);
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
    cx.report_progress(Progress::Started);
    // The answer to a non-idempotent call is kept even when the byte budget is used up, because the
    // call has run and can't be sent again.
    let body = read_body(body, |bytes| {
        share.grow_to(call.body.len() + bytes) || cx.params.non_idempotent
    });
    let body = body.await.map_err(broken)?;
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

fn broken(cause: SmolStr) -> AttemptEnd {
    AttemptEnd::Broken {
        delivered: false,
        cause,
    }
}

/// Read the body of an answer, and give up as soon as `fits` rejects the size received so far.
async fn read_body(
    mut body: Incoming,
    mut fits: impl FnMut(usize) -> bool,
) -> Result<Bytes, SmolStr> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| format_smolstr!("read the answer: {error}"))?;
        if let Ok(data) = frame.into_data() {
            let size = buf.len() + data.len();
            if size > MAX_ANSWER_BYTES || !fits(size) {
                return Err("the answer is too large, or too many bytes of bodies are held".into());
            }
            buf.extend_from_slice(&data);
        }
    }
    Ok(buf.freeze())
}

/// Copy the answer for the core to record, if the call asks for that and the body is small enough.
fn recorded_answer(call: &ServiceCall, answer: &ServiceAnswer) -> Option<Arc<RecordedAnswer>> {
    let is_recorded = call.record_answer && answer.body.len() <= MAX_RECORDED_BYTES;
    is_recorded.then(|| {
        Arc::new(RecordedAnswer {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: answer.body.to_vec(),
        })
    })
}
