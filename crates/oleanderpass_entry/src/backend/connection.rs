//! Open connections to backend servers, count their bytes and check the deadline before a write.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use oleanderpass_types::clock::Timestamp;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::clock::Clock;

/// The timeout for opening a connection. Zones are 1 ms apart, so a second leaves time to
/// retransmit lost packets.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Byte counters of one connection, and the deadline check of the first write of each request.
#[derive(Debug)]
struct Meter {
    clock: Clock,
    bytes_read: AtomicU64,
    bytes_written: AtomicU64,
    /// Whether the next write is the first one of a request.
    is_first_write: AtomicBool,
    /// The deadline for the first write, in milliseconds of the process clock.
    not_after_ms: AtomicU64,
}

impl Meter {
    /// Refuse the first write of a request when its deadline has passed.
    fn check_first_write(&self) -> io::Result<()> {
        if self.is_first_write.load(Ordering::Acquire) {
            if self.clock.now().as_millis() >= self.not_after_ms.load(Ordering::Acquire) {
                let cause = "the deadline passed before the first byte was written";
                return Err(io::Error::new(io::ErrorKind::TimedOut, cause));
            }
            self.is_first_write.store(false, Ordering::Release);
        }
        Ok(())
    }
}

/// A TCP stream that updates a [`Meter`].
struct MeteredStream {
    tcp: TcpStream,
    meter: Arc<Meter>,
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.tcp).poll_read(cx, buf);
        let count = buf.filled().len().saturating_sub(before);
        self.meter
            .bytes_read
            .fetch_add(count as u64, Ordering::AcqRel);
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.meter.check_first_write()?;
        let polled = Pin::new(&mut self.tcp).poll_write(cx, buf);
        self.count_written(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.meter.check_first_write()?;
        let polled = Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs);
        self.count_written(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}

impl MeteredStream {
    fn count_written(&self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = polled {
            self.meter
                .bytes_written
                .fetch_add(*count as u64, Ordering::AcqRel);
        }
    }
}

/// An HTTP/1.1 connection to a backend server. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    meter: Arc<Meter>,
    /// The task that reads and writes the connection.
    driver: AbortHandle,
    /// The value of [`Meter::bytes_written`] before the latest request.
    written_before_request: u64,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Open a connection.
    ///
    /// # Errors
    ///
    /// Return the cause when the server can't be reached within a second.
    pub async fn open(addr: SocketAddr, clock: Clock) -> io::Result<Self> {
        let tcp = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
            .await
            .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "connect timed out"))??;
        tcp.set_nodelay(true)?;
        let meter = Arc::new(Meter {
            clock,
            bytes_read: AtomicU64::new(0),
            bytes_written: AtomicU64::new(0),
            is_first_write: AtomicBool::new(false),
            not_after_ms: AtomicU64::new(u64::MAX),
        });
        let stream = MeteredStream {
            tcp,
            meter: Arc::clone(&meter),
        };
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%addr, %error, "connection to a backend server ended");
            }
        });
        Ok(Self {
            addr,
            sender,
            meter,
            driver: driver.abort_handle(),
            written_before_request: 0,
        })
    }

    /// Return the server's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Return whether a request can be sent now.
    pub fn is_reusable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Wait until a request can be sent. Return `false` when the connection closed instead.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Return the number of bytes read and written so far.
    pub fn byte_count(&self) -> u64 {
        let read = self.meter.bytes_read.load(Ordering::Acquire);
        read.wrapping_add(self.meter.bytes_written.load(Ordering::Acquire))
    }

    /// Return whether a byte of the latest request was written.
    pub fn has_written(&self) -> bool {
        self.meter.bytes_written.load(Ordering::Acquire) != self.written_before_request
    }

    /// Send a request once. Its first write fails when `not_after` has passed.
    ///
    /// # Errors
    ///
    /// Return hyper's error. [`Connection::has_written`] then tells whether the server may have
    /// received a part of the request.
    pub fn send(
        &mut self,
        req: http::Request<Full<Bytes>>,
        not_after: Timestamp,
    ) -> impl Future<Output = hyper::Result<http::Response<hyper::body::Incoming>>> + use<> {
        self.written_before_request = self.meter.bytes_written.load(Ordering::Acquire);
        self.meter
            .not_after_ms
            .store(not_after.as_millis(), Ordering::Release);
        self.meter.is_first_write.store(true, Ordering::Release);
        self.sender.send_request(req)
    }
}
