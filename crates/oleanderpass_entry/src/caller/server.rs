//! Accept callers' connections, with limits for their number, the size of request heads and stalled
//! writes.

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

/// The delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The time after which a connection is closed when the caller accepts no byte of a pending write.
/// A caller that reads slowly but steadily is not affected.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The timeout for telling a caller that there are too many connections.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// The body of the answer on a connection above the limit. The outcome is unknown, because the
/// request isn't read and may carry a ticket with which the call already ran.
const TOO_MANY_CONNECTIONS_BODY: &str = r#"{"error":{"step":"read","peer":"local","cause":"too many connections","outcome":"unknown"}}"#;

/// Accept connections until `closing` is set.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, mut closing: watch::Receiver<bool>) {
    let slots = Arc::new(Semaphore::new(shared.limits.max_connections as usize));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_closing(&mut closing) => return,
        };
        let tcp = match accepted {
            Ok((tcp, _)) => tcp,
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
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
                tokio::spawn(refuse_connection(tcp));
            }
        }
    }
}

/// Wait until the caller port closes.
async fn wait_closing(closing: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, because the daemon has ended.
    let _ = closing.wait_for(|closing| *closing).await;
}

/// Refuse a connection without reading its request.
async fn refuse_connection(mut tcp: TcpStream) {
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
         connection: close\r\noleanderpass-outcome: unknown\r\n\
         content-length: {}\r\n\r\n{TOO_MANY_CONNECTIONS_BODY}",
        TOO_MANY_CONNECTIONS_BODY.len()
    );
    let write = async {
        tcp.write_all(answer.as_bytes()).await?;
        tcp.shutdown().await
    };
    let _ = tokio::time::timeout(REFUSAL_TIMEOUT, write).await;
}

/// Serve the requests of a connection until it ends. Once the port closes, finish the current
/// request.
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
        .serve_connection(
            TokioIo::new(StallGuard::new(tcp, WRITE_STALL_TIMEOUT)),
            service,
        );
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = wait_closing(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "caller connection ended");
    }
    shared.metrics.connections.dec();
}
