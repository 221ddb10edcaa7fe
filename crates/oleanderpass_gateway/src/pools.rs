//! Keep streams with short pauses and long prompts on different engines.
//!
//! An engine reads the prompts that wait in the same pass in which its streams write their next
//! event. Two parts of long prompts in one pass make the pause of every short stream there too long.
//! All instances order the engines by the same hash and count the same streams, so they agree on the
//! border without talking about it, and the border follows the load.

use crate::placement::Candidate;

/// The part of an engine's slots that streams with short pauses fill before they take another
/// engine, in hundredths. The rest is for streams that peers place at the same moment.
const FILL_PERCENT: u32 = 70;

/// The part of the slots from which on an engine counts as full, in hundredths.
const FULL_PERCENT: u32 = 88;

/// The unread time from which on an engine of the short streams counts as full, in milliseconds:
/// one more prompt would reach the shortest pause of the standard routes.
const FULL_UNREAD_MS: f64 = 130.0;

/// Which engines a generation may use.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The engines to use.
    pub engines: Vec<Candidate>,
}

/// Return how many engines streams with short pauses need.
pub fn engines_for_short(tight_writers: u32, slots: u32, engines: usize) -> usize {
    let per_engine = (slots * FILL_PERCENT / 100).max(1);
    let need = tight_writers.div_ceil(per_engine).max(1) as usize;
    need.min(engines.saturating_sub(1)).max(1)
}

/// Return the engines for a generation with a short pause (`tight`) or another one. Engines that are
/// avoided are left out while there are others.
pub fn choose(candidates: &[Candidate], tight: bool) -> Pool {
    let mut sound: Vec<Candidate> = candidates.iter().filter(|c| !c.avoided).copied().collect();
    if sound.is_empty() {
        sound = candidates.to_vec();
    }
    sound.sort_by_key(|candidate| candidate.key);
    let writers = sound.iter().map(|c| c.load.tight_writers).sum::<u32>() + u32::from(tight);
    let slots = sound.iter().map(|c| c.slots).min().unwrap_or(1);
    let mut border = engines_for_short(writers, slots, sound.len());
    if !tight {
        return Pool {
            engines: sound.split_off(border.min(sound.len().saturating_sub(1))),
        };
    }
    while border < sound.len() && sound[..border].iter().all(is_full) {
        border += 1;
    }
    sound.truncate(border);
    Pool { engines: sound }
}

fn is_full(candidate: &Candidate) -> bool {
    candidate.load.in_flight * 100 >= candidate.slots * FULL_PERCENT
        || candidate.load.unread_ms >= FULL_UNREAD_MS
}
