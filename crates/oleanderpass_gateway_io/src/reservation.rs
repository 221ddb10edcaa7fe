//! Reserve memory on helpers for one attempt, and release it when the attempt ends.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use eyre::WrapErr;
use eyre::bail;
use http::Request;
use http::StatusCode;
use oleanderpass_gateway::gateway::AttemptEnd;
use oleanderpass_gateway::pauses::UrgentOrder;
use oleanderpass_gateway::reservation::Evidence;
use oleanderpass_gateway::reservation::LEASE;
use oleanderpass_gateway::reservation::RENEWAL_INTERVAL;
use oleanderpass_gateway::reservation::ReservationState;
use oleanderpass_gateway::reservation::ReservationUse;
use oleanderpass_platform::order;
use oleanderpass_platform::report;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Tokens;
use smol_str::SmolStr;
use strum::Display;
use tokio::task::JoinSet;

use crate::body::RequestBody;
use crate::clock::sleep_until;
use crate::connection;
use crate::instance::SharedInstance;
use crate::reach;

/// The timeout for an order, from opening the connection to the end of the answer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// The most times that a release is sent. The lease expires soon afterwards anyway.
const MAX_RELEASE_ATTEMPTS: u32 = 2;

/// Memory reserved on one engine. It is released when this is dropped.
pub(crate) struct Reservation {
    instance: SharedInstance,
    addr: SocketAddr,
    id: SmolStr,
    size: Tokens,
    usage: RefCell<ReservationUse>,
    /// Until when it is held without renewals, because the engine has asked for a pause.
    extended_to: Cell<Option<Timestamp>>,
}

impl Reservation {
    /// Reserve memory on the engine at `addr`.
    ///
    /// # Errors
    ///
    /// Return how the attempt ended if the engine doesn't grant it.
    pub(crate) async fn acquire(
        instance: &SharedInstance,
        addr: SocketAddr,
        id: SmolStr,
        size: Tokens,
    ) -> Result<Self, AttemptEnd> {
        let reservation = Self {
            instance: instance.clone(),
            addr,
            id,
            size,
            usage: RefCell::new(ReservationUse::new(instance.now())),
            extended_to: Cell::new(None),
        };
        let order = reservation.order(LEASE).ok_or(AttemptEnd::HelperFailed)?;
        let result = send_order(instance, addr, "reserve", order).await;
        tracing::info!(
            server = %addr,
            reservation = %reservation.id,
            tokens = size.get(),
            granted = result == OrderResult::Done,
            "asked an engine for memory"
        );
        // If the answer is a refusal or is lost, dropping the reservation sends a release, because
        // the engine may still carry out the order.
        let now = instance.now();
        match result {
            OrderResult::Done => Ok(reservation),
            OrderResult::Refused => {
                instance.gateway.borrow_mut().on_memory_refused(now, addr);
                Err(AttemptEnd::NoMemory)
            }
            OrderResult::Failed | OrderResult::NoAnswer => {
                instance.gateway.borrow_mut().on_helper_fault(now, addr);
                Err(AttemptEnd::HelperFailed)
            }
        }
    }

    /// Return the id by which the engine knows the reservation.
    pub(crate) fn id(&self) -> &SmolStr {
        &self.id
    }

    /// Return the order that makes or renews the reservation.
    fn order(&self, lease: Millis) -> Option<Bytes> {
        let lease = lease.min(self.instance.settings.reservation_max);
        match order::reserve(&self.id, self.size, lease) {
            Ok(order) => Some(Bytes::from(order)),
            Err(error) => {
                tracing::error!(%error, reservation = %self.id, "could not encode an order");
                None
            }
        }
    }

    /// Renew the reservation if its request may still run. Return whether it may.
    async fn renew(&self, primary: PrimaryState) -> bool {
        let evidence = match primary {
            PrimaryState::Active => Evidence::PrimaryActive,
            PrimaryState::Unreachable => Evidence::PrimaryUnreachable,
            // The engine has asked for a pause.
            PrimaryState::Reachable if self.pause_left().is_some() => Evidence::NoReport,
            PrimaryState::Reachable => {
                match read_state(&self.instance, self.addr, &self.id).await {
                    Ok(state) => Evidence::Reported(state),
                    Err(error) => {
                        tracing::info!(
                            server = %self.addr,
                            reservation = %self.id,
                            error = format!("{error:#}"),
                            "could not read the state of a reservation"
                        );
                        Evidence::NoReport
                    }
                }
            }
        };
        let renews = (self.usage.borrow_mut()).renews(self.instance.now(), evidence);
        if !renews {
            tracing::info!(
                server = %self.addr,
                reservation = %self.id,
                ?evidence,
                "the request of a reservation has ended"
            );
            return false;
        }
        let Some(lease) = self.due_lease() else {
            return true;
        };
        if let Some(order) = self.order(lease)
            && send_order(&self.instance, self.addr, "renew", order).await != OrderResult::Done
        {
            tracing::warn!(
                server = %self.addr,
                reservation = %self.id,
                "could not renew a reservation"
            );
        }
        true
    }
}

impl Reservation {
    /// Return the time until the end of the pause that the engine asked for, or `None` if it wants
    /// none.
    fn pause_left(&self) -> Option<Millis> {
        pause_left(&self.instance, self.addr)
    }

    /// Return the lease of a renewal that is due, or `None` if none may be sent. In a pause of the
    /// engine, one renewal holds the memory until renewals are possible again.
    fn due_lease(&self) -> Option<Millis> {
        let Some(left) = self.pause_left() else {
            return Some(LEASE);
        };
        let now = self.instance.now();
        if self
            .extended_to
            .get()
            .is_some_and(|until| until >= now + left)
        {
            return None;
        }
        let mut gateway = self.instance.gateway.borrow_mut();
        if !gateway.take_order(now, self.addr, UrgentOrder::Extend) {
            tracing::warn!(
                server = %self.addr,
                reservation = %self.id,
                pause_ms = left.get(),
                "a reservation can't be renewed in a pause of its engine"
            );
            return None;
        }
        let lease = left + LEASE;
        self.extended_to.set(Some(now + lease));
        Some(lease)
    }
}

fn pause_left(instance: &SharedInstance, addr: SocketAddr) -> Option<Millis> {
    let gateway = instance.gateway.borrow();
    gateway.pause_left(instance.now(), addr)
}

/// Wait until a reservation may be released, in a pause of its engine. One that was extended would
/// stay for longer than engines allow, so it may be released at once. Return whether it is to be
/// released.
async fn wait_to_release(
    instance: &SharedInstance,
    addr: SocketAddr,
    extended_to: Option<Timestamp>,
) -> bool {
    let began = instance.now();
    while let Some(left) = pause_left(instance, addr) {
        let now = instance.now();
        if extended_to.is_none_or(|until| now >= until) && now.since(began) >= LEASE {
            return false;
        }
        if extended_to.is_some()
            && instance
                .gateway
                .borrow_mut()
                .take_order(now, addr, UrgentOrder::Release)
        {
            return true;
        }
        sleep_until(now + left.min(RENEWAL_INTERVAL)).await;
    }
    true
}

/// What is known about the primary server of an attempt when renewals are due.
#[derive(Clone, Copy, Debug)]
enum PrimaryState {
    /// It has sent events since the last renewal.
    Active,
    /// It accepts connections.
    Reachable,
    /// It accepts no connections.
    Unreachable,
}

/// Renew the reservations of an attempt as long as its request may complete. `primary` is the
/// address of its primary server, and `event_count` returns the number of events that the server has
/// sent. Return once the request has ended before its first event. After that event the server may
/// only be paused, so this goes on to look for signs of life while the leases run out. Never return
/// if there are no reservations.
pub(crate) async fn keep(
    reservations: &[Option<Rc<Reservation>>],
    instance: &SharedInstance,
    primary: SocketAddr,
    event_count: impl Fn() -> u64,
) {
    let held: Vec<&Rc<Reservation>> = reservations.iter().flatten().collect();
    if held.is_empty() {
        return std::future::pending().await;
    }
    let mut last_count = event_count();
    let mut renewals = JoinSet::new();
    loop {
        let round = tokio::time::sleep(Duration::from(RENEWAL_INTERVAL));
        tokio::pin!(round);
        loop {
            tokio::select! {
                () = &mut round => break,
                Some(renewed) = renewals.join_next() => match renewed {
                    Ok(false) if event_count() == 0 => return,
                    Ok(_) => {}
                    Err(error) => tracing::error!(%error, "could not renew a reservation"),
                }
            }
        }
        let count = event_count();
        let state = if std::mem::replace(&mut last_count, count) != count {
            PrimaryState::Active
        } else if let Err(error) = reach::open_addr(instance, primary).await {
            tracing::info!(
                server = %primary,
                error = format!("{error:#}"),
                "a primary server accepts no connections"
            );
            PrimaryState::Unreachable
        } else {
            PrimaryState::Reachable
        };
        // A helper that doesn't answer must delay neither the others nor the next renewals.
        for reservation in &held {
            let reservation = Rc::clone(reservation);
            renewals.spawn_local(async move { reservation.renew(state).await });
        }
    }
}

/// Read the state of a reservation from the report of its engine.
async fn read_state(
    instance: &SharedInstance,
    addr: SocketAddr,
    id: &str,
) -> Result<ReservationState> {
    let request = Request::get(report::PATH)
        .header(http::header::HOST, addr.to_string())
        .body(RequestBody::default())?;
    let call = connection::call(instance, addr, request);
    let (status, body) = tokio::time::timeout(ORDER_TIMEOUT, call)
        .await
        .wrap_err("read a report")??;
    if status != StatusCode::OK.as_u16() {
        bail!("a report has the status {status}");
    }
    report::reservation_state(&body, id).wrap_err("decode a report")
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let (instance, addr, id) = (self.instance.clone(), self.addr, self.id.clone());
        let extended_to = self.extended_to.get();
        tokio::task::spawn_local(async move {
            if !wait_to_release(&instance, addr, extended_to).await {
                tracing::info!(server = %addr, reservation = %id, "the lease of a reservation ends");
                return;
            }
            let order = match order::release(&id) {
                Ok(order) => Bytes::from(order),
                Err(error) => {
                    tracing::error!(%error, reservation = %id, "could not encode a release");
                    return;
                }
            };
            for _ in 0..MAX_RELEASE_ATTEMPTS {
                let result = send_order(&instance, addr, "release", order.clone()).await;
                if result == OrderResult::Done {
                    return;
                }
                if pause_left(&instance, addr).is_some() {
                    break;
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

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
enum OrderResult {
    /// The engine confirmed it.
    Done,
    /// The engine refused it.
    Refused,
    /// It could not be sent, or its connection broke.
    Failed,
    /// No answer came in time.
    NoAnswer,
}

/// Send an order, log its failure and count its result.
async fn send_order(
    instance: &SharedInstance,
    addr: SocketAddr,
    operation: &str,
    order: Bytes,
) -> OrderResult {
    let result = tokio::time::timeout(ORDER_TIMEOUT, post_order(instance, addr, order)).await;
    let result = match result {
        Ok(Ok(200)) => OrderResult::Done,
        Ok(Ok(status)) => {
            tracing::info!(server = %addr, operation, status, "an engine refused an order");
            OrderResult::Refused
        }
        Ok(Err(error)) => {
            tracing::info!(server = %addr, operation, error = format!("{error:#}"), "an order failed");
            OrderResult::Failed
        }
        Err(_) => {
            tracing::info!(server = %addr, operation, "an order got no answer");
            OrderResult::NoAnswer
        }
    };
    instance
        .metrics
        .orders
        .with_label_values(&[operation, &result.to_string()])
        .inc();
    result
}

/// Send an order on a new connection. Return the HTTP status of the answer.
async fn post_order(instance: &SharedInstance, addr: SocketAddr, order: Bytes) -> Result<u16> {
    let req = Request::post(order::PATH)
        .header(http::header::HOST, addr.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(RequestBody::whole(order))?;
    let (status, _) = connection::call(instance, addr, req)
        .await
        .wrap_err("send an order")?;
    Ok(status)
}
