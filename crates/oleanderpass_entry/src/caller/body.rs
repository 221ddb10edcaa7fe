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

/// The lowest accepted rate of a body, in bytes per second. Source: design section 3.1.
const MIN_BYTES_PER_S: u64 = 64 << 10;

/// The time that a body may take in addition to its time at the lowest rate. It leaves time to
/// retransmit lost packets.
const RATE_GRACE: Duration = Duration::from_secs(2);

/// The most bytes of a refused body that are read. It is twice the default limit for a body.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// The timeout for reading a refused body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a body was not accepted: HTTP status and cause.
pub type BodyError = (u16, SmolStr);

/// Read a body of at most `limit` bytes and grow `share` to its size.
///
/// # Errors
///
/// Return 400 when the connection breaks, 408 when the body is slower than 64 KiB/s, 413 when it
/// is too large and 503 when the byte budget of the process is used up.
pub async fn read_body(
    body: &mut Incoming,
    limit: usize,
    share: &mut BudgetShare,
) -> Result<Bytes, BodyError> {
    let content_length = body.size_hint().exact().unwrap_or(0);
    let content_length = usize::try_from(content_length).unwrap_or(usize::MAX);
    check_size(content_length, limit, share)?;
    let start = Instant::now();
    let mut buf = BytesMut::with_capacity(content_length);
    while let Some(frame) = next_frame(body, start, buf.len()).await? {
        let frame = frame.map_err(|error| (400, format_smolstr!("read the body: {error}")))?;
        if let Ok(data) = frame.into_data() {
            check_size(buf.len() + data.len(), limit, share)?;
            buf.extend_from_slice(&data);
        }
    }
    Ok(buf.freeze())
}

/// Read and drop the rest of a refused body, up to a limit of bytes and time.
///
/// TCP resets a connection that is closed with unread bytes, and the reset can overtake the answer,
/// so that the caller never gets it.
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
    // A caller whose body takes longer may lose the answer.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}

/// Check the size of a body, announced or received so far, against the limit and grow the share to
/// it.
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

/// Wait for the next frame, as long as the lowest rate allows for the bytes received so far.
async fn next_frame(
    body: &mut Incoming,
    start: Instant,
    received: usize,
) -> Result<NextFrame, BodyError> {
    let allowed = Duration::from_millis(received as u64 * 1_000 / MIN_BYTES_PER_S) + RATE_GRACE;
    let left = allowed.saturating_sub(start.elapsed());
    tokio::time::timeout(left, body.frame())
        .await
        .map_err(|_| (408, "the body is slower than 64 KiB/s".into()))
}
