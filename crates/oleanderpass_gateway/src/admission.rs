//! Decide which streams are served first, deferred or refused when engines are overloaded.
//!
//! A single queue for all requests would make every answer late. Requests that can still be on time
//! are served first; the others are deferred: engines admit them when nothing more urgent waits. A
//! request whose first event would come after its caller has given up is refused at once, with the
//! time after which the caller may resend it (load shedding).
//!
//! A stream that has begun is never refused for a shortage that may pass: it waits for a server
//! as long as its caller waits for the next event.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use strum::Display;

use crate::route::Route;

/// When a request is served, relative to other requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Scheduling {
    /// Served with its own priority, because its first event can be on time.
    Now,
    /// Served after more urgent requests, because its first event will be late.
    Deferred,
    /// Not served, because its caller would give up before the first event.
    Refused,
}

/// The shortest time for which callers wait for the first event or the next one. Source: the
/// callers' published behaviour.
const MIN_CALLER_TIMEOUT: Millis = Millis::new(2_000);

/// The time for which callers wait for the first event, as a multiple of the route's objective.
/// Source: the callers' published behaviour.
const CALLER_TIMEOUT_OBJECTIVES: u64 = 4;

/// The time for which callers wait for the first event or the next one, as a multiple of the
/// route's gap. Source: the callers' published behaviour.
const CALLER_TIMEOUT_GAPS: u64 = 8;

/// The latest expected first event at which a stream is still served, as a percentage of the time
/// for which its caller waits. The estimate is often too short under load.
const MAX_EXPECTED_PERCENT: u64 = 80;

/// Return how long a caller waits for the first event if `left` remains until its deadline.
fn caller_timeout(route: &Route, left: Millis) -> Millis {
    route
        .objective
        .saturating_mul(CALLER_TIMEOUT_OBJECTIVES)
        .max(next_event_timeout(route))
        .min(left)
}

/// Return how long a caller waits for the next event after the last one.
fn next_event_timeout(route: &Route) -> Millis {
    let gap = route.gap.unwrap_or(Millis::ZERO);
    gap.saturating_mul(CALLER_TIMEOUT_GAPS)
        .max(MIN_CALLER_TIMEOUT)
}

/// Decide how a stream is served. Its first event is expected after `expected` if the stream goes
/// before deferred ones, and after `behind_all` if it waits behind all others. `left` is the time
/// until its deadline.
pub fn schedule(route: &Route, expected: Millis, behind_all: Millis, left: Millis) -> Scheduling {
    let latest = Millis::new(caller_timeout(route, left).get() * MAX_EXPECTED_PERCENT / 100);
    if expected <= route.objective {
        Scheduling::Now
    } else if behind_all <= latest {
        Scheduling::Deferred
    } else {
        Scheduling::Refused
    }
}

/// The largest pending prefill time of engines at which a long prompt is sent to them at once.
/// Engines prefill the parts of long prompts before all else, so a prompt that is sent delays every
/// short stream there.
const MAX_BACKLOG: Millis = Millis::new(300);

/// The increase of the accepted backlog with the time that a long prompt has waited, as a
/// percentage of that time. It lets older prompts of all instances go before younger ones.
const BACKLOG_PER_WAIT_PERCENT: u64 = 60;

/// The time to the first event that is assumed for a long prompt, as a percentage of the estimate.
/// Under load, prompts of several parts take up to 1.6 times as long as estimated.
const ESTIMATE_PERCENT: u64 = 125;

/// The largest pending prefill time of engines at which a late long prompt is sent. It is a third
/// of [`MAX_BACKLOG`], so that prompts that can be on time go first.
const MAX_LATE_BACKLOG: Millis = Millis::new(100);

/// The longest time for which a long prompt is kept back, as a percentage of the time for which its
/// caller waits. The rest is for its prefill.
const MAX_WAIT_PERCENT: u64 = 50;

/// The interval at which the engines are checked again for a long prompt that waits.
const RECHECK_INTERVAL: Millis = Millis::new(40);

/// The share of the objective within which the first event of a long prompt must be expected for it
/// to wait, in percent. Under load, first events come up to 2.5 times later than estimated.
const ON_TIME_PERCENT: u64 = 70;

/// When a long prompt is sent to its engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongPromptTurn {
    /// At once.
    Now,
    /// Decided again at this time.
    Later(Timestamp),
    /// Not at all, because it would wait although it can no longer be on time.
    Refused,
}

/// What decides when a long prompt is sent.
#[derive(Clone, Copy, Debug)]
pub struct LongPromptState {
    /// When the request arrived.
    pub received: Timestamp,
    /// When its caller's time is up.
    pub deadline: Timestamp,
    /// The longest pending prefill time among its engines.
    pub backlog: Millis,
    /// The time to its first event if it is sent now.
    pub expected: Millis,
    /// The time that its own prefill takes on as many engines as may share a prompt.
    pub shortest_prefill: Millis,
    /// Whether it was sent to a server before.
    pub was_sent: bool,
}

/// Decide when a long prompt is sent to its engines.
///
/// Prompts that can be on time go first, the older ones before the younger ones. One that can no
/// longer be on time is sent if little prefill is pending, and refused if much is: while it waits
/// and once it runs late, it takes engines and memory from prompts that can be on time. A prompt
/// that could not be on time on idle engines either, or that was sent before, waits instead.
pub fn long_prompt_turn(route: &Route, now: Timestamp, prompt: &LongPromptState) -> LongPromptTurn {
    let waited = now.since(prompt.received);
    let likely = Millis::new(prompt.expected.get() * ESTIMATE_PERCENT / 100);
    let accepted = if waited + likely <= route.objective {
        MAX_BACKLOG + Millis::new(waited.get() * BACKLOG_PER_WAIT_PERCENT / 100)
    } else {
        MAX_LATE_BACKLOG
    };
    if prompt.backlog <= accepted {
        return LongPromptTurn::Now;
    }
    let on_time = Millis::new(route.objective.get() * ON_TIME_PERCENT / 100);
    let may_refuse = !prompt.was_sent && prompt.shortest_prefill <= on_time;
    if may_refuse && prompt.backlog > MAX_BACKLOG && waited + prompt.expected > on_time {
        return LongPromptTurn::Refused;
    }
    let caller_timeout = caller_timeout(route, prompt.deadline.since(prompt.received));
    let longest_wait = Millis::new(caller_timeout.get() * MAX_WAIT_PERCENT / 100);
    if waited < longest_wait {
        LongPromptTurn::Later(now + RECHECK_INTERVAL)
    } else {
        LongPromptTurn::Now
    }
}

/// The longest interval at which the servers are checked again for a stream that has begun and has
/// no server. It is a twentieth of the shortest time for which callers wait for the next event.
const RESUME_CHECK_INTERVAL: Millis = Millis::new(100);

/// Return when to check again whether a server can go on with a stream that has begun, or `None` if
/// its caller has given up. `last_event` is the time of the last delivered event, and `allowed_in`
/// the time after which the limit on the request rate of a server allows an attempt, if one does.
pub fn resume_check_at(
    route: &Route,
    now: Timestamp,
    last_event: Timestamp,
    deadline: Timestamp,
    allowed_in: Option<Millis>,
) -> Option<Timestamp> {
    let given_up = deadline.min(last_event + next_event_timeout(route));
    let interval = allowed_in.map_or(RESUME_CHECK_INTERVAL, |wait| {
        wait.min(RESUME_CHECK_INTERVAL)
    });
    (now < given_up).then(|| given_up.min(now + interval))
}
