//! Hold the state of a backend server as this instance knows it.

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
/// leaving is live again when the list has called it live for this time and the last load report,
/// received after the change of the list, does too.
pub const LIST_LAG_LIMIT: Millis = Millis::from_secs(60);

/// The state of a loaded model that serves requests. Source: `LoadedModel` in `engine.proto`.
const READY: &str = "ready";

/// The source of the information that a server is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingSource {
    /// The platform's instance list, which names no incarnation and lags behind the servers.
    List,
    /// The server itself, also if a peer passed its report on.
    Server,
}

/// A mark that a server takes no new work in one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// The incarnation; `None` if the source did not name one and the server had not reported one.
    pub incarnation: Option<Incarnation>,
    /// The source of the mark.
    pub source: LeavingSource,
    /// When this instance set the mark.
    pub since: Timestamp,
}

/// One backend server as this instance knows it.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The availability zone.
    pub zone: ZoneId,
    /// The address for requests and polls.
    pub addr: SocketAddr,
    /// The state in the platform's list; `None` when the list doesn't contain the server.
    pub listed: Option<Lifecycle>,
    /// When the list's state last changed.
    pub listed_since: Timestamp,
    /// The highest incarnation that reported; `None` before the first report.
    pub incarnation: Option<Incarnation>,
    /// Set when the server takes no new work in its current incarnation.
    pub leaving: Option<Leaving>,
    /// Attempts of this instance that run on the server, including cancelled ones that have not
    /// ended.
    pub in_flight: u32,
    /// The last load report of the current incarnation and its arrival time.
    pub load: Option<(Timestamp, ServerLoad)>,
    /// The last state that the engine reported in its current incarnation, with its models and its
    /// role, and its arrival time.
    pub engine: Option<(Timestamp, Box<engine::EngineState>)>,
    /// The last load poll failed. The server gets requests only when no other one can take them.
    pub load_poll_failed: bool,
    /// The schedule and the state of the polls of this server.
    pub polls: Polls,
    /// Failed connections and refusals since the server last accepted an attempt. Failures of
    /// concurrent attempts count once.
    pub consecutive_failures: u32,
    /// The last failed attempt couldn't connect to the server or lost its connection. Cleared when
    /// an attempt is accepted.
    pub unreachable: bool,
    /// Attempts whose connection was lost. Kept until a load poll shows whether the server crashed.
    pub lost_connections: Vec<LostConnection>,
    /// The end of the backoff after failed attempts. The server gets no requests before this time.
    pub backoff_until: Timestamp,
}

impl ServerView {
    /// Create the view of a server that has appeared in the platform's list.
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
            consecutive_failures: 0,
            unreachable: false,
            lost_connections: Vec::new(),
            backoff_until: Timestamp::ORIGIN,
        };
        view.on_listed(now, listed);
        view
    }

    /// Return whether the server takes new work as far as this instance knows.
    pub fn is_live(&self) -> bool {
        self.listed == Some(Lifecycle::Live) && self.leaving.is_none()
    }

    /// Return whether the server answered its last load poll and its last attempt.
    pub fn is_reachable(&self) -> bool {
        !self.load_poll_failed && !self.unreachable
    }

    /// Apply the server's entry in the platform's list.
    pub fn on_listed(&mut self, now: Timestamp, listed: &ListedServer) {
        self.service = listed.service.clone();
        self.zone = listed.zone.clone();
        self.addr = listed.addr;
        let previous = self.set_listed(now, Some(listed.state));
        // Only a change of the list marks the incarnation, because the list still says `leaving`
        // for a while after the server has returned with a new one.
        if listed.state == Lifecycle::Leaving && previous != Some(Lifecycle::Leaving) {
            self.mark_leaving(now, self.incarnation, LeavingSource::List);
        }
        self.clear_outdated_mark(now);
    }

    /// Record that the platform's list doesn't contain the server.
    pub fn on_unlisted(&mut self, now: Timestamp) {
        self.set_listed(now, None);
    }

    /// Record that an incarnation takes no new work, and return whether the mark changed. Ignore
    /// information about an earlier incarnation.
    pub fn mark_leaving(
        &mut self,
        now: Timestamp,
        incarnation: Option<Incarnation>,
        source: LeavingSource,
    ) -> bool {
        let is_outdated =
            matches!((incarnation, self.incarnation), (Some(i), Some(known)) if i < known);
        let adds_nothing = self.leaving.is_some_and(|mark| {
            mark.incarnation > incarnation
                || (mark.incarnation == incarnation
                    && (mark.source == source || mark.source == LeavingSource::Server))
        });
        if is_outdated || adds_nothing {
            return false;
        }
        self.leaving = Some(Leaving {
            incarnation,
            source,
            since: now,
        });
        true
    }

    /// Apply a load report, and return whether it is the first that calls the incarnation leaving.
    /// Ignore a report of an earlier incarnation.
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
        let newly_leaving = load.state == Lifecycle::Leaving
            && self.mark_leaving(now, Some(load.incarnation), LeavingSource::Server);
        self.load = Some((now, load));
        self.clear_outdated_mark(now);
        newly_leaving
    }

    /// Apply the models and the role that an engine reported. Ignore a report of an earlier
    /// incarnation.
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

    /// Return whether the engine can serve a model as far as this instance knows. Assume so while
    /// the engine's state is unknown: the engine refuses a model that it has not loaded.
    pub fn serves(&self, model: &ModelId, adapter: Option<&AdapterId>) -> bool {
        self.engine.as_ref().is_none_or(|(_, state)| {
            state.models.iter().any(|loaded| {
                loaded.model == model.as_str()
                    && loaded.state == READY
                    && adapter.is_none_or(|id| loaded.adapters.iter().any(|a| is_adapter(a, id)))
            })
        })
    }

    /// Record an attempt that the server refused or that failed on its connection, and back off for
    /// `delay`.
    pub fn on_attempt_failed(&mut self, now: Timestamp, delay: Millis, unreachable: bool) {
        self.unreachable = unreachable;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.backoff_until = now + delay;
    }

    /// Record an attempt that the server accepted.
    pub fn on_accepted(&mut self) {
        self.consecutive_failures = 0;
        self.unreachable = false;
        self.backoff_until = Timestamp::ORIGIN;
    }

    /// Start a new incarnation: drop the reports and the failures of the previous one, and its mark
    /// as leaving. A mark by the server that names no incarnation applies to the new one.
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

    /// Clear a mark that only a lagging instance list can have caused.
    pub(crate) fn clear_outdated_mark(&mut self, now: Timestamp) {
        let marked_by_list = self
            .leaving
            .is_some_and(|leaving| leaving.source == LeavingSource::List);
        let reported_live = self
            .load
            .as_ref()
            .is_some_and(|(at, load)| *at > self.listed_since && load.state == Lifecycle::Live);
        let listed_live =
            self.listed == Some(Lifecycle::Live) && now.since(self.listed_since) >= LIST_LAG_LIMIT;
        if marked_by_list && reported_live && listed_live {
            self.leaving = None;
        }
    }
}

/// Return whether the label of a loaded adapter, in the format of `oleanderpass_orders`, names this
/// adapter in any version.
fn is_adapter(label: &str, id: &AdapterId) -> bool {
    label.split('@').next() == Some(id.as_str())
}
