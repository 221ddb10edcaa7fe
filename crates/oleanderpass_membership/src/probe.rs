//! Track the probes that wait for an answer.

use std::net::SocketAddr;

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;

/// The time between probes.
pub(crate) const PROBE_INTERVAL: Millis = Millis::from_secs(1);

/// The time to wait for an answer, first to the direct probe and then again to the indirect ones.
/// The longest round trip between zones is about 2 ms; the rest allows for a busy process.
pub(crate) const ANSWER_TIMEOUT: Millis = Millis::new(500);

/// The number of instances that are asked to probe one that didn't answer. They relay its answer.
pub(crate) const RELAY_COUNT: usize = 3;

/// The time for which a relaying instance remembers to whom an answer goes.
const RELAY_TTL: Millis = Millis::from_secs(1);

/// The most answers that a relaying instance waits for.
const MAX_RELAYS: usize = 64;

/// The regular probe that waits for an answer.
#[derive(Clone, Debug)]
pub(crate) struct OutstandingProbe {
    pub(crate) number: u64,
    pub(crate) target: InstanceId,
    pub(crate) incarnation: Incarnation,
    /// When the wait for an answer ends, first to the direct probe, then to the indirect ones.
    pub(crate) due: Timestamp,
    /// The direct probe wasn't answered in time, and relays were asked to probe the target.
    pub(crate) indirect: bool,
}

/// A probe that this instance sent at the request of another one.
#[derive(Clone, Debug)]
pub(crate) struct PendingRelay {
    pub(crate) number: u64,
    pub(crate) target: InstanceId,
    pub(crate) requester_addr: SocketAddr,
    pub(crate) requester: InstanceId,
    /// The number of the packet that asked for the probe. The relayed answer carries it.
    pub(crate) requester_number: u64,
    sent: Timestamp,
}

/// The answers that this instance waits for in order to relay them.
#[derive(Debug, Default)]
pub(crate) struct PendingRelays(Vec<PendingRelay>);

impl PendingRelays {
    /// Add a relay and return true, unless [`MAX_RELAYS`] are pending.
    pub(crate) fn add(
        &mut self,
        now: Timestamp,
        number: u64,
        target: InstanceId,
        requester: (InstanceId, SocketAddr, u64),
    ) -> bool {
        self.expire(now);
        if self.0.len() >= MAX_RELAYS {
            return false;
        }
        let (requester, requester_addr, requester_number) = requester;
        self.0.push(PendingRelay {
            number,
            target,
            requester_addr,
            requester,
            requester_number,
            sent: now,
        });
        true
    }

    /// Remove and return the relay that an answer belongs to.
    pub(crate) fn remove(
        &mut self,
        now: Timestamp,
        number: u64,
        target: &InstanceId,
    ) -> Option<PendingRelay> {
        self.expire(now);
        let found = |relay: &PendingRelay| relay.number == number && relay.target == *target;
        let index = self.0.iter().position(found)?;
        Some(self.0.swap_remove(index))
    }

    fn expire(&mut self, now: Timestamp) {
        self.0.retain(|relay| now.since(relay.sent) < RELAY_TTL);
    }
}
