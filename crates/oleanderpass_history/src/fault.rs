//! The faults, and the steps at which they are injected.

use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// A fault. Source: design section 1.6.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The entry instance's process ends without notice, and a new one starts later.
    Kill,
    /// The entry instance's process is paused. Afterwards it handles what arrived in the meantime,
    /// with the state that it had before.
    Pause,
    /// Messages from the entry instance to its peers are lost; those from its peers arrive.
    OneWayCut,
    /// Messages between the entry instance's availability zone and the other zone or the platform
    /// are lost.
    TwoWayCut,
    /// Messages between the entry instance and a backend server are lost, both ways.
    ServerCut,
    /// Open connections between the entry instance and a backend server deliver nothing more but
    /// stay open; new ones work.
    SilentConnection,
    /// The configuration service and the instance list can't be reached.
    ConfigDown,
    /// The configuration service answers with the document before its last one.
    ConfigStale,
    /// The instance list that the platform answers with doesn't change.
    ListLag,
    /// Two operators publish different documents with the same generation.
    TwoOperators,
    /// The backend server crashes and restarts.
    ServerCrash,
    /// A request arrives that crashes each server that runs it.
    BadRequest,
    /// The backend server's operator tells it to leave.
    ServerLeaving,
    /// The caller resends its request while the first call is open, perhaps to another instance.
    CallerResend,
    /// The caller closes the connection before the answer ends.
    CallerGone,
    /// The entry instance is asked to stop, again if it is stopping already.
    PlannedStop,
}

/// A step at which a fault can be injected. The last four belong to no single request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum FaultStep {
    /// The request's bytes have been sent and the instance reads them.
    Read,
    /// The API key is checked.
    Authenticate,
    /// The request is admitted.
    Admit,
    /// The caller received a ticket.
    Ticket,
    /// The request is being forwarded to the instance that owns its ticket.
    Forward,
    /// The request waits for a backend server.
    Queue,
    /// The instance opens a connection to the backend server.
    Connect,
    /// The request's bytes are on the way to the backend server.
    Dispatch,
    /// The backend server runs the request and has sent no event.
    Start,
    /// The first event of the answer reached the instance.
    Stream,
    /// An instance requests a hold from an engine.
    Hold,
    /// An instance sends an order to an engine.
    Order,
    /// A document with a generation above the first one reaches an instance from the configuration
    /// service.
    Promotion,
    /// An instance was asked to stop.
    Shutdown,
}

impl FaultStep {
    /// Return why no fault can be injected at this step, or `None` if one can.
    pub fn unreachable_reason(self) -> Option<&'static str> {
        match self {
            FaultStep::Authenticate | FaultStep::Admit => {
                Some("part of one call of the core, which neither waits nor sends")
            }
            _ => None,
        }
    }
}

/// A plan to inject a fault at one occurrence of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Trigger {
    /// The fault to inject.
    pub fault: Fault,
    /// The step at which to inject it.
    pub step: FaultStep,
    /// Count only occurrences that belong to a non-idempotent request.
    pub non_idempotent_only: bool,
    /// Inject the fault at this occurrence of the step, counted from 1.
    pub occurrence: u32,
}
