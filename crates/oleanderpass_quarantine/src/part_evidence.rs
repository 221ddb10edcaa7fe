//! Weigh the evidence that a part of prompts crashes backend servers.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

/// The number of crashes after which a part is refused, where simultaneous ones count as one.
pub(crate) const CRASHES_BEFORE_REFUSED: usize = 3;

/// The number of crashes for a further part while one is refused, and for a part that is a suspect
/// of less than [`MAIN_CAUSE_PERCENT`] of them. The evidence of some crashes lacks the part that
/// caused them, because the instance that sent it is gone.
pub(crate) const CRASHES_BESIDE_REFUSED: usize = 5;

/// The number of different requests that must have been in flight in the crashes of a part. One
/// request alone is recognised by its signature.
const MIN_REQUESTS: usize = 2;

/// The number of different requests from which crashes that came together are enough.
const REQUESTS_IN_BURST: usize = 3;

/// The percentage of the crashes in its time span from which a part counts as their main cause.
const MAIN_CAUSE_PERCENT: usize = 40;

/// Crashes that follow each other more closely count as one, because servers that share a cause of
/// failure go down together.
const SIMULTANEOUS_TIME: Millis = Millis::new(200);

/// Why requests with a part are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// The number of crashes, where simultaneous ones count as one.
    pub(crate) crashes: u32,
    pub(crate) last_crash: Timestamp,
    /// Whether an answer to a prompt with the part was written before.
    pub(crate) was_harmless: bool,
    /// Whether this instance holds the evidence itself.
    pub(crate) own: bool,
}

/// The evidence against one part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartEvidence {
    /// The number of crashes that count.
    pub(crate) settled: usize,
    /// The number of different requests with the part in these crashes.
    pub(crate) requests: usize,
    /// The percentage of its crashes among all crashes of their time span.
    pub(crate) percent: usize,
    /// The refusal that would follow.
    pub(crate) refusal: Refusal,
}

impl PartEvidence {
    /// Return whether the part is to be refused. `others_refused` tells whether another one is.
    pub(crate) fn suffices(&self, others_refused: bool) -> bool {
        let groups = self.refusal.crashes as usize;
        if self.percent < MAIN_CAUSE_PERCENT {
            return self.settled >= CRASHES_BESIDE_REFUSED
                && groups >= CRASHES_BESIDE_REFUSED
                && self.requests >= REQUESTS_IN_BURST;
        }
        let is_burst = self.settled >= CRASHES_BESIDE_REFUSED
            && self.requests >= REQUESTS_IN_BURST
            && !self.refusal.was_harmless;
        let limit = if others_refused {
            CRASHES_BESIDE_REFUSED
        } else {
            CRASHES_BEFORE_REFUSED
        };
        is_burst
            || self.settled >= limit
                && groups >= CRASHES_BEFORE_REFUSED
                && self.requests >= MIN_REQUESTS
    }
}

/// Return the number of crashes at these sorted times, where simultaneous ones count as one.
pub(crate) fn count_groups(times: &[Timestamp]) -> u32 {
    let mut groups = 0;
    let mut group_start = None;
    for at in times {
        if group_start.is_none_or(|start| at.since(start) >= SIMULTANEOUS_TIME) {
            groups += 1;
            group_start = Some(*at);
        }
    }
    groups
}
