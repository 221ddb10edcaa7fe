//! Index which engines are expected to have a prefix in their cache.
//!
//! The index is updated by this instance's own dispatches at once, and by cache events, which are
//! late and can be lost. A wrong entry can make an estimate wrong, but never an answer.

use indexmap::IndexMap;
use oleanderpass_types::size::Tokens;

use crate::request::Prefix;

/// The number of engines kept for one prefix: the two of rendezvous hashing and two others.
const HOLDERS_PER_PREFIX: usize = 4;

/// The most prefixes in each of the two halves of the index.
///
/// Two halves of 32,768 entries with 56 bytes each take less than 4 MB of the 64 MB for control
/// work.
const HALF_CAPACITY: usize = 32_768;

/// The identity of one engine's cache content.
///
/// It changes when the engine restarts or cache events are lost, which invalidates older entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheKey(pub u64);

/// The engines that are expected to have a prefix, the most recently inserted first.
type Holders = [Option<CacheKey>; HOLDERS_PER_PREFIX];

/// The expected content of the prefix caches.
///
/// Its size is bounded: when the recent half is full it replaces the older half.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    recent: IndexMap<u64, Holders>,
    older: IndexMap<u64, Holders>,
}

impl PrefixIndex {
    /// Record that an engine has a prefix in its cache, or will have it soon.
    pub fn insert(&mut self, prefix: u64, engine: CacheKey) {
        let mut holders = self
            .recent
            .get(&prefix)
            .or_else(|| self.older.get(&prefix))
            .copied()
            .unwrap_or_default();
        let position = holders
            .iter()
            .position(|holder| *holder == Some(engine))
            .unwrap_or(HOLDERS_PER_PREFIX - 1);
        holders[..=position].rotate_right(1);
        holders[0] = Some(engine);
        if self.recent.len() >= HALF_CAPACITY {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(prefix, holders);
    }

    /// Record that an engine evicted a prefix.
    pub fn remove(&mut self, prefix: u64, engine: CacheKey) {
        for half in [&mut self.recent, &mut self.older] {
            if let Some(holders) = half.get_mut(&prefix) {
                for holder in holders.iter_mut() {
                    if *holder == Some(engine) {
                        *holder = None;
                    }
                }
            }
        }
    }

    /// Return the length of the longest of `prefixes` that the engine is expected to have cached.
    pub fn expected_hit(&self, prefixes: &[Prefix], engine: CacheKey) -> Tokens {
        prefixes
            .iter()
            .rev()
            .find(|prefix| self.holds(prefix.hash, engine))
            .map_or(Tokens::ZERO, |prefix| prefix.tokens)
    }

    /// Return the number of entries; a prefix may have one in each half.
    pub fn len(&self) -> usize {
        self.recent.len() + self.older.len()
    }

    /// Return whether the index has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn holds(&self, prefix: u64, engine: CacheKey) -> bool {
        self.recent
            .get(&prefix)
            .or_else(|| self.older.get(&prefix))
            .is_some_and(|holders| holders.contains(&Some(engine)))
    }
}
