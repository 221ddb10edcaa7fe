//! Tell requests that crash backend servers from those whose connection broke.
//!
//! A broken connection accuses nobody: answers get lost and servers close connections. Only when the
//! server is found gone, every request that it broke off becomes evidence.

use oleanderpass_proto::peer::CrashEvidence;
use oleanderpass_quarantine::evidence::CrashId;
use oleanderpass_quarantine::evidence::Evidence;
use oleanderpass_quarantine::evidence::Signature;
use oleanderpass_quarantine::rule::RunRule;
use oleanderpass_quarantine::table::Quarantine;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;

use crate::backend::Announcement;
use crate::backend::BackendKey;

/// The time after a break within which the server must be found gone. The list tells it after three
/// missed heartbeats of 1.2 s.
const CONFIRM_TIME: Millis = Millis::new(6_000);

/// How often one piece of news is sent to all peers. Two of three datagrams may be lost.
const REPEATS: u32 = 3;

/// The signatures in one bulletin.
const MAX_CLEARED: usize = 16;

#[derive(Debug)]
struct Break {
    at: Timestamp,
    key: BackendKey,
    crash: CrashId,
    signature: Signature,
}

/// What is known of requests that crash servers.
#[derive(Debug, Default)]
pub struct Crashes {
    table: Quarantine,
    breaks: Vec<Break>,
    /// Signatures that were cleared here, and how often peers were told.
    cleared: Vec<(Signature, u32)>,
}

impl Crashes {
    /// Return whether a request may not run any more.
    pub fn refuses(&self, now: Timestamp, signature: Signature) -> bool {
        matches!(self.table.rule(now, signature), RunRule::Refused { .. })
    }

    /// Note that a server broke off a request.
    pub fn on_break(&mut self, now: Timestamp, server: &Announcement, signature: Signature) {
        self.breaks.push(Break {
            at: now,
            key: server.key(),
            crash: CrashId {
                server: server.id.clone(),
                incarnation: server.incarnation,
            },
            signature,
        });
    }

    /// Note that a server is gone. Return whether that makes it a crash.
    pub fn on_gone(&mut self, now: Timestamp, key: BackendKey) -> bool {
        let confirmed: Vec<Break> = self.breaks.extract_if(.., |held| held.key == key).collect();
        let mut crashed = false;
        for held in confirmed {
            if now.since(held.at) < CONFIRM_TIME {
                crashed = true;
                tracing::warn!(
                    server = %held.crash.server,
                    signature = %held.signature,
                    age_ms = now.since(held.at).get(),
                    "a backend server crashed while it ran a request"
                );
                let evidence = Evidence {
                    crash: held.crash,
                    signatures: vec![held.signature],
                    alone: false,
                    age: now.since(held.at),
                };
                self.table.on_crash(now, &evidence);
            }
        }
        crashed
    }

    /// Clear a request that came to its regular end.
    pub fn on_finished(&mut self, now: Timestamp, signature: Signature) {
        self.breaks.retain(|held| held.signature != signature);
        if self.table.rule(now, signature) != RunRule::Unrestricted {
            self.table.on_finished(signature);
            self.cleared.push((signature, 0));
        }
    }

    /// Take the news of a peer.
    pub fn on_news(&mut self, now: Timestamp, evidence: &[CrashEvidence], cleared: &[u64]) {
        for raw in evidence {
            match Evidence::try_from(raw) {
                Ok(evidence) => self.table.on_crash(now, &evidence),
                Err(error) => tracing::warn!(%error, "a peer sent evidence that names no server"),
            }
        }
        for signature in cleared {
            self.table.on_finished(Signature(*signature));
        }
    }

    /// Return evidence and cleared signatures for the next bulletin.
    pub fn take_news(&mut self, now: Timestamp) -> (Vec<CrashEvidence>, Vec<u64>) {
        let evidence = self.table.next_evidence(now, REPEATS);
        self.cleared.retain(|(_, sent)| *sent < REPEATS);
        let told = self.cleared.iter_mut().take(MAX_CLEARED);
        let cleared = told
            .map(|(signature, sent)| {
                *sent += 1;
                signature.0
            })
            .collect();
        (evidence.into_iter().map(Into::into).collect(), cleared)
    }

    /// Drop what has expired.
    pub fn tick(&mut self, now: Timestamp) {
        self.table.tick(now);
        self.breaks.retain(|held| now.since(held.at) < CONFIRM_TIME);
    }
}
