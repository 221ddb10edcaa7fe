//! Judge what the end of an attempt says about its request.

use oleanderpass_types::error::Step;
use smol_str::SmolStr;

use crate::event::AttemptEnd;
use crate::event::Refusal;
use crate::request::Execution;

/// Whether a request may be dispatched again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// It may not.
    Never,
    /// It may, at the cost of a token of the retry budget.
    Budgeted,
    /// It may, because a healthy server refused it before start. The server is left alone for a
    /// while instead, which bounds the number of refusals.
    Free,
}

/// What is known of an attempt at its end.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts {
    /// The request must not run twice.
    pub once: bool,
    /// The server began to answer.
    pub started: bool,
    /// A part of the answer reached the caller.
    pub delivered: bool,
}

/// What follows from the end of an attempt that did not complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether the attempt ran.
    pub execution: Execution,
    /// Whether the request may be dispatched again.
    pub retry: Retry,
    /// The step that failed.
    pub step: Step,
    /// What went wrong.
    pub cause: SmolStr,
}

/// Judge the end of an attempt. Return `None` when it completed.
pub fn classify_end(facts: AttemptFacts, end: &AttemptEnd) -> Option<Failure> {
    let begun = if facts.started {
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
            step: begun,
            cause: cause.clone(),
        },
        AttemptEnd::Broken { delivered, cause } => Failure {
            execution: execution_when_lost(facts),
            retry: retry_after_failure(facts, facts.delivered || *delivered),
            step: begun,
            cause: cause.clone(),
        },
        AttemptEnd::Cancelled => Failure {
            execution: execution_when_lost(facts),
            retry: Retry::Never,
            step: begun,
            cause: SmolStr::new_static("cancelled"),
        },
    };
    Some(failure)
}

/// A server that began to answer ran the request, but whether a non-idempotent one took effect is
/// known only from its whole answer.
fn execution_when_lost(facts: AttemptFacts) -> Execution {
    if facts.started && !facts.once {
        Execution::Ran
    } else {
        Execution::Unknown
    }
}

fn retry_after_refusal(refusal: Refusal) -> Retry {
    match refusal {
        Refusal::Deadline => Retry::Never,
        Refusal::Leaving | Refusal::Full | Refusal::NotLoaded => Retry::Free,
    }
}

fn retry_after_failure(facts: AttemptFacts, delivered: bool) -> Retry {
    if facts.once || delivered {
        Retry::Never
    } else {
        Retry::Budgeted
    }
}
