//! Receive answers within the memory that is left for them.

use std::cell::Cell;
use std::cell::RefCell;
use std::error::Error;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use oleanderpass_gateway::memory::AnswerMemory;
use oleanderpass_gateway::memory::NoRoom;
use oleanderpass_gateway::memory::Share;
use oleanderpass_gateway::transfer::Transfer;
use oleanderpass_types::size::Bytes as Size;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::clock;
use crate::pieces::Pieces;

/// The most bytes that are read from a socket at a time. The HTTP library enlarges the buffer of a
/// connection to hundreds of kilobytes as long as each read fills it.
const MAX_READ_BYTES: usize = 16 * 1024;

/// The buffer of the HTTP library for a head is up to this many times as long as the head.
const HEAD_BUFFER_FACTOR: u64 = 2;

/// Why an answer could not be received.
#[derive(Debug)]
pub(crate) enum ReceiveError {
    /// The connection broke, or the bytes were not HTTP.
    Broken(hyper::Error),
    /// The answer doesn't fit into the memory that is left for answers.
    NoRoom(NoRoom),
}

impl fmt::Display for ReceiveError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => error.fmt(f),
            Self::NoRoom(error) => error.fmt(f),
        }
    }
}

impl Error for ReceiveError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Broken(error) => error.source(),
            Self::NoRoom(_) => None,
        }
    }
}

impl From<NoRoom> for ReceiveError {
    fn from(error: NoRoom) -> Self {
        Self::NoRoom(error)
    }
}

impl From<hyper::Error> for ReceiveError {
    fn from(error: hyper::Error) -> Self {
        let mut source = error.source();
        while let Some(cause) = source {
            if let Some(error) = cause.downcast_ref::<io::Error>()
                && let Some(no_room) = error.get_ref().and_then(|e| e.downcast_ref())
            {
                return Self::NoRoom(*no_room);
            }
            source = cause.source();
        }
        Self::Broken(error)
    }
}

/// Receive a whole body.
///
/// # Errors
///
/// Return why it could not be received.
pub(crate) async fn body(body: Incoming, memory: &AnswerMemory) -> Result<Pieces, ReceiveError> {
    body_with(body, memory, |_| {}).await
}

/// Receive a whole body, and report the size of each part as it arrives.
async fn body_with(
    mut body: Incoming,
    memory: &AnswerMemory,
    on_received: impl Fn(Size),
) -> Result<Pieces, ReceiveError> {
    let mut pieces = Pieces::new(memory);
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            on_received(Size::new(data.len() as u64));
            pieces.append(&data)?;
        }
    }
    Ok(pieces)
}

/// Receive a whole body that is to be decoded. Return it in one buffer, and the share of the memory
/// to hold until it has been decoded.
///
/// # Errors
///
/// Return why it could not be received.
pub(crate) async fn document(
    document: Incoming,
    memory: &AnswerMemory,
) -> Result<(Bytes, Share), ReceiveError> {
    Ok(body(document, memory).await?.into_document()?)
}

/// Do the same as [`document`] for an answer that has just begun, and record what arrives in
/// `transfer`.
///
/// # Errors
///
/// Return why it could not be received.
pub(crate) async fn document_of(
    transfer: &Cell<Transfer>,
    document: Incoming,
    memory: &AnswerMemory,
) -> Result<(Bytes, Share), ReceiveError> {
    let update = |change: &dyn Fn(&mut Transfer)| {
        let mut progress = transfer.get();
        change(&mut progress);
        transfer.set(progress);
    };
    update(&|progress| progress.on_head(clock::now()));
    let on_received = |size| update(&|progress| progress.on_received(clock::now(), size));
    let pieces = body_with(document, memory, on_received).await?;
    Ok(pieces.into_document()?)
}

/// Wait for the end of a transfer.
///
/// # Errors
///
/// Return [`Stalled`] if it makes no progress.
pub(crate) async fn until_stalled<T>(
    transfer: &Cell<Transfer>,
    end: impl Future<Output = T>,
) -> Result<T, Stalled> {
    tokio::select! {
        biased;
        value = end => Ok(value),
        () = stalled(transfer) => Err(Stalled),
    }
}

/// Wait until a transfer makes no progress.
pub(crate) async fn stalled(transfer: &Cell<Transfer>) {
    while clock::now() < transfer.get().stalls_at() {
        clock::sleep_until(transfer.get().stalls_at()).await;
    }
}

/// A transfer made no progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stalled;

impl fmt::Display for Stalled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("timeout: no progress")
    }
}

impl Error for Stalled {}

/// Counts the bytes that arrive on a connection between a request and the end of the head of its
/// answer. They are all held until the head is complete, and its headers after that.
#[derive(Debug)]
pub(crate) struct HeadMeter {
    counts: Cell<bool>,
    share: RefCell<Share>,
}

impl HeadMeter {
    /// Create a meter that doesn't count yet.
    pub(crate) fn new(memory: &AnswerMemory) -> Self {
        Self {
            counts: Cell::new(false),
            share: RefCell::new(memory.empty_share()),
        }
    }

    /// Begin to count the head of the next answer.
    pub(crate) fn start(&self) {
        self.clear();
        self.counts.set(true);
    }

    /// End the count and keep the memory of the head.
    pub(crate) fn stop(&self) {
        self.counts.set(false);
    }

    /// Give the memory of the head back.
    pub(crate) fn clear(&self) {
        self.counts.set(false);
        self.share.borrow_mut().clear();
    }

    fn count(&self, bytes: usize) -> io::Result<()> {
        if !self.counts.get() {
            return Ok(());
        }
        let size = Size::new(bytes as u64 * HEAD_BUFFER_FACTOR);
        let grown = self.share.borrow_mut().grow(size);
        grown.map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error))
    }
}

/// A stream whose received bytes are counted by a [`HeadMeter`].
#[derive(Debug)]
pub(crate) struct MeteredStream<T> {
    stream: T,
    meter: Rc<HeadMeter>,
}

impl<T> MeteredStream<T> {
    pub(crate) fn new(stream: T, meter: Rc<HeadMeter>) -> Self {
        Self { stream, meter }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for MeteredStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let max = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(max));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        buf.advance(count);
        Poll::Ready(self.meter.count(count))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for MeteredStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
