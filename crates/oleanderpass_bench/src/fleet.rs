//! Play a trace through entry instances and engines in virtual time.

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
use crate::engine::EngineFigures;
use crate::engine::Job;
use crate::engine::Notice;
use crate::scenario::CUT_END;
use crate::scenario::Condition;
use crate::scenario::DURATION;
use crate::scenario::FAULT_AT;
use crate::scenario::INSTANCE_SHARES;
use crate::scenario::INSTANCE_ZONES;
use crate::scenario::Scenario;
use crate::scenario::ZONES;
use crate::trace::LARGE_ORGANISATIONS;
use crate::trace::MEAN_OUTPUT;
use crate::trace::Micros;
use crate::trace::ORGANISATION_SHARES;
use crate::trace::SECOND;
use crate::trace::TraceRequest;
use crate::trace::TraceShape;
use crate::trace::generate;
use crate::trace::pick;

/// The one-way time between two processes. Source: section 1.3 of the design.
const ONE_WAY: Micros = 1_000;

/// The tick of an instance. Source: section 2.1 of the design.
const TICK: Micros = SECOND / 10;

/// The period of load polls. Source: section 4.6 of the design.
const POLL: Micros = 2 * SECOND;

/// The share of cache event batches that get lost. Assumed.
const LOST_EVENTS: f64 = 0.02;

/// The retry delay of a prompt whose holds on several engines were refused.
const JOIN_RETRY: std::ops::Range<Micros> = SECOND / 2..3 * SECOND / 2;

/// The end of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum End {
    /// The run ended first.
    #[default]
    Open,
    /// The whole answer was delivered in time.
    Completed,
    /// The deadline passed.
    Late,
    /// An instance refused it early.
    Refused,
    /// An instance shed it.
    Shed,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Record {
    /// The time from arrival to the first token at the caller.
    pub ttft: Option<Micros>,
    /// The end.
    pub end: End,
    /// Prompt tokens that the prefix cache held.
    pub hit: u64,
}

/// The records of a run, in the order of its trace.
#[derive(Debug)]
pub struct Played {
    /// The requests.
    pub trace: Vec<TraceRequest>,
    /// Their records.
    pub records: Vec<Record>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Deliver(usize),
    StepEnd(usize),
    Poll { instance: usize, engine: usize },
    Report(usize),
    Tick(usize),
    Requeue { instance: usize, req: usize },
    EngineDies(usize),
}

/// Work that is in flight between two processes.
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
        events: Option<Vec<(u64, bool)>>,
    },
}

#[derive(Debug)]
struct Entry {
    view: View,
    short: FairQueue<usize>,
    long: FairQueue<usize>,
    overload: Overload,
    rng: Pcg64Mcg,
    /// The wait that the last choice for a short prompt estimated.
    last_wait: Millis,
}

impl Entry {
    fn queue(&mut self, class: LengthClass) -> &mut FairQueue<usize> {
        match class {
            LengthClass::Short => &mut self.short,
            LengthClass::Long => &mut self.long,
        }
    }
}

#[derive(Debug, Default)]
struct Live {
    instance: usize,
    attempt: u32,
    dispatch: Option<Dispatch>,
    parts_left: usize,
    excluded: Vec<BackendServerId>,
}

struct Fleet {
    scenario: Scenario,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    number: u64,
    messages: Vec<Option<Message>>,
    engines: Vec<Engine>,
    ids: Vec<BackendServerId>,
    organisations: Vec<OrganisationId>,
    entries: Vec<Entry>,
    /// The cache events that each instance has read of each engine.
    seen_events: Vec<Vec<usize>>,
    trace: Vec<TraceRequest>,
    records: Vec<Record>,
    live: Vec<Live>,
    rng: Pcg64Mcg,
}

/// Play one scenario.
///
/// # Errors
///
/// Return an error when an id of the fleet is malformed.
pub fn play(scenario: Scenario, figures: &EngineFigures) -> eyre::Result<Played> {
    let mut fleet = Fleet::new(scenario, figures)?;
    while let Some(Reverse((at, _, event))) = fleet.queue.pop() {
        if at > DURATION + 300 * SECOND {
            break;
        }
        fleet.now = at;
        fleet.handle(event);
    }
    Ok(Played {
        trace: fleet.trace,
        records: fleet.records,
    })
}

impl Fleet {
    fn new(scenario: Scenario, figures: &EngineFigures) -> eyre::Result<Self> {
        let count = scenario.deployment.engines();
        let shape = TraceShape {
            seed: scenario.seed,
            engines: count,
            load: scenario.load,
            duration: DURATION,
            burst: scenario.burst.then_some((FAULT_AT, FAULT_AT + 30 * SECOND)),
        };
        let mut trace = generate(shape, figures);
        if scenario.without_long {
            trace.retain(|req| !req.is_long());
        }
        let mut ids = Vec::new();
        for number in 0..count {
            ids.push(format!("engine-{number:02}").parse()?);
        }
        let mut organisations = Vec::new();
        for number in 0..ORGANISATION_SHARES.len() {
            organisations.push(format!("organisation-{number}").parse()?);
        }
        let mut entries = Vec::new();
        for (number, zone) in INSTANCE_ZONES.iter().enumerate() {
            entries.push(new_entry(*zone, &ids, figures, scenario.seed, number)?);
        }
        let mut fleet = Self {
            scenario,
            now: 0,
            queue: BinaryHeap::new(),
            number: 0,
            messages: Vec::new(),
            engines: (0..count).map(|_| Engine::new(*figures)).collect(),
            seen_events: vec![vec![0; count]; entries.len()],
            ids,
            organisations,
            entries,
            records: vec![Record::default(); trace.len()],
            live: trace.iter().map(|_| Live::default()).collect(),
            trace,
            rng: Pcg64Mcg::new(u128::from(scenario.seed) << 8 | 5),
        };
        fleet.schedule_start();
        Ok(fleet)
    }

    fn schedule_start(&mut self) {
        for req in 0..self.trace.len() {
            self.schedule(self.trace[req].at, Event::Arrive(req));
        }
        for (instance, zone) in INSTANCE_ZONES.into_iter().enumerate() {
            self.schedule(TICK * instance as u64 / 7, Event::Tick(instance));
            for engine in 0..self.engines.len() {
                if engine % ZONES == zone {
                    let at = self.rng.random_range(0..POLL);
                    self.schedule(at, Event::Poll { instance, engine });
                }
            }
        }
        if self.scenario.condition == Condition::EngineLost {
            self.schedule(FAULT_AT, Event::EngineDies(1));
        }
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number, event)));
    }

    fn send(&mut self, at: Micros, message: Message, event: fn(usize) -> Event) {
        self.messages.push(Some(message));
        self.schedule(at, event(self.messages.len() - 1));
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_millis(self.now / 1_000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(req) => self.arrive(req),
            Event::Deliver(number) | Event::Report(number) => match self.messages[number].take() {
                Some(Message::Job { engine, job }) => self.deliver(engine, job),
                Some(Message::Report {
                    instance,
                    engine,
                    report,
                    events,
                }) => self.take_report(instance, engine, report, events),
                None => {}
            },
            Event::StepEnd(engine) => self.end_step(engine),
            Event::Poll { instance, engine } => self.poll(instance, engine),
            Event::Tick(instance) => self.tick(instance),
            Event::Requeue { instance, req } => {
                self.enqueue(instance, req);
                self.pump(instance);
            }
            Event::EngineDies(engine) => self.engine_dies(engine),
        }
    }

    fn balance(&self, req: usize) -> usize {
        let cut = self.scenario.condition == Condition::ZoneCut
            && (FAULT_AT..CUT_END).contains(&self.now);
        let mut shares = INSTANCE_SHARES;
        for (share, zone) in shares.iter_mut().zip(INSTANCE_ZONES) {
            if cut && zone == 0 {
                *share = 0.0;
            }
        }
        pick(&shares, self.trace[req].balance)
    }

    fn arrive(&mut self, req: usize) {
        let instance = self.balance(req);
        self.live[req].instance = instance;
        let now = self.time();
        let new = &self.trace[req];
        let class = length_class(new);
        let organisation = &self.organisations[new.organisation];
        let entry = &mut self.entries[instance];
        let work = Tokens::new(new.prompt);
        entry
            .overload
            .record_work(now, organisation, org_weight(new.organisation), work);
        let sheds = entry.overload.sheds(organisation, class, new.batch);
        if sheds && matches!(self.scenario.policy, Policy::Split(_)) {
            self.records[req].end = End::Shed;
            return;
        }
        self.enqueue(instance, req);
        self.pump(instance);
    }

    fn enqueue(&mut self, instance: usize, req: usize) {
        let new = &self.trace[req];
        let entry = &mut self.entries[instance];
        let queue = entry.queue(length_class(new));
        let organisation = self.organisations[new.organisation].clone();
        queue.push(
            organisation,
            org_weight(new.organisation),
            Tokens::new(new.prompt),
            req,
        );
    }

    fn tick(&mut self, instance: usize) {
        if self.now < DURATION + 300 * SECOND {
            self.schedule(self.now + TICK, Event::Tick(instance));
        }
        self.pump(instance);
        let now = self.now;
        let entry = &mut self.entries[instance];
        let wait = match entry.short.peek() {
            Some((_, req)) => Millis::new((now - self.trace[*req].at) / 1_000),
            None => Millis::ZERO,
        };
        let wait = wait + std::mem::take(&mut entry.last_wait);
        entry
            .overload
            .observe(Timestamp::from_millis(now / 1_000), wait);
    }

    /// Dispatch from the local queues until their requests have to wait.
    fn pump(&mut self, instance: usize) {
        self.entries[instance].view.refresh();
        for class in [LengthClass::Short, LengthClass::Long] {
            while self.pump_class(instance, class) {}
        }
    }

    /// Dispatch or end one request of a class and return whether there was one.
    fn pump_class(&mut self, instance: usize, class: LengthClass) -> bool {
        let limit = match (class, self.scenario.policy) {
            (LengthClass::Long, Policy::Split(_)) => LONG_QUEUE_SCAN_LIMIT,
            _ => 1,
        };
        let is_urgent = |req: &usize| {
            let new = &self.trace[*req];
            self.now - new.at > new.timeout / URGENT_WAIT_DIVISOR
        };
        for (place, urgent) in self.entries[instance]
            .queue(class)
            .candidates(limit, is_urgent)
        {
            if self.try_place(instance, class, place, urgent) {
                return true;
            }
            if urgent {
                return false;
            }
        }
        false
    }

    /// Dispatch or end the request at a place of a queue, unless it has to wait.
    fn try_place(
        &mut self,
        instance: usize,
        class: LengthClass,
        place: QueueKey,
        urgent: bool,
    ) -> bool {
        let now = self.time();
        let entry = &mut self.entries[instance];
        let Some(req) = entry.queue(class).get(place).copied() else {
            return false;
        };
        let new = &self.trace[req];
        let deadline = new.at + new.timeout;
        let request = Request {
            prompt: Tokens::new(new.prompt),
            expected_output: Tokens::new(MEAN_OUTPUT as u64),
            prefixes: &new.prefixes,
            deadline: Timestamp::from_millis(deadline / 1_000),
            urgent,
            excluded: &self.live[req].excluded,
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
        entry.queue(class).remove(place);
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
            Choice::Refuse(_) if deadline <= self.now => self.records[req].end = End::Late,
            Choice::Refuse(_) | Choice::Wait => self.records[req].end = End::Refused,
        }
        true
    }

    fn dispatch(&mut self, instance: usize, req: usize, dispatch: Dispatch, low: bool) {
        let now = self.time();
        let new = &self.trace[req];
        let live = &mut self.live[req];
        live.attempt += 1;
        live.parts_left = dispatch.servers.len();
        let parts = dispatch.servers.len() as u64;
        let engines: Vec<usize> = dispatch
            .servers
            .iter()
            .filter_map(|id| self.ids.iter().position(|e| e == id))
            .collect();
        let job = Job {
            req,
            attempt: live.attempt,
            priority: usize::from(low || new.batch),
            prefill: new.prompt.div_ceil(parts),
            output: (parts == 1).then_some(new.output),
            memory: (new.prompt + new.output).div_ceil(parts),
            prefixes: if parts == 1 {
                new.prefixes.clone()
            } else {
                Vec::new()
            },
            deadline: new.at + new.timeout,
        };
        if parts > 1
            && !engines
                .iter()
                .all(|engine| self.engines[*engine].can_hold(job.memory))
        {
            let at = self.now + self.rng.random_range(JOIN_RETRY);
            self.schedule(at, Event::Requeue { instance, req });
            return;
        }
        let prefixes = &job.prefixes;
        self.entries[instance]
            .view
            .record_dispatch(now, &dispatch, prefixes);
        self.live[req].dispatch = Some(dispatch);
        for engine in engines {
            if parts > 1 {
                self.engines[engine].start_held(job.clone());
                self.wake(engine);
            } else {
                let job = job.clone();
                self.send(
                    self.now + ONE_WAY,
                    Message::Job { engine, job },
                    Event::Deliver,
                );
            }
        }
    }

    fn deliver(&mut self, engine: usize, job: Job) {
        if self.engines[engine].alive {
            self.engines[engine].push(job);
            self.wake(engine);
        } else {
            self.retry(job.req, job.attempt, engine);
        }
    }

    fn wake(&mut self, engine: usize) {
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
        self.take_notices(notices);
    }

    fn end_step(&mut self, engine: usize) {
        if !self.engines[engine].alive {
            return;
        }
        let mut notices = Vec::new();
        self.engines[engine].end_step(&mut notices);
        self.engines[engine].busy = false;
        self.take_notices(notices);
        self.wake(engine);
    }

    fn take_notices(&mut self, notices: Vec<Notice>) {
        for notice in notices {
            match notice {
                Notice::Prefilled { req, attempt, hit } if self.is_current(req, attempt) => {
                    self.prefilled(req, hit);
                }
                Notice::Done { req, attempt } if self.is_current(req, attempt) => {
                    self.finish(req, End::Completed);
                }
                Notice::Late { req, attempt } if self.is_current(req, attempt) => {
                    self.finish(req, End::Late);
                }
                _ => {}
            }
        }
    }

    fn is_current(&self, req: usize, attempt: u32) -> bool {
        self.live[req].attempt == attempt && self.live[req].dispatch.is_some()
    }

    fn prefilled(&mut self, req: usize, hit: u64) {
        let live = &mut self.live[req];
        self.records[req].hit += hit;
        live.parts_left -= 1;
        if live.parts_left > 0 {
            return;
        }
        let Some(dispatch) = &mut live.dispatch else {
            return;
        };
        let ttft = self.now + ONE_WAY - self.trace[req].at;
        self.records[req].ttft.get_or_insert(ttft);
        self.entries[live.instance]
            .view
            .record_first_token(dispatch);
        if dispatch.servers.len() > 1 {
            let first = self.ids.iter().position(|id| *id == dispatch.servers[0]);
            if let Some(engine) = first {
                self.engines[engine].generate(req, self.trace[req].output);
                self.wake(engine);
            }
        }
    }

    fn finish(&mut self, req: usize, end: End) {
        self.records[req].end = end;
        let instance = self.live[req].instance;
        if let Some(dispatch) = self.live[req].dispatch.take() {
            if dispatch.servers.len() > 1 {
                for id in &dispatch.servers {
                    if let Some(engine) = self.ids.iter().position(|e| e == id) {
                        self.engines[engine].release(req);
                    }
                }
            }
            self.entries[instance].view.record_end(dispatch);
        }
        self.pump(instance);
    }

    fn poll(&mut self, instance: usize, engine: usize) {
        if self.now < DURATION + 300 * SECOND {
            self.schedule(self.now + POLL, Event::Poll { instance, engine });
        }
        if !self.engines[engine].alive {
            return;
        }
        let from = self.seen_events[instance][engine];
        let events = self.engines[engine].cache_events(from).to_vec();
        self.seen_events[instance][engine] += events.len();
        let lost = !events.is_empty() && self.rng.random_bool(LOST_EVENTS);
        let message = Message::Report {
            instance,
            engine,
            report: self.engines[engine].report(),
            events: (!lost).then_some(events),
        };
        let at = self.now + self.scenario.condition.report_lag();
        self.send(at, message, Event::Report);
    }

    fn take_report(
        &mut self,
        instance: usize,
        engine: usize,
        report: LoadReport,
        events: Option<Vec<(u64, bool)>>,
    ) {
        let now = self.time();
        let age = Millis::new(self.scenario.condition.report_lag() / 1_000);
        let view = &mut self.entries[instance].view;
        let id = &self.ids[engine];
        view.apply_report(now, id, age, report);
        match events {
            Some(events) => {
                for (prefix, evicted) in events {
                    view.apply_cache_event(id, prefix, evicted);
                }
            }
            None => view.record_lost_cache_events(id),
        }
        self.pump(instance);
    }

    fn engine_dies(&mut self, engine: usize) {
        for (req, attempt) in self.engines[engine].crash() {
            self.retry(req, attempt, engine);
        }
    }

    /// Run an idempotent request again after its engine died.
    fn retry(&mut self, req: usize, attempt: u32, engine: usize) {
        if !self.is_current(req, attempt) {
            return;
        }
        let instance = self.live[req].instance;
        let id = self.ids[engine].clone();
        if let Some(dispatch) = self.live[req].dispatch.take() {
            for other in &dispatch.servers {
                if let Some(index) = self.ids.iter().position(|e| e == other) {
                    self.engines[index].release(req);
                }
            }
            self.entries[instance].view.record_end(dispatch);
        }
        self.entries[instance].view.set_usable(&id, false, false);
        self.live[req].excluded.push(id);
        self.enqueue(instance, req);
        self.pump(instance);
    }
}

fn length_class(req: &TraceRequest) -> LengthClass {
    if req.is_long() {
        LengthClass::Long
    } else {
        LengthClass::Short
    }
}

fn org_weight(organisation: usize) -> u32 {
    if organisation < LARGE_ORGANISATIONS {
        3
    } else {
        1
    }
}

fn new_entry(
    zone: usize,
    ids: &[BackendServerId],
    figures: &EngineFigures,
    seed: u64,
    number: usize,
) -> eyre::Result<Entry> {
    let mut view = View::new(format!("zone-{zone}").parse()?);
    for (engine, id) in ids.iter().enumerate() {
        let zone = format!("zone-{}", engine % ZONES).parse()?;
        view.upsert(Server::new(id.clone(), zone, figures.spec()));
    }
    view.refresh();
    Ok(Entry {
        view,
        short: FairQueue::default(),
        long: FairQueue::default(),
        overload: Overload::default(),
        rng: Pcg64Mcg::new(u128::from(seed) << 16 | (number as u128) << 1 | 1),
        last_wait: Millis::ZERO,
    })
}
