//! Apply what backend servers say of themselves in their answers.

use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::RequestRate;

use super::Gateway;
use crate::backend::BackendKey;

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

    /// Record that a server said in an answer that it is leaving. It gets no new work for the rest of
    /// its lifetime, even if the store lists it as sound; what it has accepted ends there.
    pub fn on_server_leaving(&mut self, now: Timestamp, key: BackendKey) {
        let mut changes = Vec::new();
        self.registry.on_leaving(now, key, &mut changes);
        if let Some(change) = changes.first() {
            tracing::info!(server = %change.id, "a backend server says that it is leaving");
        }
        self.apply_changes(now, &changes);
    }
}
