//! Record what a backend server says of itself in the head of any answer: to a request, an order or
//! a read of its report.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use http::HeaderName;
use http::Request;
use oleanderpass_gateway::backend::BackendKey;
use oleanderpass_gateway::memory::AnswerMemory;
use oleanderpass_platform::answer::AnswerHead;
use oleanderpass_types::clock::Millis;

use crate::body::RequestBody;
use crate::connection;
use crate::instance::SharedInstance;

/// The path at which peers tell of the pause of a server. The query is the server's address.
pub(crate) const PAUSE_PATH: &str = "/pause";

/// The length of a pause, in milliseconds.
pub(crate) const PAUSE_MS: HeaderName = HeaderName::from_static("pause-ms");

/// The timeout for telling a peer of a pause. The server's pause counts half a second after it
/// asked.
const TELL_TIMEOUT: Duration = Duration::from_millis(500);

/// Record what the server says. The head has been checked to belong to an answer of this server.
pub(crate) fn record(instance: &SharedInstance, key: BackendKey, head: &AnswerHead) {
    let now = instance.now();
    let mut gateway = instance.gateway.borrow_mut();
    if head.leaving {
        gateway.on_server_leaving(now, key);
    }
    if let Some(pause) = head.pause {
        gateway.on_pause_asked(now, key, pause);
    }
}

/// Tell the peer through which a server was asked that the server wants a pause. The server knows
/// only the peer, and means all that comes from it.
pub(crate) fn tell_relay(
    instance: &SharedInstance,
    relay: SocketAddr,
    server: SocketAddr,
    pause: Millis,
) {
    let memory = instance.memory.clone();
    tokio::task::spawn_local(async move {
        let told = tokio::time::timeout(TELL_TIMEOUT, tell(&memory, relay, server, pause));
        let result = told.await.wrap_err("timeout").flatten();
        if let Err(error) = result {
            tracing::info!(
                peer = %relay,
                %server,
                error = format!("{error:#}"),
                "could not tell a peer of a pause"
            );
        }
    });
}

async fn tell(
    memory: &AnswerMemory,
    relay: SocketAddr,
    server: SocketAddr,
    pause: Millis,
) -> Result<()> {
    let mut connection = connection::open(memory, relay).await?;
    let req = Request::post(format!("{PAUSE_PATH}?{server}"))
        .header(http::header::HOST, relay.to_string())
        .header(PAUSE_MS, pause.get())
        .body(RequestBody::default())?;
    let answer = connection.send(req).await?;
    if !answer.status().is_success() {
        bail!("the answer is {}", answer.status());
    }
    Ok(())
}

/// Apply what a peer says of the pause of a server. Return whether its message is valid.
pub(crate) fn on_peer_pause<T>(instance: &SharedInstance, req: &Request<T>) -> bool {
    let server = req.uri().query().and_then(|query| query.parse().ok());
    let pause = req.headers().get(PAUSE_MS);
    let pause = pause.and_then(|value| value.to_str().ok()?.parse().ok());
    let (Some(server), Some(pause)) = (server, pause.map(Millis::new)) else {
        return false;
    };
    let now = instance.now();
    let mut gateway = instance.gateway.borrow_mut();
    if let Some(key) = gateway.server_at(now, server) {
        gateway.on_pause_asked(now, key, pause);
    }
    true
}
