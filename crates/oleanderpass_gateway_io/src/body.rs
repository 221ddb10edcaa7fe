//! Send the body of an answer to a caller.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::pieces::Pieces;

/// The most chunks that are queued for a caller that reads slowly. When the queue is full, the
/// stream of the backend server is no longer read.
pub(crate) const MAX_QUEUED_CHUNKS: usize = 16;

/// A chunk of a stream of events.
#[derive(Debug)]
pub(crate) enum StreamChunk {
    /// Whole events.
    Data(Pieces),
    /// The stream is complete.
    End,
}

/// A stream ended without [`StreamChunk::End`]. The error closes the connection, so that the caller
/// can tell that the stream is incomplete.
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
    /// What is left to send of a complete body.
    Complete(Pieces),
    /// A body that the instance made itself, or `None` if it is empty or was already sent.
    Own(Option<Bytes>),
    /// A stream. Without [`StreamChunk::End`] it is incomplete, whatever ended it.
    Stream {
        /// The chunks to send.
        chunks: mpsc::Receiver<StreamChunk>,
        /// What is left to send of the chunk that was taken last.
        chunk: Option<Pieces>,
        /// Dropped with this body when the caller leaves. `None` until the answer is sent.
        caller_guard: Option<oneshot::Sender<()>>,
    },
}

impl CallerBody {
    /// Create a body that the instance made itself.
    pub(crate) fn own(body: Bytes) -> Self {
        Self::Own((!body.is_empty()).then_some(body))
    }

    /// Create a stream and the sender of its chunks.
    pub(crate) fn stream() -> (mpsc::Sender<StreamChunk>, Self) {
        let (tx, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let caller_guard = None;
        (
            tx,
            Self::Stream {
                chunks,
                chunk: None,
                caller_guard,
            },
        )
    }
}

impl CallerBody {
    /// Drop `guard` when the caller leaves in the middle of a stream. A complete body needs no
    /// guard.
    pub(crate) fn set_caller_guard(&mut self, guard: oneshot::Sender<()>) {
        if let Self::Stream { caller_guard, .. } = self {
            *caller_guard = Some(guard);
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
            Self::Complete(body) => Poll::Ready(body.pop().map(|piece| Ok(Frame::data(piece)))),
            Self::Own(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            Self::Stream { chunks, chunk, .. } => loop {
                if let Some(piece) = chunk.as_mut().and_then(Pieces::pop) {
                    return Poll::Ready(Some(Ok(Frame::data(piece))));
                }
                match ready!(chunks.poll_recv(cx)) {
                    Some(StreamChunk::Data(data)) => *chunk = Some(data),
                    Some(StreamChunk::End) => return Poll::Ready(None),
                    None => return Poll::Ready(Some(Err(Incomplete))),
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Complete(body) => body.is_empty(),
            Self::Own(body) => body.is_none(),
            Self::Stream { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(body) => SizeHint::with_exact(body.len() as u64),
            Self::Own(body) => SizeHint::with_exact(body.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream { .. } => SizeHint::default(),
        }
    }
}
