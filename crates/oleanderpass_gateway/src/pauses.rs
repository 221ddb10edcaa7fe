//! Keep to the pauses that backend servers ask for.
//!
//! A server that refuses a request may say for how long it wants nothing more from this instance.
//! Only this instance pauses, and only towards this incarnation of the server. Afterwards it sends
//! requests one after the other for a short time, because those that waited would arrive together.

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

use crate::backend::BackendKey;
use crate::server_limits::Allowance;

/// The longest pause that is kept. A server that asks for a longer one is sent a request after it,
/// so that a wrong value doesn't shut it out for good.
pub const MAX_PAUSE: Millis = Millis::from_secs(600);

/// The time between two requests right after a pause, and how long after it they keep this
/// distance.
const RESUME_INTERVAL: Millis = Millis::new(50);
const RESUME_TIME: Millis = Millis::new(1_000);

/// An order about memory that a server holds for this instance, which can't wait for the end of its
/// pause. The published bound allows two requests in a pause, so each kind may be sent once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UrgentOrder {
    /// Extend a reservation that a running request uses to the end of the pause.
    Extend,
    /// Release a reservation that was extended.
    Release,
}

/// The pause of one server.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Timestamp,
    /// When the next request may be sent after the pause.
    next_send: Timestamp,
    /// Whether an order of each kind was sent in the pause.
    extended: bool,
    released: bool,
}

/// The pauses that backend servers asked for.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    pauses: IndexMap<BackendKey, Pause>,
}

impl Pauses {
    /// Record that a server asks for a pause. A pause is never shortened. Return whether it is
    /// longer than what was known.
    pub fn on_asked(&mut self, now: Timestamp, key: BackendKey, length: Millis) -> bool {
        let until = now + length.min(MAX_PAUSE);
        let known = self.pauses.get(&key).filter(|pause| pause.until > now);
        if until <= known.map_or(now, |pause| pause.until) {
            return false;
        }
        let pause = Pause {
            until,
            next_send: until,
            extended: known.is_some_and(|pause| pause.extended),
            released: known.is_some_and(|pause| pause.released),
        };
        self.pauses.insert(key, pause);
        true
    }

    /// Return the time until the end of a server's pause, or `None` if it has none.
    pub fn left(&self, now: Timestamp, key: BackendKey) -> Option<Millis> {
        let pause = self.pauses.get(&key)?;
        (pause.until > now).then(|| now.until(pause.until))
    }

    /// Return whether a request may be sent to a server.
    pub fn allowance(&self, now: Timestamp, key: BackendKey) -> Allowance {
        match self.pauses.get(&key) {
            None => Allowance::Unlimited,
            Some(pause) if pause.next_send > now => Allowance::After(now.until(pause.next_send)),
            Some(_) => Allowance::Now,
        }
    }

    /// Count a request that will be sent to a server.
    pub fn take(&mut self, now: Timestamp, key: BackendKey) {
        if let Some(pause) = self.pauses.get_mut(&key) {
            pause.next_send = pause.next_send.max(now) + RESUME_INTERVAL;
        }
    }

    /// Return whether an order may be sent to a server now. In a pause, count it.
    pub fn take_order(&mut self, now: Timestamp, key: BackendKey, order: UrgentOrder) -> bool {
        let Some(pause) = self.pauses.get_mut(&key).filter(|p| p.until > now) else {
            return true;
        };
        let was_sent = match order {
            UrgentOrder::Extend => &mut pause.extended,
            UrgentOrder::Release => &mut pause.released,
        };
        !std::mem::replace(was_sent, true)
    }

    /// Return the number of servers that asked for a pause that hasn't ended.
    pub fn count(&self, now: Timestamp) -> usize {
        let pauses = self.pauses.values();
        pauses.filter(|pause| pause.until > now).count()
    }

    /// Forget a server that was removed.
    pub fn remove(&mut self, key: BackendKey) {
        self.pauses.swap_remove(&key);
    }

    /// Forget pauses after which requests are sent as usual again.
    pub fn tick(&mut self, now: Timestamp) {
        self.pauses
            .retain(|_, pause| now < pause.until + RESUME_TIME);
    }
}
