//! Execution tickets: their text form, authentication and scope check.

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

use crate::key::FleetKey;
use crate::key::MAC_BYTES;

/// Longest ticket text that is decoded. Four text ids of 64 bytes, the numbers, the MAC and an
/// environment name of 256 bytes take about 850 bytes in base64.
pub const MAX_TICKET_TEXT_BYTES: usize = 1_024;

/// The purpose in the MAC that separates tickets from the other uses of the fleet key.
const MAC_PURPOSE: &[u8] = b"oleanderpass ticket 1";

/// The environment, organisation, caller and route that a ticket is valid for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Scope {
    /// The environment's name in the document.
    pub environment: SmolStr,
    /// The organisation that the caller belongs to.
    pub organisation: OrganisationId,
    /// The caller that requested the ticket.
    pub caller: CallerId,
    /// The route of the request that the ticket allows.
    pub route: RouteId,
}

/// A ticket that lets one caller run one request on one route at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The instance that issued the ticket.
    pub instance: InstanceId,
    /// The incarnation of the issuer. No other one dispatches the request.
    pub incarnation: Incarnation,
    /// What the ticket is valid for.
    pub scope: Scope,
    /// The ticket's serial number within the incarnation, from 1.
    pub number: u64,
    /// The end of the time window for the first use, on the issuer's clock.
    pub expires: Timestamp,
}

/// Why a ticket is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum TicketError {
    /// The text is malformed or wasn't authenticated with the key of this fleet.
    #[strum(serialize = "the ticket is not authentic")]
    NotAuthentic,
    /// The ticket was issued for another environment.
    #[strum(serialize = "the ticket is for another environment")]
    OtherEnvironment,
    /// The ticket was issued for another organisation.
    #[strum(serialize = "the ticket is for another organisation")]
    OtherOrganisation,
    /// The ticket was issued for another caller.
    #[strum(serialize = "the ticket is for another caller")]
    OtherCaller,
    /// The ticket was issued for another route.
    #[strum(serialize = "the ticket is for another route")]
    OtherRoute,
}

impl std::error::Error for TicketError {}

impl Ticket {
    /// Encode the ticket and its MAC as base64url text.
    pub fn encode(&self, key: &FleetKey) -> SmolStr {
        let mut payload = raw::Ticket::from(self).encode_to_vec();
        let mac = key.sign(MAC_PURPOSE, &payload);
        payload.extend_from_slice(&mac);
        URL_SAFE_NO_PAD.encode(payload).into()
    }

    /// Decode a ticket from its text and check its MAC.
    ///
    /// # Errors
    ///
    /// Return [`TicketError::NotAuthentic`] for a text that wasn't encoded with this key.
    pub fn decode(text: &str, key: &FleetKey) -> Result<Self, TicketError> {
        authentic_payload(text, key)
            .and_then(|payload| raw::Ticket::decode(payload.as_slice()).ok())
            .and_then(|raw| Ticket::try_from(raw).ok())
            .ok_or(TicketError::NotAuthentic)
    }

    /// Check that the ticket is valid for a request with this scope.
    ///
    /// # Errors
    ///
    /// Return the error of the first part of the scope that differs.
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
        match checks.into_iter().find(|(matches, _)| !matches) {
            Some((_, error)) => Err(error),
            None => Ok(()),
        }
    }
}

/// Return the encoded ticket message of a text, or `None` if its MAC is invalid.
fn authentic_payload(text: &str, key: &FleetKey) -> Option<Vec<u8>> {
    if text.len() > MAX_TICKET_TEXT_BYTES {
        return None;
    }
    let mut payload = URL_SAFE_NO_PAD.decode(text).ok()?;
    let mac = payload.split_off(payload.len().checked_sub(MAC_BYTES)?);
    key.verify(MAC_PURPOSE, &payload, &mac).then_some(payload)
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
