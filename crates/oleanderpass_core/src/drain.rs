//! Shut the instance down without interrupting a request.

use oleanderpass_membership::membership::Input;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

use crate::action::Action;
use crate::instance::Instance;

/// The time for which the balancer still sends new requests after readiness failed.
pub const BALANCER_LAG: Millis = Millis::from_secs(5);

/// Where an instance stands in its shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drain {
    /// It isn't shutting down.
    Serving,
    /// It issues no tickets and is not ready, but accepts requests for the balancer's lag.
    Announced {
        /// The end of the balancer's lag.
        until: Timestamp,
    },
    /// It refuses new requests, except uses of its own tickets.
    Refusing,
    /// It has nothing left to do.
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

    /// Take the next step of the shutdown when its condition holds.
    ///
    /// Requests end by their deadlines and tickets expire after 30 s, so the shutdown ends by the
    /// longest admitted deadline. Releases of KV memory are given up after 30 s. It doesn't wait for the retention of ticket outcomes.
    pub(crate) fn advance_drain(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if matches!(self.drain, Drain::Announced { until } if now >= until) {
            self.drain = Drain::Refusing;
        }
        let idle = self.requests.is_empty()
            && self.attempts.is_empty()
            && !self.ledger.has_unexpired_ticket(now);
        if self.drain == Drain::Refusing && idle {
            tracing::info!("the instance has nothing left to do");
            self.drain = Drain::Exited;
            out.push(Action::Exit);
        }
    }
}
