//! Encode, authenticate and check execution tickets.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use oleanderpass_proto::peer as raw;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::CallerId;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::InvalidId;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::RouteId;
use prost::Message;
use smol_str::SmolStr;
use strum::Display;

use crate::key::CODE_LEN;
use crate::key::FleetKey;

/// The longest text that is decoded, in bytes. Four text ids of 64 bytes, the numbers, the code and
/// an environment name of 256 bytes take about 850 bytes in base64.
pub const MAX_TICKET_LEN: usize = 1_024;

/// Separates tickets from the other uses of the fleet key.
const PURPOSE: &[u8] = b"oleanderpass ticket 1";

/// Whom a ticket is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Scope {
    /// The name of the environment.
    pub environment: SmolStr,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The caller.
    pub caller: CallerId,
    /// The route.
    pub route: RouteId,
}

/// An execution ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The instance that issued the ticket.
    pub instance: InstanceId,
    /// Its incarnation. No other one dispatches the request.
    pub incarnation: Incarnation,
    /// Whom the ticket is for.
    pub scope: Scope,
    /// The number of the ticket within the incarnation.
    pub number: u64,
    /// The end of the time for the first use, on the issuer's clock.
    pub expires: Timestamp,
}

/// Why a text is not a usable ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum TicketError {
    /// The text is no ticket of this fleet.
    #[strum(serialize = "the ticket is not authentic")]
    NotAuthentic,
    /// The ticket belongs to another environment.
    #[strum(serialize = "the ticket is for another environment")]
    OtherEnvironment,
    /// The ticket belongs to another organisation.
    #[strum(serialize = "the ticket is for another organisation")]
    OtherOrganisation,
    /// The ticket belongs to another caller.
    #[strum(serialize = "the ticket is for another caller")]
    OtherCaller,
    /// The ticket belongs to another route.
    #[strum(serialize = "the ticket is for another route")]
    OtherRoute,
}

impl std::error::Error for TicketError {}

impl Ticket {
    /// Authenticate the ticket with the fleet key and write it as base64url text.
    pub fn encode(&self, key: &FleetKey) -> SmolStr {
        let mut payload = raw::Ticket::from(self).encode_to_vec();
        let code = key.sign(PURPOSE, &payload);
        payload.extend_from_slice(&code);
        URL_SAFE_NO_PAD.encode(payload).into()
    }

    /// Read a ticket from text.
    ///
    /// # Errors
    ///
    /// Return `NotAuthentic` for a text that wasn't written with the fleet key.
    pub fn decode(text: &str, key: &FleetKey) -> Result<Self, TicketError> {
        authentic_payload(text, key)
            .and_then(|payload| raw::Ticket::decode(payload.as_slice()).ok())
            .and_then(|raw| Ticket::try_from(raw).ok())
            .ok_or(TicketError::NotAuthentic)
    }

    /// Check that the ticket is for this request.
    ///
    /// # Errors
    ///
    /// Return the first part of the scope that differs.
    pub fn check(&self, scope: &Scope) -> Result<(), TicketError> {
        let checks = [
            (
                self.scope.environment == scope.environment,
                TicketError::OtherEnvironment,
            ),
            (
                self.scope.organisation == scope.organisation,
                TicketError::OtherOrganisation,
            ),
            (self.scope.caller == scope.caller, TicketError::OtherCaller),
            (self.scope.route == scope.route, TicketError::OtherRoute),
        ];
        match checks.into_iter().find(|(equal, _)| !equal) {
            Some((_, error)) => Err(error),
            None => Ok(()),
        }
    }
}

fn authentic_payload(text: &str, key: &FleetKey) -> Option<Vec<u8>> {
    if text.len() > MAX_TICKET_LEN {
        return None;
    }
    let mut payload = URL_SAFE_NO_PAD.decode(text).ok()?;
    let code = payload.split_off(payload.len().checked_sub(CODE_LEN)?);
    key.verify(PURPOSE, &payload, &code).then_some(payload)
}

impl From<&Ticket> for raw::Ticket {
    fn from(ticket: &Ticket) -> Self {
        Self {
            instance: ticket.instance.to_string(),
            incarnation: ticket.incarnation.get(),
            environment: ticket.scope.environment.to_string(),
            organisation: ticket.scope.organisation.to_string(),
            caller: ticket.scope.caller.to_string(),
            route: ticket.scope.route.to_string(),
            number: ticket.number,
            expires_ms: ticket.expires.as_millis(),
        }
    }
}

impl TryFrom<raw::Ticket> for Ticket {
    type Error = InvalidId;

    fn try_from(raw: raw::Ticket) -> Result<Self, Self::Error> {
        Ok(Self {
            instance: raw.instance.parse()?,
            incarnation: Incarnation::new(raw.incarnation),
            scope: Scope {
                environment: raw.environment.into(),
                organisation: raw.organisation.parse()?,
                caller: raw.caller.parse()?,
                route: raw.route.parse()?,
            },
            number: raw.number,
            expires: Timestamp::from_millis(raw.expires_ms),
        })
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "ticket {} of {} incarnation {}",
            self.number, self.instance, self.incarnation
        )
    }
}
