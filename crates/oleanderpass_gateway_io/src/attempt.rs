//! Run one attempt of a request at a backend server.

use std::cell::Cell;
use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use oleanderpass_gateway::gateway::Attempt;
use oleanderpass_gateway::gateway::AttemptEnd;
use oleanderpass_gateway::route::RouteKind;
use oleanderpass_gateway::silence;
use oleanderpass_platform::answer;
use oleanderpass_platform::answer::AnswerHead;
use oleanderpass_platform::request;
use oleanderpass_platform::request::Dispatch;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::body::CallerBody;
use crate::body::Piece;
use crate::clock::sleep_until;
use crate::connection;
use crate::connection::Connection;
use crate::events::EventSplitter;
use crate::exchange::Exchange;
use crate::exchange::Reply;
use crate::exchange::with_head;
use crate::metrics::length_label;
use crate::node::Shared;
use crate::reservation::Reservation;

/// The time after the deadline for which an answer is still awaited: the server ends its work at the
/// deadline and says so.
const ANSWER_MARGIN: Millis = Millis::new(120);

/// What became of an attempt.
pub(crate) enum Outcome {
    /// The caller has no whole answer.
    Again,
    /// The caller has the server's answer with this status.
    Delivered(u16),
}

/// Tells the gateway how an attempt ended, also when the caller leaves in the middle of it.
struct Running<'a> {
    exchange: &'a Exchange,
    attempt: &'a Attempt,
    events: Cell<bool>,
    ended: Cell<bool>,
    began: Timestamp,
    progress: Cell<Progress>,
}

/// How the events of an attempt arrived, for the log.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    events: u64,
    first_event: Option<Millis>,
    longest_gap: Millis,
    last: Option<Timestamp>,
}

impl Running<'_> {
    fn end(&self, end: AttemptEnd) {
        if self.ended.replace(true) {
            return;
        }
        let node = &self.exchange.node;
        let progress = self.progress.get();
        tracing::info!(
            request = %self.exchange.req.borrow().spec.id,
            server = %self.attempt.primary.id,
            %end,
            elapsed_ms = node.now().since(self.began).get(),
            events = progress.events,
            first_event_ms = progress.first_event.map(Millis::get),
            longest_gap_ms = progress.longest_gap.get(),
            last_event = self.exchange.last_delivered.get(),
            "an attempt ended"
        );
        node.gateway.borrow_mut().on_attempt_end(
            node.now(),
            &mut self.exchange.req.borrow_mut(),
            self.attempt,
            end,
        );
        if end == AttemptEnd::Broken {
            look_for(node.clone(), self.attempt);
        }
        let label = end.to_string();
        node.metrics.attempts.with_label_values(&[&label]).inc();
        node.work_changed.notify_one();
    }

    /// Note whole events of the stream.
    fn on_events(&self, count: usize) {
        let now = self.exchange.node.now();
        let mut progress = self.progress.get();
        if let Some(last) = progress.last.replace(now) {
            let gap = now.since(last);
            progress.longest_gap = progress.longest_gap.max(gap);
            let pass_ms = gap.get() as f64 / count as f64;
            let mut gateway = self.exchange.node.gateway.borrow_mut();
            gateway.on_pass(now, self.attempt.plan.primary, pass_ms);
        } else {
            progress.first_event = Some(now.since(self.began));
        }
        progress.events += count as u64;
        self.progress.set(progress);
        if self.events.replace(true) {
            return;
        }
        let node = &self.exchange.node;
        node.gateway.borrow_mut().on_first_event(self.attempt);
        node.work_changed.notify_one();
        let mut req = self.exchange.req.borrow_mut();
        if !req.delivering {
            req.delivering = true;
            let elapsed = node.now().since(self.exchange.received);
            node.metrics
                .first_event
                .with_label_values(&[length_label(req.spec.prompt)])
                .observe(elapsed.get() as f64 / 1_000.0);
        }
    }

    /// Wait for `step`. Return `None` if the server is silent for too long.
    async fn wait<T>(&self, step: impl Future<Output = T>) -> Option<T> {
        tokio::pin!(step);
        let exchange = self.exchange;
        let began = exchange.node.now();
        let (deadline, limit) = {
            let req = exchange.req.borrow();
            let expected = Millis::new(self.attempt.plan.behind_all_ms as u64);
            let limit = silence::timeout(&req.admission.route, self.events.get(), expected);
            (req.spec.deadline + ANSWER_MARGIN, limit)
        };
        let mut patience_end = Some(began + limit).filter(|end| *end < deadline);
        loop {
            let end = patience_end.unwrap_or(deadline);
            tokio::select! {
                biased;
                value = &mut step => return Some(value),
                () = sleep_until(end) => {}
            }
            let now = exchange.node.now();
            let req = exchange.req.borrow();
            if now >= deadline || exchange.node.gateway.borrow().may_abandon(&req) {
                return None;
            }
            // Nothing else may run it, so wait for this server.
            patience_end = None;
        }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.end(AttemptEnd::Cancelled);
    }
}

/// Run an attempt.
pub(crate) async fn run(exchange: &Exchange, attempt: &Attempt, reply: &mut Reply) -> Outcome {
    let running = Running {
        exchange,
        attempt,
        events: Cell::new(false),
        ended: Cell::new(false),
        began: exchange.node.now(),
        progress: Cell::new(Progress::default()),
    };
    let Some(reservations) = reserve(exchange, attempt).await else {
        running.end(AttemptEnd::HelperFailed);
        return Outcome::Again;
    };
    let mut connection = match connect(exchange, attempt).await {
        Ok(connection) => connection,
        Err(error) => {
            tracing::info!(
                request = %exchange.req.borrow().spec.id,
                server = %attempt.primary.id,
                error = format!("{error:#}"),
                "could not connect"
            );
            running.end(AttemptEnd::NotSent);
            return Outcome::Again;
        }
    };
    let end = send(
        exchange,
        attempt,
        &running,
        &mut connection,
        &reservations,
        reply,
    )
    .await;
    match end {
        Ok((outcome, end, head)) => {
            running.end(end);
            if !head.closes {
                let node = &exchange.node;
                let key = attempt.plan.primary;
                node.pool
                    .borrow_mut()
                    .put(node.now(), key, connection, head.idle_time);
            }
            outcome
        }
        Err(end) => {
            running.end(end);
            Outcome::Again
        }
    }
}

/// Find out whether a server that broke off a request is still there.
fn look_for(node: Shared, attempt: &Attempt) {
    let (key, addr) = (attempt.plan.primary, attempt.primary.addr);
    tokio::task::spawn_local(async move {
        if let Err(error) = connection::open(addr).await {
            tracing::info!(server = %addr, error = format!("{error:#}"), "a server is gone");
            node.gateway.borrow_mut().on_server_gone(node.now(), key);
        }
    });
}

/// Reserve the memory that the plan asks for on helping engines.
async fn reserve(exchange: &Exchange, attempt: &Attempt) -> Option<Vec<Option<Reservation>>> {
    let node = &exchange.node;
    let mut reservations = Vec::new();
    for (helper, addr) in attempt.plan.helpers.iter().zip(&attempt.helpers) {
        let Some(size) = helper.reserve else {
            reservations.push(None);
            continue;
        };
        let id = format_smolstr!("{}-{}", node.settings.instance, attempt.id.0);
        match Reservation::acquire(node, *addr, id, size).await {
            Some(reservation) => reservations.push(Some(reservation)),
            None => return None,
        }
    }
    Some(reservations)
}

async fn connect(exchange: &Exchange, attempt: &Attempt) -> eyre::Result<Connection> {
    let node = &exchange.node;
    // A request that must not run twice goes on a connection that can't have gone silent.
    let once = !exchange.req.borrow().admission.route.kind.may_repeat();
    if !once {
        let pooled = node
            .pool
            .borrow_mut()
            .take(node.now(), attempt.plan.primary);
        if let Some(connection) = pooled {
            return Ok(connection);
        }
    }
    node.metrics.connections.inc();
    connection::open(attempt.primary.addr).await
}

type Ended = (Outcome, AttemptEnd, AnswerHead);

/// Send the request and relay the answer.
async fn send(
    exchange: &Exchange,
    attempt: &Attempt,
    running: &Running<'_>,
    connection: &mut Connection,
    reservations: &[Option<Reservation>],
    reply: &mut Reply,
) -> Result<Ended, AttemptEnd> {
    let node = &exchange.node;
    let req = encode(exchange, attempt, reservations).map_err(|error| {
        tracing::error!(error = format!("{error:#}"), "could not encode a request");
        AttemptEnd::StaleConnection
    })?;
    {
        let mut gateway = node.gateway.borrow_mut();
        let mut state = exchange.req.borrow_mut();
        if !gateway.may_send(node.now(), &state, attempt) {
            return Err(AttemptEnd::StaleConnection);
        }
        gateway.on_sent(&mut state, attempt);
    }
    let sending = connection.sender.try_send_request(req);
    let answer = match running.wait(sending).await {
        Some(Ok(answer)) => answer,
        Some(Err(mut error)) => {
            if error.take_message().is_some() {
                let mut gateway = node.gateway.borrow_mut();
                gateway.on_unsent(&mut exchange.req.borrow_mut());
                return Err(AttemptEnd::StaleConnection);
            }
            tracing::info!(
                request = %exchange.req.borrow().spec.id,
                server = %attempt.primary.id,
                error = %error.into_error(),
                "no answer"
            );
            return Err(AttemptEnd::Broken);
        }
        None => return Err(silent(exchange)),
    };
    let head = answer::decode(answer.status().as_u16(), answer.headers());
    check(exchange, attempt, &head)?;
    let kind = exchange.req.borrow().admission.route.kind;
    if answer.status().is_success() && kind.is_stream() {
        let end = relay(exchange, running, answer, reply).await?;
        return Ok((Outcome::Delivered(head.status), end, head));
    }
    let (parts, body) = answer.into_parts();
    let body = match running.wait(body.collect()).await {
        Some(Ok(body)) => body.to_bytes(),
        Some(Err(error)) => {
            tracing::info!(server = %attempt.primary.id, %error, "an answer broke off");
            return Err(AttemptEnd::Broken);
        }
        None => return Err(silent(exchange)),
    };
    if head.not_run {
        return Err(refusal(exchange, attempt, &head));
    }
    if !parts.status.is_success() {
        let may_retry = parts.status.is_server_error() && exchange.may_abandon();
        if may_retry {
            return Err(AttemptEnd::Failed);
        }
        deliver(reply, parts.status, &parts.headers, body);
        return Ok((Outcome::Delivered(head.status), AttemptEnd::Failed, head));
    }
    deliver(reply, parts.status, &parts.headers, body);
    Ok((Outcome::Delivered(head.status), AttemptEnd::Completed, head))
}

/// Check that an answer is one of this server to this request.
fn check(exchange: &Exchange, attempt: &Attempt, head: &AnswerHead) -> Result<(), AttemptEnd> {
    let id = exchange.req.borrow().spec.id.clone();
    let success = (200..300).contains(&head.status);
    let matches = head.request.as_ref() == Some(&id);
    if (success && (!matches || !head.proven || head.encoded))
        || (head.request.is_some() && !matches)
    {
        tracing::warn!(
            request = %id,
            server = %attempt.primary.id,
            status = head.status,
            answers = head.request.as_deref(),
            proven = head.proven,
            encoded = head.encoded,
            "an answer is not one to this request"
        );
        return Err(AttemptEnd::Broken);
    }
    Ok(())
}

fn refusal(exchange: &Exchange, attempt: &Attempt, head: &AnswerHead) -> AttemptEnd {
    tracing::info!(
        request = %exchange.req.borrow().spec.id,
        server = %attempt.primary.id,
        status = head.status,
        at_fault = head.at_fault.as_ref().map(SocketAddr::to_string),
        "a backend server refused a request"
    );
    let node = &exchange.node;
    match head.at_fault {
        Some(addr) if addr != attempt.primary.addr => {
            node.gateway.borrow_mut().on_helper_fault(node.now(), addr);
            AttemptEnd::HelperFailed
        }
        _ if head.status == answer::WRONG_SERVER => AttemptEnd::WrongServer,
        _ => AttemptEnd::Refused,
    }
}

fn silent(exchange: &Exchange) -> AttemptEnd {
    if exchange.node.now() >= exchange.req.borrow().spec.deadline {
        AttemptEnd::Cancelled
    } else {
        AttemptEnd::Silent
    }
}

fn deliver(reply: &mut Reply, status: StatusCode, headers: &HeaderMap, body: Bytes) {
    let headers = answer::for_caller(headers);
    reply.finish(with_head(status, headers, CallerBody::whole(body)));
}

/// Relay a stream of events, whole events only.
async fn relay(
    exchange: &Exchange,
    running: &Running<'_>,
    answer: Response<Incoming>,
    reply: &mut Reply,
) -> Result<AttemptEnd, AttemptEnd> {
    let (parts, mut body) = answer.into_parts();
    let last = exchange.last_delivered.get().or(exchange.last_event);
    let mut events = EventSplitter::after(last);
    loop {
        let frame = match running.wait(body.frame()).await {
            Some(Some(Ok(frame))) => frame,
            Some(Some(Err(error))) => {
                tracing::info!(
                    request = %exchange.req.borrow().spec.id,
                    last_event = events.last(),
                    %error,
                    "a stream broke off"
                );
                return Err(AttemptEnd::Broken);
            }
            Some(None) if events.is_at_boundary() => break,
            Some(None) => return Err(AttemptEnd::Broken),
            None => return Err(silent(exchange)),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let (whole, count) = events.push(&data).map_err(|error| {
            tracing::warn!(
                request = %exchange.req.borrow().spec.id,
                last_event = events.last(),
                %error,
                "a stream is not in order"
            );
            AttemptEnd::Broken
        })?;
        if count > 0 {
            running.on_events(count);
            reply.begin_stream(parts.status, answer::for_caller(&parts.headers));
            exchange.last_delivered.set(events.last());
            reply.send(Piece::Data(whole)).await;
        }
    }
    reply.begin_stream(parts.status, answer::for_caller(&parts.headers));
    reply.send(Piece::End).await;
    *reply = Reply::Done;
    Ok(AttemptEnd::Completed)
}

fn encode(
    exchange: &Exchange,
    attempt: &Attempt,
    reservations: &[Option<Reservation>],
) -> eyre::Result<Request<Full<Bytes>>> {
    let req = exchange.req.borrow();
    let helpers: Vec<(SocketAddr, Option<SmolStr>)> = attempt
        .helpers
        .iter()
        .zip(reservations)
        .map(|(addr, held)| (*addr, held.as_ref().map(|held| held.id().clone())))
        .collect();
    let organisation = req.admission.organisation.as_ref();
    let dispatch = Dispatch {
        server: &attempt.primary.id,
        time: left(exchange.node.now(), req.spec.deadline),
        organisation: organisation.map(|organisation| &organisation.id),
        last_event: exchange.last_delivered.get().or(exchange.last_event),
        helpers: &helpers,
        priority: req.admission.engine_priority(attempt.scheduling),
    };
    let headers = request::encode(&exchange.headers, &dispatch)?;
    let mut out = Request::new(Full::new(exchange.body.clone()));
    *out.method_mut() = exchange.method.clone();
    *out.uri_mut() = exchange.uri.clone();
    *out.headers_mut() = headers;
    Ok(out)
}

fn left(now: Timestamp, deadline: Timestamp) -> Millis {
    now.until(deadline)
}

impl Exchange {
    /// Return whether another attempt may follow one that may have run.
    fn may_abandon(&self) -> bool {
        let req = self.req.borrow();
        let kind = req.admission.route.kind;
        kind != RouteKind::NonIdempotent && self.node.gateway.borrow().may_abandon(&req)
    }
}
