//! Hold what the tasks of the process share.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use oleanderpass_core::instance::Identity;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::RequestId;
use tokio::sync::watch;

use crate::backend::pool::ConnectionPool;
use crate::caller::budget::BodyBudget;
use crate::clock::Clock;
use crate::clock::unix_ms;
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
    pub budget: BodyBudget,
    /// The idle connections to backend servers.
    pub pool: ConnectionPool,
    /// The calls to peers.
    pub peers: PeerCalls,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The text of the platform's instance list, as it was read last.
    pub list: watch::Sender<Option<Arc<str>>>,
    /// The Unix time of the platform's last answer, in milliseconds; 0 before the first one.
    pub platform_answered_unix_ms: AtomicU64,
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

    /// Note that the platform answered a read.
    pub fn note_platform_answer(&self) {
        self.platform_answered_unix_ms
            .store(unix_ms(), Ordering::Relaxed);
    }

    /// Return the time since the platform's last answer, if it ever answered.
    pub fn platform_silence(&self) -> Option<Millis> {
        let answered = self.platform_answered_unix_ms.load(Ordering::Relaxed);
        (answered > 0).then(|| Millis::new(unix_ms().saturating_sub(answered)))
    }

    /// Return the generation in force.
    pub fn generation(&self) -> Generation {
        self.snapshot.borrow().generation()
    }
}
