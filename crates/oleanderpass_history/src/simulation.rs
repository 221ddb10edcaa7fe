//! The simulation: instances, servers, the platform and callers, driven by an event queue.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use oleanderpass_core::event::CallId;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::InstanceList;
use oleanderpass_core::event::Lifecycle;
use oleanderpass_core::event::ListedInstance;
use oleanderpass_core::event::ListedServer;
use oleanderpass_core::instance::Identity;
use oleanderpass_core::instance::Instance;
use oleanderpass_proto::environment;
use oleanderpass_ticket::FleetKey;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Incarnation;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::callers::Call;
use crate::callers::Operation;
use crate::fault::Fault;
use crate::fault::FaultStep;
use crate::fault::Trigger;
use crate::node::Callback;
use crate::node::Node;
use crate::record::History;
use crate::record::Record;
use crate::scenario::Options;
use crate::servers::Server;

/// The interval between two ticks of a core. Source: design section 2.1.
const TICK_INTERVAL_MS: u64 = 100;

/// The sender or receiver of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    Node(usize),
    Server(usize),
    Platform,
}

/// A network fault: the messages that are lost while it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cut {
    /// From one instance to all others.
    NodeToPeers(usize),
    /// Between one instance and one server, both ways.
    NodeServer(usize, usize),
    /// Between one zone and everything else, both ways.
    Zone(usize),
    /// Between the instances and the platform, which is the configuration service and the instance
    /// list, both ways.
    Platform,
}

/// The simulated platform: the configuration service and the instance list.
pub(crate) struct Platform {
    /// The last document that was published.
    pub(crate) document: Arc<environment::Document>,
    /// The document before it. Both are the same until the first publication.
    pub(crate) previous_document: Arc<environment::Document>,
    /// Whether the configuration service answers with `previous_document`.
    pub(crate) stale: bool,
    /// The instance list to answer with while it lags, or `None` when it is up to date.
    pub(crate) frozen_list: Option<Arc<InstanceList>>,
}

/// The state of one run.
///
/// All times are in milliseconds since the beginning of the run, and instances, servers and
/// operations are identified by their indices.
pub(crate) struct Simulation {
    pub(crate) now: u64,
    /// The number of the last callback that was scheduled.
    last_callback: u64,
    /// The scheduled callbacks by time, then by number.
    queue: BTreeMap<(u64, u64), Callback>,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) options: Options,
    pub(crate) history: History,
    pub(crate) nodes: Vec<Node>,
    pub(crate) servers: Vec<Server>,
    pub(crate) platform: Platform,
    pub(crate) cuts: Vec<Cut>,
    pub(crate) operations: Vec<Operation>,
    pub(crate) calls: Vec<Call>,
    pub(crate) triggers: Vec<Trigger>,
    /// How often each step began: in all, and for non-idempotent requests alone.
    pub(crate) occurrences: BTreeMap<FaultStep, [u32; 2]>,
    /// How often each fault was injected at each step and had something to affect.
    pub(crate) hits: BTreeMap<(Fault, FaultStep), u32>,
    /// The time and a description of each injected fault.
    pub(crate) trace: Vec<(u64, String)>,
    pub(crate) last_peer_call: u64,
    /// Unanswered calls between instances: the calling instance and its start number.
    pub(crate) peer_calls: BTreeMap<CallId, (usize, u32)>,
}

/// The availability zones.
pub(crate) const ZONES: [&str; 2] = ["north", "south"];

/// The number of entry instances in each zone.
const NODES_PER_ZONE: usize = 2;

/// The backend servers: id, service and the index of the zone.
const SERVERS: [(&str, &str, usize); 6] = [
    ("engine-1", "skald", 0),
    ("engine-2", "skald", 0),
    ("engine-3", "skald", 1),
    ("engine-4", "skald", 1),
    ("worker-1", "ledger", 0),
    ("worker-2", "ledger", 1),
];

impl Simulation {
    pub(crate) fn new(
        seed: u64,
        options: Options,
        document: Arc<environment::Document>,
        triggers: Vec<Trigger>,
    ) -> Option<Self> {
        let zone = |index: usize| ZONES[index].parse().ok();
        let mut nodes = Vec::new();
        for index in 0..ZONES.len() * NODES_PER_ZONE {
            nodes.push(Node {
                id: format!("entry-{}", index + 1).parse().ok()?,
                zone: zone(index / NODES_PER_ZONE)?,
                addr: SocketAddr::from(([127, 0, 1, u8::try_from(index).ok()?], 7_000)),
                start_number: 0,
                incarnation: Incarnation::new(0),
                core: None,
                clock_offset_ms: 0,
                paused: false,
                backlog: Vec::new(),
                tasks: BTreeMap::new(),
                open_requests: BTreeMap::new(),
                request_calls: BTreeMap::new(),
                last_request: 0,
                in_force: None,
                stopping_since: None,
            });
        }
        let mut servers = Vec::new();
        for (index, (id, service, at)) in SERVERS.iter().enumerate() {
            servers.push(Server {
                listed: ListedServer {
                    id: id.parse().ok()?,
                    service: service.parse().ok()?,
                    zone: zone(*at)?,
                    addr: SocketAddr::from(([127, 0, 2, u8::try_from(index).ok()?], 9_000)),
                    state: Lifecycle::Live,
                },
                is_engine: *service == "skald",
                up: true,
                incarnation: 1,
                leaving: false,
                streams: BTreeMap::new(),
                holds: BTreeMap::new(),
                fencing: 0,
                model: Some(("v1".into(), 0)),
            });
        }
        Some(Self {
            now: 0,
            last_callback: 0,
            queue: BTreeMap::new(),
            // `Pcg64Mcg` makes its state odd, so without the shift each even seed would give the
            // same history as the odd seed after it.
            rng: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
            options,
            history: History::default(),
            nodes,
            servers,
            platform: Platform {
                previous_document: document.clone(),
                document,
                stale: false,
                frozen_list: None,
            },
            cuts: Vec::new(),
            operations: Vec::new(),
            calls: Vec::new(),
            triggers,
            occurrences: BTreeMap::new(),
            hits: BTreeMap::new(),
            trace: Vec::new(),
            last_peer_call: 0,
            peer_calls: BTreeMap::new(),
        })
    }

    /// Run `callback` after `delay_ms`.
    pub(crate) fn schedule(
        &mut self,
        delay_ms: u64,
        callback: impl FnOnce(&mut Simulation) + 'static,
    ) {
        self.last_callback += 1;
        self.queue.insert(
            (self.now + delay_ms, self.last_callback),
            Box::new(callback),
        );
    }

    /// Run `callback` for a process of an instance after `delay_ms`. If the process is paused then,
    /// run it at the end of the pause; if the process has ended, drop it.
    pub(crate) fn schedule_at_node(
        &mut self,
        delay_ms: u64,
        node: usize,
        start_number: u32,
        callback: impl FnOnce(&mut Simulation) + 'static,
    ) {
        self.schedule(delay_ms, move |sim| {
            let target = &mut sim.nodes[node];
            if target.start_number != start_number || !target.is_up() {
                return;
            }
            if target.paused {
                target.backlog.push(Box::new(move |sim: &mut Simulation| {
                    if sim.nodes[node].start_number == start_number && sim.nodes[node].is_up() {
                        callback(sim);
                    }
                }));
            } else {
                callback(sim);
            }
        });
    }

    /// Run all callbacks that are due up to `end`, and advance the clock to it.
    pub(crate) fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let callback = entry.remove();
            self.now = at;
            callback(self);
        }
        self.now = end;
    }

    /// Return whether every fault, call and shutdown has ended and no server runs a request.
    pub(crate) fn is_quiet(&self) -> bool {
        let nodes = &self.nodes;
        let is_settled = |s: &Server| s.up && !s.leaving && s.running() == 0;
        self.cuts.is_empty()
            && !self.platform.stale
            && self.platform.frozen_list.is_none()
            && nodes
                .iter()
                .all(|n| n.is_up() && !n.paused && n.stopping_since.is_none())
            && self.servers.iter().all(is_settled)
            && self.calls.iter().all(|call| call.ended)
    }

    pub(crate) fn record(&mut self, record: Record) {
        self.history.push(Timestamp::from_millis(self.now), record);
    }

    /// Return the network delay of a message in milliseconds, or `None` if it is lost.
    pub(crate) fn message_delay(&mut self, from: Endpoint, to: Endpoint) -> Option<u64> {
        let lost = self.cuts.iter().any(|cut| self.drops(*cut, from, to));
        let delay_ms = self.rng.random_range(1..4);
        (!lost).then_some(delay_ms)
    }

    /// Return whether a cut drops a message.
    fn drops(&self, cut: Cut, from: Endpoint, to: Endpoint) -> bool {
        match cut {
            Cut::NodeToPeers(node) => {
                from == Endpoint::Node(node) && matches!(to, Endpoint::Node(_))
            }
            Cut::NodeServer(node, server) => {
                let (a, b) = (Endpoint::Node(node), Endpoint::Server(server));
                (from, to) == (a, b) || (from, to) == (b, a)
            }
            Cut::Zone(zone) => {
                (self.zone_of(from) == Some(zone)) != (self.zone_of(to) == Some(zone))
            }
            Cut::Platform => from == Endpoint::Platform || to == Endpoint::Platform,
        }
    }

    fn zone_of(&self, endpoint: Endpoint) -> Option<usize> {
        match endpoint {
            Endpoint::Node(node) => Some(node / NODES_PER_ZONE),
            Endpoint::Server(server) => Some(SERVERS[server].2),
            Endpoint::Platform => None,
        }
    }

    pub(crate) fn server_index(&self, id: &BackendServerId) -> Option<usize> {
        self.servers
            .iter()
            .position(|server| server.listed.id == *id)
    }

    pub(crate) fn node_at(&self, addr: SocketAddr) -> Option<usize> {
        self.nodes.iter().position(|node| node.addr == addr)
    }

    /// Start a new process of an instance.
    pub(crate) fn start_node(&mut self, node: usize) {
        let seeds = self.nodes.iter().map(|node| node.addr).collect();
        let seed = self.rng.random();
        let clock_offset_ms = self.rng.random_range(0..1 << 40);
        let low_bits = self.rng.random_range(0..1 << 20);
        let now = self.now;
        let target = &mut self.nodes[node];
        target.start_number += 1;
        target.incarnation = Incarnation::new((1_000_000 + now) << 20 | low_bits);
        target.clock_offset_ms = clock_offset_ms;
        target.in_force = None;
        target.stopping_since = None;
        let identity = Identity {
            instance: target.id.clone(),
            incarnation: target.incarnation,
            zone: target.zone.clone(),
        };
        let core = Instance::new(identity, seed)
            .with_fleet_key(FleetKey([9; 32]))
            .with_peers(target.addr, seeds);
        target.core = Some(core);
        let (process, start_number) = (target.process(), target.start_number);
        self.record(Record::InstanceStarted(process));
        self.tick(node, start_number);
    }

    /// Tick the core of a process now and at every interval, except while it is paused.
    fn tick(&mut self, node: usize, start_number: u32) {
        if self.nodes[node].start_number != start_number || !self.nodes[node].is_up() {
            return;
        }
        if !self.nodes[node].paused {
            self.handle_event(node, Event::Tick);
        }
        self.schedule(TICK_INTERVAL_MS, move |sim| sim.tick(node, start_number));
    }

    /// Answer an instance that reads the instance list, or report a timeout to it.
    pub(crate) fn send_instance_list(&mut self, node: usize) {
        let start_number = self.nodes[node].start_number;
        let request_delay = self.message_delay(Endpoint::Node(node), Endpoint::Platform);
        let response_delay = self.message_delay(Endpoint::Platform, Endpoint::Node(node));
        if let (Some(request_delay), Some(response_delay)) = (request_delay, response_delay) {
            let list = self.instance_list();
            self.schedule_at_node(
                request_delay + response_delay,
                node,
                start_number,
                move |sim| {
                    sim.handle_event(node, Event::InstanceList(list));
                },
            );
        } else {
            let cause = "timeout".into();
            self.schedule_at_node(1_000, node, start_number, move |sim| {
                sim.handle_event(node, Event::InstanceListFailed { cause });
            });
        }
    }

    /// Return the instance list that the platform answers with.
    pub(crate) fn instance_list(&self) -> Arc<InstanceList> {
        if let Some(frozen_list) = &self.platform.frozen_list {
            return frozen_list.clone();
        }
        let entry_instances = self.nodes.iter().map(|node| ListedInstance {
            id: node.id.clone(),
            zone: node.zone.clone(),
            peer_addr: node.addr,
            state: if node.stopping_since.is_some() {
                Lifecycle::Leaving
            } else {
                Lifecycle::Live
            },
        });
        let list = InstanceList {
            entry_instances: entry_instances.collect(),
            backend_servers: self.servers.iter().map(|s| s.listed.clone()).collect(),
        };
        Arc::new(list)
    }

    /// Pass an event to an instance's core and perform the resulting actions.
    pub(crate) fn handle_event(&mut self, node: usize, event: Event) {
        let now = self.nodes[node].local_time(self.now);
        let mut actions = Vec::new();
        let target = &mut self.nodes[node];
        let Some(core) = &mut target.core else {
            return;
        };
        core.handle(now, event, &mut actions);
        let version = core
            .document()
            .map(|document| (document.generation, document.digest));
        if version != target.in_force {
            target.in_force = version;
            let process = target.process();
            if let Some((generation, digest)) = version {
                self.record(Record::InForce {
                    process,
                    generation,
                    digest,
                });
            }
        }
        let start_number = self.nodes[node].start_number;
        for action in actions {
            // A fault at a step of an earlier action may have ended or paused the process.
            let target = &mut self.nodes[node];
            if target.start_number != start_number || !target.is_up() {
                return;
            }
            if target.paused {
                target.backlog.push(Box::new(move |sim: &mut Simulation| {
                    sim.perform_action(node, action)
                }));
            } else {
                self.perform_action(node, action);
            }
        }
    }
}
