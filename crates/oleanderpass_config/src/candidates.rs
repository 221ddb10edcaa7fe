//! Keep documents that aren't in force yet, and the generations with two contents.

use indexmap::IndexMap;
use oleanderpass_proto::peer::DocumentVersion;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Generation;

use crate::content::Content;
use crate::version::Version;

/// The time without a conflicting digest after which a candidate comes into force. It covers one
/// round of probes (1 s) and an answer (0.5 s).
pub(crate) const SETTLE_TIME: Millis = Millis::new(1_500);

/// The most candidates. A generation every 200 ms makes 8 within the settle time.
const MAX_CANDIDATES: usize = 8;

/// The most versions kept of what peers announce, and the most conflict marks.
const MAX_HEARD: usize = 16;

/// How long a candidate of a peer is remembered: a settle time and the time to hear of it.
const HEARD_TIME: Millis = Millis::from_secs(5);

#[derive(Clone, Debug)]
struct Candidate {
    version: Version,
    content: Content,
    since: Timestamp,
}

/// The candidates of an instance and what it heard of those of peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Candidates {
    held: Vec<Candidate>,
    heard: IndexMap<Generation, (Version, Timestamp)>,
    conflicts: IndexMap<Generation, Version>,
}

/// What became of a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Noted {
    /// It is held, or was held or known before.
    Known,
    /// It is new.
    New,
    /// It has just been found to conflict with another content of its generation.
    Conflict,
    /// Its generation was marked as conflicted before.
    Conflicted,
}

impl Candidates {
    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Hold a valid document until it settles.
    pub(crate) fn add(&mut self, now: Timestamp, content: Content) -> Noted {
        let version = content.version();
        let noted = self.note(now, version);
        let held = self.held.iter().any(|held| held.version == version);
        if held || matches!(noted, Noted::Conflict | Noted::Conflicted) {
            return noted;
        }
        // The newest gives way, so that the older ones still settle during a long burst.
        self.held.truncate(MAX_CANDIDATES - 1);
        self.held.push(Candidate {
            version,
            content,
            since: now,
        });
        Noted::New
    }

    /// Note a candidate of this instance or of a peer and compare it with others.
    pub(crate) fn note(&mut self, now: Timestamp, version: Version) -> Noted {
        let generation = version.generation;
        if self.conflicts.contains_key(&generation) {
            return Noted::Conflicted;
        }
        self.heard
            .retain(|_, (_, since)| now.since(*since) < HEARD_TIME);
        let held = self.held.iter().map(|held| held.version);
        let mut known = held.chain(self.heard.values().map(|(version, _)| *version));
        match known.find(|known| known.generation == generation) {
            Some(known) if known == version => Noted::Known,
            Some(_) => {
                self.mark(version);
                Noted::Conflict
            }
            None => {
                if self.heard.len() >= MAX_HEARD {
                    self.heard.shift_remove_index(0);
                }
                self.heard.insert(generation, (version, now));
                Noted::New
            }
        }
    }

    /// Mark a generation as conflicted. Return whether that is new.
    pub(crate) fn mark(&mut self, version: Version) -> bool {
        let generation = version.generation;
        self.held
            .retain(|held| held.version.generation != generation);
        self.heard.shift_remove(&generation);
        if self.conflicts.contains_key(&generation) {
            return false;
        }
        if self.conflicts.len() >= MAX_HEARD {
            self.conflicts.shift_remove_index(0);
        }
        self.conflicts.insert(generation, version);
        true
    }

    /// Return the highest candidate that has settled.
    pub(crate) fn settled(&self, now: Timestamp) -> Option<Content> {
        let settled = |held: &&Candidate| now.since(held.since) >= SETTLE_TIME;
        let highest = self.held.iter().filter(settled).max_by_key(|c| c.version);
        highest.map(|held| held.content.clone())
    }

    /// Return the content of a held candidate.
    pub(crate) fn get(&self, version: Version) -> Option<Content> {
        let held = self.held.iter().find(|held| held.version == version);
        held.map(|held| held.content.clone())
    }

    /// Forget what the version in force overtakes, conflict marks included. Return the candidates
    /// of the same generation that lost to it.
    pub(crate) fn overtake(&mut self, in_force: Version) -> Vec<Version> {
        let generation = in_force.generation;
        let versions = self.held.iter().map(|held| held.version);
        let lost = versions.filter(|held| held.generation == generation && *held != in_force);
        let lost = lost.collect();
        self.held
            .retain(|held| held.version.generation > generation);
        self.heard.retain(|heard, _| *heard > generation);
        self.conflicts.retain(|marked, _| *marked > generation);
        lost
    }

    /// Let all candidates settle anew.
    pub(crate) fn restart(&mut self, now: Timestamp) {
        self.held.iter_mut().for_each(|held| held.since = now);
    }

    /// Return what peers are told: conflict marks, then candidates with the highest first.
    pub(crate) fn announced(&self) -> Vec<DocumentVersion> {
        let conflicts = self.conflicts.values().map(|v| v.to_message(true));
        let mut held: Vec<_> = self.held.iter().map(|held| held.version).collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let held = held.into_iter().map(|version| version.to_message(false));
        conflicts.rev().chain(held).collect()
    }
}
