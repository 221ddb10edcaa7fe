//! Parse and check the headers of a caller's request.

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

/// The header with the timeout of the request, in milliseconds.
pub const TIMEOUT_HEADER: &str = "oleanderpass-timeout-ms";

/// The header with the priority: `interactive` or `batch`.
pub const PRIORITY_HEADER: &str = "oleanderpass-priority";

/// The header that declares whether the request is idempotent: `true` or `false`.
pub const IDEMPOTENT_HEADER: &str = "oleanderpass-idempotent";

/// The header with the ticket of a call that must run at most once.
pub const TICKET_HEADER: &str = "oleanderpass-ticket";

/// The longest accepted ticket, in bytes. Issued tickets have about 300.
const MAX_TICKET_BYTES: usize = 1_024;

/// The checked headers of a request.
#[derive(Clone, Debug)]
pub struct Head {
    /// The SHA-256 digest of the API key.
    pub key_digest: Digest,
    /// The timeout; `None` when the caller sets none.
    pub timeout: Option<Millis>,
    /// The priority; the default when the caller sets none.
    pub priority: Priority,
    /// Whether the request is idempotent; `None` when the caller does not declare it.
    pub idempotent: Option<bool>,
    /// The ticket as sent, not yet checked; `None` for a request without one.
    pub ticket: Option<SmolStr>,
}

/// Why a head was not accepted: HTTP status and cause.
pub type HeadError = (u16, SmolStr);

impl TryFrom<&HeaderMap> for Head {
    type Error = HeadError;

    fn try_from(headers: &HeaderMap) -> Result<Self, HeadError> {
        let timeout: Option<u64> = parse_header(headers, TIMEOUT_HEADER)?;
        if timeout == Some(0) {
            return Err((400, format_smolstr!("{TIMEOUT_HEADER}: must be at least 1")));
        }
        let ticket: Option<SmolStr> = parse_header(headers, TICKET_HEADER)?;
        if ticket.as_ref().is_some_and(|t| t.len() > MAX_TICKET_BYTES) {
            let cause = format_smolstr!("{TICKET_HEADER}: longer than {MAX_TICKET_BYTES} bytes");
            return Err((400, cause));
        }
        Ok(Self {
            key_digest: parse_api_key(headers)?,
            timeout: timeout.map(Millis::new),
            priority: parse_header(headers, PRIORITY_HEADER)?.unwrap_or_default(),
            idempotent: parse_header(headers, IDEMPOTENT_HEADER)?,
            ticket,
        })
    }
}

/// Parse a header, or return `None` when it is missing.
fn parse_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, HeadError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    match parsed {
        Some(parsed) => Ok(Some(parsed)),
        None => Err((400, format_smolstr!("{name}: invalid value"))),
    }
}

/// Return the digest of the API key in the `authorization` header.
fn parse_api_key(headers: &HeaderMap) -> Result<Digest, HeadError> {
    headers
        .get(AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
        .map(|key| Digest(Sha256::digest(key).into()))
        .ok_or((
            401,
            "the header `authorization: Bearer KEY` is missing".into(),
        ))
}
