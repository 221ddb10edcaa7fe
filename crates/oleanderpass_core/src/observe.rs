//! Poll backend servers for their load, and engines also for their state and holds.

use oleanderpass_config::document::ServiceKind;
use oleanderpass_proto::engine;
use oleanderpass_routing::polling::POLL_ALL_LIMIT;
use oleanderpass_routing::polling::POLL_PERIOD;
use oleanderpass_routing::polling::should_poll;
use oleanderpass_routing::rendezvous::node_key;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use rand::RngExt;
use smol_str::SmolStr;

use crate::action::Action;
use crate::event::Observation;
use crate::event::ServerLoad;
use crate::instance::Instance;
use crate::server::ServerView;

/// The time between two load polls of a server.
pub const LOAD_PERIOD: Millis = POLL_PERIOD;

/// The time between two reads of an engine's models and role, and of its holds.
pub const STATE_PERIOD: Millis = Millis::from_secs(5);

/// The time between two selections of the servers to poll.
const POLL_PLAN_PERIOD: Millis = Millis::from_secs(1);

/// The time after which a poll without a report from the edge counts as lost.
pub const POLL_TIMEOUT: Millis = Millis::from_secs(5);

/// The schedule of one kind of poll of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollSchedule {
    /// The earliest time of the next poll.
    next: Timestamp,
    /// When the poll was sent that has no report yet; `None` when no poll is in flight.
    pending: Option<Timestamp>,
}

impl PollSchedule {
    /// Return whether a poll is due, and if so record it as sent.
    fn start_if_due(&mut self, now: Timestamp, period: Millis) -> bool {
        let lost = self.pending.is_some_and(|at| now.since(at) >= POLL_TIMEOUT);
        let due = now >= self.next && (self.pending.is_none() || lost);
        if due {
            self.next = now + period;
            self.pending = Some(now);
        }
        due
    }
}

/// The poll schedules of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Polls {
    load: PollSchedule,
    state: PollSchedule,
    holds: PollSchedule,
    cache: PollSchedule,
    /// The number of the next cache event to read.
    cache_cursor: u64,
}

impl Polls {
    /// Create the schedules of a server whose first polls are due at `first`.
    pub(crate) fn starting_at(first: Timestamp) -> Self {
        let poll = PollSchedule {
            next: first,
            pending: None,
        };
        Self {
            load: poll,
            state: poll,
            holds: poll,
            cache: poll,
            cache_cursor: 0,
        }
    }

    fn get(&mut self, observation: Observation) -> &mut PollSchedule {
        match observation {
            Observation::Load => &mut self.load,
            Observation::State => &mut self.state,
            Observation::Holds => &mut self.holds,
            Observation::CacheEvents { .. } => &mut self.cache,
        }
    }

    /// Record the answer to a poll, or its failure.
    pub(crate) fn on_reported(&mut self, observation: Observation) {
        self.get(observation).pending = None;
    }

    /// Make the next poll due now.
    pub(crate) fn make_due(&mut self, observation: Observation, now: Timestamp) {
        self.get(observation).next = now;
    }
}

fn period(observation: Observation) -> Millis {
    match observation {
        Observation::Load | Observation::CacheEvents { .. } => LOAD_PERIOD,
        Observation::State | Observation::Holds => STATE_PERIOD,
    }
}

impl Instance {
    /// Draw the time of the first polls of a new server, which spreads the polls of many servers
    /// over the period.
    pub(crate) fn draw_first_poll(&mut self, now: Timestamp) -> Timestamp {
        now + Millis::new(self.rng.random_range(0..LOAD_PERIOD.get()))
    }

    /// Send the polls that are due.
    pub(crate) fn poll_servers(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let Some(document) = self.document.clone() else {
            return;
        };
        if now >= self.next_poll_plan {
            self.next_poll_plan = now + POLL_PLAN_PERIOD;
            self.polled_servers = self.choose_polled_servers();
        }
        for id in self.polled_servers.clone() {
            let Some(view) = self.servers.get_mut(&id) else {
                continue;
            };
            let kinds: &[Observation] = match document.services.get(&view.service) {
                Some(service) if service.kind == ServiceKind::Engine => {
                    &[Observation::Load, Observation::State, Observation::Holds]
                }
                _ => &[Observation::Load],
            };
            for observation in kinds.iter().copied() {
                if view
                    .polls
                    .get(observation)
                    .start_if_due(now, period(observation))
                {
                    out.push(Action::Observe {
                        server: id.clone(),
                        addr: view.addr,
                        observation,
                    });
                }
            }
        }
    }

    /// Return the listed servers that this instance polls:
    ///
    /// - its share of the servers of its zone, or all of them if it issues orders;
    /// - servers that lost one of its connections;
    /// - leaving servers, also of other zones, because it would not notice their next incarnation
    ///   otherwise.
    fn choose_polled_servers(&self) -> Vec<BackendServerId> {
        let in_zone = |view: &ServerView| view.zone == self.identity.zone;
        let count = self.servers.values().filter(|view| in_zone(view)).count();
        let issues_orders = self
            .distribution
            .as_ref()
            .is_some_and(|distribution| distribution.is_reader());
        let own = node_key(self.identity.instance.as_str());
        let mut instances = vec![own];
        if count > POLL_ALL_LIMIT {
            let peers = self.live_peers_of_zone();
            instances.extend(peers.iter().map(|id| node_key(id.as_str())));
        }
        let polled = |id: &BackendServerId, view: &ServerView| {
            // Orders are derived from the state of all engines of the zone.
            let in_share =
                || issues_orders || should_poll(own, &instances, node_key(id.as_str()), count);
            // Only the answer to a poll distinguishes a crash from a broken connection.
            let must_poll = view.leaving.is_some() || !view.lost_connections.is_empty();
            view.listed.is_some() && (must_poll || (in_zone(view) && in_share()))
        };
        self.servers
            .iter()
            .filter(|(id, view)| polled(id, view))
            .map(|(id, _)| id.clone())
            .collect()
    }

    pub(crate) fn on_load_report(
        &mut self,
        now: Timestamp,
        load: ServerLoad,
        out: &mut Vec<Action>,
    ) {
        let id = load.server.clone();
        if let Some(view) = self.servers.get_mut(&id) {
            view.polls.on_reported(Observation::Load);
            view.load_poll_failed = false;
            if view.on_report(now, load.clone()) {
                self.announce_leaving(&id);
            }
            self.detect_crash(now, &id);
            self.update_views(&id);
            self.report_to_views(now, &load);
        }
        self.dispatch_queued(now, out);
    }

    pub(crate) fn on_engine_state(
        &mut self,
        now: Timestamp,
        state: engine::EngineState,
        out: &mut Vec<Action>,
    ) {
        let Ok(id) = state.server.parse::<BackendServerId>() else {
            tracing::warn!(
                server = %state.server,
                "ignored an engine state with an invalid server id"
            );
            return;
        };
        if let Some(view) = self.servers.get_mut(&id) {
            view.polls.on_reported(Observation::State);
            view.on_state(now, state);
            self.update_views(&id);
        }
        self.dispatch_queued(now, out);
    }

    /// Apply an engine's cache events to the expected content of its prefix cache. If some
    /// events are missing, forget that content, because evictions may be among them.
    ///
    /// [`Self::poll_servers`] doesn't poll cache events; this applies those that an edge reports.
    pub(crate) fn on_cache_events(&mut self, id: &BackendServerId, read: &engine::CacheEvents) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let observation = Observation::CacheEvents { after: 0 };
        server.polls.on_reported(observation);
        let cursor = std::mem::replace(&mut server.polls.cache_cursor, read.next);
        let mut expected = cursor;
        let complete = read.next >= cursor
            && read.events.iter().all(|event| {
                expected += 1;
                event.number + 1 == expected
            })
            && (read.events.is_empty() || expected == read.next);
        for view in self.views.values_mut() {
            if !complete {
                view.record_lost_cache_events(id);
            }
            for event in &read.events {
                view.apply_cache_event(id, event.prefix, event.evicted);
            }
        }
    }

    pub(crate) fn on_observe_failed(
        &mut self,
        now: Timestamp,
        server: &BackendServerId,
        observation: Observation,
        cause: &SmolStr,
    ) {
        let Some(view) = self.servers.get_mut(server) else {
            return;
        };
        view.polls.on_reported(observation);
        if observation == Observation::Load && !view.load_poll_failed {
            tracing::warn!(%server, %cause, "the backend server does not report its load");
            view.load_poll_failed = true;
            self.update_views(server);
        }
        if observation == Observation::Load {
            self.detect_crash(now, server);
        }
    }
}
