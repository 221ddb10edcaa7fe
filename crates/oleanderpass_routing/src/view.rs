//! Hold the state of the engines as one entry instance sees it.

use std::cmp::Reverse;

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::ZoneId;
use oleanderpass_types::size::Tokens;

use crate::prefix::CacheKey;
use crate::prefix::PrefixIndex;
use crate::rendezvous::node_key;
use crate::rendezvous::weight;
use crate::request::DEFAULT_LONG_PROMPT;
use crate::request::LengthClass;
use crate::request::Prefix;
use crate::share::LongShare;

/// The rendezvous key that orders the engines for the long-prompt partition.
///
/// All instances use the same key, so they agree on which engines take long prompts.
const LONG_PARTITION_KEY: u64 = 0x6c6f_6e67_2070_6172;

/// Speed and memory of an engine. Source: the environment document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// The capacity of the KV cache.
    pub memory: Tokens,
    /// The prefill rate, in prompt tokens per second.
    pub prefill_per_s: Tokens,
    /// The time between two generated tokens of a request when the batch is full.
    pub token_time: Millis,
    /// The most requests that the engine runs at the same time.
    pub concurrent_requests: u32,
}

impl EngineSpec {
    /// Return the time that the engine takes to prefill `tokens`.
    pub fn prefill_time(&self, tokens: Tokens) -> Millis {
        Millis::new(tokens.get().saturating_mul(1_000) / self.prefill_per_s.get().max(1))
    }
}

/// The load that an engine reports, caused by the requests of all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Prompt tokens in the queue for prefill.
    pub queued_prefill: Tokens,
    /// Requests that run or are queued.
    pub requests: u32,
    /// KV cache memory in use.
    pub memory_used: Tokens,
}

/// Work that this instance has in flight on one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnWork {
    /// Tokens to prefill for short prompts whose first token has not arrived, without expected
    /// cache hits.
    pub short_prefill: Tokens,
    /// The same for long prompts.
    pub long_prefill: Tokens,
    /// Requests in flight.
    pub requests: u32,
    /// KV cache memory that the requests need at their end.
    pub memory: Tokens,
}

impl OwnWork {
    /// Return the tokens to prefill for prompts of both length classes.
    pub fn prefill(&self) -> Tokens {
        self.short_prefill + self.long_prefill
    }
}

/// A load report that this instance received from an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedReport {
    /// When the engine measured the load: the arrival minus the age that the report gives.
    pub measured_at: Timestamp,
    /// The load as reported.
    pub report: LoadReport,
    /// The reported load minus this instance's own work at the arrival of the report.
    pub others: LoadReport,
}

/// The state of one engine as this instance sees it.
#[derive(Clone, Debug)]
pub struct Server {
    /// The id.
    pub id: BackendServerId,
    /// The hash of the id for rendezvous hashing.
    pub key: u64,
    /// The incarnation of the engine's process; a new one discards the last report and the
    /// expected cache.
    pub incarnation: Incarnation,
    /// The availability zone.
    pub zone: ZoneId,
    /// Speed and memory.
    pub spec: EngineSpec,
    /// Whether the engine has loaded the model.
    pub ready: bool,
    /// Whether the engine is draining: it accepts no new work in this incarnation.
    pub leaving: bool,
    /// Work that this instance has in flight on the engine.
    pub own: OwnWork,
    /// The newest load report of this incarnation; `None` until one arrives.
    pub report: Option<ReceivedReport>,
    /// Incremented when cache events are lost, which invalidates the expected cache.
    cache_epoch: u64,
}

impl Server {
    /// Create the state of an engine that is ready and has no work.
    pub fn new(id: BackendServerId, zone: ZoneId, spec: EngineSpec) -> Self {
        Self {
            key: node_key(id.as_str()),
            id,
            incarnation: Incarnation::default(),
            zone,
            spec,
            ready: true,
            leaving: false,
            own: OwnWork::default(),
            report: None,
            cache_epoch: 0,
        }
    }

    /// Return whether the engine accepts new work.
    pub fn usable(&self) -> bool {
        self.ready && !self.leaving
    }

    /// Return the key of the engine's current cache in the prefix index.
    pub fn cache_key(&self) -> CacheKey {
        CacheKey(weight(self.key ^ self.incarnation.get(), self.cache_epoch))
    }
}

/// The work that a dispatched request adds to each of its engines.
///
/// Keep it until the request ends, and pass it to [`View::record_end`] then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The engines, by ascending id.
    pub servers: Vec<BackendServerId>,
    /// The length class of the prompt.
    pub class: LengthClass,
    /// The prompt tokens to prefill on each engine, without the expected cache hit.
    pub prefill: Tokens,
    /// The KV cache memory that the request needs on each engine.
    pub memory: Tokens,
    /// Whether the first token has arrived, so no prefill is pending.
    pub prefill_done: bool,
}

/// An engine that a request may be placed on.
///
/// It has a copy of the engine's key because rendezvous hashing visits each engine of the zone:
/// with 1,500 engines, reading the key from their [`Server`] took most of the time of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The index of the engine in the view.
    pub(crate) index: usize,
    /// The hash of the engine's id.
    pub(crate) key: u64,
    /// The position in the order of the long-prompt partition, from 0.
    pub(crate) rank: usize,
}

/// The sum of the prefill queues in a set of reports, without this instance's own work.
#[derive(Clone, Copy, Debug, Default)]
struct QueueSum {
    tokens: u64,
    /// The number of reports in the sum.
    reports: u64,
}

impl QueueSum {
    fn add(&mut self, received: &ReceivedReport) {
        self.tokens += received.others.queued_prefill.get();
        self.reports += 1;
    }

    fn subtract(&mut self, received: &ReceivedReport) {
        self.tokens -= received.others.queued_prefill.get();
        self.reports -= 1;
    }

    fn mean(&self) -> Tokens {
        Tokens::new(self.tokens / self.reports.max(1))
    }
}

/// The engines of one service that serve one model, as one entry instance sees them.
#[derive(Clone, Debug)]
pub struct View {
    own_zone: ZoneId,
    servers: IndexMap<BackendServerId, Server>,
    /// The usable engines to choose from, in the order of the long-prompt partition.
    pool: Vec<Candidate>,
    pool_is_stale: bool,
    /// The prefill queues in the last reports of all engines.
    reported: QueueSum,
    /// The prefill queues in those last reports that show no long work.
    reported_short: QueueSum,
    long_prompt: Tokens,
    /// The share of the prefill work that long prompts cause.
    pub long_share: LongShare,
    /// The expected content of the prefix caches.
    pub prefixes: PrefixIndex,
    /// The number of dispatches so far, for round robin.
    pub dispatches: u64,
}

impl View {
    /// Create the view of an instance in `own_zone`, without engines.
    pub fn new(own_zone: ZoneId) -> Self {
        Self {
            own_zone,
            servers: IndexMap::new(),
            pool: Vec::new(),
            pool_is_stale: false,
            reported: QueueSum::default(),
            reported_short: QueueSum::default(),
            long_prompt: DEFAULT_LONG_PROMPT,
            long_share: LongShare::default(),
            prefixes: PrefixIndex::default(),
            dispatches: 0,
        }
    }

    /// Return the length above which a prompt is long.
    pub fn long_prompt(&self) -> Tokens {
        self.long_prompt
    }

    /// Set the length above which a prompt is long. Source: the environment document.
    pub fn set_long_prompt(&mut self, long_prompt: Tokens) {
        self.long_prompt = long_prompt;
        self.reported_short = QueueSum::default();
        for received in self.servers.values().filter_map(|server| server.report) {
            if !self.shows_long_work(&received) {
                self.reported_short.add(&received);
            }
        }
    }

    /// Return the state of an engine, or `None` if it isn't in the view.
    pub fn server(&self, id: &BackendServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Return the engine of a candidate.
    pub fn at(&self, candidate: Candidate) -> &Server {
        &self.servers[candidate.index]
    }

    /// Return the index of an engine in the view.
    pub(crate) fn index_of(&self, id: &BackendServerId) -> Option<usize> {
        self.servers.get_index_of(id)
    }

    /// Return all engines, usable or not.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Insert an engine or replace its state, and keep its own work.
    ///
    /// The last report and the expected cache are kept only within an incarnation.
    pub fn upsert(&mut self, mut server: Server) {
        if let Some(existing) = self.servers.get(&server.id) {
            server.own = existing.own;
            if existing.incarnation == server.incarnation {
                server.report = existing.report;
                server.cache_epoch = existing.cache_epoch;
            } else {
                self.discard_report(&server.id.clone());
            }
        }
        self.servers.insert(server.id.clone(), server);
        self.pool_is_stale = true;
    }

    /// Remove an engine with its last report.
    pub fn remove(&mut self, id: &BackendServerId) {
        self.discard_report(id);
        self.servers.swap_remove(id);
        self.pool_is_stale = true;
    }

    /// Set whether an engine has loaded the model, and whether it is draining.
    pub fn set_usable(&mut self, id: &BackendServerId, ready: bool, leaving: bool) {
        if let Some(server) = self.servers.get_mut(id) {
            self.pool_is_stale |= (server.ready, server.leaving) != (ready, leaving);
            server.ready = ready;
            server.leaving = leaving;
        }
    }

    /// Rebuild the pool of engines to choose from if engines have changed.
    ///
    /// Call it before [`choose`](crate::policy::choose). The pool has the usable engines of the own
    /// zone, and those of other zones only when the own zone has none.
    pub fn refresh(&mut self) {
        if !self.pool_is_stale {
            return;
        }
        self.pool_is_stale = false;
        let usable = |own_zone_only: bool| -> Vec<Candidate> {
            let in_scope = |server: &Server| {
                (server.zone == self.own_zone) == own_zone_only && server.usable()
            };
            let servers = self.servers.values().enumerate();
            servers
                .filter(|(_, server)| in_scope(server))
                .map(|(index, server)| Candidate {
                    index,
                    key: server.key,
                    rank: 0,
                })
                .collect()
        };
        let mut pool = usable(true);
        if pool.is_empty() {
            pool = usable(false);
        }
        pool.sort_by_cached_key(|candidate| Reverse(weight(LONG_PARTITION_KEY, candidate.key)));
        for (rank, candidate) in pool.iter_mut().enumerate() {
            candidate.rank = rank;
        }
        self.pool = pool;
    }

    /// Return the engines to choose from, as of the last [`Self::refresh`], in the order of the
    /// long-prompt partition.
    pub fn pool(&self) -> &[Candidate] {
        &self.pool
    }

    /// Iterate over the engines of [`Self::pool`].
    pub fn pool_servers(&self) -> impl Iterator<Item = &Server> {
        self.pool.iter().map(|candidate| self.at(*candidate))
    }

    /// Return the size of the long-prompt partition: the number of engines at the start of the pool
    /// that take long prompts.
    pub fn long_partition_size(&self) -> usize {
        match self.pool.len() {
            0 | 1 => self.pool.len(),
            n => ((self.long_share.get() * n as f64).round() as usize).clamp(1, n - 1),
        }
    }

    /// Return the average, over all reports, of the prompt tokens that other instances have queued.
    pub fn mean_others_prefill(&self) -> Tokens {
        self.reported.mean()
    }

    /// Return the same average as [`Self::mean_others_prefill`] over the reports without long work.
    pub fn mean_others_short_prefill(&self) -> Tokens {
        self.reported_short.mean()
    }

    /// Return whether a report shows long work: its prefill queue is longer than any short prompt.
    ///
    /// A report has one queue length for all priorities, so this is an inference. A queue this
    /// long can't consist of short prompts, because instances keep short prompts in their local
    /// queues before an engine's queue of them gets this long.
    pub fn shows_long_work(&self, received: &ReceivedReport) -> bool {
        received.others.queued_prefill > self.long_prompt
    }

    /// Apply a load report that was measured `age` before `now`, unless a newer one was applied.
    pub fn apply_report(
        &mut self,
        now: Timestamp,
        id: &BackendServerId,
        age: Millis,
        report: LoadReport,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let measured_at = now - age;
        if server
            .report
            .is_some_and(|received| received.measured_at > measured_at)
        {
            return;
        }
        let others = LoadReport {
            queued_prefill: report.queued_prefill.saturating_sub(server.own.prefill()),
            requests: report.requests.saturating_sub(server.own.requests),
            memory_used: report.memory_used.saturating_sub(server.own.memory),
        };
        let received = ReceivedReport {
            measured_at,
            report,
            others,
        };
        let previous = server.report.replace(received);
        self.update_queue_sums(previous, Some(received));
    }

    /// Add a dispatch to the own work of its engines, and expect its prefixes in their caches.
    ///
    /// The work counts at once, before a load report shows it.
    pub fn record_dispatch(&mut self, now: Timestamp, dispatch: &Dispatch, prefixes: &[Prefix]) {
        self.dispatches += 1;
        let work = Tokens::new(dispatch.prefill.get() * dispatch.servers.len() as u64);
        self.long_share.add(now, dispatch.class, work);
        for id in &dispatch.servers {
            let Some(server) = self.servers.get_mut(id) else {
                continue;
            };
            server.own.requests += 1;
            server.own.memory += dispatch.memory;
            match dispatch.class {
                LengthClass::Short => server.own.short_prefill += dispatch.prefill,
                LengthClass::Long => server.own.long_prefill += dispatch.prefill,
            }
            let key = server.cache_key();
            for prefix in prefixes {
                self.prefixes.insert(prefix.hash, key);
            }
        }
    }

    /// Record that the first token of a dispatch has arrived; later calls have no effect.
    pub fn record_first_token(&mut self, dispatch: &mut Dispatch) {
        if std::mem::replace(&mut dispatch.prefill_done, true) {
            return;
        }
        for id in &dispatch.servers {
            if let Some(server) = self.servers.get_mut(id) {
                let queued = match dispatch.class {
                    LengthClass::Short => &mut server.own.short_prefill,
                    LengthClass::Long => &mut server.own.long_prefill,
                };
                *queued = queued.saturating_sub(dispatch.prefill);
            }
        }
    }

    /// Remove an ended dispatch from the own work of its engines.
    pub fn record_end(&mut self, mut dispatch: Dispatch) {
        self.record_first_token(&mut dispatch);
        for id in &dispatch.servers {
            if let Some(server) = self.servers.get_mut(id) {
                server.own.requests = server.own.requests.saturating_sub(1);
                server.own.memory = server.own.memory.saturating_sub(dispatch.memory);
            }
        }
    }

    /// Apply a cache event: an engine stored a prefix, or evicted it.
    pub fn apply_cache_event(&mut self, id: &BackendServerId, prefix: u64, evicted: bool) {
        if let Some(server) = self.servers.get(id) {
            let key = server.cache_key();
            if evicted {
                self.prefixes.remove(prefix, key);
            } else {
                self.prefixes.insert(prefix, key);
            }
        }
    }

    /// Discard the expected cache of an engine, because lost cache events may include evictions.
    pub fn record_lost_cache_events(&mut self, id: &BackendServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.cache_epoch += 1;
        }
    }

    fn discard_report(&mut self, id: &BackendServerId) {
        let previous = self
            .servers
            .get_mut(id)
            .and_then(|server| server.report.take());
        self.update_queue_sums(previous, None);
    }

    fn update_queue_sums(&mut self, old: Option<ReceivedReport>, new: Option<ReceivedReport>) {
        if let Some(received) = old {
            self.reported.subtract(&received);
            if !self.shows_long_work(&received) {
                self.reported_short.subtract(&received);
            }
        }
        if let Some(received) = new {
            self.reported.add(&received);
            if !self.shows_long_work(&received) {
                self.reported_short.add(&received);
            }
        }
    }
}
