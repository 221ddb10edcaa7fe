//! Exchange datagrams with peers and fetch their copies of the store.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use http::Request;
use oleanderpass_gateway::memory::AnswerMemory;
use oleanderpass_gateway::store::StorePosition;
use oleanderpass_gateway::transfer::Transfer;
use oleanderpass_membership::packet::MAX_DATAGRAM_BYTES;
use oleanderpass_proto::peer::Packet;
use oleanderpass_proto::peer::StoreCopy;
use oleanderpass_types::clock::Millis;
use prost::Message;

use crate::body::RequestBody;
use crate::clock::sleep_until;
use crate::connection;
use crate::endpoints;
use crate::instance::SharedInstance;
use crate::internal_http::SEPARATE_CONFIGURATION;
use crate::internal_http::STORE_COPY_PATH;
use crate::reach;
use crate::receive;

/// The interval of periodic work. The membership protocol expects 100 ms.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The shortest time between two ticks that counts as a pause of the process or a suspension of its
/// machine.
const MIN_PAUSE: Millis = Millis::new(1_000);

/// Receive datagrams until the process ends. Notify `store_behind` whenever a peer has read a newer
/// revision of the store than this instance, and `configuration_behind` whenever one has a newer
/// configuration.
pub(crate) async fn receive(instance: SharedInstance) {
    let opened = endpoints::bind_datagrams(&instance).await;
    let socket = instance.peer_socket.get_or_init(|| opened);
    let mut buf = vec![0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        let (len, source) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "could not receive a datagram");
                continue;
            }
        };
        let packet = match Packet::decode(&buf[..len]) {
            Ok(packet) => packet,
            Err(error) => {
                tracing::warn!(%error, peer = %source, "could not decode a datagram");
                continue;
            }
        };
        let mut out = Vec::new();
        let (behind, lacks_configuration) = {
            let now = instance.now();
            let mut gateway = instance.gateway.borrow_mut();
            gateway.on_packet(now, source, &packet, &mut out);
            (gateway.is_behind(now), gateway.lacks_configuration(now))
        };
        instance.send_packets(out);
        if behind {
            instance.store_behind.notify_one();
        }
        if lacks_configuration {
            instance.configuration_behind.notify_one();
        }
    }
}

/// Do the periodic work of the gateway and the connection pool until the process ends.
pub(crate) async fn tick(instance: SharedInstance) {
    let mut last = instance.now();
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let now = instance.now();
        let elapsed = now.since(last);
        last = now;
        if elapsed >= MIN_PAUSE {
            tracing::warn!(elapsed_ms = elapsed.get(), "the process was paused");
        }
        let mut out = Vec::new();
        instance.gateway.borrow_mut().on_tick(now, &mut out);
        instance.send_packets(out);
        let due = instance.gateway.borrow_mut().take_due_probes(now);
        for (key, addr) in due {
            reach::check(instance.clone(), key, addr);
        }
        instance.pool.borrow_mut().remove_expired(now);
        // The log names a change soon, although nobody asks for the readiness.
        drop(instance.readiness());
    }
}

/// Send a bulletin when the load of this instance changed, until the process ends. It is sent at
/// once, or as soon as the shortest interval since the last one has passed: the older the load that
/// peers know, the more of them choose the same free slot.
pub(crate) async fn send_bulletins(instance: SharedInstance) {
    loop {
        instance.load_changed.notified().await;
        // Other tasks that are ready may change the load too.
        tokio::task::yield_now().await;
        let due = instance.gateway.borrow().next_bulletin();
        sleep_until(due).await;
        let mut out = Vec::new();
        instance
            .gateway
            .borrow_mut()
            .send_bulletin(instance.now(), &mut out);
        instance.send_packets(out);
    }
}

/// Fetch what changed in a peer's copy of the store after a position. The default fetches
/// everything. What arrives is recorded in `transfer`.
///
/// # Errors
///
/// Return why the copy could not be fetched.
pub(crate) async fn fetch_copy(
    memory: &AnswerMemory,
    transfer: &Cell<Transfer>,
    addr: SocketAddr,
    after: StorePosition,
) -> Result<StoreCopy> {
    let read = async {
        let mut connection = connection::open(memory, addr).await?;
        let req = Request::get(format!("{STORE_COPY_PATH}?{after}"))
            .header(http::header::HOST, addr.to_string())
            .header(SEPARATE_CONFIGURATION, "1")
            .body(RequestBody::default())?;
        let answer = connection.send(req).await?;
        if !answer.status().is_success() {
            bail!("peer {addr} answered {}", answer.status());
        }
        let (body, _share) = receive::document_of(transfer, answer.into_body(), memory)
            .await
            .wrap_err("read the copy")?;
        StoreCopy::decode(body).wrap_err("decode the copy")
    };
    receive::until_stalled(transfer, read)
        .await
        .wrap_err_with(|| format!("peer {addr}"))?
}
