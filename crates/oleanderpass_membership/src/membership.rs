//! Run the membership protocol of one entry instance.

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
use crate::gossip::News;
use crate::member::Liveness;
use crate::member::Member;
use crate::packet::MAX_UPDATES;
use crate::packet::MEMBER_BYTES;
use crate::probe::ANSWER_TIME;
use crate::probe::HELPERS;
use crate::probe::Outstanding;
use crate::probe::PROBE_INTERVAL;
use crate::probe::Relays;
use crate::table::Merged;
use crate::table::Table;

/// The time between two ticks from which on the process counts as paused. Packets that arrived
/// meanwhile aren't handled yet, so nothing is concluded from missing answers. 1 s is ten ticks.
pub const PAUSE: Millis = Millis::from_secs(1);

/// An input of the state machine.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// An authentic packet arrived.
    Packet {
        /// The address that it came from.
        source: SocketAddr,
        /// The packet.
        packet: &'a Packet,
    },
    /// The platform lists these peer addresses. The list only says whom to contact: members come
    /// and go by what they and their peers say.
    PlatformList(&'a [SocketAddr]),
    /// Probe these addresses now, to tell them something without delay.
    ProbeNow(&'a [SocketAddr]),
    /// A packet couldn't be sent to an address.
    SendFailed(SocketAddr),
    /// This instance announces that it is leaving.
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
    /// A newer incarnation of this instance is running, so this process is to stop.
    Superseded(Incarnation),
}

/// The view of one entry instance on all others.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    table: Table,
    news: News,
    contacts: Contacts,
    relays: Relays,
    outstanding: Option<Outstanding>,
    order: Vec<InstanceId>,
    /// Claimed deaths of members that are alive in this view.
    doubted: IndexMap<InstanceId, Member>,
    next_probe: Timestamp,
    last_tick: Timestamp,
    number: u64,
    fill: usize,
    superseded: bool,
}

/// Who this instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The id.
    pub id: InstanceId,
    /// The incarnation of this process, higher than all earlier ones.
    pub incarnation: Incarnation,
    /// The availability zone.
    pub zone: ZoneId,
    /// The address of the peer protocols.
    pub addr: SocketAddr,
}

impl Membership {
    /// Start with no member known. `seeds` are contacted as long as the process lives.
    pub fn new(now: Timestamp, identity: Identity, seeds: Vec<SocketAddr>) -> Self {
        Self {
            me: Member {
                id: identity.id,
                incarnation: identity.incarnation,
                sequence: 0,
                zone: identity.zone,
                addr: identity.addr,
                liveness: Liveness::Alive,
                leaving: false,
            },
            table: Table::default(),
            news: News::default(),
            contacts: Contacts::new(now, seeds),
            relays: Relays::default(),
            outstanding: None,
            order: Vec::new(),
            doubted: IndexMap::new(),
            next_probe: now,
            last_tick: now,
            number: 0,
            fill: 0,
            superseded: false,
        }
    }

    /// Return this instance as its peers see it.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Return another member, also a dead one that isn't forgotten.
    pub fn get(&self, id: &InstanceId) -> Option<&Member> {
        self.table.get(id)
    }

    /// Iterate over the other members, also the dead ones that aren't forgotten.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter()
    }

    /// Iterate over the other members that are alive or suspected, leaving ones included.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.table.live_members()
    }

    /// Handle one input and append the outputs.
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
            Input::ProbeNow(addrs) => self.on_contact(addrs, out),
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
        if from == self.me.id && packet.incarnation == self.me.incarnation.get() {
            return;
        }
        let known = self.table.get(&from).map(|member| member.incarnation);
        let replaced = known.is_some_and(|held| held.get() > packet.incarnation);
        let mut refuted = false;
        if !replaced {
            for claim in packet.members.iter().flat_map(Member::try_from) {
                refuted |= self.on_claim(now, claim, out);
            }
        }
        match &packet.body {
            Some(Body::Probe(Probe {})) => {
                let about = self.me.id.to_string();
                let body = Body::Answer(ProbeAnswer { about });
                self.send(source, Some(&from), packet.number, Some(body), out);
            }
            Some(Body::IndirectProbe(probe)) => {
                let asker = (from, source, packet.number);
                self.on_indirect_probe(now, asker, &probe.target, out);
            }
            Some(Body::Answer(answer)) if !replaced => {
                self.on_answer(now, &from, packet.number, answer, out);
                // Tells the peer of the refutation at once; a probe is answered above.
                if refuted {
                    self.send_probe(source, Some(&from), out);
                }
            }
            Some(Body::Answer(_)) | None => {}
        }
    }

    /// Merge what a peer says of a member. Return whether it was a suspicion of this instance.
    fn on_claim(&mut self, now: Timestamp, claim: Member, out: &mut Vec<Output>) -> bool {
        if claim.id == self.me.id {
            return self.on_claim_of_me(&claim, out);
        }
        let id = claim.id.clone();
        let before = self.table.get(&id).cloned();
        match self.table.merge(now, &claim) {
            Merged::Unchanged => return false,
            Merged::Doubted => {
                self.doubted.insert(id, claim);
                return false;
            }
            Merged::Changed => self.news.add(&id),
        }
        let key = |member: &Member| (member.incarnation, member.liveness, member.leaving);
        if let Some(member) = self.table.get(&id)
            && before.as_ref().map(key) != Some(key(member))
        {
            out.push(Output::Changed(member.clone()));
            self.news.hurry();
        }
        false
    }

    fn on_claim_of_me(&mut self, claim: &Member, out: &mut Vec<Output>) -> bool {
        if claim.incarnation > self.me.incarnation && !self.superseded {
            self.superseded = true;
            out.push(Output::Superseded(claim.incarnation));
        }
        let against_me = claim.incarnation == self.me.incarnation
            && claim.liveness != Liveness::Alive
            && claim.sequence >= self.me.sequence;
        if against_me {
            self.news.hurry();
            self.me.sequence = claim.sequence + 1;
            tracing::info!(sequence = self.me.sequence, "refuted a suspicion");
        }
        against_me
    }

    fn on_indirect_probe(
        &mut self,
        now: Timestamp,
        asker: (InstanceId, SocketAddr, u64),
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
        if self.relays.add(now, number, target.clone(), asker) {
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
        if let Some(relay) = self.relays.take(now, number, from) {
            let about = from.to_string();
            let body = Body::Answer(ProbeAnswer { about });
            let to = (relay.asker, relay.asker_id, relay.asker_number);
            self.send(to.0, Some(&to.1), to.2, Some(body), out);
            return;
        }
        let answered =
            |probe: &Outstanding| probe.number == number && probe.target.as_str() == answer.about;
        if self.outstanding.as_ref().is_some_and(answered) {
            self.outstanding = None;
        }
    }

    fn on_contact(&mut self, addrs: &[SocketAddr], out: &mut Vec<Output>) {
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
        if self.me.leaving {
            return;
        }
        self.me.leaving = true;
        self.me.sequence += 1;
        for helper in self.helpers(None, rng) {
            self.send_probe(helper.addr, Some(&helper.id), out);
        }
    }

    fn on_tick(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<Output>) {
        if now.since(self.last_tick) >= PAUSE {
            self.outstanding = None;
            self.table.restart_suspicions(now);
        }
        self.last_tick = now;
        self.advance_probe(now, rng, out);
        for member in self.table.last_asks(now) {
            self.send_probe(member.addr, Some(&member.id), out);
        }
        for member in self.table.expire_suspects(now) {
            self.news.add(&member.id);
            self.news.hurry();
            out.push(Output::Changed(member));
        }
        for id in self.table.forget_dead(now) {
            self.news.remove(&id);
        }
        if now >= self.next_probe && self.outstanding.is_none() {
            self.next_probe = now + PROBE_INTERVAL;
            self.start_probe(now, rng, out);
        }
        self.contact(now, rng, out);
        self.push(now, rng, out);
    }

    /// Send a packet without a probe to a random member while there is fresh news.
    fn push(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<Output>) {
        if !self.news.take_push(now) {
            return;
        }
        let present: Vec<_> = self
            .table
            .live_members()
            .map(|m| (m.addr, m.id.clone()))
            .collect();
        if let Some((addr, id)) = present.choose(rng) {
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
        for helper in self.helpers(Some(&target.id), rng) {
            let target = target.id.to_string();
            let body = Body::IndirectProbe(IndirectProbe { target });
            self.send(helper.addr, Some(&helper.id), probe.number, Some(body), out);
        }
        probe.indirect = true;
        probe.due = now + ANSWER_TIME;
        self.outstanding = Some(probe);
    }

    fn suspect(&mut self, now: Timestamp, target: &Member, out: &mut Vec<Output>) {
        if !self.table.suspect(now, &target.id) {
            return;
        }
        self.news.add(&target.id);
        self.news.hurry();
        out.extend(self.table.get(&target.id).cloned().map(Output::Changed));
        // Tells the suspect directly, so that its refutation spreads as early as the suspicion.
        self.send_probe(target.addr, Some(&target.id), out);
    }

    fn start_probe(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<Output>) {
        let Some(target) = self.next_target(rng) else {
            return;
        };
        let number = self.send_probe(target.addr, Some(&target.id), out);
        self.doubted.shift_remove(&target.id);
        self.outstanding = Some(Outstanding {
            number,
            target: target.id,
            incarnation: target.incarnation,
            due: now + ANSWER_TIME,
            indirect: false,
        });
    }

    /// Return the members one after another in an order that is drawn anew each round, so that
    /// each is probed within two rounds. Members that a peer takes for dead come first.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<Member> {
        let refuted = |held: &Member, claim: &Member| {
            (held.incarnation, held.sequence) > (claim.incarnation, claim.sequence)
        };
        let table = &self.table;
        self.doubted
            .retain(|id, claim| table.get(id).is_some_and(|held| !refuted(held, claim)));
        let first = self.doubted.first().map(|(id, _)| id.clone());
        self.order.extend(first);
        let probed = |member: &&Member| member.liveness != Liveness::Dead;
        while let Some(id) = self.order.pop() {
            if let Some(member) = self.table.get(&id).filter(probed) {
                return Some(member.clone());
            }
        }
        self.order = self.table.live_members().map(|m| m.id.clone()).collect();
        self.order.shuffle(rng);
        let id = self.order.pop()?;
        self.table.get(&id).cloned()
    }

    fn helpers(&self, except: Option<&InstanceId>, rng: &mut impl Rng) -> Vec<Member> {
        let usable =
            |member: &&Member| member.liveness == Liveness::Alive && Some(&member.id) != except;
        let mut helpers: Vec<_> = self.table.iter().filter(usable).cloned().collect();
        let (chosen, _) = helpers.partial_shuffle(rng, HELPERS);
        chosen.to_vec()
    }

    fn contact(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<Output>) {
        if !self.contacts.is_due(now) {
            return;
        }
        let table = &self.table;
        let mut reached: HashSet<_> = table.live_members().map(|member| member.addr).collect();
        let alone = reached.is_empty();
        reached.insert(self.me.addr);
        let dead = table.iter().map(|member| member.addr);
        let mut next = self.contacts.next(now, alone, dead, &reached);
        let more_than_a_packet = table.live_members().count() >= MAX_UPDATES;
        if next.is_none() && more_than_a_packet && self.contacts.is_joining(now) {
            // Each answer introduces more of the members.
            let present: Vec<_> = table.live_members().map(|member| member.addr).collect();
            next = present.choose(rng).copied();
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
        self.number += 1;
        self.number
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
            from: self.me.id.to_string(),
            incarnation: self.me.incarnation.get(),
            number,
            body,
            members: vec![MemberUpdate::from(&self.me)],
            ..Packet::default()
        };
        // The receiver hears what is held against it, so that it can refute it.
        let receiver = to_id.and_then(|id| self.table.get(id));
        let not_alive = receiver.filter(|member| member.liveness != Liveness::Alive);
        let doubted = to_id.and_then(|id| self.doubted.get(id));
        if let Some(member) = not_alive.or(doubted) {
            push_update(&mut packet, member);
        }
        self.add_news(&mut packet);
        self.add_others(&mut packet);
        out.push(Output::Send { to, packet });
    }

    fn add_news(&mut self, packet: &mut Packet) {
        // Many instances that start together would delay the news of a suspicion or a refutation.
        let is_urgent = |id: &InstanceId| {
            let member = self.table.get(id);
            member.is_some_and(|m| m.liveness != Liveness::Alive || m.leaving || m.sequence > 0)
        };
        for id in self.news.next(MAX_UPDATES, is_urgent) {
            if packet.members.len() >= MAX_UPDATES {
                return;
            }
            let Some(member) = self.table.get(&id) else {
                self.news.remove(&id);
                continue;
            };
            if push_update(packet, member) {
                self.news.count(&id, self.table.len());
            }
        }
    }

    /// Use the rest of the packet for the other members in turn: this repairs what news missed and
    /// introduces a new instance to the fleet.
    fn add_others(&mut self, packet: &mut Packet) {
        for _ in 0..self.table.len() {
            if packet.members.len() >= MAX_UPDATES {
                return;
            }
            self.fill = (self.fill + 1) % self.table.len();
            let Some(member) = self.table.at(self.fill) else {
                continue;
            };
            if member.liveness != Liveness::Dead && !push_update(packet, member) {
                return;
            }
        }
    }
}

/// Add an update unless the packet has one of the member or too little room. Return whether the
/// packet has one now.
fn push_update(packet: &mut Packet, member: &Member) -> bool {
    if packet
        .members
        .iter()
        .any(|held| held.instance == member.id.as_str())
    {
        return true;
    }
    packet.members.push(MemberUpdate::from(member));
    if packet.encoded_len() > MEMBER_BYTES {
        packet.members.pop();
        return false;
    }
    true
}
