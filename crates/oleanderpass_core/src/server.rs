//! Keep what the instance knows of a backend server.

use std::net::SocketAddr;

use oleanderpass_proto::engine;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::AdapterId;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::ModelId;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::id::ZoneId;

use crate::crash_evidence::LostConnection;
use crate::event::Lifecycle;
use crate::event::ListedServer;
use crate::event::ServerLoad;
use crate::observe::Polls;

/// The time after which the instance list no longer lags. A server that only the list called
/// leaving, and that both the list and its own reports call live for this time, is live.
pub const LIST_LAG_LIMIT: Millis = Millis::from_secs(60);

/// The state of a loaded model that serves requests. Source: `LoadedModel` in `engine.proto`.
const READY: &str = "ready";

/// Who said that a server is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingSource {
    /// The platform's instance list, which names no incarnation and lags.
    List,
    /// The server itself, or a peer to which it said so.
    Server,
}

/// The knowledge that a server takes no new work in one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// The incarnation, if it was known.
    pub incarnation: Option<Incarnation>,
    /// Who said so.
    pub source: LeavingSource,
    /// When this instance learned of it.
    pub since: Timestamp,
}

/// The view of one backend server.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The availability zone.
    pub zone: ZoneId,
    /// The address.
    pub addr: SocketAddr,
    /// The state in the platform's list; `None` when the list doesn't contain the server.
    pub listed: Option<Lifecycle>,
    /// When the list's state last changed.
    pub listed_since: Timestamp,
    /// The highest incarnation that reported.
    pub incarnation: Option<Incarnation>,
    /// Set when this incarnation takes no new work.
    pub leaving: Option<Leaving>,
    /// Attempts of this instance that run there, cancelled ones included.
    pub in_flight: u32,
    /// The last load report and its arrival.
    pub load: Option<(Timestamp, ServerLoad)>,
    /// The models and the role that the engine reported last, and when.
    pub engine: Option<(Timestamp, Box<engine::EngineState>)>,
    /// The last load poll failed. The server gets work only when no other one can take it.
    pub load_poll_failed: bool,
    /// The polls of this server.
    pub polls: Polls,
    /// Connections that failed and refusals since the last success.
    pub rejections: u32,
    /// The last attempt found no server at the address or lost its connection.
    pub unreachable: bool,
    /// Attempts whose connection was lost, until it is known whether the server crashed.
    pub lost_connections: Vec<LostConnection>,
    /// The server gets no work before this time.
    pub avoid_until: Timestamp,
}

impl ServerView {
    /// Create the view of a server that the platform lists.
    pub fn new(now: Timestamp, listed: &ListedServer) -> Self {
        let mut view = Self {
            service: listed.service.clone(),
            zone: listed.zone.clone(),
            addr: listed.addr,
            listed: None,
            listed_since: now,
            incarnation: None,
            leaving: None,
            in_flight: 0,
            load: None,
            engine: None,
            load_poll_failed: false,
            polls: Polls::default(),
            rejections: 0,
            unreachable: false,
            lost_connections: Vec::new(),
            avoid_until: Timestamp::ORIGIN,
        };
        view.on_listed(now, listed);
        view
    }

    /// Return whether the server takes new work, as far as is known.
    pub fn is_live(&self) -> bool {
        self.listed == Some(Lifecycle::Live) && self.leaving.is_none()
    }

    /// Return whether the server answered when it was last asked.
    pub fn is_reachable(&self) -> bool {
        !self.load_poll_failed && !self.unreachable
    }

    /// Take the state from the platform's list.
    pub fn on_listed(&mut self, now: Timestamp, listed: &ListedServer) {
        self.service = listed.service.clone();
        self.zone = listed.zone.clone();
        self.addr = listed.addr;
        let previous = self.set_listed(now, Some(listed.state));
        // Only the change marks the incarnation: the list still says `leaving` for a while after
        // the server came back with a new one.
        if listed.state == Lifecycle::Leaving && previous != Some(Lifecycle::Leaving) {
            self.mark_leaving(now, self.incarnation, LeavingSource::List);
        }
        self.clear_outdated_mark(now);
    }

    /// Note that the platform's list doesn't contain the server.
    pub fn on_unlisted(&mut self, now: Timestamp) {
        self.set_listed(now, None);
    }

    /// Note that an incarnation takes no new work, and return whether this is news. Ignore what
    /// concerns an earlier incarnation.
    pub fn mark_leaving(
        &mut self,
        now: Timestamp,
        incarnation: Option<Incarnation>,
        source: LeavingSource,
    ) -> bool {
        let earlier =
            matches!((incarnation, self.incarnation), (Some(i), Some(known)) if i < known);
        let weaker = self.leaving.is_some_and(|held| {
            held.incarnation > incarnation
                || (held.incarnation == incarnation
                    && (held.source == source || held.source == LeavingSource::Server))
        });
        if earlier || weaker {
            return false;
        }
        self.leaving = Some(Leaving {
            incarnation,
            source,
            since: now,
        });
        true
    }

    /// Take a load report, and return whether it is the first that calls the incarnation leaving.
    /// Ignore one of an earlier incarnation.
    pub fn on_report(&mut self, now: Timestamp, load: ServerLoad) -> bool {
        if self
            .incarnation
            .is_some_and(|known| load.incarnation < known)
        {
            return false;
        }
        if self.incarnation != Some(load.incarnation) {
            self.begin_incarnation(load.incarnation);
        }
        let news = load.state == Lifecycle::Leaving
            && self.mark_leaving(now, Some(load.incarnation), LeavingSource::Server);
        self.load = Some((now, load));
        self.clear_outdated_mark(now);
        news
    }

    /// Take the models and the role of an engine. Ignore those of an earlier incarnation.
    pub fn on_state(&mut self, now: Timestamp, state: engine::EngineState) {
        let incarnation = Incarnation::new(state.incarnation);
        if self.incarnation.is_some_and(|known| incarnation < known) {
            return;
        }
        if self.incarnation != Some(incarnation) {
            self.begin_incarnation(incarnation);
        }
        self.engine = Some((now, Box::new(state)));
    }

    /// Return whether the engine can serve a model, as far as is known. An engine whose state is
    /// not known yet refuses what it has not loaded.
    pub fn serves(&self, model: &ModelId, adapter: Option<&AdapterId>) -> bool {
        self.engine.as_ref().is_none_or(|(_, state)| {
            state.models.iter().any(|loaded| {
                loaded.model == model.as_str()
                    && loaded.state == READY
                    && adapter.is_none_or(|id| loaded.adapters.iter().any(|a| is_adapter(a, id)))
            })
        })
    }

    /// Note an attempt that the server refused or didn't accept, and leave it alone for a while.
    pub fn on_rejected(&mut self, now: Timestamp, delay: Millis, unreachable: bool) {
        self.unreachable = unreachable;
        self.rejections = self.rejections.saturating_add(1);
        self.avoid_until = now + delay;
    }

    /// Note an attempt that the server accepted.
    pub fn on_accepted(&mut self) {
        self.rejections = 0;
        self.unreachable = false;
        self.avoid_until = Timestamp::ORIGIN;
    }

    fn begin_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = Some(incarnation);
        self.engine = None;
        self.load = None;
        self.on_accepted();
        match &mut self.leaving {
            Some(leaving) if leaving.incarnation.is_some_and(|left| left < incarnation) => {
                self.leaving = None;
            }
            Some(leaving) if leaving.source == LeavingSource::Server => {
                leaving.incarnation = Some(incarnation);
            }
            _ => {}
        }
    }

    fn set_listed(&mut self, now: Timestamp, state: Option<Lifecycle>) -> Option<Lifecycle> {
        if self.listed != state {
            self.listed_since = now;
        }
        std::mem::replace(&mut self.listed, state)
    }

    /// Drop a mark that only a list which lagged can have caused.
    pub(crate) fn clear_outdated_mark(&mut self, now: Timestamp) {
        let by_list = self
            .leaving
            .is_some_and(|leaving| leaving.source == LeavingSource::List);
        let reported_live = self
            .load
            .as_ref()
            .is_some_and(|(at, load)| *at > self.listed_since && load.state == Lifecycle::Live);
        let listed_live =
            self.listed == Some(Lifecycle::Live) && now.since(self.listed_since) >= LIST_LAG_LIMIT;
        if by_list && reported_live && listed_live {
            self.leaving = None;
        }
    }
}

/// Return whether a label of a loaded adapter, as `oleanderpass_orders` writes them, is of this
/// adapter in any version.
fn is_adapter(label: &str, id: &AdapterId) -> bool {
    label.split('@').next() == Some(id.as_str())
}
