//! Apply what backend servers say of themselves in their answers.

use std::net::SocketAddr;

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::RequestRate;

use super::Gateway;
use crate::backend::BackendKey;
use crate::pauses::Pauses;
use crate::pauses::UrgentOrder;

impl Gateway {
    /// Record the limit on its request rate that a server named in an answer, or `None` if it named
    /// none.
    pub fn on_server_limit(&mut self, now: Timestamp, key: BackendKey, rate: Option<RequestRate>) {
        let previous = self.server_limits.get(key).map(|(rate, _)| rate);
        if previous != rate
            && let Some(backend) = self.registry.get(key)
        {
            tracing::info!(
                server = %backend.announcement.id,
                rate_per_s = rate.map(RequestRate::per_second),
                previous_per_s = previous.map(RequestRate::per_second),
                "a backend server changed the limit on its request rate"
            );
        }
        self.bulletin_pending |= self.server_limits.on_answer(now, key, rate);
    }

    /// Record that a server refused a request and wants nothing more from this instance for some
    /// time.
    pub fn on_pause_asked(&mut self, now: Timestamp, key: BackendKey, length: Millis) {
        let Some(backend) = self.registry.get(key) else {
            return;
        };
        if self.pauses.on_asked(now, key, length) {
            tracing::info!(
                server = %backend.announcement.id,
                asked_ms = length.get(),
                pause_ms = self.pauses.left(now, key).map(Millis::get),
                "a backend server asks for a pause"
            );
        }
    }

    /// Return the pauses that servers asked for.
    pub fn pauses(&self) -> &Pauses {
        &self.pauses
    }

    /// Return whether an order about memory that the server at an address holds may be sent now.
    pub fn take_order(&mut self, now: Timestamp, addr: SocketAddr, order: UrgentOrder) -> bool {
        let key = self.server_at(now, addr);
        key.is_none_or(|key| self.pauses.take_order(now, key, order))
    }

    /// Return the time until the end of the pause of the server at an address, or `None` if it has
    /// none.
    pub fn pause_left(&self, now: Timestamp, addr: SocketAddr) -> Option<Millis> {
        self.pauses.left(now, self.server_at(now, addr)?)
    }

    /// Record that a server said in an answer that it is leaving. It gets no new work for the rest
    /// of its lifetime, even if the store lists it as sound; what it has accepted ends there.
    pub fn on_server_leaving(&mut self, now: Timestamp, key: BackendKey) {
        let mut changes = Vec::new();
        self.registry.on_leaving(now, key, &mut changes);
        if let Some(change) = changes.first() {
            tracing::info!(server = %change.id, "a backend server says that it is leaving");
        }
        self.apply_changes(now, &changes);
    }
}
