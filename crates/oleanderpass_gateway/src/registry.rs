//! Keep the list of backend servers from the platform's store.
//!
//! The store decides which servers get new work. Its entries are applied by position, so that
//! answers of the store and copies from peers may arrive in any order.

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::ServiceId;
use strum::Display;

use crate::backend::AnnouncedState;
use crate::backend::Announcement;
use crate::backend::BackendKey;
use crate::store::StorePosition;

/// The time for which a ready server that vanished from the list serves as a last resort. It covers
/// entries that expire together, and it is shorter than the time for which leaving servers still
/// serve.
pub const VANISHED_GRACE: Millis = Millis::new(1_000);

/// The time after a recovery of the store within which entries that expired during its outage are
/// listed again. Source: the platform's letter.
pub const RECOVERY_GRACE: Millis = Millis::new(2_000);

/// The time for which the position of a removed entry is kept, so that older updates of the entry
/// are still ignored. They arrive within seconds.
const TOMBSTONE_LIFETIME: Millis = Millis::from_secs(60);

/// The time for which an incarnation that is gone is remembered, so that no copy of the store from
/// before lists it again. It is longer than the age of such a copy.
const DEPARTED_LIFETIME: Millis = Millis::from_secs(600);

/// The time after a restore of the store in which the entry of a server that no longer writes
/// expires. It is three heartbeats and some delay.
const STALE_ENTRY_LIFETIME: Millis = Millis::new(5_000);

/// Whether a server may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// Gets new work.
    Ready,
    /// Gets new work only if no ready server can run the request, and only until this time.
    LastResort(Timestamp),
    /// Gets new work only if no ready server can run the request. It is ready at this time if its
    /// entry, which was removed once, has not expired by then.
    Unconfirmed(Timestamp),
    /// Gets no new work and finishes the requests that it runs.
    Leaving,
}

impl Standing {
    /// Return whether a server with this standing may get new work, if only as a last resort.
    pub fn is_usable(self, now: Timestamp) -> bool {
        match self {
            Self::Ready | Self::Unconfirmed(_) => true,
            Self::LastResort(until) => now < until,
            Self::Leaving => false,
        }
    }
}

/// A backend server in the list.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The latest announcement of the server.
    pub announcement: Announcement,
    /// Whether it may get new work.
    pub standing: Standing,
    /// When the standing last changed.
    pub since: Timestamp,
}

/// A change of a backend server in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The id of the server.
    pub id: BackendServerId,
    /// The key of its incarnation.
    pub key: BackendKey,
    /// The kind of the change.
    pub kind: ChangeKind,
}

/// The kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ChangeKind {
    /// The server, or a new incarnation of it, is listed.
    Listed,
    /// The server is listed again by a store that was restored from a copy.
    Unconfirmed,
    /// The server drains and gets no new work.
    Draining,
    /// The server is no longer listed. It serves as a last resort for a short time.
    Vanished,
    /// The server was removed.
    Removed,
}

/// The announcement in an entry of the list, or `None` if the entry is malformed and describes no
/// usable server.
pub type ListEntry = Option<Announcement>;

/// An incarnation that is no longer listed.
#[derive(Clone, Copy, Debug)]
struct Departed {
    at: Timestamp,
    /// The era of the store in which it departed, or in which a copy from before listed it last.
    era: u64,
    departure: Departure,
}

/// How an incarnation left the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// It drained and gets no new work any more.
    Drained,
    /// Another server has its address, or another incarnation its id.
    Replaced,
    /// Its entry was removed.
    Vanished,
}

/// The list of backend servers.
#[derive(Debug, Default)]
pub struct Registry {
    backends: IndexMap<BackendKey, Backend>,
    /// The position of the last change of each id, and the key of the incarnation that is listed.
    positions: IndexMap<BackendServerId, (StorePosition, Option<BackendKey>)>,
    /// When each entry was removed.
    tombstones: Vec<(Timestamp, BackendServerId)>,
    /// Incarnations that were listed and no longer are.
    departed: IndexMap<BackendKey, Departed>,
    /// The latest era of the store, or 0 before anything was read.
    era: u64,
    /// When the store last recovered from an outage.
    store_recovered: Option<Timestamp>,
    /// Whether a whole list has been read.
    complete: bool,
    /// The servers whose entries were applied since the last call of [`Registry::take_announced`],
    /// and whether their incarnations are new.
    announced: Vec<(BackendKey, bool)>,
}

impl Registry {
    /// Return whether a whole list has been read.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Return the servers whose entries were applied since the last call, and whether their
    /// incarnations are new. Those of the first list are not, because nothing shows when they
    /// started, nor are those that were listed before.
    pub fn take_announced(&mut self) -> Vec<(BackendKey, bool)> {
        std::mem::take(&mut self.announced)
    }

    /// Record that the store answers again after an outage.
    pub fn on_store_recovered(&mut self, now: Timestamp) {
        self.store_recovered = Some(now);
    }

    /// Return a server that was not removed.
    pub fn get(&self, key: BackendKey) -> Option<&Backend> {
        self.backends.get(&key)
    }

    /// Iterate over all servers that were not removed.
    pub fn iter(&self) -> impl Iterator<Item = (BackendKey, &Backend)> {
        self.backends.iter().map(|(key, backend)| (*key, backend))
    }

    /// Iterate over the servers of a service that may get new work, last resorts included.
    pub fn usable<'a>(
        &'a self,
        now: Timestamp,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = (BackendKey, &'a Backend)> {
        self.servers(service)
            .filter(move |(_, backend)| backend.standing.is_usable(now))
    }

    /// Iterate over all servers of a service that were not removed.
    pub fn servers<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = (BackendKey, &'a Backend)> {
        self.iter()
            .filter(move |(_, backend)| backend.announcement.service == *service)
    }

    /// Apply a whole list that is at least as new as `position`. Servers that are not in it are
    /// removed, unless their last change is newer than `position`.
    pub fn apply_list(
        &mut self,
        now: Timestamp,
        position: impl Into<StorePosition>,
        list: Vec<(BackendServerId, StorePosition, ListEntry)>,
    ) -> Vec<Change> {
        let position = position.into();
        self.enter_era(now, position);
        let mut changes = Vec::new();
        let mut list = list;
        // Where several entries have the same address, the one that was written last is right.
        list.sort_by_key(|(_, changed, _)| *changed);
        let listed: Vec<BackendServerId> = list.iter().map(|(id, _, _)| id.clone()).collect();
        for (id, changed, entry) in list {
            self.apply_entry(now, id, changed, entry, &mut changes);
        }
        let missing: Vec<BackendServerId> = self
            .positions
            .iter()
            .filter(|(id, (at, key))| key.is_some() && *at <= position && !listed.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            self.apply_removal(now, id, position, &mut changes);
        }
        self.complete = true;
        changes
    }

    /// Apply one entry that was written at `position`. Older entries than the known one are
    /// ignored.
    pub fn apply_entry(
        &mut self,
        now: Timestamp,
        id: BackendServerId,
        position: impl Into<StorePosition>,
        entry: ListEntry,
        changes: &mut Vec<Change>,
    ) {
        let position = position.into();
        self.enter_era(now, position);
        let known = self.positions.get(&id).copied();
        if known.is_some_and(|(at, _)| at >= position) {
            return;
        }
        let Some(announcement) = entry else {
            if let Some((_, Some(key))) = known {
                self.remove(key, &id, changes);
            }
            self.positions.insert(id, (position, None));
            return;
        };
        let key = announcement.key();
        let listed_before = self.departed.get(&key).copied();
        // The first entry of a later era may be one from before the departure.
        let may_be_stale = listed_before.is_some_and(|departed| departed.era < position.era);
        let departure = listed_before.map(|departed| departed.departure);
        if let Some(departed) = self.departed.get_mut(&key) {
            departed.era = position.era;
        }
        if departure == Some(Departure::Drained)
            || (departure == Some(Departure::Replaced) && may_be_stale)
        {
            let listed = known.and_then(|(_, key)| key);
            self.positions.insert(id, (position, listed));
            return;
        }
        let previous = known
            .and_then(|(_, key)| key)
            .filter(|previous| *previous != key);
        if let Some(previous) = previous {
            self.depart(now, previous, Departure::Replaced);
            self.remove(previous, &id, changes);
        }
        self.remove_address_holder(now, &announcement, changes);
        let standing = match announcement.state {
            AnnouncedState::Draining => Standing::Leaving,
            AnnouncedState::Ready if may_be_stale => {
                Standing::Unconfirmed(now + STALE_ENTRY_LIFETIME)
            }
            AnnouncedState::Ready => Standing::Ready,
        };
        if !may_be_stale {
            self.departed.shift_remove(&key);
        }
        let before = self.backends.get(&key).map(|backend| backend.standing);
        // An incarnation that has begun to drain never gets new work again.
        let standing = if before == Some(Standing::Leaving) {
            Standing::Leaving
        } else {
            standing
        };
        if before != Some(standing) {
            let kind = match standing {
                Standing::Leaving => ChangeKind::Draining,
                Standing::Unconfirmed(_) => ChangeKind::Unconfirmed,
                Standing::Ready | Standing::LastResort(_) => ChangeKind::Listed,
            };
            changes.push(Change {
                id: id.clone(),
                key,
                kind,
            });
        }
        let since = match self.backends.get(&key) {
            Some(backend) if backend.standing == standing => backend.since,
            _ => now,
        };
        let is_new = self.complete && before.is_none() && listed_before.is_none();
        self.announced.push((key, is_new));
        self.backends.insert(
            key,
            Backend {
                announcement,
                standing,
                since,
            },
        );
        self.positions.insert(id, (position, Some(key)));
    }

    /// Apply the removal of an entry at `position`. A ready server then serves as a last resort for
    /// a short time.
    pub fn apply_removal(
        &mut self,
        now: Timestamp,
        id: BackendServerId,
        position: impl Into<StorePosition>,
        changes: &mut Vec<Change>,
    ) {
        let position = position.into();
        self.enter_era(now, position);
        let Some((at, key)) = self.positions.get(&id).copied() else {
            return;
        };
        if at > position {
            return;
        }
        self.positions.insert(id.clone(), (position, None));
        self.tombstones.push((now, id.clone()));
        let Some(key) = key else {
            return;
        };
        let Some(backend) = self.backends.get(&key) else {
            return;
        };
        let stays = matches!(backend.standing, Standing::Ready | Standing::LastResort(_));
        self.depart(now, key, Departure::Vanished);
        if !stays {
            self.remove(key, &id, changes);
            return;
        }
        let Some(backend) = self.backends.get_mut(&key) else {
            return;
        };
        let recovered = self.store_recovered.map(|at| at + RECOVERY_GRACE);
        let until = (now + VANISHED_GRACE).max(recovered.unwrap_or(now));
        backend.standing = Standing::LastResort(until);
        backend.since = now;
        let kind = ChangeKind::Vanished;
        changes.push(Change { id, key, kind });
    }

    /// Apply a peer's report that an incarnation accepts no new work.
    pub fn on_leaving(&mut self, now: Timestamp, key: BackendKey, changes: &mut Vec<Change>) {
        if let Some(backend) = self.backends.get_mut(&key)
            && backend.standing != Standing::Leaving
        {
            backend.standing = Standing::Leaving;
            backend.since = now;
            let id = backend.announcement.id.clone();
            let kind = ChangeKind::Draining;
            changes.push(Change { id, key, kind });
        }
    }

    /// Remove last resorts and tombstones that have expired, and confirm servers whose entries have
    /// not.
    pub fn tick(&mut self, now: Timestamp, changes: &mut Vec<Change>) {
        let expired: Vec<(BackendKey, BackendServerId)> = self
            .iter()
            .filter(|(_, b)| matches!(b.standing, Standing::LastResort(until) if until <= now))
            .map(|(key, backend)| (key, backend.announcement.id.clone()))
            .collect();
        for (key, id) in expired {
            self.remove(key, &id, changes);
        }
        for (key, backend) in &mut self.backends {
            if matches!(backend.standing, Standing::Unconfirmed(until) if until <= now) {
                backend.standing = Standing::Ready;
                backend.since = now;
                self.departed.shift_remove(key);
                changes.push(Change {
                    id: backend.announcement.id.clone(),
                    key: *key,
                    kind: ChangeKind::Listed,
                });
            }
        }
        self.departed
            .retain(|_, departed| now.since(departed.at) < DEPARTED_LIFETIME);
        let old = |at: Timestamp| now.since(at) >= TOMBSTONE_LIFETIME;
        let (gone, kept) = self.tombstones.drain(..).partition(|(at, _)| old(*at));
        self.tombstones = kept;
        let gone: Vec<(Timestamp, BackendServerId)> = gone;
        for (_, id) in gone {
            if self
                .positions
                .get(&id)
                .is_some_and(|(_, key)| key.is_none())
            {
                self.positions.shift_remove(&id);
            }
        }
    }

    /// Note the era of what is read. A restored store is like one that recovered: entries that it
    /// has lost are written again.
    fn enter_era(&mut self, now: Timestamp, position: StorePosition) {
        if position.era > self.era {
            if self.era > 0 {
                self.store_recovered = Some(now);
            }
            self.era = position.era;
        }
    }

    /// Remove another server with the address of `new`, because addresses are reused.
    fn remove_address_holder(
        &mut self,
        now: Timestamp,
        new: &Announcement,
        changes: &mut Vec<Change>,
    ) {
        let holder = self
            .iter()
            .find(|(key, b)| b.announcement.addr == new.addr && *key != new.key())
            .map(|(key, backend)| (key, backend.announcement.id.clone()));
        if let Some((key, id)) = holder {
            self.depart(now, key, Departure::Replaced);
            self.remove(key, &id, changes);
        }
    }

    /// Remember that an incarnation is no longer listed.
    fn depart(&mut self, now: Timestamp, key: BackendKey, departure: Departure) {
        let drained = self
            .backends
            .get(&key)
            .is_some_and(|backend| backend.standing == Standing::Leaving);
        let departed = Departed {
            at: now,
            era: self.era,
            departure: if drained {
                Departure::Drained
            } else {
                departure
            },
        };
        self.departed.insert(key, departed);
    }

    /// Remove the server with this key, if there is one, and report the change.
    fn remove(&mut self, key: BackendKey, id: &BackendServerId, changes: &mut Vec<Change>) {
        if self.backends.shift_remove(&key).is_some() {
            changes.push(Change {
                id: id.clone(),
                key,
                kind: ChangeKind::Removed,
            });
        }
    }
}
