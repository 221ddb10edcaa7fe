//! Carry the body of an answer to a caller.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// The pieces that wait for a caller that reads slowly. Then the backend server's stream waits too.
const MAX_WAITING_PIECES: usize = 16;

/// A piece of a streamed body.
#[derive(Debug)]
pub(crate) enum Piece {
    /// Whole events.
    Data(Bytes),
    /// The stream is complete.
    End,
}

/// The stream ended before it was complete. The connection is closed, so that the caller sees it.
#[derive(Debug)]
pub(crate) struct Incomplete;

impl std::fmt::Display for Incomplete {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream ended before it was complete")
    }
}

impl std::error::Error for Incomplete {}

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum CallerBody {
    /// A whole body.
    Whole(Option<Bytes>),
    /// A stream. Without [`Piece::End`] it is incomplete, whatever ended it.
    Stream {
        /// The pieces.
        pieces: mpsc::Receiver<Piece>,
        /// Dropped when the caller is gone.
        presence: Option<oneshot::Sender<()>>,
    },
}

impl CallerBody {
    /// Create a whole body.
    pub(crate) fn whole(body: Bytes) -> Self {
        Self::Whole((!body.is_empty()).then_some(body))
    }

    /// Create a stream and its sender.
    pub(crate) fn stream() -> (mpsc::Sender<Piece>, Self) {
        let (tx, pieces) = mpsc::channel(MAX_WAITING_PIECES);
        let presence = None;
        (tx, Self::Stream { pieces, presence })
    }
}

impl CallerBody {
    /// Tell by the drop of `caller` that the caller left in the middle of a stream.
    pub(crate) fn watch_caller(&mut self, caller: oneshot::Sender<()>) {
        if let Self::Stream { presence, .. } = self {
            *presence = Some(caller);
        }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        match self.get_mut() {
            Self::Whole(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            Self::Stream { pieces, .. } => match pieces.poll_recv(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Piece::Data(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
                Poll::Ready(Some(Piece::End)) => Poll::Ready(None),
                Poll::Ready(None) => Poll::Ready(Some(Err(Incomplete))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => SizeHint::with_exact(body.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream { .. } => SizeHint::default(),
        }
    }
}
