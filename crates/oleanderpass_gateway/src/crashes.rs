//! Detect requests that crash backend servers, and share the evidence with peers.
//!
//! A broken connection alone is no evidence against a request, because answers get lost and servers
//! close connections. Only when the server is found to be gone does every request that broke off
//! there become crash evidence.

use oleanderpass_proto::peer::Bulletin;
use oleanderpass_proto::peer::CrashEvidence;
use oleanderpass_proto::peer::HarmlessPart;
use oleanderpass_proto::peer::PartCrash;
use oleanderpass_proto::peer::PartSuspect;
use oleanderpass_proto::peer::RefusedPart;
use oleanderpass_quarantine::evidence::CrashId;
use oleanderpass_quarantine::evidence::Evidence;
use oleanderpass_quarantine::evidence::Signature;
use oleanderpass_quarantine::part_report::CrashReport;
use oleanderpass_quarantine::part_report::HarmlessReport;
use oleanderpass_quarantine::part_report::PartReports;
use oleanderpass_quarantine::part_report::RefusalReport;
use oleanderpass_quarantine::part_report::ServerRun;
use oleanderpass_quarantine::part_report::Suspect;
use oleanderpass_quarantine::parts::PartQuarantine;
use oleanderpass_quarantine::parts::PartRule;
use oleanderpass_quarantine::rule::RunRule;
use oleanderpass_quarantine::table::Quarantine;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::PromptPartId;
use smol_str::SmolStr;
use smol_str::SmolStrBuilder;
use smol_str::ToSmolStr;

use crate::backend::Announcement;
use crate::backend::BackendKey;
use crate::gateway::RequestSpec;

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
    /// Whether the answer had not begun or had just begun.
    at_start: bool,
}

/// The crash evidence of this instance and its peers.
#[derive(Debug, Default)]
pub struct CrashTracker {
    table: Quarantine,
    parts: PartQuarantine,
    broken: Vec<BrokenRequest>,
    /// Signatures that this instance cleared, and how often they were sent to peers.
    cleared: Vec<(Signature, u32)>,
}

impl CrashTracker {
    /// Return whether requests with this signature are quarantined and must not run.
    pub fn refuses(&self, now: Timestamp, signature: Signature) -> bool {
        matches!(self.table.rule(now, signature), RunRule::Refused { .. })
    }

    /// Return whether a request with these prompt parts may be sent. `runs_trials` tells whether
    /// this instance is the one that tries a refused part again.
    pub fn part_rule(
        &self,
        now: Timestamp,
        parts: &[PromptPartId],
        runs_trials: impl Fn(PromptPartId) -> bool,
    ) -> PartRule {
        self.parts.rule(now, parts, runs_trials)
    }

    /// Return whether requests with one of these prompt parts are refused.
    pub fn refuses_part(&self, parts: &[PromptPartId]) -> bool {
        self.parts.refuses(parts)
    }

    /// Return the refused prompt parts, each with the time of its last crash.
    pub fn refused_parts(&self) -> impl Iterator<Item = (PromptPartId, Timestamp)> {
        self.parts.refused()
    }

    /// Record that a request with a refused prompt part is sent as a trial.
    pub fn on_part_trial(&mut self, now: Timestamp, part: PromptPartId) {
        self.parts.on_trial(now, part);
    }

    /// Record that an answer went on after its start at `started`. Return whether that clears a
    /// suspected prompt part.
    pub fn on_answer_goes_on(
        &mut self,
        now: Timestamp,
        started: Timestamp,
        parts: &[PromptPartId],
    ) -> bool {
        self.parts.on_harmless(now, started, parts)
    }

    /// Return the number of crashes in which a request with this signature was in flight.
    pub fn crash_count(&self, now: Timestamp, signature: Signature) -> usize {
        self.table.crash_count(now, signature)
    }

    /// Record that an attempt at a server broke off. `at_start` tells that its answer had not begun
    /// or had just begun.
    pub fn on_broken(
        &mut self,
        now: Timestamp,
        server: &Announcement,
        spec: &RequestSpec,
        at_start: bool,
    ) {
        self.broken.push(BrokenRequest {
            at: now,
            key: server.key(),
            crash: CrashId {
                server: server.id.clone(),
                incarnation: server.incarnation,
            },
            signature: spec.signature,
            shared_parts: spec.shared_parts.clone(),
            at_start,
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
                let suspects = request.shared_parts.iter().map(|part| Suspect {
                    part: *part,
                    request: request.signature,
                });
                let suspects = suspects.filter(|_| request.at_start);
                let server = ServerRun(request.key.0);
                let age = now.since(request.at);
                self.parts.on_crash(now, server, age, suspects);
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

    /// Apply what a peer's bulletin says of prompt parts.
    pub fn on_peer_parts(&mut self, now: Timestamp, bulletin: &Bulletin) {
        let reports = PartReports {
            crashes: bulletin.part_crashes.iter().map(decode_crash).collect(),
            harmless: bulletin
                .harmless_parts
                .iter()
                .map(decode_harmless)
                .collect(),
            refused: bulletin.refused_parts.iter().map(decode_refusal).collect(),
        };
        self.parts.on_reports(now, &reports);
    }

    /// Send the latest evidence again, because a peer has appeared that may not have it.
    pub fn on_new_peer(&mut self) {
        self.parts.on_new_peer();
    }

    /// Return whether peers have not been told yet of a suspected prompt part.
    pub fn has_unsent_parts(&self) -> bool {
        self.parts.has_unsent()
    }

    /// Add to a bulletin what peers must know of prompt parts, and count it as sent.
    pub fn report_parts(&mut self, now: Timestamp, bulletin: &mut Bulletin) {
        let reports = self.parts.next_reports(now, EVIDENCE_REPEATS);
        bulletin.part_crashes = reports.crashes.iter().map(encode_crash).collect();
        bulletin.harmless_parts = reports.harmless.iter().map(encode_harmless).collect();
        bulletin.refused_parts = reports.refused.iter().map(encode_refusal).collect();
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
        self.parts.tick(now);
        self.broken
            .retain(|request| now.since(request.at) < CONFIRMATION_WINDOW);
    }
}

fn encode_crash(report: &CrashReport) -> PartCrash {
    let suspects = report.suspects.iter().map(|suspect| PartSuspect {
        part: suspect.part.get(),
        request: suspect.request.0,
    });
    PartCrash {
        server: report.server.0,
        age_ms: report.age.get(),
        suspects: suspects.collect(),
    }
}

fn decode_crash(raw: &PartCrash) -> CrashReport {
    let suspects = raw.suspects.iter().map(|suspect| Suspect {
        part: PromptPartId::new(suspect.part),
        request: Signature(suspect.request),
    });
    CrashReport {
        server: ServerRun(raw.server),
        age: Millis::new(raw.age_ms),
        suspects: suspects.collect(),
    }
}

fn encode_harmless(report: &HarmlessReport) -> HarmlessPart {
    HarmlessPart {
        part: report.part.get(),
        age_ms: report.age.get(),
    }
}

fn decode_harmless(raw: &HarmlessPart) -> HarmlessReport {
    HarmlessReport {
        part: PromptPartId::new(raw.part),
        age: Millis::new(raw.age_ms),
    }
}

fn encode_refusal(report: &RefusalReport) -> RefusedPart {
    RefusedPart {
        part: report.part.get(),
        crashes: report.crashes,
        age_ms: report.age.get(),
        failed_trials: report.failed_trials,
        was_harmless: report.was_harmless,
    }
}

fn decode_refusal(raw: &RefusedPart) -> RefusalReport {
    RefusalReport {
        part: PromptPartId::new(raw.part),
        crashes: raw.crashes,
        age: Millis::new(raw.age_ms),
        failed_trials: raw.failed_trials,
        was_harmless: raw.was_harmless,
    }
}

/// Format the ids of prompt parts for the log.
pub(crate) fn list(parts: &[PromptPartId]) -> SmolStr {
    let mut text = SmolStrBuilder::new();
    for (index, part) in parts.iter().enumerate() {
        if index > 0 {
            text.push(',');
        }
        text.push_str(&part.to_smolstr());
    }
    text.finish()
}
