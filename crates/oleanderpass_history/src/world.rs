//! Join instances, servers, the platform and callers by an event queue with injected time.

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
use crate::node::Node;
use crate::node::Work;
use crate::record::History;
use crate::record::Record;
use crate::scenario::Options;
use crate::servers::Server;

/// The time between two ticks, in milliseconds. Source: design section 2.1.
const TICK: u64 = 100;

/// Where a message comes from or goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    Node(usize),
    Server(usize),
    Platform,
}

/// A rule that loses messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cut {
    /// From one instance to all others.
    NodeToPeers(usize),
    /// Between one instance and one server, both ways.
    NodeServer(usize, usize),
    /// Between one zone and everything else, both ways.
    Zone(usize),
    /// Between all instances and the configuration service and instance list, both ways.
    Platform,
}

/// The fake platform.
pub(crate) struct Platform {
    /// What the configuration service answers.
    pub(crate) document: Arc<environment::Document>,
    /// What it answered before the last publication.
    pub(crate) older: Arc<environment::Document>,
    pub(crate) stale: bool,
    /// The list to answer while it lags.
    pub(crate) frozen: Option<Arc<InstanceList>>,
}

/// The state of one run.
pub(crate) struct World {
    pub(crate) now: u64,
    number: u64,
    queue: BTreeMap<(u64, u64), Work>,
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
    /// How often each step began: for all requests, and for those that must run at most once.
    pub(crate) occurrences: BTreeMap<FaultStep, [u32; 2]>,
    pub(crate) hits: BTreeMap<(Fault, FaultStep), u32>,
    pub(crate) trace: Vec<(u64, String)>,
    pub(crate) last_peer_call: u64,
    /// Calls between instances that wait for an answer: the asking instance and its start.
    pub(crate) peer_calls: BTreeMap<CallId, (usize, u32)>,
}

/// The zones of the harness.
pub(crate) const ZONES: [&str; 2] = ["north", "south"];

/// The instances of each zone.
const NODES_PER_ZONE: usize = 2;

const SERVERS: [(&str, &str, usize); 6] = [
    ("engine-1", "skald", 0),
    ("engine-2", "skald", 0),
    ("engine-3", "skald", 1),
    ("engine-4", "skald", 1),
    ("worker-1", "ledger", 0),
    ("worker-2", "ledger", 1),
];

impl World {
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
                start: 0,
                incarnation: Incarnation::new(0),
                core: None,
                offset: 0,
                paused: false,
                backlog: Vec::new(),
                tasks: BTreeMap::new(),
                open: BTreeMap::new(),
                bodies: BTreeMap::new(),
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
                engine: *service == "skald",
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
            number: 0,
            queue: BTreeMap::new(),
            // Only odd states are kept, so neighbouring seeds would give the same history.
            rng: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
            options,
            history: History::default(),
            nodes,
            servers,
            platform: Platform {
                older: document.clone(),
                document,
                stale: false,
                frozen: None,
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

    /// Do `work` after some milliseconds.
    pub(crate) fn after(&mut self, ms: u64, work: impl FnOnce(&mut World) + 'static) {
        self.number += 1;
        self.queue
            .insert((self.now + ms, self.number), Box::new(work));
    }

    /// Do work of one life of an instance after some milliseconds, or at the end of its pause.
    pub(crate) fn at_node_after(
        &mut self,
        ms: u64,
        node: usize,
        start: u32,
        work: impl FnOnce(&mut World) + 'static,
    ) {
        self.after(ms, move |w| {
            let target = &mut w.nodes[node];
            if target.start != start || !target.is_up() {
                return;
            }
            if target.paused {
                target.backlog.push(Box::new(move |w: &mut World| {
                    if w.nodes[node].start == start && w.nodes[node].is_up() {
                        work(w);
                    }
                }));
            } else {
                work(w);
            }
        });
    }

    /// Run until `end`.
    pub(crate) fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let work = entry.remove();
            self.now = at;
            work(self);
        }
        self.now = end;
    }

    /// Return whether every fault, call, shutdown and run at a server has ended.
    pub(crate) fn is_quiet(&self) -> bool {
        let nodes = &self.nodes;
        let steady = |s: &Server| s.up && !s.leaving && s.running() == 0;
        self.cuts.is_empty()
            && !self.platform.stale
            && self.platform.frozen.is_none()
            && nodes
                .iter()
                .all(|n| n.is_up() && !n.paused && n.stopping_since.is_none())
            && self.servers.iter().all(steady)
            && self.calls.iter().all(|call| call.ended)
    }

    pub(crate) fn record(&mut self, record: Record) {
        self.history.push(Timestamp::from_millis(self.now), record);
    }

    /// Return the time that a message takes, or `None` if it is lost.
    pub(crate) fn travel(&mut self, from: Place, to: Place) -> Option<u64> {
        let lost = self.cuts.iter().any(|cut| self.loses(*cut, from, to));
        let time = self.rng.random_range(1..4);
        (!lost).then_some(time)
    }

    fn loses(&self, cut: Cut, from: Place, to: Place) -> bool {
        match cut {
            Cut::NodeToPeers(node) => from == Place::Node(node) && matches!(to, Place::Node(_)),
            Cut::NodeServer(node, server) => {
                let (a, b) = (Place::Node(node), Place::Server(server));
                (from, to) == (a, b) || (from, to) == (b, a)
            }
            Cut::Zone(zone) => {
                (self.zone_of(from) == Some(zone)) != (self.zone_of(to) == Some(zone))
            }
            Cut::Platform => from == Place::Platform || to == Place::Platform,
        }
    }

    fn zone_of(&self, place: Place) -> Option<usize> {
        match place {
            Place::Node(node) => Some(node / NODES_PER_ZONE),
            Place::Server(server) => Some(SERVERS[server].2),
            Place::Platform => None,
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

    /// Start a new life of an instance.
    pub(crate) fn boot(&mut self, node: usize) {
        let seeds = self.nodes.iter().map(|node| node.addr).collect();
        let seed = self.rng.random();
        let offset = self.rng.random_range(0..1 << 40);
        let low = self.rng.random_range(0..1 << 20);
        let now = self.now;
        let target = &mut self.nodes[node];
        target.start += 1;
        target.incarnation = Incarnation::new((1_000_000 + now) << 20 | low);
        target.offset = offset;
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
        let (life, start) = (target.life(), target.start);
        self.record(Record::Started(life));
        self.tick(node, start);
    }

    fn tick(&mut self, node: usize, start: u32) {
        if self.nodes[node].start != start || !self.nodes[node].is_up() {
            return;
        }
        if !self.nodes[node].paused {
            self.handle(node, Event::Tick);
        }
        self.after(TICK, move |w| w.tick(node, start));
    }

    /// Answer a read of the instance list.
    pub(crate) fn send_list(&mut self, node: usize) {
        let start = self.nodes[node].start;
        let there = self.travel(Place::Node(node), Place::Platform);
        let back = self.travel(Place::Platform, Place::Node(node));
        if let (Some(there), Some(back)) = (there, back) {
            let list = self.list();
            self.at_node_after(there + back, node, start, move |w| {
                w.handle(node, Event::InstanceList(list));
            });
        } else {
            let cause = "timeout".into();
            self.at_node_after(1_000, node, start, move |w| {
                w.handle(node, Event::InstanceListFailed { cause });
            });
        }
    }

    /// Return the instance list as the platform shows it.
    pub(crate) fn list(&self) -> Arc<InstanceList> {
        if let Some(frozen) = &self.platform.frozen {
            return frozen.clone();
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

    /// Hand an event to a core and carry out its actions.
    pub(crate) fn handle(&mut self, node: usize, event: Event) {
        let now = self.nodes[node].clock(self.now);
        let mut actions = Vec::new();
        let target = &mut self.nodes[node];
        let Some(core) = &mut target.core else {
            return;
        };
        core.handle(now, event, &mut actions);
        let version = core.document().map(|held| (held.generation, held.digest));
        if version != target.in_force {
            target.in_force = version;
            let at = target.life();
            if let Some((generation, digest)) = version {
                self.record(Record::InForce {
                    at,
                    generation,
                    digest,
                });
            }
        }
        let start = self.nodes[node].start;
        for action in actions {
            // A fault at a step of an earlier action may have ended or paused the process.
            let target = &mut self.nodes[node];
            if target.start != start || !target.is_up() {
                return;
            }
            if target.paused {
                target
                    .backlog
                    .push(Box::new(move |w: &mut World| w.act(node, action)));
            } else {
                self.act(node, action);
            }
        }
    }
}
