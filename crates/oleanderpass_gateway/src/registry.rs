//! Keep the backend servers that the platform's store lists.
//!
//! The store is the authority for new work. What it says is applied by revision, so that answers of
//! the store and of peers may arrive in any order.

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::ServiceId;
use strum::Display;

use crate::backend::AnnouncedState;
use crate::backend::Announcement;
use crate::backend::BackendKey;

/// The time for which a ready server that vanished from the list serves as a last resort. It covers
/// entries that lapse together, and lies within the time in which leaving servers still serve.
pub const VANISHED_GRACE: Millis = Millis::new(1_000);

/// The time after the store's return in which entries that lapsed meanwhile come back. Source: the
/// platform's letter.
pub const RETURN_GRACE: Millis = Millis::new(2_000);

/// The time for which the revision of a removed entry is kept. Older news of it arrives within
/// seconds.
const TOMBSTONE_LIFETIME: Millis = Millis::from_secs(60);

/// Whether a server may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// Yes.
    Ready,
    /// Only when no ready one can take it, and only until this time.
    LastResort(Timestamp),
    /// No.
    Leaving,
}

/// A backend server in the list.
#[derive(Clone, Debug)]
pub struct Backend {
    /// What it announced last.
    pub announcement: Announcement,
    /// Whether it may get new work.
    pub standing: Standing,
    /// When the standing last changed.
    pub since: Timestamp,
}

/// A change of what is known of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The server.
    pub id: BackendServerId,
    /// Its incarnation.
    pub key: BackendKey,
    /// What changed.
    pub what: What,
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum What {
    /// The server, or a new incarnation of it, is listed.
    Listed,
    /// It is draining.
    Draining,
    /// It is no longer listed; it serves as a last resort for a short time.
    Vanished,
    /// It is gone.
    Removed,
}

/// An entry of the list as it was read. `None` names no usable server.
pub type Read = Option<Announcement>;

/// The list.
#[derive(Debug, Default)]
pub struct Registry {
    backends: IndexMap<BackendKey, Backend>,
    /// The revision of the last change of each id, and its key if it is listed.
    revisions: IndexMap<BackendServerId, (u64, Option<BackendKey>)>,
    tombstones: Vec<(Timestamp, BackendServerId)>,
    /// When the store answered again after an interruption.
    store_returned: Option<Timestamp>,
    complete: bool,
}

impl Registry {
    /// Return whether a whole list has been read.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Note that the store answers again after an interruption.
    pub fn on_store_recovered(&mut self, now: Timestamp) {
        self.store_returned = Some(now);
    }

    /// Return a server that is not gone.
    pub fn get(&self, key: BackendKey) -> Option<&Backend> {
        self.backends.get(&key)
    }

    /// Iterate over the servers that are not gone.
    pub fn iter(&self) -> impl Iterator<Item = (BackendKey, &Backend)> {
        self.backends.iter().map(|(key, backend)| (*key, backend))
    }

    /// Iterate over the servers of a service that may get new work.
    pub fn usable<'a>(
        &'a self,
        now: Timestamp,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = (BackendKey, &'a Backend)> {
        self.iter().filter(move |(_, backend)| {
            backend.announcement.service == *service
                && match backend.standing {
                    Standing::Ready => true,
                    Standing::LastResort(until) => now < until,
                    Standing::Leaving => false,
                }
        })
    }

    /// Take a whole list that is at least as new as `revision`. Ids whose last change is newer stay.
    pub fn replace(
        &mut self,
        now: Timestamp,
        revision: u64,
        list: Vec<(BackendServerId, u64, Read)>,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        let listed: Vec<BackendServerId> = list.iter().map(|(id, _, _)| id.clone()).collect();
        for (id, changed, read) in list {
            self.update(now, id, changed, read, &mut changes);
        }
        let missing: Vec<BackendServerId> = self
            .revisions
            .iter()
            .filter(|(id, (at, key))| key.is_some() && *at <= revision && !listed.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            self.vanish(now, id, revision, &mut changes);
        }
        self.complete = true;
        changes
    }

    /// Take one entry as it was written at `revision`.
    pub fn update(
        &mut self,
        now: Timestamp,
        id: BackendServerId,
        revision: u64,
        read: Read,
        changes: &mut Vec<Change>,
    ) {
        let held = self.revisions.get(&id).copied();
        if held.is_some_and(|(at, _)| at >= revision) {
            return;
        }
        let Some(announcement) = read else {
            self.drop_key(held.and_then(|(_, key)| key), &id, What::Removed, changes);
            self.revisions.insert(id, (revision, None));
            return;
        };
        let key = announcement.key();
        let previous = held.and_then(|(_, key)| key).filter(|held| *held != key);
        self.drop_key(previous, &id, What::Removed, changes);
        self.release_address(&announcement, changes);
        let standing = match announcement.state {
            AnnouncedState::Ready => Standing::Ready,
            AnnouncedState::Draining => Standing::Leaving,
        };
        let before = self.backends.get(&key).map(|backend| backend.standing);
        // An incarnation that was draining never takes new work again.
        let standing = if before == Some(Standing::Leaving) {
            Standing::Leaving
        } else {
            standing
        };
        if before != Some(standing) {
            let what = match standing {
                Standing::Leaving => What::Draining,
                Standing::Ready | Standing::LastResort(_) => What::Listed,
            };
            changes.push(Change {
                id: id.clone(),
                key,
                what,
            });
        }
        let since = match self.backends.get(&key) {
            Some(backend) if backend.standing == standing => backend.since,
            _ => now,
        };
        self.backends.insert(
            key,
            Backend {
                announcement,
                standing,
                since,
            },
        );
        self.revisions.insert(id, (revision, Some(key)));
    }

    /// Take the removal of an entry at `revision`.
    pub fn vanish(
        &mut self,
        now: Timestamp,
        id: BackendServerId,
        revision: u64,
        changes: &mut Vec<Change>,
    ) {
        let Some((at, key)) = self.revisions.get(&id).copied() else {
            return;
        };
        if at > revision {
            return;
        }
        self.revisions.insert(id.clone(), (revision, None));
        self.tombstones.push((now, id.clone()));
        let Some(key) = key else {
            return;
        };
        let Some(backend) = self.backends.get_mut(&key) else {
            return;
        };
        if backend.standing == Standing::Leaving {
            self.drop_key(Some(key), &id, What::Removed, changes);
            return;
        }
        let returned = self.store_returned.map(|at| at + RETURN_GRACE);
        let until = (now + VANISHED_GRACE).max(returned.unwrap_or(now));
        backend.standing = Standing::LastResort(until);
        backend.since = now;
        let what = What::Vanished;
        changes.push(Change { id, key, what });
    }

    /// Take a peer's word that an incarnation takes no new work.
    pub fn on_leaving(&mut self, now: Timestamp, key: BackendKey, changes: &mut Vec<Change>) {
        if let Some(backend) = self.backends.get_mut(&key)
            && backend.standing != Standing::Leaving
        {
            backend.standing = Standing::Leaving;
            backend.since = now;
            let id = backend.announcement.id.clone();
            let what = What::Draining;
            changes.push(Change { id, key, what });
        }
    }

    /// Drop what has expired.
    pub fn tick(&mut self, now: Timestamp, changes: &mut Vec<Change>) {
        let expired: Vec<(BackendKey, BackendServerId)> = self
            .iter()
            .filter(|(_, b)| matches!(b.standing, Standing::LastResort(until) if until <= now))
            .map(|(key, backend)| (key, backend.announcement.id.clone()))
            .collect();
        for (key, id) in expired {
            self.drop_key(Some(key), &id, What::Removed, changes);
        }
        let old = |at: Timestamp| now.since(at) >= TOMBSTONE_LIFETIME;
        let (gone, kept) = self.tombstones.drain(..).partition(|(at, _)| old(*at));
        self.tombstones = kept;
        let gone: Vec<(Timestamp, BackendServerId)> = gone;
        for (_, id) in gone {
            if self
                .revisions
                .get(&id)
                .is_some_and(|(_, key)| key.is_none())
            {
                self.revisions.shift_remove(&id);
            }
        }
    }

    /// Drop another server that had the address: addresses are used again.
    fn release_address(&mut self, new: &Announcement, changes: &mut Vec<Change>) {
        let holder = self
            .iter()
            .find(|(key, b)| b.announcement.addr == new.addr && *key != new.key())
            .map(|(key, backend)| (key, backend.announcement.id.clone()));
        if let Some((key, id)) = holder {
            self.drop_key(Some(key), &id, What::Removed, changes);
        }
    }

    fn drop_key(
        &mut self,
        key: Option<BackendKey>,
        id: &BackendServerId,
        what: What,
        changes: &mut Vec<Change>,
    ) {
        let Some(key) = key else {
            return;
        };
        if self.backends.shift_remove(&key).is_some() {
            let id = id.clone();
            changes.push(Change { id, key, what });
        }
    }
}
