//! Keep the probes that wait for an answer.

use std::net::SocketAddr;

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;

/// The time between probes.
pub(crate) const PROBE_INTERVAL: Millis = Millis::from_secs(1);

/// The time after which an answer is missed, first by the target and then by the helpers. The
/// longest round trip between zones is about 2 ms; the rest allows for a busy process.
pub(crate) const ANSWER_TIME: Millis = Millis::new(500);

/// The number of instances that are asked to probe a silent one.
pub(crate) const HELPERS: usize = 3;

/// How long a helper remembers whom to relay an answer to.
const RELAY_TIME: Millis = Millis::from_secs(1);

/// The most answers that a helper waits for.
const MAX_RELAYS: usize = 64;

/// The regular probe that waits for an answer.
#[derive(Clone, Debug)]
pub(crate) struct Outstanding {
    pub(crate) number: u64,
    pub(crate) target: InstanceId,
    pub(crate) incarnation: Incarnation,
    /// When the current step ends: first the direct, then the indirect one.
    pub(crate) due: Timestamp,
    pub(crate) indirect: bool,
}

/// A probe that this instance sent as a helper.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    pub(crate) number: u64,
    pub(crate) target: InstanceId,
    pub(crate) asker: SocketAddr,
    pub(crate) asker_id: InstanceId,
    pub(crate) asker_number: u64,
    sent: Timestamp,
}

/// The answers that this instance waits for as a helper.
#[derive(Debug, Default)]
pub(crate) struct Relays(Vec<Relay>);

impl Relays {
    /// Remember a relay unless too many wait.
    pub(crate) fn add(
        &mut self,
        now: Timestamp,
        number: u64,
        target: InstanceId,
        asker: (InstanceId, SocketAddr, u64),
    ) -> bool {
        self.expire(now);
        if self.0.len() >= MAX_RELAYS {
            return false;
        }
        let (asker_id, asker, asker_number) = asker;
        self.0.push(Relay {
            number,
            target,
            asker,
            asker_id,
            asker_number,
            sent: now,
        });
        true
    }

    /// Take the relay that an answer belongs to.
    pub(crate) fn take(
        &mut self,
        now: Timestamp,
        number: u64,
        target: &InstanceId,
    ) -> Option<Relay> {
        self.expire(now);
        let found = |relay: &Relay| relay.number == number && relay.target == *target;
        let index = self.0.iter().position(found)?;
        Some(self.0.swap_remove(index))
    }

    fn expire(&mut self, now: Timestamp) {
        self.0.retain(|relay| now.since(relay.sent) < RELAY_TIME);
    }
}
