//! Exchange membership, document versions, leaving backend servers and crash evidence with peers.

use std::net::SocketAddr;

use oleanderpass_config::distribution::Input as DocumentInput;
use oleanderpass_membership::member::Liveness;
use oleanderpass_membership::member::Member;
use oleanderpass_membership::membership::Identity;
use oleanderpass_membership::membership::Input;
use oleanderpass_membership::membership::Membership;
use oleanderpass_membership::membership::Output;
use oleanderpass_membership::packet::Attachments;
use oleanderpass_membership::packet::attach;
use oleanderpass_proto::peer;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::error::Party;
use oleanderpass_types::error::Step;
use oleanderpass_types::error::StepError;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::outcome::Outcome;
use rand::seq::SliceRandom;

use crate::action::Action;
use crate::instance::Instance;
use crate::request::Phase;
use crate::server::LeavingSource;

/// The most leaving servers in one datagram. Four with the longest ids take 310 of the 468 bytes
/// that member updates leave.
const MAX_LEAVING_PER_PACKET: usize = 4;

/// The most peers that get a datagram at once after a backend server reported that it is leaving or
/// crashed. Present deployments have no more peers than this, and an instance sends as many
/// datagrams in 4 s anyway.
const MAX_URGENT_PEERS: usize = 8;

impl Instance {
    /// Create the membership on the first event, because only events carry the current time.
    pub(crate) fn begin_membership(&mut self, now: Timestamp) {
        let (None, Some(addr)) = (&self.membership, self.peer_addr) else {
            return;
        };
        let identity = Identity {
            id: self.identity.instance.clone(),
            incarnation: self.identity.incarnation,
            zone: self.identity.zone.clone(),
            addr,
        };
        self.membership = Some(Membership::new(now, identity, self.seeds.clone()));
    }

    pub(crate) fn on_peer_packet(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        packet: &peer::Packet,
        out: &mut Vec<Action>,
    ) {
        self.run_membership(now, Input::Packet { source, packet }, out);
        if let Ok(peer) = packet.from.parse::<InstanceId>()
            && peer != self.identity.instance
        {
            let versions = DocumentInput::PeerVersions {
                peer: &peer,
                in_force: packet.in_force.as_ref(),
                candidates: &packet.candidates,
            };
            self.run_distribution(now, versions, out);
            self.confirm_by_peer(now, packet.in_force.as_ref());
        }
        self.on_peer_evidence(now, &packet.crashes);
        self.on_peer_leaving(now, &packet.leaving_servers);
        self.dispatch_queued(now, out);
    }

    pub(crate) fn on_peer_unreachable(
        &mut self,
        now: Timestamp,
        peer: &InstanceId,
        out: &mut Vec<Action>,
    ) {
        if let Some(addr) = self.peer_addr_of(peer) {
            self.run_membership(now, Input::SendFailed(addr), out);
        }
    }

    /// Probe some addresses at once. The probes carry what [`Self::send_packet`] attaches.
    pub(crate) fn probe_now(
        &mut self,
        now: Timestamp,
        addrs: &[SocketAddr],
        out: &mut Vec<Action>,
    ) {
        self.run_membership(now, Input::ProbeNow(addrs), out);
    }

    /// Pass an input to the membership and apply its outputs.
    pub(crate) fn run_membership(
        &mut self,
        now: Timestamp,
        input: Input<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(membership) = &mut self.membership else {
            return;
        };
        let mut outputs = Vec::new();
        membership.handle(now, input, &mut self.rng, &mut outputs);
        let mut changed = false;
        for output in outputs {
            match output {
                Output::Send { to, packet } => self.send_packet(now, to, packet, out),
                Output::Changed(member) => {
                    changed = true;
                    self.on_member_changed(now, &member, out);
                }
                Output::Superseded(incarnation) => {
                    tracing::warn!(%incarnation, "a newer incarnation of this instance runs");
                    self.on_shutdown(now, out);
                }
            }
        }
        if changed {
            self.update_members(now, out);
        }
    }

    /// Send a packet, with the document versions, leaving servers and crash evidence that fit in.
    fn send_packet(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        mut packet: peer::Packet,
        out: &mut Vec<Action>,
    ) {
        let repeats = self.gossip_repeats();
        let distribution = self.distribution.as_ref();
        let in_force = distribution.and_then(|distribution| distribution.in_force());
        let attachments = Attachments {
            in_force: in_force.map(|version| version.to_message(false)),
            candidates: distribution
                .map(|distribution| distribution.announced())
                .unwrap_or_default(),
            leaving_servers: self.next_leaving_announcements(repeats),
            crashes: self.evidence_for_peers(now, repeats),
        };
        let attached = attach(&mut packet, &attachments);
        for leaving in attachments
            .leaving_servers
            .iter()
            .take(attached.leaving_servers)
        {
            self.count_leaving_announcement(leaving);
        }
        let packet = Box::new(packet);
        out.push(Action::SendPacket { to, packet });
    }

    /// Return the number of datagrams that repeat one item: 3·log2(n) for a fleet of n instances,
    /// with n rounded up to a power of two, as for member updates.
    fn gossip_repeats(&self) -> u32 {
        let members = self
            .membership
            .as_ref()
            .map_or(0, |membership| membership.live_members().count());
        3 * (members + 1).next_power_of_two().ilog2().max(1)
    }

    /// Log the change, and end the requests that were forwarded to an incarnation of the member
    /// that can no longer answer.
    fn on_member_changed(&mut self, now: Timestamp, member: &Member, out: &mut Vec<Action>) {
        tracing::info!(
            instance = %member.id,
            incarnation = %member.incarnation,
            liveness = %member.liveness,
            leaving = member.leaving,
            "an entry instance changed"
        );
        let forwarded: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, req)| {
                matches!(&req.phase, Phase::Forwarded { owner, incarnation }
                    if *owner == member.id && !may_answer(member, *incarnation))
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in forwarded {
            let party = Party::Instance(member.id.as_str().into());
            let error = StepError::new(Step::Forward, party, "the owner of the ticket is gone");
            self.finish(now, &id, Outcome::Unknown, 502, Some(error), None, out);
        }
    }

    /// Pass the present members to the limits and to the distribution.
    fn update_members(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.set_limit_peers(now);
        let zone = self.live_peers_of_zone();
        let all: Vec<InstanceId> = self
            .membership
            .iter()
            .flat_map(Membership::live_members)
            .map(|member| member.id.clone())
            .collect();
        let members = DocumentInput::Members {
            zone_peers: &zone,
            all_peers: &all,
        };
        self.run_distribution(now, members, out);
    }

    /// Return the peers in this instance's zone that are alive and not leaving.
    pub(crate) fn live_peers_of_zone(&self) -> Vec<InstanceId> {
        self.membership
            .iter()
            .flat_map(Membership::live_members)
            .filter(|member| {
                member.zone == self.identity.zone
                    && member.liveness == Liveness::Alive
                    && !member.leaving
            })
            .map(|member| member.id.clone())
            .collect()
    }

    /// Mark the backend servers that a peer announces as leaving. The regular probes pass the
    /// announcement on. It isn't urgent, because this instance didn't observe the change itself.
    fn on_peer_leaving(&mut self, now: Timestamp, leaving: &[peer::LeavingServer]) {
        for raw in leaving {
            if let Ok(id) = raw.server.parse::<BackendServerId>() {
                let incarnation = Incarnation::new(raw.incarnation);
                let urgent = self.has_urgent_announcement;
                self.mark_leaving(now, &id, Some(incarnation), LeavingSource::Server);
                self.has_urgent_announcement = urgent;
            }
        }
    }

    /// Mark a server as leaving. If that is new and the server itself reported it, directly or
    /// through a peer, announce it to peers.
    pub(crate) fn mark_leaving(
        &mut self,
        now: Timestamp,
        id: &BackendServerId,
        incarnation: Option<Incarnation>,
        source: LeavingSource,
    ) {
        let Some(view) = self.servers.get_mut(id) else {
            return;
        };
        if view.mark_leaving(now, incarnation, source) {
            self.announce_leaving(id);
            self.update_views(id);
        }
    }

    /// Send a datagram to some live peers at once if this instance observed a leaving server or a
    /// crash itself since the last tick. The regular probes carry the announcement to the others.
    pub(crate) fn send_urgent_announcements(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if !std::mem::take(&mut self.has_urgent_announcement) {
            return;
        }
        let mut addrs: Vec<SocketAddr> = self
            .membership
            .iter()
            .flat_map(Membership::live_members)
            .filter(|member| member.liveness == Liveness::Alive)
            .map(|member| member.addr)
            .collect();
        let (chosen, _) = addrs.partial_shuffle(&mut self.rng, MAX_URGENT_PEERS);
        let chosen = chosen.to_vec();
        self.probe_now(now, &chosen, out);
    }

    /// Schedule the announcement that a server is leaving, if the server itself reported it,
    /// directly or through a peer.
    pub(crate) fn announce_leaving(&mut self, id: &BackendServerId) {
        let leaving = self.servers.get(id).and_then(|view| view.leaving);
        if let Some(leaving) = leaving
            && leaving.source == LeavingSource::Server
            && let Some(incarnation) = leaving.incarnation
        {
            self.leaving_announcements
                .insert(id.clone(), (incarnation, 0));
            self.has_urgent_announcement = true;
        }
    }

    /// Return the leaving servers for the next datagram, the least repeated first. Forget those
    /// that were repeated often enough.
    fn next_leaving_announcements(&mut self, repeats: u32) -> Vec<peer::LeavingServer> {
        self.leaving_announcements
            .retain(|_, (_, sent)| *sent < repeats);
        let mut announcements: Vec<_> = self.leaving_announcements.iter().collect();
        announcements.sort_by_key(|(_, (_, sent))| *sent);
        announcements
            .into_iter()
            .take(MAX_LEAVING_PER_PACKET)
            .map(|(id, (incarnation, _))| peer::LeavingServer {
                server: id.to_string(),
                incarnation: incarnation.get(),
            })
            .collect()
    }

    fn count_leaving_announcement(&mut self, sent: &peer::LeavingServer) {
        if let Ok(id) = sent.server.parse::<BackendServerId>()
            && let Some((_, count)) = self.leaving_announcements.get_mut(&id)
        {
            *count += 1;
        }
    }

    /// Return the address of the instance that issued a ticket, unless that incarnation is known
    /// to be gone. The address of an instance that is not a member is from the platform's list.
    pub(crate) fn owner_addr(
        &self,
        owner: &InstanceId,
        incarnation: Incarnation,
    ) -> Option<SocketAddr> {
        let membership = self.membership.as_ref();
        let member = membership.and_then(|membership| membership.get(owner));
        match member {
            Some(member) => may_answer(member, incarnation).then_some(member.addr),
            None => self.listed_peers.get(owner).copied(),
        }
    }

    /// Return the peer address from the membership, or else from the platform's list.
    pub(crate) fn peer_addr_of(&self, peer: &InstanceId) -> Option<SocketAddr> {
        let membership = self.membership.as_ref();
        let member = membership.and_then(|membership| membership.get(peer));
        member
            .map(|member| member.addr)
            .or_else(|| self.listed_peers.get(peer).copied())
    }
}

/// Return whether an incarnation of a member may still answer: the member isn't dead and no later
/// incarnation of it is known.
fn may_answer(member: &Member, incarnation: Incarnation) -> bool {
    member.liveness != Liveness::Dead && member.incarnation <= incarnation
}
