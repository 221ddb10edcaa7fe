//! Describe errors of requests by the step that failed and the party at which it failed.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// The step of a request at which an error arose.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// Receive the request's head and body.
    Read,
    /// Check the API key.
    Authenticate,
    /// Admit the request: limits, deadline and cost.
    Admit,
    /// Check or redeem a ticket.
    Ticket,
    /// Forward the request to the instance that owns its ticket.
    Forward,
    /// Wait for a backend server.
    Queue,
    /// Connect to the backend server.
    Connect,
    /// Send the request to the backend server.
    Dispatch,
    /// Wait for the first token or the head of the answer.
    Start,
    /// Receive the answer.
    Stream,
}

/// The party at which a step failed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(into = "String")]
pub enum Party {
    /// The caller.
    Caller,
    /// This instance itself.
    Local,
    /// Another entry instance.
    Instance(SmolStr),
    /// A backend server.
    BackendServer(SmolStr),
    /// The platform.
    Platform,
}

impl fmt::Display for Party {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Party::Caller => f.write_str("caller"),
            Party::Local => f.write_str("local"),
            Party::Instance(id) => write!(f, "instance {id}"),
            Party::BackendServer(id) => write!(f, "backend server {id}"),
            Party::Platform => f.write_str("platform"),
        }
    }
}

impl From<Party> for String {
    fn from(party: Party) -> String {
        party.to_string()
    }
}

/// An error of a request with its step, party and cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepError {
    /// The step that failed.
    pub step: Step,
    /// The party at which the step failed. Answers to callers and peers write it as `peer`.
    pub peer: Party,
    /// What went wrong, as text for a person.
    pub cause: SmolStr,
}

impl StepError {
    /// Create an error from its parts.
    pub fn new(step: Step, peer: Party, cause: impl Into<SmolStr>) -> Self {
        Self {
            step,
            peer,
            cause: cause.into(),
        }
    }
}

impl fmt::Display for StepError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} failed at {}: {}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for StepError {}
