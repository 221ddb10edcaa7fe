//! Accept callers' connections within their limits.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::caller::handler::handle;
use crate::caller::stall::StallGuard;
use crate::shared::Shared;

/// The largest request head, in bytes. Source: design section 3.1.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// The pause after a failed accept, for example without a free file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The time without a byte that the caller accepts, after which its connection ends. A caller that
/// reads slowly but steadily is not affected.
const WRITE_STALL: Duration = Duration::from_secs(60);

/// The time to tell a caller that there are too many connections.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// The body of the answer on a connection above the limit. The request isn't read, so it may carry
/// a ticket whose earlier use ran: the outcome is unknown.
const TOO_MANY_CONNECTIONS: &str = r#"{"error":{"step":"read","peer":"local","cause":"too many connections","outcome":"unknown"}}"#;

/// Accept connections until `closing` is set.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, mut closing: watch::Receiver<bool>) {
    let slots = Arc::new(Semaphore::new(shared.limits.max_connections as usize));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closed(&mut closing) => return,
        };
        let tcp = match accepted {
            Ok((tcp, _)) => tcp,
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        match Arc::clone(&slots).try_acquire_owned() {
            Ok(slot) => {
                let connection = serve_connection(tcp, Arc::clone(&shared), closing.clone());
                tokio::spawn(async move {
                    connection.await;
                    drop(slot);
                });
            }
            Err(_) => {
                shared.metrics.count_refused(503);
                tokio::spawn(refuse(tcp));
            }
        }
    }
}

/// Wait until the port closes.
async fn closed(closing: &mut watch::Receiver<bool>) {
    // An error means that the daemon has ended.
    let _ = closing.wait_for(|closing| *closing).await;
}

/// Refuse a connection without reading its request.
async fn refuse(mut tcp: TcpStream) {
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
         connection: close\r\noleanderpass-outcome: unknown\r\n\
         content-length: {}\r\n\r\n{TOO_MANY_CONNECTIONS}",
        TOO_MANY_CONNECTIONS.len()
    );
    let write = async {
        tcp.write_all(answer.as_bytes()).await?;
        tcp.shutdown().await
    };
    let _ = tokio::time::timeout(REFUSAL_TIMEOUT, write).await;
}

async fn serve_connection(tcp: TcpStream, shared: Arc<Shared>, mut closing: watch::Receiver<bool>) {
    if let Err(error) = tcp.set_nodelay(true) {
        tracing::debug!(%error, "set TCP_NODELAY failed");
    }
    shared.metrics.connections.inc();
    let service = {
        let shared = Arc::clone(&shared);
        service_fn(move |req| {
            let shared = Arc::clone(&shared);
            async move { Ok::<_, Infallible>(handle(shared, req).await) }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(shared.limits.head_timeout))
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(StallGuard::new(tcp, WRITE_STALL)), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = closed(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "caller connection ended");
    }
    shared.metrics.connections.dec();
}
