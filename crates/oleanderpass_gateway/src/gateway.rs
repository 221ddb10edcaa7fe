//! The entry point of this crate: combine the decisions of one entry instance.

use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use oleanderpass_membership::membership::Identity;
use oleanderpass_proto::peer::Bulletin;
use oleanderpass_proto::peer::Packet;
use oleanderpass_quarantine::evidence::Signature;
use oleanderpass_quarantine::parts::PartRule;
use oleanderpass_quarantine::parts::START_ARRIVALS;
use oleanderpass_quarantine::parts::START_TIME;
use oleanderpass_routing::rendezvous::node_key;
use oleanderpass_routing::rendezvous::weight;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Generation as Version;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::PromptPartId;
use oleanderpass_types::id::RegionId;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::id::ZoneId;
use oleanderpass_types::size::Tokens;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;
use strum::Display;

use crate::absence::Absence;
use crate::absence::Absences;
use crate::admission::Scheduling;
use crate::backend::Announcement;
use crate::backend::BackendKey;
use crate::cold::ColdBound;
use crate::cold::ColdServers;
use crate::cold::Instances;
use crate::config::Configuration;
use crate::config::Organisation;
use crate::configuration_source::ConfigurationSources;
use crate::copy_slots::CopySlots;
use crate::crashes::CrashTracker;
use crate::crashes::list;
use crate::drain::Drain;
use crate::engine::EngineModel;
use crate::evacuation;
use crate::evacuation::Evacuations;
use crate::evacuation::PeerEvacuation;
use crate::explain::Obstacle;
use crate::health::Health;
use crate::health::Observation;
use crate::hedge::Attempts;
use crate::homes::Homes;
use crate::lifetime::Lifetime;
use crate::load::AttemptId;
use crate::load::AttemptLoad;
use crate::load::LoadTracker;
use crate::outcome::Cause;
use crate::outcome::Execution;
use crate::outcome::may_retry;
use crate::outcome::status;
use crate::pace::Paces;
use crate::pace::RampCause;
use crate::pace::RampEnd;
use crate::pace::decode_pace;
use crate::pace::encode_pace;
use crate::pauses::Pauses;
use crate::peers::Fleet;
use crate::peers::MS_PER_S;
use crate::placement::Candidate;
use crate::placement::GenerationSpec;
use crate::placement::Plan;
use crate::placement::place_call;
use crate::placement::place_generation;
use crate::reach::Reach;
use crate::reach::Way;
use crate::registry::Backend;
use crate::registry::Change;
use crate::registry::ChangeKind;
use crate::registry::ListEntry;
use crate::registry::Registry;
use crate::registry::Standing;
use crate::retry_after;
use crate::retry_after::Wait;
use crate::retry_budgets::RetryBudgets;
use crate::route::Route;
use crate::server_limits::Allowance;
use crate::server_limits::ServerLimits;
use crate::server_limits::decode_limit;
use crate::server_limits::encode_limit;
use crate::store::Content;
use crate::store::LocalCopy;
use crate::store::OmittedConfiguration;
use crate::store::StoreItem;
use crate::store::StorePosition;

mod authorization;
mod copies;
mod decision;
mod notices;
mod readiness;
mod sending;
mod shortage;

pub use copies::ConfigurationRequest;
pub use copies::ServedConfiguration;
pub(crate) use decision::Decision;
pub(crate) use shortage::Shortage;

/// The number of attempts without a sent byte since the last event after which a request ends.
const MAX_UNSENT: u32 = 5;

/// The number of attempts that failed because of a helper after which the request ends.
const MAX_HELPER_FAILURES: u32 = 3;

/// The most peers that are tried for one connection to a server.
const MAX_RELAYS: usize = 3;

/// The largest number of leaving servers in one bulletin, and of unreachable ones.
const MAX_SERVERS_PER_LIST: usize = 16;

/// The time for which a leaving server is reported to peers.
const LEAVING_NOTICE_LIFETIME: Millis = Millis::from_secs(10);

/// The time that an engine takes for pending prefill, as a percentage of the estimate of the cost
/// model. The excess is for the token steps and passes of the streams that it decodes.
const PREFILL_TIME_PERCENT: u64 = 125;

/// The priority of the least urgent requests at engines. Source: the platform's protocol.
const LEAST_URGENT: u8 = 9;

/// The interval between two checks for expired state.
const EXPIRY_INTERVAL: Millis = Millis::new(250);

/// The published bounds on what the fleet sends to backend servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The number of retries that each request adds to the budget.
    pub retry_ratio: f64,
    /// The number of retries beyond the ratio that the published bound allows in one of its
    /// windows, for all instances together.
    pub retry_slack: u32,
    /// The longest time after the evacuation of an availability zone in which its servers may get
    /// requests.
    pub evacuation: Millis,
    /// The bound on the requests to a cold server.
    pub cold: ColdBound,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Rejection {
    /// No configuration or list of backend servers is known yet.
    NotReady,
    /// No route matches the host and path.
    NoRoute,
    /// No organisation holds the key.
    UnknownKey,
    /// The process may end before the request does.
    Stopping,
}

/// The terms under which a request is admitted.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The version of the configuration that admitted the request.
    pub version: Version,
    /// The route of the request.
    pub route: Rc<Route>,
    /// The organisation that holds the key, or `None` for an anonymous request.
    pub organisation: Option<Rc<Organisation>>,
    /// The service that runs the request.
    pub service: ServiceId,
}

impl Admission {
    /// Return the priority of the request at engines, or `None` if its answer is no stream. 0 is
    /// the most urgent. The least urgent priority is reserved for deferred requests.
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

/// The properties of a request that decide how it is served.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The id that the caller gave the request.
    pub id: SmolStr,
    /// The host that the request names.
    pub host: SmolStr,
    /// The path and query.
    pub path: SmolStr,
    /// The caller's key, if it sent one.
    pub key: Option<SmolStr>,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The largest number of tokens that may be generated.
    pub max_output: Tokens,
    /// The parts of the prompt that other prompts may have too.
    pub shared_parts: Vec<PromptPartId>,
    /// When the request arrived.
    pub received: Timestamp,
    /// The earlier one of the caller's deadline and the end of the route's timeout.
    pub deadline: Timestamp,
    /// A hash that is the same for requests with the same path, caller and body.
    pub signature: Signature,
}

/// How far one attempt got.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// The primary server.
    server: BackendKey,
    /// When the attempt began.
    begun: Timestamp,
    /// Whether the time to the first event is evidence of the server's pace already.
    is_judged: bool,
    /// Whether the server was sent the request.
    is_sent: bool,
    /// When the first event arrived.
    first: Option<Timestamp>,
    /// The number of arrivals of events.
    arrivals: u32,
    /// Whether the answer is known to have gone on after its start.
    goes_on: bool,
    /// Whether the server was within its window when the attempt began.
    had_room: bool,
}

/// A request in flight.
#[derive(Debug)]
pub struct Request {
    /// The properties of the request.
    pub spec: RequestSpec,
    /// The terms under which the request was admitted.
    pub admission: Admission,
    /// The number of backend servers that the request was sent to.
    pub sent: u32,
    /// The number of attempts that ended as [`AttemptEnd::NotSent`] or
    /// [`AttemptEnd::StaleConnection`], since the last event.
    pub unsent: u32,
    /// The highest [`Execution`] of all attempts.
    pub worst_execution: Execution,
    /// Whether a part of the answer was sent to the caller.
    pub delivering: bool,
    /// When the last event for the caller arrived.
    last_event: Option<Timestamp>,
    /// Whether a shortage was logged since the last attempt began or the last event arrived.
    is_shortage_logged: bool,
    /// The servers of earlier attempts.
    tried: Vec<BackendKey>,
    /// The server of the last attempt, if the attempt failed because of a helper. It may get the
    /// request again even if the route allows no further servers.
    retry_server: Option<BackendKey>,
    /// The number of attempts that failed because of a helper.
    helper_failures: u32,
    /// The random number that chose the service.
    draw: u32,
    /// Whether an idle connection turned out to be closed. Others may have been closed with it.
    met_stale_connection: bool,
    /// The attempts in flight.
    pub attempts: Attempts,
    /// How far the attempts in flight got.
    progress: IndexMap<AttemptId, Progress>,
    /// Whether the request tries out a refused part of its prompt.
    is_part_trial: bool,
}

impl Progress {
    /// Create the state of an attempt that begins.
    fn new(begun: Timestamp, server: BackendKey) -> Self {
        Self {
            server,
            begun,
            is_judged: false,
            had_room: true,
            is_sent: false,
            first: None,
            arrivals: 0,
            goes_on: false,
        }
    }
}

impl Request {
    /// Create the state of an admitted request that was sent to no server yet. `draw` is the random
    /// number that chose its service.
    pub(crate) fn new(spec: RequestSpec, admission: Admission, draw: u32) -> Self {
        Self {
            spec,
            admission,
            sent: 0,
            unsent: 0,
            worst_execution: Execution::NotRun,
            delivering: false,
            last_event: None,
            is_shortage_logged: false,
            tried: Vec::new(),
            retry_server: None,
            helper_failures: 0,
            draw,
            met_stale_connection: false,
            attempts: Attempts::default(),
            progress: IndexMap::new(),
            is_part_trial: false,
        }
    }

    /// Return what the request requires of an engine at `now`.
    pub(crate) fn generation(&self, now: Timestamp) -> GenerationSpec {
        GenerationSpec {
            objective_left: now.until(self.spec.received + self.admission.route.objective),
            prompt: self.spec.prompt,
            max_output: self.spec.max_output,
            gap: self.admission.route.gap,
            required_primary: self.retry_server,
        }
    }

    /// Return the highest [`Execution`] of all attempts, also of those in flight.
    fn execution(&self) -> Execution {
        if self.attempts.is_running() {
            self.worst_execution.max(Execution::Unknown)
        } else {
            self.worst_execution
        }
    }

    fn is_short(&self) -> bool {
        self.generation(self.spec.received).is_short()
    }
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The number of the attempt.
    pub id: AttemptId,
    /// The servers of the attempt and the expected times.
    pub plan: Plan,
    /// The server that gets the request.
    pub primary: Announcement,
    /// The addresses of the helpers, in the order of the plan.
    pub helpers: Vec<SocketAddr>,
    /// When the request is served, relative to others.
    pub scheduling: Scheduling,
    /// Whether the attempt needs a new connection. Any other may use an idle one.
    pub needs_new_connection: bool,
    /// Whether a retry was withdrawn from the retry budget for the attempt.
    pub is_retry: bool,
    /// Whether the attempt was counted against a limit on the request rate of the server.
    pub counts_against_limit: bool,
    /// The servers of the attempt whose rates as cold servers it was counted against.
    pub cold: Vec<BackendKey>,
}

/// What to do next with a request.
#[derive(Debug)]
pub enum Next {
    /// Make this attempt.
    Send(Box<Attempt>),
    /// Decide again at this time, because the engines have too much pending prefill, or because no
    /// server may get the request now.
    Wait(Timestamp),
    /// Answer the request without success.
    End {
        /// The HTTP status.
        status: u16,
        /// Why the request ends.
        cause: Cause,
        /// The time after which the caller may resend the request. `None` if the request may have
        /// run or is quarantined.
        retry_after: Option<Millis>,
    },
    /// The configuration in force no longer admits the request.
    Rejected(Rejection),
}

/// What rules out another attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
enum Bar {
    /// It was sent to as many servers as its route allows.
    Attempts,
    /// Too many attempts failed because of a helper.
    HelperFailures,
    /// Too many attempts reached no server.
    Unsent,
    /// It may have run, and its route doesn't allow a second run.
    Kind,
    /// The retry budget is used up.
    Budget,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptEnd {
    /// The server answered with success, and the whole answer arrived.
    Completed,
    /// The server could not be reached, and no byte of the request was sent.
    NotSent,
    /// No byte of the request was sent, and the server is not at fault: an idle connection turned
    /// out to be closed, or [`Gateway::may_send`] no longer allowed the attempt.
    StaleConnection,
    /// The server answered that it did not run the request.
    Refused,
    /// Another server has the address now.
    WrongServer,
    /// A helper refused to reserve memory, and nothing was sent.
    NoMemory,
    /// A helper is at fault, and the request did not run.
    HelperFailed,
    /// The server answered that the request failed.
    Failed,
    /// The connection broke, or the bytes were not an answer to this request.
    Broken,
    /// The answer didn't fit into the memory that is left for answers. It may be one without end.
    Oversized,
    /// The server stayed silent for too long.
    Silent,
    /// Another attempt, which ran beside this one, had something new for the caller first.
    Superseded,
    /// The caller closed its connection, or the deadline passed.
    Cancelled,
}

/// The state of one entry instance and the decisions based on it.
#[derive(Debug)]
pub struct Gateway {
    identity: Identity,
    bounds: Bounds,
    rng: Pcg64Mcg,
    config: Option<Rc<Configuration>>,
    registry: Registry,
    load: LoadTracker,
    health: IndexMap<BackendKey, Health>,
    fleet: Fleet,
    crashes: CrashTracker,
    server_limits: ServerLimits,
    pauses: Pauses,
    cold: ColdServers,
    paces: Paces,
    reach: Reach,
    absences: Absences,
    evacuations: Evacuations,
    homes: Homes,
    budgets: RetryBudgets,
    /// The number of attempts so far, which numbers the next one.
    attempts: u64,
    /// What was read from the platform's store, by this instance or by peers.
    store: LocalCopy,
    /// The last configuration that a peer's copy omitted.
    omitted: Option<OmittedConfiguration>,
    configuration_sources: ConfigurationSources,
    copy_slots: CopySlots,
    /// Whether this instance reads the store itself and can reach it.
    reads_store: bool,
    /// When servers began to leave, for bulletins.
    leaving_notices: Vec<(Timestamp, BackendKey)>,
    /// When expired state was last removed.
    last_expiry: Timestamp,
    /// Set once the instance has begun to drain.
    drain: Option<Drain>,
    /// Whether there are changes that no bulletin has reported yet.
    bulletin_pending: bool,
}

impl Gateway {
    /// Create the state of an instance that has just started. `seeds` are the addresses of
    /// instances to contact first; `seed` starts the random numbers and names the lifetime.
    pub fn new(
        now: Timestamp,
        identity: Identity,
        seeds: Vec<SocketAddr>,
        bounds: Bounds,
        seed: u64,
    ) -> Self {
        Self {
            fleet: Fleet::new(now, identity.clone(), Lifetime::new(seed), seeds),
            identity,
            bounds,
            rng: Pcg64Mcg::new(u128::from(seed)),
            config: None,
            registry: Registry::default(),
            load: LoadTracker::default(),
            health: IndexMap::new(),
            crashes: CrashTracker::default(),
            server_limits: ServerLimits::default(),
            pauses: Pauses::default(),
            cold: ColdServers::new(bounds.cold),
            paces: Paces::default(),
            reach: Reach::default(),
            absences: Absences::default(),
            evacuations: Evacuations::default(),
            homes: Homes::default(),
            budgets: RetryBudgets::new(bounds.retry_ratio, bounds.retry_slack),
            attempts: 0,
            store: LocalCopy::default(),
            omitted: None,
            configuration_sources: ConfigurationSources::default(),
            copy_slots: CopySlots::default(),
            reads_store: false,
            leaving_notices: Vec::new(),
            last_expiry: now,
            drain: None,
            bulletin_pending: false,
        }
    }

    /// Replace the bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        if bounds != self.bounds {
            self.bounds = bounds;
            self.cold.set_bound(bounds.cold);
            self.budgets
                .set_bounds(bounds.retry_ratio, bounds.retry_slack);
        }
    }

    /// Replace the region of each availability zone.
    pub fn set_zone_regions(&mut self, regions: IndexMap<ZoneId, RegionId>) {
        let zones = regions.len();
        if self.homes.set_regions(regions) {
            tracing::info!(zones, "the regions of availability zones changed");
        }
    }

    /// Return the regions of availability zones.
    pub fn homes(&self) -> &Homes {
        &self.homes
    }

    /// Return the identity of this instance in the fleet.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Return the configuration in force, or `None` before the first one was read.
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

    /// Return whether the instance has begun to drain.
    pub fn is_draining(&self) -> bool {
        self.drain.is_some()
    }

    /// Begin to drain, so that the balancer sends callers to other instances. The process ends at
    /// `end`.
    pub fn begin_drain(
        &mut self,
        now: Timestamp,
        end: Timestamp,
        out: &mut Vec<(SocketAddr, Packet)>,
    ) {
        self.drain = Some(Drain { began: now, end });
        self.fleet.leave(now, &mut self.rng, out);
    }

    /// Put a configuration in force unless the one in force is at least as new. Return whether it
    /// was put in force.
    pub fn on_configuration(&mut self, config: Configuration) -> bool {
        let previous = self.config.as_ref().map(|config| config.version);
        if previous.is_some_and(|previous| previous >= config.version) {
            return false;
        }
        tracing::info!(
            version = %config.version,
            previous = previous.map_or(0, Version::get),
            routes = config.route_count(),
            "configuration in force"
        );
        self.cold.on_configuration(&config);
        let services = &config.services;
        self.budgets
            .retain(|service| services.contains_key(service));
        self.config = Some(Rc::new(config));
        self.bulletin_pending = true;
        true
    }

    /// Return the newest position of the store that this instance has read.
    pub fn store_position(&self) -> StorePosition {
        self.store.position()
    }

    /// Record that all changes up to this position of the store have been read.
    pub fn on_store_position(&mut self, position: StorePosition) {
        self.store.advance(position);
    }

    /// Apply an item of the store, or its removal, that changed at an unknown time.
    pub fn on_store_item(&mut self, now: Timestamp, item: StoreItem) {
        self.on_store_change(now, item, None);
    }

    /// Apply a changed or removed item of the store. The configuration stays in force, and in the
    /// copy for peers, if the new one is older or invalid or was removed. `age` is the longest time
    /// since the change, if it is known.
    pub fn on_store_change(&mut self, now: Timestamp, item: StoreItem, age: Option<Millis>) {
        if let Content::Configuration(config) = &item.content {
            let in_force = self.config_version();
            if config
                .as_ref()
                .is_none_or(|config| config.version.get() < in_force)
            {
                tracing::info!(
                    version = config.as_ref().map(|config| config.version.get()),
                    in_force,
                    store_era = item.position.era,
                    store_revision = item.position.revision,
                    "a configuration was passed over"
                );
                return;
            }
        }
        self.store.apply(&item);
        match item.content {
            Content::Configuration(Some(config)) => {
                self.on_configuration(config);
            }
            Content::Server(id, _) if item.value.is_none() => {
                self.on_entry_removed(now, id, item.position);
            }
            Content::Server(id, entry) => self.on_entry(now, id, item.position, entry),
            Content::Evacuation(zone) => {
                let (key, position) = (&item.key, item.position);
                let change = match item.value {
                    Some(_) => self.evacuations.apply_write(now, &zone, key, position, age),
                    None => self.evacuations.apply_removal(now, &zone, key, position),
                };
                self.apply_evacuation_changes(now, change);
            }
            Content::Configuration(None) | Content::Other => {}
        }
    }

    /// Apply the end of a whole list of the store that was read at `position` and has the
    /// evacuations of the zones `listed`, which are applied already.
    pub fn on_evacuation_list(
        &mut self,
        now: Timestamp,
        position: StorePosition,
        listed: &[ZoneId],
    ) {
        let changes = self.evacuations.apply_absence(now, position, listed);
        self.apply_evacuation_changes(now, changes);
    }

    /// Apply all evacuations that a peer knows at a position of the store.
    pub fn on_peer_evacuations(
        &mut self,
        now: Timestamp,
        position: StorePosition,
        evacuations: &[PeerEvacuation],
    ) {
        for evacuation in evacuations {
            let change = self.evacuations.apply_peer(now, evacuation);
            self.apply_evacuation_changes(now, change);
        }
        let known: Vec<ZoneId> = evacuations.iter().map(|e| e.zone.clone()).collect();
        self.on_evacuation_list(now, position, &known);
    }

    /// Log changes of evacuations and pass on which zones are taken back.
    fn apply_evacuation_changes(
        &mut self,
        now: Timestamp,
        changes: impl IntoIterator<Item = evacuation::Change>,
    ) {
        let mut taken_back = Vec::new();
        for change in changes {
            let servers = self.registry.iter();
            let servers = servers.filter(|(_, b)| b.announcement.zone == change.zone);
            tracing::info!(
                zone = %change.zone,
                change = %change.kind,
                store_era = change.position.era,
                store_revision = change.position.revision,
                age_ms = change.age.map(Millis::get),
                bound_ms = self.bounds.evacuation.get(),
                servers = servers.count(),
                "the evacuation of an availability zone changed"
            );
            if change.kind == evacuation::ChangeKind::Revoked {
                taken_back.push(change.zone);
            }
        }
        if !taken_back.is_empty() {
            self.on_zones_taken_back(now, &taken_back);
        }
    }

    /// Record that the evacuations of zones were revoked.
    fn on_zones_taken_back(&mut self, now: Timestamp, zones: &[ZoneId]) {
        for zone in zones {
            tracing::info!(%zone, "the servers of an availability zone get new work again");
            self.on_zone_revoked(now, zone);
        }
    }

    /// Return the evacuations that this instance knows.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Return whether a listed server may get new work as far as the evacuation of its zone is
    /// concerned.
    pub fn accepts(&self, now: Timestamp, key: BackendKey) -> bool {
        let bound = self.bounds.evacuation;
        self.registry.get(key).is_none_or(|backend| {
            let zone = &backend.announcement.zone;
            self.evacuations.accepts(now, key, zone, bound)
        })
    }

    /// Replace all backend servers by the items of a list that was read at `position`.
    pub fn on_store_list(
        &mut self,
        now: Timestamp,
        position: StorePosition,
        items: Vec<StoreItem>,
    ) {
        self.store.replace_servers(position, &items);
        let list = items.into_iter().filter_map(|item| match item.content {
            Content::Server(id, entry) => Some((id, item.position, entry)),
            Content::Configuration(_) | Content::Evacuation(_) | Content::Other => None,
        });
        self.on_list(now, position, list.collect());
    }

    /// Return the version of the configuration in force, or 0 before the first one was read.
    fn config_version(&self) -> u64 {
        let config = self.config.as_ref();
        config.map_or(0, |config| config.version.get())
    }

    /// Record whether this instance reads the store itself and can reach it.
    pub fn set_reads_store(&mut self, reads: bool) {
        self.bulletin_pending |= reads != self.reads_store;
        self.reads_store = reads;
    }

    /// Return whether this instance is one of those that should read the store for their
    /// availability zone.
    pub fn is_reader(&self, now: Timestamp) -> bool {
        self.fleet.is_reader(now)
    }

    /// Record that the store answers again after an outage.
    pub fn on_store_recovered(&mut self, now: Timestamp) {
        self.registry.on_store_recovered(now);
    }

    /// Apply a whole list of backend servers that was read at `position`. Each entry comes with the
    /// position of its last change.
    pub fn on_list(
        &mut self,
        now: Timestamp,
        position: impl Into<StorePosition>,
        list: Vec<(BackendServerId, StorePosition, ListEntry)>,
    ) {
        let changes = self.registry.apply_list(now, position, list);
        self.apply_changes(now, &changes);
    }

    /// Apply one changed entry of the list of backend servers.
    pub fn on_entry(
        &mut self,
        now: Timestamp,
        id: BackendServerId,
        position: impl Into<StorePosition>,
        entry: ListEntry,
    ) {
        let mut changes = Vec::new();
        self.registry
            .apply_entry(now, id, position, entry, &mut changes);
        self.apply_changes(now, &changes);
    }

    /// Apply the removal of an entry of the list of backend servers.
    pub fn on_entry_removed(
        &mut self,
        now: Timestamp,
        id: BackendServerId,
        position: impl Into<StorePosition>,
    ) {
        let mut changes = Vec::new();
        self.registry.apply_removal(now, id, position, &mut changes);
        self.apply_changes(now, &changes);
    }

    /// Log changes of backend servers and pass them on to the other parts.
    fn apply_changes(&mut self, now: Timestamp, changes: &[Change]) {
        for (key, is_new) in self.registry.take_announced() {
            if let Some(backend) = self.registry.get(key) {
                self.cold.on_entry(now, &backend.announcement, is_new);
                if is_new {
                    self.start_ramp(now, key, RampCause::Started);
                }
            }
        }
        for change in changes {
            tracing::info!(
                server = %change.id,
                change = %change.kind,
                store_era = self.store_position().era,
                store_revision = self.store_position().revision,
                "a backend server changed"
            );
            match change.kind {
                ChangeKind::Draining => {
                    self.leaving_notices.push((now, change.key));
                    self.bulletin_pending = true;
                }
                ChangeKind::Removed => {
                    self.bulletin_pending |= self.crashes.on_server_gone(now, change.key);
                    self.health.swap_remove(&change.key);
                    self.server_limits.remove(change.key);
                    self.pauses.remove(change.key);
                    self.cold.remove(change.key);
                    self.paces.remove(now, change.key);
                    self.reach.remove(change.key);
                    self.absences.remove(change.key);
                }
                ChangeKind::Vanished => {
                    self.bulletin_pending |= self.crashes.on_server_gone(now, change.key);
                }
                ChangeKind::Listed | ChangeKind::Unconfirmed => {}
            }
        }
        let is_listed = |change: &Change| change.kind == ChangeKind::Listed;
        if changes.iter().any(is_listed) {
            self.apply_returns(now);
        }
    }

    /// Handle a datagram from a peer. Datagrams to send are appended to `out`.
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
            .on_peer_evidence(now, &packet.crashes, cleared.unwrap_or_default());
        let update = self
            .fleet
            .on_packet(now, source, packet, &mut self.rng, out);
        let Some(update) = update else {
            return;
        };
        if let Some(bulletin) = &packet.bulletin {
            self.crashes.on_peer_parts(now, bulletin);
            for limit in &bulletin.server_limits {
                self.server_limits.on_report(now, &decode_limit(limit));
            }
            for report in bulletin.paces.iter().map(decode_pace) {
                // A server that answers here went on while the peer didn't reach it.
                let health = self.health.get(&report.key);
                if let Some(backend) = self.registry.get(report.key)
                    && self.is_paced(&backend.announcement.service)
                    && (self.paces.window(report.key).is_some()
                        || !health.is_some_and(|health| health.shows_life(now)))
                {
                    let entry = &backend.announcement;
                    self.paces.on_report(now, &update.from, entry, &report);
                }
            }
        }
        if update.appeared {
            self.crashes.on_new_peer();
        }
        self.budgets.set_instances(self.fleet.max_size());
        let is_newer = self.load.on_bulletin(
            now,
            update.from.clone(),
            update.sequence,
            update.placed,
            update.long_prompt_load,
        );
        if is_newer {
            let mut changes = Vec::new();
            for key in update.leaving {
                self.registry.on_leaving(now, key, &mut changes);
            }
            for key in update.unreachable {
                if self.registry.get(key).is_some() {
                    self.health.entry(key).or_default().on_peer_report(now);
                }
            }
            let own = &self.identity.id;
            self.absences.on_report(now, own, update.from, update.gone);
            self.apply_changes(now, &changes);
            self.apply_returns(now);
        }
    }

    /// Remove expired state and send what is due. Expected every 100 ms.
    pub fn on_tick(&mut self, now: Timestamp, out: &mut Vec<(SocketAddr, Packet)>) {
        self.fleet.on_tick(now, &mut self.rng, out);
        let elapsed = now.since(self.last_expiry);
        if elapsed >= EXPIRY_INTERVAL {
            self.last_expiry = now;
            self.health.values_mut().for_each(|h| h.decay(elapsed));
            self.load.tick(now);
            self.crashes.tick(now);
            self.pauses.tick(now);
            self.absences.tick(now);
            let own = node_key(self.identity.id.as_str());
            let peers = self.fleet.live_peers(now);
            let peers: Vec<u64> = peers.map(|(id, _)| node_key(id.as_str())).collect();
            self.server_limits.tick(now, own, &peers);
            self.apply_returns(now);
            let instances = self.instances(now);
            self.cold.tick(now, instances);
            self.paces.tick(now);
            let mut changes = Vec::new();
            self.registry.tick(now, &mut changes);
            self.apply_changes(now, &changes);
            self.leaving_notices
                .retain(|(at, _)| now.since(*at) < LEAVING_NOTICE_LIFETIME);
        }
        self.send_bulletin(now, out);
    }

    /// Return the instances that share the rates of cold servers.
    fn instances(&self, now: Timestamp) -> Instances {
        let node = |id: &InstanceId, zone: &ZoneId| (node_key(id.as_str()), zone.clone());
        let others = self.fleet.heard_of(now);
        Instances {
            own: Some(node(&self.identity.id, &self.identity.zone)),
            others: others.map(|(id, peer)| node(id, &peer.zone)).collect(),
            acquaintance: self.fleet.acquaintance(now),
        }
    }

    /// Note which servers respond again after they were gone.
    fn apply_returns(&mut self, now: Timestamp) {
        let health = &self.health;
        let shows_life = |key| health.get(&key).is_some_and(|h| h.shows_life(now));
        let is_listed = |key| self.registry.get(key).is_some();
        for key in self.absences.take_returned(now, shows_life, is_listed) {
            if let Some(backend) = self.registry.get(key) {
                self.cold.on_returned(now, &backend.announcement);
            }
            self.start_ramp(now, key, RampCause::Returned);
        }
    }

    /// Begin the ramp of a server that has started or recovered, if its service asks for it.
    fn start_ramp(&mut self, now: Timestamp, key: BackendKey, cause: RampCause) {
        if let Some(backend) = self.registry.get(key)
            && self.is_paced(&backend.announcement.service)
        {
            self.paces.on_start(now, &backend.announcement, cause);
        }
    }

    /// Begin the ramps of all servers of an availability zone.
    fn start_ramps(&mut self, now: Timestamp, zone: &ZoneId, cause: RampCause) {
        let servers = self.registry.iter();
        let in_zone = servers.filter(|(_, backend)| backend.announcement.zone == *zone);
        let keys: Vec<BackendKey> = in_zone.map(|(key, _)| key).collect();
        for key in keys {
            self.start_ramp(now, key, cause);
        }
    }

    /// Return whether servers of a service get load gradually after a start. Those of services
    /// without terms of cold servers are served as if there were no ramps.
    fn is_paced(&self, service: &ServiceId) -> bool {
        let config = self.config.as_ref();
        let service = config.and_then(|config| config.services.get(service));
        service.is_some_and(|service| service.cold.is_some())
    }

    /// Record that the evacuation of an availability zone was revoked.
    pub fn on_zone_revoked(&mut self, now: Timestamp, zone: &ZoneId) {
        let servers = self.registry.iter().map(|(_, backend)| backend);
        for backend in servers.filter(|backend| backend.announcement.zone == *zone) {
            self.cold.on_zone_returned(now, &backend.announcement);
        }
        self.start_ramps(now, zone, RampCause::ZoneReturned);
    }

    /// Return whether the limits on a server's request rate allow a request.
    fn allowance(&self, now: Timestamp, key: BackendKey) -> Allowance {
        let named = self.server_limits.allowance(now, key);
        named
            .and(self.cold.allowance(now, key))
            .and(self.pauses.allowance(now, key))
    }

    /// Send a bulletin to peers if one is due. It is due sooner if something has changed.
    pub fn send_bulletin(&mut self, now: Timestamp, out: &mut Vec<(SocketAddr, Packet)>) {
        let changed = self.load.take_changed();
        self.bulletin_pending |= changed;
        if !self.fleet.is_due(now, self.bulletin_pending) {
            return;
        }
        let (crashes, cleared) = self.crashes.next_evidence(now);
        let leaving = self.leaving_notices.iter().rev().take(MAX_SERVERS_PER_LIST);
        let mut bulletin = Bulletin {
            store_era: self.store_position().era,
            store_revision: self.store_position().revision,
            config_version: self.config_version(),
            leaving: leaving.map(|(_, key)| key.0).collect(),
            unreachable: self
                .health
                .iter()
                .filter(|(_, health)| health.is_paused_by_own_requests(now))
                .take(MAX_SERVERS_PER_LIST)
                .map(|(key, _)| key.0)
                .collect(),
            gone: self.reported_gone(),
            reads_store: self.reads_store,
            relays: !self.reach.is_isolated() && self.drain.is_none(),
            cleared,
            earlier_evacuations: self.evacuations.earlier_hash(self.store_position().era),
            long_read_ms_per_s: (self.load.own_long_prompt_load(now) * MS_PER_S) as u32,
            ..Bulletin::default()
        };
        self.crashes.report_parts(now, &mut bulletin);
        let limits = self.server_limits.next_reports(now);
        bulletin.server_limits = limits.iter().map(encode_limit).collect();
        let paces = self.paces.next_reports(now);
        bulletin.paces = paces.iter().map(encode_pace).collect();
        self.bulletin_pending = self.crashes.has_unsent_parts();
        self.fleet
            .send_bulletin(now, bulletin, crashes, self.load.placed(now), out);
    }

    /// Return when a bulletin with changes may be sent.
    pub fn next_bulletin(&self) -> Timestamp {
        self.fleet.next_with_changes()
    }

    /// Return the servers to report as gone. An instance without links to servers knows nothing of
    /// them.
    fn reported_gone(&self) -> Vec<u64> {
        let findings = self.absences.findings();
        let reported = findings.filter(|_| !self.reach.is_lost());
        reported
            .take(MAX_SERVERS_PER_LIST)
            .map(|key| key.0)
            .collect()
    }

    /// Return whether a server is gone although it is listed. One that sends something to this
    /// instance isn't, whatever peers report.
    pub fn is_gone(&self, now: Timestamp, key: BackendKey) -> bool {
        let health = self.health.get(&key);
        self.absences.is_gone(now, key) && !health.is_some_and(|health| health.shows_life(now))
    }

    /// Return the servers to which a connection has to be tried, to see whether they are back.
    pub fn take_due_probes(&mut self, now: Timestamp) -> Vec<(BackendKey, SocketAddr)> {
        let due = self.absences.take_due_probes(now);
        let due = due.into_iter().filter(|key| self.accepts(now, *key));
        let listed = due.filter_map(|key| {
            let backend = self.registry.get(key)?;
            Some((key, backend.announcement.addr))
        });
        listed.collect()
    }

    /// Begin to serve an admitted request. `draw` is the random number that chose its service.
    pub fn begin(&mut self, spec: RequestSpec, admission: Admission, draw: u32) -> Request {
        self.budgets.deposit(&admission.service);
        let now = spec.received;
        let req = Request::new(spec, admission, draw);
        let engine = self
            .config
            .as_ref()
            .and_then(|config| config.engine(&req.admission.service));
        if let Some(engine) = engine
            && !req.is_short()
        {
            self.load
                .record_long_prompt(now, engine.prefill_ms(req.spec.prompt, 1));
        }
        req
    }

    /// Return a random number for the choice of a service.
    pub fn draw(&mut self) -> u32 {
        self.rng.random()
    }

    /// Return an attempt to run beside one whose server is silent, or `None` if no other server can
    /// get the request now. The silent attempt goes on in either case.
    pub fn hedge(&mut self, now: Timestamp, req: &mut Request) -> Option<Box<Attempt>> {
        let is_due = req.attempts.hedge_due(now).is_some_and(|due| due <= now);
        if is_due
            && self.may_hedge(req)
            && let Next::Send(attempt) = self.next(now, req)
        {
            return Some(attempt);
        }
        req.attempts.on_no_hedge(now);
        None
    }

    /// Decide what to do with a request that has no attempt in flight.
    pub fn next(&mut self, now: Timestamp, req: &mut Request) -> Next {
        if let Err(rejection) = self.reauthorize(req) {
            return Next::Rejected(rejection);
        }
        if now >= req.spec.deadline {
            return self.end_request(now, req, Cause::Timeout);
        }
        if self.crashes.refuses(now, req.spec.signature) || !self.admits_parts(now, req) {
            return self.end_request(now, req, Cause::Quarantined);
        }
        let is_retry = req.sent > 0;
        if req.sent < req.admission.route.max_attempts {
            // The route allows a further server, so the retry is not bound to the last one.
            req.retry_server = None;
        }
        let service = req.admission.service.clone();
        let bar = bar(req, &req.admission.route)
            .or_else(|| (is_retry && !self.budgets.withdraw(&service)).then_some(Bar::Budget));
        if let Some(bar) = bar {
            tracing::info!(
                request = %req.spec.id,
                %bar,
                sent = req.sent,
                unsent = req.unsent,
                execution = %req.worst_execution,
                delivering = req.delivering,
                "no further attempt is allowed"
            );
            return self.end_request(now, req, Cause::AttemptFailed);
        }
        let mut rng = self.rng.clone();
        let decision = self.decide(now, req, &mut rng);
        self.rng = rng;
        if is_retry && !matches!(decision, Decision::Send { .. }) {
            self.budgets.refund(&service);
        }
        match decision {
            Decision::Send { plan, scheduling } => {
                match self.begin_attempt(now, req, plan, scheduling) {
                    Some(attempt) => Next::Send(Box::new(attempt)),
                    None => self.end_request(now, req, Cause::NoCapacity),
                }
            }
            Decision::Wait { at, .. } => self.wait_until(now, req, at),
            Decision::WaitToResume(allowed_in) => self.wait_to_resume(now, req, allowed_in),
            Decision::Refuse {
                shortage,
                expected_ms,
                wait,
                ..
            } => {
                if shortage == Shortage::Homes {
                    self.homes.on_refused();
                }
                self.log_shortage(now, req, shortage, expected_ms);
                self.end_after(now, req, Cause::NoCapacity, wait)
            }
        }
    }

    /// Return whether no part of the request's prompt is refused, or whether the request is a trial
    /// of a refused part. A trial is sent to one server only.
    fn admits_parts(&mut self, now: Timestamp, req: &mut Request) -> bool {
        if req.is_part_trial {
            return req.sent == 0 || !self.crashes.refuses_part(&req.spec.shared_parts);
        }
        let rule = self.crashes.part_rule(now, &req.spec.shared_parts, |part| {
            self.runs_trials(now, part)
        });
        match rule {
            PartRule::Allowed => true,
            PartRule::Refused(_) => false,
            PartRule::TrialDue(part) => {
                tracing::info!(request = %req.spec.id, %part, "a refused prompt part is tried again");
                self.crashes.on_part_trial(now, part);
                req.is_part_trial = true;
                true
            }
        }
    }

    /// Return whether this instance is the one of all live instances that tries a refused part
    /// again.
    fn runs_trials(&self, now: Timestamp, part: PromptPartId) -> bool {
        let rank = |id: &InstanceId| (weight(part.get(), node_key(id.as_str())), id.clone());
        let own = rank(&self.identity.id);
        self.fleet.live_peers(now).all(|(id, _)| rank(id) < own)
    }

    /// Let a request wait until a time. A draining instance that would not admit the request any more
    /// hands it back instead if nothing of it ran, because another instance has more time for it.
    fn wait_until(&self, now: Timestamp, req: &Request, at: Timestamp) -> Next {
        let drain = self.drain.as_ref();
        let stops = drain.is_some_and(|drain| !drain.admits(now, &req.admission.route));
        if stops && req.worst_execution == Execution::NotRun {
            return Next::Rejected(Rejection::Stopping);
        }
        Next::Wait(at)
    }

    /// Choose the status and the wait for a request that ends without success.
    fn end_request(&mut self, now: Timestamp, req: &Request, cause: Cause) -> Next {
        let expected = match cause {
            // The objective stands for the time until a server has capacity.
            Cause::NoCapacity => req.admission.route.objective,
            _ => Millis::ZERO,
        };
        self.end_after(now, req, cause, Wait::About(expected))
    }

    /// End a request without success. If it did not run, its caller may resend it after about
    /// `expected`.
    fn end_after(&mut self, now: Timestamp, req: &Request, cause: Cause, expected: Wait) -> Next {
        end(now, req, cause, expected, &mut self.rng)
    }

    /// Choose the servers of the next attempt. Servers that were not tried are preferred, and those
    /// within their windows if `uses_windows` is set.
    fn place(
        &self,
        now: Timestamp,
        req: &Request,
        uses_windows: bool,
        rng: &mut Pcg64Mcg,
    ) -> Option<Plan> {
        let service = &req.admission.service;
        let mut candidates = self.candidates(now, &req.admission);
        if !uses_windows {
            candidates.iter_mut().for_each(|c| c.window = c.slots);
        }
        let untried = |c: &Candidate| req.retry_server.is_some() || !req.tried.contains(&c.key);
        candidates.retain(|c| req.progress.values().all(|other| other.server != c.key));
        if candidates.iter().any(untried) {
            candidates.retain(untried);
        }
        let config = self.config.clone()?;
        match config.engine(service) {
            Some(engine) => {
                let generation = req.generation(now);
                let long_prompt_load = self.load.long_prompt_load(now);
                place_generation(engine, &candidates, &generation, long_prompt_load, rng)
            }
            None => place_call(&candidates, rng),
        }
    }

    /// Return whether the evacuation of its zone and the home regions of a request allow a server.
    fn may_use(
        &self,
        now: Timestamp,
        admission: &Admission,
        key: BackendKey,
        backend: &Backend,
    ) -> bool {
        self.zone_obstacle(now, admission, key, backend).is_none()
    }

    /// Return why a request may not use a server because of the server's availability zone.
    fn zone_obstacle(
        &self,
        now: Timestamp,
        admission: &Admission,
        key: BackendKey,
        backend: &Backend,
    ) -> Option<Obstacle> {
        let zone = &backend.announcement.zone;
        let bound = self.bounds.evacuation;
        if !self.evacuations.accepts(now, key, zone, bound) {
            Some(Obstacle::Evacuated)
        } else if !self.homes.allows(admission, zone) {
            Some(Obstacle::Homes)
        } else {
            None
        }
    }

    /// Return the servers that may run a request.
    fn candidates(&self, now: Timestamp, admission: &Admission) -> Vec<Candidate> {
        let assessed = self.assess_servers(now, admission);
        assessed
            .filter_map(|(_, assessment)| assessment.ok())
            .collect()
    }

    /// Iterate over all servers of the service of a request, each as a candidate or with what rules
    /// it out.
    pub(crate) fn assess_servers<'a>(
        &'a self,
        now: Timestamp,
        admission: &'a Admission,
    ) -> impl Iterator<Item = (&'a Backend, Result<Candidate, Obstacle>)> {
        let service = &admission.service;
        let mut usable = self.registry.usable(now, service);
        // If all that the request may use are gone, peers or this instance may be wrong about them.
        let some_present = usable.any(|(key, backend)| {
            self.may_use(now, admission, key, backend) && !self.is_gone(now, key)
        });
        let engine = self.config.as_ref().and_then(|c| c.engine(service));
        self.registry.servers(service).map(move |(key, backend)| {
            let candidate = match self.ruled_out(now, admission, key, backend, some_present) {
                Some(obstacle) => Err(obstacle),
                None => Ok(self.candidate(now, key, backend, engine)),
            };
            (backend, candidate)
        })
    }

    /// Return what rules a server out, or `None` if it may get the request. `some_present` tells
    /// whether some servers that the request may use are not gone.
    fn ruled_out(
        &self,
        now: Timestamp,
        admission: &Admission,
        key: BackendKey,
        backend: &Backend,
        some_present: bool,
    ) -> Option<Obstacle> {
        if !backend.standing.is_usable(now) {
            return Some(Obstacle::Standing);
        }
        let zone_obstacle = self.zone_obstacle(now, admission, key, backend);
        if zone_obstacle.is_some() {
            return zone_obstacle;
        }
        if some_present && self.is_gone(now, key) {
            return Some(Obstacle::Gone);
        }
        if !self.pauses.allowance(now, key).allows_now() {
            return Some(Obstacle::PauseAsked);
        }
        if !self.server_limits.allowance(now, key).allows_now() {
            return Some(Obstacle::Limit);
        }
        if !self.cold.allowance(now, key).allows_now() {
            return Some(Obstacle::Cold);
        }
        None
    }

    /// Return why a server is used only if no other one can run the attempt, or `None` if it isn't
    /// so.
    pub(crate) fn avoidance(&self, now: Timestamp, backend: &Backend) -> Option<Obstacle> {
        let entry = &backend.announcement;
        let health = self.health.get(&entry.key());
        if backend.standing != Standing::Ready {
            Some(Obstacle::Standing)
        } else if health.is_some_and(|health| health.is_paused(now)) {
            Some(Obstacle::Paused)
        } else if self.fleet.reaches_zone(now, &entry.zone) == Some(false) {
            Some(Obstacle::ZoneNotReached)
        } else {
            None
        }
    }

    /// Return a server as a candidate for an attempt. `engine` is the cost model of its service.
    fn candidate(
        &self,
        now: Timestamp,
        key: BackendKey,
        backend: &Backend,
        engine: Option<&EngineModel>,
    ) -> Candidate {
        // Without a cost model, as for plain services, the slowdown is always 1.
        let decode_pass_ms = engine.map_or(f64::MAX, EngineModel::decode_pass_ms);
        let memory = engine.map_or(Tokens::ZERO, |engine| engine.memory);
        let health = self.health.get(&key);
        let mut load = self.load.backend_load(now, key);
        if health.is_some_and(|health| health.lacks_memory(now)) {
            load.memory = load.memory.max(memory);
        }
        Candidate {
            key,
            slots: backend.announcement.slots,
            window: self.paces.window(key).unwrap_or(backend.announcement.slots),
            load,
            avoided: self.avoidance(now, backend).is_some(),
            failure_rate: health.map_or(0.0, Health::failure_rate),
            slowdown: health.map_or(1.0, |health| health.slowdown(now, decode_pass_ms)),
            own_zone: backend.announcement.zone == self.identity.zone,
        }
    }

    /// Return a copy of the random generator, for decisions that leave the state as it is.
    pub(crate) fn cloned_rng(&self) -> Pcg64Mcg {
        self.rng.clone()
    }

    /// Begin a planned attempt. Return `None` if one of its servers was removed.
    fn begin_attempt(
        &mut self,
        now: Timestamp,
        req: &mut Request,
        plan: Plan,
        scheduling: Scheduling,
    ) -> Option<Attempt> {
        let addr = |key: BackendKey| Some(self.registry.get(key)?.announcement.addr);
        let backend = self.registry.get(plan.primary)?;
        let primary = backend.announcement.clone();
        let load = self.load.backend_load(now, plan.primary);
        tracing::info!(
            request = %req.spec.id,
            config_version = %req.admission.version,
            store_revision = self.store_position().revision,
            attempt = req.sent + req.unsent + 1,
            waited_ms = now.since(req.spec.received).get(),
            server = %primary.id,
            server_zone = %primary.zone,
            standing = %backend.standing,
            listed_ms = now.since(backend.since).get(),
            parts = %list(&req.spec.shared_parts),
            crashes = self.crashes.crash_count(now, req.spec.signature),
            limit_per_s = self.server_limits.get(plan.primary).map(|(rate, _)| rate.per_second()),
            in_flight = load.in_flight,
            unread_ms = load.unread_ms as u64,
            memory_tokens = load.memory.get(),
            own_memory_tokens = plan.memory.get(),
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
        let prefill_end = |load: &LoadTracker, key: BackendKey| {
            is_split.then(|| {
                let unread_ms = load.backend_load(now, key).unread_ms + plan.part_ms;
                now + Millis::new(unread_ms as u64 * PREFILL_TIME_PERCENT / 100)
            })
        };
        let primary_load = AttemptLoad {
            unread_ms: plan.part_ms,
            gap: req.admission.route.gap,
            memory: plan.memory,
            takes_slot: true,
            deferred: scheduling == Scheduling::Deferred,
            prefill_end: prefill_end(&self.load, plan.primary),
        };
        self.load.add(plan.primary, id, primary_load);
        for helper in &plan.helpers {
            let helper_load = AttemptLoad {
                unread_ms: plan.part_ms,
                gap: None,
                memory: helper.reserve.unwrap_or_default(),
                takes_slot: false,
                deferred: false,
                prefill_end: prefill_end(&self.load, helper.key),
            };
            self.load.add(helper.key, id, helper_load);
        }
        req.tried.push(plan.primary);
        req.is_shortage_logged = false;
        req.attempts.begin(id);
        let window = self.paces.window(plan.primary);
        let progress = Progress {
            had_room: window.is_none_or(|window| load.in_flight < window),
            ..Progress::new(now, plan.primary)
        };
        req.progress.insert(id, progress);
        let counts_against_limit = self.server_limits.take(now, plan.primary);
        plan.keys().for_each(|key| self.pauses.take(now, key));
        // Helpers prefill parts of the prompt, which count as requests.
        let cold = plan.keys().filter(|key| self.cold.take(now, *key));
        let cold = cold.collect();
        Some(Attempt {
            id,
            plan,
            primary,
            helpers,
            scheduling,
            // An idle connection may have been cut without notice, and a request that may not be
            // repeated would be lost with it.
            needs_new_connection: req.met_stale_connection
                || !req.admission.route.kind.may_repeat(),
            is_retry: req.sent > 0,
            counts_against_limit,
            cold,
        })
    }

    /// Record that an attempt is being sent.
    pub fn on_sent(&mut self, req: &mut Request, attempt: &Attempt) {
        if req.retry_server.take() != Some(attempt.plan.primary) {
            req.sent += 1;
        }
        if let Some(progress) = req.progress.get_mut(&attempt.id) {
            progress.is_sent = true;
        }
    }

    /// Record the time between two events of one stream, in milliseconds. It is about the time of
    /// one pass of the engine.
    pub fn on_pass(&mut self, now: Timestamp, key: BackendKey, pass_ms: f64) {
        self.health.entry(key).or_default().on_pass(now, pass_ms);
    }

    /// Undo [`Gateway::on_sent`] for an attempt whose connection was closed before the first byte
    /// was sent.
    pub fn on_unsent(&mut self, req: &mut Request) {
        req.sent -= 1;
    }

    /// Return whether another server may run the request beside the current one or after it.
    pub fn may_hedge(&self, req: &Request) -> bool {
        // Another configuration may have come into force since the current attempt began.
        let Ok(admission) = self.current_terms(req) else {
            return false;
        };
        let may_repeat = admission.route.kind.may_repeat();
        may_repeat
            && bar(req, &admission.route).is_none()
            && !self.budgets.is_empty(&admission.service)
    }

    /// Return whether a server that the request was not sent to may run it now instead of a silent
    /// hedge.
    pub fn may_replace_hedge(&self, now: Timestamp, req: &Request) -> bool {
        let candidates = self.candidates(now, &req.admission);
        self.may_hedge(req) && candidates.iter().any(|c| !req.tried.contains(&c.key))
    }

    /// Return the evidence of crashes.
    pub fn crashes(&self) -> &CrashTracker {
        &self.crashes
    }

    /// Return the limits on their request rates that servers named.
    pub fn server_limits(&self) -> &ServerLimits {
        &self.server_limits
    }

    /// Return the servers that are cold.
    pub fn cold_servers(&self) -> &ColdServers {
        &self.cold
    }

    /// Return the servers that get load gradually after a start.
    pub fn paces(&self) -> &Paces {
        &self.paces
    }

    /// Return how many ramps ended since the last call, by cause.
    pub fn take_ended_ramps(&mut self) -> IndexMap<RampEnd, u64> {
        self.paces.take_ended()
    }

    /// Record that the first event of an attempt arrived.
    pub fn on_first_event(&mut self, attempt: &Attempt) {
        self.load.on_first_event(attempt.plan.keys(), attempt.id);
    }

    /// Record that events of an attempt arrived.
    pub fn on_events(&mut self, now: Timestamp, req: &mut Request, attempt: &Attempt) {
        // Connections that failed before don't count against what follows this answer.
        req.unsent = 0;
        req.last_event = Some(now);
        req.is_shortage_logged = false;
        let health = self.health.entry(attempt.plan.primary).or_default();
        health.on_event(now);
        let Some(progress) = req.progress.get_mut(&attempt.id) else {
            return;
        };
        let first = *progress.first.get_or_insert(now);
        if !progress.is_judged && req.admission.route.kind.is_stream() {
            progress.is_judged = true;
            let expected_ms = match attempt.scheduling {
                Scheduling::Deferred => attempt.plan.behind_all_ms,
                Scheduling::Now | Scheduling::Refused => attempt.plan.expected_ms,
            };
            let (elapsed, had_room) = (now.since(progress.begun), progress.had_room);
            self.paces
                .on_first_event(now, attempt.plan.primary, elapsed, expected_ms, had_room);
        }
        progress.arrivals += 1;
        let goes_on = now.since(first) >= START_TIME && progress.arrivals >= START_ARRIVALS;
        if goes_on && !progress.goes_on {
            progress.goes_on = true;
            self.on_answer_goes_on(now, req, first);
        }
    }

    /// Record that an answer that began at `first` went on after its start.
    fn on_answer_goes_on(&mut self, now: Timestamp, req: &Request, first: Timestamp) {
        let parts = &req.spec.shared_parts;
        self.bulletin_pending |= self.crashes.on_answer_goes_on(now, first, parts);
    }

    /// Record that the server of an attempt has been silent for too long. Return whether that is
    /// new.
    pub fn on_silent(&mut self, now: Timestamp, req: &mut Request, attempt: &Attempt) -> bool {
        let is_new = req.attempts.on_silent();
        if is_new {
            if let Some(progress) = req.progress.get_mut(&attempt.id) {
                progress.is_judged = true;
            }
            self.record_health(now, attempt.plan.primary, Observation::Silent);
            self.paces.on_response(now, attempt.plan.primary, false);
        }
        is_new
    }

    /// Return how to connect to a server.
    pub fn way(&self, key: BackendKey) -> Way {
        self.reach.way(key)
    }

    /// Return what is known of this instance's links to backend servers.
    pub fn reach(&self) -> &Reach {
        &self.reach
    }

    /// Return the server that has an address. If several are listed with it, those that are gone
    /// don't have it any more.
    pub fn server_at(&self, now: Timestamp, addr: SocketAddr) -> Option<BackendKey> {
        let servers = self.registry.iter();
        let holders = servers.filter(|(_, backend)| backend.announcement.addr == addr);
        let holders = holders.map(|(key, _)| key);
        holders.min_by_key(|key| self.is_gone(now, *key))
    }

    /// Return the addresses of the peers to try in turn for a connection to a server. Different
    /// servers have different ones first, so that peers share the load. Where the configuration
    /// names home regions, the peers are in the region of the server.
    pub fn relays(&self, now: Timestamp, key: BackendKey) -> Vec<SocketAddr> {
        let binds = self.config.as_ref().is_some_and(|c| c.names_homes());
        let server = self.registry.get(key).filter(|_| binds);
        let server = server.map(|backend| &backend.announcement.zone);
        let allows = |peer: &ZoneId| server.is_none_or(|zone| self.homes.allows_relay(zone, peer));
        let live = self.fleet.live_peers(now);
        let live = live.filter(|(_, peer)| allows(&peer.zone));
        let mut relays: Vec<(u64, SocketAddr)> = live
            .filter(|(_, peer)| peer.relays && !self.reach.avoids_relay(now, peer.addr))
            .map(|(id, peer)| (weight(key.0, node_key(id.as_str())), peer.addr))
            .collect();
        relays.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let relays = relays.into_iter().map(|(_, addr)| addr);
        relays.take(MAX_RELAYS).collect()
    }

    /// Record that a peer did not answer a request for a connection.
    pub fn on_relay_failed(&mut self, now: Timestamp, peer: SocketAddr) {
        self.reach.on_relay_failed(now, peer);
    }

    /// Record that a direct connection to a server was opened.
    pub fn on_opened(&mut self, now: Timestamp, key: BackendKey) {
        self.bulletin_pending |= self.reach.is_isolated();
        if self.reach.is_lost() {
            self.absences.on_links_regained(self.reach.last_opened());
        }
        self.reach.on_opened(now, key);
        self.apply_opened(now, key);
    }

    /// Record that no direct connection to a server could be opened. Whether the server is gone is
    /// known once peers have tried too.
    pub fn on_open_failed(&mut self, now: Timestamp, key: BackendKey, error: &str) {
        self.reach.on_failed(now, key, error);
    }

    /// Record that a connection to a server was opened through a peer.
    pub fn on_relayed(&mut self, now: Timestamp, key: BackendKey) {
        self.apply_opened(now, key);
    }

    /// Note that a server accepts connections, perhaps sooner than peers stop to report it as gone.
    fn apply_opened(&mut self, now: Timestamp, key: BackendKey) {
        if self.absences.is_away(key)
            && let Some(backend) = self.registry.get(key)
        {
            self.cold.on_returned(now, &backend.announcement);
        }
        self.absences.on_opened(key);
        self.apply_returns(now);
    }

    /// Record that a peer reached a server to which a direct connection, begun at `tried`, failed.
    pub fn on_reached_by_peer(&mut self, key: BackendKey, tried: Timestamp) {
        self.reach.on_reached_by_peer(key, tried);
        self.bulletin_pending |= self.reach.is_isolated();
    }

    /// Return whether a direct connection has to be tried beside one through a peer.
    pub fn probe_is_due(&mut self, now: Timestamp) -> bool {
        self.reach.probe_is_due(now)
    }

    /// Record that neither this instance nor peers can open a connection to a server, or that
    /// another server has its address.
    pub fn on_server_gone(&mut self, now: Timestamp, key: BackendKey, absence: Absence) {
        self.bulletin_pending |= self.crashes.on_server_gone(now, key);
        let Some(backend) = self.registry.get(key) else {
            return;
        };
        let is_new = self.absences.on_gone(now, key, absence);
        if is_new {
            tracing::info!(
                server = %backend.announcement.id,
                address = %backend.announcement.addr,
                %absence,
                "a backend server is gone"
            );
            self.bulletin_pending = true;
        }
        self.apply_returns(now);
    }

    /// Record that the server at `addr`, which is not the primary server of a failed attempt, is at
    /// fault for the failure.
    pub fn on_helper_fault(&mut self, now: Timestamp, addr: SocketAddr) {
        if let Some(key) = self.server_at(now, addr) {
            self.record_health(now, key, Observation::Unreachable);
        }
    }

    /// Record what a request shows about the health of a server.
    fn record_health(&mut self, now: Timestamp, key: BackendKey, observation: Observation) {
        self.health.entry(key).or_default().record(now, observation);
    }

    /// Record that the server at `addr` refused to reserve memory.
    pub fn on_memory_refused(&mut self, now: Timestamp, addr: SocketAddr) {
        if let Some(key) = self.server_at(now, addr) {
            self.health.entry(key).or_default().on_memory_refused(now);
        }
    }

    /// Record the end of an attempt. Return the end that counts: whatever a superseded attempt met
    /// says nothing about its server.
    pub fn on_attempt_end(
        &mut self,
        now: Timestamp,
        req: &mut Request,
        attempt: &Attempt,
        end: AttemptEnd,
    ) -> AttemptEnd {
        let end = match req.attempts.is_superseded(attempt.id) {
            true => AttemptEnd::Superseded,
            false => end,
        };
        self.load.remove(attempt.plan.keys(), attempt.id);
        req.attempts.on_end(now, attempt.id);
        let progress = req.progress.swap_remove(&attempt.id);
        let progress = progress.unwrap_or(Progress::new(now, attempt.plan.primary));
        let execution = match end {
            AttemptEnd::NotSent
            | AttemptEnd::StaleConnection
            | AttemptEnd::Refused
            | AttemptEnd::WrongServer
            | AttemptEnd::NoMemory
            | AttemptEnd::HelperFailed => Execution::NotRun,
            AttemptEnd::Broken
            | AttemptEnd::Oversized
            | AttemptEnd::Silent
            | AttemptEnd::Superseded
            | AttemptEnd::Cancelled => Execution::Unknown,
            AttemptEnd::Completed | AttemptEnd::Failed => Execution::Ran,
        };
        req.worst_execution = req.worst_execution.max(execution);
        let observation = match end {
            AttemptEnd::Completed => Some(Observation::Success),
            AttemptEnd::Failed | AttemptEnd::Broken | AttemptEnd::Oversized => {
                Some(Observation::Error)
            }
            // Another server has the address, so the one that is listed can't be reached there.
            AttemptEnd::NotSent | AttemptEnd::WrongServer => Some(Observation::Unreachable),
            AttemptEnd::Silent => Some(Observation::Silent),
            AttemptEnd::StaleConnection
            | AttemptEnd::Refused
            | AttemptEnd::NoMemory
            | AttemptEnd::HelperFailed
            | AttemptEnd::Superseded
            | AttemptEnd::Cancelled => None,
        };
        // A server that could not be reached is gone only if peers can't reach it either.
        if end == AttemptEnd::WrongServer {
            self.on_server_gone(now, attempt.plan.primary, Absence::Replaced);
        }
        if let Some(observation) = observation {
            self.record_health(now, attempt.plan.primary, observation);
            if end == AttemptEnd::Broken {
                let health = self.health.entry(attempt.plan.primary).or_default();
                health.on_broken();
            }
        }
        let route = &req.admission.route;
        let is_on_time = match end {
            AttemptEnd::Completed if route.kind.is_stream() => None,
            AttemptEnd::Completed => Some(now.since(progress.begun) <= route.objective),
            // The silence of an attempt counts once.
            AttemptEnd::Silent => (!progress.is_judged).then_some(false),
            AttemptEnd::Refused
            | AttemptEnd::WrongServer
            | AttemptEnd::Failed
            | AttemptEnd::Broken
            | AttemptEnd::Oversized => Some(false),
            // The links of this instance may be at fault.
            AttemptEnd::NotSent
            | AttemptEnd::StaleConnection
            | AttemptEnd::NoMemory
            | AttemptEnd::HelperFailed
            | AttemptEnd::Superseded
            | AttemptEnd::Cancelled => None,
        };
        if let Some(is_on_time) = is_on_time {
            self.paces
                .on_response(now, attempt.plan.primary, is_on_time);
        }
        if end == AttemptEnd::HelperFailed {
            req.helper_failures += 1;
            req.retry_server = Some(attempt.plan.primary);
        }
        let is_unsent = match end {
            AttemptEnd::NotSent | AttemptEnd::StaleConnection | AttemptEnd::NoMemory => true,
            AttemptEnd::HelperFailed | AttemptEnd::Superseded | AttemptEnd::Cancelled => {
                !progress.is_sent
            }
            _ => false,
        };
        // No server received the request, so it added no load.
        if is_unsent && attempt.counts_against_limit {
            self.server_limits.refund(now, attempt.plan.primary);
        }
        if is_unsent {
            // A helper that was asked for memory may count the order as a request.
            let asked = attempt.plan.helpers.iter().filter(|h| h.reserve.is_some());
            let asked: Vec<BackendKey> = asked.map(|helper| helper.key).collect();
            for key in attempt.cold.iter().filter(|key| !asked.contains(key)) {
                self.cold.refund(now, *key);
            }
        }
        if is_unsent && attempt.is_retry {
            self.budgets.refund(&attempt.primary.service);
        }
        match end {
            AttemptEnd::NotSent | AttemptEnd::StaleConnection => {
                req.unsent += 1;
                req.met_stale_connection |= end == AttemptEnd::StaleConnection;
            }
            AttemptEnd::Completed => {
                self.absences.remove(attempt.plan.primary);
                self.apply_returns(now);
                self.crashes.on_finished(now, req.spec.signature);
                if let Some(first) = progress.first.filter(|_| !progress.goes_on) {
                    self.on_answer_goes_on(now, req, first);
                }
            }
            AttemptEnd::Broken => {
                let at_start = !progress.goes_on;
                self.crashes
                    .on_broken(now, &attempt.primary, &req.spec, at_start);
            }
            _ => {}
        }
        if matches!(end, AttemptEnd::StaleConnection | AttemptEnd::NoMemory) {
            // The server is not at fault, so it may be tried again.
            let key = attempt.plan.primary;
            if let Some(index) = req.tried.iter().rposition(|tried| *tried == key) {
                req.tried.remove(index);
            }
        }
        end
    }
}

/// Return the end of a request without success. If it did not run, its caller may resend it after
/// about `expected`.
pub(crate) fn end(
    now: Timestamp,
    req: &Request,
    cause: Cause,
    expected: Wait,
    rng: &mut Pcg64Mcg,
) -> Next {
    let status = status(req.worst_execution, cause);
    let left = now.until(req.spec.deadline);
    let retry_after = (req.worst_execution == Execution::NotRun && cause != Cause::Quarantined)
        .then(|| retry_after::choose(expected, left, rng));
    Next::End {
        status,
        cause,
        retry_after,
    }
}

/// Return what rules out another attempt of a request, apart from the retry budget.
fn bar(req: &Request, route: &Route) -> Option<Bar> {
    if req.sent >= route.max_attempts && req.retry_server.is_none() {
        Some(Bar::Attempts)
    } else if req.helper_failures >= MAX_HELPER_FAILURES {
        Some(Bar::HelperFailures)
    } else if req.unsent >= MAX_UNSENT {
        Some(Bar::Unsent)
    } else if !may_retry(route.kind, req.execution()) {
        Some(Bar::Kind)
    } else {
        None
    }
}
