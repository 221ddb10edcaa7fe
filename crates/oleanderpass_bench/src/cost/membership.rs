//! Measure membership in a fleet of state machines with injected time.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Instant;

use oleanderpass_membership::membership::Identity;
use oleanderpass_membership::membership::Input;
use oleanderpass_membership::membership::Membership;
use oleanderpass_membership::membership::Output;
use oleanderpass_membership::packet::HMAC_BYTES;
use oleanderpass_proto::peer::Packet;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Incarnation;
use prost::Message;
use rand_pcg::Pcg64Mcg;

use super::SIZES;
use super::Size;
use super::gauge::memory;
use super::gauge::memory_apart;
use super::gauge::row;
use super::gauge::show_bytes;
use super::gauge::show_time;

/// The time in which the members learn of each other before the measurement.
const SETTLE_MS: u64 = 120_000;

/// The measured time.
const MEASURED_MS: u64 = 30_000;

/// The longest wait for news to spread.
const SPREAD_LIMIT_MS: u64 = 60_000;

/// The first port of the fleet.
const FIRST_PORT: u16 = 10_000;

/// Measure all sizes.
///
/// # Errors
///
/// Return an error when an id is malformed or memory can't be read.
pub fn table() -> eyre::Result<String> {
    let mut text = String::from(
        "| Instances | Datagrams/s sent by each | Bytes/s sent by each | Time each second | \
         Known members after 120 s | Memory of each | News at 95% of all, s: median / worst of 20 | \
         News at all, s: median / worst of 20 |\n|---|---|---|---|---|---|---|---|\n",
    );
    for (index, size) in SIZES.into_iter().enumerate() {
        let bytes = memory_apart("membership", index)?;
        let mut fleet = Fleet::new(size)?;
        fleet.run(SETTLE_MS);
        text += &fleet.measure(bytes);
    }
    Ok(text)
}

/// Measure the memory of one member, over a whole fleet that has settled.
///
/// # Errors
///
/// Return an error when an id is malformed or memory can't be read.
pub fn member_memory(size: Size) -> eyre::Result<f64> {
    let copies = (400 / size.instances).max(1);
    let fleet = || {
        let mut fleet = Fleet::new(size)?;
        fleet.run(SETTLE_MS);
        Ok(fleet)
    };
    Ok(memory(copies, fleet)? / size.instances as f64)
}

struct Fleet {
    nodes: Vec<Membership>,
    now: u64,
    rng: Pcg64Mcg,
    queue: VecDeque<Datagram>,
    datagrams: u64,
    bytes: u64,
    /// The members that have heard the news of the current trial.
    informed: Vec<bool>,
    zones: usize,
}

/// A packet on its way.
struct Datagram {
    to: usize,
    source: SocketAddr,
    packet: Packet,
    /// The sender had heard the news when it sent the packet.
    news: bool,
}

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index as u16))
}

impl Fleet {
    fn new(size: Size) -> eyre::Result<Self> {
        let all: Vec<SocketAddr> = (0..size.instances).map(addr).collect();
        let mut fleet = Self {
            nodes: Vec::new(),
            now: 0,
            rng: Pcg64Mcg::new(3),
            queue: VecDeque::new(),
            datagrams: 0,
            bytes: 0,
            informed: vec![false; size.instances],
            zones: size.zones,
        };
        for (index, own) in all.iter().enumerate() {
            let identity = Identity {
                id: format!("entry-{index:03}").parse()?,
                incarnation: Incarnation::new(1_000),
                zone: format!("zone-{}", index % size.zones).parse()?,
                addr: *own,
            };
            let mut node = Membership::new(Timestamp::ORIGIN, identity, Vec::new());
            let list = Input::PlatformList(&all);
            node.handle(Timestamp::ORIGIN, list, &mut fleet.rng, &mut Vec::new());
            fleet.nodes.push(node);
        }
        Ok(fleet)
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now += 100;
            for index in 0..self.nodes.len() {
                self.input(index, Input::Tick);
            }
            while let Some(datagram) = self.queue.pop_front() {
                self.informed[datagram.to] |= datagram.news;
                let (source, packet) = (datagram.source, &datagram.packet);
                self.input(datagram.to, Input::Packet { source, packet });
            }
        }
    }

    fn input(&mut self, index: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let now = Timestamp::from_millis(self.now);
        self.nodes[index].handle(now, input, &mut self.rng, &mut out);
        for output in out {
            if let Output::Send { to, packet } = output {
                self.datagrams += 1;
                self.bytes += (packet.encoded_len() + HMAC_BYTES) as u64;
                let target = usize::from(to.port() - FIRST_PORT);
                self.queue.push_back(Datagram {
                    to: target,
                    source: addr(index),
                    packet,
                    news: self.informed[index],
                });
            }
        }
    }

    /// Give news to two members of each zone, the readers, and return after how many milliseconds
    /// 95% and all members have heard it on the regular probes and their answers.
    fn spread(&mut self) -> (u64, u64) {
        self.informed.fill(false);
        for reader in 0..(2 * self.zones).min(self.nodes.len()) {
            self.informed[reader] = true;
        }
        let start = self.now;
        let mut most = None;
        loop {
            self.run(100);
            let informed = self.informed.iter().filter(|informed| **informed).count();
            if informed * 100 >= self.nodes.len() * 95 {
                most.get_or_insert(self.now - start);
            }
            if informed == self.nodes.len() || self.now - start > SPREAD_LIMIT_MS {
                return (most.unwrap_or(SPREAD_LIMIT_MS), self.now - start);
            }
        }
    }

    fn measure(&mut self, memory: f64) -> String {
        let count = self.nodes.len() as f64;
        let seconds = MEASURED_MS as f64 / 1_000.0;
        (self.datagrams, self.bytes) = (0, 0);
        let start = Instant::now();
        self.run(MEASURED_MS);
        let spent = start.elapsed().as_nanos() as f64 / count / seconds;
        let known: usize = self
            .nodes
            .iter()
            .map(|node| node.live_members().count())
            .min()
            .unwrap_or(0);
        let datagrams = self.datagrams as f64 / count / seconds;
        let bytes = self.bytes as f64 / count / seconds;
        let mut spreads: Vec<(u64, u64)> = (0..20).map(|_| self.spread()).collect();
        let mut quantiles = |part: fn(&(u64, u64)) -> u64| {
            spreads.sort_by_key(part);
            let seconds = |index: usize| part(&spreads[index]) as f64 / 1_000.0;
            format!("{:.1} / {:.1}", seconds(10), seconds(19))
        };
        let most = quantiles(|spread| spread.0);
        let all = quantiles(|spread| spread.1);
        row(&[
            count.to_string(),
            format!("{datagrams:.2}"),
            format!("{bytes:.0}"),
            show_time(spent),
            format!("{known} of {}", self.nodes.len() - 1),
            show_bytes(memory),
            most,
            all,
        ])
    }
}
