//! Stand in for the platform: the configuration service and the instance list.

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

use crate::http::query;

/// How often files are checked for changes.
const FILE_POLL: Duration = Duration::from_millis(200);
/// The longest wait of a watch, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// Documents that are kept to serve stale.
const KEPT_DOCUMENTS: usize = 64;
/// Instance lists that are kept to serve with a lag.
const KEPT_LISTS: usize = 256;

/// The settings of a platform stand-in.
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

#[derive(Parser)]
struct Defaults {
    #[command(flatten)]
    cfg: PlatformConfig,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Defaults::parse_from(["platform"]).cfg
    }
}

/// Calls that the platform has answered. A waiting watch counts as one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads and watches of the document.
    pub config: u64,
    /// Reads of the instance list.
    pub instances: u64,
    /// Calls that were refused because the platform was down.
    pub refused: u64,
}

#[derive(Clone)]
struct StoredDocument {
    generation: u64,
    text: String,
}

#[derive(Default)]
struct State {
    documents: VecDeque<StoredDocument>,
    /// Serve the newest document with at most this generation.
    stale: Option<u64>,
    down: bool,
    lists: VecDeque<(Instant, InstanceList)>,
    list_lag: Duration,
    counts: CallCounts,
    stopped: bool,
}

impl State {
    fn document(&self) -> Option<&StoredDocument> {
        let served = |document: &&StoredDocument| {
            self.stale
                .is_none_or(|generation| document.generation <= generation)
        };
        self.documents.iter().rev().find(served)
    }

    fn list(&self) -> InstanceList {
        let visible = self
            .lists
            .iter()
            .rev()
            .find(|(since, _)| since.elapsed() >= self.list_lag);
        visible
            .or(self.lists.front())
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}

struct Shared {
    key: String,
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, update: impl FnOnce(&mut State)) {
        update(&mut self.state());
        self.changed.notify_all();
    }

    fn set_document(&self, text: String) {
        let generation = generation_of(&text);
        self.change(|state| {
            state
                .documents
                .push_back(StoredDocument { generation, text });
            if state.documents.len() > KEPT_DOCUMENTS {
                state.documents.pop_front();
            }
        });
    }

    fn set_instances(&self, mut list: InstanceList) {
        self.change(|state| {
            list.version = state.lists.back().map_or(0, |(_, list)| list.version) + 1;
            state.lists.push_back((Instant::now(), list));
            if state.lists.len() > KEPT_LISTS {
                state.lists.pop_front();
            }
        });
    }
}

/// Find the generation in a document that may be malformed; 0 if it has none.
fn generation_of(text: &str) -> u64 {
    text.lines()
        .find_map(|line| line.trim_start_matches("---").strip_prefix("generation:"))
        .and_then(|value| value.split('#').next()?.trim().parse().ok())
        .unwrap_or(0)
}

/// A running platform stand-in. It stops when it is dropped.
///
/// `GET /v1/config/{key}?after=GENERATION&wait_ms=N` answers 200 with the document and the header
/// `oleanderpass-generation`, 304 when the wait ends without a higher generation than `after`, and
/// 404 when there is no document. Without `after` it answers at once.
///
/// Control calls: `PUT /control/config` and `PUT /control/instances` (the body is the new value),
/// `POST /control/down?on=true`, `POST /control/stale?generation=N` (without `generation`: serve
/// the newest again), `POST /control/list-lag?ms=N` and `GET /control/calls`.
pub struct Platform {
    shared: Arc<Shared>,
    server: Arc<tiny_http::Server>,
    addr: SocketAddr,
}

impl Platform {
    /// Start a platform on threads of its own.
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
        let mut files = Files::new(&cfg);
        files.read_changes(&shared);
        let watched = Arc::clone(&shared);
        thread::spawn(move || files.watch(&watched));
        let (accepted, answering) = (Arc::clone(&server), Arc::clone(&shared));
        thread::spawn(move || accept(&accepted, &answering));
        Ok(Self {
            shared,
            server,
            addr,
        })
    }

    /// Return the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Publish a document. Its generation may be lower than that of the document before it.
    pub fn set_document(&self, text: impl Into<String>) {
        self.shared.set_document(text.into());
    }

    /// Publish an instance list. Its version is set by the platform.
    pub fn set_instances(&self, list: InstanceList) {
        self.shared.set_instances(list);
    }

    /// Refuse all reads, or answer them again.
    pub fn set_down(&self, down: bool) {
        self.shared.change(|state| state.down = down);
    }

    /// Serve the newest document with at most this generation; `None` serves the newest.
    pub fn set_stale(&self, generation: Option<u64>) {
        self.shared.change(|state| state.stale = generation);
    }

    /// Set the time until a change of the instance list can be read.
    pub fn set_list_lag(&self, lag: Duration) {
        self.shared.change(|state| state.list_lag = lag);
    }

    /// Return the number of calls so far.
    pub fn calls(&self) -> CallCounts {
        self.shared.state().counts
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.shared.change(|state| state.stopped = true);
        self.server.unblock();
    }
}

struct Files {
    document: Option<PathBuf>,
    instances: Option<PathBuf>,
    document_text: String,
    instances_text: String,
}

impl Files {
    fn new(cfg: &PlatformConfig) -> Self {
        Self {
            document: cfg.document.clone(),
            instances: cfg.instances.clone(),
            document_text: String::new(),
            instances_text: String::new(),
        }
    }

    fn watch(&mut self, shared: &Shared) {
        while !shared.state().stopped {
            thread::sleep(FILE_POLL);
            self.read_changes(shared);
        }
    }

    fn read_changes(&mut self, shared: &Shared) {
        if let Some(text) = changed_text(self.document.as_ref(), &mut self.document_text) {
            shared.set_document(text);
        }
        if let Some(text) = changed_text(self.instances.as_ref(), &mut self.instances_text) {
            match serde_saphyr::from_str(&text) {
                Ok(list) => shared.set_instances(list),
                Err(cause) => tracing::warn!(%cause, "the instance list file is malformed"),
            }
        }
    }
}

fn changed_text(path: Option<&PathBuf>, held: &mut String) -> Option<String> {
    let text = fs::read_to_string(path?).ok()?;
    if text == *held {
        return None;
    }
    held.clone_from(&text);
    Some(text)
}

fn accept(server: &tiny_http::Server, shared: &Arc<Shared>) {
    // `recv` ends with an error after `unblock`. A watch blocks its thread, so each call has one.
    while let Ok(req) = server.recv() {
        let shared = Arc::clone(shared);
        thread::spawn(move || handle(&shared, req));
    }
}

type Answer = Response<io::Cursor<Vec<u8>>>;

fn text(status: u16, body: impl Into<String>) -> Answer {
    Response::from_string(body).with_status_code(status)
}

fn to_json(value: &impl Serialize) -> Answer {
    let header = Header::from_bytes("content-type", "application/json").ok();
    let resp = text(200, serde_json::to_string(value).unwrap_or_default());
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
        read(shared, &req, path, params)
    };
    let _ = req.respond(resp);
}

fn read(shared: &Shared, req: &Request, path: &str, params: Option<&str>) -> Answer {
    if shared.state().down {
        shared.state().counts.refused += 1;
        return text(503, "the platform is down");
    }
    let key = path.strip_prefix("/v1/config/");
    match (req.method(), key) {
        (Method::Get, Some(key)) if key == shared.key => read_document(shared, params),
        (Method::Get, None) if path == "/v1/instances" => {
            shared.state().counts.instances += 1;
            to_json(&shared.state().list())
        }
        _ => text(404, "no such key or path"),
    }
}

fn read_document(shared: &Shared, params: Option<&str>) -> Answer {
    let number = |name| query(params, name).and_then(|value| value.parse::<u64>().ok());
    let after = number("after");
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS));
    let unchanged = |state: &mut State| {
        let held = after.is_some_and(|after| {
            state
                .document()
                .is_none_or(|document| document.generation <= after)
        });
        held && !state.down && !state.stopped
    };
    let mut state = shared.state();
    state.counts.config += 1;
    let waited = shared.changed.wait_timeout_while(state, wait, unchanged);
    let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
    if state.down {
        state.counts.refused += 1;
        return text(503, "the platform is down");
    }
    match state.document() {
        None => text(404, "no document"),
        Some(document) if after.is_some_and(|after| document.generation <= after) => text(304, ""),
        Some(document) => {
            let number = document.generation.to_string();
            let header = Header::from_bytes("oleanderpass-generation", number).ok();
            let resp = text(200, document.text.as_str());
            header
                .into_iter()
                .fold(resp, |resp, header| resp.with_header(header))
        }
    }
}

fn control(shared: &Shared, req: &mut Request, path: &str, params: Option<&str>) -> Answer {
    let mut body = String::new();
    if io::Read::read_to_string(req.as_reader(), &mut body).is_err() {
        return text(400, "the body is not UTF-8");
    }
    match path {
        "/control/config" => shared.set_document(body),
        "/control/instances" => match serde_saphyr::from_str(&body) {
            Ok(list) => shared.set_instances(list),
            Err(cause) => return text(400, cause.to_string()),
        },
        "/control/down" => {
            let down = query(params, "on") != Some("false");
            shared.change(|state| state.down = down);
        }
        "/control/stale" => {
            let generation = query(params, "generation").and_then(|value| value.parse().ok());
            shared.change(|state| state.stale = generation);
        }
        "/control/list-lag" => {
            let ms = query(params, "ms")
                .and_then(|value| value.parse().ok())
                .unwrap_or(0);
            shared.change(|state| state.list_lag = Duration::from_millis(ms));
        }
        "/control/calls" => return to_json(&shared.state().counts),
        _ => return text(404, "no such control call"),
    }
    text(200, "done")
}
