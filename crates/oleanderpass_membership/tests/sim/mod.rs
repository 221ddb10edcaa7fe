//! Simulate a fleet: run many membership state machines with a delivery queue and simulated time.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oleanderpass_membership::member::Liveness;
use oleanderpass_membership::member::Member;
use oleanderpass_membership::membership::Identity;
use oleanderpass_membership::membership::Input;
use oleanderpass_membership::membership::Membership;
use oleanderpass_membership::membership::Output;
use oleanderpass_membership::packet::HMAC_BYTES;
use oleanderpass_membership::packet::fits_datagram;
use oleanderpass_proto::peer::Packet;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;
use prost::Message;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// The step of simulated time, in milliseconds. Each instance ticks every 100 ms.
const STEP_MS: u64 = 10;

pub(crate) struct Node {
    pub(crate) membership: Membership,
    /// Cleared for a crash or a pause.
    pub(crate) running: bool,
    /// The changes of members that it reported, with the time in milliseconds.
    pub(crate) changes: Vec<(u64, Member)>,
    pub(crate) superseded: Option<Incarnation>,
    pub(crate) sent_packets: u64,
    pub(crate) sent_bytes: u64,
    /// Packets that arrived and are not handled yet, with their source.
    unhandled: Vec<(SocketAddr, Packet)>,
}

pub(crate) struct Fleet {
    /// The simulated time, in milliseconds.
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Node>,
    rng: Pcg64Mcg,
    /// Packets in flight with sender and receiver, by arrival time and number.
    in_flight: BTreeMap<(u64, u64), (usize, usize, Packet)>,
    last_number: u64,
    /// The probability with which any packet is lost.
    pub(crate) loss: f64,
    /// Returns whether all packets from the first node to the second one are lost.
    pub(crate) cut: Box<dyn Fn(usize, usize) -> bool>,
}

pub(crate) fn addr(index: usize) -> SocketAddr {
    let index = u16::try_from(index).unwrap();
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index))
}

pub(crate) fn id(index: usize) -> InstanceId {
    format!("entry-{index:03}").parse().unwrap()
}

pub(crate) fn identity(index: usize, incarnation: u64) -> Identity {
    Identity {
        id: id(index),
        incarnation: Incarnation::new(incarnation),
        zone: format!("zone-{}", index % 8).parse().unwrap(),
        addr: addr(index),
    }
}

impl Fleet {
    /// Start instances that all have the platform's list.
    pub(crate) fn new(size: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: 0,
            nodes: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            last_number: 0,
            loss: 0.0,
            cut: Box::new(|_, _| false),
        };
        for index in 0..size {
            let node = fleet.create_node(identity(index, 1_000), size, Vec::new());
            fleet.nodes.push(node);
        }
        fleet
    }

    fn create_node(&mut self, identity: Identity, listed: usize, seeds: Vec<SocketAddr>) -> Node {
        let mut membership = Membership::new(Timestamp::from_millis(self.now), identity, seeds);
        let list: Vec<_> = (0..listed).map(addr).collect();
        let now = Timestamp::from_millis(self.now);
        membership.handle(
            now,
            Input::PlatformList(&list),
            &mut self.rng,
            &mut Vec::new(),
        );
        Node {
            membership,
            running: true,
            changes: Vec::new(),
            superseded: None,
            sent_packets: 0,
            sent_bytes: 0,
            unhandled: Vec::new(),
        }
    }

    /// Replace a node by a new process with the given incarnation.
    pub(crate) fn restart(&mut self, index: usize, incarnation: u64) {
        self.nodes[index] =
            self.create_node(identity(index, incarnation), self.nodes.len(), Vec::new());
    }

    /// Start another instance that knows only the seeds.
    pub(crate) fn join(&mut self, seeds: Vec<SocketAddr>) {
        let node = self.create_node(identity(self.nodes.len(), 1_000), 0, seeds);
        self.nodes.push(node);
    }

    pub(crate) fn input(&mut self, index: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let now = Timestamp::from_millis(self.now);
        let node = &mut self.nodes[index];
        node.membership.handle(now, input, &mut self.rng, &mut out);
        for output in out {
            match output {
                Output::Send { to, packet } => self.send(index, to, packet),
                Output::Changed(member) => self.nodes[index].changes.push((self.now, member)),
                Output::Superseded(newer) => self.nodes[index].superseded = Some(newer),
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, packet: Packet) {
        assert!(
            fits_datagram(&packet),
            "a packet of {} bytes",
            packet.encoded_len()
        );
        assert!(packet.members.len() <= 8);
        let node = &mut self.nodes[from];
        node.sent_packets += 1;
        node.sent_bytes += (packet.encoded_len() + HMAC_BYTES) as u64;
        let to = usize::from(to.port() - 10_000);
        let lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
        if to < self.nodes.len() && !lost && !(self.cut)(from, to) {
            self.last_number += 1;
            let arrival = self.now + STEP_MS;
            self.in_flight
                .insert((arrival, self.last_number), (from, to, packet));
        }
    }

    /// Advance the simulated time. A paused node keeps its packets until it runs again.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            while let Some(entry) = self.in_flight.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let (from, to, packet) = entry.remove();
                self.nodes[to].unhandled.push((addr(from), packet));
            }
            for index in 0..self.nodes.len() {
                if !self.nodes[index].running {
                    continue;
                }
                // Ticks come before packets: the worst order for a process after a pause, because
                // answers that have arrived seem to be missing.
                if (self.now / STEP_MS + index as u64).is_multiple_of(10) {
                    self.input(index, Input::Tick);
                }
                for (source, packet) in std::mem::take(&mut self.nodes[index].unhandled) {
                    let packet = &packet;
                    self.input(index, Input::Packet { source, packet });
                }
            }
        }
    }

    /// Run until `done`. Return the time that it took, or `None` after `limit_ms`, in milliseconds.
    pub(crate) fn run_until(&mut self, limit_ms: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        while !done(self) {
            if self.now - start >= limit_ms {
                return None;
            }
            self.run(if self.nodes.len() > 100 { 500 } else { 100 });
        }
        Some(self.now - start)
    }

    /// Return how one node sees another one.
    pub(crate) fn view(&self, observer: usize, other: usize) -> Option<&Member> {
        self.nodes[observer].membership.get(&id(other))
    }

    pub(crate) fn liveness(&self, observer: usize, other: usize) -> Option<Liveness> {
        self.view(observer, other).map(|member| member.liveness)
    }

    /// Return whether all running nodes see each other as alive.
    pub(crate) fn all_alive(&self) -> bool {
        let running = || (0..self.nodes.len()).filter(|index| self.nodes[*index].running);
        let ids: Vec<_> = running().map(id).collect();
        running().all(|observer| {
            let own = id(observer);
            let membership = &self.nodes[observer].membership;
            let alive = |id| membership.get(id).map(|member| member.liveness);
            ids.iter()
                .all(|id| *id == own || alive(id) == Some(Liveness::Alive))
        })
    }
}
