//! Send control requests to backend servers: polls, orders, holds and imports of KV cache.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use eyre::ensure;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::Observation;
use oleanderpass_core::event::ServerLoad;
use oleanderpass_proto::engine;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::size::Tokens;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::backend::pool::ConnectionPool;
use crate::caller::answer::JSON;
use crate::clock::Clock;
use crate::metrics::ControlTraffic;
use crate::metrics::Metrics;

/// The timeout for a control request and its answer. It equals the period of load polls.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout for an import of KV cache. It covers 500,000 tokens of about 100 KB each at 2 GB/s.
const KV_IMPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// The largest body of an answer to a control request, in bytes.
const MAX_CONTROL_ANSWER_BYTES: usize = 1 << 20;

/// Sends control requests to one backend server.
#[derive(Clone, Debug)]
pub struct ServerClient {
    /// The pool of connections to backend servers.
    pub pool: ConnectionPool,
    /// The monotonic clock.
    pub clock: Clock,
    /// The server that the requests go to.
    pub server: BackendServerId,
    /// Its address.
    pub addr: SocketAddr,
    /// The metrics that count the bytes of poll answers.
    pub metrics: Arc<Metrics>,
}

impl ServerClient {
    /// Poll the server for its load, state, holds or cache events.
    pub async fn observe(self, observation: Observation) -> Event {
        let observed = match observation {
            Observation::Load => self.poll_load().await,
            Observation::State => self
                .get("/state")
                .await
                .map(|state| Event::EngineState(Box::new(state))),
            Observation::Holds => self.get("/holds").await.map(|list| Event::HoldList {
                server: self.server.clone(),
                list: Box::new(list),
            }),
            Observation::CacheEvents { after } => self
                .get(&format!("/events?after={after}"))
                .await
                .map(|events| Event::CacheEvents {
                    server: self.server.clone(),
                    events: Box::new(events),
                }),
        };
        observed.unwrap_or_else(|error| Event::ObserveFailed {
            server: self.server,
            observation,
            cause: format_smolstr!("{error:#}"),
        })
    }

    /// Send an order to the engine.
    pub async fn send_order(self, order: Box<engine::Order>) -> Event {
        let answer = self.post("/orders", order.as_ref(), EXCHANGE_TIMEOUT).await;
        Event::OrderAnswered {
            server: self.server,
            order,
            answer: ok_or_log("order", answer),
        }
    }

    /// Ask the engine for a hold.
    pub async fn request_hold(self, hold: Box<engine::HoldRequest>) -> Event {
        let answer: eyre::Result<engine::HoldAnswer> =
            self.post("/holds", hold.as_ref(), EXCHANGE_TIMEOUT).await;
        Event::HoldAnswered {
            server: self.server,
            hold: hold.id.into(),
            granted: ok_or_log("hold", answer).map(|answer| answer.granted),
        }
    }

    /// Release a hold. The answer 404 confirms the release too, because the engine no longer has
    /// the hold.
    pub async fn release_hold(self, hold: SmolStr) -> Event {
        let path = format!("/holds/{hold}");
        let answer = self
            .exchange(Method::DELETE, &path, Bytes::new(), EXCHANGE_TIMEOUT)
            .await;
        let confirmed = ok_or_log("release of a hold", answer)
            .is_some_and(|(status, _)| status.is_success() || status == StatusCode::NOT_FOUND);
        Event::HoldReleased {
            server: self.server,
            hold,
            confirmed,
        }
    }

    /// Make the engine import a part of a stream's KV cache into a hold.
    ///
    /// # Errors
    ///
    /// Return why the part was not imported.
    pub async fn import_kv(&self, transfer: &engine::KvTransfer) -> eyre::Result<()> {
        let answer: engine::HoldAnswer =
            self.post("/kv/import", transfer, KV_IMPORT_TIMEOUT).await?;
        ensure!(answer.granted, "refused: {}", answer.reason);
        Ok(())
    }

    async fn poll_load(&self) -> eyre::Result<Event> {
        let report = self.get("/load").await?;
        validate_load(&self.server, &report).map(Event::LoadReport)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> eyre::Result<T> {
        let (status, body) = self
            .exchange(Method::GET, path, Bytes::new(), EXCHANGE_TIMEOUT)
            .await?;
        ensure!(status.is_success(), "{path}: status {status}");
        self.metrics
            .count_control_bytes(ControlTraffic::Polls, body.len());
        serde_json::from_slice(&body).wrap_err_with(|| format!("parse the answer to {path}"))
    }

    /// Send JSON and parse the JSON answer whatever its status, because a refusal is JSON as well.
    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> eyre::Result<T> {
        let body = serde_json::to_vec(body)?;
        let (status, answer) = self
            .exchange(Method::POST, path, body.into(), timeout)
            .await?;
        serde_json::from_slice(&answer)
            .wrap_err_with(|| format!("parse the answer to {path} with status {status}"))
    }

    /// Send a request and return status and body of the answer.
    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> eyre::Result<(StatusCode, Bytes)> {
        let deadline = self.clock.now() + timeout.into();
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.addr.to_string())
            .header(CONTENT_TYPE, JSON)
            .body(Full::new(body))?;
        let exchange = async {
            let mut connection = self.pool.acquire(self.addr).await.wrap_err("connect")?;
            let answer = connection.send(req, deadline).await.wrap_err("send")?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_CONTROL_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|error| eyre::eyre!("read: {error}"))?
                .to_bytes();
            self.pool.release(connection);
            Ok((status, body))
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .wrap_err("no answer in time")?
    }
}

/// Log an error and return `None` for it.
fn ok_or_log<T>(what: &str, answer: eyre::Result<T>) -> Option<T> {
    answer
        .inspect_err(|error| {
            let cause = format!("{error:#}");
            tracing::warn!(what, cause, "call of a backend server failed");
        })
        .ok()
}

/// Validate a load report and convert it.
///
/// # Errors
///
/// Return the cause when the report comes from another server or names an unknown state.
pub fn validate_load(
    server: &BackendServerId,
    raw: &engine::LoadReport,
) -> eyre::Result<ServerLoad> {
    ensure!(
        raw.server == server.as_str(),
        "the report is of `{}`, not of `{server}`",
        raw.server
    );
    Ok(ServerLoad {
        server: server.clone(),
        incarnation: Incarnation::new(raw.incarnation),
        state: raw
            .state
            .parse()
            .wrap_err_with(|| format!("state `{}`", raw.state))?,
        running: raw.running,
        queued: raw.queued,
        queued_prefill: Tokens::new(raw.queued_prefill_tokens),
        memory_used: Tokens::new(raw.memory_used_tokens),
        memory: Tokens::new(raw.memory_tokens),
        age: Millis::new(raw.age_ms),
    })
}
