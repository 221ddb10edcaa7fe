//! Simulate entry instances and engines that process a trace in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use oleanderpass_routing::fair::FairQueue;
use oleanderpass_routing::fair::LONG_QUEUE_SCAN_LIMIT;
use oleanderpass_routing::fair::QueueKey;
use oleanderpass_routing::fair::URGENT_WAIT_DIVISOR;
use oleanderpass_routing::overload::Overload;
use oleanderpass_routing::policy::Choice;
use oleanderpass_routing::policy::Policy;
use oleanderpass_routing::policy::Refusal;
use oleanderpass_routing::policy::choose;
use oleanderpass_routing::request::LengthClass;
use oleanderpass_routing::request::Request;
use oleanderpass_routing::view::Dispatch;
use oleanderpass_routing::view::LoadReport;
use oleanderpass_routing::view::Server;
use oleanderpass_routing::view::View;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::size::Tokens;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::engine::Engine;
use crate::engine::EngineParameters;
use crate::engine::Job;
use crate::engine::Notice;
use crate::scenario::Condition;
use crate::scenario::DURATION;
use crate::scenario::FAULT_AT;
use crate::scenario::INSTANCE_SHARES;
use crate::scenario::INSTANCE_ZONES;
use crate::scenario::Scenario;
use crate::scenario::ZONE_COUNT;
use crate::scenario::ZONE_CUT_END;
use crate::trace::LARGE_ORGANISATIONS;
use crate::trace::MEAN_OUTPUT_TOKENS;
use crate::trace::Micros;
use crate::trace::ORGANISATION_SHARES;
use crate::trace::SECOND;
use crate::trace::TraceRequest;
use crate::trace::TraceShape;
use crate::trace::generate_trace;
use crate::trace::select_index;

/// The one-way network delay between two processes. Source: section 1.3 of the design.
const ONE_WAY_DELAY: Micros = 1_000;

/// The interval between two ticks of an instance. Source: section 2.1 of the design.
const TICK_INTERVAL: Micros = SECOND / 10;

/// The interval at which an instance polls the load and the cache events of an engine. Source:
/// section 4.6 of the design.
const POLL_INTERVAL: Micros = 2 * SECOND;

/// The share of polled batches of cache events that are lost.
const LOST_EVENTS_SHARE: f64 = 0.02;

/// The range of the random delay after which an instance retries a prompt for several engines that
/// did not all grant their holds.
const JOIN_RETRY_DELAY: std::ops::Range<Micros> = SECOND / 2..3 * SECOND / 2;

/// How a request ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestEnd {
    /// The simulation ended before the request.
    #[default]
    Open,
    /// The whole answer was delivered in time.
    Completed,
    /// The deadline passed before the answer was complete.
    Late,
    /// An instance refused the request, because it could not finish in time or no engine could run
    /// it.
    Refused,
    /// An instance shed the request.
    Shed,
}

/// The result of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestRecord {
    /// The time to first token, measured at the caller; `None` without a first token.
    pub ttft: Option<Micros>,
    /// How the request ended.
    pub end: RequestEnd,
    /// The number of prompt tokens that were in prefix caches, over all attempts.
    pub cached_tokens: u64,
}

/// The results of a simulated run.
#[derive(Debug)]
pub struct SimulatedRun {
    /// The requests, in the order of arrival.
    pub trace: Vec<TraceRequest>,
    /// The result of each request, in the order of the trace.
    pub records: Vec<RequestRecord>,
}

/// An event of the simulation. Plain numbers are indices of requests, messages, engines or
/// instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives at an instance.
    Arrival(usize),
    /// A message with a job arrives at an engine.
    JobArrival(usize),
    /// An engine ends a batch step.
    StepEnd(usize),
    /// An instance polls an engine.
    Poll { instance: usize, engine: usize },
    /// A message with a load report arrives at an instance.
    ReportArrival(usize),
    /// An instance ticks.
    Tick(usize),
    /// An instance queues a request again whose holds were refused.
    Requeue { instance: usize, req: usize },
    /// An engine crashes and doesn't restart.
    EngineCrash(usize),
}

/// A message that is in flight between two processes.
#[derive(Debug)]
enum Message {
    Job {
        engine: usize,
        job: Job,
    },
    Report {
        instance: usize,
        engine: usize,
        report: LoadReport,
        /// The cache events since the previous poll; `None` if they were lost.
        events: Option<Vec<(u64, bool)>>,
    },
}

/// A simulated entry instance.
#[derive(Debug)]
struct EntryInstance {
    view: View,
    short_queue: FairQueue<usize>,
    long_queue: FairQueue<usize>,
    overload: Overload,
    rng: Pcg64Mcg,
    /// The estimated wait of the last short prompt that was dispatched since the last tick.
    last_wait: Millis,
}

impl EntryInstance {
    fn queue(&mut self, class: LengthClass) -> &mut FairQueue<usize> {
        match class {
            LengthClass::Short => &mut self.short_queue,
            LengthClass::Long => &mut self.long_queue,
        }
    }
}

/// The state of a request after its arrival.
#[derive(Debug, Default)]
struct RequestState {
    instance: usize,
    /// The number of the last attempt; 0 before the first one.
    attempt: u32,
    /// The current dispatch; `None` while the request is queued and after its end.
    dispatch: Option<Dispatch>,
    /// The number of engines that have not yet finished the prefill of their part.
    parts_left: usize,
    /// The engines that crashed while they ran the request.
    excluded: Vec<BackendServerId>,
}

/// The state of a simulated run.
struct Simulation {
    scenario: Scenario,
    now: Micros,
    /// The future events by time, then by the order in which they were scheduled.
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    last_event_number: u64,
    /// All messages sent so far; `None` after delivery.
    messages: Vec<Option<Message>>,
    engines: Vec<Engine>,
    /// The id of each engine, by its index.
    engine_ids: Vec<BackendServerId>,
    organisations: Vec<OrganisationId>,
    instances: Vec<EntryInstance>,
    /// The number of cache events that each instance has polled from each engine, by their indices.
    polled_events: Vec<Vec<usize>>,
    trace: Vec<TraceRequest>,
    records: Vec<RequestRecord>,
    request_states: Vec<RequestState>,
    rng: Pcg64Mcg,
}

/// Simulate one scenario.
///
/// # Errors
///
/// Return an error when an id of the fleet is malformed.
pub fn simulate(scenario: Scenario, parameters: &EngineParameters) -> eyre::Result<SimulatedRun> {
    let mut simulation = Simulation::new(scenario, parameters)?;
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        // No request has a longer timeout than 300 s.
        if at > DURATION + 300 * SECOND {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    Ok(SimulatedRun {
        trace: simulation.trace,
        records: simulation.records,
    })
}

impl Simulation {
    fn new(scenario: Scenario, parameters: &EngineParameters) -> eyre::Result<Self> {
        let engine_count = scenario.deployment.engines();
        let shape = TraceShape {
            seed: scenario.seed,
            engines: engine_count,
            load: scenario.load,
            duration: DURATION,
            burst: scenario.burst.then_some((FAULT_AT, FAULT_AT + 30 * SECOND)),
        };
        let mut trace = generate_trace(shape, parameters);
        if scenario.without_long_prompts {
            trace.retain(|req| !req.is_long());
        }
        let mut engine_ids = Vec::new();
        for number in 0..engine_count {
            engine_ids.push(format!("engine-{number:02}").parse()?);
        }
        let mut organisations = Vec::new();
        for number in 0..ORGANISATION_SHARES.len() {
            organisations.push(format!("organisation-{number}").parse()?);
        }
        let mut instances = Vec::new();
        for (number, zone) in INSTANCE_ZONES.iter().enumerate() {
            instances.push(new_entry_instance(
                *zone,
                &engine_ids,
                parameters,
                scenario.seed,
                number,
            )?);
        }
        let mut simulation = Self {
            scenario,
            now: 0,
            events: BinaryHeap::new(),
            last_event_number: 0,
            messages: Vec::new(),
            engines: (0..engine_count)
                .map(|_| Engine::new(*parameters))
                .collect(),
            polled_events: vec![vec![0; engine_count]; instances.len()],
            engine_ids,
            organisations,
            instances,
            records: vec![RequestRecord::default(); trace.len()],
            request_states: trace.iter().map(|_| RequestState::default()).collect(),
            trace,
            rng: Pcg64Mcg::new(u128::from(scenario.seed) << 8 | 5),
        };
        simulation.schedule_start();
        Ok(simulation)
    }

    /// Schedule all arrivals and faults and the first ticks and polls.
    fn schedule_start(&mut self) {
        for req in 0..self.trace.len() {
            self.schedule(self.trace[req].arrival, Event::Arrival(req));
        }
        for (instance, zone) in INSTANCE_ZONES.into_iter().enumerate() {
            self.schedule(TICK_INTERVAL * instance as u64 / 7, Event::Tick(instance));
            for engine in 0..self.engines.len() {
                if engine % ZONE_COUNT == zone {
                    let at = self.rng.random_range(0..POLL_INTERVAL);
                    self.schedule(at, Event::Poll { instance, engine });
                }
            }
        }
        if self.scenario.condition == Condition::EngineLost {
            self.schedule(FAULT_AT, Event::EngineCrash(1));
        }
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.last_event_number += 1;
        self.events
            .push(Reverse((at, self.last_event_number, event)));
    }

    /// Send a message that arrives at `at` with the event that `event` makes of its index.
    fn send(&mut self, at: Micros, message: Message, event: fn(usize) -> Event) {
        self.messages.push(Some(message));
        self.schedule(at, event(self.messages.len() - 1));
    }

    fn timestamp(&self) -> Timestamp {
        Timestamp::from_millis(self.now / 1_000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(req) => self.handle_arrival(req),
            Event::JobArrival(index) | Event::ReportArrival(index) => {
                match self.messages[index].take() {
                    Some(Message::Job { engine, job }) => self.deliver_job(engine, job),
                    Some(Message::Report {
                        instance,
                        engine,
                        report,
                        events,
                    }) => self.apply_report(instance, engine, report, events),
                    None => {}
                }
            }
            Event::StepEnd(engine) => self.end_step(engine),
            Event::Poll { instance, engine } => self.poll_engine(instance, engine),
            Event::Tick(instance) => self.tick(instance),
            Event::Requeue { instance, req } => {
                self.enqueue(instance, req);
                self.dispatch_queued(instance);
            }
            Event::EngineCrash(engine) => self.crash_engine(engine),
        }
    }

    /// Return the instance to which the external load balancer sends a request that arrives now.
    fn balanced_instance(&self, req: usize) -> usize {
        let is_cut = self.scenario.condition == Condition::ZoneCut
            && (FAULT_AT..ZONE_CUT_END).contains(&self.now);
        let mut shares = INSTANCE_SHARES;
        for (share, zone) in shares.iter_mut().zip(INSTANCE_ZONES) {
            if is_cut && zone == 0 {
                *share = 0.0;
            }
        }
        select_index(&shares, self.trace[req].balancer_draw)
    }

    fn handle_arrival(&mut self, req: usize) {
        let instance = self.balanced_instance(req);
        self.request_states[req].instance = instance;
        let now = self.timestamp();
        let trace_req = &self.trace[req];
        let class = length_class(trace_req);
        let organisation = &self.organisations[trace_req.organisation];
        let entry = &mut self.instances[instance];
        let work = Tokens::new(trace_req.prompt_tokens);
        entry.overload.record_work(
            now,
            organisation,
            organisation_weight(trace_req.organisation),
            work,
        );
        let is_shed = entry.overload.sheds(organisation, class, trace_req.batch);
        if is_shed && matches!(self.scenario.policy, Policy::Split(_)) {
            self.records[req].end = RequestEnd::Shed;
            return;
        }
        self.enqueue(instance, req);
        self.dispatch_queued(instance);
    }

    /// Add a request to the local queue of an instance.
    fn enqueue(&mut self, instance: usize, req: usize) {
        let trace_req = &self.trace[req];
        let entry = &mut self.instances[instance];
        let queue = entry.queue(length_class(trace_req));
        let organisation = self.organisations[trace_req.organisation].clone();
        queue.push(
            organisation,
            organisation_weight(trace_req.organisation),
            Tokens::new(trace_req.prompt_tokens),
            req,
        );
    }

    /// Dispatch queued requests, and update the overload state with the wait of short prompts.
    fn tick(&mut self, instance: usize) {
        if self.now < DURATION + 300 * SECOND {
            self.schedule(self.now + TICK_INTERVAL, Event::Tick(instance));
        }
        self.dispatch_queued(instance);
        let now = self.now;
        let entry = &mut self.instances[instance];
        let wait = match entry.short_queue.peek() {
            Some((_, req)) => Millis::new((now - self.trace[*req].arrival) / 1_000),
            None => Millis::ZERO,
        };
        let wait = wait + std::mem::take(&mut entry.last_wait);
        entry
            .overload
            .observe(Timestamp::from_millis(now / 1_000), wait);
    }

    /// Dispatch requests from the local queues until the remaining ones have to wait.
    fn dispatch_queued(&mut self, instance: usize) {
        self.instances[instance].view.refresh();
        for class in [LengthClass::Short, LengthClass::Long] {
            while self.dispatch_next(instance, class) {}
        }
    }

    /// Dispatch or refuse one queued request of a class and return whether there was one.
    ///
    /// An urgent request that has to wait keeps those behind it waiting.
    fn dispatch_next(&mut self, instance: usize, class: LengthClass) -> bool {
        let limit = match (class, self.scenario.policy) {
            (LengthClass::Long, Policy::Split(_)) => LONG_QUEUE_SCAN_LIMIT,
            _ => 1,
        };
        let is_urgent = |req: &usize| {
            let trace_req = &self.trace[*req];
            self.now - trace_req.arrival > trace_req.timeout / URGENT_WAIT_DIVISOR
        };
        for (key, urgent) in self.instances[instance]
            .queue(class)
            .candidates(limit, is_urgent)
        {
            if self.try_dispatch(instance, class, key, urgent) {
                return true;
            }
            if urgent {
                return false;
            }
        }
        false
    }

    /// Dispatch or refuse a queued request, and return false if it has to wait.
    fn try_dispatch(
        &mut self,
        instance: usize,
        class: LengthClass,
        key: QueueKey,
        urgent: bool,
    ) -> bool {
        let now = self.timestamp();
        let entry = &mut self.instances[instance];
        let Some(req) = entry.queue(class).get(key).copied() else {
            return false;
        };
        let trace_req = &self.trace[req];
        let deadline = trace_req.arrival + trace_req.timeout;
        let request = Request {
            prompt: Tokens::new(trace_req.prompt_tokens),
            expected_output: Tokens::new(MEAN_OUTPUT_TOKENS as u64),
            prefixes: &trace_req.prefixes,
            deadline: Timestamp::from_millis(deadline / 1_000),
            urgent,
            excluded: &self.request_states[req].excluded,
        };
        let choice = if deadline <= self.now {
            Choice::Refuse(Refusal::Deadline)
        } else {
            choose(
                self.scenario.policy,
                &entry.view,
                now,
                &request,
                &mut entry.rng,
            )
        };
        if choice == Choice::Wait {
            return false;
        }
        entry.queue(class).remove(key);
        match choice {
            Choice::Run {
                dispatch,
                estimate,
                low_priority,
            } => {
                if class == LengthClass::Short {
                    entry.last_wait = estimate.wait;
                }
                self.dispatch(instance, req, dispatch, low_priority);
            }
            Choice::Refuse(_) if deadline <= self.now => self.records[req].end = RequestEnd::Late,
            Choice::Refuse(_) | Choice::Wait => self.records[req].end = RequestEnd::Refused,
        }
        true
    }

    /// Send a request to the engines of a dispatch. A request for several engines needs a hold on
    /// each of them, and is queued again after a delay if one is refused.
    fn dispatch(&mut self, instance: usize, req: usize, dispatch: Dispatch, low_priority: bool) {
        let now = self.timestamp();
        let trace_req = &self.trace[req];
        let state = &mut self.request_states[req];
        state.attempt += 1;
        state.parts_left = dispatch.servers.len();
        let parts = dispatch.servers.len() as u64;
        let engines: Vec<usize> = dispatch
            .servers
            .iter()
            .filter_map(|id| self.engine_ids.iter().position(|e| e == id))
            .collect();
        let job = Job {
            req,
            attempt: state.attempt,
            priority: usize::from(low_priority || trace_req.batch),
            prefill_tokens: trace_req.prompt_tokens.div_ceil(parts),
            output_tokens: (parts == 1).then_some(trace_req.output_tokens),
            memory_tokens: (trace_req.prompt_tokens + trace_req.output_tokens).div_ceil(parts),
            prefixes: if parts == 1 {
                trace_req.prefixes.clone()
            } else {
                Vec::new()
            },
            deadline: trace_req.arrival + trace_req.timeout,
        };
        if parts > 1
            && !engines
                .iter()
                .all(|engine| self.engines[*engine].can_hold(job.memory_tokens))
        {
            let at = self.now + self.rng.random_range(JOIN_RETRY_DELAY);
            self.schedule(at, Event::Requeue { instance, req });
            return;
        }
        let prefixes = &job.prefixes;
        self.instances[instance]
            .view
            .record_dispatch(now, &dispatch, prefixes);
        self.request_states[req].dispatch = Some(dispatch);
        for engine in engines {
            if parts > 1 {
                self.engines[engine].start_with_hold(job.clone());
                self.start_if_idle(engine);
            } else {
                let job = job.clone();
                self.send(
                    self.now + ONE_WAY_DELAY,
                    Message::Job { engine, job },
                    Event::JobArrival,
                );
            }
        }
    }

    /// Queue a job that arrives at an engine, or retry its request if the engine has crashed.
    fn deliver_job(&mut self, engine: usize, job: Job) {
        if self.engines[engine].alive {
            self.engines[engine].push(job);
            self.start_if_idle(engine);
        } else {
            self.retry(job.req, job.attempt, engine);
        }
    }

    /// Start a batch step unless one is in progress.
    fn start_if_idle(&mut self, engine: usize) {
        if !self.engines[engine].busy {
            self.start_step(engine);
        }
    }

    fn start_step(&mut self, engine: usize) {
        let mut notices = Vec::new();
        let length = self.engines[engine].start_step(self.now, &mut notices);
        if let Some(length) = length {
            self.schedule(self.now + length, Event::StepEnd(engine));
        }
        self.handle_notices(notices);
    }

    fn end_step(&mut self, engine: usize) {
        if !self.engines[engine].alive {
            return;
        }
        let mut notices = Vec::new();
        self.engines[engine].end_step(&mut notices);
        self.engines[engine].busy = false;
        self.handle_notices(notices);
        self.start_if_idle(engine);
    }

    fn handle_notices(&mut self, notices: Vec<Notice>) {
        for notice in notices {
            match notice {
                Notice::Prefilled {
                    req,
                    attempt,
                    cached_tokens,
                } if self.is_current(req, attempt) => {
                    self.record_prefill(req, cached_tokens);
                }
                Notice::Done { req, attempt } if self.is_current(req, attempt) => {
                    self.end_request(req, RequestEnd::Completed);
                }
                Notice::Late { req, attempt } if self.is_current(req, attempt) => {
                    self.end_request(req, RequestEnd::Late);
                }
                _ => {}
            }
        }
    }

    /// Return whether an attempt is the current one of its request.
    fn is_current(&self, req: usize, attempt: u32) -> bool {
        self.request_states[req].attempt == attempt && self.request_states[req].dispatch.is_some()
    }

    /// Record that one engine has finished its part of the prefill. With the last part, the first
    /// token is sent and the decode starts on the first engine.
    fn record_prefill(&mut self, req: usize, cached_tokens: u64) {
        let state = &mut self.request_states[req];
        self.records[req].cached_tokens += cached_tokens;
        state.parts_left -= 1;
        if state.parts_left > 0 {
            return;
        }
        let Some(dispatch) = &mut state.dispatch else {
            return;
        };
        let ttft = self.now + ONE_WAY_DELAY - self.trace[req].arrival;
        self.records[req].ttft.get_or_insert(ttft);
        self.instances[state.instance]
            .view
            .record_first_token(dispatch);
        if dispatch.servers.len() > 1 {
            let first_engine = self
                .engine_ids
                .iter()
                .position(|id| *id == dispatch.servers[0]);
            if let Some(engine) = first_engine {
                self.engines[engine].start_decode(req, self.trace[req].output_tokens);
                self.start_if_idle(engine);
            }
        }
    }

    /// End a request, free its memory on joined engines and dispatch the next ones.
    fn end_request(&mut self, req: usize, end: RequestEnd) {
        self.records[req].end = end;
        let instance = self.request_states[req].instance;
        if let Some(dispatch) = self.request_states[req].dispatch.take() {
            if dispatch.servers.len() > 1 {
                for id in &dispatch.servers {
                    if let Some(engine) = self.engine_ids.iter().position(|e| e == id) {
                        self.engines[engine].release(req);
                    }
                }
            }
            self.instances[instance].view.record_end(dispatch);
        }
        self.dispatch_queued(instance);
    }

    /// Poll an engine; its report arrives after the delay of the scenario.
    fn poll_engine(&mut self, instance: usize, engine: usize) {
        if self.now < DURATION + 300 * SECOND {
            self.schedule(self.now + POLL_INTERVAL, Event::Poll { instance, engine });
        }
        if !self.engines[engine].alive {
            return;
        }
        let from = self.polled_events[instance][engine];
        let events = self.engines[engine].cache_events(from).to_vec();
        self.polled_events[instance][engine] += events.len();
        let is_lost = !events.is_empty() && self.rng.random_bool(LOST_EVENTS_SHARE);
        let message = Message::Report {
            instance,
            engine,
            report: self.engines[engine].load_report(),
            events: (!is_lost).then_some(events),
        };
        let at = self.now + self.scenario.condition.report_lag();
        self.send(at, message, Event::ReportArrival);
    }

    fn apply_report(
        &mut self,
        instance: usize,
        engine: usize,
        report: LoadReport,
        events: Option<Vec<(u64, bool)>>,
    ) {
        let now = self.timestamp();
        let age = Millis::new(self.scenario.condition.report_lag() / 1_000);
        let view = &mut self.instances[instance].view;
        let id = &self.engine_ids[engine];
        view.apply_report(now, id, age, report);
        match events {
            Some(events) => {
                for (prefix, evicted) in events {
                    view.apply_cache_event(id, prefix, evicted);
                }
            }
            None => view.record_lost_cache_events(id),
        }
        self.dispatch_queued(instance);
    }

    fn crash_engine(&mut self, engine: usize) {
        for (req, attempt) in self.engines[engine].crash() {
            self.retry(req, attempt, engine);
        }
    }

    /// Queue a request again after one of its engines crashed. All requests count as idempotent.
    fn retry(&mut self, req: usize, attempt: u32, engine: usize) {
        if !self.is_current(req, attempt) {
            return;
        }
        let instance = self.request_states[req].instance;
        let id = self.engine_ids[engine].clone();
        if let Some(dispatch) = self.request_states[req].dispatch.take() {
            for other in &dispatch.servers {
                if let Some(index) = self.engine_ids.iter().position(|e| e == other) {
                    self.engines[index].release(req);
                }
            }
            self.instances[instance].view.record_end(dispatch);
        }
        self.instances[instance].view.set_usable(&id, false, false);
        self.request_states[req].excluded.push(id);
        self.enqueue(instance, req);
        self.dispatch_queued(instance);
    }
}

fn length_class(req: &TraceRequest) -> LengthClass {
    if req.is_long() {
        LengthClass::Long
    } else {
        LengthClass::Short
    }
}

fn organisation_weight(organisation: usize) -> u32 {
    if organisation < LARGE_ORGANISATIONS {
        3
    } else {
        1
    }
}

fn new_entry_instance(
    zone: usize,
    engine_ids: &[BackendServerId],
    parameters: &EngineParameters,
    seed: u64,
    number: usize,
) -> eyre::Result<EntryInstance> {
    let mut view = View::new(format!("zone-{zone}").parse()?);
    for (engine, id) in engine_ids.iter().enumerate() {
        let zone = format!("zone-{}", engine % ZONE_COUNT).parse()?;
        view.upsert(Server::new(id.clone(), zone, parameters.spec()));
    }
    view.refresh();
    Ok(EntryInstance {
        view,
        short_queue: FairQueue::default(),
        long_queue: FairQueue::default(),
        overload: Overload::default(),
        rng: Pcg64Mcg::new(u128::from(seed) << 16 | (number as u128) << 1 | 1),
        last_wait: Millis::ZERO,
    })
}
