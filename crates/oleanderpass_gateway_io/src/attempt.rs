//! Run one attempt of a request at a backend server.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use http::Request;
use http::Response;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use oleanderpass_gateway::gateway::Attempt;
use oleanderpass_gateway::gateway::AttemptEnd;
use oleanderpass_gateway::reservation::reservation_id;
use oleanderpass_gateway::silence;
use oleanderpass_gateway::silence::ANSWER_GRACE;
use oleanderpass_platform::answer;
use oleanderpass_platform::answer::AnswerHead;
use oleanderpass_platform::request;
use oleanderpass_platform::request::Dispatch;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use smol_str::SmolStr;

use crate::body::CallerBody;
use crate::body::RequestBody;
use crate::body::StreamChunk;
use crate::clock::sleep_until;
use crate::connection::Connection;
use crate::events::EventSplitter;
use crate::events::StreamError;
use crate::exchange::Exchange;
use crate::exchange::build_answer;
use crate::metrics::prompt_length_label;
use crate::notices;
use crate::pieces::Pieces;
use crate::reach;
use crate::receive;
use crate::receive::ReceiveError;
use crate::reservation;
use crate::reservation::Reservation;

/// The interval at which a silent attempt checks whether its server is gone.
const GONE_CHECK_INTERVAL: Millis = Millis::new(100);

/// What an attempt did for the caller.
pub(crate) enum Outcome {
    /// The caller has no complete answer, so another attempt may follow.
    Undelivered,
    /// The caller was sent the server's answer, which has this HTTP status.
    Delivered(u16),
}

/// An attempt in progress. Reports its end to the gateway exactly once; if it is dropped before its
/// end, because the caller left, it is reported as cancelled.
struct RunningAttempt<'a> {
    exchange: &'a Exchange,
    attempt: Box<Attempt>,
    /// Whether a whole event has arrived.
    has_events: Cell<bool>,
    /// Whether the end has been reported.
    ended: Cell<bool>,
    began: Timestamp,
    /// When the server last sent something, or the attempt began.
    last_sign: Cell<Timestamp>,
    progress: Cell<Progress>,
}

/// How the events of an attempt arrived, for the log.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// The number of events.
    events: u64,
    /// The time from the start of the attempt to the first event.
    first_event: Option<Millis>,
    /// The longest time between two arrivals of events.
    longest_gap: Millis,
    last_event_at: Option<Timestamp>,
}

impl RunningAttempt<'_> {
    /// Report the end of the attempt, unless one has been reported already.
    fn end(&self, end: AttemptEnd) {
        if self.ended.replace(true) {
            return;
        }
        let instance = &self.exchange.instance;
        let end = instance.gateway.borrow_mut().on_attempt_end(
            instance.now(),
            &mut self.exchange.req.borrow_mut(),
            &self.attempt,
            end,
        );
        let progress = self.progress.get();
        tracing::info!(
            request = %self.exchange.req.borrow().spec.id,
            server = %self.attempt.primary.id,
            %end,
            elapsed_ms = instance.now().since(self.began).get(),
            events = progress.events,
            first_event_ms = progress.first_event.map(Millis::get),
            longest_gap_ms = progress.longest_gap.get(),
            silent_ms = instance.now().since(self.last_sign.get()).get(),
            server_gone = instance
                .gateway
                .borrow()
                .is_gone(instance.now(), self.attempt.plan.primary),
            last_event = self.exchange.last_delivered.get(),
            "an attempt ended"
        );
        if matches!(end, AttemptEnd::Broken | AttemptEnd::Silent) {
            self.check_reach();
        }
        let label = end.to_string();
        instance.metrics.attempts.with_label_values(&[&label]).inc();
        instance.load_changed.notify_one();
    }

    /// Check in the background whether the server still accepts connections.
    fn check_reach(&self) {
        reach::check(
            self.exchange.instance.clone(),
            self.attempt.plan.primary,
            self.attempt.primary.addr,
        );
    }

    /// Record that the server is silent. The attempt goes on, and another one may begin beside it.
    fn on_silent(&self) {
        let exchange = self.exchange;
        let now = exchange.instance.now();
        let is_new = {
            let mut gateway = exchange.instance.gateway.borrow_mut();
            gateway.on_silent(now, &mut exchange.req.borrow_mut(), &self.attempt)
        };
        if is_new {
            tracing::info!(
                request = %exchange.req.borrow().spec.id,
                server = %self.attempt.primary.id,
                silent_ms = now.since(self.last_sign.get()).get(),
                last_event = exchange.last_delivered.get(),
                "a backend server is silent"
            );
            self.check_reach();
            exchange.attempts_changed.notify_one();
        }
    }

    /// Record that `count` whole events of the stream arrived.
    fn on_events(&self, count: usize) {
        let now = self.exchange.instance.now();
        let mut progress = self.progress.get();
        if let Some(last) = progress.last_event_at.replace(now) {
            let gap = now.since(last);
            progress.longest_gap = progress.longest_gap.max(gap);
            let pass_ms = gap.get() as f64 / count as f64;
            let mut gateway = self.exchange.instance.gateway.borrow_mut();
            gateway.on_pass(now, self.attempt.plan.primary, pass_ms);
        } else {
            progress.first_event = Some(now.since(self.began));
        }
        progress.events += count as u64;
        self.progress.set(progress);
        let req = &self.exchange.req;
        let gateway = &self.exchange.instance.gateway;
        gateway
            .borrow_mut()
            .on_events(now, &mut req.borrow_mut(), &self.attempt);
        if self.has_events.replace(true) {
            return;
        }
        let instance = &self.exchange.instance;
        instance.gateway.borrow_mut().on_first_event(&self.attempt);
        instance.load_changed.notify_one();
        let mut req = self.exchange.req.borrow_mut();
        if !req.delivering {
            req.delivering = true;
            let elapsed = instance.now().since(self.exchange.received);
            instance
                .metrics
                .first_event
                .with_label_values(&[prompt_length_label(req.spec.prompt)])
                .observe(elapsed.get() as f64 / 1_000.0);
        }
    }

    /// Wait for `step`. Return `None` once the deadline has passed, or if this attempt is a hedge
    /// whose server is silent too and yet another one may run the request.
    async fn wait<T>(&self, step: impl Future<Output = T>) -> Option<T> {
        tokio::pin!(step);
        let exchange = self.exchange;
        let began = exchange.instance.now();
        let (deadline, timeout) = {
            let req = exchange.req.borrow();
            let expected_first_event = Millis::new(self.attempt.plan.behind_all_ms as u64);
            let timeout = silence::timeout(
                &req.admission.route,
                self.has_events.get(),
                expected_first_event,
            );
            (req.spec.deadline + ANSWER_GRACE, timeout)
        };
        let silence_end = began + timeout;
        loop {
            let check = exchange.instance.now() + GONE_CHECK_INTERVAL;
            tokio::select! {
                biased;
                value = &mut step => {
                    self.last_sign.set(exchange.instance.now());
                    return Some(value);
                }
                () = sleep_until(check.min(deadline)) => {}
            }
            let now = exchange.instance.now();
            if now >= deadline {
                return None;
            }
            let is_lead = exchange.req.borrow().attempts.is_lead(self.attempt.id);
            if !self.may_go_elsewhere(now, silence_end, is_lead) {
                continue;
            }
            if !is_lead {
                return None;
            }
            self.on_silent();
        }
    }

    /// Return whether the server is silent or gone, and another one may get the request: beside the
    /// lead, or in place of a hedge.
    fn may_go_elsewhere(&self, now: Timestamp, silence_end: Timestamp, is_lead: bool) -> bool {
        let gateway = self.exchange.instance.gateway.borrow();
        let req = self.exchange.req.borrow();
        let is_silent = now >= silence_end || gateway.is_gone(now, self.attempt.plan.primary);
        is_silent
            && match is_lead {
                true => gateway.may_hedge(&req),
                false => gateway.may_replace_hedge(now, &req),
            }
    }
}

impl Drop for RunningAttempt<'_> {
    fn drop(&mut self) {
        self.end(AttemptEnd::Cancelled);
    }
}

/// Run an attempt and report its end to the gateway, also if the future is dropped before it is
/// polled.
pub(crate) fn run(exchange: &Exchange, attempt: Box<Attempt>) -> impl Future<Output = Outcome> {
    let began = exchange.instance.now();
    let running = RunningAttempt {
        exchange,
        attempt,
        has_events: Cell::new(false),
        ended: Cell::new(false),
        began,
        last_sign: Cell::new(began),
        progress: Cell::new(Progress::default()),
    };
    async move { run_to_end(&running).await }
}

async fn run_to_end(running: &RunningAttempt<'_>) -> Outcome {
    let exchange = running.exchange;
    let attempt = &*running.attempt;
    let reservations = match reserve_on_helpers(exchange, attempt).await {
        Ok(reservations) => reservations,
        Err(end) => {
            running.end(end);
            return Outcome::Undelivered;
        }
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
            return Outcome::Undelivered;
        }
    };
    let sending = send(exchange, attempt, running, &mut connection, &reservations);
    let event_count = || running.progress.get().events;
    let result = tokio::select! {
        biased;
        result = sending => result,
        // The primary server is gone or has ended the request before its first event.
        () = reservation::keep(&reservations, &exchange.instance, attempt.primary.addr, event_count) => {
            Err(AttemptEnd::Silent)
        }
    };
    match result {
        Ok((outcome, end, head)) => {
            running.end(end);
            if !head.closes {
                let instance = &exchange.instance;
                let key = attempt.plan.primary;
                instance
                    .pool
                    .borrow_mut()
                    .release(instance.now(), key, connection, head.idle_time);
            }
            outcome
        }
        Err(end) => {
            running.end(end);
            Outcome::Undelivered
        }
    }
}

/// Reserve memory on the helpers as the plan of the attempt requires, with `None` for a helper that
/// needs no reservation.
///
/// # Errors
///
/// Return how the attempt ended if a helper doesn't grant its reservation.
async fn reserve_on_helpers(
    exchange: &Exchange,
    attempt: &Attempt,
) -> Result<Vec<Option<Rc<Reservation>>>, AttemptEnd> {
    let instance = &exchange.instance;
    let mut reservations = Vec::new();
    for (helper, addr) in attempt.plan.helpers.iter().zip(&attempt.helpers) {
        let Some(size) = helper.reserve else {
            reservations.push(None);
            continue;
        };
        // The zone of one of the servers may have been evacuated while the last order was sent.
        let may_send = {
            let gateway = instance.gateway.borrow();
            gateway.may_send(instance.now(), &exchange.req.borrow(), attempt)
        };
        if !may_send {
            return Err(AttemptEnd::StaleConnection);
        }
        let lifetime = instance.gateway.borrow().fleet().lifetime();
        let id = reservation_id(&instance.settings.instance, lifetime, attempt.id);
        let reservation = Reservation::acquire(instance, *addr, id, size).await?;
        reservations.push(Some(Rc::new(reservation)));
    }
    Ok(reservations)
}

/// Return an idle connection to the server of the attempt, or open one.
async fn connect(exchange: &Exchange, attempt: &Attempt) -> eyre::Result<Connection> {
    let instance = &exchange.instance;
    if !attempt.needs_new_connection {
        let way = instance.gateway.borrow().way(attempt.plan.primary);
        let pooled = instance
            .pool
            .borrow_mut()
            .acquire(instance.now(), attempt.plan.primary, way);
        if let Some(connection) = pooled {
            return Ok(connection);
        }
    }
    instance.metrics.connections.inc();
    reach::open(instance, attempt.plan.primary, attempt.primary.addr).await
}

/// The result of an attempt whose answer was sent to the caller.
type Answered = (Outcome, AttemptEnd, AnswerHead);

/// Send the request and relay the answer to the caller.
///
/// # Errors
///
/// Return how the attempt ended if the caller has no complete answer.
async fn send(
    exchange: &Exchange,
    attempt: &Attempt,
    running: &RunningAttempt<'_>,
    connection: &mut Connection,
    reservations: &[Option<Rc<Reservation>>],
) -> Result<Answered, AttemptEnd> {
    let instance = &exchange.instance;
    // Nothing was sent and the server is not at fault, so a request that can't be encoded ends its
    // attempt like a stale connection.
    let last_event = exchange.last_delivered.get().or(exchange.last_event);
    let req = encode_request(exchange, attempt, reservations, last_event).map_err(|error| {
        tracing::error!(error = format!("{error:#}"), "could not encode a request");
        AttemptEnd::StaleConnection
    })?;
    {
        let mut gateway = instance.gateway.borrow_mut();
        let mut state = exchange.req.borrow_mut();
        if !gateway.may_send(instance.now(), &state, attempt) {
            return Err(AttemptEnd::StaleConnection);
        }
        gateway.on_sent(&mut state, attempt);
    }
    let answer = match running.wait(connection.try_send(req)).await {
        Some(Ok(answer)) => answer,
        Some(Err(mut error)) => {
            if error.take_message().is_some() {
                let mut gateway = instance.gateway.borrow_mut();
                gateway.on_unsent(&mut exchange.req.borrow_mut());
                return Err(AttemptEnd::StaleConnection);
            }
            let error = ReceiveError::from(error.into_error());
            return Err(end_of_unreceived(exchange, attempt, &error));
        }
        None => return Err(end_without_answer(exchange)),
    };
    let head = answer::decode(answer.status().as_u16(), answer.headers());
    check_answer(exchange, attempt, &head)?;
    notices::record(instance, attempt.plan.primary, &head);
    if let (Some(relay), Some(pause)) = (connection.relay, head.pause) {
        notices::tell_relay(instance, relay, attempt.primary.addr, pause);
    }
    // A refusal may come from a part of the server that doesn't know its limit, so only a proven
    // success without one shows that the limit no longer holds.
    let is_success = answer.status().is_success() && head.proven;
    if head.rate_limit.is_some() || is_success {
        instance.gateway.borrow_mut().on_server_limit(
            instance.now(),
            attempt.plan.primary,
            head.rate_limit,
        );
    }
    let kind = exchange.req.borrow().admission.route.kind;
    if answer.status().is_success() && kind.is_stream() {
        let end = relay(exchange, running, &head, answer, last_event).await?;
        return Ok((Outcome::Delivered(head.status), end, head));
    }
    let (parts, body) = answer.into_parts();
    let body = match running.wait(receive::body(body, &instance.memory)).await {
        Some(Ok(body)) => body,
        Some(Err(error)) => return Err(end_of_unreceived(exchange, attempt, &error)),
        None => return Err(end_without_answer(exchange)),
    };
    if head.not_run {
        return Err(record_refusal(exchange, attempt, &head));
    }
    if !parts.status.is_success() {
        // Nothing but further events can follow those that the caller has.
        let has_events = exchange.req.borrow().delivering;
        let may_retry = parts.status.is_server_error() && exchange.may_go_on();
        if has_events || may_retry {
            return Err(AttemptEnd::Failed);
        }
        deliver(exchange, attempt, parts, body).await;
        return Ok((Outcome::Delivered(head.status), AttemptEnd::Failed, head));
    }
    deliver(exchange, attempt, parts, body).await;
    Ok((Outcome::Delivered(head.status), AttemptEnd::Completed, head))
}

/// Check that an answer is final and belongs to this request. A success must carry the id of the request and the
/// proof of a backend server, and its body must have no encoding. Any other answer may lack the id.
fn check_answer(
    exchange: &Exchange,
    attempt: &Attempt,
    head: &AnswerHead,
) -> Result<(), AttemptEnd> {
    let id = exchange.req.borrow().spec.id.clone();
    let success = (200..300).contains(&head.status);
    let matches = head.request.as_ref() == Some(&id);
    if !head.is_final()
        || (success && (!matches || !head.proven || head.encoded))
        || (head.request.is_some() && !matches)
    {
        tracing::warn!(
            request = %id,
            server = %attempt.primary.id,
            status = head.status,
            answers = head.request.as_deref().map(first_chars),
            proven = head.proven,
            encoded = head.encoded,
            "an answer is not one to this request"
        );
        return Err(AttemptEnd::Broken);
    }
    Ok(())
}

/// Return the beginning of an id from a server's answer, which may be of any length.
fn first_chars(id: &str) -> &str {
    const MAX_CHARS: usize = 64;
    let end = id.char_indices().nth(MAX_CHARS);
    end.map_or(id, |(end, _)| &id[..end])
}

/// Return how an attempt that the server did not run ended. If a helper is at fault, report it to
/// the gateway.
fn record_refusal(exchange: &Exchange, attempt: &Attempt, head: &AnswerHead) -> AttemptEnd {
    tracing::info!(
        request = %exchange.req.borrow().spec.id,
        server = %attempt.primary.id,
        status = head.status,
        at_fault = head.at_fault.as_ref().map(SocketAddr::to_string),
        "a backend server refused a request"
    );
    let instance = &exchange.instance;
    match head.at_fault {
        Some(addr) if addr != attempt.primary.addr => {
            let now = instance.now();
            let helper = instance.gateway.borrow().server_at(now, addr);
            instance.gateway.borrow_mut().on_helper_fault(now, addr);
            if let Some(key) = helper {
                reach::check(instance.clone(), key, addr);
            }
            AttemptEnd::HelperFailed
        }
        _ if head.status == answer::WRONG_SERVER => AttemptEnd::WrongServer,
        _ => AttemptEnd::Refused,
    }
}

/// Return how an attempt ended whose answer could not be received.
fn end_of_unreceived(exchange: &Exchange, attempt: &Attempt, error: &ReceiveError) -> AttemptEnd {
    let end = match error {
        ReceiveError::Broken(_) => AttemptEnd::Broken,
        ReceiveError::NoRoom(_) => AttemptEnd::Oversized,
    };
    tracing::info!(
        request = %exchange.req.borrow().spec.id,
        server = %attempt.primary.id,
        %error,
        "no answer"
    );
    end
}

/// Return how an attempt ended when the wait for the server ran out.
fn end_without_answer(exchange: &Exchange) -> AttemptEnd {
    if exchange.instance.now() >= exchange.req.borrow().spec.deadline {
        AttemptEnd::Cancelled
    } else {
        AttemptEnd::Silent
    }
}

/// Send a complete answer to the caller.
async fn deliver(exchange: &Exchange, attempt: &Attempt, head: Parts, body: Pieces) {
    exchange.claim(attempt).await;
    let headers = answer::caller_headers(&head.headers);
    exchange.finish(build_answer(
        head.status,
        headers,
        CallerBody::Complete(body),
    ));
}

/// Relay a stream of events to the caller, from the one after `last_event` on. Only whole events are
/// sent, so that another server can continue the stream after the last one.
async fn relay(
    exchange: &Exchange,
    running: &RunningAttempt<'_>,
    head: &AnswerHead,
    answer: Response<Incoming>,
    last_event: Option<u64>,
) -> Result<AttemptEnd, AttemptEnd> {
    let (parts, mut body) = answer.into_parts();
    let mut events = EventSplitter::after(last_event, &exchange.instance.memory);
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
            // Without framing, a stream that ends before its first event can't be told from one
            // that was cut.
            Some(None) if head.ends_with_connection && !running.has_events.get() => {
                return Err(AttemptEnd::Broken);
            }
            Some(None) if events.is_at_boundary() => break,
            Some(None) => return Err(AttemptEnd::Broken),
            None => return Err(end_without_answer(exchange)),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let (whole, count) = events.push(&data).map_err(|error| {
            tracing::warn!(
                request = %exchange.req.borrow().spec.id,
                last_event = events.last(),
                %error,
                "a stream has an invalid event"
            );
            match error {
                StreamError::NoRoom(_) => AttemptEnd::Oversized,
                StreamError::OutOfOrder | StreamError::NoNumber => AttemptEnd::Broken,
            }
        })?;
        if count > 0 {
            exchange.claim(&running.attempt).await;
            running.on_events(count);
            exchange.begin_stream(parts.status, answer::caller_headers(&parts.headers));
            exchange.last_delivered.set(events.last());
            exchange.send(StreamChunk::Data(whole)).await;
        }
    }
    exchange.claim(&running.attempt).await;
    exchange.begin_stream(parts.status, answer::caller_headers(&parts.headers));
    exchange.send(StreamChunk::End).await;
    Ok(AttemptEnd::Completed)
}

/// Encode the request for the server of the attempt.
fn encode_request(
    exchange: &Exchange,
    attempt: &Attempt,
    reservations: &[Option<Rc<Reservation>>],
    last_event: Option<u64>,
) -> eyre::Result<Request<RequestBody>> {
    let req = exchange.req.borrow();
    let helpers: Vec<(SocketAddr, Option<SmolStr>)> = attempt
        .helpers
        .iter()
        .zip(reservations)
        .map(|(addr, reservation)| (*addr, reservation.as_ref().map(|r| r.id().clone())))
        .collect();
    let organisation = req.admission.organisation.as_ref();
    let dispatch = Dispatch {
        server: &attempt.primary.id,
        time_left: time_left(exchange.instance.now(), req.spec.deadline),
        organisation: organisation.map(|organisation| &organisation.id),
        last_event,
        helpers: &helpers,
        priority: req.admission.engine_priority(attempt.scheduling),
    };
    let headers = request::encode(&exchange.headers, &dispatch)?;
    let mut out = Request::new(exchange.body.clone());
    *out.method_mut() = exchange.method.clone();
    *out.uri_mut() = exchange.uri.clone();
    *out.headers_mut() = headers;
    Ok(out)
}

/// Return the time until a deadline, or zero if it has passed.
fn time_left(now: Timestamp, deadline: Timestamp) -> Millis {
    now.until(deadline)
}

impl Exchange {
    /// Return whether another attempt is in flight or may follow one that the server may have run.
    fn may_go_on(&self) -> bool {
        let req = self.req.borrow();
        req.attempts.has_hedge() || self.instance.gateway.borrow().may_hedge(&req)
    }
}
