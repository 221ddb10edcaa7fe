//! Hold the state that the tasks of the process share.

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

/// The state that the tasks of the process share.
#[derive(Debug)]
pub struct Shared {
    /// The id, incarnation and availability zone of this instance.
    pub identity: Identity,
    /// The monotonic clock of the process.
    pub clock: Clock,
    /// The channel to the core.
    pub core: CoreSender,
    /// The state of the core as it was published last.
    pub snapshot: watch::Receiver<Snapshot>,
    /// The limits of the caller port.
    pub limits: Limits,
    /// The memory that bodies of requests and answers may take together.
    pub budget: BodyBudget,
    /// The idle connections to backend servers.
    pub pool: ConnectionPool,
    /// The client for calls to peers.
    pub peers: PeerCalls,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The text of the platform's instance list that was read last, from the platform or from a
    /// peer; `None` before the first read.
    pub instance_list: watch::Sender<Option<Arc<str>>>,
    /// The Unix time of the platform's last answer, in milliseconds; 0 before the first one.
    pub platform_answered_unix_ms: AtomicU64,
    /// The number in the id of the last request; 0 before the first one.
    pub last_request_number: AtomicU64,
}

impl Shared {
    /// Return the id for a new request.
    pub fn next_request_id(&self) -> RequestId {
        RequestId {
            instance: self.identity.instance.clone(),
            incarnation: self.identity.incarnation,
            number: self.last_request_number.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Record that the platform answered a read.
    pub fn record_platform_answer(&self) {
        self.platform_answered_unix_ms
            .store(unix_ms(), Ordering::Relaxed);
    }

    /// Return the time since the platform's last answer, or `None` if it never answered.
    pub fn time_since_platform_answer(&self) -> Option<Millis> {
        let answered = self.platform_answered_unix_ms.load(Ordering::Relaxed);
        (answered > 0).then(|| Millis::new(unix_ms().saturating_sub(answered)))
    }

    /// Return the generation of the document in force, or 0 before the first document.
    pub fn generation(&self) -> Generation {
        self.snapshot.borrow().generation()
    }
}
