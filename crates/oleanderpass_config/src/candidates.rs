//! Hold the documents that aren't in force yet, and the conflict marks of generations with two
//! contents.

use indexmap::IndexMap;
use oleanderpass_proto::peer::DocumentVersion;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Generation;

use crate::content::Content;
use crate::version::Version;

/// How long a candidate waits before it comes into force. Another content of its generation that is
/// found within this time is a conflict. It covers one round of probes (1 s) and an answer (0.5 s).
pub(crate) const SETTLE_TIME: Millis = Millis::new(1_500);

/// The most candidates held. A new generation every 200 ms makes 8 within the settle time.
const MAX_CANDIDATES: usize = 8;

/// The most recorded versions of candidates, and the most conflict marks.
const MAX_RECORDED: usize = 16;

/// How long the version of a candidate stays recorded. It covers a settle time and the time until a
/// peer's announcement arrives.
const RECORD_TTL: Millis = Millis::from_secs(5);

#[derive(Clone, Debug)]
struct Candidate {
    version: Version,
    content: Content,
    /// When the settle time began.
    since: Timestamp,
}

/// The candidates that an instance holds, and the versions of those that its peers announced.
#[derive(Clone, Debug, Default)]
pub(crate) struct Candidates {
    held: Vec<Candidate>,
    /// The versions of held candidates and of those that peers announced, each with the time when
    /// it was first seen.
    recorded: IndexMap<Generation, (Version, Timestamp)>,
    /// The conflict marks: generations with two contents, each with one of the two versions.
    conflicts: IndexMap<Generation, Version>,
}

/// The outcome of recording a candidate's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recorded {
    /// The version was known.
    Known,
    /// The version is new.
    New,
    /// The version conflicts with another content of its generation; this was found just now.
    NewConflict,
    /// The generation was marked as conflicted before.
    KnownConflict,
}

impl Candidates {
    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Hold a valid document until its settle time ends.
    ///
    /// Return `New` if it is held from now on, also when a peer announced its version before.
    pub(crate) fn add(&mut self, now: Timestamp, content: Content) -> Recorded {
        let version = content.version();
        let recorded = self.record(now, version);
        let held = self.held.iter().any(|held| held.version == version);
        if held || matches!(recorded, Recorded::NewConflict | Recorded::KnownConflict) {
            return recorded;
        }
        // Replaces the newest candidate when full, so that the older ones still settle during a
        // long burst of promotions.
        self.held.truncate(MAX_CANDIDATES - 1);
        self.held.push(Candidate {
            version,
            content,
            since: now,
        });
        Recorded::New
    }

    /// Record the version of a candidate of this instance or of a peer, and compare it with the
    /// known ones.
    pub(crate) fn record(&mut self, now: Timestamp, version: Version) -> Recorded {
        let generation = version.generation;
        if self.conflicts.contains_key(&generation) {
            return Recorded::KnownConflict;
        }
        self.recorded
            .retain(|_, (_, since)| now.since(*since) < RECORD_TTL);
        let held = self.held.iter().map(|held| held.version);
        let mut known = held.chain(self.recorded.values().map(|(version, _)| *version));
        match known.find(|known| known.generation == generation) {
            Some(known) if known == version => Recorded::Known,
            Some(_) => {
                self.mark_conflicted(version);
                Recorded::NewConflict
            }
            None => {
                if self.recorded.len() >= MAX_RECORDED {
                    self.recorded.shift_remove_index(0);
                }
                self.recorded.insert(generation, (version, now));
                Recorded::New
            }
        }
    }

    /// Drop the candidate of a generation and mark the generation as conflicted. Return whether
    /// the mark is new.
    pub(crate) fn mark_conflicted(&mut self, version: Version) -> bool {
        let generation = version.generation;
        self.held
            .retain(|held| held.version.generation != generation);
        self.recorded.shift_remove(&generation);
        if self.conflicts.contains_key(&generation) {
            return false;
        }
        if self.conflicts.len() >= MAX_RECORDED {
            self.conflicts.shift_remove_index(0);
        }
        self.conflicts.insert(generation, version);
        true
    }

    /// Return the highest candidate whose settle time has ended.
    pub(crate) fn highest_settled(&self, now: Timestamp) -> Option<Content> {
        let settled = |held: &&Candidate| now.since(held.since) >= SETTLE_TIME;
        let highest = self
            .held
            .iter()
            .filter(settled)
            .max_by_key(|held| held.version);
        highest.map(|held| held.content.clone())
    }

    /// Return the content of a held candidate.
    pub(crate) fn content(&self, version: Version) -> Option<Content> {
        let held = self.held.iter().find(|held| held.version == version);
        held.map(|held| held.content.clone())
    }

    /// Remove candidates, recorded versions and conflict marks up to the generation in force.
    /// Return the versions of the held candidates of that generation with another content.
    pub(crate) fn remove_superseded(&mut self, in_force: Version) -> Vec<Version> {
        let generation = in_force.generation;
        let versions = self.held.iter().map(|held| held.version);
        let conflicting =
            versions.filter(|held| held.generation == generation && *held != in_force);
        let conflicting = conflicting.collect();
        self.held
            .retain(|held| held.version.generation > generation);
        self.recorded.retain(|recorded, _| *recorded > generation);
        self.conflicts.retain(|marked, _| *marked > generation);
        conflicting
    }

    /// Start the settle time of all candidates again.
    pub(crate) fn restart_settling(&mut self, now: Timestamp) {
        self.held.iter_mut().for_each(|held| held.since = now);
    }

    /// Return the versions to announce to peers: conflict marks with the latest first, then
    /// candidates with the highest first.
    pub(crate) fn announced(&self) -> Vec<DocumentVersion> {
        let conflicts = self.conflicts.values().map(|v| v.to_message(true));
        let mut held: Vec<_> = self.held.iter().map(|held| held.version).collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let held = held.into_iter().map(|version| version.to_message(false));
        conflicts.rev().chain(held).collect()
    }
}
