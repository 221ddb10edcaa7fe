//! Open connections to backend servers and count the bytes that pass.

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

/// The time to open a connection. Zones are 1 ms apart, so a second covers lost packets.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Count the traffic of one connection and guard the first write of each request.
#[derive(Debug)]
struct Meter {
    clock: Clock,
    read: AtomicU64,
    written: AtomicU64,
    /// The next write is the first one of a request.
    armed: AtomicBool,
    /// The last time for the first write, in milliseconds of the process clock.
    not_after: AtomicU64,
}

impl Meter {
    /// Refuse the first write of a request when its deadline has passed.
    fn check_first_write(&self) -> io::Result<()> {
        if self.armed.load(Ordering::Acquire) {
            if self.clock.now().as_millis() >= self.not_after.load(Ordering::Acquire) {
                let cause = "the deadline passed before the first byte was written";
                return Err(io::Error::new(io::ErrorKind::TimedOut, cause));
            }
            self.armed.store(false, Ordering::Release);
        }
        Ok(())
    }
}

/// A TCP stream with a meter.
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
        self.meter.read.fetch_add(count as u64, Ordering::AcqRel);
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
                .written
                .fetch_add(*count as u64, Ordering::AcqRel);
        }
    }
}

/// An HTTP/1.1 connection to a backend server. It closes when dropped.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    meter: Arc<Meter>,
    driver: AbortHandle,
    /// The bytes written before the request that runs.
    written_before: u64,
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
            read: AtomicU64::new(0),
            written: AtomicU64::new(0),
            armed: AtomicBool::new(false),
            not_after: AtomicU64::new(u64::MAX),
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
            written_before: 0,
        })
    }

    /// Return the server's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Return whether another request can be sent.
    pub fn is_reusable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Wait until another request can be sent, and return whether that will be so.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Return a number that changes with each byte read or written.
    pub fn activity(&self) -> u64 {
        let read = self.meter.read.load(Ordering::Acquire);
        read.wrapping_add(self.meter.written.load(Ordering::Acquire))
    }

    /// Return whether a byte of the last request was written.
    pub fn has_written(&self) -> bool {
        self.meter.written.load(Ordering::Acquire) != self.written_before
    }

    /// Send a request once. The first write fails when `not_after` has passed.
    ///
    /// # Errors
    ///
    /// Return hyper's error; [`Connection::has_written`] tells whether the server may have seen
    /// the request.
    pub fn send(
        &mut self,
        req: http::Request<Full<Bytes>>,
        not_after: Timestamp,
    ) -> impl Future<Output = hyper::Result<http::Response<hyper::body::Incoming>>> + use<> {
        self.written_before = self.meter.written.load(Ordering::Acquire);
        self.meter
            .not_after
            .store(not_after.as_millis(), Ordering::Release);
        self.meter.armed.store(true, Ordering::Release);
        self.sender.send_request(req)
    }
}
