//! Read the body of a caller's request within its limits.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::caller::budget::BudgetShare;

/// The lowest accepted rate, in bytes per second. Source: design section 3.1.
const MIN_RATE: u64 = 64 << 10;

/// The time that a body may take on top of the one at the lowest rate, for lost packets.
const RATE_GRACE: Duration = Duration::from_secs(2);

/// The most bytes of a refused body that are read, twice the largest body.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// The time for reading a refused body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a body was not accepted: HTTP status and cause.
pub type BodyError = (u16, SmolStr);

/// Read a body of at most `limit` bytes that `share` covers.
///
/// # Errors
///
/// Return 400 when the caller breaks off, 408 when the body is slower than 64 KiB/s, 413 when it
/// is too large and 503 when the byte budget of the process is used up.
pub async fn read_body(
    body: &mut Incoming,
    limit: usize,
    share: &mut BudgetShare,
) -> Result<Bytes, BodyError> {
    let announced = body.size_hint().exact().unwrap_or(0);
    let announced = usize::try_from(announced).unwrap_or(usize::MAX);
    check_size(announced, limit, share)?;
    let start = Instant::now();
    let mut buf = BytesMut::with_capacity(announced);
    while let Some(frame) = next_frame(body, start, buf.len()).await? {
        let frame = frame.map_err(|error| (400, format_smolstr!("read the body: {error}")))?;
        if let Ok(data) = frame.into_data() {
            check_size(buf.len() + data.len(), limit, share)?;
            buf.extend_from_slice(&data);
        }
    }
    Ok(buf.freeze())
}

/// Read and drop the rest of a refused body, within bounds.
///
/// A connection that closes with unread bytes is reset, and the reset can overtake the answer.
pub async fn discard(body: &mut Incoming) {
    let read = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // A body that is slower than this doesn't get its answer.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}

fn check_size(bytes: usize, limit: usize, share: &mut BudgetShare) -> Result<(), BodyError> {
    if bytes > limit {
        return Err((
            413,
            format_smolstr!("the body is larger than {limit} bytes"),
        ));
    }
    if !share.grow_to(bytes) {
        let cause = SmolStr::new_static("too many bytes of bodies are held");
        return Err((503, cause));
    }
    Ok(())
}

type NextFrame = Option<hyper::Result<hyper::body::Frame<Bytes>>>;

async fn next_frame(
    body: &mut Incoming,
    start: Instant,
    received: usize,
) -> Result<NextFrame, BodyError> {
    let allowed = Duration::from_millis(received as u64 * 1_000 / MIN_RATE) + RATE_GRACE;
    let left = allowed.saturating_sub(start.elapsed());
    tokio::time::timeout(left, body.frame())
        .await
        .map_err(|_| (408, "the body is slower than 64 KiB/s".into()))
}
