//! Choose the engines that hold a model.

use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::ModelId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine::ObservedEngine;

/// Return the weight of an engine for a model; the engines with the highest weights hold it.
fn weight(model: &ModelId, server: &BackendServerId) -> u64 {
    let seed = xxh3_64_with_seed(model.as_str().as_bytes(), 0);
    xxh3_64_with_seed(server.as_str().as_bytes(), seed)
}

/// Order engines by rendezvous hashing for a model, the first to hold it first.
pub fn rank<'a>(model: &ModelId, engines: &[&'a ObservedEngine]) -> Vec<&'a ObservedEngine> {
    let mut ranked = engines.to_vec();
    ranked.sort_by(|a, b| {
        let order = weight(model, &b.server).cmp(&weight(model, &a.server));
        order.then_with(|| a.server.cmp(&b.server))
    });
    ranked
}
