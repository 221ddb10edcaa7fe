//! Describe an entry instance as its peers know it.

use std::net::AddrParseError;
use std::net::SocketAddr;

use oleanderpass_proto::peer::MemberState;
use oleanderpass_proto::peer::MemberUpdate;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::InvalidId;
use oleanderpass_types::id::ZoneId;
use strum::Display;

/// Whether an instance answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Liveness {
    /// It answers, or nothing is known against it.
    Alive,
    /// It missed a probe and may still refute the suspicion.
    Suspect,
    /// It didn't refute a suspicion in time.
    Dead,
}

/// An entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The id.
    pub id: InstanceId,
    /// The life of the process.
    pub incarnation: Incarnation,
    /// The number that the instance raises to refute a suspicion or to announce a change.
    pub sequence: u64,
    /// The availability zone.
    pub zone: ZoneId,
    /// The address of the peer protocols.
    pub addr: SocketAddr,
    /// Whether it answers.
    pub liveness: Liveness,
    /// It announced that it is leaving. This holds for the incarnation.
    pub leaving: bool,
}

impl Member {
    /// Return whether the instance may take new work: it isn't dead and isn't leaving.
    pub fn accepts_work(&self) -> bool {
        self.liveness != Liveness::Dead && !self.leaving
    }

    fn state(&self) -> MemberState {
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
            state: member.state().into(),
            zone: member.zone.to_string(),
            addr: member.addr.to_string(),
        }
    }
}

/// Why a member update was dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvalidUpdate {
    /// An id has characters that ids don't have.
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

    fn try_from(raw: &MemberUpdate) -> Result<Self, Self::Error> {
        let (liveness, leaving) = match raw.state() {
            MemberState::Alive => (Liveness::Alive, false),
            MemberState::Suspect => (Liveness::Suspect, false),
            MemberState::Dead => (Liveness::Dead, false),
            MemberState::Leaving => (Liveness::Alive, true),
            MemberState::Unspecified => return Err(InvalidUpdate::State(raw.state)),
        };
        Ok(Member {
            id: raw.instance.parse()?,
            incarnation: Incarnation::new(raw.incarnation),
            sequence: raw.sequence,
            zone: raw.zone.parse()?,
            addr: raw.addr.parse()?,
            liveness,
            leaving,
        })
    }
}
