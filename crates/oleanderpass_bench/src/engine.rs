//! Play a model engine in virtual time: continuous batching, chunked prefill, priorities, memory
//! and a prefix cache.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use oleanderpass_routing::request::Prefix;
use oleanderpass_routing::view::EngineSpec;
use oleanderpass_routing::view::LoadReport;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::size::Tokens;

use crate::trace::Micros;

/// The figures of an engine. All are assumed, in the range of one current accelerator node.
#[derive(Clone, Copy, Debug)]
pub struct EngineFigures {
    /// KV memory, in tokens.
    pub memory: u64,
    /// Prompt tokens in one batch step.
    pub chunk: u64,
    /// Time for one prompt token, in nanoseconds: 30,000 tokens/s.
    pub prefill_token_ns: u64,
    /// Fixed time of a batch step.
    pub step_base: Micros,
    /// Time of one sequence in a batch step.
    pub sequence: Micros,
    /// Requests that run at the same time.
    pub concurrent: usize,
}

impl Default for EngineFigures {
    fn default() -> Self {
        Self {
            memory: 450_000,
            chunk: 1_024,
            prefill_token_ns: 33_333,
            step_base: 10_000,
            sequence: 200,
            concurrent: 64,
        }
    }
}

impl EngineFigures {
    /// Return what the environment document states of such an engine.
    pub fn spec(&self) -> EngineSpec {
        let chunk = self.chunk * self.prefill_token_ns / 1_000 + self.step_base;
        EngineSpec {
            memory: Tokens::new(self.memory),
            prefill_per_s: Tokens::new(self.chunk * 1_000_000 / chunk),
            token_time: Millis::new(30),
            concurrent_requests: 64,
        }
    }
}

/// A part of a request on one engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// The number of the request in the trace.
    pub req: usize,
    /// The number of the attempt; an older one is stale.
    pub attempt: u32,
    /// The batch priority: 0 goes first.
    pub priority: usize,
    /// Prompt tokens to prefill.
    pub prefill: u64,
    /// Tokens to generate after the prefill; `None` for a part that only holds KV memory.
    pub output: Option<u64>,
    /// KV memory to hold.
    pub memory: u64,
    /// Prefixes of the prompt.
    pub prefixes: Vec<Prefix>,
    /// The time after which the engine drops the request.
    pub deadline: Micros,
}

/// What happened to a request in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The prefill of this part is over.
    Prefilled {
        /// The request.
        req: usize,
        /// Its attempt.
        attempt: u32,
        /// Prompt tokens that the cache held.
        hit: u64,
    },
    /// All tokens are generated.
    Done {
        /// The request.
        req: usize,
        /// Its attempt.
        attempt: u32,
    },
    /// The deadline passed.
    Late {
        /// The request.
        req: usize,
        /// Its attempt.
        attempt: u32,
    },
}

#[derive(Clone, Debug)]
struct Running {
    job: Job,
    left: u64,
    hit: u64,
    /// Prompt tokens that the current step prefills.
    planned: u64,
    generating: bool,
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    figures: EngineFigures,
    /// The engine runs.
    pub alive: bool,
    /// A step is in progress.
    pub busy: bool,
    waiting: [VecDeque<Job>; 2],
    running: Vec<Running>,
    memory_used: u64,
    cache: Cache,
}

impl Engine {
    /// Create an idle engine.
    pub fn new(figures: EngineFigures) -> Self {
        Self {
            figures,
            alive: true,
            busy: false,
            waiting: Default::default(),
            running: Vec::new(),
            memory_used: 0,
            cache: Cache::default(),
        }
    }

    /// Return the load.
    pub fn report(&self) -> LoadReport {
        let waiting = self.waiting.iter().flatten();
        let queued: u64 = waiting.clone().map(|job| job.prefill).sum();
        let prefilling = self.running.iter().filter(|running| !running.generating);
        let left: u64 = prefilling.map(|running| running.left).sum();
        LoadReport {
            queued_prefill: Tokens::new(queued + left),
            requests: (waiting.count() + self.running.len()) as u32,
            memory_used: Tokens::new(self.memory_used),
        }
    }

    /// Return the cache events from number `from` on.
    pub fn cache_events(&self, from: usize) -> &[(u64, bool)] {
        self.cache.log.get(from..).unwrap_or_default()
    }

    /// Add a job to the queue.
    pub fn push(&mut self, job: Job) {
        self.waiting[job.priority].push_back(job);
    }

    /// Return whether a hold of `tokens` is granted now.
    pub fn can_hold(&self, tokens: u64) -> bool {
        self.alive && self.memory_used + tokens <= self.figures.memory
    }

    /// Start a job whose memory was granted as a hold.
    pub fn start_held(&mut self, job: Job) {
        self.admit(job);
    }

    /// Stop and return the requests in flight.
    pub fn crash(&mut self) -> Vec<(usize, u32)> {
        self.alive = false;
        self.memory_used = 0;
        let waiting = self.waiting.iter_mut().flat_map(std::mem::take);
        let running = self.running.drain(..).map(|running| running.job);
        waiting
            .chain(running)
            .map(|job| (job.req, job.attempt))
            .collect()
    }

    /// End all parts of a request.
    pub fn release(&mut self, req: usize) {
        for queue in &mut self.waiting {
            queue.retain(|job| job.req != req);
        }
        let used = &mut self.memory_used;
        self.running.retain(|running| {
            if running.job.req == req {
                *used -= running.job.memory;
            }
            running.job.req != req
        });
    }

    /// Turn a held part into the part that generates.
    pub fn generate(&mut self, req: usize, output: u64) {
        for running in self
            .running
            .iter_mut()
            .filter(|running| running.job.req == req)
        {
            running.job.output = Some(output);
            running.left = output;
        }
    }

    /// Start a step and return its length, or `None` when there is nothing to do.
    pub fn start_step(&mut self, now: Micros, notices: &mut Vec<Notice>) -> Option<Micros> {
        self.drop_late(now, notices);
        self.admit_waiting();
        let mut budget = self.figures.chunk;
        for priority in 0..2 {
            let queued =
                |running: &&mut Running| !running.generating && running.job.priority == priority;
            for running in self.running.iter_mut().filter(queued) {
                running.planned = running.left.min(budget);
                budget -= running.planned;
            }
        }
        let generates = |running: &&Running| running.generating && running.job.output.is_some();
        let sequences = self.running.iter().filter(generates).count() as u64;
        let prefill = self.figures.chunk - budget;
        self.busy = prefill > 0 || sequences > 0;
        self.busy.then(|| {
            self.figures.step_base
                + self.figures.sequence * sequences
                + prefill * self.figures.prefill_token_ns / 1_000
        })
    }

    /// Apply the step that ends now.
    pub fn end_step(&mut self, notices: &mut Vec<Notice>) {
        let mut done = Vec::new();
        for running in &mut self.running {
            let (req, attempt) = (running.job.req, running.job.attempt);
            if running.generating {
                if running.job.output.is_some() {
                    running.left = running.left.saturating_sub(1);
                    if running.left == 0 {
                        done.push(req);
                        notices.push(Notice::Done { req, attempt });
                    }
                }
                continue;
            }
            running.left -= running.planned;
            running.planned = 0;
            if running.left == 0 {
                running.generating = true;
                running.left = running.job.output.unwrap_or(0);
                let hit = running.hit;
                notices.push(Notice::Prefilled { req, attempt, hit });
                self.cache.store(&running.job.prefixes);
            }
        }
        for req in done {
            self.release(req);
        }
        self.trim_cache();
    }

    fn drop_late(&mut self, now: Micros, notices: &mut Vec<Notice>) {
        let waiting = self.waiting.iter().flatten();
        let running = self.running.iter().map(|running| &running.job);
        let late: Vec<(usize, u32)> = waiting
            .chain(running)
            .filter(|job| job.deadline <= now)
            .map(|job| (job.req, job.attempt))
            .collect();
        for (req, attempt) in late {
            self.release(req);
            notices.push(Notice::Late { req, attempt });
        }
    }

    fn admit_waiting(&mut self) {
        for priority in 0..2 {
            while let Some(job) = self.waiting[priority].front() {
                let fits = self.memory_used + job.memory <= self.figures.memory;
                if !fits || self.running.len() >= self.figures.concurrent {
                    return;
                }
                if let Some(job) = self.waiting[priority].pop_front() {
                    self.admit(job);
                }
            }
        }
    }

    fn admit(&mut self, job: Job) {
        self.memory_used += job.memory;
        let hit = self
            .cache
            .hit(&job.prefixes)
            .min(job.prefill.saturating_sub(1));
        self.running.push(Running {
            left: job.prefill - hit,
            hit,
            planned: 0,
            generating: false,
            job,
        });
        self.trim_cache();
    }

    fn trim_cache(&mut self) {
        self.cache
            .trim(self.figures.memory.saturating_sub(self.memory_used));
    }
}

/// A prefix cache that evicts the least recently used prefix.
#[derive(Debug, Default)]
struct Cache {
    /// Tokens beyond the next shorter prefix, and the last use.
    entries: HashMap<u64, (u64, u64)>,
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
    uses: u64,
    /// Prefixes stored (`false`) and evicted (`true`).
    log: Vec<(u64, bool)>,
}

impl Cache {
    /// Return the length of the longest cached prefix and mark it as used.
    fn hit(&mut self, prefixes: &[Prefix]) -> u64 {
        let count = prefixes
            .iter()
            .take_while(|prefix| self.entries.contains_key(&prefix.hash));
        let held = &prefixes[..count.count()];
        self.touch(held);
        held.last().map_or(0, |prefix| prefix.tokens.get())
    }

    fn store(&mut self, prefixes: &[Prefix]) {
        let mut shorter = 0;
        for prefix in prefixes {
            let tokens = prefix.tokens.get() - shorter;
            shorter = prefix.tokens.get();
            if !self.entries.contains_key(&prefix.hash) {
                self.uses += 1;
                self.entries.insert(prefix.hash, (tokens, self.uses));
                self.by_use.insert(self.uses, prefix.hash);
                self.tokens += tokens;
                self.log.push((prefix.hash, false));
            }
        }
        self.touch(prefixes);
    }

    /// Mark prefixes as used, the longest first, so that it is evicted before shorter ones.
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

    fn trim(&mut self, limit: u64) {
        while self.tokens > limit {
            let Some((_, hash)) = self.by_use.pop_first() else {
                return;
            };
            if let Some((tokens, _)) = self.entries.remove(&hash) {
                self.tokens -= tokens;
            }
            self.log.push((hash, true));
        }
    }
}
