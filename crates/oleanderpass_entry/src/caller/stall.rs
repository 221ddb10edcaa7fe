//! Close connections of callers that stop reading.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// A TCP stream whose writes fail when the other side accepts no byte within a timeout.
#[derive(Debug)]
pub struct StallGuard {
    tcp: TcpStream,
    timeout: Duration,
    /// The timer of the pending write; `None` while no write is pending.
    timer: Option<Pin<Box<Sleep>>>,
}

impl StallGuard {
    /// Guard a stream. Its writes fail after `timeout` without progress.
    pub fn new(tcp: TcpStream, timeout: Duration) -> Self {
        Self {
            tcp,
            timeout,
            timer: None,
        }
    }

    /// Return the result of a write, or an error when it has been pending for too long.
    fn check_stall(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let timeout = self.timeout;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        ready!(timer.as_mut().poll(cx));
        let cause = "the caller stopped reading";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, cause)))
    }
}

impl AsyncRead for StallGuard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_read(cx, buf)
    }
}

impl AsyncWrite for StallGuard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.tcp).poll_write(cx, buf);
        self.check_stall(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs);
        self.check_stall(cx, written)
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
