//! Reserve memory of engines for one attempt, and release it when the attempt ends.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use eyre::WrapErr;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use oleanderpass_platform::order;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::size::Tokens;
use smol_str::SmolStr;

use crate::connection;
use crate::node::Shared;

/// The time for which memory is reserved without a renewal. It lies below the time in which engines
/// must have their memory back after the owner of a reservation has died.
const LEASE: Millis = Millis::new(3_000);

/// The time between two renewals. Two may be lost before the lease ends.
const RENEWAL: Duration = Duration::from_millis(1_000);

/// The time for the answer to an order.
const ORDER_TIME: Duration = Duration::from_millis(400);

/// The most times that a release is sent. The lease ends soon after them.
const RELEASES: u32 = 2;

/// Memory reserved on one engine. Dropping it releases the memory.
pub(crate) struct Reservation {
    node: Shared,
    addr: SocketAddr,
    id: SmolStr,
    renewal: tokio::task::AbortHandle,
}

impl Reservation {
    /// Reserve memory, or return `None` if the engine doesn't grant it.
    pub(crate) async fn acquire(
        node: &Shared,
        addr: SocketAddr,
        id: SmolStr,
        size: Tokens,
    ) -> Option<Self> {
        let lease = LEASE.min(node.settings.reservation_max);
        let order = order::reserve(&id, size, lease).ok()?;
        let order = Bytes::from(order);
        let granted = send(node, addr, "reserve", order.clone()).await;
        let task = {
            let node = node.clone();
            let id = id.clone();
            tokio::task::spawn_local(async move {
                loop {
                    tokio::time::sleep(RENEWAL).await;
                    if !send(&node, addr, "renew", order.clone()).await {
                        tracing::warn!(server = %addr, reservation = %id, "could not renew");
                    }
                }
            })
        };
        let reservation = Self {
            node: node.clone(),
            addr,
            id,
            renewal: task.abort_handle(),
        };
        tracing::info!(
            server = %addr,
            reservation = %reservation.id,
            tokens = size.get(),
            granted,
            "asked an engine for memory"
        );
        // Dropped if it isn't granted: the order may still be carried out.
        granted.then_some(reservation)
    }

    /// Return the id.
    pub(crate) fn id(&self) -> &SmolStr {
        &self.id
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.renewal.abort();
        let (node, addr, id) = (self.node.clone(), self.addr, self.id.clone());
        tokio::task::spawn_local(async move {
            let order = match order::release(&id) {
                Ok(order) => Bytes::from(order),
                Err(error) => {
                    tracing::error!(%error, reservation = %id, "could not encode a release");
                    return;
                }
            };
            for _ in 0..RELEASES {
                if send(&node, addr, "release", order.clone()).await {
                    return;
                }
            }
            tracing::warn!(server = %addr, reservation = %id, "not released; its lease ends it");
        });
    }
}

/// Send an order. Return whether the engine says that it was carried out.
async fn send(node: &Shared, addr: SocketAddr, operation: &str, order: Bytes) -> bool {
    let result = tokio::time::timeout(ORDER_TIME, exchange(addr, order)).await;
    let (done, label) = match result {
        Ok(Ok(200)) => (true, "done"),
        Ok(Ok(status)) => {
            tracing::info!(server = %addr, operation, status, "an engine refused an order");
            (false, "refused")
        }
        Ok(Err(error)) => {
            tracing::info!(server = %addr, operation, error = format!("{error:#}"), "an order failed");
            (false, "failed")
        }
        Err(_) => {
            tracing::info!(server = %addr, operation, "an order got no answer");
            (false, "no_answer")
        }
    };
    node.metrics
        .orders
        .with_label_values(&[operation, label])
        .inc();
    done
}

async fn exchange(addr: SocketAddr, order: Bytes) -> Result<u16> {
    let mut connection = connection::open(addr).await?;
    let req = Request::post(order::PATH)
        .header(http::header::HOST, addr.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(order))?;
    let answer = connection
        .sender
        .send_request(req)
        .await
        .wrap_err("send an order")?;
    let status = answer.status().as_u16();
    answer
        .into_body()
        .collect()
        .await
        .wrap_err("read the answer")?;
    Ok(status)
}
