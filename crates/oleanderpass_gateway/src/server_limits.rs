//! Track the limits on their request rate that backend servers name.

use indexmap::IndexMap;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::RequestRate;

use crate::backend::BackendKey;

/// The limit of one backend server.
#[derive(Clone, Copy, Debug)]
struct ServerLimit {
    rate: RequestRate,
    /// When the server named it in the last answer.
    named: Timestamp,
}

/// The limits of all backend servers that name one.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    limits: IndexMap<BackendKey, ServerLimit>,
}

impl ServerLimits {
    /// Record the limit that a server named in an answer, or `None` if it named none.
    pub fn on_answer(&mut self, now: Timestamp, key: BackendKey, rate: Option<RequestRate>) {
        match rate {
            Some(rate) => {
                self.limits.insert(key, ServerLimit { rate, named: now });
            }
            None => {
                self.limits.swap_remove(&key);
            }
        }
    }

    /// Return the limit of a server and when it was named, or `None` if the server names none.
    pub fn get(&self, key: BackendKey) -> Option<(RequestRate, Timestamp)> {
        self.limits.get(&key).map(|limit| (limit.rate, limit.named))
    }
}
