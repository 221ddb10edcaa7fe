//! Keep the state of one request.

use oleanderpass_quarantine::evidence::Signature;
use oleanderpass_routing::fair::URGENT_WAIT_DIVISOR;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::error::StepError;
use oleanderpass_types::id::AttemptNumber;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::CallerId;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::outcome::Outcome;

use crate::event::NewRequest;

/// What is known of the attempts of a request that have ended, in rising order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// No attempt ran.
    #[default]
    NotRun,
    /// An attempt may have run.
    Unknown,
    /// An attempt ran and failed.
    Ran,
}

impl Execution {
    /// Return the outcome of a request that isn't completed.
    pub fn outcome(self) -> Outcome {
        match self {
            Execution::NotRun => Outcome::NotRun,
            Execution::Unknown => Outcome::Unknown,
            Execution::Ran => Outcome::Failed,
        }
    }
}

/// Where a request stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a backend server.
    Queued {
        /// When it began to wait.
        since: Timestamp,
        /// The end of the delay before a retry.
        not_before: Timestamp,
    },
    /// It takes KV memory on several engines before its next attempt.
    AcquiringHolds,
    /// Its current attempt runs.
    Running {
        /// The backend server.
        server: BackendServerId,
        /// The server began to answer.
        started: bool,
    },
    /// The owner of its ticket runs it.
    Forwarded {
        /// The owner.
        owner: InstanceId,
        /// The incarnation that issued the ticket.
        incarnation: Incarnation,
    },
    /// It waits for the end of an earlier use of its ticket.
    Waiting {
        /// The ticket.
        ticket: u64,
    },
}

/// A request in flight.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request as it arrived.
    pub new: Box<NewRequest>,
    /// What identifies it if it crashes servers.
    pub signature: Signature,
    /// The organisation of its caller.
    pub organisation: OrganisationId,
    /// The caller.
    pub caller: CallerId,
    /// The service that runs it.
    pub service: ServiceId,
    /// It must not be dispatched again once a byte may have been sent.
    pub once: bool,
    /// The ticket of this instance that it uses first.
    pub ticket: Option<u64>,
    /// The end of its time.
    pub deadline: Timestamp,
    /// The number of the last attempt.
    pub attempt: AttemptNumber,
    /// Where it stands.
    pub phase: Phase,
    /// What is known of its ended attempts.
    pub execution: Execution,
    /// A part of the answer reached the caller.
    pub delivered: bool,
    /// Backend servers that failed this request.
    pub tried: Vec<BackendServerId>,
    /// The error of the last attempt.
    pub last_error: Option<StepError>,
}

impl Request {
    /// Return whether this attempt is the one that runs.
    pub fn runs(&self, attempt: AttemptNumber) -> bool {
        self.attempt == attempt && matches!(self.phase, Phase::Running { .. })
    }

    /// Return whether the request has waited so long that it may use what is reserved for others.
    pub fn is_urgent(&self, now: Timestamp) -> bool {
        matches!(self.phase, Phase::Queued { since, .. }
            if now.since(since).saturating_mul(URGENT_WAIT_DIVISOR) > self.deadline.since(since))
    }

    /// Return what is known when the request ends at once, its current attempt included.
    pub fn execution_so_far(&self) -> Execution {
        let current = match self.phase {
            Phase::Queued { .. } | Phase::AcquiringHolds => Execution::NotRun,
            Phase::Running { started: true, .. } if !self.once => Execution::Ran,
            Phase::Running { .. } | Phase::Forwarded { .. } | Phase::Waiting { .. } => {
                Execution::Unknown
            }
        };
        self.execution.max(current)
    }
}
