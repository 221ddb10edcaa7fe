//! Read documents from the platform, bring them into force and send them to peers.

use std::collections::VecDeque;
use std::sync::Arc;

use oleanderpass_config::canonical::canonical_json;
use oleanderpass_config::distribution::Distribution;
use oleanderpass_config::distribution::Input;
use oleanderpass_config::distribution::Output;
use oleanderpass_config::document::Document;
use oleanderpass_config::readers::choose_readers;
use oleanderpass_config::version::Version;
use oleanderpass_orders::guard::IssueGuard;
use oleanderpass_orders::guard::MAX_TICK_GAP;
use oleanderpass_proto::environment;
use oleanderpass_proto::peer;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;

use crate::action::Action;
use crate::event::CallId;
use crate::instance::Instance;

/// The time after a pause of the process within which it has handled all datagrams that arrived
/// during the pause.
const PAUSE_BACKLOG_TIME: Millis = Millis::from_secs(1);

impl Instance {
    /// Create the distribution on the first event, because only events carry the current time.
    pub(crate) fn begin_distribution(&mut self, now: Timestamp) {
        if self.distribution.is_none() {
            let own_id = self.identity.instance.clone();
            self.distribution = Some(Distribution::new(now, own_id));
            self.issue_guard = Some(IssueGuard::new(now));
        }
    }

    /// Record a tick. After a late one, read the document again: no orders are sent until the
    /// document in force is confirmed.
    pub(crate) fn record_tick(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let late = self
            .last_tick
            .replace(now)
            .is_some_and(|last| now.since(last) > MAX_TICK_GAP);
        if let Some(guard) = &mut self.issue_guard {
            guard.on_tick(now);
        }
        if late {
            self.run_distribution(now, Input::Refresh, out);
        }
    }

    /// Apply an answer of the platform. If no candidate is about to replace the document in force
    /// afterwards, that document is the latest one, which confirms it for orders.
    pub(crate) fn on_platform_answer(
        &mut self,
        now: Timestamp,
        answer: Input<'_>,
        out: &mut Vec<Action>,
    ) {
        let read_began = self.platform_read_start;
        self.run_distribution(now, answer, out);
        let settled = self
            .distribution
            .as_ref()
            .is_some_and(|distribution| distribution.announced().is_empty());
        if let (true, Some(guard)) = (settled, &mut self.issue_guard) {
            guard.on_confirmed(read_began);
        }
    }

    /// Confirm the document in force if a live peer has the same one.
    ///
    /// A datagram that arrived while the process was paused is handled within
    /// [`PAUSE_BACKLOG_TIME`] of the end of the pause. So a datagram ends only a block of orders
    /// that began longer ago than that.
    pub(crate) fn confirm_by_peer(
        &mut self,
        now: Timestamp,
        theirs: Option<&peer::DocumentVersion>,
    ) {
        let theirs = theirs.and_then(|raw| Version::try_from(raw).ok());
        let same = theirs.is_some() && theirs == self.version_in_force();
        if let (true, Some(guard)) = (same, &mut self.issue_guard) {
            guard.on_confirmed(now - PAUSE_BACKLOG_TIME);
        }
    }

    pub(crate) fn on_document(
        &mut self,
        now: Timestamp,
        raw: &environment::Document,
        out: &mut Vec<Action>,
    ) {
        // The distribution parses YAML. The canonical form is JSON, which is valid YAML.
        let text = canonical_json(raw).map(String::from_utf8);
        match text {
            Ok(Ok(text)) => self.on_platform_answer(now, Input::Text(&text), out),
            _ => tracing::error!("a parsed document has no canonical form"),
        }
    }

    pub(crate) fn on_fetch_call(
        &mut self,
        call: CallId,
        query: &peer::FetchDocumentRequest,
        out: &mut Vec<Action>,
    ) {
        let answer = self
            .distribution
            .as_ref()
            .and_then(|distribution| distribution.answer_fetch(query))
            .unwrap_or_default();
        let answer = Box::new(answer);
        out.push(Action::AnswerFetch { call, answer });
    }

    /// Pass an input to the distribution and apply its outputs.
    pub(crate) fn run_distribution(
        &mut self,
        now: Timestamp,
        input: Input<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(distribution) = &mut self.distribution else {
            return;
        };
        let mut outputs = Vec::new();
        distribution.handle(now, input, &mut outputs);
        let mut queue = VecDeque::from(outputs);
        while let Some(output) = queue.pop_front() {
            let unreachable = self.apply_output(now, output, out);
            if let (Some(peer), Some(distribution)) = (unreachable, &mut self.distribution) {
                let mut outputs = Vec::new();
                distribution.handle(now, Input::FetchFailed(&peer), &mut outputs);
                queue.extend(outputs);
            }
        }
    }

    /// Apply one output. Return the peer if it is a fetch from a peer without a known address.
    fn apply_output(
        &mut self,
        now: Timestamp,
        output: Output,
        out: &mut Vec<Action>,
    ) -> Option<InstanceId> {
        match output {
            Output::Read(read) => {
                self.platform_read_start = now;
                out.push(Action::ReadDocument {
                    after: read.after,
                    wait: read.wait,
                });
            }
            Output::Fetch { peer, held, wanted } => {
                let Some(addr) = self.peer_addr_of(&peer) else {
                    return Some(peer);
                };
                let query = peer::FetchDocumentRequest {
                    proof: None,
                    held: held.map(|version| version.to_message(false)),
                    wanted: Some(wanted.to_message(false)),
                };
                out.push(Action::FetchDocument {
                    from: peer,
                    addr,
                    query: Box::new(query),
                });
            }
            Output::Announce => self.probe_readers(now, out),
            Output::InForce(document) => self.bring_into_force(now, document, out),
            Output::Rejected(rejection) => {
                tracing::warn!(%rejection, "rejected a document");
                self.rejected_documents += 1;
                self.last_rejection = Some(rejection.to_string().into());
            }
            Output::Split { kept, lost } => {
                tracing::error!(%kept, %lost, "two documents of one generation were in force");
                self.document_splits += 1;
            }
            Output::Ready => tracing::info!("the instance is ready"),
        }
        None
    }

    fn bring_into_force(&mut self, now: Timestamp, document: Arc<Document>, out: &mut Vec<Action>) {
        tracing::info!(generation = %document.generation, "a document is in force");
        self.set_limits(now, &document);
        self.next_orders = self.next_orders.map(|_| now);
        self.document = Some(document);
        self.rebuild_views();
        self.dispatch_queued(now, out);
    }

    /// Probe the readers of all zones at once. The probes carry the versions that this instance
    /// announces.
    fn probe_readers(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let addrs: Vec<_> = self
            .readers_of_all_zones()
            .iter()
            .filter_map(|id| self.peer_addr_of(id))
            .collect();
        self.probe_now(now, &addrs, out);
    }

    /// Return the instances that read the platform for their zones.
    fn readers_of_all_zones(&self) -> Vec<InstanceId> {
        let Some(membership) = &self.membership else {
            return Vec::new();
        };
        let active = || {
            membership
                .live_members()
                .filter(|member| member.accepts_work())
        };
        let mut zones: Vec<_> = active().map(|member| &member.zone).collect();
        zones.sort();
        zones.dedup();
        zones
            .into_iter()
            .flat_map(|zone| {
                let members = active().filter(|member| member.zone == *zone);
                choose_readers(members.map(|member| &member.id))
            })
            .collect()
    }

    /// Return the version of the document in force; `None` before the first document.
    pub fn version_in_force(&self) -> Option<Version> {
        self.distribution.as_ref().and_then(Distribution::in_force)
    }
}
