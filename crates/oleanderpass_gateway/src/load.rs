//! Know what work backend servers have from all entry instances.
//!
//! Own work counts at once. Peers tell theirs in bulletins, which replace what they said before, so
//! that a lost datagram does no lasting harm.

use std::collections::VecDeque;

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::size::Tokens;

use crate::backend::BackendKey;

/// The age from which a peer's bulletin no longer counts. It is a little over three intervals between
/// bulletins in fleets of up to 150 members, and one interval at 500.
pub const BULLETIN_LIFETIME: Millis = Millis::new(1_500);

/// The time over which the load of long prompts is averaged. The standard days change it every ten
/// seconds.
const LONG_LOAD_WINDOW: Millis = Millis::new(2_500);

/// A number that names one attempt of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// The work of one attempt at one backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// The time that the server reads for it, until the first event.
    pub unread_ms: f64,
    /// The longest pause between events that is on time, if the attempt writes at this server.
    pub gap: Option<Millis>,
    /// The KV memory that it takes there.
    pub memory: Tokens,
    /// It takes a slot.
    pub slot: bool,
    /// It waits behind more urgent attempts, until its first event.
    pub deferred: bool,
    /// When the server will have read its part of a split prompt. The first event of such a prompt
    /// follows the slowest of its servers, so it says little about the others. `None` if the whole
    /// prompt is read here, which the first event tells.
    pub read_by: Option<Timestamp>,
}

impl Work {
    fn unread_ms(&self, now: Timestamp) -> f64 {
        match self.read_by {
            Some(at) => self.unread_ms.min(now.until(at).get() as f64),
            None => self.unread_ms,
        }
    }
}

/// The work of several attempts at one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// The time that the server reads before it has begun all of them.
    pub unread_ms: f64,
    /// Attempts that take a slot.
    pub in_flight: u32,
    /// The shortest pause between events that is on time among those that write.
    pub gap: Option<Millis>,
    /// Attempts that write with a pause of [`TIGHT_GAP`] or less.
    pub tight_writers: u32,
    /// KV memory.
    pub memory: Tokens,
    /// Attempts among those in flight that wait behind more urgent ones.
    pub deferred: u32,
    /// The part of `unread_ms` that belongs to them.
    pub deferred_ms: f64,
    /// The part of `unread_ms` that belongs to split prompts.
    pub split_ms: f64,
    /// The time until all of it is read.
    pub split_left: Millis,
}

/// The longest pause at which a stream counts as tight. Longer ones allow a pass in which the engine
/// reads a whole long prompt.
pub const TIGHT_GAP: Millis = Millis::new(350);

impl Summary {
    fn add_work(&mut self, now: Timestamp, work: &Work) {
        let unread_ms = work.unread_ms(now);
        self.unread_ms += unread_ms;
        if let Some(at) = work.read_by {
            self.split_ms += unread_ms;
            self.split_left = self.split_left.max(now.until(at));
        }
        self.in_flight += u32::from(work.slot);
        if work.deferred {
            self.deferred += 1;
            self.deferred_ms += unread_ms;
        }
        self.memory += work.memory;
        if let Some(gap) = work.gap {
            self.gap = Some(self.gap.map_or(gap, |held| held.min(gap)));
            self.tight_writers += u32::from(gap <= TIGHT_GAP);
        }
    }

    /// Return what is left after `age`, if nothing was added.
    fn aged(mut self, age: Millis) -> Self {
        self.split_left = self.split_left.saturating_sub(age);
        let read = self.split_ms - self.split_ms.min(self.split_left.get() as f64);
        self.split_ms -= read;
        self.unread_ms -= read;
        self
    }

    fn add(&mut self, other: &Summary) {
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

#[derive(Debug)]
struct PeerLoad {
    heard: Timestamp,
    sequence: u64,
    placed: IndexMap<BackendKey, Summary>,
    long_load: f64,
}

/// The work at all backend servers.
#[derive(Debug, Default)]
pub struct LoadBook {
    own: IndexMap<BackendKey, IndexMap<AttemptId, Work>>,
    peers: IndexMap<InstanceId, PeerLoad>,
    changed: bool,
    /// When own long prompts were placed, and for how many milliseconds engines read them.
    long_reads: VecDeque<(Timestamp, f64)>,
}

impl LoadBook {
    /// Add the work of an attempt.
    pub fn place(&mut self, key: BackendKey, attempt: AttemptId, work: Work) {
        self.own.entry(key).or_default().insert(attempt, work);
        self.changed = true;
    }

    /// Count a long prompt that engines read for `read_ms` together.
    pub fn count_long(&mut self, now: Timestamp, read_ms: f64) {
        self.long_reads.push_back((now, read_ms));
    }

    /// Return the engines' worth of reading of this instance's long prompts.
    pub fn own_long_load(&self, now: Timestamp) -> f64 {
        let recent = self
            .long_reads
            .iter()
            .filter(|(at, _)| now.since(*at) < LONG_LOAD_WINDOW);
        recent.map(|(_, read_ms)| read_ms).sum::<f64>() / LONG_LOAD_WINDOW.get() as f64
    }

    /// Return the engines' worth of reading of all instances' long prompts.
    pub fn long_load(&self, now: Timestamp) -> f64 {
        let live = self
            .peers
            .values()
            .filter(|peer| now.since(peer.heard) < BULLETIN_LIFETIME);
        self.own_long_load(now) + live.map(|peer| peer.long_load).sum::<f64>()
    }

    /// Note that the servers of an attempt have read its prompt.
    pub fn on_first_event(&mut self, keys: impl IntoIterator<Item = BackendKey>, id: AttemptId) {
        for key in keys {
            if let Some(work) = self.own.get_mut(&key).and_then(|works| works.get_mut(&id)) {
                work.unread_ms = 0.0;
                work.read_by = None;
                work.deferred = false;
                self.changed = true;
            }
        }
    }

    /// Remove the work of an attempt that has ended.
    pub fn end(&mut self, keys: impl IntoIterator<Item = BackendKey>, id: AttemptId) {
        for key in keys {
            if let Some(works) = self.own.get_mut(&key) {
                works.shift_remove(&id);
                self.changed = true;
                if works.is_empty() {
                    self.own.swap_remove(&key);
                }
            }
        }
    }

    /// Return what all instances have at a server.
    pub fn summary(&self, now: Timestamp, key: BackendKey) -> Summary {
        let mut sum = self.own_summary(now, key);
        for peer in self.peers.values() {
            let age = now.since(peer.heard);
            if age < BULLETIN_LIFETIME
                && let Some(placed) = peer.placed.get(&key)
            {
                sum.add(&placed.aged(age));
            }
        }
        sum
    }

    /// Return what this instance has at a server.
    pub fn own_summary(&self, now: Timestamp, key: BackendKey) -> Summary {
        let mut sum = Summary::default();
        for work in self.own.get(&key).into_iter().flat_map(IndexMap::values) {
            sum.add_work(now, work);
        }
        sum
    }

    /// Return all that this instance has placed, for a bulletin.
    pub fn placed(&self, now: Timestamp) -> impl Iterator<Item = (BackendKey, Summary)> {
        let keys = self.own.keys();
        keys.map(move |key| (*key, self.own_summary(now, *key)))
    }

    /// Return whether own work changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Take a bulletin. Return `false` if a later one of the same peer is known.
    pub fn on_bulletin(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        sequence: u64,
        placed: IndexMap<BackendKey, Summary>,
        long_load: f64,
    ) -> bool {
        if self.peers.get(&from).is_some_and(|held| {
            held.sequence >= sequence && now.since(held.heard) < BULLETIN_LIFETIME
        }) {
            return false;
        }
        let heard = now;
        self.peers.insert(
            from,
            PeerLoad {
                heard,
                sequence,
                placed,
                long_load,
            },
        );
        true
    }

    /// Drop peers that fell silent.
    pub fn tick(&mut self, now: Timestamp) {
        self.peers
            .retain(|_, peer| now.since(peer.heard) < BULLETIN_LIFETIME);
        while matches!(self.long_reads.front(), Some((at, _)) if now.since(*at) >= LONG_LOAD_WINDOW)
        {
            self.long_reads.pop_front();
        }
    }
}
