//! The bodies of answers on the internal endpoints.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use prometheus::IntGauge;

use crate::pieces::PIECE_BYTES;

/// The body of an answer on an internal endpoint. It is handed over in pieces, so that the memory and
/// the time that a slow reader takes can be seen.
#[derive(Debug, Default)]
pub(crate) struct ServedBody {
    left: Bytes,
    /// Counts the copies that are being sent.
    copies: Option<IntGauge>,
}

impl ServedBody {
    /// Create the body of a copy that is counted in a gauge until it is sent or given up.
    pub(crate) fn copy(body: Bytes, copies: IntGauge) -> Self {
        copies.inc();
        Self {
            left: body,
            copies: Some(copies),
        }
    }
}

impl From<Bytes> for ServedBody {
    fn from(body: Bytes) -> Self {
        Self {
            left: body,
            copies: None,
        }
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left.is_empty() {
            return Poll::Ready(None);
        }
        let size = self.left.len().min(PIECE_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.left.split_to(size)))))
    }

    fn is_end_stream(&self) -> bool {
        self.left.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left.len() as u64)
    }
}

impl Drop for ServedBody {
    fn drop(&mut self) {
        if let Some(copies) = &self.copies {
            copies.dec();
        }
    }
}
