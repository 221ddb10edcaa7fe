//! Remember which engines are expected to hold a prefix in their cache.
//!
//! The index learns from own dispatches at once and from cache events, which are late and have
//! gaps. It is a hint: a wrong entry costs a wrong estimate, never a wrong answer.

use indexmap::IndexMap;
use oleanderpass_types::size::Tokens;

use crate::request::Prefix;

/// The engines remembered for one prefix: the two of rendezvous hashing and two others.
const HOLDERS_PER_PREFIX: usize = 4;

/// The prefixes of one half of the index.
///
/// Two halves of 32,768 entries with 56 bytes each take less than 4 MB of the 64 MB of a node.
const HALF_CAPACITY: usize = 32_768;

/// An engine with one content of its cache: it changes when the engine restarts or events are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheKey(pub u64);

type Holders = [Option<CacheKey>; HOLDERS_PER_PREFIX];

/// The expected content of the prefix caches, bounded by forgetting the older half.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    recent: IndexMap<u64, Holders>,
    older: IndexMap<u64, Holders>,
}

impl PrefixIndex {
    /// Note that an engine holds, or soon will hold, a prefix.
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

    /// Note that an engine evicted a prefix.
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

    /// Return the length of the longest of `prefixes` that the engine is expected to hold.
    pub fn expected_hit(&self, prefixes: &[Prefix], engine: CacheKey) -> Tokens {
        prefixes
            .iter()
            .rev()
            .find(|prefix| self.holds(prefix.hash, engine))
            .map_or(Tokens::ZERO, |prefix| prefix.tokens)
    }

    /// Return the number of remembered prefixes.
    pub fn len(&self) -> usize {
        self.recent.len() + self.older.len()
    }

    /// Return whether nothing is remembered.
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
