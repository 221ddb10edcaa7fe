//! Choose the peer from which a configuration is fetched.
//!
//! Peers that have a configuration send it to few others at a time and refuse the rest. Whoever is
//! refused asks another one soon, by then perhaps one that has got it meanwhile. Copies stay within
//! an availability zone as long as it has a peer that sends them.

use std::net::SocketAddr;

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use rand::Rng;
use rand::RngExt;

/// The shortest and the longest time for which a peer that refused is not asked again. Bulletins
/// about a new holder take about as long, and random times keep those that were refused together
/// from asking together.
const REFUSED_BACKOFF_MS: std::ops::Range<u64> = 50..150;

/// The time for which a peer is not asked again after a copy from it failed.
const FAILED_BACKOFF: Millis = Millis::new(1_000);

/// The number of instances that ask one peer at the same time. If all asked the first that has a new
/// version, it would answer them one after the other, while those that have got it meanwhile answer
/// nobody.
const ASKING_PER_HOLDER: usize = 8;

/// The shortest and the longest time after which an instance that lets others ask first chooses
/// again. Bulletins about new holders take about as long.
const TURN_MS: std::ops::Range<u64> = 30..60;

/// The number of refusals in a row after which peers of other availability zones are asked as well.
const MAX_LOCAL_REFUSALS: u32 = 4;

/// A peer that has a newer configuration in force than this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its address.
    pub addr: SocketAddr,
    /// The version in force there.
    pub version: u64,
    /// Whether it is in the availability zone of this instance.
    pub is_local: bool,
}

/// The live peers, with and without a newer configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Those in the availability zone of this instance.
    pub local: usize,
    /// All.
    pub all: usize,
}

/// What to do to get a newer configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Ask this peer.
    Ask(SocketAddr),
    /// Choose again at this time. All that may be asked refused or failed a moment ago.
    Wait(Timestamp),
    /// Nothing. No peer has a newer one.
    Nothing,
}

/// Why a peer is not asked for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    Refused,
    Failed,
}

/// The peers that refused or failed to send a configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationSources {
    backoffs: IndexMap<SocketAddr, (Timestamp, Reason)>,
    /// The number of refusals since the last copy.
    refusals: u32,
    /// Whether a copy since the last one that was taken could not be decoded.
    wants_plain: bool,
}

impl ConfigurationSources {
    /// Choose the peer to ask among those with a newer configuration: one with the newest version.
    /// Where few of many peers have it, some instances wait until more do.
    pub fn choose(
        &mut self,
        now: Timestamp,
        candidates: &[Candidate],
        members: Members,
        rng: &mut impl Rng,
    ) -> Choice {
        self.backoffs.retain(|_, (until, _)| *until > now);
        let has_failed = |candidate: &&Candidate| {
            let backoff = self.backoffs.get(&candidate.addr);
            backoff.is_some_and(|(_, reason)| *reason == Reason::Failed)
        };
        let sound_local = |candidate: &&Candidate| candidate.is_local && !has_failed(candidate);
        let stays_local = self.refusals < MAX_LOCAL_REFUSALS
            && candidates.iter().any(|candidate| sound_local(&candidate));
        let members = match stays_local {
            true => members.local,
            false => members.all,
        };
        let allowed = candidates.iter();
        let allowed = allowed.filter(|candidate| candidate.is_local || !stays_local);
        let available = allowed.clone();
        let available = available.filter(|candidate| !self.backoffs.contains_key(&candidate.addr));
        let newest = available.clone().map(|candidate| candidate.version).max();
        let newest: Vec<SocketAddr> = available
            .filter(|candidate| Some(candidate.version) == newest)
            .map(|candidate| candidate.addr)
            .collect();
        if !newest.is_empty() {
            let asking = members.saturating_sub(newest.len());
            if rng.random_range(0..asking.max(1)) >= newest.len() * ASKING_PER_HOLDER {
                return Choice::Wait(now + Millis::new(rng.random_range(TURN_MS)));
            }
            return Choice::Ask(newest[rng.random_range(0..newest.len())]);
        }
        let ends = allowed.filter_map(|candidate| self.backoffs.get(&candidate.addr));
        match ends.map(|(until, _)| *until).min() {
            Some(until) => Choice::Wait(until),
            None => Choice::Nothing,
        }
    }

    /// Record that a peer refused, because it sends enough copies.
    pub fn on_refused(&mut self, now: Timestamp, addr: SocketAddr, rng: &mut impl Rng) {
        self.refusals += 1;
        let backoff = Millis::new(rng.random_range(REFUSED_BACKOFF_MS));
        self.backoffs.insert(addr, (now + backoff, Reason::Refused));
    }

    /// Record that no copy arrived from a peer.
    pub fn on_failed(&mut self, now: Timestamp, addr: SocketAddr) {
        self.backoffs
            .insert(addr, (now + FAILED_BACKOFF, Reason::Failed));
    }

    /// Record that a copy could not be decoded.
    pub fn on_undecodable(&mut self) {
        self.wants_plain = true;
    }

    /// Return whether the next peer is to be asked for the whole without an encoding.
    pub fn wants_plain(&self) -> bool {
        self.wants_plain
    }

    /// Record that a copy arrived.
    pub fn on_taken(&mut self) {
        self.refusals = 0;
        self.wants_plain = false;
    }
}
