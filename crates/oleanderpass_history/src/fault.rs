//! Name faults and the steps that they hit.

use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// A fault. Source: design section 1.6.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The entry instance ends without notice and is replaced.
    Kill,
    /// The entry instance stops acting for a while and then acts on what it had.
    Pause,
    /// Messages from the entry instance to its peers are lost.
    OneWayCut,
    /// The availability zone is cut from the other zone and from the platform.
    TwoWayCut,
    /// Messages between the entry instance and a backend server are lost.
    ServerCut,
    /// Open connections of the entry instance to a backend server deliver nothing more, new ones
    /// work.
    SilentConnection,
    /// The configuration service doesn't answer.
    ConfigDown,
    /// The configuration service answers with an older document.
    ConfigStale,
    /// The instance list doesn't change.
    ListLag,
    /// Two operators publish different contents of one generation.
    TwoOperators,
    /// The backend server crashes and restarts.
    ServerCrash,
    /// A request arrives that crashes each server that runs it.
    BadRequest,
    /// The backend server begins to leave.
    ServerLeaving,
    /// The caller sends its request again through another instance.
    CallerResend,
    /// The caller disconnects.
    CallerGone,
    /// The entry instance is asked to stop.
    PlannedStop,
}

/// A step that a fault can hit: those of a request and four that no single request owns.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum FaultStep {
    /// The request's bytes are on the way to the core.
    Read,
    /// The API key is checked.
    Authenticate,
    /// The request is admitted.
    Admit,
    /// A ticket was issued or its request waits for an earlier use.
    Ticket,
    /// The request is on the way to the owner of its ticket.
    Forward,
    /// The request waits for a backend server.
    Queue,
    /// The connection to the backend server is being opened.
    Connect,
    /// The request's bytes are on the way to the backend server.
    Dispatch,
    /// The backend server runs the request and has sent nothing.
    Start,
    /// A part of the answer was delivered.
    Stream,
    /// A hold was requested.
    Hold,
    /// An order was sent.
    Order,
    /// A new document was read by an instance.
    Promotion,
    /// An instance was asked to stop.
    Shutdown,
}

impl FaultStep {
    /// Return why no fault can fall into this step, if that is so.
    pub fn never(self) -> Option<&'static str> {
        match self {
            FaultStep::Authenticate | FaultStep::Admit => {
                Some("part of one call of the core, which neither waits nor sends")
            }
            _ => None,
        }
    }
}

/// A fault at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Trigger {
    /// The fault.
    pub fault: Fault,
    /// The step.
    pub step: FaultStep,
    /// Count only occurrences that belong to a request that must run at most once.
    pub once_only: bool,
    /// Fire at this occurrence of the step, from 1.
    pub occurrence: u32,
}
