//! Join the decisions of one entry instance.

use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use oleanderpass_limits::retry::RetryBudget;
use oleanderpass_membership::membership::Identity;
use oleanderpass_proto::peer::Bulletin;
use oleanderpass_proto::peer::Packet;
use oleanderpass_quarantine::evidence::Signature;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Generation as Version;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::size::Tokens;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;
use strum::Display;

use crate::admission;
use crate::admission::Scheduling;
use crate::backend::Announcement;
use crate::backend::BackendKey;
use crate::config::Configuration;
use crate::config::Organisation;
use crate::crashes::Crashes;
use crate::drain::Drain;
use crate::engine::EngineModel;
use crate::health::Health;
use crate::health::Sign;
use crate::load::AttemptId;
use crate::load::LoadBook;
use crate::load::Work;
use crate::outcome::Cause;
use crate::outcome::Execution;
use crate::outcome::may_retry;
use crate::outcome::status;
use crate::peers::Fleet;
use crate::peers::MS_PER_S;
use crate::placement::Candidate;
use crate::placement::Generation;
use crate::placement::Plan;
use crate::placement::place_call;
use crate::placement::place_generation;
use crate::registry::Change;
use crate::registry::Read;
use crate::registry::Registry;
use crate::registry::Standing;
use crate::registry::What;
use crate::retry_after;
use crate::route::Route;

/// Attempts that reached no server, after which a request is refused.
const MAX_UNSENT: u32 = 5;

/// Attempts that a server refused because of a helper, after which a request is refused.
const MAX_HELPER_FAILURES: u32 = 3;

/// The part of the published retry budget that is used, so that instances that count apart stay
/// below it together.
const BUDGET_SHARE: f64 = 0.9;

/// The instances that share the retry budget while no peer is known.
const ASSUMED_INSTANCES: usize = 8;

/// The incarnations of leaving servers in one bulletin.
const MAX_LEAVING: usize = 16;

/// The time for which leaving servers are told to peers.
const LEAVING_NEWS_LIFETIME: Millis = Millis::from_secs(10);

/// The time in which an engine reads what is unread, in hundredths of the model's. The rest are the
/// token steps and the passes of the streams that it writes.
const READ_PERCENT: u64 = 125;

/// The priority of the least urgent requests at engines. Source: the platform's protocol.
const LEAST_URGENT: u8 = 9;

/// The time between two checks of what has expired.
const TICK_HEALTH: Millis = Millis::new(250);

/// The published bounds that decisions keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Retries for each request.
    pub retry_ratio: f64,
    /// Retries beyond the ratio in one window, of all instances.
    pub retry_slack: u32,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Rejection {
    /// No configuration or list of backend servers is known yet.
    NotReady,
    /// No route has the host and path.
    NoRoute,
    /// Nobody holds the key.
    UnknownKey,
    /// The instance stops before the request would end.
    Stopping,
}

/// Under which terms a request is admitted.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The version of the configuration.
    pub version: Version,
    /// The route.
    pub route: Rc<Route>,
    /// Whose request it is.
    pub organisation: Option<Rc<Organisation>>,
    /// The service that runs it.
    pub service: ServiceId,
}

impl Admission {
    /// Return how urgent the request is for engines; 0 is the most urgent.
    pub fn engine_priority(&self, scheduling: Scheduling) -> Option<u8> {
        let own = self.organisation.as_ref().and_then(|o| o.priority);
        let priority = own.unwrap_or(self.route.priority).min(LEAST_URGENT - 1);
        let priority = match scheduling {
            Scheduling::Deferred | Scheduling::Refused => LEAST_URGENT,
            Scheduling::Now => priority,
        };
        self.route.kind.is_stream().then_some(priority)
    }
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The caller's id of the request.
    pub id: SmolStr,
    /// The host.
    pub host: SmolStr,
    /// The path and query.
    pub path: SmolStr,
    /// The caller's key.
    pub key: Option<SmolStr>,
    /// The prompt.
    pub prompt: Tokens,
    /// The most that is written.
    pub max_output: Tokens,
    /// When it arrived.
    pub received: Timestamp,
    /// The end of the time that the caller waits, and of the route's timeout.
    pub deadline: Timestamp,
    /// The same path, caller and body have the same one.
    pub signature: Signature,
}

/// A request in flight.
#[derive(Debug)]
pub struct Request {
    /// What it asks for.
    pub spec: RequestSpec,
    /// Under which terms it was admitted.
    pub admission: Admission,
    /// Backend servers that it was sent to.
    pub sent: u32,
    /// Attempts that reached no server.
    pub unsent: u32,
    /// What all attempts together showed.
    pub worst_execution: Execution,
    /// A part of the answer is with the caller.
    pub delivering: bool,
    tried: Vec<BackendKey>,
    /// The server that refused the request because of a helper. It may get it again.
    again: Option<BackendKey>,
    helper_failures: u32,
    draw: u32,
}

impl Request {
    fn generation(&self) -> Generation {
        Generation {
            prompt: self.spec.prompt,
            max_output: self.spec.max_output,
            gap: self.admission.route.gap,
            primary: self.again,
        }
    }

    fn is_short(&self) -> bool {
        self.generation().is_short()
    }
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The number.
    pub id: AttemptId,
    /// Where it goes.
    pub plan: Plan,
    /// The server that gets the request.
    pub primary: Announcement,
    /// The helping engines, in the order of the plan.
    pub helpers: Vec<SocketAddr>,
    /// How it is served.
    pub scheduling: Scheduling,
    /// It took a retry from the budget.
    pub is_retry: bool,
}

/// What to do next with a request.
#[derive(Debug)]
pub enum Next {
    /// Send it.
    Send(Box<Attempt>),
    /// Ask again at this time: its engines have too much to read.
    Wait(Timestamp),
    /// Answer it.
    End {
        /// The HTTP status.
        status: u16,
        /// Why.
        cause: Cause,
        /// When the caller may return, if the request did not run.
        retry_after: Option<Millis>,
    },
    /// The configuration in force does not allow it any more.
    Rejected(Rejection),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptEnd {
    /// The whole answer was a success.
    Completed,
    /// The server could not be reached; no byte of the request was sent.
    NotSent,
    /// A connection that had been idle turned out to be closed; no byte of the request was sent.
    StaleConnection,
    /// The server said that it did not run the request.
    Refused,
    /// Another server has the address.
    WrongServer,
    /// A server that was to help is at fault; the request did not run.
    HelperFailed,
    /// The server answered that the request failed.
    Failed,
    /// The connection broke, or the bytes were no answer to this request.
    Broken,
    /// The server stayed silent for too long.
    Silent,
    /// The caller left or the time is over.
    Cancelled,
}

/// The decisions of one entry instance.
#[derive(Debug)]
pub struct Gateway {
    identity: Identity,
    bounds: Bounds,
    rng: Pcg64Mcg,
    config: Option<Rc<Configuration>>,
    registry: Registry,
    load: LoadBook,
    health: IndexMap<BackendKey, Health>,
    fleet: Fleet,
    crashes: Crashes,
    budget: RetryBudget,
    attempts: u64,
    store_revision: u64,
    reads_store: bool,
    leaving_news: Vec<(Timestamp, BackendKey)>,
    health_ticked: Timestamp,
    drain: Option<Drain>,
    urgent: bool,
}

impl Gateway {
    /// Create the decisions of an instance that has just started.
    pub fn new(
        now: Timestamp,
        identity: Identity,
        seeds: Vec<SocketAddr>,
        bounds: Bounds,
        seed: u64,
    ) -> Self {
        let mut gateway = Self {
            fleet: Fleet::new(now, identity.clone(), seeds),
            identity,
            bounds,
            rng: Pcg64Mcg::new(u128::from(seed)),
            config: None,
            registry: Registry::default(),
            load: LoadBook::default(),
            health: IndexMap::new(),
            crashes: Crashes::default(),
            budget: RetryBudget::default(),
            attempts: 0,
            store_revision: 0,
            reads_store: false,
            leaving_news: Vec::new(),
            health_ticked: now,
            drain: None,
            urgent: false,
        };
        let saved = gateway.saved_retries();
        gateway.budget = RetryBudget::full(bounds.retry_ratio * BUDGET_SHARE, saved);
        gateway
    }

    /// Change the published bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        if bounds != self.bounds {
            self.bounds = bounds;
            let saved = self.saved_retries();
            self.budget = RetryBudget::full(bounds.retry_ratio * BUDGET_SHARE, saved);
        }
    }

    /// Return who this instance is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Return the configuration in force.
    pub fn configuration(&self) -> Option<&Rc<Configuration>> {
        self.config.as_ref()
    }

    /// Return the list of backend servers.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Return the other entry instances.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Return whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.registry.is_complete() && self.drain.is_none()
    }

    /// Return whether the instance is stopping.
    pub fn is_draining(&self) -> bool {
        self.drain.is_some()
    }

    /// Begin to stop: let the balancer send callers elsewhere. The process ends at `end`.
    pub fn begin_drain(
        &mut self,
        now: Timestamp,
        end: Timestamp,
        out: &mut Vec<(SocketAddr, Packet)>,
    ) {
        self.drain = Some(Drain { began: now, end });
        self.fleet.leave(now, &mut self.rng, out);
    }

    /// Take a configuration, unless a later one is in force. Return whether it was taken.
    pub fn on_configuration(&mut self, config: Configuration) -> bool {
        let held = self.config.as_ref().map(|config| config.version);
        if held.is_some_and(|held| held >= config.version) {
            return false;
        }
        tracing::info!(
            version = %config.version,
            previous = held.map_or(0, Version::get),
            routes = config.routes(),
            "configuration in force"
        );
        self.config = Some(Rc::new(config));
        self.urgent = true;
        true
    }

    /// Return the newest revision of the store that this instance has read.
    pub fn store_revision(&self) -> u64 {
        self.store_revision
    }

    /// Note that all changes up to this revision of the store have been read.
    pub fn on_store_revision(&mut self, revision: u64) {
        self.store_revision = self.store_revision.max(revision);
    }

    /// Return the newest revision of the store that a live peer has read.
    pub fn newest_peer_revision(&self, now: Timestamp) -> u64 {
        let live = self.fleet.live_peers(now);
        live.map(|(_, peer)| peer.store_revision).max().unwrap_or(0)
    }

    /// Note whether this instance reads the store.
    pub fn set_reads_store(&mut self, reads: bool) {
        self.urgent |= reads != self.reads_store;
        self.reads_store = reads;
    }

    /// Return whether this instance is one of those that read the store for their zone.
    pub fn is_reader(&self, now: Timestamp) -> bool {
        self.fleet.is_reader(now)
    }

    /// Note that the store answers again after an interruption.
    pub fn on_store_recovered(&mut self, now: Timestamp) {
        self.registry.on_store_recovered(now);
    }

    /// Take a whole list of backend servers, read at `revision`.
    pub fn on_list(
        &mut self,
        now: Timestamp,
        revision: u64,
        list: Vec<(BackendServerId, u64, Read)>,
    ) {
        let changes = self.registry.replace(now, revision, list);
        self.note_changes(now, &changes);
    }

    /// Take one changed entry of the list.
    pub fn on_entry(&mut self, now: Timestamp, id: BackendServerId, revision: u64, read: Read) {
        let mut changes = Vec::new();
        self.registry.update(now, id, revision, read, &mut changes);
        self.note_changes(now, &changes);
    }

    /// Take the removal of an entry of the list.
    pub fn on_entry_removed(&mut self, now: Timestamp, id: BackendServerId, revision: u64) {
        let mut changes = Vec::new();
        self.registry.vanish(now, id, revision, &mut changes);
        self.note_changes(now, &changes);
    }

    fn note_changes(&mut self, now: Timestamp, changes: &[Change]) {
        for change in changes {
            tracing::info!(
                server = %change.id,
                change = %change.what,
                store_revision = self.store_revision,
                "a backend server changed"
            );
            match change.what {
                What::Draining => {
                    self.leaving_news.push((now, change.key));
                    self.urgent = true;
                }
                What::Removed => {
                    self.on_server_gone(now, change.key);
                    self.health.swap_remove(&change.key);
                }
                What::Vanished => self.on_server_gone(now, change.key),
                What::Listed => {}
            }
        }
    }

    /// Take a datagram of a peer.
    pub fn on_packet(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        packet: &Packet,
        out: &mut Vec<(SocketAddr, Packet)>,
    ) {
        let cleared = packet
            .bulletin
            .as_ref()
            .map(|bulletin| &bulletin.cleared[..]);
        self.crashes
            .on_news(now, &packet.crashes, cleared.unwrap_or_default());
        let news = self
            .fleet
            .on_packet(now, source, packet, &mut self.rng, out);
        let Some(news) = news else {
            return;
        };
        let saved = self.saved_retries();
        self.budget.set_capacity(saved);
        let later =
            self.load
                .on_bulletin(now, news.from, news.sequence, news.placed, news.long_load);
        if later {
            let mut changes = Vec::new();
            for key in news.leaving {
                self.registry.on_leaving(now, key, &mut changes);
            }
            for key in news.unreachable {
                if self.registry.get(key).is_some() {
                    self.health.entry(key).or_default().on_peer_word(now);
                }
            }
            self.note_changes(now, &changes);
        }
    }

    /// Let time pass. Expected every 100 ms, and after each change of own work.
    pub fn on_tick(&mut self, now: Timestamp, out: &mut Vec<(SocketAddr, Packet)>) {
        self.fleet.on_tick(now, &mut self.rng, out);
        let elapsed = now.since(self.health_ticked);
        if elapsed >= TICK_HEALTH {
            self.health_ticked = now;
            self.health.values_mut().for_each(|h| h.decay(elapsed));
            self.load.tick(now);
            self.crashes.tick(now);
            let mut changes = Vec::new();
            self.registry.tick(now, &mut changes);
            self.note_changes(now, &changes);
            self.leaving_news
                .retain(|(at, _)| now.since(*at) < LEAVING_NEWS_LIFETIME);
        }
        self.send_bulletin(now, out);
    }

    /// Tell peers what changed, if something did and the last bulletin isn't too recent.
    pub fn send_bulletin(&mut self, now: Timestamp, out: &mut Vec<(SocketAddr, Packet)>) {
        let changed = self.load.take_changed();
        self.urgent |= changed;
        if !self.fleet.is_due(now, self.urgent) {
            return;
        }
        self.urgent = false;
        let (crashes, cleared) = self.crashes.take_news(now);
        let leaving = self.leaving_news.iter().rev().take(MAX_LEAVING);
        let bulletin = Bulletin {
            store_revision: self.store_revision,
            config_version: self.config.as_ref().map_or(0, |c| c.version.get()),
            leaving: leaving.map(|(_, key)| key.0).collect(),
            unreachable: self
                .health
                .iter()
                .filter(|(_, health)| health.is_paused_by_own_word(now))
                .take(MAX_LEAVING)
                .map(|(key, _)| key.0)
                .collect(),
            reads_store: self.reads_store,
            cleared,
            long_read_ms_per_s: (self.load.own_long_load(now) * MS_PER_S) as u32,
            ..Bulletin::default()
        };
        let from = out.len();
        self.fleet
            .send_bulletin(now, bulletin, self.load.placed(now), out);
        for (_, packet) in &mut out[from..] {
            packet.crashes.clone_from(&crashes);
        }
    }

    /// Return how many retries this instance may save up: its share of the fleet's.
    fn saved_retries(&self) -> u32 {
        let instances = match self.fleet.largest() {
            1 => ASSUMED_INSTANCES,
            known => known,
        };
        let share = f64::from(self.bounds.retry_slack) * BUDGET_SHARE / instances as f64;
        (share as u32).max(1)
    }

    /// Check a request against the configuration in force.
    ///
    /// # Errors
    ///
    /// Return why it isn't admitted.
    pub fn admit(
        &self,
        now: Timestamp,
        host: &str,
        path: &str,
        key: Option<&str>,
        draw: u32,
    ) -> Result<Admission, Rejection> {
        let config = self.config.as_ref().ok_or(Rejection::NotReady)?;
        if !self.registry.is_complete() {
            return Err(Rejection::NotReady);
        }
        let route = config.route(host, path).ok_or(Rejection::NoRoute)?;
        let organisation = config
            .authenticate(route, key)
            .map_err(|_| Rejection::UnknownKey)?;
        if self.drain.is_some_and(|drain| !drain.admits(now, route)) {
            return Err(Rejection::Stopping);
        }
        Ok(Admission {
            version: config.version,
            route: route.clone(),
            organisation,
            service: route.service(draw).clone(),
        })
    }

    /// Begin to serve an admitted request.
    pub fn begin(&mut self, spec: RequestSpec, admission: Admission, draw: u32) -> Request {
        self.budget.deposit();
        let now = spec.received;
        let req = Request {
            spec,
            admission,
            sent: 0,
            unsent: 0,
            worst_execution: Execution::NotRun,
            delivering: false,
            tried: Vec::new(),
            again: None,
            helper_failures: 0,
            draw,
        };
        let engine = self
            .config
            .as_ref()
            .and_then(|config| config.engine(&req.admission.service));
        if let Some(engine) = engine
            && !req.is_short()
        {
            self.load
                .count_long(now, engine.read_ms(req.spec.prompt, 1));
        }
        req
    }

    /// Draw a number for the choice of a service.
    pub fn draw(&mut self) -> u32 {
        self.rng.random()
    }

    /// Decide what to do with a request that has no attempt.
    pub fn next(&mut self, now: Timestamp, req: &mut Request) -> Next {
        if let Err(rejection) = self.recheck(now, req) {
            return Next::Rejected(rejection);
        }
        if now >= req.spec.deadline {
            return self.end(now, req, Cause::Timeout);
        }
        if self.crashes.refuses(now, req.spec.signature) {
            return self.end(now, req, Cause::Quarantined);
        }
        let again = req.sent > 0;
        if req.sent < req.admission.route.max_attempts {
            req.again = None;
        }
        let may_send = req.sent < req.admission.route.max_attempts || req.again.is_some();
        let allowed = may_send
            && req.helper_failures < MAX_HELPER_FAILURES
            && req.unsent < MAX_UNSENT
            && may_retry(req.admission.route.kind, req.worst_execution);
        if !allowed || (again && !self.budget.withdraw()) {
            return self.end(now, req, Cause::AttemptFailed);
        }
        let Some(plan) = self.place(now, req) else {
            return self.end(now, req, Cause::NoCapacity);
        };
        let long = plan.part_ms > 0.0 && !req.is_short();
        if long && !req.delivering {
            let backlog = Millis::new(plan.backlog_ms as u64);
            let expected = Millis::new(plan.behind_all_ms as u64);
            let route = &req.admission.route;
            let (received, deadline) = (req.spec.received, req.spec.deadline);
            let until = admission::wait_until(route, now, received, deadline, backlog, expected);
            if let Some(at) = until {
                if again {
                    self.budget.refund();
                }
                return Next::Wait(at);
            }
        }
        let scheduling = schedule(now, req, &plan);
        if scheduling == Scheduling::Refused {
            return self.end(now, req, Cause::NoCapacity);
        }
        match self.attempt(now, req, plan, scheduling) {
            Some(attempt) => Next::Send(Box::new(attempt)),
            None => self.end(now, req, Cause::NoCapacity),
        }
    }

    /// Check a request again when a newer configuration came into force.
    fn recheck(&self, now: Timestamp, req: &mut Request) -> Result<(), Rejection> {
        let version = self.config.as_ref().map(|config| config.version);
        if version == Some(req.admission.version) {
            return Ok(());
        }
        let (host, path) = (req.spec.host.clone(), req.spec.path.clone());
        let key = req.spec.key.clone();
        let service = req.admission.service.clone();
        req.admission = self.admit(now, &host, &path, key.as_deref(), req.draw)?;
        if req.admission.route.allows(&service) {
            req.admission.service = service;
        }
        Ok(())
    }

    fn end(&mut self, now: Timestamp, req: &Request, cause: Cause) -> Next {
        let status = status(req.worst_execution, cause);
        let left = now.until(req.spec.deadline);
        let expected = match cause {
            Cause::NoCapacity => req.admission.route.objective,
            _ => Millis::ZERO,
        };
        let retry_after = (req.worst_execution == Execution::NotRun && cause != Cause::Quarantined)
            .then(|| retry_after::choose(expected, left, &mut self.rng));
        Next::End {
            status,
            cause,
            retry_after,
        }
    }

    fn place(&mut self, now: Timestamp, req: &Request) -> Option<Plan> {
        let service = &req.admission.service;
        let mut candidates = self.candidates(now, service);
        let untried = |c: &Candidate| req.again.is_some() || !req.tried.contains(&c.key);
        if candidates.iter().any(untried) {
            candidates.retain(untried);
        }
        let config = self.config.clone()?;
        match config.engine(service) {
            Some(engine) => {
                let generation = req.generation();
                let long_load = self.load.long_load(now);
                place_generation(engine, &candidates, &generation, long_load, &mut self.rng)
            }
            None => place_call(&candidates, &mut self.rng),
        }
    }

    fn candidates(&self, now: Timestamp, service: &ServiceId) -> Vec<Candidate> {
        let usable = self.registry.usable(now, service);
        let engine = self.config.as_ref().and_then(|c| c.engine(service));
        let idle_pass_ms = engine.map_or(f64::MAX, EngineModel::idle_pass_ms);
        usable
            .map(|(key, backend)| {
                let zone = &backend.announcement.zone;
                let health = self.health.get(&key);
                Candidate {
                    key,
                    slots: backend.announcement.slots,
                    load: self.load.summary(now, key),
                    avoided: backend.standing != Standing::Ready
                        || health.is_some_and(|health| health.is_paused(now))
                        || self.fleet.reaches(now, zone) == Some(false),
                    failure_rate: health.map_or(0.0, Health::failure_rate),
                    pace: health.map_or(1.0, |health| health.pace(now, idle_pass_ms)),
                    own_zone: *zone == self.identity.zone,
                }
            })
            .collect()
    }

    fn attempt(
        &mut self,
        now: Timestamp,
        req: &mut Request,
        plan: Plan,
        scheduling: Scheduling,
    ) -> Option<Attempt> {
        let addr = |key: BackendKey| Some(self.registry.get(key)?.announcement.addr);
        let backend = self.registry.get(plan.primary)?;
        let primary = backend.announcement.clone();
        let load = self.load.summary(now, plan.primary);
        tracing::info!(
            request = %req.spec.id,
            config_version = %req.admission.version,
            store_revision = self.store_revision,
            attempt = req.sent + req.unsent + 1,
            waited_ms = now.since(req.spec.received).get(),
            server = %primary.id,
            server_zone = %primary.zone,
            standing = %backend.standing,
            listed_ms = now.since(backend.since).get(),
            in_flight = load.in_flight,
            unread_ms = load.unread_ms as u64,
            tight_writers = load.tight_writers,
            helpers = plan.helpers.len(),
            backlog_ms = plan.backlog_ms as u64,
            part_ms = plan.part_ms as u64,
            expected_ms = plan.expected_ms as u64,
            behind_all_ms = plan.behind_all_ms as u64,
            turn = %scheduling,
            peers = self.fleet.live_peers(now).count(),
            "an attempt begins"
        );
        let helpers: Option<Vec<SocketAddr>> =
            plan.helpers.iter().map(|helper| addr(helper.key)).collect();
        let helpers = helpers?;
        self.attempts += 1;
        let id = AttemptId(self.attempts);
        let is_split = !plan.helpers.is_empty();
        let read_by = |load: &LoadBook, key: BackendKey| {
            is_split.then(|| {
                let unread_ms = load.summary(now, key).unread_ms + plan.part_ms;
                now + Millis::new(unread_ms as u64 * READ_PERCENT / 100)
            })
        };
        let work = Work {
            unread_ms: plan.part_ms,
            gap: req.admission.route.gap,
            memory: plan.memory,
            slot: true,
            deferred: scheduling == Scheduling::Deferred,
            read_by: read_by(&self.load, plan.primary),
        };
        self.load.place(plan.primary, id, work);
        for helper in &plan.helpers {
            let work = Work {
                unread_ms: plan.part_ms,
                gap: None,
                memory: helper.reserve.unwrap_or_default(),
                slot: false,
                deferred: false,
                read_by: read_by(&self.load, helper.key),
            };
            self.load.place(helper.key, id, work);
        }
        req.tried.push(plan.primary);
        Some(Attempt {
            id,
            plan,
            primary,
            helpers,
            scheduling,
            is_retry: req.sent > 0,
        })
    }

    /// Return whether an attempt may still be sent: the last check before the write.
    pub fn may_send(&self, now: Timestamp, req: &Request, attempt: &Attempt) -> bool {
        let version = self.config.as_ref().map(|config| config.version);
        let usable = self
            .registry
            .get(attempt.plan.primary)
            .is_some_and(|backend| backend.standing != Standing::Leaving);
        now < req.spec.deadline && version == Some(req.admission.version) && usable
    }

    /// Note that an attempt is being sent.
    pub fn on_sent(&mut self, req: &mut Request, attempt: &Attempt) {
        if req.again.take() != Some(attempt.plan.primary) {
            req.sent += 1;
        }
    }

    /// Take the time between two events of one stream of an engine, in milliseconds.
    pub fn on_pass(&mut self, now: Timestamp, key: BackendKey, pass_ms: f64) {
        self.health.entry(key).or_default().on_pass(now, pass_ms);
    }

    /// Note that an attempt that was being sent found its connection closed before the first byte.
    pub fn on_unsent(&mut self, req: &mut Request) {
        req.sent -= 1;
    }

    /// Return whether a request may leave the server that runs it for another one.
    pub fn may_abandon(&self, req: &Request) -> bool {
        let route = &req.admission.route;
        route.kind.may_repeat() && req.sent < route.max_attempts && !self.budget.is_empty()
    }

    /// Note that the first event of an attempt arrived.
    pub fn on_first_event(&mut self, attempt: &Attempt) {
        self.load.on_first_event(attempt.plan.keys(), attempt.id);
    }

    /// Note that no connection to a server can be opened, or that it is gone from the list.
    pub fn on_server_gone(&mut self, now: Timestamp, key: BackendKey) {
        self.urgent |= self.crashes.on_gone(now, key);
    }

    /// Note that the server at fault of an attempt is another one than the first.
    pub fn on_helper_fault(&mut self, now: Timestamp, addr: SocketAddr) {
        let key = self
            .registry
            .iter()
            .find(|(_, backend)| backend.announcement.addr == addr)
            .map(|(key, _)| key);
        if let Some(key) = key {
            let health = self.health.entry(key).or_default();
            health.record(now, Sign::Unreachable);
        }
    }

    /// Take the end of an attempt.
    pub fn on_attempt_end(
        &mut self,
        now: Timestamp,
        req: &mut Request,
        attempt: &Attempt,
        end: AttemptEnd,
    ) {
        self.load.end(attempt.plan.keys(), attempt.id);
        let execution = match end {
            AttemptEnd::NotSent
            | AttemptEnd::StaleConnection
            | AttemptEnd::Refused
            | AttemptEnd::WrongServer
            | AttemptEnd::HelperFailed => Execution::NotRun,
            AttemptEnd::Broken | AttemptEnd::Silent | AttemptEnd::Cancelled => Execution::Unknown,
            AttemptEnd::Completed | AttemptEnd::Failed => Execution::Ran,
        };
        req.worst_execution = req.worst_execution.max(execution);
        let sign = match end {
            AttemptEnd::Completed => Some(Sign::Good),
            AttemptEnd::Failed | AttemptEnd::Broken => Some(Sign::Bad),
            AttemptEnd::NotSent => Some(Sign::Unreachable),
            AttemptEnd::Silent => Some(Sign::Silent),
            AttemptEnd::StaleConnection
            | AttemptEnd::Refused
            | AttemptEnd::WrongServer
            | AttemptEnd::HelperFailed
            | AttemptEnd::Cancelled => None,
        };
        if end == AttemptEnd::NotSent {
            self.on_server_gone(now, attempt.plan.primary);
        }
        if let Some(sign) = sign {
            let health = self.health.entry(attempt.plan.primary).or_default();
            health.record(now, sign);
        }
        if end == AttemptEnd::HelperFailed {
            req.helper_failures += 1;
            req.again = Some(attempt.plan.primary);
        }
        match end {
            AttemptEnd::NotSent | AttemptEnd::StaleConnection => {
                req.unsent += 1;
                // No server saw it, so it did not add to the load.
                if attempt.is_retry {
                    self.budget.refund();
                }
            }
            AttemptEnd::Completed => self.crashes.on_finished(now, req.spec.signature),
            AttemptEnd::Broken => {
                self.crashes
                    .on_break(now, &attempt.primary, req.spec.signature);
            }
            _ => {}
        }
        if end == AttemptEnd::StaleConnection {
            // The server itself showed no fault.
            req.tried.pop();
        }
    }
}

/// Decide how a planned attempt is served. A stream that has begun goes on in any case.
fn schedule(now: Timestamp, req: &Request, plan: &Plan) -> Scheduling {
    let route = &req.admission.route;
    if req.delivering || !route.kind.is_stream() {
        return Scheduling::Now;
    }
    let expected = Millis::new(plan.expected_ms as u64);
    let behind_all = Millis::new(plan.behind_all_ms as u64);
    admission::schedule(route, expected, behind_all, now.until(req.spec.deadline))
}
