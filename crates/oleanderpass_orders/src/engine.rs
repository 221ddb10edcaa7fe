//! Describe observed engines and orders to them.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::AdapterId;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::ModelId;
use oleanderpass_types::id::ServiceId;
use smol_str::SmolStr;

/// The age from which an observation no longer counts: three periods of 5 s, so that one lost
/// answer doesn't take an engine out of the plan.
pub const MAX_OBSERVATION_AGE: Millis = Millis::from_secs(15);

/// The state of a model on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LoadState {
    /// The engine loads the model and doesn't serve it.
    Loading,
    /// The engine serves the model.
    Ready,
    /// The engine drops the model and doesn't serve it.
    Unloading,
}

/// A model as an engine reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedModel {
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: SmolStr,
    /// Its adapters as [`adapter_label`] writes them, in any order.
    pub adapters: Vec<SmolStr>,
    /// Its state.
    pub state: LoadState,
}

/// An engine of the zone as last observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedEngine {
    /// The engine.
    pub server: BackendServerId,
    /// Its service.
    pub service: ServiceId,
    /// It takes no new work.
    pub leaving: bool,
    /// Its role.
    pub role: SmolStr,
    /// Its models.
    pub models: Vec<ObservedModel>,
    /// The highest fencing number that it has seen.
    pub fencing: Generation,
    /// The time since the observation.
    pub age: Millis,
}

impl ObservedEngine {
    /// Return what the engine reports of a model.
    pub fn model(&self, model: &ModelId) -> Option<&ObservedModel> {
        self.models.iter().find(|observed| observed.model == *model)
    }

    /// Return whether the engine serves a model to new requests, in any version.
    pub fn serves(&self, model: &ModelId) -> bool {
        let ready = |observed: &ObservedModel| observed.state == LoadState::Ready;
        self.is_usable() && self.model(model).is_some_and(ready)
    }

    /// Return whether the engine was seen lately and takes new work.
    pub fn is_usable(&self) -> bool {
        !self.leaving && self.age < MAX_OBSERVATION_AGE
    }
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Serve a model in a version with exactly these adapters, in place of another version.
    Load {
        /// The model.
        model: ModelId,
        /// The version.
        version: SmolStr,
        /// The adapters, as [`adapter_label`] writes them, sorted.
        adapters: Vec<SmolStr>,
    },
    /// Finish running requests and drop a model.
    Unload {
        /// The model.
        model: ModelId,
    },
    /// Change the role.
    Role {
        /// The role.
        role: SmolStr,
    },
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub server: BackendServerId,
    /// The generation of the document that the order follows from.
    pub fencing: Generation,
    /// What it asks for.
    pub kind: OrderKind,
}

/// Write an adapter with its version as one label.
pub fn adapter_label(id: &AdapterId, version: &str) -> SmolStr {
    smol_str::format_smolstr!("{id}@{version}")
}
