//! Classify the end of an attempt: whether the request ran and whether it may be retried.

use oleanderpass_types::error::Step;
use smol_str::SmolStr;

use crate::event::AttemptEnd;
use crate::event::Refusal;
use crate::request::Execution;

/// Whether a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// No retry.
    Never,
    /// A retry that is withdrawn from the retry budget.
    Budgeted,
    /// A retry outside of the budget, because a healthy server refused the request before start.
    /// The backoff for this server bounds the number of refusals instead.
    Unbudgeted,
}

/// The state of an attempt at its end.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts {
    /// The request is non-idempotent or uses a ticket.
    pub non_idempotent: bool,
    /// The server began to answer.
    pub started: bool,
    /// A part of the answer reached the caller.
    pub delivered: bool,
}

/// The consequences of an attempt that did not complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether the attempt ran.
    pub execution: Execution,
    /// Whether the request may be retried.
    pub retry: Retry,
    /// The step that failed.
    pub step: Step,
    /// The cause, as the caller's error names it.
    pub cause: SmolStr,
}

/// Classify the end of an attempt. Return `None` when it completed.
pub fn classify_end(facts: AttemptFacts, end: &AttemptEnd) -> Option<Failure> {
    let current_step = if facts.started {
        Step::Stream
    } else {
        Step::Start
    };
    let failure = match end {
        AttemptEnd::Completed { .. } => return None,
        AttemptEnd::NotSent(cause) => Failure {
            execution: Execution::NotRun,
            retry: Retry::Budgeted,
            step: Step::Connect,
            cause: cause.clone(),
        },
        AttemptEnd::Refused(refusal) => Failure {
            execution: Execution::NotRun,
            retry: retry_after_refusal(*refusal),
            step: Step::Dispatch,
            cause: SmolStr::from(format!("refused: {refusal}")),
        },
        AttemptEnd::Failed(cause) => Failure {
            execution: Execution::Ran,
            retry: retry_after_failure(facts, facts.delivered),
            step: current_step,
            cause: cause.clone(),
        },
        AttemptEnd::Broken { delivered, cause } => Failure {
            execution: execution_when_lost(facts),
            retry: retry_after_failure(facts, facts.delivered || *delivered),
            step: current_step,
            cause: cause.clone(),
        },
        AttemptEnd::Cancelled => Failure {
            execution: execution_when_lost(facts),
            retry: Retry::Never,
            step: current_step,
            cause: SmolStr::new_static("cancelled"),
        },
    };
    Some(failure)
}

/// Return whether an attempt ran whose answer is incomplete. A server that began to answer ran the
/// request, but only the whole answer tells whether a non-idempotent one took effect.
fn execution_when_lost(facts: AttemptFacts) -> Execution {
    if facts.started && !facts.non_idempotent {
        Execution::Ran
    } else {
        Execution::Unknown
    }
}

fn retry_after_refusal(refusal: Refusal) -> Retry {
    match refusal {
        Refusal::Deadline => Retry::Never,
        Refusal::Leaving | Refusal::Full | Refusal::NotLoaded => Retry::Unbudgeted,
    }
}

fn retry_after_failure(facts: AttemptFacts, delivered: bool) -> Retry {
    if facts.non_idempotent || delivered {
        Retry::Never
    } else {
        Retry::Budgeted
    }
}
