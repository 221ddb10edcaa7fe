//! Reserve memory on helpers for one attempt, and release it when the attempt ends.

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
use crate::instance::SharedInstance;

/// The longest time for which memory stays reserved without a renewal. It is shorter than the time
/// within which engines must have their memory back after the owner of a reservation has died.
const MAX_LEASE: Millis = Millis::new(3_000);

/// The interval of renewals. Two may be lost before the lease expires.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// The timeout for an order, from opening the connection to the end of the answer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// The most times that a release is sent. The lease expires soon afterwards anyway.
const MAX_RELEASE_ATTEMPTS: u32 = 2;

/// Memory reserved on one engine. It is renewed until it is dropped, which releases the memory.
pub(crate) struct Reservation {
    instance: SharedInstance,
    addr: SocketAddr,
    id: SmolStr,
    renewal: tokio::task::AbortHandle,
}

impl Reservation {
    /// Reserve memory on the engine at `addr`. Return `None` if the engine doesn't grant it.
    pub(crate) async fn acquire(
        instance: &SharedInstance,
        addr: SocketAddr,
        id: SmolStr,
        size: Tokens,
    ) -> Option<Self> {
        let lease = MAX_LEASE.min(instance.settings.reservation_max);
        let order = order::reserve(&id, size, lease).ok()?;
        let order = Bytes::from(order);
        let granted = send_order(instance, addr, "reserve", order.clone()).await;
        let task = {
            let instance = instance.clone();
            let id = id.clone();
            tokio::task::spawn_local(async move {
                loop {
                    tokio::time::sleep(RENEWAL_INTERVAL).await;
                    if !send_order(&instance, addr, "renew", order.clone()).await {
                        tracing::warn!(
                            server = %addr,
                            reservation = %id,
                            "could not renew a reservation"
                        );
                    }
                }
            })
        };
        let reservation = Self {
            instance: instance.clone(),
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
        // If the answer is a refusal or is lost, dropping the reservation sends a release, because
        // the engine may still carry out the order.
        granted.then_some(reservation)
    }

    /// Return the id by which the engine knows the reservation.
    pub(crate) fn id(&self) -> &SmolStr {
        &self.id
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.renewal.abort();
        let (instance, addr, id) = (self.instance.clone(), self.addr, self.id.clone());
        tokio::task::spawn_local(async move {
            let order = match order::release(&id) {
                Ok(order) => Bytes::from(order),
                Err(error) => {
                    tracing::error!(%error, reservation = %id, "could not encode a release");
                    return;
                }
            };
            for _ in 0..MAX_RELEASE_ATTEMPTS {
                if send_order(&instance, addr, "release", order.clone()).await {
                    return;
                }
            }
            tracing::warn!(
                server = %addr,
                reservation = %id,
                "could not release a reservation; its lease will expire"
            );
        });
    }
}

/// Send an order, log its failure and count its result. Return whether the engine confirmed it.
async fn send_order(
    instance: &SharedInstance,
    addr: SocketAddr,
    operation: &str,
    order: Bytes,
) -> bool {
    let result = tokio::time::timeout(ORDER_TIMEOUT, post_order(addr, order)).await;
    let (confirmed, label) = match result {
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
    instance
        .metrics
        .orders
        .with_label_values(&[operation, label])
        .inc();
    confirmed
}

/// Send an order on a new connection. Return the HTTP status of the answer.
async fn post_order(addr: SocketAddr, order: Bytes) -> Result<u16> {
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
