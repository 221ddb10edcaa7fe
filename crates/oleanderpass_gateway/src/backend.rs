//! The announcement that a backend server publishes about itself.

use std::net::SocketAddr;

use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::id::ZoneId;
use strum::Display;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A hash of a backend server's id and incarnation, which identifies one run of the server. It is
/// the same on all entry instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendKey(pub u64);

impl BackendKey {
    /// Return the key of one incarnation of the server `id`.
    pub fn of(id: &BackendServerId, incarnation: Incarnation) -> Self {
        Self(xxh3_64_with_seed(id.as_str().as_bytes(), incarnation.get()))
    }
}

/// Whether a backend server accepts new work, as it announces itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum AnnouncedState {
    /// Accepts new work.
    Ready,
    /// Finishes the requests that it runs and accepts no new ones.
    Draining,
}

/// What a backend server announces about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The id, which stays the same over restarts.
    pub id: BackendServerId,
    /// The start time of the server process, in Unix milliseconds.
    pub incarnation: Incarnation,
    /// The service that the server runs.
    pub service: ServiceId,
    /// The address that accepts requests.
    pub addr: SocketAddr,
    /// The availability zone that the server runs in.
    pub zone: ZoneId,
    /// The number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts new work.
    pub state: AnnouncedState,
    /// How much longer the server is cold; zero if it is warm. `None` if the entry doesn't say.
    pub cold_left: Option<Millis>,
}

impl Announcement {
    /// Return the key of this incarnation.
    pub fn key(&self) -> BackendKey {
        BackendKey::of(&self.id, self.incarnation)
    }
}
