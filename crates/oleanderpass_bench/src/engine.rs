//! Simulate a model engine in virtual time, with continuous batching, chunked prefill, priorities,
//! limited KV cache memory and a prefix cache.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use oleanderpass_routing::request::Prefix;
use oleanderpass_routing::view::EngineSpec;
use oleanderpass_routing::view::LoadReport;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::size::Tokens;

use crate::trace::Micros;

/// The parameters of an engine. The defaults are in the range of one current accelerator node.
#[derive(Clone, Copy, Debug)]
pub struct EngineParameters {
    /// The KV cache memory.
    pub memory_tokens: u64,
    /// The most prompt tokens that one batch step prefills.
    pub chunk_tokens: u64,
    /// The prefill time of one prompt token, in nanoseconds. The default is 30,000 tokens/s.
    pub prefill_token_ns: u64,
    /// The fixed time of a batch step.
    pub step_base: Micros,
    /// The time that each sequence in decode adds to a batch step.
    pub sequence_time: Micros,
    /// The most requests that run at the same time.
    pub max_running: usize,
}

impl Default for EngineParameters {
    fn default() -> Self {
        Self {
            memory_tokens: 450_000,
            chunk_tokens: 1_024,
            prefill_token_ns: 33_333,
            step_base: 10_000,
            sequence_time: 200,
            max_running: 64,
        }
    }
}

impl EngineParameters {
    /// Return the specification that the environment document would give for such an engine.
    pub fn spec(&self) -> EngineSpec {
        let chunk_time = self.chunk_tokens * self.prefill_token_ns / 1_000 + self.step_base;
        EngineSpec {
            memory: Tokens::new(self.memory_tokens),
            prefill_per_s: Tokens::new(self.chunk_tokens * 1_000_000 / chunk_time),
            token_time: Millis::new(30),
            concurrent_requests: 64,
        }
    }
}

/// The whole or a part of a request, as sent to one engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// The index of the request in the trace.
    pub req: usize,
    /// The number of the attempt. Notices of older attempts are ignored.
    pub attempt: u32,
    /// The priority in a batch step: 0 for high, 1 for low.
    pub priority: usize,
    /// The number of prompt tokens to prefill.
    pub prefill_tokens: u64,
    /// The number of tokens to generate after the prefill; `None` for a part that only holds KV
    /// cache memory.
    pub output_tokens: Option<u64>,
    /// The KV cache memory that the job takes while it runs.
    pub memory_tokens: u64,
    /// The hashed prefixes of the prompt, the shortest first.
    pub prefixes: Vec<Prefix>,
    /// The time at which the engine drops the request.
    pub deadline: Micros,
}

/// An outcome of a batch step for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The engine has finished the prefill of its part.
    Prefilled {
        /// The request.
        req: usize,
        /// Its attempt.
        attempt: u32,
        /// The number of prompt tokens that were in the prefix cache.
        cached_tokens: u64,
    },
    /// All output tokens are generated.
    Done {
        /// The request.
        req: usize,
        /// Its attempt.
        attempt: u32,
    },
    /// The deadline has passed and the engine has dropped the request.
    Late {
        /// The request.
        req: usize,
        /// Its attempt.
        attempt: u32,
    },
}

/// A job in the batch.
#[derive(Clone, Debug)]
struct Running {
    job: Job,
    /// The prompt tokens still to prefill, then the output tokens still to generate.
    remaining: u64,
    cached_tokens: u64,
    /// The number of prompt tokens that the current step prefills.
    planned_tokens: u64,
    decoding: bool,
}

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    parameters: EngineParameters,
    /// Whether the engine runs; false after a crash.
    pub alive: bool,
    /// Whether a batch step is in progress.
    pub busy: bool,
    /// The queue of each priority.
    waiting: [VecDeque<Job>; 2],
    running: Vec<Running>,
    memory_used_tokens: u64,
    cache: Cache,
}

impl Engine {
    /// Create an idle engine.
    pub fn new(parameters: EngineParameters) -> Self {
        Self {
            parameters,
            alive: true,
            busy: false,
            waiting: Default::default(),
            running: Vec::new(),
            memory_used_tokens: 0,
            cache: Cache::default(),
        }
    }

    /// Return the current load.
    pub fn load_report(&self) -> LoadReport {
        let waiting = self.waiting.iter().flatten();
        let queued_tokens: u64 = waiting.clone().map(|job| job.prefill_tokens).sum();
        let prefills = self.running.iter().filter(|running| !running.decoding);
        let remaining_tokens: u64 = prefills.map(|running| running.remaining).sum();
        LoadReport {
            queued_prefill: Tokens::new(queued_tokens + remaining_tokens),
            requests: (waiting.count() + self.running.len()) as u32,
            memory_used: Tokens::new(self.memory_used_tokens),
        }
    }

    /// Return the cache events from index `from` on: the hash of a prefix and whether it was
    /// evicted (`true`) or stored (`false`).
    pub fn cache_events(&self, from: usize) -> &[(u64, bool)] {
        self.cache.events.get(from..).unwrap_or_default()
    }

    /// Add a job to the queue of its priority.
    pub fn push(&mut self, job: Job) {
        self.waiting[job.priority].push_back(job);
    }

    /// Return whether the engine would grant a hold of `tokens` now.
    pub fn can_hold(&self, tokens: u64) -> bool {
        self.alive && self.memory_used_tokens + tokens <= self.parameters.memory_tokens
    }

    /// Add a job whose memory was granted as a hold to the batch, without queueing.
    pub fn start_with_hold(&mut self, job: Job) {
        self.admit(job);
    }

    /// Stop the engine and return the indices and attempts of the requests in flight.
    pub fn crash(&mut self) -> Vec<(usize, u32)> {
        self.alive = false;
        self.memory_used_tokens = 0;
        let waiting = self.waiting.iter_mut().flat_map(std::mem::take);
        let running = self.running.drain(..).map(|running| running.job);
        waiting
            .chain(running)
            .map(|job| (job.req, job.attempt))
            .collect()
    }

    /// End all jobs of a request and free their memory.
    pub fn release(&mut self, req: usize) {
        for queue in &mut self.waiting {
            queue.retain(|job| job.req != req);
        }
        let memory_used_tokens = &mut self.memory_used_tokens;
        self.running.retain(|running| {
            if running.job.req == req {
                *memory_used_tokens -= running.job.memory_tokens;
            }
            running.job.req != req
        });
    }

    /// Start the decode of a request whose part on this engine only held KV cache memory.
    pub fn start_decode(&mut self, req: usize, output_tokens: u64) {
        for running in self
            .running
            .iter_mut()
            .filter(|running| running.job.req == req)
        {
            running.job.output_tokens = Some(output_tokens);
            running.remaining = output_tokens;
        }
    }

    /// Start a batch step and return its length, or `None` when there is nothing to do.
    pub fn start_step(&mut self, now: Micros, notices: &mut Vec<Notice>) -> Option<Micros> {
        self.drop_expired(now, notices);
        self.admit_waiting();
        let mut token_budget = self.parameters.chunk_tokens;
        for priority in 0..2 {
            let prefills =
                |running: &&mut Running| !running.decoding && running.job.priority == priority;
            for running in self.running.iter_mut().filter(prefills) {
                running.planned_tokens = running.remaining.min(token_budget);
                token_budget -= running.planned_tokens;
            }
        }
        let decodes = |running: &&Running| running.decoding && running.job.output_tokens.is_some();
        let sequences = self.running.iter().filter(decodes).count() as u64;
        let prefill_tokens = self.parameters.chunk_tokens - token_budget;
        self.busy = prefill_tokens > 0 || sequences > 0;
        self.busy.then(|| {
            self.parameters.step_base
                + self.parameters.sequence_time * sequences
                + prefill_tokens * self.parameters.prefill_token_ns / 1_000
        })
    }

    /// Apply the results of the batch step that ends now.
    pub fn end_step(&mut self, notices: &mut Vec<Notice>) {
        let mut done = Vec::new();
        for running in &mut self.running {
            let (req, attempt) = (running.job.req, running.job.attempt);
            if running.decoding {
                if running.job.output_tokens.is_some() {
                    running.remaining = running.remaining.saturating_sub(1);
                    if running.remaining == 0 {
                        done.push(req);
                        notices.push(Notice::Done { req, attempt });
                    }
                }
                continue;
            }
            running.remaining -= running.planned_tokens;
            running.planned_tokens = 0;
            if running.remaining == 0 {
                running.decoding = true;
                running.remaining = running.job.output_tokens.unwrap_or(0);
                let cached_tokens = running.cached_tokens;
                notices.push(Notice::Prefilled {
                    req,
                    attempt,
                    cached_tokens,
                });
                self.cache.store(&running.job.prefixes);
            }
        }
        for req in done {
            self.release(req);
        }
        self.evict_cache();
    }

    fn drop_expired(&mut self, now: Micros, notices: &mut Vec<Notice>) {
        let waiting = self.waiting.iter().flatten();
        let running = self.running.iter().map(|running| &running.job);
        let expired: Vec<(usize, u32)> = waiting
            .chain(running)
            .filter(|job| job.deadline <= now)
            .map(|job| (job.req, job.attempt))
            .collect();
        for (req, attempt) in expired {
            self.release(req);
            notices.push(Notice::Late { req, attempt });
        }
    }

    fn admit_waiting(&mut self) {
        for priority in 0..2 {
            while let Some(job) = self.waiting[priority].front() {
                let fits =
                    self.memory_used_tokens + job.memory_tokens <= self.parameters.memory_tokens;
                if !fits || self.running.len() >= self.parameters.max_running {
                    return;
                }
                if let Some(job) = self.waiting[priority].pop_front() {
                    self.admit(job);
                }
            }
        }
    }

    fn admit(&mut self, job: Job) {
        self.memory_used_tokens += job.memory_tokens;
        let cached_tokens = self
            .cache
            .use_longest(&job.prefixes)
            .min(job.prefill_tokens.saturating_sub(1));
        self.running.push(Running {
            remaining: job.prefill_tokens - cached_tokens,
            cached_tokens,
            planned_tokens: 0,
            decoding: false,
            job,
        });
        self.evict_cache();
    }

    fn evict_cache(&mut self) {
        self.cache.evict_to(
            self.parameters
                .memory_tokens
                .saturating_sub(self.memory_used_tokens),
        );
    }
}

/// A prefix cache that evicts the least recently used prefix.
#[derive(Debug, Default)]
struct Cache {
    /// For each prefix hash, the tokens beyond the next shorter prefix and the number of the last
    /// use.
    entries: HashMap<u64, (u64, u64)>,
    /// The prefix hashes by the number of their last use.
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
    /// The number of uses so far, which orders them.
    uses: u64,
    /// The hash of each prefix that was stored (`false`) or evicted (`true`).
    events: Vec<(u64, bool)>,
}

impl Cache {
    /// Mark the cached prefixes as used and return the length of the longest one.
    fn use_longest(&mut self, prefixes: &[Prefix]) -> u64 {
        let cached_prefixes = prefixes
            .iter()
            .take_while(|prefix| self.entries.contains_key(&prefix.hash));
        let cached = &prefixes[..cached_prefixes.count()];
        self.touch(cached);
        cached.last().map_or(0, |prefix| prefix.tokens.get())
    }

    /// Add the prefixes that are not cached yet and mark all as used.
    fn store(&mut self, prefixes: &[Prefix]) {
        let mut shorter_tokens = 0;
        for prefix in prefixes {
            let tokens = prefix.tokens.get() - shorter_tokens;
            shorter_tokens = prefix.tokens.get();
            if !self.entries.contains_key(&prefix.hash) {
                self.uses += 1;
                self.entries.insert(prefix.hash, (tokens, self.uses));
                self.by_use.insert(self.uses, prefix.hash);
                self.tokens += tokens;
                self.events.push((prefix.hash, false));
            }
        }
        self.touch(prefixes);
    }

    /// Mark prefixes as used, the longest first, so that longer ones are evicted before shorter
    /// ones.
    fn touch(&mut self, prefixes: &[Prefix]) {
        for prefix in prefixes.iter().rev() {
            if let Some((_, used)) = self.entries.get_mut(&prefix.hash) {
                self.by_use.remove(used);
                self.uses += 1;
                *used = self.uses;
                self.by_use.insert(self.uses, prefix.hash);
            }
        }
    }

    fn evict_to(&mut self, limit_tokens: u64) {
        while self.tokens > limit_tokens {
            let Some((_, hash)) = self.by_use.pop_first() else {
                return;
            };
            if let Some((tokens, _)) = self.entries.remove(&hash) {
                self.tokens -= tokens;
            }
            self.events.push((hash, true));
        }
    }
}
