//! Shut the instance down without interrupting requests.

use oleanderpass_membership::membership::Input;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

use crate::action::Action;
use crate::instance::Instance;

/// The time for which the load balancer still sends new requests after the readiness check fails.
pub const BALANCER_LAG: Millis = Millis::from_secs(5);

/// The phase of an instance's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drain {
    /// The instance is not shutting down.
    Serving,
    /// The instance issues no tickets and is not ready, but still accepts requests, because the
    /// load balancer sends them until [`BALANCER_LAG`] is over.
    Announced {
        /// The time from which on the load balancer sends no new requests.
        until: Timestamp,
    },
    /// The instance refuses new requests, except those with tickets that it issued.
    Refusing,
    /// The instance is idle and has asked the process to exit.
    Exited,
}

impl Instance {
    pub(crate) fn on_shutdown(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.drain == Drain::Serving {
            tracing::info!(in_flight = self.requests.len(), "shutting down");
            self.drain = Drain::Announced {
                until: now + BALANCER_LAG,
            };
            self.run_membership(now, Input::Leave, out);
        }
    }

    /// Move on to the next phase of the shutdown when its condition is met.
    ///
    /// Requests end by their deadlines and tickets expire after 30 s, so the shutdown ends by the
    /// latest deadline of an admitted request or the expiry of the last ticket. It doesn't wait for
    /// unconfirmed releases of KV cache memory, which are given up after 30 s anyway, or until the
    /// recorded outcomes of tickets expire.
    pub(crate) fn advance_drain(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if matches!(self.drain, Drain::Announced { until } if now >= until) {
            self.drain = Drain::Refusing;
        }
        let idle = self.requests.is_empty()
            && self.attempts.is_empty()
            && !self.ledger.has_unexpired_ticket(now);
        if self.drain == Drain::Refusing && idle {
            tracing::info!("drain finished; exiting");
            self.drain = Drain::Exited;
            out.push(Action::Exit);
        }
    }
}
