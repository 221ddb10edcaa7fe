//! Compute, keep and apply the patches between successive documents in force.

use std::collections::VecDeque;
use std::fmt;

use json_patch::Patch;
use oleanderpass_proto::peer::DocumentDelta;
use serde_json::Value;

use crate::version::Version;

/// The most bytes of patches kept: about a quarter of the largest document. A peer that is further
/// behind fetches the whole document.
pub const MAX_CHAIN_BYTES: usize = 256 * 1_024;

/// The most patches kept. It bounds the chain when each patch has only a few bytes. At 34,000
/// changes a day, as in the largest planned deployment, 1,024 changes cover 43 minutes.
const MAX_CHAIN_LEN: usize = 1_024;

/// The patch from one version in force to the next.
#[derive(Clone, Debug)]
struct Step {
    from: Version,
    to: Version,
    /// An RFC 6902 patch, as JSON.
    patch: Vec<u8>,
}

/// The latest steps. Each starts from the version to which the one before leads.
#[derive(Clone, Debug, Default)]
pub struct DeltaChain {
    steps: VecDeque<Step>,
    /// The bytes of all patches.
    bytes: usize,
}

impl DeltaChain {
    /// Add a step. Remove all older ones if the last of them doesn't lead to `from`, and the oldest
    /// ones if the chain is over a bound.
    pub fn push(&mut self, from: Version, to: Version, patch: Vec<u8>) {
        if self.steps.back().is_some_and(|last| last.to != from) {
            self.clear();
        }
        self.bytes += patch.len();
        self.steps.push_back(Step { from, to, patch });
        while self.bytes > MAX_CHAIN_BYTES || self.steps.len() > MAX_CHAIN_LEN {
            let Some(removed) = self.steps.pop_front() else {
                break;
            };
            self.bytes -= removed.patch.len();
        }
    }

    /// Remove all steps.
    pub fn clear(&mut self) {
        self.steps.clear();
        self.bytes = 0;
    }

    /// Return the size of all patches, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Return the deltas from the version `held` to the end of the chain. They are empty if no step
    /// starts from it.
    pub fn since(&self, held: Version) -> Vec<DocumentDelta> {
        let start = self.steps.iter().position(|step| step.from == held);
        let steps = self.steps.iter().skip(start.unwrap_or(self.steps.len()));
        steps
            .map(|step| DocumentDelta {
                generation: step.to.generation.get(),
                patch: step.patch.clone(),
                digest: step.to.digest.0.to_vec(),
            })
            .collect()
    }
}

/// Why a delta chain can't be applied.
#[derive(Debug)]
pub enum DeltaError {
    /// A patch or document isn't JSON.
    Json(serde_json::Error),
    /// A patch can't be applied to the document.
    Patch(json_patch::PatchError),
}

impl fmt::Display for DeltaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DeltaError::Json(error) => write!(f, "a delta isn't valid JSON: {error}"),
            DeltaError::Patch(error) => {
                write!(f, "a delta can't be applied to the held document: {error}")
            }
        }
    }
}

impl std::error::Error for DeltaError {}

impl From<serde_json::Error> for DeltaError {
    fn from(error: serde_json::Error) -> Self {
        Self::Json(error)
    }
}

impl From<json_patch::PatchError> for DeltaError {
    fn from(error: json_patch::PatchError) -> Self {
        Self::Patch(error)
    }
}

/// Compute the RFC 6902 patch between two canonical documents, as JSON.
///
/// # Errors
///
/// Return an error when a document isn't JSON.
pub fn diff(from: &[u8], to: &[u8]) -> Result<Vec<u8>, DeltaError> {
    let from: Value = serde_json::from_slice(from)?;
    let to: Value = serde_json::from_slice(to)?;
    Ok(serde_json::to_vec(&json_patch::diff(&from, &to))?)
}

/// Apply patches to a canonical document. The digest of the result isn't checked here.
///
/// # Errors
///
/// Return an error when the document or a patch isn't JSON, or a patch can't be applied.
pub fn apply(document: &[u8], deltas: &[DocumentDelta]) -> Result<Vec<u8>, DeltaError> {
    let mut value: Value = serde_json::from_slice(document)?;
    for delta in deltas {
        let patch: Patch = serde_json::from_slice(&delta.patch)?;
        json_patch::patch(&mut value, &patch)?;
    }
    Ok(serde_json::to_vec(&value)?)
}
