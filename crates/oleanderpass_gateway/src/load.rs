//! Track the load that all entry instances have placed on backend servers.
//!
//! This instance's own load counts at once. Peers send theirs in bulletins. Each bulletin replaces
//! the previous one of the same peer, so a lost datagram has no lasting effect.

use std::collections::VecDeque;

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::size::Tokens;

use crate::backend::BackendKey;

/// The age from which a peer's bulletin is ignored. It is a little over three intervals
/// between bulletins in fleets of up to 150 members, and one interval at 500.
pub const BULLETIN_LIFETIME: Millis = Millis::new(1_500);

/// The time over which the load of long prompts is averaged. It is about the longest usual
/// objective of a long prompt, because such a prompt may occupy engines for that long.
const LOAD_WINDOW: Millis = Millis::new(4_000);

/// The largest prefill time of one prompt that counts in the load of long prompts, in milliseconds.
/// A longer prompt can't be on time, so it doesn't need more engines to itself.
const MAX_COUNTED_PREFILL_MS: f64 = 10_000.0;

/// A number that identifies an attempt of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// The load of one attempt on one backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptLoad {
    /// Prefill time still pending, in milliseconds. 0 after the first event.
    pub unread_ms: f64,
    /// The longest pause between events that is on time. `None` if this server does not decode for
    /// the attempt, or if the route sets no limit.
    pub gap: Option<Millis>,
    /// The KV cache memory that the attempt uses on the server.
    pub memory: Tokens,
    /// Whether the attempt uses a slot of the server. A helper only prefills and uses none.
    pub takes_slot: bool,
    /// Whether the attempt waits behind more urgent ones. `false` after the first event.
    pub deferred: bool,
    /// When the server is expected to have prefilled its part of a split prompt. The first event of
    /// such a prompt follows the slowest of its servers and shows little about the others. `None`
    /// if this server prefills the whole prompt, because the first event then shows the end of
    /// prefill.
    pub prefill_end: Option<Timestamp>,
}

impl AttemptLoad {
    /// Return the prefill time still pending at `now`, in milliseconds.
    fn unread_ms(&self, now: Timestamp) -> f64 {
        match self.prefill_end {
            Some(at) => self.unread_ms.min(now.until(at).get() as f64),
            None => self.unread_ms,
        }
    }
}

/// The total load of several attempts on one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendLoad {
    /// Prefill time still pending, in milliseconds.
    pub unread_ms: f64,
    /// The number of attempts that use a slot.
    pub in_flight: u32,
    /// The shortest gap of the attempts that decode on the server. `None` if there is none.
    pub gap: Option<Millis>,
    /// The number of attempts that decode on the server with a gap of [`TIGHT_GAP`] or less.
    pub tight_writers: u32,
    /// KV cache memory in use.
    pub memory: Tokens,
    /// The number of attempts in flight that wait behind more urgent ones.
    pub deferred: u32,
    /// The part of `unread_ms` that belongs to deferred attempts.
    pub deferred_ms: f64,
    /// The part of `unread_ms` that belongs to split prompts.
    pub split_ms: f64,
    /// The time until the prefill of all parts of split prompts is expected to end.
    pub split_left: Millis,
}

/// The longest gap with which a stream counts as tight. A longer gap allows for a pass in which the
/// engine prefills a whole long prompt.
pub const TIGHT_GAP: Millis = Millis::new(350);

impl BackendLoad {
    fn add_attempt(&mut self, now: Timestamp, load: &AttemptLoad) {
        let unread_ms = load.unread_ms(now);
        self.unread_ms += unread_ms;
        if let Some(at) = load.prefill_end {
            self.split_ms += unread_ms;
            self.split_left = self.split_left.max(now.until(at));
        }
        self.in_flight += u32::from(load.takes_slot);
        if load.deferred {
            self.deferred += 1;
            self.deferred_ms += unread_ms;
        }
        self.memory += load.memory;
        if let Some(gap) = load.gap {
            self.gap = Some(self.gap.map_or(gap, |shortest| shortest.min(gap)));
            self.tight_writers += u32::from(gap <= TIGHT_GAP);
        }
    }

    /// Return what is left of the load after `age` if nothing was added.
    fn aged(mut self, age: Millis) -> Self {
        self.split_left = self.split_left.saturating_sub(age);
        let done = self.split_ms - self.split_ms.min(self.split_left.get() as f64);
        self.split_ms -= done;
        self.unread_ms -= done;
        self
    }

    fn merge(&mut self, other: &BackendLoad) {
        self.unread_ms += other.unread_ms;
        self.in_flight += other.in_flight;
        self.deferred += other.deferred;
        self.deferred_ms += other.deferred_ms;
        self.split_ms += other.split_ms;
        self.split_left = self.split_left.max(other.split_left);
        self.memory += other.memory;
        self.tight_writers += other.tight_writers;
        self.gap = match (self.gap, other.gap) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    }
}

/// The load that a peer reported in its last bulletin.
#[derive(Debug)]
struct PeerLoad {
    /// When the bulletin was received.
    received: Timestamp,
    sequence: u64,
    placed: IndexMap<BackendKey, BackendLoad>,
    long_prompt_load: f64,
}

/// The load on all backend servers, from this instance and its peers.
#[derive(Debug, Default)]
pub struct LoadTracker {
    own: IndexMap<BackendKey, IndexMap<AttemptId, AttemptLoad>>,
    peers: IndexMap<InstanceId, PeerLoad>,
    /// Whether own load changed since the last call of [`LoadTracker::take_changed`].
    changed: bool,
    /// When own long prompts arrived, and the total prefill time of each in milliseconds.
    long_prompts: VecDeque<(Timestamp, f64)>,
}

impl LoadTracker {
    /// Add the load of an attempt on a server.
    pub fn add(&mut self, key: BackendKey, attempt: AttemptId, load: AttemptLoad) {
        self.own.entry(key).or_default().insert(attempt, load);
        self.changed = true;
    }

    /// Record a long prompt that takes engines `prefill_ms` in total to prefill.
    pub fn record_long_prompt(&mut self, now: Timestamp, prefill_ms: f64) {
        self.long_prompts
            .push_back((now, prefill_ms.min(MAX_COUNTED_PREFILL_MS)));
    }

    /// Return the average number of engines that prefill long prompts of this instance.
    pub fn own_long_prompt_load(&self, now: Timestamp) -> f64 {
        let recent = self
            .long_prompts
            .iter()
            .filter(|(at, _)| now.since(*at) < LOAD_WINDOW);
        recent.map(|(_, prefill_ms)| prefill_ms).sum::<f64>() / LOAD_WINDOW.get() as f64
    }

    /// Return the average number of engines that prefill long prompts of all instances.
    pub fn long_prompt_load(&self, now: Timestamp) -> f64 {
        let live = self
            .peers
            .values()
            .filter(|peer| now.since(peer.received) < BULLETIN_LIFETIME);
        self.own_long_prompt_load(now) + live.map(|peer| peer.long_prompt_load).sum::<f64>()
    }

    /// Record that the servers of an attempt have prefilled its prompt.
    pub fn on_first_event(&mut self, keys: impl IntoIterator<Item = BackendKey>, id: AttemptId) {
        for key in keys {
            if let Some(load) = self.own.get_mut(&key).and_then(|loads| loads.get_mut(&id)) {
                load.unread_ms = 0.0;
                load.prefill_end = None;
                load.deferred = false;
                self.changed = true;
            }
        }
    }

    /// Remove the load of an attempt that has ended.
    pub fn remove(&mut self, keys: impl IntoIterator<Item = BackendKey>, id: AttemptId) {
        for key in keys {
            if let Some(loads) = self.own.get_mut(&key) {
                loads.shift_remove(&id);
                self.changed = true;
                if loads.is_empty() {
                    self.own.swap_remove(&key);
                }
            }
        }
    }

    /// Return the load of all instances on a server.
    pub fn backend_load(&self, now: Timestamp, key: BackendKey) -> BackendLoad {
        let mut sum = self.own_backend_load(now, key);
        for peer in self.peers.values() {
            let age = now.since(peer.received);
            if age < BULLETIN_LIFETIME
                && let Some(placed) = peer.placed.get(&key)
            {
                sum.merge(&placed.aged(age));
            }
        }
        sum
    }

    /// Return the load of this instance on a server.
    pub fn own_backend_load(&self, now: Timestamp, key: BackendKey) -> BackendLoad {
        let mut sum = BackendLoad::default();
        for load in self.own.get(&key).into_iter().flat_map(IndexMap::values) {
            sum.add_attempt(now, load);
        }
        sum
    }

    /// Return the load of this instance on each of its servers, for a bulletin.
    pub fn placed(&self, now: Timestamp) -> impl Iterator<Item = (BackendKey, BackendLoad)> {
        let keys = self.own.keys();
        keys.map(move |key| (*key, self.own_backend_load(now, *key)))
    }

    /// Return whether own load changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Replace a peer's load by that of its bulletin. Return `false` if a later bulletin of the
    /// same peer was received already.
    pub fn on_bulletin(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        sequence: u64,
        placed: IndexMap<BackendKey, BackendLoad>,
        long_prompt_load: f64,
    ) -> bool {
        if self.peers.get(&from).is_some_and(|last| {
            last.sequence >= sequence && now.since(last.received) < BULLETIN_LIFETIME
        }) {
            return false;
        }
        let received = now;
        self.peers.insert(
            from,
            PeerLoad {
                received,
                sequence,
                placed,
                long_prompt_load,
            },
        );
        true
    }

    /// Drop the load of peers without recent bulletins, and long prompts outside of the averaging
    /// window.
    pub fn tick(&mut self, now: Timestamp) {
        self.peers
            .retain(|_, peer| now.since(peer.received) < BULLETIN_LIFETIME);
        while matches!(self.long_prompts.front(), Some((at, _)) if now.since(*at) >= LOAD_WINDOW) {
            self.long_prompts.pop_front();
        }
    }
}
