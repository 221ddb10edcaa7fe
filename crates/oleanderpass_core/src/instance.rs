//! Hold the state of one entry instance and handle its events.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use oleanderpass_config::distribution::Distribution;
use oleanderpass_config::distribution::Input;
use oleanderpass_config::document::Document;
use oleanderpass_holds::acquisition::Hold;
use oleanderpass_holds::release::PendingReleases;
use oleanderpass_limits::organisation::LiveInstance;
use oleanderpass_limits::organisation::OrganisationLimits;
use oleanderpass_limits::retry::RetryBudget;
use oleanderpass_membership::membership::Input as MembershipInput;
use oleanderpass_membership::membership::Membership;
use oleanderpass_orders::guard::IssueGuard;
use oleanderpass_quarantine::table::Quarantine;
use oleanderpass_routing::overload::Overload;
use oleanderpass_routing::view::View;
use oleanderpass_ticket::FleetKey;
use oleanderpass_ticket::ledger::Ledger;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::error::Party;
use oleanderpass_types::error::Step;
use oleanderpass_types::error::StepError;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::ModelId;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::id::StreamId;
use oleanderpass_types::id::ZoneId;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;

use crate::action::Action;
use crate::attempt::Attempt;
use crate::drain::Drain;
use crate::event::Event;
use crate::event::InstanceList;
use crate::holding::AttemptHolds;
use crate::queue::Queue;
use crate::request::Request;
use crate::server::ServerView;

/// The identity of an entry instance.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The id, which the instance keeps when it restarts.
    pub instance: InstanceId,
    /// The number of this run of the process, which is higher after each restart.
    pub incarnation: Incarnation,
    /// The availability zone that the instance runs in.
    pub zone: ZoneId,
}

/// The decision core of an entry instance.
#[derive(Debug)]
pub struct Instance {
    pub(crate) identity: Identity,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) fleet_key: FleetKey,
    pub(crate) peer_addr: Option<SocketAddr>,
    /// The addresses of the peers to contact at start.
    pub(crate) seeds: Vec<SocketAddr>,
    /// The state of the distribution of documents; `None` before the first event.
    pub(crate) distribution: Option<Distribution>,
    pub(crate) membership: Option<Membership>,
    /// The document in force.
    pub(crate) document: Option<Arc<Document>>,
    pub(crate) rejected_documents: u64,
    pub(crate) last_rejection: Option<SmolStr>,
    pub(crate) document_splits: u64,
    pub(crate) next_list_read: Timestamp,
    /// This instance itself observed a leaving server or a crash since the last tick, so that some
    /// live peers get a datagram at once.
    pub(crate) has_urgent_announcement: bool,
    /// Leaving servers to announce to peers, with the number of datagrams that carried each.
    pub(crate) leaving_announcements: IndexMap<BackendServerId, (Incarnation, u32)>,
    /// The instance list last received from the platform or a peer.
    pub(crate) instance_list: Option<Arc<InstanceList>>,
    /// The peer address of each entry instance in the platform's list.
    pub(crate) listed_peers: IndexMap<InstanceId, SocketAddr>,
    /// The servers that this instance polls.
    pub(crate) polled_servers: Vec<BackendServerId>,
    /// When to choose the polled servers again.
    pub(crate) next_poll_plan: Timestamp,
    pub(crate) servers: IndexMap<BackendServerId, ServerView>,
    pub(crate) requests: IndexMap<RequestId, Request>,
    /// Requests that wait for a backend server, in the order of dispatch.
    pub(crate) queue: Queue,
    /// The engines of each model as the routing policy sees them.
    pub(crate) views: IndexMap<ModelId, View>,
    /// The load shedding of each model.
    pub(crate) overload: IndexMap<ModelId, Overload>,
    pub(crate) quarantine: Quarantine,
    /// Attempts that occupy a slot of their server, including those whose request was answered.
    pub(crate) attempts: IndexMap<StreamId, Attempt>,
    /// Requests admitted since the start to be run by this instance.
    pub(crate) admitted: u64,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) limits: OrganisationLimits,
    /// The holds on several engines of each attempt that needs them.
    pub(crate) holdings: IndexMap<StreamId, AttemptHolds>,
    /// Holds that were requested from engines and not answered yet, by hold id.
    pub(crate) hold_requests: IndexMap<SmolStr, (StreamId, Hold)>,
    pub(crate) releases: PendingReleases,
    /// The number of the last acquisition of holds, which makes hold names unique.
    pub(crate) last_acquisition_number: u64,
    /// Decides whether this instance may issue orders; `None` before the first event.
    pub(crate) issue_guard: Option<IssueGuard>,
    /// When to derive orders next; `None` until the first orders are due.
    pub(crate) next_orders: Option<Timestamp>,
    /// When the first orders are issued even if some engine has not reported its state.
    pub(crate) first_orders_deadline: Option<Timestamp>,
    pub(crate) last_tick: Option<Timestamp>,
    /// When the last read of the document from the platform began.
    pub(crate) platform_read_start: Timestamp,
    pub(crate) ledger: Ledger,
    pub(crate) drain: Drain,
}

impl Instance {
    /// Create the core of an instance that has just started. `seed` seeds all random choices.
    pub fn new(identity: Identity, seed: u64) -> Self {
        let limits = OrganisationLimits::new(LiveInstance {
            id: identity.instance.clone(),
            zone: identity.zone.clone(),
        });
        let ledger = Ledger::new(identity.instance.clone(), identity.incarnation);
        Self {
            identity,
            rng: Pcg64Mcg::new(u128::from(seed)),
            fleet_key: FleetKey::default(),
            peer_addr: None,
            seeds: Vec::new(),
            distribution: None,
            membership: None,
            document: None,
            rejected_documents: 0,
            last_rejection: None,
            document_splits: 0,
            next_list_read: Timestamp::ORIGIN,
            has_urgent_announcement: false,
            leaving_announcements: IndexMap::new(),
            instance_list: None,
            listed_peers: IndexMap::new(),
            polled_servers: Vec::new(),
            next_poll_plan: Timestamp::ORIGIN,
            servers: IndexMap::new(),
            requests: IndexMap::new(),
            queue: Queue::default(),
            views: IndexMap::new(),
            overload: IndexMap::new(),
            quarantine: Quarantine::new(),
            attempts: IndexMap::new(),
            admitted: 0,
            retry_budget: RetryBudget::default(),
            limits,
            holdings: IndexMap::new(),
            hold_requests: IndexMap::new(),
            releases: PendingReleases::new(),
            last_acquisition_number: 0,
            issue_guard: None,
            next_orders: None,
            first_orders_deadline: None,
            last_tick: None,
            platform_read_start: Timestamp::ORIGIN,
            ledger,
            drain: Drain::Serving,
        }
    }

    /// Set the key that all instances of the fleet share to authenticate tickets.
    #[must_use]
    pub fn with_fleet_key(mut self, key: FleetKey) -> Self {
        self.fleet_key = key;
        self
    }

    /// Set the address of this instance for peers and the peers to contact at start.
    #[must_use]
    pub fn with_peers(mut self, peer_addr: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        self.peer_addr = Some(peer_addr);
        self.seeds = seeds;
        self
    }

    /// Return the identity of this instance.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Return the document in force.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Return the generation in force, or 0 before the first document.
    pub fn generation(&self) -> Generation {
        self.document
            .as_ref()
            .map_or(Generation::new(0), |document| document.generation)
    }

    /// Return whether the load balancer should send callers to this instance.
    pub fn is_ready(&self) -> bool {
        self.serving_document().is_some()
            && self.instance_list.is_some()
            && self.drain == Drain::Serving
    }

    /// Return the document in force, or `None` until the distribution has found that it is current.
    pub(crate) fn serving_document(&self) -> Option<Arc<Document>> {
        self.distribution
            .as_ref()
            .filter(|distribution| distribution.is_ready())
            .and(self.document.clone())
    }

    /// Return the state of the distribution of documents, or `None` before the first event.
    pub fn distribution(&self) -> Option<&Distribution> {
        self.distribution.as_ref()
    }

    /// Return the membership of the fleet, or `None` if this instance has no address for peers.
    pub fn membership(&self) -> Option<&Membership> {
        self.membership.as_ref()
    }

    /// Return the number of rejected documents and the reason of the last rejection.
    pub fn rejected_documents(&self) -> (u64, Option<&str>) {
        (self.rejected_documents, self.last_rejection.as_deref())
    }

    /// Return how often two different contents of one generation were found in force.
    pub fn document_splits(&self) -> u64 {
        self.document_splits
    }

    /// Return the state of the shutdown.
    pub fn drain(&self) -> Drain {
        self.drain
    }

    /// Return the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Return the number of requests that wait for a backend server.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Return the number of requests admitted since the start to be run by this instance.
    pub fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Return the views of the backend servers.
    pub fn servers(&self) -> &IndexMap<BackendServerId, ServerView> {
        &self.servers
    }

    /// Return the requests that are suspected of crashing servers.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Return the ledger of this instance's tickets.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Handle an event and append the resulting actions to `out`.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        self.begin_distribution(now);
        self.begin_membership(now);
        match event {
            Event::Request(new) => self.on_request(now, new, out),
            Event::IssueTicket { req, key, route } => {
                self.on_issue_ticket(now, req, key, route, out);
            }
            Event::CallerGone(req) => self.on_caller_gone(now, &req, out),
            Event::Attempt {
                req,
                attempt,
                progress,
            } => self.on_progress(now, StreamId { req, attempt }, progress, out),
            Event::ForwardEnded { req, outcome } => self.on_forward_ended(&req, outcome),
            Event::ForwardFailed { req, cause } => self.on_forward_failed(now, &req, cause, out),
            Event::Document(raw) => self.on_document(now, &raw, out),
            Event::InstanceList(list) => self.on_instance_list(now, &list, out),
            Event::LoadReport(load) => self.on_load_report(now, load, out),
            Event::EngineState(state) => self.on_engine_state(now, *state, out),
            Event::HoldList { server, list } => self.on_hold_list(now, &server, &list, out),
            Event::HoldAnswered { hold, granted, .. } => {
                self.on_hold_answer(now, &hold, granted, out);
            }
            Event::HoldReleased {
                hold, confirmed, ..
            } => self.on_hold_released(&hold, confirmed),
            Event::OrderAnswered { server, answer, .. } => {
                self.on_order_answer(now, &server, answer.as_ref());
            }
            Event::CacheEvents { server, events } => self.on_cache_events(&server, &events),
            Event::ObserveFailed {
                server,
                observation,
                cause,
            } => self.on_observe_failed(now, &server, observation, &cause),
            Event::Shutdown => self.on_shutdown(now, out),
            Event::Tick => self.on_tick(now, out),
            Event::PeerPacket { from, packet } => self.on_peer_packet(now, from, &packet, out),
            Event::PeerUnreachable(peer) => self.on_peer_unreachable(now, &peer, out),
            Event::DocumentText(text) => self.on_platform_answer(now, Input::Text(&text), out),
            Event::DocumentUnchanged => self.on_platform_answer(now, Input::Unchanged, out),
            Event::DocumentMalformed { cause } | Event::DocumentReadFailed { cause } => {
                tracing::warn!(%cause, "could not read the document");
                self.run_distribution(now, Input::ReadFailed, out);
            }
            Event::DocumentFetched { from, answer } => {
                let (peer, answer) = (&from, answer.as_ref());
                self.run_distribution(now, Input::Fetched { peer, answer }, out);
            }
            Event::DocumentFetchFailed { from, cause } => {
                tracing::info!(peer = %from, %cause, "could not fetch a document");
                self.run_distribution(now, Input::FetchFailed(&from), out);
            }
            Event::FetchDocumentCall { call, query } => self.on_fetch_call(call, &query, out),
            Event::InstanceListFailed { cause } => {
                tracing::warn!(%cause, "could not read the instance list");
                self.fetch_list_from_peer(out);
            }
            Event::LeaseQuotaCall {
                call,
                from,
                demands,
            } => self.on_lease_call(now, call, &from, &demands, out),
            Event::QuotaLeased { home, leases } => self.limits.apply_leases(now, &home, &leases),
            Event::QuotaLeaseFailed { home } => self.limits.on_lease_request_failed(&home),
        }
    }

    fn on_tick(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.record_tick(now, out);
        self.run_membership(now, MembershipInput::Tick, out);
        self.run_distribution(now, Input::Tick, out);
        self.send_urgent_announcements(now, out);
        self.read_list(now, out);
        self.end_overdue(now, out);
        self.advance_holds(now, out);
        self.ledger.remove_expired(now);
        self.quarantine.tick(now);
        self.observe_wait(now);
        self.dispatch_queued(now, out);
        self.end_without_servers(now, out);
        self.poll_servers(now, out);
        self.request_quota(now, out);
        self.issue_orders(now, out);
        self.advance_drain(now, out);
    }
}

/// Create an error that arose in this instance.
pub(crate) fn local_error(step: Step, cause: impl Into<SmolStr>) -> StepError {
    StepError::new(step, Party::Local, cause)
}

/// Create an error that the caller caused.
pub(crate) fn caller_error(step: Step, cause: impl Into<SmolStr>) -> StepError {
    StepError::new(step, Party::Caller, cause)
}
