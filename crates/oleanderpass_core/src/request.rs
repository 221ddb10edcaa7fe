//! Hold the state of one request.

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

/// Whether a request ran on a backend server, as far as its ended attempts show. Values are
/// ordered, and the highest one of all attempts counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// No attempt ran on a backend server.
    #[default]
    NotRun,
    /// An attempt may have run.
    Unknown,
    /// An attempt ran and failed.
    Ran,
}

impl Execution {
    /// Return the outcome of a request that did not complete.
    pub fn outcome(self) -> Outcome {
        match self {
            Execution::NotRun => Outcome::NotRun,
            Execution::Unknown => Outcome::Unknown,
            Execution::Ran => Outcome::Failed,
        }
    }
}

/// The phase of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It waits in the queue for a backend server.
    Queued {
        /// When it last entered the queue.
        since: Timestamp,
        /// The end of the backoff before a retry; equal to `since` if there is none.
        not_before: Timestamp,
    },
    /// It acquires holds on several engines before its next attempt.
    AcquiringHolds,
    /// Its current attempt runs.
    Running {
        /// The backend server that runs the attempt.
        server: BackendServerId,
        /// The server began to answer.
        started: bool,
    },
    /// It was forwarded to the instance that issued its ticket.
    Forwarded {
        /// The instance that issued the ticket.
        owner: InstanceId,
        /// The incarnation that issued the ticket.
        incarnation: Incarnation,
    },
    /// It waits for the end of an earlier use of its ticket.
    Waiting {
        /// The number of the ticket in this instance's ledger.
        ticket: u64,
    },
}

/// A request in flight.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request as it arrived.
    pub new: Box<NewRequest>,
    /// The signature that identifies the request in crash evidence.
    pub signature: Signature,
    /// The organisation of its caller.
    pub organisation: OrganisationId,
    /// The caller.
    pub caller: CallerId,
    /// The service that runs it.
    pub service: ServiceId,
    /// The request is non-idempotent or uses a ticket. It must not be sent again once a byte of it
    /// may have been sent, except after a refusal before start.
    pub non_idempotent: bool,
    /// The number of the ticket of this instance that the request is the first use of, if any.
    pub ticket: Option<u64>,
    /// The time by which it must be answered.
    pub deadline: Timestamp,
    /// The number of the last attempt, from 1; 0 before the first one.
    pub attempt: AttemptNumber,
    /// The current phase.
    pub phase: Phase,
    /// Whether any of its ended attempts ran.
    pub execution: Execution,
    /// A part of the answer reached the caller.
    pub delivered: bool,
    /// Backend servers on which an attempt of this request failed, other than by a refusal. Retries
    /// avoid them while another server can run the request.
    pub failed_servers: Vec<BackendServerId>,
    /// The error of the last attempt; `None` before an attempt failed.
    pub last_error: Option<StepError>,
}

impl Request {
    /// Return whether the given attempt is the running one.
    pub fn is_running(&self, attempt: AttemptNumber) -> bool {
        self.attempt == attempt && matches!(self.phase, Phase::Running { .. })
    }

    /// Return whether the request has waited for more than half of the time from its entry into the
    /// queue to its deadline. A long prompt may then use memory that is kept free for short ones.
    pub fn is_urgent(&self, now: Timestamp) -> bool {
        matches!(self.phase, Phase::Queued { since, .. }
            if now.since(since).saturating_mul(URGENT_WAIT_DIVISOR) > self.deadline.since(since))
    }

    /// Return whether the request would count as run if it ended now, its current attempt included.
    pub fn execution_so_far(&self) -> Execution {
        let current = match self.phase {
            Phase::Queued { .. } | Phase::AcquiringHolds => Execution::NotRun,
            Phase::Running { started: true, .. } if !self.non_idempotent => Execution::Ran,
            Phase::Running { .. } | Phase::Forwarded { .. } | Phase::Waiting { .. } => {
                Execution::Unknown
            }
        };
        self.execution.max(current)
    }
}
