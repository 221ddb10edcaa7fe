//! Describe entry instances and convert them from and to the member updates of packets.

use std::net::AddrParseError;
use std::net::SocketAddr;

use oleanderpass_proto::peer::MemberState;
use oleanderpass_proto::peer::MemberUpdate;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::InvalidId;
use oleanderpass_types::id::ZoneId;
use strum::Display;

/// Whether an instance answers probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Liveness {
    /// It answers, or no unanswered probe of it is known.
    Alive,
    /// It left a probe unanswered and may still refute the suspicion.
    Suspect,
    /// It didn't refute a suspicion in time.
    Dead,
}

/// An entry instance as another one sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The id, which a restarted process keeps.
    pub id: InstanceId,
    /// The number of this run of the process. A restart raises it.
    pub incarnation: Incarnation,
    /// The version of what the instance says of itself within the incarnation. Only the instance
    /// raises it, to refute a suspicion or to announce a change.
    pub sequence: u64,
    /// The availability zone.
    pub zone: ZoneId,
    /// The IP address and port at which peers reach the instance.
    pub addr: SocketAddr,
    /// Whether it answers probes.
    pub liveness: Liveness,
    /// Whether it announced that it is leaving. Once set, it stays set for the incarnation.
    pub leaving: bool,
}

impl Member {
    /// Return whether the instance accepts new work: it isn't dead and isn't leaving.
    pub fn accepts_work(&self) -> bool {
        self.liveness != Liveness::Dead && !self.leaving
    }

    fn wire_state(&self) -> MemberState {
        match (self.liveness, self.leaving) {
            (Liveness::Suspect, _) => MemberState::Suspect,
            (Liveness::Dead, _) => MemberState::Dead,
            (Liveness::Alive, true) => MemberState::Leaving,
            (Liveness::Alive, false) => MemberState::Alive,
        }
    }
}

impl From<&Member> for MemberUpdate {
    fn from(member: &Member) -> Self {
        MemberUpdate {
            instance: member.id.to_string(),
            incarnation: member.incarnation.get(),
            sequence: member.sequence,
            state: member.wire_state().into(),
            zone: member.zone.to_string(),
            addr: member.addr.to_string(),
        }
    }
}

/// Why a member update was ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvalidUpdate {
    /// An id is empty, too long or has characters that ids can't have.
    Id(InvalidId),
    /// The address isn't an IP address and port.
    Addr(AddrParseError),
    /// The state is unknown to this program version.
    State(i32),
}

impl From<InvalidId> for InvalidUpdate {
    fn from(error: InvalidId) -> Self {
        Self::Id(error)
    }
}

impl From<AddrParseError> for InvalidUpdate {
    fn from(error: AddrParseError) -> Self {
        Self::Addr(error)
    }
}

impl TryFrom<&MemberUpdate> for Member {
    type Error = InvalidUpdate;

    fn try_from(update: &MemberUpdate) -> Result<Self, Self::Error> {
        let (liveness, leaving) = match update.state() {
            MemberState::Alive => (Liveness::Alive, false),
            MemberState::Suspect => (Liveness::Suspect, false),
            MemberState::Dead => (Liveness::Dead, false),
            MemberState::Leaving => (Liveness::Alive, true),
            MemberState::Unspecified => return Err(InvalidUpdate::State(update.state)),
        };
        Ok(Member {
            id: update.instance.parse()?,
            incarnation: Incarnation::new(update.incarnation),
            sequence: update.sequence,
            zone: update.zone.parse()?,
            addr: update.addr.parse()?,
            liveness,
            leaving,
        })
    }
}
