//! Derive orders from the document in force and send them to engines.

use indexmap::IndexMap;
use oleanderpass_config::document::Document;
use oleanderpass_config::document::ServiceKind;
use oleanderpass_orders::derive::derive_orders;
use oleanderpass_orders::engine::ObservedEngine;
use oleanderpass_orders::engine::ObservedModel;
use oleanderpass_orders::engine::Order;
use oleanderpass_orders::engine::OrderKind;
use oleanderpass_proto::engine;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Generation;

use crate::action::Action;
use crate::event::Observation;
use crate::instance::Instance;
use crate::server::ServerView;

/// The time between two derivations of orders, equal to the period in which engine states are read
/// ([`crate::observe::STATE_PERIOD`]).
const ORDER_PERIOD: Millis = Millis::from_secs(5);

/// The longest time for which the first orders after the start wait until all engines have reported
/// their state. Orders derived from only some of the engines would move models between engines.
const FIRST_ORDERS_DELAY: Millis = Millis::from_secs(10);

impl Instance {
    /// Send the orders that bring the engines of the zone closer to the document.
    ///
    /// Only the readers of the zone, the instances that read the document from the platform, issue
    /// orders. Two readers derive the same orders, and an engine can safely receive an order twice.
    pub(crate) fn issue_orders(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let next = match self.next_orders {
            None if self.observes_all_engines() => now,
            None => *self
                .first_orders_deadline
                .get_or_insert(now + FIRST_ORDERS_DELAY),
            Some(next) => next,
        };
        if now < next {
            return;
        }
        self.next_orders = Some(now + ORDER_PERIOD);
        let is_reader = self
            .distribution
            .as_ref()
            .is_some_and(|distribution| distribution.is_reader());
        let may_issue = self.issue_guard.is_some_and(|guard| guard.may_issue(now));
        let Some(document) = self.serving_document() else {
            return;
        };
        if !is_reader || !may_issue {
            return;
        }
        let engines = self.observed_engines(now, &document);
        // No role is wanted, so each engine keeps its own.
        let wanted_roles = IndexMap::new();
        for order in derive_orders(&document, &engines, &wanted_roles) {
            self.send_order(now, &order, out);
        }
    }

    /// Return whether there are live engines in the zone and all of them have reported their state.
    fn observes_all_engines(&self) -> bool {
        let Some(document) = &self.document else {
            return false;
        };
        let mut engines = self
            .servers
            .values()
            .filter(|view| view.zone == self.identity.zone && view.is_live())
            .filter(|view| is_engine(document, view))
            .peekable();
        engines.peek().is_some() && engines.all(|view| view.engine.is_some())
    }

    fn observed_engines(&self, now: Timestamp, document: &Document) -> Vec<ObservedEngine> {
        self.servers
            .iter()
            .filter(|(_, view)| {
                view.zone == self.identity.zone
                    && view.listed.is_some()
                    && is_engine(document, view)
            })
            .filter_map(|(id, view)| observed_engine(now, id, view))
            .collect()
    }

    fn send_order(&mut self, now: Timestamp, order: &Order, out: &mut Vec<Action>) {
        let Some(view) = self.servers.get_mut(&order.server) else {
            return;
        };
        tracing::info!(server = %order.server, fencing = %order.fencing, kind = ?order.kind, "sending an order");
        out.push(Action::SendOrder {
            server: order.server.clone(),
            addr: view.addr,
            order: Box::new(to_message(order)),
        });
        // The next derivation must see the effect of this order.
        view.polls.make_due(Observation::State, now);
    }

    pub(crate) fn on_order_answer(
        &mut self,
        now: Timestamp,
        server: &BackendServerId,
        answer: Option<&engine::OrderAnswer>,
    ) {
        let refused = answer.is_none_or(|answer| !answer.accepted);
        if refused {
            let reason = answer.map_or("no answer", |answer| answer.reason.as_str());
            tracing::warn!(%server, reason, "an engine did not accept an order");
        }
        if let Some(view) = self.servers.get_mut(server) {
            view.polls.make_due(Observation::State, now);
        }
    }
}

fn is_engine(document: &Document, view: &ServerView) -> bool {
    document
        .services
        .get(&view.service)
        .is_some_and(|service| service.kind == ServiceKind::Engine)
}

fn observed_engine(
    now: Timestamp,
    id: &BackendServerId,
    view: &ServerView,
) -> Option<ObservedEngine> {
    let (at, state) = view.engine.as_ref()?;
    let models = state.models.iter().filter_map(|raw| {
        Some(ObservedModel {
            model: raw.model.parse().ok()?,
            version: raw.version.as_str().into(),
            adapters: raw
                .adapters
                .iter()
                .map(|label| label.as_str().into())
                .collect(),
            state: raw.state.parse().ok()?,
        })
    });
    Some(ObservedEngine {
        server: id.clone(),
        service: view.service.clone(),
        leaving: !view.is_live(),
        role: state.role.as_str().into(),
        models: models.collect(),
        fencing: Generation::new(state.fencing),
        age: now.since(*at),
    })
}

fn to_message(order: &Order) -> engine::Order {
    let mut raw = engine::Order {
        fencing: order.fencing.get(),
        ..engine::Order::default()
    };
    match &order.kind {
        OrderKind::Load {
            model,
            version,
            adapters,
        } => {
            raw.kind = "load".to_owned();
            raw.model = model.to_string();
            raw.version = version.to_string();
            raw.adapters = adapters.iter().map(ToString::to_string).collect();
        }
        OrderKind::Unload { model } => {
            raw.kind = "unload".to_owned();
            raw.model = model.to_string();
        }
        OrderKind::Role { role } => {
            raw.kind = "role".to_owned();
            raw.role = role.to_string();
        }
    }
    raw
}
