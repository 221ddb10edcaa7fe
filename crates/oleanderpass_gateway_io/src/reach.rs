//! Connect to backend servers, directly or through peers.

use std::net::SocketAddr;

use eyre::Result;
use eyre::bail;
use eyre::eyre;
use oleanderpass_gateway::absence::Absence;
use oleanderpass_gateway::backend::BackendKey;
use oleanderpass_gateway::reach::Way;
use oleanderpass_types::clock::Timestamp;
use tokio::task::JoinSet;

use crate::connection;
use crate::connection::Connection;
use crate::instance::SharedInstance;
use crate::relay;
use crate::relay::Tunnel;

/// Open a connection to the backend server at an address.
///
/// # Errors
///
/// Return the cause if no connection can be opened in time. Nothing was sent then.
pub(crate) async fn open_addr(instance: &SharedInstance, addr: SocketAddr) -> Result<Connection> {
    let key = instance.gateway.borrow().server_at(instance.now(), addr);
    match key {
        Some(key) => open(instance, key, addr).await,
        None => connection::open(&instance.memory, addr).await,
    }
}

/// Open a connection to a backend server.
///
/// # Errors
///
/// Return the cause if no connection can be opened in time. Nothing was sent then.
pub(crate) async fn open(
    instance: &SharedInstance,
    key: BackendKey,
    addr: SocketAddr,
) -> Result<Connection> {
    let way = instance.gateway.borrow().way(key);
    match way {
        Way::Direct => open_directly(instance, key, addr).await,
        Way::Relayed => {
            let now = instance.now();
            if instance.gateway.borrow_mut().probe_is_due(now) {
                probe(instance.clone(), key, addr);
            }
            match open_through_peers(instance, key, addr).await {
                Ok(connection) => Ok(connection),
                Err(error) => {
                    tracing::info!(
                        server = %addr,
                        error = format!("{error:#}"),
                        "no peer reaches a backend server"
                    );
                    open_directly(instance, key, addr).await
                }
            }
        }
    }
}

/// Open a direct connection. If that fails, check in the background whether peers reach the server.
async fn open_directly(
    instance: &SharedInstance,
    key: BackendKey,
    addr: SocketAddr,
) -> Result<Connection> {
    let tried = instance.now();
    let opened = connection::open(&instance.memory, addr).await;
    let now = instance.now();
    match &opened {
        Ok(_) => instance.gateway.borrow_mut().on_opened(now, key),
        Err(error) => {
            let error = format!("{error:#}");
            let mut gateway = instance.gateway.borrow_mut();
            gateway.on_open_failed(now, key, &error);
            drop(gateway);
            check_by_peers(instance.clone(), key, addr, tried);
        }
    }
    opened
}

/// Return whether one of the peers reaches a server. All are asked at once, because requests wait
/// for what comes out.
async fn is_reached_by_peers(instance: &SharedInstance, key: BackendKey, addr: SocketAddr) -> bool {
    let peers = instance.gateway.borrow().relays(instance.now(), key);
    let mut tries = JoinSet::new();
    for peer in peers {
        let memory = instance.memory.clone();
        tries.spawn_local(async move { (peer, relay::open(&memory, peer, addr).await) });
    }
    while let Some(result) = tries.join_next().await {
        match result {
            Ok((_, Ok(Tunnel::Open(_) | Tunnel::Paused))) => {
                instance
                    .gateway
                    .borrow_mut()
                    .on_relayed(instance.now(), key);
                return true;
            }
            Ok((_, Ok(Tunnel::Unreachable))) => {}
            Ok((peer, Err(error))) => {
                tracing::debug!(server = %addr, %peer, error = format!("{error:#}"), "no answer");
                let mut gateway = instance.gateway.borrow_mut();
                gateway.on_relay_failed(instance.now(), peer);
            }
            Err(error) => tracing::error!(%error, "could not ask a peer"),
        }
    }
    false
}

/// Open a connection through the first peer that reaches the server.
async fn open_through_peers(
    instance: &SharedInstance,
    key: BackendKey,
    addr: SocketAddr,
) -> Result<Connection> {
    let peers = instance.gateway.borrow().relays(instance.now(), key);
    let mut last_error = None;
    for peer in peers {
        match relay::open(&instance.memory, peer, addr).await {
            Ok(Tunnel::Open(connection)) => {
                instance.metrics.relayed_connections.inc();
                instance
                    .gateway
                    .borrow_mut()
                    .on_relayed(instance.now(), key);
                tracing::debug!(server = %addr, %peer, "connected through a peer");
                return Ok(connection);
            }
            Ok(Tunnel::Paused) => {
                last_error = Some(eyre!("it has asked peer {peer} for a pause"));
            }
            Ok(Tunnel::Unreachable) => last_error = Some(eyre!("peer {peer} can't reach it")),
            Err(error) => {
                let mut gateway = instance.gateway.borrow_mut();
                gateway.on_relay_failed(instance.now(), peer);
                last_error = Some(error.wrap_err(format!("peer {peer}")));
            }
        }
    }
    match last_error {
        Some(error) => Err(error),
        None => bail!("no peer can connect to backend servers"),
    }
}

/// Check in the background whether peers reach a server to which a direct connection, begun at
/// `tried`, failed. If they don't, the server is gone.
fn check_by_peers(instance: SharedInstance, key: BackendKey, addr: SocketAddr, tried: Timestamp) {
    if !instance.checked_servers.borrow_mut().insert(key) {
        return;
    }
    tokio::task::spawn_local(async move {
        let reached = is_reached_by_peers(&instance, key, addr).await;
        instance.checked_servers.borrow_mut().swap_remove(&key);
        let mut gateway = instance.gateway.borrow_mut();
        if reached {
            tracing::info!(server = %addr, "a peer reaches a backend server, this instance doesn't");
            gateway.on_reached_by_peer(key, tried);
        } else if !gateway.accepts(instance.now(), key) {
            // Peers open no tunnels there, whether or not the server lives.
            tracing::info!(server = %addr, "a server of an evacuated zone can't be reached from here");
        } else {
            tracing::info!(server = %addr, "a backend server accepts no connections");
            gateway.on_server_gone(instance.now(), key, Absence::Unreachable);
        }
        instance.load_changed.notify_one();
    });
}

/// Try a direct connection in the background, to notice when the links are back.
fn probe(instance: SharedInstance, key: BackendKey, addr: SocketAddr) {
    tokio::task::spawn_local(async move {
        match connection::open(&instance.memory, addr).await {
            Ok(_) => {
                instance.gateway.borrow_mut().on_opened(instance.now(), key);
            }
            Err(error) => tracing::debug!(
                server = %addr,
                error = format!("{error:#}"),
                "a backend server still can't be reached directly"
            ),
        }
    });
}

/// Check in the background whether a server whose connection broke or went silent still accepts
/// connections.
pub(crate) fn check(instance: SharedInstance, key: BackendKey, addr: SocketAddr) {
    tokio::task::spawn_local(async move {
        // The result is recorded when the connection is opened.
        drop(open(&instance, key, addr).await);
    });
}
