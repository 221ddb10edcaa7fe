//! End connections of callers that stop reading.

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

/// A TCP stream whose writes fail when the other side accepts no byte for a time.
#[derive(Debug)]
pub struct StallGuard {
    tcp: TcpStream,
    limit: Duration,
    /// Runs while a write waits.
    stall: Option<Pin<Box<Sleep>>>,
}

impl StallGuard {
    /// Guard a stream.
    pub fn new(tcp: TcpStream, limit: Duration) -> Self {
        Self {
            tcp,
            limit,
            stall: None,
        }
    }

    fn guard(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let limit = self.limit;
        let stall = self
            .stall
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        ready!(stall.as_mut().poll(cx));
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
        self.guard(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs);
        self.guard(cx, written)
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
