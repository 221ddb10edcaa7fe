//! Crash evidence: a crash and the requests that were in flight on the server.

use std::fmt;

use oleanderpass_proto::peer::CrashEvidence;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InvalidId;

/// Time for which a crash counts against its suspects. Source: design section 4.8.
pub const EVIDENCE_LIFETIME: Millis = Millis::from_secs(600);

/// Maximum number of signatures in one piece of evidence. A crash with more suspects is sent in
/// several pieces.
pub const MAX_SIGNATURES_PER_EVIDENCE: usize = 16;

/// Maximum number of pieces of evidence in one datagram. Two pieces with the longest server ids
/// take about 430 of the 1,200 bytes, which leaves room for membership updates.
pub const MAX_EVIDENCE_PER_DATAGRAM: usize = 2;

/// The hash that identifies copies of a request. It covers the sender (organisation or API key),
/// the target and the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Signature(pub u64);

impl fmt::Display for Signature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The identity of a crash. Each incarnation of a backend server can crash once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CrashId {
    /// The server that crashed.
    pub server: BackendServerId,
    /// The incarnation that crashed.
    pub incarnation: Incarnation,
}

/// What one instance reports of a crash, or a part of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The crash.
    pub crash: CrashId,
    /// The signatures of requests that were in flight on the server, all or some of them.
    pub signatures: Vec<Signature>,
    /// Whether the only request in flight ran under
    /// [`RunRule::Alone`](crate::rule::RunRule::Alone).
    pub alone: bool,
    /// The time since the crash.
    pub age: Millis,
}

impl From<Evidence> for CrashEvidence {
    fn from(evidence: Evidence) -> Self {
        Self {
            server: evidence.crash.server.to_string(),
            server_incarnation: evidence.crash.incarnation.get(),
            signatures: evidence.signatures.iter().map(|sig| sig.0).collect(),
            alone: evidence.alone,
            age_ms: evidence.age.get(),
        }
    }
}

impl TryFrom<&CrashEvidence> for Evidence {
    type Error = InvalidId;

    fn try_from(raw: &CrashEvidence) -> Result<Self, Self::Error> {
        Ok(Self {
            crash: CrashId {
                server: raw.server.parse()?,
                incarnation: Incarnation::new(raw.server_incarnation),
            },
            signatures: raw.signatures.iter().copied().map(Signature).collect(),
            alone: raw.alone,
            age: Millis::new(raw.age_ms),
        })
    }
}
