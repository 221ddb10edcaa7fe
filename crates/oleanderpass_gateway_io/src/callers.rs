//! Keep the state of each connection of a caller, and carry out what
//! [`oleanderpass_gateway::callers`] decides about them.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use indexmap::IndexMap;
use oleanderpass_gateway::callers;
use oleanderpass_gateway::callers::CONNECTION_COST;
use oleanderpass_gateway::callers::CallerState;
use oleanderpass_gateway::callers::CloseCause;
use oleanderpass_gateway::callers::Overdue;
use oleanderpass_gateway::callers::Phase;
use oleanderpass_gateway::callers::SMALL_REQUEST;
use oleanderpass_gateway::callers::UploadEnd;
use oleanderpass_gateway::config::CallerLimits;
use oleanderpass_gateway::memory::AnswerMemory;
use oleanderpass_gateway::memory::Share;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Bytes as Size;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::clock::sleep_until;
use crate::instance::SharedInstance;
use crate::pieces::Pieces;

/// The interval at which connections are checked for time limits. The shortest limit is 3 s.
const SWEEP_INTERVAL: Millis = Millis::new(250);

/// How long what arrives after a refusal is discarded, so that the caller can read the answer before
/// the connection closes.
/// A caller that sends 4 MiB at 2 MB/s takes 2.1 s and may read only after that.
const LINGER_TIME: Duration = Duration::from_secs(5);

/// The most bytes that are discarded after a refusal, as a multiple of the limit on bodies. It covers
/// a caller that sends a body somewhat over the limit before it reads.
const LINGER_BODIES: u64 = 2;

/// The bytes that are discarded at a time.
const LINGER_BUFFER_BYTES: usize = 4 * 1024;

/// The most log lines a second about refused uploads and closed connections.
const LOG_LINES_PER_S: u32 = 10;

/// The interval over which log lines are counted.
const LOG_WINDOW: Millis = Millis::new(1_000);

/// A connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    id: u64,
    /// The address of the caller.
    pub(crate) addr: SocketAddr,
    state: Cell<CallerState>,
    /// The part of a body that has arrived.
    upload: RefCell<Option<Pieces>>,
    /// Why the upload in progress was ended from outside.
    upload_end: Cell<Option<UploadEnd>>,
    /// Notified when `upload_end` is set.
    upload_ended: Notify,
    /// Why the connection is to be closed.
    close_cause: Cell<Option<CloseCause>>,
    /// Notified when the connection is to be closed.
    close: Notify,
    /// Whether an answer was sent before the whole request had arrived.
    refused: Cell<bool>,
    /// The socket, once the HTTP library has dropped it.
    socket: RefCell<Option<TcpStream>>,
    /// The bytes of the answer that the HTTP library has taken and not yet written.
    unwritten: Cell<usize>,
    /// Counts [`CONNECTION_COST`], the head and the unwritten bytes.
    share: RefCell<Share>,
}

impl CallerConnection {
    fn update(&self, change: impl FnOnce(&mut CallerState)) {
        let mut state = self.state.get();
        change(&mut state);
        self.state.set(state);
    }

    /// Record that `count` bytes arrived.
    fn on_received(&self, count: usize) {
        let now = crate::clock::now();
        self.update(|state| {
            state.on_received(now);
            if state.phase == Phase::Head {
                let size = Size::new(count as u64);
                state.held += size;
                self.share.borrow_mut().take(size);
            }
        });
    }

    /// Return the size of the head of the request that has arrived.
    fn head_size(&self) -> Size {
        let others = CONNECTION_COST + Size::new(self.unwritten.get() as u64);
        self.share.borrow().held().saturating_sub(others)
    }

    /// Record that the head of a request has arrived. It is held until the answer is sent.
    pub(crate) fn on_request(&self) {
        self.update(|state| {
            state.enter(crate::clock::now(), Phase::Answer);
            state.held = Size::ZERO;
        });
    }

    /// Record that an answer was sent or given up.
    pub(crate) fn on_answered(&self) {
        let phase = match self.refused.get() {
            true => Phase::Refused,
            false => Phase::Idle,
        };
        self.update(|state| {
            state.enter(crate::clock::now(), phase);
            state.held = Size::ZERO;
        });
        self.count_unwritten(self.unwritten.get());
    }

    /// Record that the HTTP library has taken `count` bytes of an answer.
    pub(crate) fn on_taken(&self, count: usize) {
        self.unwritten.set(self.unwritten.get() + count);
        self.share.borrow_mut().take(Size::new(count as u64));
    }

    /// Record that only `count` bytes of the answer are unwritten.
    fn on_written(&self, count: usize) {
        let written = self.unwritten.get().saturating_sub(count);
        if written > 0 {
            self.unwritten.set(count);
            self.share.borrow_mut().shrink(Size::new(written as u64));
        }
    }

    /// Give back what the share counts beside the connection and `unwritten` bytes.
    fn count_unwritten(&self, unwritten: usize) {
        let mut share = self.share.borrow_mut();
        let kept = CONNECTION_COST + Size::new(unwritten as u64);
        let rest = share.held().saturating_sub(kept);
        share.shrink(rest);
    }

    /// Record that the request was refused before all of it had arrived.
    pub(crate) fn on_refused(&self) {
        self.refused.set(true);
    }

    /// Begin to receive a body.
    pub(crate) fn begin_upload(&self, memory: &AnswerMemory) {
        self.update(|state| {
            state.enter(crate::clock::now(), Phase::Upload);
            state.held = Size::ZERO;
        });
        self.upload_end.set(None);
        *self.upload.borrow_mut() = Some(Pieces::new(memory));
    }

    /// Return once the upload in progress was ended from outside.
    pub(crate) async fn upload_ended(&self) -> UploadEnd {
        loop {
            if let Some(end) = self.upload_end.take() {
                return end;
            }
            self.upload_ended.notified().await;
        }
    }

    /// End the upload in progress and free its memory.
    fn end_upload(&self, end: UploadEnd) {
        *self.upload.borrow_mut() = None;
        self.update(|state| state.held = Size::ZERO);
        self.upload_end.set(Some(end));
        self.upload_ended.notify_one();
    }

    /// Append to the upload in progress.
    fn append(&self, data: &[u8]) -> Result<(), UploadEnd> {
        let mut upload = self.upload.borrow_mut();
        // It is missing if the upload was ended in the meantime.
        let pieces = upload.as_mut().ok_or(UploadEnd::Evicted)?;
        let appended = pieces.append(data);
        self.update(|state| state.held = pieces.held());
        appended.map_err(|_| UploadEnd::NoMemory)
    }

    /// Return the body that was received, or nothing if its upload was ended. The connection waits
    /// for the answer from now on.
    pub(crate) fn finish_upload(&self) -> Option<Pieces> {
        self.update(|state| state.enter(crate::clock::now(), Phase::Answer));
        self.upload.borrow_mut().take()
    }

    /// Return once the connection is to be closed.
    pub(crate) async fn closed(&self) {
        while self.close_cause.get().is_none() {
            self.close.notified().await;
        }
    }

    fn close(&self, cause: CloseCause) {
        self.close_cause.set(Some(cause));
        // The buffers are dropped as soon as the task of the connection runs.
        self.share.borrow_mut().clear();
        self.update(|state| state.held = Size::ZERO);
        self.close.notify_one();
    }

    /// After a refusal, discard what arrives until the caller closes, so that the answer isn't lost.
    pub(crate) async fn linger(&self, limits: &CallerLimits) {
        let Some(mut socket) = self.socket.borrow_mut().take() else {
            return;
        };
        if !self.refused.get() {
            return;
        }
        let mut left = limits.max_body.get().saturating_mul(LINGER_BODIES);
        let discarding = async {
            let mut buf = vec![0; LINGER_BUFFER_BYTES];
            while left > 0 {
                match socket.read(&mut buf).await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => left = left.saturating_sub(count as u64),
                }
            }
        };
        // Closing while the caller still sends resets the connection.
        tokio::select! {
            () = discarding => {}
            () = tokio::time::sleep(LINGER_TIME) => {}
            () = self.closed() => {}
        }
    }
}

/// A socket of a caller whose reads and writes are recorded.
#[derive(Debug)]
pub(crate) struct CallerStream {
    /// `None` only while this is dropped.
    socket: Option<TcpStream>,
    connection: Rc<CallerConnection>,
}

impl CallerStream {
    pub(crate) fn new(socket: TcpStream, connection: Rc<CallerConnection>) -> Self {
        Self {
            socket: Some(socket),
            connection,
        }
    }

    fn socket(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        let socket = self.socket.as_mut().map(Pin::new);
        socket.ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    /// Record the result of a write.
    fn record(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = result {
            let unwritten = self.connection.unwritten.get();
            self.connection.on_written(unwritten.saturating_sub(count));
        }
        let taken = result.is_ready();
        // Most writes succeed at once and leave nothing to record.
        if !taken || self.connection.state.get().blocked_since.is_some() {
            let now = crate::clock::now();
            self.connection.update(|state| state.on_written(now, taken));
        }
        result
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        *self.connection.socket.borrow_mut() = self.socket.take();
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(self.socket()?.poll_read(cx, buf))?;
        let count = buf.filled().len() - before;
        if count > 0 {
            self.connection.on_received(count);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = self.socket()?.poll_write(cx, buf);
        self.record(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = self.socket()?.poll_write_vectored(cx, bufs);
        self.record(result)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library flushes once it has written everything.
        self.connection.on_written(0);
        self.socket()?.poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket()?.poll_shutdown(cx)
    }
}

/// The open connections of callers.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    open: RefCell<IndexMap<u64, Rc<CallerConnection>>>,
    next_id: Cell<u64>,
    log: LogLimit,
}

impl Callers {
    /// Return the number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Return how many connections wait in a phase, and the memory that their bodies take.
    pub(crate) fn in_phase(&self, phase: Phase) -> (usize, Size) {
        let open = self.open.borrow();
        let states = open.values().map(|connection| connection.state.get());
        let held: Vec<Size> = states
            .filter(|state| state.phase == phase)
            .map(|state| state.held)
            .collect();
        (held.len(), held.into_iter().sum())
    }

    /// Return the memory that connections take beside bodies: buffers, heads and what is unwritten of
    /// answers.
    pub(crate) fn connection_memory(&self) -> Size {
        let open = self.open.borrow();
        let shares = open.values().map(|connection| connection.share.borrow());
        shares.map(|share| share.held()).sum()
    }

    /// Add a connection that was opened.
    fn add(&self, memory: &AnswerMemory, addr: SocketAddr) -> Rc<CallerConnection> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let mut share = memory.empty_share();
        share.take(CONNECTION_COST);
        let connection = Rc::new(CallerConnection {
            id,
            addr,
            state: Cell::new(CallerState::new(crate::clock::now())),
            upload: RefCell::default(),
            upload_end: Cell::default(),
            upload_ended: Notify::new(),
            close_cause: Cell::default(),
            close: Notify::new(),
            refused: Cell::default(),
            socket: RefCell::default(),
            unwritten: Cell::default(),
            share: RefCell::new(share),
        });
        self.open.borrow_mut().insert(id, connection.clone());
        connection
    }

    /// Remove a connection that has ended.
    pub(crate) fn remove(&self, connection: &CallerConnection) {
        self.open.borrow_mut().swap_remove(&connection.id);
    }

    /// Return the connections that are not about to be closed, with their states.
    fn states(&self) -> Vec<(Rc<CallerConnection>, CallerState)> {
        let open = self.open.borrow();
        open.values()
            .filter(|connection| connection.close_cause.get().is_none())
            .map(|connection| (connection.clone(), connection.state.get()))
            .collect()
    }
}

/// Add a connection that was opened by `addr`. If there are too many, another one is closed. Return
/// `None` if the new one is to be closed.
pub(crate) fn admit(instance: &SharedInstance, addr: SocketAddr) -> Option<Rc<CallerConnection>> {
    let max = callers::max_connections(instance.settings.max_fds, instance.memory.limit());
    if instance.callers.len() >= max {
        let now = instance.now();
        let limits = limits(instance);
        let open = instance.callers.states().into_iter();
        match callers::connection_to_replace(now, open, &limits) {
            Some(replaced) => close(instance, &replaced, CloseCause::Replaced),
            None => {
                log_closed(instance, addr, CloseCause::TooMany);
                return None;
            }
        }
    }
    Some(instance.callers.add(&instance.memory, addr))
}

/// Append to the body that arrives on a connection. If memory is short, another upload may be
/// refused for it.
///
/// # Errors
///
/// Return why the upload is refused.
pub(crate) fn append(
    instance: &SharedInstance,
    connection: &CallerConnection,
    data: &[u8],
) -> Result<(), UploadEnd> {
    let size = Size::new(data.len() as u64);
    let needed = connection.state.get().held + size;
    make_room(instance, connection, size, needed)?;
    connection.append(data)
}

/// Make room for a request whose head has arrived. If memory is short, an upload may be refused for
/// it.
///
/// # Errors
///
/// Return why the request is refused.
pub(crate) fn make_room_for_head(
    instance: &SharedInstance,
    connection: &CallerConnection,
) -> Result<(), UploadEnd> {
    make_room(instance, connection, Size::ZERO, connection.head_size())
}

/// Refuse uploads until a request that holds `needed` in all may take `size` more.
fn make_room(
    instance: &SharedInstance,
    connection: &CallerConnection,
    size: Size,
    needed: Size,
) -> Result<(), UploadEnd> {
    let memory = &instance.memory;
    let is_full = || memory.used() + size > memory.limit();
    while memory.is_short_of(size) && (needed > SMALL_REQUEST || is_full()) {
        let others = instance.callers.states().into_iter();
        let others = others.filter(|(other, _)| other.id != connection.id);
        match callers::connection_to_evict(instance.now(), others, needed) {
            Some(evicted) if evicted.state.get().phase == Phase::Upload => {
                evicted.end_upload(UploadEnd::Evicted);
            }
            Some(evicted) => close(instance, &evicted, CloseCause::Evicted),
            None => return Err(UploadEnd::NoMemory),
        }
    }
    Ok(())
}

/// Check all connections for time limits until the process ends.
pub(crate) async fn sweep(instance: SharedInstance) {
    loop {
        sleep_until(instance.now() + SWEEP_INTERVAL).await;
        let now = instance.now();
        let limits = limits(&instance);
        let is_short = instance.memory.is_short_of(Size::ZERO);
        for (connection, state) in instance.callers.states() {
            match callers::overdue(&state, now, &limits, is_short) {
                Some(Overdue::Upload) => connection.end_upload(UploadEnd::Stalled),
                Some(Overdue::Connection(cause)) => close(&instance, &connection, cause),
                None => {}
            }
        }
    }
}

fn limits(instance: &SharedInstance) -> CallerLimits {
    crate::frontend::limits(instance)
}

fn close(instance: &SharedInstance, connection: &CallerConnection, cause: CloseCause) {
    connection.close(cause);
    log_closed(instance, connection.addr, cause);
}

/// Log and count that a connection is closed.
fn log_closed(instance: &SharedInstance, addr: SocketAddr, cause: CloseCause) {
    let metrics = &instance.metrics;
    let label: &str = cause.into();
    metrics.closed_callers.with_label_values(&[label]).inc();
    if let Some(left_out) = instance.callers.log.permit(instance.now()) {
        tracing::warn!(
            caller = %addr,
            %cause,
            connections = instance.callers.len(),
            memory = %instance.memory.used(),
            memory_limit = %instance.memory.limit(),
            left_out,
            "closed a connection of a caller"
        );
    }
}

/// Log and count that the body of a request was not received.
pub(crate) fn log_refused(
    instance: &SharedInstance,
    connection: &CallerConnection,
    request: &str,
    end: UploadEnd,
    received: usize,
) {
    let metrics = &instance.metrics;
    let label: &str = end.into();
    metrics.refused_uploads.with_label_values(&[label]).inc();
    if let Some(left_out) = instance.callers.log.permit(instance.now()) {
        tracing::info!(
            request,
            caller = %connection.addr,
            cause = %end,
            received,
            memory = %instance.memory.used(),
            memory_limit = %instance.memory.limit(),
            left_out,
            "could not read the body of a request"
        );
    }
}

/// Bounds the number of log lines, because callers decide how many events there are.
#[derive(Debug, Default)]
struct LogLimit {
    window: Cell<Timestamp>,
    lines: Cell<u32>,
    left_out: Cell<u64>,
}

impl LogLimit {
    /// Return how many lines were left out before this one, or `None` if this one is left out.
    fn permit(&self, now: Timestamp) -> Option<u64> {
        if now.since(self.window.get()) >= LOG_WINDOW {
            self.window.set(now);
            self.lines.set(0);
        }
        if self.lines.get() >= LOG_LINES_PER_S {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.left_out.take())
    }
}
