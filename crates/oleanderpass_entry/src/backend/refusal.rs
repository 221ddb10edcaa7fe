//! Recognise the answer of a backend server that refused a request before it started to run it.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use oleanderpass_core::event::Refusal;
use oleanderpass_proto::engine;

/// The header that marks a refusal before start; its value is then `false`.
pub const STARTED_HEADER: &str = "oleanderpass-started";

/// The largest body of a refusal or an error, in bytes.
const MAX_BODY_BYTES: usize = 4_096;

/// The timeout for reading the body of a refusal or an error.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Return whether an answer says that the request was not started.
pub fn is_refusal(answer: &http::response::Parts) -> bool {
    let started = answer.headers.get(STARTED_HEADER);
    answer.status == http::StatusCode::SERVICE_UNAVAILABLE
        && started.is_some_and(|value| value == "false")
}

/// Read the reason from the body of a refusal. A missing or unknown reason counts as `full`, which
/// has no lasting effect.
pub async fn read_reason(body: Incoming) -> Refusal {
    let bytes = read_short_body(body).await;
    serde_json::from_slice::<engine::Refusal>(&bytes)
        .ok()
        .and_then(|refusal| refusal.reason.replace(' ', "_").parse().ok())
        .unwrap_or(Refusal::Full)
}

/// Read a body, or return no bytes when it is larger than 4,096 bytes or takes longer than a
/// second.
pub async fn read_short_body(body: Incoming) -> Bytes {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT, collected).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        _ => Bytes::new(),
    }
}
