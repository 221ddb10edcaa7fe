//! Remember which availability zones operators have evacuated, and retire their servers in an order
//! that all instances know.
//!
//! Evacuations are merged by the position of their last change in the store, so that reads of the
//! store and copies from peers may arrive in any order. A revoked one is kept, because an older read
//! may still have it.

use indexmap::IndexMap;
use oleanderpass_proto::peer::Evacuation as RawEvacuation;
use oleanderpass_routing::rendezvous::node_key;
use oleanderpass_routing::rendezvous::weight;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::ZoneId;
use smol_str::SmolStr;
use strum::Display;

use crate::backend::BackendKey;
use crate::store::StorePosition;

/// The number of evacuations, revoked ones included, that are kept. Revoked ones are dropped beyond
/// it. Deployments have a few zones.
const MAX_ENTRIES: usize = 64;

/// The number of earlier writes of a key whose revisions are kept. A restored store may have any of
/// them.
const MAX_EARLIER_WRITES: usize = 8;

/// The node in the hash that orders the servers of a zone.
const ORDER_NODE: &str = "evacuation";

/// What an instance knows of one evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The position of the write of the key. The default if only a removal is known.
    pub write: StorePosition,
    /// The position at which the key is known to be removed again. `None` while the evacuation is in
    /// force.
    pub removal: Option<StorePosition>,
    /// When this instance learned of the write.
    learned: Timestamp,
    /// The longest time from the write until then. `None` if it isn't known.
    age: Option<Millis>,
    /// Whether an instance saw the write as a change. It is new then, whatever its revision is.
    witnessed: bool,
}

impl Evacuation {
    /// Return the longest time since the write of the key, or `None` if it isn't known.
    pub fn age(&self, now: Timestamp) -> Option<Millis> {
        self.age.map(|age| age + now.since(self.learned))
    }

    /// Return when this instance learned of the evacuation.
    pub fn learned(&self) -> Timestamp {
        self.learned
    }

    /// Take a lower limit of the time since the write, which another reader of the store may know.
    fn lower_age(&mut self, now: Timestamp, age: Option<Millis>) {
        let is_lower = |age: Millis| self.age(now).is_none_or(|own| age < own);
        if age.is_some_and(is_lower) {
            self.age = age;
            self.learned = now;
        }
    }

    fn is_in_force(&self) -> bool {
        self.removal.is_none()
    }

    /// Return the position of the last known change of the key.
    fn changed(&self) -> StorePosition {
        self.removal.unwrap_or(self.write)
    }

    /// Note the last write before the removal, which may have been read first.
    fn learn_write(&mut self, write: StorePosition) {
        if self.removal.is_some_and(|removal| write < removal) {
            self.write = self.write.max(write);
        }
    }
}

/// Return whether a write that is read in a later era than its removal is one of those known before.
/// The store was restored from a copy that is older than the removal then.
fn had_ended_before(
    removal: StorePosition,
    last: StorePosition,
    earlier: &[u64],
    write: StorePosition,
) -> bool {
    let is_last = last > StorePosition::default() && last.revision == write.revision;
    removal.era < write.era && (is_last || earlier.contains(&write.revision))
}

/// An evacuation as a peer knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerEvacuation {
    /// The availability zone.
    pub zone: ZoneId,
    /// The key in the store.
    pub key: SmolStr,
    /// The position of the write of the key. The default if only a removal is known.
    pub write: StorePosition,
    /// The position at which the key is known to be removed again.
    pub removal: Option<StorePosition>,
    /// The longest time since the write. `None` if it isn't known.
    pub age: Option<Millis>,
    /// Whether an instance saw the write as a change.
    pub witnessed: bool,
    /// The revisions of earlier writes.
    pub earlier: Vec<u64>,
}

/// A change of what this instance believes about an availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The zone.
    pub zone: ZoneId,
    /// The kind of the change.
    pub kind: ChangeKind,
    /// The position in the store that is the reason.
    pub position: StorePosition,
    /// The longest time since the write of the key. `None` if it isn't known.
    pub age: Option<Millis>,
}

/// The kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ChangeKind {
    /// The zone is evacuated.
    Evacuated,
    /// The evacuation is revoked.
    Revoked,
    /// A restored store no longer has the evacuation, which stays in force.
    Kept,
    /// A restored store has an evacuation again that had been revoked, which is ignored.
    Ignored,
}

/// An evacuation with its key in the store.
#[derive(Debug)]
struct Entry {
    key: SmolStr,
    evacuation: Evacuation,
    /// The revisions of earlier writes, the latest last.
    earlier: Vec<u64>,
    /// The latest era of the store that was reported to contradict what is known: it lacks an
    /// evacuation in force, or has a revoked one again.
    reported_era: u64,
}

impl Entry {
    /// Record that an era of the store contradicts what is known. Return whether that is news.
    fn is_news(&mut self, era: u64) -> bool {
        let is_news = era > self.reported_era;
        self.reported_era = self.reported_era.max(era);
        is_news
    }

    /// Remember the revision of an earlier write.
    fn note_earlier(&mut self, revision: u64) {
        if revision > 0 && !self.earlier.contains(&revision) {
            self.earlier.push(revision);
        }
        let excess = self.earlier.len().saturating_sub(MAX_EARLIER_WRITES);
        self.earlier.drain(..excess);
    }

    /// Return whether a write is one that ended before the store was restored.
    fn had_ended(&self, write: StorePosition) -> bool {
        let Evacuation { removal, .. } = self.evacuation;
        removal.is_some_and(|removal| {
            had_ended_before(removal, self.evacuation.write, &self.earlier, write)
        })
    }
}

/// The evacuations that this instance knows.
#[derive(Debug, Default)]
pub struct Evacuations {
    entries: IndexMap<ZoneId, Entry>,
}

impl Evacuations {
    /// Return whether a server may get new work. The servers of an evacuated zone stop one after the
    /// other within the first half of `bound` from the write of the key, and all at once if the time
    /// of the write isn't known.
    pub fn accepts(&self, now: Timestamp, key: BackendKey, zone: &ZoneId, bound: Millis) -> bool {
        let Some(evacuation) = self.get(zone) else {
            return true;
        };
        evacuation
            .age(now)
            .is_some_and(|age| age < retirement(key, bound))
    }

    /// Return the evacuation of a zone, if it is in force.
    pub fn get(&self, zone: &ZoneId) -> Option<&Evacuation> {
        let evacuation = &self.entries.get(zone)?.evacuation;
        evacuation.is_in_force().then_some(evacuation)
    }

    /// Iterate over the evacuations in force.
    pub fn in_force(&self) -> impl Iterator<Item = (&ZoneId, &Evacuation)> {
        let all = self.entries.iter();
        all.map(|(zone, entry)| (zone, &entry.evacuation))
            .filter(|(_, evacuation)| evacuation.is_in_force())
    }

    /// Apply the write of a key. `age` is the longest time since then, if this instance saw the
    /// write as a change. Return what it changes.
    pub fn apply_write(
        &mut self,
        now: Timestamp,
        zone: &ZoneId,
        key: &SmolStr,
        write: StorePosition,
        age: Option<Millis>,
    ) -> Option<Change> {
        let evacuation = Evacuation {
            write,
            removal: None,
            learned: now,
            age,
            witnessed: age.is_some(),
        };
        self.apply(zone, key, evacuation)
    }

    fn apply(&mut self, zone: &ZoneId, key: &SmolStr, evacuation: Evacuation) -> Option<Change> {
        let Evacuation {
            write,
            age,
            witnessed,
            ..
        } = evacuation;
        let kind = match self.entries.get_mut(zone) {
            None => {
                self.insert(zone, key, evacuation);
                ChangeKind::Evacuated
            }
            Some(entry) if write <= entry.evacuation.changed() => {
                entry.evacuation.learn_write(write);
                entry.evacuation.witnessed |= witnessed && write == entry.evacuation.write;
                if write == entry.evacuation.write {
                    entry
                        .evacuation
                        .lower_age(evacuation.learned, evacuation.age);
                }
                return None;
            }
            Some(entry) if entry.evacuation.is_in_force() => {
                entry.note_earlier(entry.evacuation.write.revision);
                entry.evacuation.write = write;
                entry.evacuation.witnessed = witnessed;
                return None;
            }
            // The copy from which the store was restored is older than the removal.
            Some(entry) if !witnessed && entry.had_ended(write) => {
                if !entry.is_news(write.era) {
                    return None;
                }
                ChangeKind::Ignored
            }
            Some(entry) => {
                entry.note_earlier(entry.evacuation.write.revision);
                entry.evacuation = evacuation;
                ChangeKind::Evacuated
            }
        };
        Some(change(zone, kind, write, age))
    }

    /// Apply the removal of a key. Return what it changes.
    pub fn apply_removal(
        &mut self,
        now: Timestamp,
        zone: &ZoneId,
        key: &SmolStr,
        removal: StorePosition,
    ) -> Option<Change> {
        let Some(entry) = self.entries.get_mut(zone) else {
            let evacuation = Evacuation {
                write: StorePosition::default(),
                removal: Some(removal),
                learned: now,
                age: None,
                witnessed: false,
            };
            self.insert(zone, key, evacuation);
            return None;
        };
        let evacuation = &mut entry.evacuation;
        if removal <= evacuation.changed() {
            return None;
        }
        let was_in_force = evacuation.is_in_force();
        evacuation.removal = Some(removal);
        let age = evacuation.age(now);
        was_in_force.then(|| change(zone, ChangeKind::Revoked, removal, age))
    }

    /// Apply the end of a whole list of the store that was read at `position` or later and has the
    /// evacuations of `listed`. Those that it lacks are revoked, except those of an earlier era,
    /// which a restored store may have lost.
    pub fn apply_absence(
        &mut self,
        now: Timestamp,
        position: StorePosition,
        listed: &[ZoneId],
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for (zone, entry) in &mut self.entries {
            let write = entry.evacuation.write;
            if !entry.evacuation.is_in_force() || listed.contains(zone) {
                continue;
            }
            let kind = if write.era == position.era {
                if write > position {
                    continue;
                }
                entry.evacuation.removal = Some(position);
                ChangeKind::Revoked
            } else if position.era > write.era && entry.is_news(position.era) {
                ChangeKind::Kept
            } else {
                continue;
            };
            let age = entry.evacuation.age(now);
            changes.push(change(zone, kind, position, age));
        }
        changes
    }

    /// Apply an evacuation that a peer knows. Return what it changes.
    pub fn apply_peer(&mut self, now: Timestamp, peer: &PeerEvacuation) -> Option<Change> {
        let change = self.merge(now, peer);
        if let Some(entry) = self.entries.get_mut(&peer.zone) {
            let write = entry.evacuation.write;
            let earlier = peer.earlier.iter().chain([&peer.write.revision]);
            for revision in earlier.filter(|revision| **revision != write.revision) {
                entry.note_earlier(*revision);
            }
        }
        change
    }

    fn merge(&mut self, now: Timestamp, peer: &PeerEvacuation) -> Option<Change> {
        let evacuation = Evacuation {
            write: peer.write,
            removal: peer.removal,
            learned: now,
            age: peer.age,
            witnessed: peer.witnessed,
        };
        let Some(removal) = peer.removal else {
            return self.apply(&peer.zone, &peer.key, evacuation);
        };
        if let Some(entry) = self.entries.get_mut(&peer.zone)
            && let own = entry.evacuation
            && own.is_in_force()
            && !own.witnessed
            && had_ended_before(removal, peer.write, &peer.earlier, own.write)
        {
            entry.evacuation = evacuation;
            let age = own.age(now);
            return Some(change(&peer.zone, ChangeKind::Revoked, removal, age));
        }
        let changed = self.apply_removal(now, &peer.zone, &peer.key, removal);
        if let Some(entry) = self.entries.get_mut(&peer.zone)
            && entry.evacuation.removal == Some(removal)
        {
            entry.evacuation.learn_write(peer.write);
        }
        changed
    }

    /// Return all evacuations for a peer.
    pub fn encode(&self, now: Timestamp) -> Vec<RawEvacuation> {
        let encode = |entry: &Entry| {
            let evacuation = &entry.evacuation;
            let removal = evacuation.removal.unwrap_or_default();
            let age = evacuation.age(now);
            RawEvacuation {
                key: entry.key.to_string(),
                era: evacuation.write.era,
                revision: evacuation.write.revision,
                revoked: evacuation.removal.is_some(),
                revoked_era: removal.era,
                revoked_revision: removal.revision,
                age_ms: age.filter(|_| evacuation.is_in_force()).map(Millis::get),
                witnessed: evacuation.witnessed,
                earlier_writes: entry.earlier.clone(),
            }
        };
        self.entries.values().map(encode).collect()
    }

    /// Return a hash of what is known from before an era of the store, or 0 if there is nothing.
    /// Instances with the same hash know the same.
    pub fn earlier_hash(&self, era: u64) -> u64 {
        let earlier = self
            .entries
            .values()
            .filter(|entry| entry.evacuation.changed().era < era);
        earlier.fold(0, |hash, entry| {
            let Evacuation { write, removal, .. } = entry.evacuation;
            let removal = removal.unwrap_or_default();
            let parts = [write.era, write.revision, removal.era, removal.revision];
            let own = parts.into_iter().fold(node_key(&entry.key), weight);
            hash ^ own
        })
    }

    fn insert(&mut self, zone: &ZoneId, key: &SmolStr, evacuation: Evacuation) {
        let entry = Entry {
            key: key.clone(),
            evacuation,
            earlier: Vec::new(),
            reported_era: 0,
        };
        self.entries.insert(zone.clone(), entry);
        if self.entries.len() > MAX_ENTRIES {
            let revoked = self.entries.iter();
            let revoked = revoked.filter(|(_, entry)| !entry.evacuation.is_in_force());
            let oldest = revoked.min_by_key(|(_, entry)| entry.evacuation.changed());
            if let Some(zone) = oldest.map(|(zone, _)| zone.clone()) {
                self.entries.shift_remove(&zone);
            }
        }
    }
}

fn change(zone: &ZoneId, kind: ChangeKind, position: StorePosition, age: Option<Millis>) -> Change {
    Change {
        zone: zone.clone(),
        kind,
        position,
        age,
    }
}

/// Return the time after the evacuation of its zone at which a server gets no new work any more. It
/// is the same at all instances. The second half of the bound is left for the delay of the news and
/// for requests that are connecting.
pub fn retirement(key: BackendKey, bound: Millis) -> Millis {
    let half = u128::from(bound.get() / 2);
    let rank = u128::from(weight(key.0, node_key(ORDER_NODE)));
    Millis::new(((half * rank) >> u64::BITS) as u64)
}
