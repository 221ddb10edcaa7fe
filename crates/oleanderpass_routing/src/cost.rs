//! Estimate when an engine would deliver the first and the last token of a request.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Tokens;

use crate::request::LengthClass;
use crate::request::Request;
use crate::view::Server;
use crate::view::View;

/// The age at which a report counts half and the average of the zone counts half.
///
/// It is one poll period: after that time the other instances have acted on the same report, so
/// its differences between engines say little.
pub const REPORT_HALF_AGE: Millis = Millis::from_secs(2);

/// The time that a request waits when it needs the whole memory of an engine in excess of what is
/// free: about the run time of a long prompt.
const FULL_MEMORY_PENALTY: Millis = Millis::from_secs(20);

/// The delay that a long prefill in progress causes to a short prompt of higher priority: the
/// rest of one prefill chunk and a larger batch.
const SHARED_ENGINE_PENALTY: Millis = Millis::new(50);

/// What an engine would deliver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Time until queued work lets the request start.
    pub wait: Millis,
    /// Time to the first token.
    pub ttft: Millis,
    /// Time to the last token.
    pub finish: Millis,
    /// The part of the prompt expected in the prefix cache.
    pub hit: Tokens,
}

/// Which information the estimate uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CostOptions {
    /// Expect prefix hits.
    pub affinity: bool,
    /// Let old reports fade into the average.
    pub aging: bool,
    /// Long prompts run at lower priority, so a short prompt doesn't wait for them.
    pub priorities: bool,
}

/// Return the prompt tokens of other instances that a request waits for, by report and age.
///
/// A short prompt that overtakes long ones waits for short ones only. Where a report shows long
/// work, the share of short work in it is unknown and the average of other engines is used.
pub fn others_prefill(
    view: &View,
    server: &Server,
    now: Timestamp,
    overtakes: bool,
    aging: bool,
) -> Tokens {
    let mean = if overtakes {
        view.mean_others_short_prefill()
    } else {
        view.mean_others_prefill()
    };
    let Some(seen) = server.report else {
        return mean;
    };
    if overtakes && view.shows_long_work(&seen) {
        return mean;
    }
    let reported = seen.others.queued_prefill;
    if !aging {
        return reported;
    }
    let half = REPORT_HALF_AGE.get();
    let age = now.since(seen.taken).get().min(1_000 * half);
    Tokens::new((reported.get() * half + mean.get() * age) / (half + age))
}

/// Return the memory of an engine that no request is known to hold.
pub fn free_memory(server: &Server) -> Tokens {
    let others = server
        .report
        .map_or(Tokens::ZERO, |seen| seen.others.memory_used);
    server
        .spec
        .memory
        .saturating_sub(others + server.own.memory)
}

/// Estimate a request on one engine.
pub fn estimate(
    view: &View,
    server: &Server,
    now: Timestamp,
    req: &Request<'_>,
    options: CostOptions,
) -> Estimate {
    let class = LengthClass::of(req.prompt, view.long_prompt());
    let overtakes = options.priorities && class == LengthClass::Short;
    let others = others_prefill(view, server, now, overtakes, options.aging);
    let ahead = if overtakes {
        server.own.short_prefill + others
    } else {
        server.own.prefill() + others
    };
    let hit = if options.affinity {
        view.prefixes.expected_hit(req.prefixes, server.cache_key())
    } else {
        Tokens::ZERO
    };
    let mut wait = server.spec.prefill_time(ahead) + memory_penalty(server, req);
    let reported_long = server
        .report
        .is_some_and(|seen| view.shows_long_work(&seen));
    if overtakes && (server.own.long_prefill > Tokens::ZERO || reported_long) {
        wait = wait + SHARED_ENGINE_PENALTY;
    }
    let ttft = wait + server.spec.prefill_time(req.prompt.saturating_sub(hit));
    let decode = server
        .spec
        .token_time
        .saturating_mul(req.expected_output.get());
    Estimate {
        wait,
        ttft,
        finish: ttft + decode,
        hit,
    }
}

fn memory_penalty(server: &Server, req: &Request<'_>) -> Millis {
    let missing = req.memory().saturating_sub(free_memory(server)).get();
    let memory = server.spec.memory.get().max(1);
    Millis::new(FULL_MEMORY_PENALTY.get().saturating_mul(missing) / memory)
}
