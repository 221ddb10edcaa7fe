//! Run the membership protocol of one entry instance: probes, suspicions and gossip.

use std::collections::HashSet;
use std::net::SocketAddr;

use indexmap::IndexMap;
use oleanderpass_proto::peer::IndirectProbe;
use oleanderpass_proto::peer::MemberUpdate;
use oleanderpass_proto::peer::Packet;
use oleanderpass_proto::peer::Probe;
use oleanderpass_proto::peer::ProbeAnswer;
use oleanderpass_proto::peer::packet::Body;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::ZoneId;
use prost::Message;
use rand::Rng;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;

use crate::contacts::Contacts;
use crate::gossip::UpdateQueue;
use crate::member::Liveness;
use crate::member::Member;
use crate::packet::MAX_MEMBER_UPDATES;
use crate::packet::MEMBER_UPDATES_MAX_BYTES;
use crate::probe::ANSWER_TIMEOUT;
use crate::probe::OutstandingProbe;
use crate::probe::PROBE_INTERVAL;
use crate::probe::PendingRelays;
use crate::probe::RELAY_COUNT;
use crate::table::MergeResult;
use crate::table::Table;

/// The time between two ticks from which the process counts as paused: ten tick intervals. Packets
/// that arrived during the pause aren't handled yet, so a missing answer proves nothing.
pub const PAUSE_THRESHOLD: Millis = Millis::from_secs(1);

/// An input of the state machine.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A packet arrived whose origin was authenticated.
    Packet {
        /// The address that it came from.
        source: SocketAddr,
        /// The packet.
        packet: &'a Packet,
    },
    /// The platform lists these peer addresses. The list only gives addresses to contact: members
    /// are added, changed and removed by packets and probes, never by the list.
    PlatformList(&'a [SocketAddr]),
    /// Probe these addresses at once, so that what the caller attaches to the packets reaches them
    /// without delay.
    ProbeNow(&'a [SocketAddr]),
    /// A packet couldn't be sent to an address.
    SendFailed(SocketAddr),
    /// Announce that this instance is leaving.
    Leave,
    /// Time has passed. Expected every 100 ms.
    Tick,
}

/// An output of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a packet. The caller may add content by [`crate::packet::attach`].
    Send {
        /// The peer's address.
        to: SocketAddr,
        /// The packet.
        packet: Packet,
    },
    /// A member appeared or changed its incarnation, liveness or leaving state.
    Changed(Member),
    /// A newer incarnation of this instance is running, so this process must stop.
    Superseded(Incarnation),
}

/// The membership protocol of one entry instance, with its view of all others.
#[derive(Debug)]
pub struct Membership {
    /// This instance as its peers see it.
    local: Member,
    table: Table,
    updates: UpdateQueue,
    contacts: Contacts,
    relays: PendingRelays,
    outstanding: Option<OutstandingProbe>,
    /// The members that are still to be probed in this round, the next one last.
    probe_order: Vec<InstanceId>,
    /// Deaths that peers claim of members that are alive in this view.
    unconfirmed_deaths: IndexMap<InstanceId, Member>,
    next_probe: Timestamp,
    last_tick: Timestamp,
    last_number: u64,
    /// The index of the member that last filled the rest of a packet.
    fill_cursor: usize,
    superseded: bool,
}

/// What identifies this instance to its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The id, which a restarted process keeps.
    pub id: InstanceId,
    /// The incarnation of this process, higher than all earlier ones.
    pub incarnation: Incarnation,
    /// The availability zone.
    pub zone: ZoneId,
    /// The IP address and port at which peers reach this instance.
    pub addr: SocketAddr,
}

impl Membership {
    /// Create a view without members. `seeds` are contacted as long as the process runs.
    pub fn new(now: Timestamp, identity: Identity, seeds: Vec<SocketAddr>) -> Self {
        Self {
            local: Member {
                id: identity.id,
                incarnation: identity.incarnation,
                sequence: 0,
                zone: identity.zone,
                addr: identity.addr,
                liveness: Liveness::Alive,
                leaving: false,
            },
            table: Table::default(),
            updates: UpdateQueue::default(),
            contacts: Contacts::new(now, seeds),
            relays: PendingRelays::default(),
            outstanding: None,
            probe_order: Vec::new(),
            unconfirmed_deaths: IndexMap::new(),
            next_probe: now,
            last_tick: now,
            last_number: 0,
            fill_cursor: 0,
            superseded: false,
        }
    }

    /// Return this instance as its peers see it.
    pub fn local_member(&self) -> &Member {
        &self.local
    }

    /// Return another member; dead ones are included until they are forgotten.
    pub fn get(&self, id: &InstanceId) -> Option<&Member> {
        self.table.get(id)
    }

    /// Iterate over the other members; dead ones are included until they are forgotten.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter()
    }

    /// Iterate over the other members that are alive or suspected, leaving ones included.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.table.live_members()
    }

    /// Handle one input and append the resulting outputs to `out`.
    pub fn handle(
        &mut self,
        now: Timestamp,
        input: Input<'_>,
        rng: &mut impl Rng,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::Packet { source, packet } => self.on_packet(now, source, packet, out),
            Input::PlatformList(listed) => {
                self.contacts.set_listed(listed.to_vec());
                self.contacts
                    .set_cursor(rng.random_range(0..usize::MAX / 2));
            }
            Input::ProbeNow(addrs) => self.probe_addresses(addrs, out),
            Input::SendFailed(addr) => self.on_send_failed(now, addr),
            Input::Leave => self.on_leave(rng, out),
            Input::Tick => self.on_tick(now, rng, out),
        }
    }

    fn on_packet(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        packet: &Packet,
        out: &mut Vec<Output>,
    ) {
        let Ok(from) = packet.from.parse::<InstanceId>() else {
            return;
        };
        if from == self.local.id && packet.incarnation == self.local.incarnation.get() {
            return;
        }
        let known = self.table.get(&from).map(|member| member.incarnation);
        let sender_replaced = known.is_some_and(|held| held.get() > packet.incarnation);
        let mut refuted = false;
        if !sender_replaced {
            for claim in packet.members.iter().flat_map(Member::try_from) {
                refuted |= self.apply_claim(now, claim, out);
            }
        }
        match &packet.body {
            Some(Body::Probe(Probe {})) => {
                let about = self.local.id.to_string();
                let body = Body::Answer(ProbeAnswer { about });
                self.send(source, Some(&from), packet.number, Some(body), out);
            }
            Some(Body::IndirectProbe(probe)) => {
                let requester = (from, source, packet.number);
                self.on_indirect_probe(now, requester, &probe.target, out);
            }
            Some(Body::Answer(answer)) if !sender_replaced => {
                self.on_answer(now, &from, packet.number, answer, out);
                // The probe carries the refutation to the peer at once. If the packet was a probe,
                // the answer above carries it.
                if refuted {
                    self.send_probe(source, Some(&from), out);
                }
            }
            Some(Body::Answer(_)) | None => {}
        }
    }

    /// Merge a peer's claim about a member into the view. Return whether it was a suspicion or a
    /// death of this instance, which is now refuted.
    fn apply_claim(&mut self, now: Timestamp, claim: Member, out: &mut Vec<Output>) -> bool {
        if claim.id == self.local.id {
            return self.apply_claim_of_local(&claim, out);
        }
        let id = claim.id.clone();
        let before = self.table.get(&id).cloned();
        match self.table.merge(now, &claim) {
            MergeResult::Unchanged => return false,
            MergeResult::UnconfirmedDeath => {
                self.unconfirmed_deaths.insert(id, claim);
                return false;
            }
            MergeResult::Changed => self.updates.enqueue(&id),
        }
        let key = |member: &Member| (member.incarnation, member.liveness, member.leaving);
        if let Some(member) = self.table.get(&id)
            && before.as_ref().map(key) != Some(key(member))
        {
            out.push(Output::Changed(member.clone()));
            self.updates.schedule_pushes();
        }
        false
    }

    fn apply_claim_of_local(&mut self, claim: &Member, out: &mut Vec<Output>) -> bool {
        if claim.incarnation > self.local.incarnation && !self.superseded {
            self.superseded = true;
            out.push(Output::Superseded(claim.incarnation));
        }
        let against_local = claim.incarnation == self.local.incarnation
            && claim.liveness != Liveness::Alive
            && claim.sequence >= self.local.sequence;
        if against_local {
            self.updates.schedule_pushes();
            self.local.sequence = claim.sequence + 1;
            tracing::info!(sequence = self.local.sequence, "refuted a suspicion");
        }
        against_local
    }

    fn on_indirect_probe(
        &mut self,
        now: Timestamp,
        requester: (InstanceId, SocketAddr, u64),
        target: &str,
        out: &mut Vec<Output>,
    ) {
        let Ok(target) = target.parse::<InstanceId>() else {
            return;
        };
        let Some(addr) = self.table.get(&target).map(|member| member.addr) else {
            return;
        };
        let number = self.next_number();
        if self.relays.add(now, number, target.clone(), requester) {
            self.send(
                addr,
                Some(&target),
                number,
                Some(Body::Probe(Probe {})),
                out,
            );
        }
    }

    fn on_answer(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        number: u64,
        answer: &ProbeAnswer,
        out: &mut Vec<Output>,
    ) {
        if let Some(relay) = self.relays.remove(now, number, from) {
            let about = from.to_string();
            let body = Body::Answer(ProbeAnswer { about });
            let to = (
                relay.requester_addr,
                relay.requester,
                relay.requester_number,
            );
            self.send(to.0, Some(&to.1), to.2, Some(body), out);
            return;
        }
        let answered = |probe: &OutstandingProbe| {
            probe.number == number && probe.target.as_str() == answer.about
        };
        if self.outstanding.as_ref().is_some_and(answered) {
            self.outstanding = None;
        }
    }

    fn probe_addresses(&mut self, addrs: &[SocketAddr], out: &mut Vec<Output>) {
        for addr in addrs {
            let member = self.table.iter().find(|member| member.addr == *addr);
            let id = member.map(|member| member.id.clone());
            self.send_probe(*addr, id.as_ref(), out);
        }
    }

    fn on_send_failed(&mut self, now: Timestamp, addr: SocketAddr) {
        let Some(probe) = &mut self.outstanding else {
            return;
        };
        let target = self.table.get(&probe.target).map(|member| member.addr);
        if !probe.indirect && target == Some(addr) {
            probe.due = now;
        }
    }

    fn on_leave(&mut self, rng: &mut impl Rng, out: &mut Vec<Output>) {
        if self.local.leaving {
            return;
        }
        self.local.leaving = true;
        self.local.sequence += 1;
        for member in self.choose_alive(None, rng) {
            self.send_probe(member.addr, Some(&member.id), out);
        }
    }

    fn on_tick(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<Output>) {
        if now.since(self.last_tick) >= PAUSE_THRESHOLD {
            self.outstanding = None;
            self.table.restart_suspicions(now);
        }
        self.last_tick = now;
        self.advance_probe(now, rng, out);
        for member in self.table.due_final_probes(now) {
            self.send_probe(member.addr, Some(&member.id), out);
        }
        for member in self.table.expire_suspects(now) {
            self.updates.enqueue(&member.id);
            self.updates.schedule_pushes();
            out.push(Output::Changed(member));
        }
        for id in self.table.forget_dead(now) {
            self.updates.remove(&id);
        }
        if now >= self.next_probe && self.outstanding.is_none() {
            self.next_probe = now + PROBE_INTERVAL;
            self.start_probe(now, rng, out);
        }
        self.contact_next(now, rng, out);
        self.push_updates(now, rng, out);
    }

    /// Send a packet without a probe to a random live member if a push of updates is due.
    fn push_updates(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<Output>) {
        if !self.updates.start_due_push(now) {
            return;
        }
        let live: Vec<_> = self
            .table
            .live_members()
            .map(|m| (m.addr, m.id.clone()))
            .collect();
        if let Some((addr, id)) = live.choose(rng) {
            self.send(*addr, Some(id), 0, None, out);
        }
    }

    fn advance_probe(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<Output>) {
        let Some(mut probe) = self.outstanding.take_if(|probe| probe.due <= now) else {
            return;
        };
        let current = self.table.get(&probe.target).cloned();
        let Some(target) = current.filter(|held| held.incarnation == probe.incarnation) else {
            return;
        };
        if probe.indirect {
            self.suspect(now, &target, out);
            return;
        }
        for relay in self.choose_alive(Some(&target.id), rng) {
            let target = target.id.to_string();
            let body = Body::IndirectProbe(IndirectProbe { target });
            self.send(relay.addr, Some(&relay.id), probe.number, Some(body), out);
        }
        probe.indirect = true;
        probe.due = now + ANSWER_TIMEOUT;
        self.outstanding = Some(probe);
    }

    fn suspect(&mut self, now: Timestamp, target: &Member, out: &mut Vec<Output>) {
        if !self.table.suspect(now, &target.id) {
            return;
        }
        self.updates.enqueue(&target.id);
        self.updates.schedule_pushes();
        out.extend(self.table.get(&target.id).cloned().map(Output::Changed));
        // The probe informs the suspect itself, so that its refutation spreads as early as the
        // suspicion.
        self.send_probe(target.addr, Some(&target.id), out);
    }

    fn start_probe(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<Output>) {
        let Some(target) = self.next_target(rng) else {
            return;
        };
        let number = self.send_probe(target.addr, Some(&target.id), out);
        self.unconfirmed_deaths.shift_remove(&target.id);
        self.outstanding = Some(OutstandingProbe {
            number,
            target: target.id,
            incarnation: target.incarnation,
            due: now + ANSWER_TIMEOUT,
            indirect: false,
        });
    }

    /// Return the next member to probe: each one once a round, in an order that is shuffled for
    /// each round, so that each is probed within two rounds. Members that a peer claims to be dead
    /// come first.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<Member> {
        let refuted = |held: &Member, claim: &Member| {
            (held.incarnation, held.sequence) > (claim.incarnation, claim.sequence)
        };
        let table = &self.table;
        self.unconfirmed_deaths
            .retain(|id, claim| table.get(id).is_some_and(|held| !refuted(held, claim)));
        let first = self.unconfirmed_deaths.first().map(|(id, _)| id.clone());
        self.probe_order.extend(first);
        let probed = |member: &&Member| member.liveness != Liveness::Dead;
        while let Some(id) = self.probe_order.pop() {
            if let Some(member) = self.table.get(&id).filter(probed) {
                return Some(member.clone());
            }
        }
        self.probe_order = self.table.live_members().map(|m| m.id.clone()).collect();
        self.probe_order.shuffle(rng);
        let id = self.probe_order.pop()?;
        self.table.get(&id).cloned()
    }

    /// Choose up to [`RELAY_COUNT`] random members that are alive.
    fn choose_alive(&self, except: Option<&InstanceId>, rng: &mut impl Rng) -> Vec<Member> {
        let usable =
            |member: &&Member| member.liveness == Liveness::Alive && Some(&member.id) != except;
        let mut alive: Vec<_> = self.table.iter().filter(usable).cloned().collect();
        let (chosen, _) = alive.partial_shuffle(rng, RELAY_COUNT);
        chosen.to_vec()
    }

    /// Probe the next address outside of the regular probes, if a contact is due.
    fn contact_next(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<Output>) {
        if !self.contacts.is_due(now) {
            return;
        }
        let table = &self.table;
        let mut reached: HashSet<_> = table.live_members().map(|member| member.addr).collect();
        let alone = reached.is_empty();
        reached.insert(self.local.addr);
        let members = table.iter().map(|member| member.addr);
        let mut next = self.contacts.next(now, alone, members, &reached);
        let exceeds_a_packet = table.live_members().count() >= MAX_MEMBER_UPDATES;
        if next.is_none() && exceeds_a_packet && self.contacts.is_joining(now) {
            // Each answer carries updates of further members.
            let live: Vec<_> = table.live_members().map(|member| member.addr).collect();
            next = live.choose(rng).copied();
        }
        let Some(addr) = next else {
            return;
        };
        let to = table.iter().find(|member| member.addr == addr);
        let to = to.map(|member| member.id.clone());
        self.send_probe(addr, to.as_ref(), out);
    }

    fn send_probe(
        &mut self,
        to: SocketAddr,
        to_id: Option<&InstanceId>,
        out: &mut Vec<Output>,
    ) -> u64 {
        let number = self.next_number();
        self.send(to, to_id, number, Some(Body::Probe(Probe {})), out);
        number
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn send(
        &mut self,
        to: SocketAddr,
        to_id: Option<&InstanceId>,
        number: u64,
        body: Option<Body>,
        out: &mut Vec<Output>,
    ) {
        let mut packet = Packet {
            from: self.local.id.to_string(),
            incarnation: self.local.incarnation.get(),
            number,
            body,
            members: vec![MemberUpdate::from(&self.local)],
            ..Packet::default()
        };
        // The receiver learns that it is suspected or claimed to be dead, so that it can refute it.
        let receiver = to_id.and_then(|id| self.table.get(id));
        let not_alive = receiver.filter(|member| member.liveness != Liveness::Alive);
        let claimed_dead = to_id.and_then(|id| self.unconfirmed_deaths.get(id));
        if let Some(member) = not_alive.or(claimed_dead) {
            try_add_update(&mut packet, member);
        }
        self.add_queued_updates(&mut packet);
        self.add_updates_in_turn(&mut packet);
        out.push(Output::Send { to, packet });
    }

    /// Add queued updates, the urgent and the least repeated ones first.
    fn add_queued_updates(&mut self, packet: &mut Packet) {
        // Without this order, the updates of many instances that start together would delay a
        // suspicion or a refutation.
        let is_urgent = |id: &InstanceId| {
            let member = self.table.get(id);
            member.is_some_and(|m| m.liveness != Liveness::Alive || m.leaving || m.sequence > 0)
        };
        for id in self.updates.select(MAX_MEMBER_UPDATES, is_urgent) {
            if packet.members.len() >= MAX_MEMBER_UPDATES {
                return;
            }
            let Some(member) = self.table.get(&id) else {
                self.updates.remove(&id);
                continue;
            };
            if try_add_update(packet, member) {
                self.updates.record_sent(&id, self.table.len());
            }
        }
    }

    /// Fill the rest of the packet with updates of the members that aren't dead, in turn. This
    /// repeats updates that were lost and introduces a new instance to the fleet.
    fn add_updates_in_turn(&mut self, packet: &mut Packet) {
        for _ in 0..self.table.len() {
            if packet.members.len() >= MAX_MEMBER_UPDATES {
                return;
            }
            self.fill_cursor = (self.fill_cursor + 1) % self.table.len();
            let Some(member) = self.table.at(self.fill_cursor) else {
                continue;
            };
            if member.liveness != Liveness::Dead && !try_add_update(packet, member) {
                return;
            }
        }
    }
}

/// Add an update unless the packet already has one of the member or too little room. Return
/// whether the packet has one now.
fn try_add_update(packet: &mut Packet, member: &Member) -> bool {
    if packet
        .members
        .iter()
        .any(|held| held.instance == member.id.as_str())
    {
        return true;
    }
    packet.members.push(MemberUpdate::from(member));
    if packet.encoded_len() > MEMBER_UPDATES_MAX_BYTES {
        packet.members.pop();
        return false;
    }
    true
}
