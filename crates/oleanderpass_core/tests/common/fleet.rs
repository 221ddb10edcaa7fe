//! Test support: run several instances with a simulated network between them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use oleanderpass_core::action::Action;
use oleanderpass_core::event::CallId;
use oleanderpass_core::event::Event;
use oleanderpass_types::id::InstanceId;

use super::TestBed;

/// Several instances. Their datagrams and calls to each other arrive without delay, except those
/// to instances that are cut off.
pub struct Fleet {
    pub beds: Vec<TestBed>,
    /// Instances that are cut off or dead: they get no ticks and receive nothing from others.
    pub cut_off: BTreeSet<usize>,
    /// For each instance, the number of its actions that [`Self::deliver`] has handled.
    handled: Vec<usize>,
}

fn addr(index: usize) -> SocketAddr {
    format!("127.0.0.1:{}", 7_001 + index).parse().unwrap()
}

impl Fleet {
    /// Start `count` instances `entry-1`, `entry-2` and so on, without a document. All of them are
    /// seed peers of each.
    pub fn new(count: usize, engines: &[&str], plain_servers: &[&str]) -> Self {
        let seeds: Vec<SocketAddr> = (0..count).map(addr).collect();
        let beds = (0..count).map(|index| {
            let mut bed = TestBed::without_document(&format!("entry-{}", index + 1), 1);
            bed.instance = bed.instance.with_peers(addr(index), seeds.clone());
            bed.apply_list(TestBed::live_servers(engines, plain_servers));
            bed
        });
        let mut fleet = Self {
            beds: beds.collect(),
            cut_off: (0..count).collect(),
            handled: vec![0; count],
        };
        // Start the instances 100 ms apart, so that their probes spread over the second between
        // two probes of one instance.
        for index in 0..count {
            fleet.cut_off.remove(&index);
            fleet.advance(100);
        }
        fleet
    }

    /// Replace an instance by a new incarnation without a document or backend servers.
    pub fn replace(&mut self, index: usize, incarnation: u64) {
        let now = self.beds[index].now;
        let seeds = (0..self.beds.len()).map(addr).collect();
        let mut bed = TestBed::without_document(&format!("entry-{}", index + 1), incarnation);
        bed.instance = bed.instance.with_peers(addr(index), seeds);
        bed.now = now;
        bed.apply_list(TestBed::live_servers(&[], &[]));
        self.beds[index] = bed;
        self.handled[index] = 0;
        self.cut_off.remove(&index);
    }

    /// Advance the time, with a tick each 100 ms at each instance that isn't cut off.
    pub fn advance(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / 100 {
            for index in 0..self.beds.len() {
                self.beds[index].now += 100;
                if !self.cut_off.contains(&index) {
                    self.beds[index].event(Event::Tick);
                }
            }
            self.deliver();
        }
    }

    /// Deliver all datagrams and calls between instances, and those that result from them. Other
    /// actions, such as polls and forwarded requests, have no effect.
    pub fn deliver(&mut self) {
        while let Some((from, action)) = self.next_action() {
            match action {
                Action::SendPacket { to, packet } => {
                    let packet = packet.into();
                    let from = addr(from);
                    self.event_at(to, Event::PeerPacket { from, packet });
                }
                Action::FetchDocument { addr, query, .. } => self.fetch(from, addr, query),
                Action::LeaseQuota {
                    home,
                    addr,
                    demands,
                } => self.lease(from, home, addr, demands),
                _ => {}
            }
        }
    }

    fn next_action(&mut self) -> Option<(usize, Action)> {
        (0..self.beds.len()).find_map(|index| {
            let action = self.beds[index].actions.get(self.handled[index])?.clone();
            self.handled[index] += 1;
            Some((index, action))
        })
    }

    /// Pass an event to the instance with an address. Return its index, or `None` when there is no
    /// such instance or it is cut off.
    fn event_at(&mut self, to: SocketAddr, event: Event) -> Option<usize> {
        let index = (0..self.beds.len()).find(|index| addr(*index) == to)?;
        if self.cut_off.contains(&index) {
            return None;
        }
        self.beds[index].event(event);
        Some(index)
    }

    /// Fetch a document for the instance `requester` from the one at `to`. An instance that is cut
    /// off never answers, and no failure is reported either.
    fn fetch(
        &mut self,
        requester: usize,
        to: SocketAddr,
        query: Box<oleanderpass_proto::peer::FetchDocumentRequest>,
    ) {
        let call = CallId(1);
        let query = query.into();
        let answered = self.event_at(to, Event::FetchDocumentCall { call, query });
        let Some(index) = answered else {
            return;
        };
        let from: InstanceId = self.beds[index].instance.identity().instance.clone();
        if let Some(Action::AnswerFetch { answer, .. }) = self.beds[index].actions.last().cloned() {
            let answer = answer.into();
            self.beds[requester].event(Event::DocumentFetched { from, answer });
        }
    }

    /// Request quota for the instance `requester` from the home instance at `to`. The request fails
    /// at once if that instance is cut off.
    fn lease(
        &mut self,
        requester: usize,
        home: InstanceId,
        to: SocketAddr,
        demands: Vec<oleanderpass_proto::peer::QuotaDemand>,
    ) {
        let call = CallId(2);
        let from = self.beds[requester].instance.identity().instance.clone();
        let event = Event::LeaseQuotaCall {
            call,
            from,
            demands,
        };
        let answered = self.event_at(to, event);
        let last = answered.and_then(|index| self.beds[index].actions.last().cloned());
        let event = match last {
            Some(Action::AnswerLease { leases, .. }) => Event::QuotaLeased { home, leases },
            _ => Event::QuotaLeaseFailed { home },
        };
        self.beds[requester].event(event);
    }

    /// Return the generation in force at each instance.
    pub fn generations(&self) -> Vec<u64> {
        self.beds
            .iter()
            .map(|bed| bed.instance.generation().get())
            .collect()
    }
}
