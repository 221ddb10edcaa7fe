//! Describe what the core asks the edges to do.

use std::net::SocketAddr;
use std::sync::Arc;

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::error::StepError;
use oleanderpass_types::id::AttemptNumber;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::outcome::Outcome;
use smol_str::SmolStr;

use crate::event::Priority;
use crate::event::RecordedAnswer;

/// An output of the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run an attempt.
    StartAttempt(StartAttempt),
    /// Stop an attempt and tell the backend server.
    CancelAttempt {
        /// The request.
        req: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Answer the caller and end the request task.
    Answer {
        /// The request.
        req: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Send a request to the instance that owns its ticket and relay the answer.
    Forward {
        /// The request.
        req: RequestId,
        /// The owner.
        owner: InstanceId,
        /// The owner's peer address.
        addr: SocketAddr,
        /// The end of the request's time.
        deadline: Timestamp,
    },
    /// End the process.
    Exit,
}

/// The order to run an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartAttempt {
    /// The request.
    pub req: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The backend server.
    pub server: BackendServerId,
    /// Its address.
    pub addr: SocketAddr,
    /// The end of the request's time. The request task checks it directly before the write.
    pub deadline: Timestamp,
    /// How urgent the request is.
    pub priority: Priority,
    /// Use a connection that carried no request before and never send twice.
    pub once: bool,
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A ticket.
    Ticket {
        /// The ticket.
        ticket: SmolStr,
        /// The time in which it can be used first.
        valid_for: Millis,
        /// The generation in force.
        generation: Generation,
    },
    /// The end of a request whose attempt delivered the answer, or an error.
    End {
        /// The outcome.
        outcome: Outcome,
        /// The HTTP status when nothing has been sent to the caller yet.
        status: u16,
        /// The error, for every outcome but `completed`.
        error: Option<StepError>,
        /// The generation in force.
        generation: Generation,
    },
    /// The recorded answer of an earlier use of the same ticket.
    Recorded {
        /// The answer; `None` when its body is no longer held.
        answer: Option<Arc<RecordedAnswer>>,
        /// The outcome.
        outcome: Outcome,
        /// The generation in force.
        generation: Generation,
    },
}
