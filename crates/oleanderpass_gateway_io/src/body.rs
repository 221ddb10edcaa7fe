//! Send the body of a request to a server, and the body of an answer to a caller.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::callers::CallerConnection;
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

/// The body of a request. Clones refer to the same bytes and begin at the start.
#[derive(Debug, Default)]
pub(crate) struct RequestBody {
    pieces: Rc<[Bytes]>,
    /// The number of pieces that have been sent.
    sent: usize,
}

impl RequestBody {
    /// Create a body that consists of these pieces.
    pub(crate) fn new(pieces: Vec<Bytes>) -> Self {
        Self {
            pieces: pieces.into(),
            sent: 0,
        }
    }

    /// Create a body of one piece.
    pub(crate) fn whole(body: Bytes) -> Self {
        match body.is_empty() {
            true => Self::default(),
            false => Self::new(vec![body]),
        }
    }

    /// Return the pieces of the body.
    pub(crate) fn pieces(&self) -> &[Bytes] {
        &self.pieces
    }
}

impl Clone for RequestBody {
    fn clone(&self) -> Self {
        Self {
            pieces: self.pieces.clone(),
            sent: 0,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        let piece = this.pieces.get(this.sent).cloned();
        this.sent += usize::from(piece.is_some());
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent == self.pieces.len()
    }

    fn size_hint(&self) -> SizeHint {
        let left = self.pieces.iter().skip(self.sent);
        SizeHint::with_exact(left.map(|piece| piece.len() as u64).sum())
    }
}

/// The body of an answer on a connection, which waits for its next request once the body is sent.
#[derive(Debug)]
pub(crate) struct TrackedBody {
    body: CallerBody,
    connection: Rc<CallerConnection>,
}

impl TrackedBody {
    /// Create the body of an answer on `connection`.
    pub(crate) fn new(body: CallerBody, connection: Rc<CallerConnection>) -> Self {
        Self { body, connection }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(data) = frame.as_ref().and_then(|f| f.as_ref().ok()?.data_ref()) {
            self.connection.on_taken(data.len());
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.connection.on_answered();
    }
}
