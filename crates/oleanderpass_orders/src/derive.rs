//! Derivation of the orders to send now.

use std::cmp::max;

use indexmap::IndexMap;
use oleanderpass_config::document::Document;
use oleanderpass_config::document::Model;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::ModelId;
use smol_str::SmolStr;

use crate::engine::LoadState;
use crate::engine::ObservedEngine;
use crate::engine::Order;
use crate::engine::OrderKind;
use crate::engine::adapter_label;
use crate::placement::rank_engines;

/// A rollout replaces at most `1 / ROLLOUT_DIVISOR` of a model's engines at the same time, but at
/// least one.
const ROLLOUT_DIVISOR: usize = 4;

/// Return the number of engines that stay ready during a rollout over `engines` engines.
///
/// With one engine the result is one: the new version is loaded on another engine first. If the
/// zone has no other engine, the rollout waits.
pub fn min_ready_engines(engines: usize) -> usize {
    max(1, engines.saturating_sub(max(1, engines / ROLLOUT_DIVISOR)))
}

/// The state of one derivation.
struct Derivation<'a> {
    document: &'a Document,
    /// The loads that may still start in the zone.
    remaining_loads: usize,
    orders: Vec<Order>,
}

/// Return the orders that bring the engines of one zone closer to the document.
///
/// `roles` maps engines to their wanted role; an engine that is not in it keeps its role. The
/// result doesn't depend on the order of `engines`. An engine that has seen a fencing number higher
/// than the document's generation gets no order, because another instance has a later document.
pub fn derive_orders(
    document: &Document,
    engines: &[ObservedEngine],
    roles: &IndexMap<BackendServerId, SmolStr>,
) -> Vec<Order> {
    let mut engines: Vec<&ObservedEngine> = engines.iter().collect();
    engines.sort_by(|a, b| a.server.cmp(&b.server));
    let loading = engines
        .iter()
        .flat_map(|engine| &engine.models)
        .filter(|model| model.state == LoadState::Loading)
        .count();
    let limit = usize::try_from(document.environment.concurrent_loads_per_zone).unwrap_or(1);
    let mut derivation = Derivation {
        document,
        remaining_loads: limit.saturating_sub(loading),
        orders: Vec::new(),
    };
    for (id, model) in &document.models {
        derivation.place_model(id, model, &engines);
    }
    for engine in engines.iter().filter(|engine| engine.is_usable()) {
        derivation.unload_removed_models(engine);
        if let Some(role) = roles
            .get(&engine.server)
            .filter(|role| **role != engine.role)
        {
            derivation.add_order(engine, OrderKind::Role { role: role.clone() });
        }
    }
    derivation.orders
}

impl Derivation<'_> {
    /// Add the orders for one model. The first engines in its ranking hold it.
    fn place_model(&mut self, id: &ModelId, model: &Model, engines: &[&ObservedEngine]) {
        let usable: Vec<&ObservedEngine> = engines
            .iter()
            .copied()
            .filter(|engine| engine.service == model.service && engine.is_usable())
            .collect();
        let ranked = rank_engines(id, &usable);
        let wanted = model
            .engines_per_zone
            .map_or(ranked.len(), |n| n as usize)
            .min(ranked.len());
        let (holders, others) = ranked.split_at(wanted);
        let mut ready = usable.iter().filter(|engine| engine.serves(id)).count();
        let min_ready = min_ready_engines(wanted);
        let load = load_order(id, model);

        for engine in holders.iter().filter(|engine| engine.model(id).is_none()) {
            self.add_load(engine, &load);
        }
        for engine in holders {
            if !needs_change(engine, id, model) {
                continue;
            }
            // An engine doesn't serve the model while it replaces the version.
            let same_version = engine.model(id).is_some_and(|m| m.version == model.version);
            if same_version {
                self.add_load(engine, &load);
            } else if ready > min_ready && self.add_load(engine, &load) {
                ready -= 1;
            }
        }
        let outdated = holders.iter().any(|engine| needs_change(engine, id, model));
        // No holder may stop serving, so load the new version on one spare engine first.
        if outdated && ready <= min_ready && min_ready == wanted {
            let spare = others.iter().find(|engine| engine.model(id).is_none());
            let is_on_spare = others.iter().any(|engine| engine.model(id).is_some());
            if let (Some(spare), false) = (spare, is_on_spare) {
                self.add_load(spare, &load);
            }
            return;
        }
        for engine in others.iter().filter(|engine| engine.serves(id)) {
            if ready > max(min_ready, 1) && !outdated {
                self.add_order(engine, OrderKind::Unload { model: id.clone() });
                ready -= 1;
            }
        }
    }

    /// Add orders to unload the models that the document doesn't contain.
    fn unload_removed_models(&mut self, engine: &ObservedEngine) {
        let is_removed = |model: &&ModelId| !self.document.models.contains_key(*model);
        let ready = engine.models.iter().filter(|m| m.state == LoadState::Ready);
        let models: Vec<ModelId> = ready
            .map(|observed| &observed.model)
            .filter(is_removed)
            .cloned()
            .collect();
        for model in models {
            self.add_order(engine, OrderKind::Unload { model });
        }
    }

    /// Add a load order if the zone's limit of concurrent loads allows it. Return whether it was
    /// added.
    fn add_load(&mut self, engine: &ObservedEngine, load: &OrderKind) -> bool {
        if self.remaining_loads == 0 || !self.add_order(engine, load.clone()) {
            return false;
        }
        self.remaining_loads -= 1;
        true
    }

    /// Add an order unless the engine has seen a higher fencing number. Return whether it was
    /// added.
    fn add_order(&mut self, engine: &ObservedEngine, kind: OrderKind) -> bool {
        if engine.fencing > self.document.generation {
            return false;
        }
        self.orders.push(Order {
            server: engine.server.clone(),
            fencing: self.document.generation,
            kind,
        });
        true
    }
}

fn load_order(id: &ModelId, model: &Model) -> OrderKind {
    OrderKind::Load {
        model: id.clone(),
        version: model.version.clone(),
        adapters: wanted_adapters(model),
    }
}

fn wanted_adapters(model: &Model) -> Vec<SmolStr> {
    let labels = model.adapters.iter();
    let mut labels: Vec<SmolStr> = labels
        .map(|(id, version)| adapter_label(id, version))
        .collect();
    labels.sort_unstable();
    labels
}

/// Return whether the engine serves the model in another version or with other adapters than the
/// document states. It is false for an engine that doesn't serve the model.
fn needs_change(engine: &ObservedEngine, id: &ModelId, model: &Model) -> bool {
    let Some(observed) = engine.model(id).filter(|m| m.state == LoadState::Ready) else {
        return false;
    };
    let mut adapters = observed.adapters.clone();
    adapters.sort_unstable();
    observed.version != model.version || adapters != wanted_adapters(model)
}
