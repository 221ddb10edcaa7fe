//! Keep the state of one request.

use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::AttemptNumber;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::ServiceId;

use crate::event::NewRequest;

/// A request in flight.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request as it arrived.
    pub new: Box<NewRequest>,
    /// The organisation of its caller.
    pub organisation: OrganisationId,
    /// The service that runs it.
    pub service: ServiceId,
    /// Running it twice is harmless.
    pub idempotent: bool,
    /// The end of its time.
    pub deadline: Timestamp,
    /// The number of the last attempt.
    pub attempt: AttemptNumber,
    /// The backend server of the running attempt.
    pub server: Option<BackendServerId>,
    /// Backend servers that failed or refused this request.
    pub tried: Vec<BackendServerId>,
}
