//! Detect crashes of backend servers, record the suspected requests and exchange crash evidence
//! with peers.

use oleanderpass_proto::peer;
use oleanderpass_quarantine::evidence::CrashId;
use oleanderpass_quarantine::evidence::Evidence;
use oleanderpass_quarantine::evidence::Signature;
use oleanderpass_quarantine::rule::RunRule;
use oleanderpass_routing::rendezvous::node_key;
use oleanderpass_routing::rendezvous::weight;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::OrganisationId;

use crate::event::NewRequest;
use crate::event::Observation;
use crate::event::Target;
use crate::instance::Instance;

/// The time for which a lost connection counts as a sign of a crash that is detected later. A
/// crashed server refuses its next load poll, or reports a new incarnation, well within this time.
const LOST_CONNECTION_WINDOW: Millis = Millis::from_secs(10);

/// The least delay before the retry of a request whose connection was lost: the time of a load poll
/// that distinguishes a crash from a broken connection.
pub(crate) const CRASH_CHECK_TIME: Millis = Millis::new(500);

/// An attempt whose connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostConnection {
    at: Timestamp,
    signature: Signature,
    /// The incarnation that the attempt was sent to, if known.
    incarnation: Option<Incarnation>,
    /// The quarantine demanded that the request runs alone on its server.
    alone: bool,
}

/// Compute the signature of a request: a hash of its organisation, its model or route and its body.
pub fn signature(organisation: &OrganisationId, new: &NewRequest) -> Signature {
    let target = match &new.target {
        Target::Model { model, .. } => format!("{organisation} model {model}"),
        Target::Route(route) => format!("{organisation} route {route}"),
    };
    Signature(weight(new.body_hash, node_key(&target)))
}

impl Instance {
    /// Record an attempt whose connection was lost, and poll its server at once.
    pub(crate) fn on_connection_lost(
        &mut self,
        now: Timestamp,
        server: &BackendServerId,
        incarnation: Option<Incarnation>,
        signature: Signature,
        alone: bool,
    ) {
        if let Some(view) = self.servers.get_mut(server) {
            view.lost_connections
                .retain(|lost| now.since(lost.at) < LOST_CONNECTION_WINDOW);
            view.lost_connections.push(LostConnection {
                at: now,
                signature,
                incarnation,
                alone,
            });
            view.polls.make_due(Observation::Load, now);
        }
    }

    /// Record a crash if a connection to an incarnation of the server was lost and the server now
    /// fails its load polls or has a newer incarnation.
    pub(crate) fn detect_crash(&mut self, now: Timestamp, server: &BackendServerId) {
        let Some(view) = self.servers.get_mut(server) else {
            return;
        };
        let current = (!view.load_poll_failed)
            .then_some(view.incarnation)
            .flatten();
        let lost = view.lost_connections.iter().find(|lost| {
            now.since(lost.at) < LOST_CONNECTION_WINDOW
                && (current.is_none() || lost.incarnation < current)
        });
        let Some(incarnation) = lost.map(|lost| lost.incarnation) else {
            // The server still runs the incarnation that lost connections, so it did not crash.
            if current.is_some() {
                view.lost_connections.clear();
            }
            return;
        };
        let lost_connections = std::mem::take(&mut view.lost_connections);
        let mut signatures: Vec<Signature> =
            lost_connections.iter().map(|lost| lost.signature).collect();
        let running = self
            .attempts
            .values()
            .filter(|attempt| attempt.server == *server && attempt.incarnation == incarnation);
        signatures.extend(running.map(|attempt| attempt.signature));
        signatures.sort_unstable();
        signatures.dedup();
        let alone = signatures.len() == 1 && lost_connections.iter().any(|lost| lost.alone);
        tracing::warn!(%server, suspects = signatures.len(), alone, "a backend server crashed");
        let evidence = Evidence {
            crash: CrashId {
                server: server.clone(),
                incarnation: incarnation.unwrap_or_default(),
            },
            signatures,
            alone,
            age: Millis::ZERO,
        };
        self.quarantine.on_crash(now, &evidence);
        self.has_urgent_announcement = true;
    }

    /// Return whether the quarantine allows a request to start on a server.
    pub(crate) fn may_run_on(
        &self,
        now: Timestamp,
        signature: Signature,
        server: &BackendServerId,
    ) -> bool {
        let Some(view) = self.servers.get(server) else {
            return false;
        };
        let rule = self.quarantine.rule(now, signature);
        // Shortcut: most servers run nothing of this instance, and most requests are no suspects.
        if self.quarantine.suspect_count() == 0
            || (rule == RunRule::Unrestricted && view.in_flight == 0)
        {
            return true;
        }
        let running: Vec<Signature> = self
            .attempts
            .values()
            .filter(|attempt| attempt.server == *server)
            .map(|attempt| attempt.signature)
            .collect();
        let copies = self
            .attempts
            .values()
            .filter(|attempt| attempt.signature == signature)
            .count();
        let idle = view
            .load
            .as_ref()
            .is_none_or(|(_, load)| load.running + load.queued == 0);
        (rule != RunRule::Alone || idle)
            && self.quarantine.may_start(now, signature, &running, copies)
    }

    /// Record the crash evidence of a peer.
    pub(crate) fn on_peer_evidence(&mut self, now: Timestamp, crashes: &[peer::CrashEvidence]) {
        for raw in crashes {
            match Evidence::try_from(raw) {
                Ok(evidence) => self.quarantine.on_crash(now, &evidence),
                Err(error) => tracing::warn!(%error, "a peer sent evidence that names no server"),
            }
        }
    }

    /// Return crash evidence for the next datagram. Each signature is sent up to `repeats` times.
    pub(crate) fn evidence_for_peers(
        &mut self,
        now: Timestamp,
        repeats: u32,
    ) -> Vec<peer::CrashEvidence> {
        self.quarantine
            .next_evidence(now, repeats)
            .into_iter()
            .map(peer::CrashEvidence::from)
            .collect()
    }
}
