//! Simulate one server of a plain service and record each execution.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use clap::Args;
use clap::Parser;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use oleanderpass_proto::engine::LoadReport;
use serde::Deserialize;
use serde::Serialize;

use crate::http::Body;
use crate::http::Server;
use crate::http::header_text;
use crate::http::json_response;
use crate::http::new_incarnation;
use crate::http::past_deadline;
use crate::http::query_param;
use crate::http::read_body;
use crate::http::refusal_response;
use crate::output::prompt_seed;

/// The settings of a simulated plain service server.
#[derive(Args, Clone, Debug)]
pub struct ServiceConfig {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Id of the server.
    #[arg(long, default_value = "service-1")]
    pub id: String,
    /// Duration of each execution, in milliseconds.
    #[arg(long, default_value_t = 5)]
    pub execution_ms: u64,
    /// Requests that run at the same time; more are refused as `full`.
    #[arg(long, default_value_t = 64)]
    pub concurrent_requests: u32,
    /// Refuse requests whose `oleanderpass-not-after-unix-ms` has passed.
    #[arg(long)]
    pub checks_deadline: bool,
}

/// Parses an empty command line, so that `Default` uses the defaults of the flags.
#[derive(Parser)]
struct DefaultArgs {
    #[command(flatten)]
    cfg: ServiceConfig,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        DefaultArgs::parse_from(["service"]).cfg
    }
}

/// One execution of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The header `oleanderpass-stream-id`; empty if the request had none.
    pub stream_id: String,
    /// The HTTP method.
    pub method: String,
    /// The path with the query string.
    pub path: String,
    /// The first 256 characters of the body; invalid UTF-8 is replaced.
    pub body: String,
}

/// Characters of a body that an execution record keeps.
const RECORDED_BODY_CHARS: usize = 256;

/// The body of the response to an executed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The id of the server that executed the request.
    pub server: String,
    /// The number of the execution on this server, counted from 1.
    pub execution: usize,
    /// The header `oleanderpass-stream-id` of the request; empty if it had none.
    pub stream_id: String,
    /// The path of the request with its query string.
    pub path: String,
    /// The xxh3 hash of the request's body, in which invalid UTF-8 is replaced.
    pub body_hash: u64,
}

#[derive(Default)]
struct State {
    executions: Vec<Execution>,
    running: u32,
    leaving: bool,
    /// Coming executions whose response is replaced by a dropped connection.
    answers_to_drop: u32,
}

struct Shared {
    cfg: ServiceConfig,
    /// Set once at start: a crash drops connections only.
    incarnation: u64,
    state: Mutex<State>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running simulated server of a plain service. It stops when it is dropped.
///
/// Besides the interface of a plain service it serves `GET /executions`, `POST /control/leave` and
/// `POST /control/drop-answers?count=N`, which drops the connection after each of the next `N`
/// executions instead of sending a response.
pub struct Service {
    shared: Arc<Shared>,
    server: Server,
}

impl Service {
    /// Start a server in the current Tokio runtime.
    pub fn start(cfg: ServiceConfig) -> io::Result<Self> {
        let listen = cfg.listen;
        let state = Mutex::default();
        let shared = Arc::new(Shared {
            cfg,
            incarnation: new_incarnation(),
            state,
        });
        let handler = Arc::clone(&shared);
        let server = Server::start(listen, move |req| handle(Arc::clone(&handler), req))?;
        Ok(Self { shared, server })
    }

    /// Return the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Return all executions so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.state().executions.clone()
    }

    /// Refuse new requests from now on, with the reason `leaving`.
    pub fn leave(&self) {
        self.shared.state().leaving = true;
    }

    /// Drop all connections and, for the given time, close new ones as soon as they are accepted.
    ///
    /// Recorded executions and the incarnation stay.
    pub fn crash(&self, outage: Duration) {
        self.server.drop_connections(outage);
    }
}

async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Option<Response<Body>> {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, "/load") => Some(json_response(&load_report(&shared))),
        (&Method::GET, "/executions") => Some(json_response(&shared.state().executions)),
        (&Method::POST, "/control/leave") => {
            shared.state().leaving = true;
            Some(json_response(&true))
        }
        (&Method::POST, "/control/drop-answers") => {
            let count =
                query_param(req.uri().query(), "count").and_then(|count| count.parse().ok());
            shared.state().answers_to_drop = count.unwrap_or(1);
            Some(json_response(&true))
        }
        _ => execute(shared, req).await,
    }
}

fn load_report(shared: &Shared) -> LoadReport {
    let state = shared.state();
    LoadReport {
        server: shared.cfg.id.clone(),
        incarnation: shared.incarnation,
        state: if state.leaving { "leaving" } else { "live" }.to_owned(),
        running: state.running,
        ..LoadReport::default()
    }
}

/// Return why a request is refused before its start, or `None` if it can run.
fn refusal_reason(shared: &Shared, not_after_unix_ms: Option<u64>) -> Option<&'static str> {
    let state = shared.state();
    if state.leaving {
        Some("leaving")
    } else if shared.cfg.checks_deadline && past_deadline(not_after_unix_ms) {
        Some("deadline")
    } else if state.running >= shared.cfg.concurrent_requests {
        Some("full")
    } else {
        None
    }
}

/// Execute a request. Return `None` to drop the connection without a response.
async fn execute(shared: Arc<Shared>, req: Request<Incoming>) -> Option<Response<Body>> {
    let not_after_unix_ms = header_text(&req, "oleanderpass-not-after-unix-ms")
        .parse()
        .ok();
    let stream_id = header_text(&req, "oleanderpass-stream-id").to_owned();
    let method = req.method().to_string();
    let path = req
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned();
    let body = read_body(req.into_body()).await?;
    if let Some(reason) = refusal_reason(&shared, not_after_unix_ms) {
        return Some(refusal_response(reason));
    }
    let text = String::from_utf8_lossy(&body);
    let recorded = text.chars().take(RECORDED_BODY_CHARS).collect();
    let answer = {
        let mut state = shared.state();
        state.running += 1;
        let answer_stream_id = stream_id.clone();
        state.executions.push(Execution {
            stream_id,
            method,
            path: path.clone(),
            body: recorded,
        });
        ServiceAnswer {
            server: shared.cfg.id.clone(),
            execution: state.executions.len(),
            stream_id: answer_stream_id,
            path,
            body_hash: prompt_seed(&text),
        }
    };
    // A task of its own: the execution goes on when the client disconnects, as in a real service.
    let task_shared = Arc::clone(&shared);
    let _ = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(task_shared.cfg.execution_ms)).await;
        task_shared.state().running -= 1;
    })
    .await;
    let mut state = shared.state();
    if state.answers_to_drop > 0 {
        state.answers_to_drop -= 1;
        return None;
    }
    Some(json_response(&answer))
}
