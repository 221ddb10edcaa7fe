//! Measure membership in a fleet of instances whose state machines run in virtual time.

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
use super::measurement::format_bytes;
use super::measurement::format_time;
use super::measurement::memory_in_child_process;
use super::measurement::memory_per_value;
use super::measurement::table_row;

/// The time before the measurement in which the members discover each other.
const SETTLE_MS: u64 = 120_000;

/// The length of the measurement, in virtual time.
const MEASURED_MS: u64 = 30_000;

/// The time after which a trial ends even if some members have not received the news.
const SPREAD_TIMEOUT_MS: u64 = 60_000;

/// The port of the first member. Each further member has the next port.
const FIRST_PORT: u16 = 10_000;

/// Measure all fleet sizes and return a table.
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
        let memory_bytes = memory_in_child_process("membership", index)?;
        let mut fleet = Fleet::new(size)?;
        fleet.advance(SETTLE_MS);
        text += &fleet.measure(memory_bytes);
    }
    Ok(text)
}

/// Return the memory of one member, in bytes: the mean over a fleet in which the members have
/// discovered each other.
///
/// # Errors
///
/// Return an error when an id is malformed or memory can't be read.
pub fn member_memory(size: Size) -> eyre::Result<f64> {
    let copies = (400 / size.instances).max(1);
    let fleet = || {
        let mut fleet = Fleet::new(size)?;
        fleet.advance(SETTLE_MS);
        Ok(fleet)
    };
    Ok(memory_per_value(copies, fleet)? / size.instances as f64)
}

/// The members of a fleet and the packets between them.
struct Fleet {
    members: Vec<Membership>,
    now_ms: u64,
    rng: Pcg64Mcg,
    queue: VecDeque<Datagram>,
    /// The number of datagrams sent since the measurement began, and their size with the HMAC.
    datagrams: u64,
    bytes: u64,
    /// Whether each member has received the news of the current trial.
    informed: Vec<bool>,
    zones: usize,
}

/// A packet that is in flight.
struct Datagram {
    to: usize,
    source: SocketAddr,
    packet: Packet,
    /// Whether the sender had received the news when it sent the packet.
    carries_news: bool,
}

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index as u16))
}

impl Fleet {
    fn new(size: Size) -> eyre::Result<Self> {
        let all_addrs: Vec<SocketAddr> = (0..size.instances).map(addr).collect();
        let mut fleet = Self {
            members: Vec::new(),
            now_ms: 0,
            rng: Pcg64Mcg::new(3),
            queue: VecDeque::new(),
            datagrams: 0,
            bytes: 0,
            informed: vec![false; size.instances],
            zones: size.zones,
        };
        for (index, own_addr) in all_addrs.iter().enumerate() {
            let identity = Identity {
                id: format!("entry-{index:03}").parse()?,
                incarnation: Incarnation::new(1_000),
                zone: format!("zone-{}", index % size.zones).parse()?,
                addr: *own_addr,
            };
            let mut member = Membership::new(Timestamp::ORIGIN, identity, Vec::new());
            let list = Input::PlatformList(&all_addrs);
            member.handle(Timestamp::ORIGIN, list, &mut fleet.rng, &mut Vec::new());
            fleet.members.push(member);
        }
        Ok(fleet)
    }

    /// Advance virtual time in ticks of 100 ms. Packets arrive within the tick in which they are
    /// sent.
    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now_ms += 100;
            for index in 0..self.members.len() {
                self.handle_input(index, Input::Tick);
            }
            while let Some(datagram) = self.queue.pop_front() {
                self.informed[datagram.to] |= datagram.carries_news;
                let (source, packet) = (datagram.source, &datagram.packet);
                self.handle_input(datagram.to, Input::Packet { source, packet });
            }
        }
    }

    /// Pass an input to a member and queue the packets that it sends.
    fn handle_input(&mut self, index: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let now = Timestamp::from_millis(self.now_ms);
        self.members[index].handle(now, input, &mut self.rng, &mut out);
        for output in out {
            if let Output::Send { to, packet } = output {
                self.datagrams += 1;
                self.bytes += (packet.encoded_len() + HMAC_BYTES) as u64;
                let target = usize::from(to.port() - FIRST_PORT);
                self.queue.push_back(Datagram {
                    to: target,
                    source: addr(index),
                    packet,
                    carries_news: self.informed[index],
                });
            }
        }
    }

    /// Give news to two members of each zone, as many as read the platform's documents, and return
    /// after how many milliseconds 95% of the members and all members have received it. It spreads
    /// with the regular probes and their answers.
    fn spread_news(&mut self) -> (u64, u64) {
        self.informed.fill(false);
        for reader in 0..(2 * self.zones).min(self.members.len()) {
            self.informed[reader] = true;
        }
        let start_ms = self.now_ms;
        let mut at_95_percent_ms = None;
        loop {
            self.advance(100);
            let informed = self.informed.iter().filter(|informed| **informed).count();
            if informed * 100 >= self.members.len() * 95 {
                at_95_percent_ms.get_or_insert(self.now_ms - start_ms);
            }
            if informed == self.members.len() || self.now_ms - start_ms > SPREAD_TIMEOUT_MS {
                return (
                    at_95_percent_ms.unwrap_or(SPREAD_TIMEOUT_MS),
                    self.now_ms - start_ms,
                );
            }
        }
    }

    /// Measure the fleet and return a row of the table.
    fn measure(&mut self, memory_bytes: f64) -> String {
        let count = self.members.len() as f64;
        let measured_s = MEASURED_MS as f64 / 1_000.0;
        (self.datagrams, self.bytes) = (0, 0);
        let start = Instant::now();
        self.advance(MEASURED_MS);
        let time_ns = start.elapsed().as_nanos() as f64 / count / measured_s;
        let known_members: usize = self
            .members
            .iter()
            .map(|member| member.live_members().count())
            .min()
            .unwrap_or(0);
        let datagrams_per_s = self.datagrams as f64 / count / measured_s;
        let bytes_per_s = self.bytes as f64 / count / measured_s;
        let mut spreads_ms: Vec<(u64, u64)> = (0..20).map(|_| self.spread_news()).collect();
        let mut median_and_worst = |part: fn(&(u64, u64)) -> u64| {
            spreads_ms.sort_by_key(part);
            let seconds = |index: usize| part(&spreads_ms[index]) as f64 / 1_000.0;
            format!("{:.1} / {:.1}", seconds(10), seconds(19))
        };
        let at_95_percent = median_and_worst(|spread| spread.0);
        let at_all = median_and_worst(|spread| spread.1);
        table_row(&[
            count.to_string(),
            format!("{datagrams_per_s:.2}"),
            format!("{bytes_per_s:.0}"),
            format_time(time_ns),
            format!("{known_members} of {}", self.members.len() - 1),
            format_bytes(memory_bytes),
            at_95_percent,
            at_all,
        ])
    }
}
