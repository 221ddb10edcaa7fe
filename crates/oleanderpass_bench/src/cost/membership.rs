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
         Known members after 120 s | Memory of each |\n|---|---|---|---|---|---|\n",
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
    queue: VecDeque<(usize, SocketAddr, Packet)>,
    datagrams: u64,
    bytes: u64,
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
        };
        for (index, own) in all.iter().enumerate() {
            let identity = Identity {
                id: format!("entry-{index:03}").parse()?,
                incarnation: Incarnation::new(1_000),
                zone: format!("zone-{}", index % size.zones).parse()?,
                addr: *own,
            };
            let mut node = Membership::new(Timestamp::ORIGIN, identity, Vec::new());
            let list = Input::List(&all);
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
            while let Some((to, source, packet)) = self.queue.pop_front() {
                let packet = &packet;
                self.input(to, Input::Packet { source, packet });
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
                self.queue.push_back((target, addr(index), packet));
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
            .map(|node| node.present().count())
            .min()
            .unwrap_or(0);
        row(&[
            count.to_string(),
            format!("{:.2}", self.datagrams as f64 / count / seconds),
            format!("{:.0}", self.bytes as f64 / count / seconds),
            show_time(spent),
            format!("{known} of {}", self.nodes.len() - 1),
            show_bytes(memory),
        ])
    }
}
