//! Stand in for a model engine with continuous batching.
//!
//! Prefill and decoding are simulated: prefill runs in chunks at a rate in tokens per second,
//! interactive requests first, and each running stream receives a token per time step. Extensions
//! of section 3.2 of `docs/design.md`:
//!
//! - Sequence numbers count from 0, and `resume?from=SEQ` sends the event `SEQ` first. The final
//!   event's `seq` is the number that the next token would have.
//! - `oleanderpass-continue-from: N` on `/v1/generate` continues an answer whose first `N` tokens
//!   are known.
//! - `oleanderpass-hold: ID` on `/v1/generate` takes the KV memory of a prompt from a hold.
//! - `POST /kv/import {hold, stream, from_token, tokens, source}` places a part of a stream's KV
//!   into a hold of this engine; this engine calls `/kv/export` of `source`, the engine that is
//!   about to run the stream, which then needs that much less memory.
//! - `POST /control/leave`, `/control/crash?down_ms=N`, `/control/silence` and `GET /executions`
//!   serve tests.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use clap::Args;
use clap::Parser;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use indexmap::IndexMap;
use oleanderpass_proto::engine::CacheEvent;
use oleanderpass_proto::engine::CacheEvents;
use oleanderpass_proto::engine::EngineState;
use oleanderpass_proto::engine::Hold;
use oleanderpass_proto::engine::HoldAnswer;
use oleanderpass_proto::engine::HoldList;
use oleanderpass_proto::engine::HoldRequest;
use oleanderpass_proto::engine::KvTransfer;
use oleanderpass_proto::engine::LoadReport;
use oleanderpass_proto::engine::LoadedModel;
use oleanderpass_proto::engine::Order;
use oleanderpass_proto::engine::OrderAnswer;
use oleanderpass_proto::engine::StreamEvent;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;

use crate::client::post_json;
use crate::http::Body;
use crate::http::Server;
use crate::http::header_text;
use crate::http::json;
use crate::http::new_incarnation;
use crate::http::past_deadline;
use crate::http::query;
use crate::http::read_body;
use crate::http::read_json;
use crate::http::refuse;
use crate::http::status;
use crate::output::GenerateRequest;
use crate::output::prefixes;
use crate::output::prompt_seed;
use crate::output::prompt_tokens;
use crate::output::token;

/// Prompt tokens of one prefill step. An interactive prompt waits at most one step for a batch one.
const PREFILL_CHUNK_TOKENS: u64 = 2_048;
/// Time between keep-alive comments (section 3.2 of the design).
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// How long an ended stream can be resumed, and how long a running one goes on unread.
const STREAM_RETENTION: Duration = Duration::from_secs(30);
/// Time between samples of the load, and between removals of old streams.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);
/// Cache events that are kept for readers.
const KEPT_CACHE_EVENTS: usize = 1_024;
/// Executions that are kept for tests.
const KEPT_EXECUTIONS: usize = 65_536;
/// Events that are buffered between a stream and its connection.
const CONNECTION_BUFFER_EVENTS: usize = 16;

/// The settings of an engine stand-in.
#[derive(Args, Clone, Debug)]
pub struct EngineConfig {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Id of the engine.
    #[arg(long, default_value = "engine-1")]
    pub id: String,
    /// Models that are loaded at start, as `MODEL` or `MODEL@VERSION`. Without any, the engine
    /// serves every model until it receives its first order.
    #[arg(long = "model")]
    pub models: Vec<String>,
    /// Start without a model and serve none before an order loads it.
    #[arg(long)]
    pub empty: bool,
    /// Role at start.
    #[arg(long, default_value = "mixed")]
    pub role: String,
    /// KV memory, in tokens.
    #[arg(long, default_value_t = 400_000)]
    pub memory_tokens: u64,
    /// Memory of the prefix cache, in tokens.
    #[arg(long, default_value_t = 100_000)]
    pub cache_tokens: u64,
    /// Prefill rate, in tokens per second.
    #[arg(long, default_value_t = 40_000)]
    pub prefill_tokens_per_s: u64,
    /// Time between generated tokens of a stream, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub token_ms: u64,
    /// Streams that run at the same time.
    #[arg(long, default_value_t = 64)]
    pub concurrent_requests: usize,
    /// Streams that wait; more are refused as `full`.
    #[arg(long, default_value_t = 256)]
    pub queue: usize,
    /// Age of the figures in load reports, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub load_lag_ms: u64,
    /// Delay of cache events, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub cache_event_lag_ms: u64,
    /// Lose every n-th cache event; 0 loses none.
    #[arg(long, default_value_t = 0)]
    pub cache_event_loss: u64,
    /// Refuse orders with an old fencing number.
    #[arg(long)]
    pub checks_fencing: bool,
    /// Refuse requests whose `oleanderpass-not-after-unix-ms` has passed.
    #[arg(long)]
    pub checks_deadline: bool,
    /// Drop holds at their expiry. Without it, an expired hold stays until it is deleted.
    #[arg(long)]
    pub drops_expired_holds: bool,
    /// Time to load a model after the weight store has delivered it, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub load_ms: u64,
    /// Time for which the weight store is busy with one load, in milliseconds.
    #[arg(long, default_value_t = 100)]
    pub weight_store_ms: u64,
    /// Crash when the prefill of a prompt with this text ends.
    #[arg(long)]
    pub crash_text: Option<String>,
    /// Time after a crash in which connections are closed at once, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub crash_down_ms: u64,
}

#[derive(Parser)]
struct Defaults {
    #[command(flatten)]
    cfg: EngineConfig,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Defaults::parse_from(["engine"]).cfg
    }
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Done,
    Failed(&'static str),
}

/// What the connections of a stream need to know.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// The sequence number of the next token.
    next: u64,
    end: Option<End>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Queued,
    Prefill,
    Decode,
    Ended,
}

struct Stream {
    model: String,
    seed: u64,
    prefixes: Vec<(u64, u64)>,
    crashes: bool,
    /// Batch requests sort after interactive ones.
    batch: bool,
    phase: Phase,
    prompt_tokens: u64,
    prefill_left: u64,
    end_position: u64,
    not_after: Option<u64>,
    /// KV memory to reserve while the stream runs, besides holds and other engines.
    memory: u64,
    progress: watch::Sender<Progress>,
    unread_since: Instant,
}

impl Stream {
    fn running(&self) -> bool {
        matches!(self.phase, Phase::Prefill | Phase::Decode)
    }

    fn end(&mut self, end: End) {
        if self.phase != Phase::Ended {
            self.phase = Phase::Ended;
            self.unread_since = Instant::now();
            self.progress
                .send_modify(|progress| progress.end = Some(end));
        }
    }

    fn decode(&mut self) {
        let position = self.progress.borrow().next;
        self.phase = Phase::Decode;
        if position < self.end_position {
            self.progress.send_modify(|progress| progress.next += 1);
        }
        if position + 1 >= self.end_position {
            self.end(End::Done);
        }
    }
}

struct HeldMemory {
    req: HoldRequest,
    expires: Instant,
}

/// The parts of one stream that other engines hold.
struct Exported {
    since: Instant,
    /// Tokens of each part by its first token, so that a repeated export counts once.
    parts: HashMap<u64, u64>,
}

/// The part of the KV memory that keeps prefixes of earlier prompts.
#[derive(Default)]
struct PrefixCache {
    /// Tokens by prefix hash, the least recently used first.
    entries: IndexMap<u64, u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    next_event: u64,
}

impl PrefixCache {
    fn hit(&self, prefixes: &[(u64, u64)]) -> u64 {
        let cached = prefixes
            .iter()
            .rev()
            .find(|(hash, _)| self.entries.contains_key(hash));
        cached.map_or(0, |(_, tokens)| *tokens)
    }

    fn insert(&mut self, prefixes: &[(u64, u64)], cfg: &EngineConfig) {
        for &(hash, tokens) in prefixes
            .iter()
            .filter(|(_, tokens)| *tokens <= cfg.cache_tokens)
        {
            if self.entries.shift_remove(&hash).is_none() {
                self.publish(hash, tokens, false, cfg);
            }
            self.entries.insert(hash, tokens);
        }
        while self.entries.values().sum::<u64>() > cfg.cache_tokens {
            if let Some((hash, tokens)) = self.entries.shift_remove_index(0) {
                self.publish(hash, tokens, true, cfg);
            }
        }
    }

    fn publish(&mut self, prefix: u64, tokens: u64, evicted: bool, cfg: &EngineConfig) {
        let number = self.next_event;
        self.next_event += 1;
        if cfg.cache_event_loss > 0 && number % cfg.cache_event_loss == cfg.cache_event_loss - 1 {
            return;
        }
        let visible = Instant::now() + Duration::from_millis(cfg.cache_event_lag_ms);
        self.events.push_back((
            visible,
            CacheEvent {
                number,
                evicted,
                prefix,
                tokens,
            },
        ));
        if self.events.len() > KEPT_CACHE_EVENTS {
            self.events.pop_front();
        }
    }

    fn events(&self, after: u64) -> CacheEvents {
        let now = Instant::now();
        let visible = || self.events.iter().filter(|(visible, _)| *visible <= now);
        let events: Vec<_> = visible()
            .map(|(_, event)| *event)
            .filter(|event| event.number >= after)
            .collect();
        CacheEvents {
            next: visible()
                .next_back()
                .map_or(0, |(_, event)| event.number + 1),
            first: self.events.front().map_or(0, |(_, event)| event.number),
            events,
        }
    }
}

/// Everything that a crash loses, and the settings that survive it.
struct State {
    incarnation: u64,
    leaving: bool,
    role: String,
    any_model: bool,
    fencing: u64,
    models: IndexMap<String, LoadedModel>,
    /// Streams in the order of their arrival.
    streams: IndexMap<String, Stream>,
    holds: IndexMap<String, HeldMemory>,
    /// Parts of streams that other engines hold.
    exported: HashMap<String, Exported>,
    cache: PrefixCache,
    reports: VecDeque<(Instant, LoadReport)>,
    executions: VecDeque<String>,
}

impl State {
    fn new(cfg: &EngineConfig) -> Self {
        let models = cfg.models.iter().map(|text| {
            let (model, version) = text.split_once('@').unwrap_or((text, "1"));
            (model.to_owned(), loaded(model, version, "ready"))
        });
        Self {
            incarnation: new_incarnation(),
            leaving: false,
            role: cfg.role.clone(),
            any_model: cfg.models.is_empty() && !cfg.empty,
            fencing: 0,
            models: models.collect(),
            streams: IndexMap::new(),
            holds: IndexMap::new(),
            exported: HashMap::new(),
            cache: PrefixCache::default(),
            reports: VecDeque::new(),
            executions: VecDeque::new(),
        }
    }

    fn memory_used(&self) -> u64 {
        let running = self.streams.values().filter(|stream| stream.running());
        let held = self.holds.values().map(|hold| hold.req.tokens);
        running.map(|stream| stream.memory).chain(held).sum()
    }

    fn count(&self, phase: Phase) -> usize {
        self.streams
            .values()
            .filter(|stream| stream.phase == phase)
            .count()
    }

    fn running(&self) -> usize {
        self.streams
            .values()
            .filter(|stream| stream.running())
            .count()
    }

    fn report(&self, cfg: &EngineConfig) -> LoadReport {
        let waiting = self
            .streams
            .values()
            .filter(|stream| stream.phase <= Phase::Prefill);
        LoadReport {
            server: cfg.id.clone(),
            incarnation: self.incarnation,
            state: if self.leaving { "leaving" } else { "live" }.to_owned(),
            running: u32::try_from(self.running()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.count(Phase::Queued)).unwrap_or(u32::MAX),
            queued_prefill_tokens: waiting.map(|stream| stream.prefill_left).sum(),
            memory_used_tokens: self.memory_used(),
            memory_tokens: cfg.memory_tokens,
            age_ms: 0,
        }
    }

    /// Return the newest report that is at least as old as the lag.
    fn lagging_report(&self, cfg: &EngineConfig) -> LoadReport {
        let lag = Duration::from_millis(cfg.load_lag_ms);
        if lag.is_zero() {
            return self.report(cfg);
        }
        let old = self
            .reports
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= lag);
        let Some((at, report)) = old.or(self.reports.front()) else {
            return self.report(cfg);
        };
        let age_ms = u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
        LoadReport {
            age_ms,
            ..report.clone()
        }
    }

    fn serves(&self, model: &str) -> bool {
        let model = model.split(':').next().unwrap_or_default();
        self.any_model
            || self
                .models
                .get(model)
                .is_some_and(|loaded| loaded.state == "ready")
    }

    /// Move streams from the queue into the batch while there is room.
    fn admit(&mut self, cfg: &EngineConfig) {
        let mut waiting: Vec<usize> = (0..self.streams.len())
            .filter(|&index| self.streams[index].phase == Phase::Queued)
            .collect();
        if waiting.is_empty() {
            return;
        }
        waiting.sort_by_key(|&index| self.streams[index].batch);
        let mut free = cfg.memory_tokens.saturating_sub(self.memory_used());
        let mut running = self.running();
        for index in waiting {
            let stream = &mut self.streams[index];
            if cfg.checks_deadline && past_deadline(stream.not_after) {
                stream.end(End::Failed("deadline"));
            } else if running < cfg.concurrent_requests && stream.memory <= free {
                let hit = self.cache.hit(&stream.prefixes);
                // The last token is always computed, since its result is the first new token.
                stream.prefill_left = stream.prompt_tokens.saturating_sub(hit).max(1);
                stream.phase = Phase::Prefill;
                free -= stream.memory;
                running += 1;
            }
        }
    }

    /// Choose the stream and the number of tokens of the next prefill step.
    fn next_prefill(&mut self, cfg: &EngineConfig) -> Option<(String, u64)> {
        self.admit(cfg);
        let prefill = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.phase == Phase::Prefill);
        let (id, stream) = prefill.min_by_key(|(_, stream)| stream.batch)?;
        Some((id.clone(), stream.prefill_left.min(PREFILL_CHUNK_TOKENS)))
    }

    /// End a prefill step. Return whether the prompt crashes the engine.
    fn end_prefill(&mut self, id: &str, tokens: u64, cfg: &EngineConfig) -> bool {
        let Some(stream) = self.streams.get_mut(id) else {
            return false;
        };
        if stream.phase != Phase::Prefill {
            return false;
        }
        stream.prefill_left -= tokens.min(stream.prefill_left);
        if stream.prefill_left > 0 {
            return false;
        }
        self.cache.insert(&stream.prefixes, cfg);
        stream.decode();
        stream.crashes
    }

    fn remove_old_streams(&mut self) {
        let unread = |stream: &Stream| {
            stream.progress.receiver_count() == 0
                && stream.unread_since.elapsed() > STREAM_RETENTION
        };
        self.streams.retain(|_, stream| !unread(stream));
        let streams = &self.streams;
        self.exported.retain(|id, exported| match streams.get(id) {
            Some(stream) => stream.phase != Phase::Ended,
            None => exported.since.elapsed() < STREAM_RETENTION,
        });
    }

    fn fail_all(&mut self) {
        for stream in self.streams.values_mut() {
            stream.end(End::Failed("crash"));
        }
    }

    fn drop_expired_holds(&mut self) {
        let now = Instant::now();
        self.holds.retain(|_, hold| hold.expires > now);
    }
}

fn loaded(model: &str, version: &str, state: &str) -> LoadedModel {
    LoadedModel {
        model: model.to_owned(),
        version: version.to_owned(),
        state: state.to_owned(),
        ..LoadedModel::default()
    }
}

struct Shared {
    cfg: EngineConfig,
    /// Permits of the weight store, which engines of one process may share.
    weight_store: Arc<Semaphore>,
    state: Mutex<State>,
    prefill_work: Notify,
    decode_work: Notify,
    /// Connections opened before this time send nothing more.
    silence: watch::Sender<Option<Instant>>,
    server: OnceLock<Server>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn crash(&self, down: Duration) {
        let mut state = self.state();
        state.fail_all();
        *state = State::new(&self.cfg);
        drop(state);
        if let Some(server) = self.server.get() {
            server.drop_connections(down);
        }
    }
}

/// A running engine stand-in. It stops when it is dropped.
pub struct Engine {
    shared: Arc<Shared>,
    addr: SocketAddr,
    _tasks: JoinSet<()>,
}

impl Engine {
    /// Start an engine in the current tokio runtime with a weight store of its own.
    pub fn start(cfg: EngineConfig) -> io::Result<Self> {
        Self::start_with_weight_store(cfg, Arc::new(Semaphore::new(1)))
    }

    /// Start an engine whose loads take a permit of a shared weight store.
    pub fn start_with_weight_store(
        cfg: EngineConfig,
        weight_store: Arc<Semaphore>,
    ) -> io::Result<Self> {
        let listen = cfg.listen;
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(&cfg)),
            cfg,
            weight_store,
            prefill_work: Notify::new(),
            decode_work: Notify::new(),
            silence: watch::Sender::new(None),
            server: OnceLock::new(),
        });
        // A weak reference in the handler lets the engine's drop close the server.
        let weak = Arc::downgrade(&shared);
        let server = Server::start(listen, move |req| {
            let shared = weak.upgrade();
            async move { handle(shared?, req).await }
        })?;
        let addr = server.addr();
        let _ = shared.server.set(server);
        let mut tasks = JoinSet::new();
        tasks.spawn(run_prefill(Arc::clone(&shared)));
        tasks.spawn(run_decode(Arc::clone(&shared)));
        tasks.spawn(sample(Arc::clone(&shared)));
        Ok(Self {
            shared,
            addr,
            _tasks: tasks,
        })
    }

    /// Return the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Refuse new requests as `leaving`.
    pub fn leave(&self) {
        self.shared.state().leaving = true;
    }

    /// Lose all state and connections, and close new connections at once for a time.
    pub fn crash(&self, down: Duration) {
        self.shared.crash(down);
    }

    /// Stop sending on all open streams without closing them.
    pub fn silence(&self) {
        self.shared.silence.send_replace(Some(Instant::now()));
    }

    /// Return the stream ids of all generations that were accepted since the last crash.
    pub fn executions(&self) -> Vec<String> {
        self.shared.state().executions.iter().cloned().collect()
    }

    /// Return the current load without lag.
    pub fn load(&self) -> LoadReport {
        self.shared.state().report(&self.shared.cfg)
    }
}

async fn run_prefill(shared: Arc<Shared>) {
    let rate = shared.cfg.prefill_tokens_per_s.max(1) as f64;
    let mut busy_until = Instant::now();
    loop {
        let step = shared.state().next_prefill(&shared.cfg);
        let Some((id, tokens)) = step else {
            shared.prefill_work.notified().await;
            continue;
        };
        let now = Instant::now();
        busy_until = busy_until.max(now) + Duration::from_secs_f64(tokens as f64 / rate);
        // The timer has a resolution of 1 ms; shorter steps are added up.
        if busy_until.duration_since(now) >= Duration::from_millis(1) {
            tokio::time::sleep_until(busy_until).await;
        }
        if shared.state().end_prefill(&id, tokens, &shared.cfg) {
            shared.crash(Duration::from_millis(shared.cfg.crash_down_ms));
        }
        shared.decode_work.notify_one();
        tokio::task::yield_now().await;
    }
}

async fn run_decode(shared: Arc<Shared>) {
    let step = Duration::from_millis(shared.cfg.token_ms.max(1));
    loop {
        if shared.state().count(Phase::Decode) == 0 {
            shared.decode_work.notified().await;
        }
        tokio::time::sleep(step).await;
        let mut state = shared.state();
        let decoding = state
            .streams
            .values_mut()
            .filter(|stream| stream.phase == Phase::Decode);
        decoding.for_each(Stream::decode);
        shared.prefill_work.notify_one();
    }
}

async fn sample(shared: Arc<Shared>) {
    let kept = 2 + usize::try_from(shared.cfg.load_lag_ms / 25).unwrap_or(0);
    let mut period = tokio::time::interval(SAMPLE_PERIOD);
    loop {
        period.tick().await;
        let mut state = shared.state();
        let report = state.report(&shared.cfg);
        state.reports.push_back((Instant::now(), report));
        if state.reports.len() > kept {
            state.reports.pop_front();
        }
        state.remove_old_streams();
        if shared.cfg.drops_expired_holds {
            state.drop_expired_holds();
        }
        shared.prefill_work.notify_one();
    }
}

async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Option<Response<Body>> {
    let path = req.uri().path().to_owned();
    let params = req.uri().query().map(str::to_owned);
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let cfg = &shared.cfg;
    Some(match (req.method(), segments.as_slice()) {
        (&Method::POST, ["v1", "generate"]) => generate(shared, req).await,
        (&Method::POST, ["v1", "streams", id, "resume"]) => {
            let from = query(params.as_deref(), "from").and_then(|from| from.parse().ok());
            resume(&shared, id, from.unwrap_or(0))
        }
        (&Method::DELETE, ["v1", "streams", id]) => cancel(&shared, id),
        (&Method::GET, ["load"]) => json(&shared.state().lagging_report(cfg)),
        (&Method::GET, ["state"]) => json(&engine_state(&shared)),
        (&Method::GET, ["events"]) => {
            let after = query(params.as_deref(), "after").and_then(|after| after.parse().ok());
            json(&shared.state().cache.events(after.unwrap_or(0)))
        }
        (&Method::GET, ["executions"]) => json(&shared.state().executions),
        (&Method::GET, ["holds"]) => json(&list_holds(&shared)),
        (&Method::DELETE, ["holds", id]) => {
            let removed = shared.state().holds.shift_remove(*id).is_some();
            shared.prefill_work.notify_one();
            json(&removed)
        }
        (&Method::POST, ["control", command]) => control(&shared, command, params.as_deref())?,
        (&Method::POST, _) => post(&shared, &path, req).await,
        _ => status(StatusCode::NOT_FOUND, "no such path"),
    })
}

async fn post(shared: &Arc<Shared>, path: &str, req: Request<Incoming>) -> Response<Body> {
    let body = req.into_body();
    let answer = match path {
        "/orders" => read_json(body)
            .await
            .map(|order| json(&obey(shared, order))),
        "/holds" => read_json(body)
            .await
            .map(|req| json(&grant_hold(shared, req))),
        "/kv/export" => read_json(body).await.map(|req| json(&export(shared, req))),
        "/kv/import" => match read_json(body).await {
            Some(req) => Some(json(&import(shared, req).await)),
            None => None,
        },
        _ => return status(StatusCode::NOT_FOUND, "no such path"),
    };
    answer.unwrap_or_else(|| status(StatusCode::BAD_REQUEST, "the body is malformed"))
}

fn control(shared: &Shared, command: &str, params: Option<&str>) -> Option<Response<Body>> {
    match command {
        "leave" => shared.state().leaving = true,
        "silence" => {
            shared.silence.send_replace(Some(Instant::now()));
        }
        "crash" => {
            let down = query(params, "down_ms").and_then(|ms| ms.parse().ok());
            shared.crash(Duration::from_millis(
                down.unwrap_or(shared.cfg.crash_down_ms),
            ));
            return None;
        }
        _ => return Some(status(StatusCode::NOT_FOUND, "no such control call")),
    }
    Some(json(&true))
}

async fn generate(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let id = header_text(&req, "oleanderpass-stream-id").to_owned();
    let hold = header_text(&req, "oleanderpass-hold").to_owned();
    let batch = header_text(&req, "oleanderpass-priority") == "batch";
    let not_after = header_text(&req, "oleanderpass-not-after-unix-ms")
        .parse()
        .ok();
    let from: u64 = header_text(&req, "oleanderpass-continue-from")
        .parse()
        .unwrap_or(0);
    let body = read_body(req.into_body()).await;
    let parsed = body.and_then(|body| serde_json::from_slice::<GenerateRequest>(&body).ok());
    let Some(call) = parsed else {
        return status(StatusCode::BAD_REQUEST, "the body is malformed");
    };
    let id = if id.is_empty() {
        format!("{:016x}", rand::random::<u64>())
    } else {
        id
    };
    let prompt = call.prompt();
    let tokens = prompt_tokens(&prompt) + from;
    let end_position = call.max_tokens().max(from);
    let (progress, receiver) = watch::channel(Progress {
        next: from,
        end: None,
    });
    let stream = Stream {
        seed: prompt_seed(&prompt),
        prefixes: prefixes(&prompt),
        crashes: shared
            .cfg
            .crash_text
            .as_ref()
            .is_some_and(|text| prompt.contains(text)),
        model: call.model,
        batch,
        phase: Phase::Queued,
        prompt_tokens: tokens,
        prefill_left: tokens,
        end_position,
        not_after,
        memory: tokens + end_position - from,
        progress,
        unread_since: Instant::now(),
    };
    if let Err(reason) = enqueue(&shared, &id, stream, &hold) {
        return refuse(reason);
    }
    connect(&shared, id, prompt_seed(&prompt), receiver, from)
}

fn enqueue(shared: &Shared, id: &str, mut stream: Stream, hold: &str) -> Result<(), &'static str> {
    let cfg = &shared.cfg;
    let mut state = shared.state();
    if state.leaving {
        return Err("leaving");
    }
    if cfg.checks_deadline && past_deadline(stream.not_after) {
        return Err("deadline");
    }
    if !state.serves(&stream.model) {
        return Err("not_loaded");
    }
    let elsewhere = state
        .exported
        .get(id)
        .map_or(0, |exported| exported.parts.values().sum());
    let held = match (hold, state.holds.get(hold)) {
        ("", _) => 0,
        (_, Some(held)) => held.req.tokens,
        (_, None) => return Err("full"),
    };
    stream.memory = stream.memory.saturating_sub(held + elsewhere);
    if stream.memory > cfg.memory_tokens || state.count(Phase::Queued) >= cfg.queue {
        return Err("full");
    }
    if state.executions.len() >= KEPT_EXECUTIONS {
        state.executions.pop_front();
    }
    state.executions.push_back(id.to_owned());
    if let Some(mut old) = state.streams.shift_remove(id) {
        old.end(End::Failed("replaced"));
    }
    state.streams.insert(id.to_owned(), stream);
    shared.prefill_work.notify_one();
    Ok(())
}

fn resume(shared: &Arc<Shared>, id: &str, from: u64) -> Response<Body> {
    let found = {
        let state = shared.state();
        state
            .streams
            .get(id)
            .map(|stream| (stream.seed, stream.progress.subscribe()))
    };
    match found {
        Some((seed, receiver)) => connect(shared, id.to_owned(), seed, receiver, from),
        None => status(StatusCode::NOT_FOUND, "no such stream"),
    }
}

fn cancel(shared: &Shared, id: &str) -> Response<Body> {
    let mut state = shared.state();
    let Some(stream) = state.streams.get_mut(id) else {
        return status(StatusCode::NOT_FOUND, "no such stream");
    };
    stream.end(End::Failed("cancelled"));
    shared.prefill_work.notify_one();
    json(&true)
}

/// Send the events of a stream on a connection.
fn connect(
    shared: &Arc<Shared>,
    id: String,
    seed: u64,
    progress: watch::Receiver<Progress>,
    from: u64,
) -> Response<Body> {
    let (tx, rx) = mpsc::channel(CONNECTION_BUFFER_EVENTS);
    let connection = Connection {
        id,
        seed,
        next: from,
        opened: Instant::now(),
        silence: shared.silence.subscribe(),
        tx,
    };
    let weak = Arc::downgrade(shared);
    tokio::spawn(async move {
        let id = connection.id.clone();
        connection.run(progress).await;
        if let Some(shared) = weak.upgrade()
            && let Some(stream) = shared.state().streams.get_mut(&id)
        {
            stream.unread_since = Instant::now();
        }
    });
    let frames = ReceiverStream::new(rx).map(|data| Ok(Frame::data(data)));
    let mut resp = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    let sse = header::HeaderValue::from_static("text/event-stream");
    resp.headers_mut().insert(header::CONTENT_TYPE, sse);
    resp
}

struct Connection {
    id: String,
    seed: u64,
    next: u64,
    opened: Instant,
    silence: watch::Receiver<Option<Instant>>,
    tx: mpsc::Sender<Bytes>,
}

impl Connection {
    async fn run(mut self, mut progress: watch::Receiver<Progress>) {
        let mut keep_alive = tokio::time::interval(KEEP_ALIVE);
        // The first tick of an interval is immediate: it sends the first comment with the head.
        loop {
            if self.silenced() {
                self.tx.closed().await;
                return;
            }
            let reached = *progress.borrow_and_update();
            while self.next < reached.next {
                if self.silenced() {
                    break;
                }
                if self.tx.send(self.event(None)).await.is_err() {
                    return;
                }
                self.next += 1;
            }
            if reached.end.is_some() && self.next >= reached.next {
                let _ = self.tx.send(self.event(reached.end)).await;
                return;
            }
            tokio::select! {
                biased;
                () = self.tx.closed() => return,
                _ = self.silence.changed() => {}
                changed = progress.changed() => if changed.is_err() { return },
                _ = keep_alive.tick() => {
                    let _ = self.tx.try_send(Bytes::from_static(b": keep-alive\n\n"));
                }
            }
        }
    }

    fn silenced(&self) -> bool {
        self.silence
            .borrow()
            .is_some_and(|since| self.opened <= since)
    }

    fn event(&self, end: Option<End>) -> Bytes {
        let event = StreamEvent {
            id: self.id.clone(),
            seq: self.next,
            text: if end.is_none() {
                token(self.seed, self.next)
            } else {
                String::new()
            },
            done: end == Some(End::Done),
            error: match end {
                Some(End::Failed(cause)) => cause.to_owned(),
                _ => String::new(),
            },
        };
        let text = serde_json::to_string(&event).unwrap_or_default();
        Bytes::from(format!("data: {text}\n\n"))
    }
}

fn engine_state(shared: &Shared) -> EngineState {
    let state = shared.state();
    EngineState {
        server: shared.cfg.id.clone(),
        incarnation: state.incarnation,
        role: state.role.clone(),
        models: state.models.values().cloned().collect(),
        fencing: state.fencing,
    }
}

fn obey(shared: &Arc<Shared>, order: Order) -> OrderAnswer {
    let mut state = shared.state();
    let refused = match order.kind.as_str() {
        "load" | "unload" | "role" if order.fencing >= state.fencing => None,
        "load" | "unload" | "role" if !shared.cfg.checks_fencing => None,
        "load" | "unload" | "role" => Some("fencing"),
        _ => Some("kind"),
    };
    if refused.is_none() {
        state.fencing = state.fencing.max(order.fencing);
        state.any_model = false;
        match order.kind.as_str() {
            "role" => state.role = order.role,
            "unload" => unload(shared, &mut state, &order.model),
            _ => load(shared, &mut state, order),
        }
    }
    OrderAnswer {
        accepted: refused.is_none(),
        reason: refused.unwrap_or_default().to_owned(),
        fencing: state.fencing,
    }
}

fn load(shared: &Arc<Shared>, state: &mut State, order: Order) {
    let wanted = LoadedModel {
        adapters: order.adapters,
        ..loaded(&order.model, &order.version, "loading")
    };
    let held = state.models.get(&order.model);
    let same = held.is_some_and(|held| {
        held.version == wanted.version
            && held.adapters == wanted.adapters
            && held.state != "unloading"
    });
    if same {
        return;
    }
    state.models.insert(order.model.clone(), wanted.clone());
    let incarnation = state.incarnation;
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        if let Ok(_permit) = shared.weight_store.acquire().await {
            tokio::time::sleep(Duration::from_millis(shared.cfg.weight_store_ms)).await;
        }
        tokio::time::sleep(Duration::from_millis(shared.cfg.load_ms)).await;
        let mut state = shared.state();
        // The order is void if the engine crashed or a later order changed the model.
        let current = state.incarnation == incarnation;
        if let Some(model) = state.models.get_mut(&order.model)
            && current
            && *model == wanted
        {
            model.state = "ready".to_owned();
        }
    });
}

/// Refuse new streams of a model at once and remove it when its streams have ended.
fn unload(shared: &Arc<Shared>, state: &mut State, model: &str) {
    let Some(held) = state.models.get_mut(model) else {
        return;
    };
    held.state = "unloading".to_owned();
    let (shared, model) = (Arc::clone(shared), model.to_owned());
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(SAMPLE_PERIOD).await;
            let mut state = shared.state();
            if state
                .models
                .get(&model)
                .is_none_or(|held| held.state != "unloading")
            {
                return;
            }
            let mut streams = state.streams.values();
            if !streams.any(|stream| stream.phase != Phase::Ended && stream.model == model) {
                state.models.shift_remove(&model);
                return;
            }
        }
    });
}

fn hold_answer(reason: &str) -> HoldAnswer {
    HoldAnswer {
        granted: reason.is_empty(),
        reason: reason.to_owned(),
    }
}

/// Grant a hold if the memory is free now. A repeated request renews the lease.
fn grant_hold(shared: &Shared, req: HoldRequest) -> HoldAnswer {
    let mut state = shared.state();
    let before = state.holds.get(&req.id);
    if before.is_some_and(|held| {
        (&held.req.owner, held.req.owner_incarnation) != (&req.owner, req.owner_incarnation)
    }) {
        return hold_answer("owner");
    }
    let used = state.memory_used() - before.map_or(0, |held| held.req.tokens);
    if state.leaving {
        return hold_answer("leaving");
    }
    if used + req.tokens > shared.cfg.memory_tokens {
        return hold_answer("full");
    }
    let expires = Instant::now() + Duration::from_millis(req.expires_in_ms);
    state
        .holds
        .insert(req.id.clone(), HeldMemory { req, expires });
    hold_answer("")
}

fn list_holds(shared: &Shared) -> HoldList {
    let now = Instant::now();
    let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let state = shared.state();
    let holds = state.holds.values().map(|held| Hold {
        id: held.req.id.clone(),
        owner: held.req.owner.clone(),
        owner_incarnation: held.req.owner_incarnation,
        tokens: held.req.tokens,
        expires_in_ms: ms(held.expires.saturating_duration_since(now)),
        overdue_ms: ms(now.saturating_duration_since(held.expires)),
    });
    HoldList {
        incarnation: state.incarnation,
        holds: holds.collect(),
    }
}

/// Note that another engine holds a part of a stream's KV.
fn export(shared: &Shared, req: KvTransfer) -> HoldAnswer {
    let mut state = shared.state();
    let new = || Exported {
        since: Instant::now(),
        parts: HashMap::new(),
    };
    let exported = state.exported.entry(req.stream).or_insert_with(new);
    exported.parts.insert(req.from_token, req.tokens);
    hold_answer("")
}

/// Take a part of a stream's KV into a hold of this engine.
async fn import(shared: &Shared, req: KvTransfer) -> HoldAnswer {
    let room = shared
        .state()
        .holds
        .get(&req.hold)
        .map(|held| held.req.tokens);
    match room {
        None => return hold_answer("no such hold"),
        Some(room) if room < req.tokens => return hold_answer("full"),
        Some(_) => {}
    }
    let Ok(source) = req.source.parse::<SocketAddr>() else {
        return hold_answer("source");
    };
    let call = KvTransfer {
        source: String::new(),
        ..req
    };
    let answer = post_json::<HoldAnswer>(source, "/kv/export", &call).await;
    answer.unwrap_or_else(|cause| hold_answer(&format!("export: {cause}")))
}
