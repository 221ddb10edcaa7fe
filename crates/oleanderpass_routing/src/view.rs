//! Hold what one entry instance knows of the engines.

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

/// The key that orders engines for the long part; all instances use the same one.
const LONG_PART_KEY: u64 = 0x6c6f_6e67_2070_6172;

/// Speed and memory of an engine. Source: the environment document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// The KV memory.
    pub memory: Tokens,
    /// The tokens that the engine prefills in a second.
    pub prefill_per_s: Tokens,
    /// The time between generated tokens at a full batch.
    pub token_time: Millis,
    /// The requests that the engine runs at the same time.
    pub concurrent_requests: u32,
}

impl EngineSpec {
    /// Return the time to prefill `tokens`.
    pub fn prefill_time(&self, tokens: Tokens) -> Millis {
        Millis::new(tokens.get().saturating_mul(1_000) / self.prefill_per_s.get().max(1))
    }
}

/// The load that an engine reported, over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Prompt tokens that wait for their prefill.
    pub queued_prefill: Tokens,
    /// Requests that run or wait.
    pub requests: u32,
    /// KV memory that requests hold.
    pub memory_used: Tokens,
}

/// Work of this instance on one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnWork {
    /// Prompt tokens of short prompts that have no first token yet.
    pub short_prefill: Tokens,
    /// Prompt tokens of long prompts that have no first token yet.
    pub long_prefill: Tokens,
    /// Requests.
    pub requests: u32,
    /// KV memory that the requests need.
    pub memory: Tokens,
}

impl OwnWork {
    /// Return the queued prompt tokens of both classes.
    pub fn prefill(&self) -> Tokens {
        self.short_prefill + self.long_prefill
    }
}

/// The last report of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedReport {
    /// The time of the figures.
    pub taken: Timestamp,
    /// The figures.
    pub report: LoadReport,
    /// The figures without the work of this instance at arrival.
    pub others: LoadReport,
}

/// The view of one engine.
#[derive(Clone, Debug)]
pub struct Server {
    /// The id.
    pub id: BackendServerId,
    /// The hash of the id for rendezvous hashing.
    pub key: u64,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The availability zone.
    pub zone: ZoneId,
    /// Speed and memory.
    pub spec: EngineSpec,
    /// The engine holds the model.
    pub ready: bool,
    /// The engine takes no new work in this incarnation.
    pub leaving: bool,
    /// Work of this instance.
    pub own: OwnWork,
    /// The last report.
    pub report: Option<ReceivedReport>,
    cache_epoch: u64,
}

impl Server {
    /// Create the view of an engine that is ready.
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

    /// Return whether the engine may take new work.
    pub fn usable(&self) -> bool {
        self.ready && !self.leaving
    }

    /// Return the key of the engine's current cache.
    pub fn cache_key(&self) -> CacheKey {
        CacheKey(weight(self.key ^ self.incarnation.get(), self.cache_epoch))
    }
}

/// What a dispatch adds to the engines that run it. Keep it until the request ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The engines, by ascending id.
    pub servers: Vec<BackendServerId>,
    /// The class of the prompt.
    pub class: LengthClass,
    /// The prompt tokens to prefill on each engine.
    pub prefill: Tokens,
    /// The memory to hold on each engine.
    pub memory: Tokens,
    /// The prefill is over.
    pub prefill_done: bool,
}

/// An engine to choose from.
///
/// It repeats the engine's key: rendezvous hashing visits each engine of the zone, and reading the
/// key from 1,500 views took most of the time of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The index of the engine in the view.
    pub(crate) index: usize,
    /// The hash of the engine's id.
    pub(crate) key: u64,
    /// The place in the order of the long part, from 0.
    pub(crate) rank: usize,
}

/// The sum of the queues in some reports, without own work.
#[derive(Clone, Copy, Debug, Default)]
struct QueueSum {
    tokens: u64,
    reports: u64,
}

impl QueueSum {
    fn add(&mut self, seen: &ReceivedReport) {
        self.tokens += seen.others.queued_prefill.get();
        self.reports += 1;
    }

    fn subtract(&mut self, seen: &ReceivedReport) {
        self.tokens -= seen.others.queued_prefill.get();
        self.reports -= 1;
    }

    fn mean(&self) -> Tokens {
        Tokens::new(self.tokens / self.reports.max(1))
    }
}

/// The view of the engines of one service that hold one model.
#[derive(Clone, Debug)]
pub struct View {
    own_zone: ZoneId,
    servers: IndexMap<BackendServerId, Server>,
    /// Usable engines to choose from, in the order of the long part.
    pool: Vec<Candidate>,
    pool_is_stale: bool,
    /// The reported queues of all engines.
    reported: QueueSum,
    /// The reported queues of engines without long work.
    reported_short: QueueSum,
    long_prompt: Tokens,
    /// The measured long share of the work.
    pub long_share: LongShare,
    /// The expected content of the prefix caches.
    pub prefixes: PrefixIndex,
    /// The number of dispatches, for round robin.
    pub dispatches: u64,
}

impl View {
    /// Create the view of an instance in `own_zone`.
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

    /// Return the length from which a prompt is long.
    pub fn long_prompt(&self) -> Tokens {
        self.long_prompt
    }

    /// Set the length from which a prompt is long. Source: the environment document.
    pub fn set_long_prompt(&mut self, long_prompt: Tokens) {
        self.long_prompt = long_prompt;
        self.reported_short = QueueSum::default();
        for seen in self.servers.values().filter_map(|server| server.report) {
            if !self.shows_long_work(&seen) {
                self.reported_short.add(&seen);
            }
        }
    }

    /// Return the view of an engine.
    pub fn server(&self, id: &BackendServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Return the engine of a candidate.
    pub fn at(&self, candidate: Candidate) -> &Server {
        &self.servers[candidate.index]
    }

    /// Return the index of an engine.
    pub(crate) fn index_of(&self, id: &BackendServerId) -> Option<usize> {
        self.servers.get_index_of(id)
    }

    /// Return all known engines.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Add an engine or change what is known of it; own work and reports stay.
    pub fn upsert(&mut self, mut server: Server) {
        if let Some(held) = self.servers.get(&server.id) {
            server.own = held.own;
            if held.incarnation == server.incarnation {
                server.report = held.report;
                server.cache_epoch = held.cache_epoch;
            } else {
                self.forget_report(&server.id.clone());
            }
        }
        self.servers.insert(server.id.clone(), server);
        self.pool_is_stale = true;
    }

    /// Remove an engine.
    pub fn remove(&mut self, id: &BackendServerId) {
        self.forget_report(id);
        self.servers.swap_remove(id);
        self.pool_is_stale = true;
    }

    /// Set whether an engine may take new work.
    pub fn set_usable(&mut self, id: &BackendServerId, ready: bool, leaving: bool) {
        if let Some(server) = self.servers.get_mut(id) {
            self.pool_is_stale |= (server.ready, server.leaving) != (ready, leaving);
            server.ready = ready;
            server.leaving = leaving;
        }
    }

    /// Rebuild the list of engines to choose from after a change. Call it before `choose`.
    ///
    /// These are the usable engines of the own zone, and those of other zones only when the own
    /// zone has none.
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
        pool.sort_by_cached_key(|candidate| Reverse(weight(LONG_PART_KEY, candidate.key)));
        for (rank, candidate) in pool.iter_mut().enumerate() {
            candidate.rank = rank;
        }
        self.pool = pool;
    }

    /// Return the usable engines in the order of the long part.
    pub fn pool(&self) -> &[Candidate] {
        &self.pool
    }

    /// Iterate over the usable engines.
    pub fn pool_servers(&self) -> impl Iterator<Item = &Server> {
        self.pool.iter().map(|index| self.at(*index))
    }

    /// Return the number of engines at the start of the pool that take long prompts.
    pub fn long_partition_size(&self) -> usize {
        match self.pool.len() {
            0 | 1 => self.pool.len(),
            n => ((self.long_share.get() * n as f64).round() as usize).clamp(1, n - 1),
        }
    }

    /// Return the average prompt tokens that other instances queue on an engine.
    pub fn mean_others_prefill(&self) -> Tokens {
        self.reported.mean()
    }

    /// Return the average over the engines that have no long work in their report.
    pub fn mean_others_short_prefill(&self) -> Tokens {
        self.reported_short.mean()
    }

    /// Return whether a report shows long work: the queue is longer than one short prompt.
    ///
    /// Reports don't tell the priorities apart. Instances keep short prompts in their local queues
    /// before an engine's queue of them gets this long.
    pub fn shows_long_work(&self, seen: &ReceivedReport) -> bool {
        seen.others.queued_prefill > self.long_prompt
    }

    /// Take a load report whose figures have the given age on arrival. An older one is ignored.
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
        let taken = now - age;
        if server.report.is_some_and(|seen| seen.taken > taken) {
            return;
        }
        let others = LoadReport {
            queued_prefill: report.queued_prefill.saturating_sub(server.own.prefill()),
            requests: report.requests.saturating_sub(server.own.requests),
            memory_used: report.memory_used.saturating_sub(server.own.memory),
        };
        let seen = ReceivedReport {
            taken,
            report,
            others,
        };
        let previous = server.report.replace(seen);
        self.count_report(previous, Some(seen));
    }

    /// Count a dispatch as own work of its engines at once.
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

    /// Note that the first token of a dispatch has arrived.
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

    /// Take a dispatch off its engines at its end.
    pub fn record_end(&mut self, mut dispatch: Dispatch) {
        self.record_first_token(&mut dispatch);
        for id in &dispatch.servers {
            if let Some(server) = self.servers.get_mut(id) {
                server.own.requests = server.own.requests.saturating_sub(1);
                server.own.memory = server.own.memory.saturating_sub(dispatch.memory);
            }
        }
    }

    /// Take a cache event: an engine stored or evicted a prefix.
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

    /// Forget the expected cache of an engine whose events were lost: evictions may be among them.
    pub fn record_lost_cache_events(&mut self, id: &BackendServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.cache_epoch += 1;
        }
    }

    fn forget_report(&mut self, id: &BackendServerId) {
        let previous = self
            .servers
            .get_mut(id)
            .and_then(|server| server.report.take());
        self.count_report(previous, None);
    }

    fn count_report(&mut self, old: Option<ReceivedReport>, new: Option<ReceivedReport>) {
        if let Some(seen) = old {
            self.reported.subtract(&seen);
            if !self.shows_long_work(&seen) {
                self.reported_short.subtract(&seen);
            }
        }
        if let Some(seen) = new {
            self.reported.add(&seen);
            if !self.shows_long_work(&seen) {
                self.reported_short.add(&seen);
            }
        }
    }
}
