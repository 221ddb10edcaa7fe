//! Poll backend servers for their load, state and holds.

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

/// The time between two choices of the servers to poll.
const POLL_PLAN_PERIOD: Millis = Millis::from_secs(1);

/// The time after which a poll that the edge has not reported on counts as failed.
pub const POLL_TIMEOUT: Millis = Millis::from_secs(5);

/// The polls of one kind of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Poll {
    /// The time of the next poll.
    next: Timestamp,
    /// The time of the poll that has not been reported on.
    pending: Option<Timestamp>,
}

impl Poll {
    /// Return whether a poll is due, and count it as sent.
    fn take_due(&mut self, now: Timestamp, period: Millis) -> bool {
        let lost = self.pending.is_some_and(|at| now.since(at) >= POLL_TIMEOUT);
        let due = now >= self.next && (self.pending.is_none() || lost);
        if due {
            self.next = now + period;
            self.pending = Some(now);
        }
        due
    }
}

/// The polls of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Polls {
    load: Poll,
    state: Poll,
    holds: Poll,
    cache: Poll,
    /// The first cache event that was not read.
    cache_cursor: u64,
}

impl Polls {
    /// Spread the first polls of many servers over the period.
    pub(crate) fn starting_at(first: Timestamp) -> Self {
        let poll = Poll {
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

    fn get(&mut self, observation: Observation) -> &mut Poll {
        match observation {
            Observation::Load => &mut self.load,
            Observation::State => &mut self.state,
            Observation::Holds => &mut self.holds,
            Observation::CacheEvents { .. } => &mut self.cache,
        }
    }

    /// Note the answer to a poll, or its failure.
    pub(crate) fn on_reported(&mut self, observation: Observation) {
        self.get(observation).pending = None;
    }

    /// Poll again at once.
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
    /// Draw when the polls of a new server begin.
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
            self.polled_servers = self.polled_servers();
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
                    .take_due(now, period(observation))
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

    /// Return the servers that this instance polls: its part of those of its zone, those that lost
    /// one of its connections, and leaving ones of other zones, whose next incarnation it would not
    /// notice otherwise.
    fn polled_servers(&self) -> Vec<BackendServerId> {
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
            // Orders follow from the state of all engines of the zone.
            let part =
                || issues_orders || should_poll(own, &instances, node_key(id.as_str()), count);
            // Only an answer tells a crash from a broken connection.
            let asked = view.leaving.is_some() || !view.lost_connections.is_empty();
            view.listed.is_some() && (asked || (in_zone(view) && part()))
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
                self.spread_leaving(&id);
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
            tracing::warn!(server = %state.server, "ignored the state of an invalid server id");
            return;
        };
        if let Some(view) = self.servers.get_mut(&id) {
            view.polls.on_reported(Observation::State);
            view.on_state(now, state);
            self.update_views(&id);
        }
        self.dispatch_queued(now, out);
    }

    /// Bring the expected content of an engine's prefix cache in line with its events.
    pub(crate) fn on_cache_events(&mut self, id: &BackendServerId, read: &engine::CacheEvents) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let observation = Observation::CacheEvents { after: 0 };
        server.polls.on_reported(observation);
        let cursor = std::mem::replace(&mut server.polls.cache_cursor, read.next);
        let mut due = cursor;
        let complete = read.next >= cursor
            && read.events.iter().all(|event| {
                due += 1;
                event.number + 1 == due
            })
            && (read.events.is_empty() || due == read.next);
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
