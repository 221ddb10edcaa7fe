//! Check the head of a caller's request.

use std::str::FromStr;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use oleanderpass_core::event::Priority;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::Digest;
use sha2::Digest as _;
use sha2::Sha256;
use smol_str::SmolStr;
use smol_str::format_smolstr;

/// The time that the caller gives, in milliseconds.
pub const TIMEOUT: &str = "oleanderpass-timeout-ms";

/// How urgent the request is.
pub const PRIORITY: &str = "oleanderpass-priority";

/// What the caller says of running the request twice.
pub const IDEMPOTENT: &str = "oleanderpass-idempotent";

/// The ticket of a call that runs at most once.
pub const TICKET: &str = "oleanderpass-ticket";

/// The longest accepted ticket, in bytes. An issued one has about 300.
const MAX_TICKET_BYTES: usize = 1_024;

/// The checked headers of a request.
#[derive(Clone, Debug)]
pub struct Head {
    /// The digest of the API key.
    pub key: Digest,
    /// The time that the caller gives.
    pub timeout: Option<Millis>,
    /// How urgent the request is.
    pub priority: Priority,
    /// What the caller says of running the request twice.
    pub idempotent: Option<bool>,
    /// The ticket.
    pub ticket: Option<SmolStr>,
}

/// Why a head was not accepted: HTTP status and cause.
pub type HeadError = (u16, SmolStr);

impl TryFrom<&HeaderMap> for Head {
    type Error = HeadError;

    fn try_from(headers: &HeaderMap) -> Result<Self, HeadError> {
        let timeout: Option<u64> = parse(headers, TIMEOUT)?;
        if timeout == Some(0) {
            return Err((400, format_smolstr!("{TIMEOUT}: must be at least 1")));
        }
        let ticket: Option<SmolStr> = parse(headers, TICKET)?;
        if ticket.as_ref().is_some_and(|t| t.len() > MAX_TICKET_BYTES) {
            let cause = format_smolstr!("{TICKET}: longer than {MAX_TICKET_BYTES} bytes");
            return Err((400, cause));
        }
        Ok(Self {
            key: key_digest(headers)?,
            timeout: timeout.map(Millis::new),
            priority: parse(headers, PRIORITY)?.unwrap_or_default(),
            idempotent: parse(headers, IDEMPOTENT)?,
            ticket,
        })
    }
}

fn parse<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, HeadError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    match parsed {
        Some(parsed) => Ok(Some(parsed)),
        None => Err((400, format_smolstr!("{name}: invalid value"))),
    }
}

fn key_digest(headers: &HeaderMap) -> Result<Digest, HeadError> {
    headers
        .get(AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
        .map(|key| Digest(Sha256::digest(key).into()))
        .ok_or((
            401,
            "the header `authorization: Bearer KEY` is missing".into(),
        ))
}
