//! Keep streams with short pauses and long prompts on different engines.
//!
//! An engine reads the prompts that wait in the same pass in which its streams write their next
//! event. Two parts of long prompts in one pass make the pause of every short stream there too long.
//! All instances order the engines by the same hash and count the same work, so they agree on the
//! border without talking about it, and the border follows the load of both sides. A border that
//! follows the short streams alone feeds on itself: squeezed long prompts slow the streams beside
//! them, which then last longer and take more engines (mispill trouble-3 after its closing fault).

use oleanderpass_types::size::Tokens;

use crate::placement::Candidate;

/// The part of an engine's slots that streams with short pauses fill before they take another
/// engine, in hundredths. The rest is for streams that peers place at the same moment.
const FILL_PERCENT: u32 = 70;

/// The engines for long prompts per engine's worth of reading, in hundredths. Above this load the time
/// to the first token grows steeply.
const READ_PERCENT: f64 = 120.0;

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

/// The engines of the short streams, in the common order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Border {
    /// The first engines belong to the short streams.
    pub short: usize,
    /// Short streams may use this many when theirs are full.
    pub most: usize,
}

/// Divide the engines between short streams and `long_load` engines' worth of reading long prompts.
pub fn border(tight_writers: u32, long_load: f64, slots: u32, engines: usize) -> Border {
    let per_engine = (slots * FILL_PERCENT / 100).max(1);
    let short = tight_writers.div_ceil(per_engine).max(1) as usize;
    let long = (long_load * READ_PERCENT / 100.0).ceil().max(1.0) as usize;
    let last = engines.saturating_sub(1).max(1);
    if short + long <= engines {
        let most = engines - long;
        return Border { short, most };
    }
    // Both sides lack engines in the same proportion.
    let short = (engines * short / (short + long)).clamp(1, last);
    Border { short, most: short }
}

/// Return the engines for a generation with a short pause (`tight`) or another one. Engines that are
/// avoided are left out while there are others. An engine with more than `most_memory` taken has no
/// memory for the generation.
pub fn choose(candidates: &[Candidate], tight: bool, long_load: f64, most_memory: Tokens) -> Pool {
    let mut sound: Vec<Candidate> = candidates.iter().filter(|c| !c.avoided).copied().collect();
    if sound.is_empty() {
        sound = candidates.to_vec();
    }
    sound.sort_by_key(|candidate| candidate.key);
    let writers = sound.iter().map(|c| c.load.tight_writers).sum::<u32>() + u32::from(tight);
    let slots = sound.iter().map(|c| c.slots).min().unwrap_or(1);
    let border = border(writers, long_load, slots, sound.len());
    if !tight {
        return Pool {
            engines: sound.split_off(border.short.min(sound.len().saturating_sub(1))),
        };
    }
    let mut short = border.short;
    while short < border.most && sound[..short].iter().all(|c| is_full(c, most_memory)) {
        short += 1;
    }
    sound.truncate(short);
    Pool { engines: sound }
}

fn is_full(candidate: &Candidate, most_memory: Tokens) -> bool {
    candidate.load.in_flight * 100 >= candidate.slots * FULL_PERCENT
        || candidate.load.unread_ms >= FULL_UNREAD_MS
        || candidate.load.memory > most_memory
}
