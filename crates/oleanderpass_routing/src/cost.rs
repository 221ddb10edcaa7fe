//! Estimate when an engine would produce the first and the last token of a request.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Tokens;

use crate::request::LengthClass;
use crate::request::Request;
use crate::view::Server;
use crate::view::View;

/// The age at which a report and the average over the engines have equal weight.
///
/// It is one poll period: by then the other instances have acted on the same report, so the
/// differences that it shows between engines are no longer reliable.
pub const REPORT_HALF_AGE: Millis = Millis::from_secs(2);

/// The estimated wait of a request that lacks as much free memory as an engine has in total.
///
/// It is about the run time of a long prompt. A smaller lack of memory counts in proportion.
const FULL_MEMORY_PENALTY: Millis = Millis::from_secs(20);

/// The delay that a long prefill in progress causes to a short prompt of higher priority.
///
/// The short prompt waits for the rest of one prefill chunk, and shares a larger batch.
const SHARED_ENGINE_PENALTY: Millis = Millis::new(50);

/// The estimated times of a request on one engine, counted from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Time until the prefill of the request starts, because of queued work and missing memory.
    pub wait: Millis,
    /// Time to the first token.
    pub ttft: Millis,
    /// Time to the last token.
    pub finish: Millis,
    /// The prompt tokens that are expected in the engine's prefix cache.
    pub expected_hit: Tokens,
}

/// The effects that the estimate takes into account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EstimateOptions {
    /// Subtract expected prefix cache hits from the prefill.
    pub affinity: bool,
    /// Give the average over the engines more weight than an engine's report as the report ages.
    pub aging: bool,
    /// Assume that long prompts run at a lower priority than short ones, so a short prompt doesn't
    /// wait for them.
    pub priorities: bool,
}

/// Estimate the prompt tokens of other instances that a request waits for on one engine.
///
/// With `overtakes`, the request is a short prompt that overtakes long ones and waits for short
/// ones only. A report that shows long work doesn't tell how much short work is queued, so the
/// average over reports without long work is used in its place. With `aging`, the weight of the
/// report decreases with its age in favour of the average.
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
    let Some(received) = server.report else {
        return mean;
    };
    if overtakes && view.shows_long_work(&received) {
        return mean;
    }
    let reported = received.others.queued_prefill;
    if !aging {
        return reported;
    }
    let half_age = REPORT_HALF_AGE.get();
    // The cap bounds the products below; at this age, a report has a weight of less than 0.1%.
    let age = now.since(received.measured_at).get().min(1_000 * half_age);
    Tokens::new((reported.get() * half_age + mean.get() * age) / (half_age + age))
}

/// Return the memory of an engine minus what the last report and this instance's own work use.
pub fn free_memory(server: &Server) -> Tokens {
    let others = server
        .report
        .map_or(Tokens::ZERO, |received| received.others.memory_used);
    server
        .spec
        .memory
        .saturating_sub(others + server.own.memory)
}

/// Estimate the times of a request on one engine.
pub fn estimate(
    view: &View,
    server: &Server,
    now: Timestamp,
    req: &Request<'_>,
    options: EstimateOptions,
) -> Estimate {
    let class = LengthClass::of(req.prompt, view.long_prompt());
    let overtakes = options.priorities && class == LengthClass::Short;
    let others = others_prefill(view, server, now, overtakes, options.aging);
    let queued_ahead = if overtakes {
        server.own.short_prefill + others
    } else {
        server.own.prefill() + others
    };
    let expected_hit = if options.affinity {
        view.prefixes.expected_hit(req.prefixes, server.cache_key())
    } else {
        Tokens::ZERO
    };
    let mut wait = server.spec.prefill_time(queued_ahead) + memory_penalty(server, req);
    let reported_long = server
        .report
        .is_some_and(|received| view.shows_long_work(&received));
    if overtakes && (server.own.long_prefill > Tokens::ZERO || reported_long) {
        wait = wait + SHARED_ENGINE_PENALTY;
    }
    let ttft = wait
        + server
            .spec
            .prefill_time(req.prompt.saturating_sub(expected_hit));
    let decode = server
        .spec
        .token_time
        .saturating_mul(req.expected_output.get());
    Estimate {
        wait,
        ttft,
        finish: ttft + decode,
        expected_hit,
    }
}

/// Return the estimated wait until the engine has enough free memory for the request.
fn memory_penalty(server: &Server, req: &Request<'_>) -> Millis {
    let missing = req.memory().saturating_sub(free_memory(server)).get();
    let memory = server.spec.memory.get().max(1);
    Millis::new(FULL_MEMORY_PENALTY.get().saturating_mul(missing) / memory)
}
