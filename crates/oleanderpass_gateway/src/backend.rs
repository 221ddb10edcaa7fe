//! Describe one backend server as its own announcement does.

use std::net::SocketAddr;

use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::id::ZoneId;
use strum::Display;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One incarnation of a backend server, as a hash of its id and incarnation. It is the same on all
/// entry instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendKey(pub u64);

impl BackendKey {
    /// Return the key of an incarnation.
    pub fn of(id: &BackendServerId, incarnation: Incarnation) -> Self {
        Self(xxh3_64_with_seed(id.as_str().as_bytes(), incarnation.get()))
    }
}

/// Whether a backend server takes new work, by its own account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum AnnouncedState {
    /// It takes new work.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// What a backend server announces of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The id.
    pub id: BackendServerId,
    /// The start of the process, in Unix milliseconds.
    pub incarnation: Incarnation,
    /// The service.
    pub service: ServiceId,
    /// The address.
    pub addr: SocketAddr,
    /// The availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: AnnouncedState,
}

impl Announcement {
    /// Return the key of this incarnation.
    pub fn key(&self) -> BackendKey {
        BackendKey::of(&self.id, self.incarnation)
    }
}
