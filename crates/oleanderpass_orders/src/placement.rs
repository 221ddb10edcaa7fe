//! The choice of the engines that hold a model, by rendezvous hashing.

use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::ModelId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine::ObservedEngine;

/// Return the rendezvous weight of an engine for a model. The engines with the highest weights hold
/// the model.
fn weight(model: &ModelId, server: &BackendServerId) -> u64 {
    let seed = xxh3_64_with_seed(model.as_str().as_bytes(), 0);
    xxh3_64_with_seed(server.as_str().as_bytes(), seed)
}

/// Return the engines in descending order of their rendezvous weight for a model.
pub fn rank_engines<'a>(
    model: &ModelId,
    engines: &[&'a ObservedEngine],
) -> Vec<&'a ObservedEngine> {
    let mut ranked = engines.to_vec();
    ranked.sort_by(|a, b| {
        let by_weight = weight(model, &b.server).cmp(&weight(model, &a.server));
        by_weight.then_with(|| a.server.cmp(&b.server))
    });
    ranked
}
