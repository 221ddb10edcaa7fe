//! Simulate a model engine with continuous batching.
//!
//! Prefill runs in chunks at a fixed rate of tokens per second, interactive requests first. Each
//! stream that has finished its prefill receives one token per time step. The protocol is that of
//! section 3.2 of `docs/design.md`, with these extensions:
//!
//! - Sequence numbers count from 0, and `resume?from=SEQ` sends the event `SEQ` first. The final
//!   event's `seq` is the number that the next token would have.
//! - `oleanderpass-continue-from: N` on `/v1/generate` continues an answer whose first `N` tokens
//!   the caller already has.
//! - `oleanderpass-hold: ID` on `/v1/generate` stores the KV cache of the prompt in the memory of a
//!   hold.
//! - `POST /kv/import {hold, stream, from_token, tokens, source}` imports a part of a stream's KV
//!   cache into a hold of this engine. To do so, this engine calls `/kv/export` of `source`, the
//!   engine that is about to run the stream, which then needs that much less memory.
//! - `POST /control/leave`, `/control/crash?down_ms=N`, `/control/silence` and `GET /executions`
//!   exist for tests.

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
use crate::http::json_response;
use crate::http::new_incarnation;
use crate::http::past_deadline;
use crate::http::query_param;
use crate::http::read_body;
use crate::http::read_json;
use crate::http::refusal_response;
use crate::http::text_response;
use crate::output::GenerateRequest;
use crate::output::prefix_hashes;
use crate::output::prompt_seed;
use crate::output::prompt_tokens;
use crate::output::token;

/// Maximum prompt tokens of one prefill step. An interactive prompt waits at most one step for a
/// batch one.
const PREFILL_CHUNK_TOKENS: u64 = 2_048;
/// Time between keep-alive comments of a stream. Source: section 3.2 of `docs/design.md`.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_secs(1);
/// How long a stream without a connection is kept: for this time an ended one can be resumed and a
/// running one goes on. Also how long an export waits for its stream to start.
const STREAM_RETENTION: Duration = Duration::from_secs(30);
/// Time between load samples, and between checks for old streams, expired holds and models to
/// remove.
const MAINTENANCE_PERIOD: Duration = Duration::from_millis(50);
/// Number of cache events kept for readers.
const KEPT_CACHE_EVENTS: usize = 1_024;
/// Number of executions kept for tests.
const KEPT_EXECUTIONS: usize = 65_536;
/// Number of events buffered between a stream and a connection that reads it.
const CONNECTION_BUFFER_EVENTS: usize = 16;

/// The settings of a simulated engine.
#[derive(Args, Clone, Debug)]
pub struct EngineConfig {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Id of the engine.
    #[arg(long, default_value = "engine-1")]
    pub id: String,
    /// Model that is loaded at start, as `MODEL` or `MODEL@VERSION`; may be repeated. Without any,
    /// the engine serves every model until it accepts its first order.
    #[arg(long = "model")]
    pub models: Vec<String>,
    /// Start without a model, and serve none before an order loads one.
    #[arg(long)]
    pub empty: bool,
    /// Role at start; an order may change it.
    #[arg(long, default_value = "mixed")]
    pub role: String,
    /// KV cache memory for running streams and holds, in tokens.
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
    /// Maximum number of streams that run at the same time.
    #[arg(long, default_value_t = 64)]
    pub concurrent_requests: usize,
    /// Maximum number of streams that wait to run; more are refused as `full`.
    #[arg(long, default_value_t = 256)]
    pub queue: usize,
    /// Age of the values in load reports, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub load_lag_ms: u64,
    /// Delay of cache events, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub cache_event_lag_ms: u64,
    /// Lose every n-th cache event; 0 loses none.
    #[arg(long, default_value_t = 0)]
    pub cache_event_loss: u64,
    /// Refuse orders whose fencing number is lower than that of an accepted order.
    #[arg(long)]
    pub checks_fencing: bool,
    /// Refuse requests whose `oleanderpass-not-after-unix-ms` has passed.
    #[arg(long)]
    pub checks_deadline: bool,
    /// Drop holds when they expire. Without it, an expired hold stays until it is deleted.
    #[arg(long)]
    pub drops_expired_holds: bool,
    /// Time to load a model after the weight store has delivered the weights, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub load_ms: u64,
    /// Time for which one load occupies the weight store, in milliseconds.
    #[arg(long, default_value_t = 100)]
    pub weight_store_ms: u64,
    /// Crash when the prefill of a prompt that contains this text ends.
    #[arg(long)]
    pub crash_text: Option<String>,
    /// Time after a crash in which new connections are closed at once, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub crash_down_ms: u64,
}

/// Parses an empty command line, so that `Default` uses the defaults of the flags.
#[derive(Parser)]
struct DefaultArgs {
    #[command(flatten)]
    cfg: EngineConfig,
}

impl Default for EngineConfig {
    fn default() -> Self {
        DefaultArgs::parse_from(["engine"]).cfg
    }
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    Done,
    /// With the cause that the final event reports.
    Failed(&'static str),
}

/// The progress of a stream, published to its connections.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// Sequence number of the next token.
    next_seq: u64,
    /// `None` while the stream is queued or runs.
    end: Option<StreamEnd>,
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
    /// Seed of the answer's tokens.
    seed: u64,
    /// Hash and length in tokens of each cacheable prefix of the prompt.
    prefixes: Vec<(u64, u64)>,
    /// Whether the engine crashes at the end of this stream's prefill.
    crashes_engine: bool,
    /// Batch requests run after interactive ones.
    batch: bool,
    phase: Phase,
    /// Tokens of the prompt and of the part of the answer that the caller already has.
    prompt_tokens: u64,
    prefill_tokens_left: u64,
    /// Sequence number that the answer ends before.
    end_seq: u64,
    /// Deadline of the request; `None` if it has none.
    not_after_unix_ms: Option<u64>,
    /// KV cache memory that the stream occupies while it runs, in tokens, without the parts in its
    /// hold and on other engines.
    memory_tokens: u64,
    progress: watch::Sender<Progress>,
    /// When the stream was created or ended or one of its connections closed, whichever came last.
    last_activity: Instant,
}

impl Stream {
    fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Prefill | Phase::Decode)
    }

    /// End the stream unless it has ended already.
    fn end(&mut self, end: StreamEnd) {
        if self.phase != Phase::Ended {
            self.phase = Phase::Ended;
            self.last_activity = Instant::now();
            self.progress
                .send_modify(|progress| progress.end = Some(end));
        }
    }

    /// Generate the next token and end the stream after the last one.
    fn decode_token(&mut self) {
        let seq = self.progress.borrow().next_seq;
        self.phase = Phase::Decode;
        if seq < self.end_seq {
            self.progress.send_modify(|progress| progress.next_seq += 1);
        }
        if seq + 1 >= self.end_seq {
            self.end(StreamEnd::Done);
        }
    }
}

struct GrantedHold {
    req: HoldRequest,
    expires_at: Instant,
}

/// The parts of one stream's KV cache that are on other engines.
struct ExportedParts {
    /// When the first part was exported.
    since: Instant,
    /// Length of each part in tokens, by its first token, so that a repeated export counts once.
    lengths: HashMap<u64, u64>,
}

/// The memory that keeps the KV cache of prefixes of earlier prompts.
#[derive(Default)]
struct PrefixCache {
    /// Length in tokens by prefix hash, the least recently used first.
    entries: IndexMap<u64, u64>,
    /// Events with the time from which readers receive them.
    events: VecDeque<(Instant, CacheEvent)>,
    next_event_number: u64,
}

impl PrefixCache {
    /// Return the length in tokens of the longest cached prefix, 0 if none is cached.
    fn cached_tokens(&self, prefixes: &[(u64, u64)]) -> u64 {
        let longest = prefixes
            .iter()
            .rev()
            .find(|(hash, _)| self.entries.contains_key(hash));
        longest.map_or(0, |(_, tokens)| *tokens)
    }

    /// Insert the prefixes of a prompt as the most recently used ones, and evict the least
    /// recently used ones if the memory is exceeded.
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

    /// Publish an event to readers, unless it is one of those that `cache_event_loss` loses.
    fn publish(&mut self, prefix: u64, tokens: u64, evicted: bool, cfg: &EngineConfig) {
        let number = self.next_event_number;
        self.next_event_number += 1;
        if cfg.cache_event_loss > 0 && number % cfg.cache_event_loss == cfg.cache_event_loss - 1 {
            return;
        }
        let visible_from = Instant::now() + Duration::from_millis(cfg.cache_event_lag_ms);
        self.events.push_back((
            visible_from,
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

    /// Return the visible events whose number is `after` or higher.
    fn events(&self, after: u64) -> CacheEvents {
        let now = Instant::now();
        let visible = || {
            self.events
                .iter()
                .filter(|(visible_from, _)| *visible_from <= now)
        };
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

/// The state of the engine. A crash resets it to that of a fresh start with a new incarnation.
struct State {
    incarnation: u64,
    leaving: bool,
    role: String,
    /// Whether every model is served: true until the first accepted order if the settings name no
    /// model.
    serves_every_model: bool,
    /// Highest fencing number of an accepted order.
    fencing: u64,
    models: IndexMap<String, LoadedModel>,
    /// Streams by id, in the order of their arrival.
    streams: IndexMap<String, Stream>,
    holds: IndexMap<String, GrantedHold>,
    /// Parts of streams that are on other engines, by stream id.
    exported: HashMap<String, ExportedParts>,
    cache: PrefixCache,
    /// Earlier load reports, the newest last, to serve with a lag.
    reports: VecDeque<(Instant, LoadReport)>,
    /// Stream ids of the accepted generations, the newest last.
    executions: VecDeque<String>,
}

impl State {
    fn new(cfg: &EngineConfig) -> Self {
        let models = cfg.models.iter().map(|text| {
            let (model, version) = text.split_once('@').unwrap_or((text, "1"));
            (model.to_owned(), loaded_model(model, version, "ready"))
        });
        Self {
            incarnation: new_incarnation(),
            leaving: false,
            role: cfg.role.clone(),
            serves_every_model: cfg.models.is_empty() && !cfg.empty,
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

    fn memory_used_tokens(&self) -> u64 {
        let running = self.streams.values().filter(|stream| stream.is_running());
        let hold_tokens = self.holds.values().map(|hold| hold.req.tokens);
        running
            .map(|stream| stream.memory_tokens)
            .chain(hold_tokens)
            .sum()
    }

    fn count_in(&self, phase: Phase) -> usize {
        self.streams
            .values()
            .filter(|stream| stream.phase == phase)
            .count()
    }

    fn count_running(&self) -> usize {
        self.streams
            .values()
            .filter(|stream| stream.is_running())
            .count()
    }

    /// Return the current load.
    fn load_report(&self, cfg: &EngineConfig) -> LoadReport {
        let prefill_pending = self
            .streams
            .values()
            .filter(|stream| stream.phase <= Phase::Prefill);
        LoadReport {
            server: cfg.id.clone(),
            incarnation: self.incarnation,
            state: if self.leaving { "leaving" } else { "live" }.to_owned(),
            running: u32::try_from(self.count_running()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.count_in(Phase::Queued)).unwrap_or(u32::MAX),
            queued_prefill_tokens: prefill_pending
                .map(|stream| stream.prefill_tokens_left)
                .sum(),
            memory_used_tokens: self.memory_used_tokens(),
            memory_tokens: cfg.memory_tokens,
            age_ms: 0,
        }
    }

    /// Return the newest report that is at least as old as the lag, or else the oldest one kept.
    fn lagging_load_report(&self, cfg: &EngineConfig) -> LoadReport {
        let lag = Duration::from_millis(cfg.load_lag_ms);
        if lag.is_zero() {
            return self.load_report(cfg);
        }
        let old = self
            .reports
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= lag);
        let Some((at, report)) = old.or(self.reports.front()) else {
            return self.load_report(cfg);
        };
        let age_ms = u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
        LoadReport {
            age_ms,
            ..report.clone()
        }
    }

    /// Return whether a model, as `MODEL` or `MODEL:ADAPTER`, is ready.
    fn serves(&self, model: &str) -> bool {
        let model = model.split(':').next().unwrap_or_default();
        self.serves_every_model
            || self
                .models
                .get(model)
                .is_some_and(|loaded| loaded.state == "ready")
    }

    /// Start the prefill of queued streams, interactive ones first, while there is room. Fail
    /// queued streams whose deadline has passed.
    fn admit(&mut self, cfg: &EngineConfig) {
        let mut queued: Vec<usize> = (0..self.streams.len())
            .filter(|&index| self.streams[index].phase == Phase::Queued)
            .collect();
        if queued.is_empty() {
            return;
        }
        queued.sort_by_key(|&index| self.streams[index].batch);
        let mut free_tokens = cfg.memory_tokens.saturating_sub(self.memory_used_tokens());
        let mut running = self.count_running();
        for index in queued {
            let stream = &mut self.streams[index];
            if cfg.checks_deadline && past_deadline(stream.not_after_unix_ms) {
                stream.end(StreamEnd::Failed("deadline"));
            } else if running < cfg.concurrent_requests && stream.memory_tokens <= free_tokens {
                let cached_tokens = self.cache.cached_tokens(&stream.prefixes);
                // The last prompt token is always computed, since it yields the first new token.
                stream.prefill_tokens_left =
                    stream.prompt_tokens.saturating_sub(cached_tokens).max(1);
                stream.phase = Phase::Prefill;
                free_tokens -= stream.memory_tokens;
                running += 1;
            }
        }
    }

    /// Return the stream and the number of tokens of the next prefill step.
    fn next_prefill_step(&mut self, cfg: &EngineConfig) -> Option<(String, u64)> {
        self.admit(cfg);
        let in_prefill = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.phase == Phase::Prefill);
        let (id, stream) = in_prefill.min_by_key(|(_, stream)| stream.batch)?;
        Some((
            id.clone(),
            stream.prefill_tokens_left.min(PREFILL_CHUNK_TOKENS),
        ))
    }

    /// Record a finished prefill step. Return whether the prompt crashes the engine.
    fn finish_prefill_step(&mut self, id: &str, tokens: u64, cfg: &EngineConfig) -> bool {
        let Some(stream) = self.streams.get_mut(id) else {
            return false;
        };
        if stream.phase != Phase::Prefill {
            return false;
        }
        stream.prefill_tokens_left -= tokens.min(stream.prefill_tokens_left);
        if stream.prefill_tokens_left > 0 {
            return false;
        }
        self.cache.insert(&stream.prefixes, cfg);
        stream.decode_token();
        stream.crashes_engine
    }

    /// Remove streams without a connection and exports without a stream, after the retention time.
    /// Exports of an ended stream are removed at once.
    fn remove_old_streams(&mut self) {
        let expired = |stream: &Stream| {
            stream.progress.receiver_count() == 0
                && stream.last_activity.elapsed() > STREAM_RETENTION
        };
        self.streams.retain(|_, stream| !expired(stream));
        let streams = &self.streams;
        self.exported.retain(|id, exported| match streams.get(id) {
            Some(stream) => stream.phase != Phase::Ended,
            None => exported.since.elapsed() < STREAM_RETENTION,
        });
    }

    fn fail_all_streams(&mut self) {
        for stream in self.streams.values_mut() {
            stream.end(StreamEnd::Failed("crash"));
        }
    }

    fn drop_expired_holds(&mut self) {
        let now = Instant::now();
        self.holds.retain(|_, hold| hold.expires_at > now);
    }
}

fn loaded_model(model: &str, version: &str, state: &str) -> LoadedModel {
    LoadedModel {
        model: model.to_owned(),
        version: version.to_owned(),
        state: state.to_owned(),
        ..LoadedModel::default()
    }
}

struct Shared {
    cfg: EngineConfig,
    /// Weight store, which engines of one process may share. Each load takes a permit.
    weight_store: Arc<Semaphore>,
    state: Mutex<State>,
    /// Wakes the prefill task when there may be a stream to prefill.
    prefill_work: Notify,
    /// Wakes the decode task when there may be a stream to decode.
    decode_work: Notify,
    /// Stream connections that were opened at this time or before send nothing more.
    silenced_at: watch::Sender<Option<Instant>>,
    server: OnceLock<Server>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Fail all streams, reset the state, and drop all connections for the time of the outage.
    fn crash(&self, outage: Duration) {
        let mut state = self.state();
        state.fail_all_streams();
        *state = State::new(&self.cfg);
        drop(state);
        if let Some(server) = self.server.get() {
            server.drop_connections(outage);
        }
    }
}

/// A running simulated engine. It stops when it is dropped.
pub struct Engine {
    shared: Arc<Shared>,
    addr: SocketAddr,
    _tasks: JoinSet<()>,
}

impl Engine {
    /// Start an engine in the current Tokio runtime with its own weight store, which serves one
    /// load at a time.
    pub fn start(cfg: EngineConfig) -> io::Result<Self> {
        Self::start_with_weight_store(cfg, Arc::new(Semaphore::new(1)))
    }

    /// Start an engine with a weight store that it may share with others. Each load takes a permit.
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
            silenced_at: watch::Sender::new(None),
            server: OnceLock::new(),
        });
        // `shared` owns the server. A strong reference in the server's handler would keep `shared`
        // alive, so dropping the engine would never close the server.
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
        tasks.spawn(run_maintenance(Arc::clone(&shared)));
        Ok(Self {
            shared,
            addr,
            _tasks: tasks,
        })
    }

    /// Return the address that the engine listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Refuse new streams and holds from now on, with the reason `leaving`.
    pub fn leave(&self) {
        self.shared.state().leaving = true;
    }

    /// Lose all state and connections and, for the given time, close new connections as soon as
    /// they are accepted.
    pub fn crash(&self, outage: Duration) {
        self.shared.crash(outage);
    }

    /// Stop sending on all open stream connections without closing them.
    pub fn silence(&self) {
        self.shared.silenced_at.send_replace(Some(Instant::now()));
    }

    /// Return the stream ids of the generations that were accepted since the last crash: the latest
    /// 65,536.
    pub fn executions(&self) -> Vec<String> {
        self.shared.state().executions.iter().cloned().collect()
    }

    /// Return the current load without lag.
    pub fn load(&self) -> LoadReport {
        self.shared.state().load_report(&self.shared.cfg)
    }
}

/// Run prefill steps one after the other, at the rate of the settings.
async fn run_prefill(shared: Arc<Shared>) {
    let rate = shared.cfg.prefill_tokens_per_s.max(1) as f64;
    let mut busy_until = Instant::now();
    loop {
        let step = shared.state().next_prefill_step(&shared.cfg);
        let Some((id, tokens)) = step else {
            shared.prefill_work.notified().await;
            continue;
        };
        let now = Instant::now();
        busy_until = busy_until.max(now) + Duration::from_secs_f64(tokens as f64 / rate);
        // The timer has a resolution of 1 ms, so shorter steps accumulate before the task sleeps.
        if busy_until.duration_since(now) >= Duration::from_millis(1) {
            tokio::time::sleep_until(busy_until).await;
        }
        if shared.state().finish_prefill_step(&id, tokens, &shared.cfg) {
            shared.crash(Duration::from_millis(shared.cfg.crash_down_ms));
        }
        shared.decode_work.notify_one();
        tokio::task::yield_now().await;
    }
}

/// Generate one token of each stream in decode per time step.
async fn run_decode(shared: Arc<Shared>) {
    let step = Duration::from_millis(shared.cfg.token_ms.max(1));
    loop {
        if shared.state().count_in(Phase::Decode) == 0 {
            shared.decode_work.notified().await;
        }
        tokio::time::sleep(step).await;
        let mut state = shared.state();
        let decoding = state
            .streams
            .values_mut()
            .filter(|stream| stream.phase == Phase::Decode);
        decoding.for_each(Stream::decode_token);
        shared.prefill_work.notify_one();
    }
}

/// Sample the load, and remove old streams and expired holds.
async fn run_maintenance(shared: Arc<Shared>) {
    // One report per 25 ms of lag: twice as many as the period of 50 ms requires.
    let kept_reports = 2 + usize::try_from(shared.cfg.load_lag_ms / 25).unwrap_or(0);
    let mut period = tokio::time::interval(MAINTENANCE_PERIOD);
    loop {
        period.tick().await;
        let mut state = shared.state();
        let report = state.load_report(&shared.cfg);
        state.reports.push_back((Instant::now(), report));
        if state.reports.len() > kept_reports {
            state.reports.pop_front();
        }
        state.remove_old_streams();
        if shared.cfg.drops_expired_holds {
            state.drop_expired_holds();
        }
        shared.prefill_work.notify_one();
    }
}

/// Route a request. Return `None` to drop the connection without a response.
async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Option<Response<Body>> {
    let path = req.uri().path().to_owned();
    let params = req.uri().query().map(str::to_owned);
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let cfg = &shared.cfg;
    Some(match (req.method(), segments.as_slice()) {
        (&Method::POST, ["v1", "generate"]) => generate(shared, req).await,
        (&Method::POST, ["v1", "streams", id, "resume"]) => {
            let from = query_param(params.as_deref(), "from").and_then(|from| from.parse().ok());
            resume(&shared, id, from.unwrap_or(0))
        }
        (&Method::DELETE, ["v1", "streams", id]) => cancel(&shared, id),
        (&Method::GET, ["load"]) => json_response(&shared.state().lagging_load_report(cfg)),
        (&Method::GET, ["state"]) => json_response(&engine_state(&shared)),
        (&Method::GET, ["events"]) => {
            let after =
                query_param(params.as_deref(), "after").and_then(|after| after.parse().ok());
            json_response(&shared.state().cache.events(after.unwrap_or(0)))
        }
        (&Method::GET, ["executions"]) => json_response(&shared.state().executions),
        (&Method::GET, ["holds"]) => json_response(&list_holds(&shared)),
        (&Method::DELETE, ["holds", id]) => {
            let removed = shared.state().holds.shift_remove(*id).is_some();
            shared.prefill_work.notify_one();
            json_response(&removed)
        }
        (&Method::POST, ["control", command]) => control(&shared, command, params.as_deref())?,
        (&Method::POST, _) => handle_post(&shared, &path, req).await,
        _ => text_response(StatusCode::NOT_FOUND, "no such path"),
    })
}

async fn handle_post(shared: &Arc<Shared>, path: &str, req: Request<Incoming>) -> Response<Body> {
    let body = req.into_body();
    let response = match path {
        "/orders" => read_json(body)
            .await
            .map(|order| json_response(&apply_order(shared, order))),
        "/holds" => read_json(body)
            .await
            .map(|req| json_response(&grant_hold(shared, req))),
        "/kv/export" => read_json(body)
            .await
            .map(|req| json_response(&export_kv(shared, req))),
        "/kv/import" => match read_json(body).await {
            Some(req) => Some(json_response(&import_kv(shared, req).await)),
            None => None,
        },
        _ => return text_response(StatusCode::NOT_FOUND, "no such path"),
    };
    response.unwrap_or_else(|| text_response(StatusCode::BAD_REQUEST, "the body is malformed"))
}

/// Execute a control call of a test. Return `None` if the connection is dropped by a crash.
fn control(shared: &Shared, command: &str, params: Option<&str>) -> Option<Response<Body>> {
    match command {
        "leave" => shared.state().leaving = true,
        "silence" => {
            shared.silenced_at.send_replace(Some(Instant::now()));
        }
        "crash" => {
            let down_ms = query_param(params, "down_ms").and_then(|ms| ms.parse().ok());
            shared.crash(Duration::from_millis(
                down_ms.unwrap_or(shared.cfg.crash_down_ms),
            ));
            return None;
        }
        _ => return Some(text_response(StatusCode::NOT_FOUND, "no such control call")),
    }
    Some(json_response(&true))
}

async fn generate(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let id = header_text(&req, "oleanderpass-stream-id").to_owned();
    let hold_id = header_text(&req, "oleanderpass-hold").to_owned();
    let batch = header_text(&req, "oleanderpass-priority") == "batch";
    let not_after_unix_ms = header_text(&req, "oleanderpass-not-after-unix-ms")
        .parse()
        .ok();
    let from: u64 = header_text(&req, "oleanderpass-continue-from")
        .parse()
        .unwrap_or(0);
    let body = read_body(req.into_body()).await;
    let parsed = body.and_then(|body| serde_json::from_slice::<GenerateRequest>(&body).ok());
    let Some(generate_request) = parsed else {
        return text_response(StatusCode::BAD_REQUEST, "the body is malformed");
    };
    let id = if id.is_empty() {
        format!("{:016x}", rand::random::<u64>())
    } else {
        id
    };
    let prompt = generate_request.prompt();
    let tokens = prompt_tokens(&prompt) + from;
    let end_seq = generate_request.max_tokens().max(from);
    let (progress, receiver) = watch::channel(Progress {
        next_seq: from,
        end: None,
    });
    let stream = Stream {
        seed: prompt_seed(&prompt),
        prefixes: prefix_hashes(&prompt),
        crashes_engine: shared
            .cfg
            .crash_text
            .as_ref()
            .is_some_and(|text| prompt.contains(text)),
        model: generate_request.model,
        batch,
        phase: Phase::Queued,
        prompt_tokens: tokens,
        prefill_tokens_left: tokens,
        end_seq,
        not_after_unix_ms,
        memory_tokens: tokens + end_seq - from,
        progress,
        last_activity: Instant::now(),
    };
    if let Err(reason) = enqueue(&shared, &id, stream, &hold_id) {
        return refusal_response(reason);
    }
    stream_response(&shared, id, prompt_seed(&prompt), receiver, from)
}

/// Queue a stream, or return why it is refused. `hold_id` is empty if the stream has no hold.
fn enqueue(
    shared: &Shared,
    id: &str,
    mut stream: Stream,
    hold_id: &str,
) -> Result<(), &'static str> {
    let cfg = &shared.cfg;
    let mut state = shared.state();
    if state.leaving {
        return Err("leaving");
    }
    if cfg.checks_deadline && past_deadline(stream.not_after_unix_ms) {
        return Err("deadline");
    }
    if !state.serves(&stream.model) {
        return Err("not_loaded");
    }
    let exported_tokens = state
        .exported
        .get(id)
        .map_or(0, |exported| exported.lengths.values().sum());
    let hold_tokens = match (hold_id, state.holds.get(hold_id)) {
        ("", _) => 0,
        (_, Some(hold)) => hold.req.tokens,
        (_, None) => return Err("full"),
    };
    stream.memory_tokens = stream
        .memory_tokens
        .saturating_sub(hold_tokens + exported_tokens);
    if stream.memory_tokens > cfg.memory_tokens || state.count_in(Phase::Queued) >= cfg.queue {
        return Err("full");
    }
    if state.executions.len() >= KEPT_EXECUTIONS {
        state.executions.pop_front();
    }
    state.executions.push_back(id.to_owned());
    if let Some(mut old) = state.streams.shift_remove(id) {
        old.end(StreamEnd::Failed("replaced"));
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
        Some((seed, receiver)) => stream_response(shared, id.to_owned(), seed, receiver, from),
        None => text_response(StatusCode::NOT_FOUND, "no such stream"),
    }
}

fn cancel(shared: &Shared, id: &str) -> Response<Body> {
    let mut state = shared.state();
    let Some(stream) = state.streams.get_mut(id) else {
        return text_response(StatusCode::NOT_FOUND, "no such stream");
    };
    stream.end(StreamEnd::Failed("cancelled"));
    shared.prefill_work.notify_one();
    json_response(&true)
}

/// Return a response that sends the events of a stream from sequence number `from`.
fn stream_response(
    shared: &Arc<Shared>,
    id: String,
    seed: u64,
    progress: watch::Receiver<Progress>,
    from: u64,
) -> Response<Body> {
    let (tx, rx) = mpsc::channel(CONNECTION_BUFFER_EVENTS);
    let connection = StreamConnection {
        id,
        seed,
        next_seq: from,
        opened_at: Instant::now(),
        silenced_at: shared.silenced_at.subscribe(),
        tx,
    };
    let weak = Arc::downgrade(shared);
    tokio::spawn(async move {
        let id = connection.id.clone();
        connection.run(progress).await;
        if let Some(shared) = weak.upgrade()
            && let Some(stream) = shared.state().streams.get_mut(&id)
        {
            stream.last_activity = Instant::now();
        }
    });
    let frames = ReceiverStream::new(rx).map(|data| Ok(Frame::data(data)));
    let mut resp = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    let sse = header::HeaderValue::from_static("text/event-stream");
    resp.headers_mut().insert(header::CONTENT_TYPE, sse);
    resp
}

/// Sends the events of a stream on one connection.
struct StreamConnection {
    id: String,
    seed: u64,
    /// Sequence number of the next event to send.
    next_seq: u64,
    opened_at: Instant,
    silenced_at: watch::Receiver<Option<Instant>>,
    tx: mpsc::Sender<Bytes>,
}

impl StreamConnection {
    /// Send events and keep-alive comments until the stream ends or the connection closes.
    async fn run(mut self, mut progress: watch::Receiver<Progress>) {
        // The first tick of an interval is immediate, so a comment follows the head at once.
        let mut keep_alive = tokio::time::interval(KEEP_ALIVE_PERIOD);
        loop {
            if self.is_silenced() {
                self.tx.closed().await;
                return;
            }
            let reached = *progress.borrow_and_update();
            while self.next_seq < reached.next_seq {
                if self.is_silenced() {
                    break;
                }
                if self.tx.send(self.event(None)).await.is_err() {
                    return;
                }
                self.next_seq += 1;
            }
            if reached.end.is_some() && self.next_seq >= reached.next_seq {
                let _ = self.tx.send(self.event(reached.end)).await;
                return;
            }
            tokio::select! {
                biased;
                () = self.tx.closed() => return,
                _ = self.silenced_at.changed() => {}
                changed = progress.changed() => if changed.is_err() { return },
                _ = keep_alive.tick() => {
                    let _ = self.tx.try_send(Bytes::from_static(b": keep-alive\n\n"));
                }
            }
        }
    }

    fn is_silenced(&self) -> bool {
        self.silenced_at
            .borrow()
            .is_some_and(|silenced_at| self.opened_at <= silenced_at)
    }

    /// Return the next event: a token, or the final event if `end` is set.
    fn event(&self, end: Option<StreamEnd>) -> Bytes {
        let event = StreamEvent {
            id: self.id.clone(),
            seq: self.next_seq,
            text: if end.is_none() {
                token(self.seed, self.next_seq)
            } else {
                String::new()
            },
            done: end == Some(StreamEnd::Done),
            error: match end {
                Some(StreamEnd::Failed(cause)) => cause.to_owned(),
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

/// Apply an order unless it is unknown or its fencing number is out of date.
fn apply_order(shared: &Arc<Shared>, order: Order) -> OrderAnswer {
    let mut state = shared.state();
    let refusal = match order.kind.as_str() {
        "load" | "unload" | "role" if order.fencing >= state.fencing => None,
        "load" | "unload" | "role" if !shared.cfg.checks_fencing => None,
        "load" | "unload" | "role" => Some("fencing"),
        _ => Some("kind"),
    };
    if refusal.is_none() {
        state.fencing = state.fencing.max(order.fencing);
        state.serves_every_model = false;
        match order.kind.as_str() {
            "role" => state.role = order.role,
            "unload" => unload_model(shared, &mut state, &order.model),
            _ => load_model(shared, &mut state, order),
        }
    }
    OrderAnswer {
        accepted: refusal.is_none(),
        reason: refusal.unwrap_or_default().to_owned(),
        fencing: state.fencing,
    }
}

/// Start to load a model unless the same version with the same adapters is loaded or loading.
fn load_model(shared: &Arc<Shared>, state: &mut State, order: Order) {
    let wanted = LoadedModel {
        adapters: order.adapters,
        ..loaded_model(&order.model, &order.version, "loading")
    };
    let present = state.models.get(&order.model);
    let same = present.is_some_and(|present| {
        present.version == wanted.version
            && present.adapters == wanted.adapters
            && present.state != "unloading"
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
        // The load has no effect if the engine has crashed or a later order changed the model.
        let same_incarnation = state.incarnation == incarnation;
        if let Some(model) = state.models.get_mut(&order.model)
            && same_incarnation
            && *model == wanted
        {
            model.state = "ready".to_owned();
        }
    });
}

/// Refuse new streams of a model from now on and remove the model once its streams have ended.
fn unload_model(shared: &Arc<Shared>, state: &mut State, model: &str) {
    let Some(present) = state.models.get_mut(model) else {
        return;
    };
    present.state = "unloading".to_owned();
    let (shared, model) = (Arc::clone(shared), model.to_owned());
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(MAINTENANCE_PERIOD).await;
            let mut state = shared.state();
            if state
                .models
                .get(&model)
                .is_none_or(|present| present.state != "unloading")
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

/// Return the answer to a request for a hold or a transfer; an empty reason grants it.
fn hold_answer(reason: &str) -> HoldAnswer {
    HoldAnswer {
        granted: reason.is_empty(),
        reason: reason.to_owned(),
    }
}

/// Grant a hold if its memory is free now. A repeated request renews the lease.
fn grant_hold(shared: &Shared, req: HoldRequest) -> HoldAnswer {
    let mut state = shared.state();
    let previous = state.holds.get(&req.id);
    if previous.is_some_and(|hold| {
        (&hold.req.owner, hold.req.owner_incarnation) != (&req.owner, req.owner_incarnation)
    }) {
        return hold_answer("owner");
    }
    let used = state.memory_used_tokens() - previous.map_or(0, |hold| hold.req.tokens);
    if state.leaving {
        return hold_answer("leaving");
    }
    if used + req.tokens > shared.cfg.memory_tokens {
        return hold_answer("full");
    }
    let expires_at = Instant::now() + Duration::from_millis(req.expires_in_ms);
    state
        .holds
        .insert(req.id.clone(), GrantedHold { req, expires_at });
    hold_answer("")
}

fn list_holds(shared: &Shared) -> HoldList {
    let now = Instant::now();
    let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let state = shared.state();
    let holds = state.holds.values().map(|hold| Hold {
        id: hold.req.id.clone(),
        owner: hold.req.owner.clone(),
        owner_incarnation: hold.req.owner_incarnation,
        tokens: hold.req.tokens,
        expires_in_ms: ms(hold.expires_at.saturating_duration_since(now)),
        overdue_ms: ms(now.saturating_duration_since(hold.expires_at)),
    });
    HoldList {
        incarnation: state.incarnation,
        holds: holds.collect(),
    }
}

/// Record that a part of a stream's KV cache is on another engine.
fn export_kv(shared: &Shared, req: KvTransfer) -> HoldAnswer {
    let mut state = shared.state();
    let new_parts = || ExportedParts {
        since: Instant::now(),
        lengths: HashMap::new(),
    };
    let exported = state.exported.entry(req.stream).or_insert_with(new_parts);
    exported.lengths.insert(req.from_token, req.tokens);
    hold_answer("")
}

/// Import a part of a stream's KV cache into a hold of this engine.
async fn import_kv(shared: &Shared, req: KvTransfer) -> HoldAnswer {
    let hold_tokens = shared
        .state()
        .holds
        .get(&req.hold)
        .map(|hold| hold.req.tokens);
    match hold_tokens {
        None => return hold_answer("no such hold"),
        Some(hold_tokens) if hold_tokens < req.tokens => return hold_answer("full"),
        Some(_) => {}
    }
    let Ok(source) = req.source.parse::<SocketAddr>() else {
        return hold_answer("source");
    };
    let export = KvTransfer {
        source: String::new(),
        ..req
    };
    let answer = post_json::<HoldAnswer>(source, "/kv/export", &export).await;
    answer.unwrap_or_else(|cause| hold_answer(&format!("export: {cause}")))
}
