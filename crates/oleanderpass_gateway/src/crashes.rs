//! Detect requests that crash backend servers, and share the evidence with peers.
//!
//! A broken connection alone is no evidence against a request, because answers get lost and servers
//! close connections. Only when the server is found to be gone does every request that broke off
//! there become crash evidence.

use oleanderpass_proto::peer::CrashEvidence;
use oleanderpass_quarantine::evidence::CrashId;
use oleanderpass_quarantine::evidence::Evidence;
use oleanderpass_quarantine::evidence::Signature;
use oleanderpass_quarantine::rule::RunRule;
use oleanderpass_quarantine::table::Quarantine;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::PromptPartId;

use crate::backend::Announcement;
use crate::backend::BackendKey;
use crate::gateway::RequestSpec;
use crate::gateway::list;

/// The time after a broken request within which its server must be found to be gone. The list of
/// servers shows it after three missed heartbeats at an interval of 1.2 s.
const CONFIRMATION_WINDOW: Millis = Millis::new(6_000);

/// The number of times that each piece of evidence is sent to all peers. Two of three datagrams may
/// be lost.
const EVIDENCE_REPEATS: u32 = 3;

/// The largest number of cleared signatures in one bulletin.
const MAX_CLEARED: usize = 16;

/// A request whose attempt at a server ended as [`AttemptEnd::Broken`].
///
/// [`AttemptEnd::Broken`]: crate::gateway::AttemptEnd::Broken
#[derive(Debug)]
struct BrokenRequest {
    at: Timestamp,
    key: BackendKey,
    crash: CrashId,
    signature: Signature,
    shared_parts: Vec<PromptPartId>,
}

/// The crash evidence of this instance and its peers.
#[derive(Debug, Default)]
pub struct CrashTracker {
    table: Quarantine,
    broken: Vec<BrokenRequest>,
    /// Signatures that this instance cleared, and how often they were sent to peers.
    cleared: Vec<(Signature, u32)>,
}

impl CrashTracker {
    /// Return whether requests with this signature are quarantined and must not run.
    pub fn refuses(&self, now: Timestamp, signature: Signature) -> bool {
        matches!(self.table.rule(now, signature), RunRule::Refused { .. })
    }

    /// Return the number of crashes in which a request with this signature was in flight.
    pub fn crash_count(&self, now: Timestamp, signature: Signature) -> usize {
        self.table.crash_count(now, signature)
    }

    /// Record that an attempt at a server broke off.
    pub fn on_broken(&mut self, now: Timestamp, server: &Announcement, spec: &RequestSpec) {
        self.broken.push(BrokenRequest {
            at: now,
            key: server.key(),
            crash: CrashId {
                server: server.id.clone(),
                incarnation: server.incarnation,
            },
            signature: spec.signature,
            shared_parts: spec.shared_parts.clone(),
        });
    }

    /// Record that a server is gone. Return whether that confirms a crash.
    pub fn on_server_gone(&mut self, now: Timestamp, key: BackendKey) -> bool {
        let confirmed: Vec<BrokenRequest> = self
            .broken
            .extract_if(.., |request| request.key == key)
            .collect();
        let mut crashed = false;
        for request in confirmed {
            if now.since(request.at) < CONFIRMATION_WINDOW {
                crashed = true;
                tracing::warn!(
                    server = %request.crash.server,
                    signature = %request.signature,
                    parts = %list(&request.shared_parts),
                    age_ms = now.since(request.at).get(),
                    "a backend server crashed while it ran a request"
                );
                let evidence = Evidence {
                    crash: request.crash,
                    signatures: vec![request.signature],
                    // This instance never restricts a request to run alone on a server.
                    alone: false,
                    age: now.since(request.at),
                };
                self.table.on_crash(now, &evidence);
            }
        }
        crashed
    }

    /// Clear a signature whose request completed.
    pub fn on_finished(&mut self, now: Timestamp, signature: Signature) {
        self.broken.retain(|request| request.signature != signature);
        if self.table.rule(now, signature) != RunRule::Unrestricted {
            self.table.on_finished(signature);
            self.cleared.push((signature, 0));
        }
    }

    /// Apply a peer's crash evidence and the signatures that it cleared.
    pub fn on_peer_evidence(
        &mut self,
        now: Timestamp,
        evidence: &[CrashEvidence],
        cleared: &[u64],
    ) {
        for raw in evidence {
            match Evidence::try_from(raw) {
                Ok(evidence) => self.table.on_crash(now, &evidence),
                Err(error) => {
                    tracing::warn!(%error, "a peer sent crash evidence with an invalid server id")
                }
            }
        }
        for signature in cleared {
            self.table.on_finished(Signature(*signature));
        }
    }

    /// Return the evidence and the cleared signatures to send with the next bulletin, and count
    /// them as sent.
    pub fn next_evidence(&mut self, now: Timestamp) -> (Vec<CrashEvidence>, Vec<u64>) {
        let evidence = self.table.next_evidence(now, EVIDENCE_REPEATS);
        self.cleared.retain(|(_, sent)| *sent < EVIDENCE_REPEATS);
        let to_send = self.cleared.iter_mut().take(MAX_CLEARED);
        let cleared = to_send
            .map(|(signature, sent)| {
                *sent += 1;
                signature.0
            })
            .collect();
        (evidence.into_iter().map(Into::into).collect(), cleared)
    }

    /// Drop evidence and broken requests that have expired.
    pub fn tick(&mut self, now: Timestamp) {
        self.table.tick(now);
        self.broken
            .retain(|request| now.since(request.at) < CONFIRMATION_WINDOW);
    }
}
