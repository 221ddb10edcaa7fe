//! Simulate the platform: the configuration service and the instance list.

use std::collections::VecDeque;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use clap::Args;
use clap::Parser;
use oleanderpass_proto::platform::InstanceList;
use serde::Deserialize;
use serde::Serialize;
use tiny_http::Header;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;

use crate::http::query_param;

/// Time between checks of the files for changes.
const FILE_POLL_PERIOD: Duration = Duration::from_millis(200);
/// Upper bound for `wait_ms` of a watch.
const MAX_WAIT_MS: u64 = 60_000;
/// Number of documents kept, so that an old one can be served as stale.
const KEPT_DOCUMENTS: usize = 64;
/// Number of instance lists kept, so that changes can be served with a lag.
const KEPT_LISTS: usize = 256;

/// The settings of a simulated platform.
#[derive(Args, Clone, Debug)]
pub struct PlatformConfig {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// File with the environment document; it is read again when it changes.
    #[arg(long)]
    pub document: Option<PathBuf>,
    /// File with the instance list, in JSON or YAML; it is read again when it changes.
    #[arg(long)]
    pub instances: Option<PathBuf>,
    /// Key of the document in the configuration service.
    #[arg(long, default_value = "environment")]
    pub key: String,
    /// Time until a change of the instance list can be read, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub list_lag_ms: u64,
}

/// Parses an empty command line, so that `Default` uses the defaults of the flags.
#[derive(Parser)]
struct DefaultArgs {
    #[command(flatten)]
    cfg: PlatformConfig,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        DefaultArgs::parse_from(["platform"]).cfg
    }
}

/// Number of calls that the platform has received. A watch counts as one call, from its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads and watches of the document.
    pub config: u64,
    /// Reads of the instance list.
    pub instances: u64,
    /// Reads that were refused because the platform was down. A watch that an outage ends counts
    /// here and in `config`.
    pub refused: u64,
}

#[derive(Clone)]
struct StoredDocument {
    generation: u64,
    text: String,
}

#[derive(Default)]
struct State {
    /// Published documents, the newest last.
    documents: VecDeque<StoredDocument>,
    /// Serve the newest document with at most this generation; `None` serves the newest.
    max_generation: Option<u64>,
    down: bool,
    /// Instance lists with the time of their publication, the newest last.
    lists: VecDeque<(Instant, InstanceList)>,
    /// Time until a published instance list is served.
    list_lag: Duration,
    counts: CallCounts,
    stopped: bool,
}

impl State {
    fn served_document(&self) -> Option<&StoredDocument> {
        let allowed = |document: &&StoredDocument| {
            self.max_generation
                .is_none_or(|generation| document.generation <= generation)
        };
        self.documents.iter().rev().find(allowed)
    }

    /// Return the newest list that is at least as old as the lag, or else the oldest one kept.
    fn served_list(&self) -> InstanceList {
        let visible = self
            .lists
            .iter()
            .rev()
            .find(|(published, _)| published.elapsed() >= self.list_lag);
        visible
            .or(self.lists.front())
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}

struct Shared {
    /// Key of the document.
    key: String,
    state: Mutex<State>,
    /// Notified after each change of the state.
    changed: Condvar,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Change the state and wake all watches.
    fn update(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state());
        self.changed.notify_all();
    }

    fn set_document(&self, text: String) {
        let generation = generation_of(&text);
        self.update(|state| {
            state
                .documents
                .push_back(StoredDocument { generation, text });
            if state.documents.len() > KEPT_DOCUMENTS {
                state.documents.pop_front();
            }
        });
    }

    fn set_instances(&self, mut list: InstanceList) {
        self.update(|state| {
            list.version = state.lists.back().map_or(0, |(_, list)| list.version) + 1;
            state.lists.push_back((Instant::now(), list));
            if state.lists.len() > KEPT_LISTS {
                state.lists.pop_front();
            }
        });
    }
}

/// Return the generation of a document, which may be malformed; 0 if no generation is found.
fn generation_of(text: &str) -> u64 {
    text.lines()
        .find_map(|line| line.trim_start_matches("---").strip_prefix("generation:"))
        .and_then(|value| value.split('#').next()?.trim().parse().ok())
        .unwrap_or(0)
}

/// A running simulated platform. It stops when it is dropped.
///
/// `GET /v1/config/{key}?after=GENERATION&wait_ms=N` is a watch. It returns status 200 with the
/// document and the header `oleanderpass-generation`, 304 when the wait ends without a higher
/// generation than `after`, and 404 when there is no document. Without `after` it doesn't wait.
///
/// Control calls: `PUT /control/config` and `PUT /control/instances` (the body is the new value),
/// `POST /control/down?on=true` (`on=false` ends the outage), `POST /control/stale?generation=N`
/// (without `generation`: serve the newest document again), `POST /control/list-lag?ms=N` and
/// `GET /control/calls`.
pub struct Platform {
    shared: Arc<Shared>,
    server: Arc<tiny_http::Server>,
    addr: SocketAddr,
}

impl Platform {
    /// Start a platform, which runs on its own threads and needs no Tokio runtime.
    pub fn start(cfg: PlatformConfig) -> io::Result<Self> {
        let server = tiny_http::Server::http(cfg.listen).map_err(io::Error::other)?;
        let addr = server.server_addr().to_ip();
        let addr = addr.ok_or_else(|| io::Error::other("the platform has no IP address"))?;
        let server = Arc::new(server);
        let list_lag = Duration::from_millis(cfg.list_lag_ms);
        let state = Mutex::new(State {
            list_lag,
            ..State::default()
        });
        let shared = Arc::new(Shared {
            key: cfg.key.clone(),
            state,
            changed: Condvar::new(),
        });
        let mut files = WatchedFiles::new(&cfg);
        files.read_changes(&shared);
        let watcher_shared = Arc::clone(&shared);
        thread::spawn(move || files.watch(&watcher_shared));
        let (accept_server, accept_shared) = (Arc::clone(&server), Arc::clone(&shared));
        thread::spawn(move || accept_requests(&accept_server, &accept_shared));
        Ok(Self {
            shared,
            server,
            addr,
        })
    }

    /// Return the address that the platform listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Publish a document. Its generation may be lower than that of the previous document.
    pub fn set_document(&self, text: impl Into<String>) {
        self.shared.set_document(text.into());
    }

    /// Publish an instance list. The platform sets its version to that of the previous list plus 1.
    pub fn set_instances(&self, list: InstanceList) {
        self.shared.set_instances(list);
    }

    /// Start or end an outage, in which all reads are refused with status 503.
    pub fn set_down(&self, down: bool) {
        self.shared.update(|state| state.down = down);
    }

    /// Serve the newest document with at most this generation; `None` serves the newest.
    pub fn set_stale(&self, generation: Option<u64>) {
        self.shared
            .update(|state| state.max_generation = generation);
    }

    /// Set the time until a change of the instance list can be read.
    pub fn set_list_lag(&self, lag: Duration) {
        self.shared.update(|state| state.list_lag = lag);
    }

    /// Return the number of calls since the start.
    pub fn calls(&self) -> CallCounts {
        self.shared.state().counts
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.shared.update(|state| state.stopped = true);
        self.server.unblock();
    }
}

/// The files of the settings, with the text that was last read from each.
struct WatchedFiles {
    document: Option<PathBuf>,
    instances: Option<PathBuf>,
    last_document_text: String,
    last_instances_text: String,
}

impl WatchedFiles {
    fn new(cfg: &PlatformConfig) -> Self {
        Self {
            document: cfg.document.clone(),
            instances: cfg.instances.clone(),
            last_document_text: String::new(),
            last_instances_text: String::new(),
        }
    }

    fn watch(&mut self, shared: &Shared) {
        while !shared.state().stopped {
            thread::sleep(FILE_POLL_PERIOD);
            self.read_changes(shared);
        }
    }

    fn read_changes(&mut self, shared: &Shared) {
        if let Some(text) = changed_text(self.document.as_ref(), &mut self.last_document_text) {
            shared.set_document(text);
        }
        if let Some(text) = changed_text(self.instances.as_ref(), &mut self.last_instances_text) {
            match serde_saphyr::from_str(&text) {
                Ok(list) => shared.set_instances(list),
                Err(cause) => tracing::warn!(%cause, "the instance list file is malformed"),
            }
        }
    }
}

/// Return the text of a file if it differs from `last`, and copy it to `last`. Return `None` if it
/// is unchanged, if no file is set or if the file can't be read.
fn changed_text(path: Option<&PathBuf>, last: &mut String) -> Option<String> {
    let text = fs::read_to_string(path?).ok()?;
    if text == *last {
        return None;
    }
    last.clone_from(&text);
    Some(text)
}

/// Handle requests until the server is unblocked.
fn accept_requests(server: &tiny_http::Server, shared: &Arc<Shared>) {
    // `recv` fails after `unblock`. A waiting watch blocks its thread, so each request gets one.
    while let Ok(req) = server.recv() {
        let shared = Arc::clone(shared);
        thread::spawn(move || handle(&shared, req));
    }
}

type BufferedResponse = Response<io::Cursor<Vec<u8>>>;

fn text_response(status: u16, body: impl Into<String>) -> BufferedResponse {
    Response::from_string(body).with_status_code(status)
}

fn json_response(value: &impl Serialize) -> BufferedResponse {
    let header = Header::from_bytes("content-type", "application/json").ok();
    let resp = text_response(200, serde_json::to_string(value).unwrap_or_default());
    header
        .into_iter()
        .fold(resp, |resp, header| resp.with_header(header))
}

fn handle(shared: &Shared, mut req: Request) {
    let url = req.url().to_owned();
    let (path, params) = match url.split_once('?') {
        Some((path, params)) => (path, Some(params)),
        None => (url.as_str(), None),
    };
    let resp = if path.starts_with("/control/") {
        control(shared, &mut req, path, params)
    } else {
        serve(shared, &req, path, params)
    };
    let _ = req.respond(resp);
}

/// Serve the interface of the platform, or refuse the request during an outage.
fn serve(shared: &Shared, req: &Request, path: &str, params: Option<&str>) -> BufferedResponse {
    if shared.state().down {
        shared.state().counts.refused += 1;
        return text_response(503, "the platform is down");
    }
    let key = path.strip_prefix("/v1/config/");
    match (req.method(), key) {
        (Method::Get, Some(key)) if key == shared.key => read_document(shared, params),
        (Method::Get, None) if path == "/v1/instances" => {
            shared.state().counts.instances += 1;
            json_response(&shared.state().served_list())
        }
        _ => text_response(404, "no such key or path"),
    }
}

/// Return the document, for a watch after the wait for a higher generation.
fn read_document(shared: &Shared, params: Option<&str>) -> BufferedResponse {
    let number_param = |name| query_param(params, name).and_then(|value| value.parse::<u64>().ok());
    let after = number_param("after");
    let wait = Duration::from_millis(number_param("wait_ms").unwrap_or(0).min(MAX_WAIT_MS));
    let keep_waiting = |state: &mut State| {
        let nothing_newer = after.is_some_and(|after| {
            state
                .served_document()
                .is_none_or(|document| document.generation <= after)
        });
        nothing_newer && !state.down && !state.stopped
    };
    let mut state = shared.state();
    state.counts.config += 1;
    let waited = shared.changed.wait_timeout_while(state, wait, keep_waiting);
    let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
    if state.down {
        state.counts.refused += 1;
        return text_response(503, "the platform is down");
    }
    match state.served_document() {
        None => text_response(404, "no document"),
        Some(document) if after.is_some_and(|after| document.generation <= after) => {
            text_response(304, "")
        }
        Some(document) => {
            let generation = document.generation.to_string();
            let header = Header::from_bytes("oleanderpass-generation", generation).ok();
            let resp = text_response(200, document.text.as_str());
            header
                .into_iter()
                .fold(resp, |resp, header| resp.with_header(header))
        }
    }
}

/// Execute a control call of a test.
fn control(
    shared: &Shared,
    req: &mut Request,
    path: &str,
    params: Option<&str>,
) -> BufferedResponse {
    let mut body = String::new();
    if io::Read::read_to_string(req.as_reader(), &mut body).is_err() {
        return text_response(400, "the body is not UTF-8");
    }
    match path {
        "/control/config" => shared.set_document(body),
        "/control/instances" => match serde_saphyr::from_str(&body) {
            Ok(list) => shared.set_instances(list),
            Err(cause) => return text_response(400, cause.to_string()),
        },
        "/control/down" => {
            let down = query_param(params, "on") != Some("false");
            shared.update(|state| state.down = down);
        }
        "/control/stale" => {
            let generation = query_param(params, "generation").and_then(|value| value.parse().ok());
            shared.update(|state| state.max_generation = generation);
        }
        "/control/list-lag" => {
            let ms = query_param(params, "ms")
                .and_then(|value| value.parse().ok())
                .unwrap_or(0);
            shared.update(|state| state.list_lag = Duration::from_millis(ms));
        }
        "/control/calls" => return json_response(&shared.state().counts),
        _ => return text_response(404, "no such control call"),
    }
    text_response(200, "done")
}
