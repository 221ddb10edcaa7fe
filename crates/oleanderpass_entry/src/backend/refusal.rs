//! Recognise a refusal before start.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use oleanderpass_core::event::Refusal;
use oleanderpass_proto::engine;

/// The header of a refusal, with the value `false`.
pub const STARTED: &str = "oleanderpass-started";

/// The largest body of a refusal or an error, in bytes.
const MAX_BODY_BYTES: usize = 4_096;

/// The time to read the body of a refusal or an error.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Return whether an answer says that the request was not started.
pub fn is_refusal(answer: &http::response::Parts) -> bool {
    let started = answer.headers.get(STARTED);
    answer.status == http::StatusCode::SERVICE_UNAVAILABLE
        && started.is_some_and(|value| value == "false")
}

/// Read the reason of a refusal. An unknown reason counts as `full`, which has no lasting effect.
pub async fn read_reason(body: Incoming) -> Refusal {
    let bytes = read_short(body).await;
    serde_json::from_slice::<engine::Refusal>(&bytes)
        .ok()
        .and_then(|refusal| refusal.reason.replace(' ', "_").parse().ok())
        .unwrap_or(Refusal::Full)
}

/// Read a short body, or nothing when it is long or late.
pub async fn read_short(body: Incoming) -> Bytes {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT, collected).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        _ => Bytes::new(),
    }
}
