//! Hold what the tasks of the process share.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use oleanderpass_core::instance::Identity;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::RequestId;
use tokio::sync::watch;

use crate::backend::pool::Pool;
use crate::caller::budget::Budget;
use crate::clock::Clock;
use crate::core_loop::CoreSender;
use crate::metrics::Metrics;
use crate::peer::client::PeerCalls;
use crate::settings::Limits;
use crate::snapshot::Snapshot;

/// What the tasks of the process share.
#[derive(Debug)]
pub struct Shared {
    /// Who this instance is.
    pub identity: Identity,
    /// The monotonic clock.
    pub clock: Clock,
    /// The channel to the core.
    pub core: CoreSender,
    /// The state of the core.
    pub snapshot: watch::Receiver<Snapshot>,
    /// The limits of the caller port.
    pub limits: Limits,
    /// The bytes that bodies may take.
    pub budget: Budget,
    /// The idle connections to backend servers.
    pub pool: Pool,
    /// The calls to peers.
    pub peers: PeerCalls,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The text of the platform's instance list, as it was read last.
    pub list: watch::Sender<Option<Arc<str>>>,
    /// The number of the last request.
    pub last_request: AtomicU64,
}

impl Shared {
    /// Draw the id of a new request.
    pub fn draw_request_id(&self) -> RequestId {
        RequestId {
            instance: self.identity.instance.clone(),
            incarnation: self.identity.incarnation,
            number: self.last_request.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Return the generation in force.
    pub fn generation(&self) -> Generation {
        self.snapshot.borrow().generation()
    }
}
