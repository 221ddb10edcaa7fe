//! Engines as last observed, and orders to them.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::AdapterId;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::ModelId;
use oleanderpass_types::id::ServiceId;
use smol_str::SmolStr;

/// Age from which an observation is ignored: three periods of 5 s, so that one lost answer doesn't
/// exclude an engine from the derivation of orders.
pub const MAX_OBSERVATION_AGE: Millis = Millis::from_secs(15);

/// The state of a model on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LoadState {
    /// The engine is loading the model and doesn't serve it yet.
    Loading,
    /// The engine serves the model.
    Ready,
    /// The engine is unloading the model and doesn't serve it any more.
    Unloading,
}

/// A model as an engine reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedModel {
    /// The model's id.
    pub model: ModelId,
    /// The version that the engine has or loads.
    pub version: SmolStr,
    /// The adapters, each in the form of [`adapter_label`], in any order.
    pub adapters: Vec<SmolStr>,
    /// The state of the model on the engine.
    pub state: LoadState,
}

/// An engine of the zone as last observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedEngine {
    /// The engine's id as a backend server.
    pub server: BackendServerId,
    /// The service that the engine belongs to.
    pub service: ServiceId,
    /// Whether the engine accepts no new requests.
    pub leaving: bool,
    /// The role that the engine reports.
    pub role: SmolStr,
    /// The models on the engine, in any state.
    pub models: Vec<ObservedModel>,
    /// The highest fencing number that the engine has received.
    pub fencing: Generation,
    /// The time since the observation.
    pub age: Millis,
}

impl ObservedEngine {
    /// Return the state of a model on the engine, or `None` if the engine doesn't have it.
    pub fn model(&self, model: &ModelId) -> Option<&ObservedModel> {
        self.models.iter().find(|observed| observed.model == *model)
    }

    /// Return whether the engine serves a model to new requests, in any version.
    pub fn serves(&self, model: &ModelId) -> bool {
        let ready = |observed: &ObservedModel| observed.state == LoadState::Ready;
        self.is_usable() && self.model(model).is_some_and(ready)
    }

    /// Return whether the observation is recent and the engine accepts new requests.
    pub fn is_usable(&self) -> bool {
        !self.leaving && self.age < MAX_OBSERVATION_AGE
    }
}

/// The change that an order requests. Its `Debug` text is logged, so a rename changes log lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Serve a model in this version with exactly these adapters, and replace any other version.
    Load {
        /// The model to serve.
        model: ModelId,
        /// The version to serve.
        version: SmolStr,
        /// The adapters, each in the form of [`adapter_label`], sorted.
        adapters: Vec<SmolStr>,
    },
    /// Finish the running requests of a model and unload it.
    Unload {
        /// The model to unload.
        model: ModelId,
    },
    /// Change the role of the engine.
    Role {
        /// The new role.
        role: SmolStr,
    },
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The engine that receives the order.
    pub server: BackendServerId,
    /// The generation of the document from which the order was derived. An engine that
    /// checks fencing numbers refuses an order with a lower one than it has received.
    pub fencing: Generation,
    /// The requested change.
    pub kind: OrderKind,
}

/// Return the label `id@version` of an adapter.
pub fn adapter_label(id: &AdapterId, version: &str) -> SmolStr {
    smol_str::format_smolstr!("{id}@{version}")
}
