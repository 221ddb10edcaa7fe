//! Choose the readers of a zone: the instances that wait at the platform for a new document.

use oleanderpass_types::id::InstanceId;

use crate::canonical::digest;

/// The number of readers in each zone: one, and a second one in case the first fails.
pub const READERS_PER_ZONE: usize = 2;

/// Return the readers of a zone, chosen among its live instances by rendezvous hashing.
pub fn choose_readers<'a>(live: impl IntoIterator<Item = &'a InstanceId>) -> Vec<InstanceId> {
    let mut ids: Vec<_> = live.into_iter().cloned().collect();
    ids.sort_by_cached_key(|id| std::cmp::Reverse(score(id)));
    ids.truncate(READERS_PER_ZONE);
    ids
}

/// Return whether the instance `me` is a reader of its zone. `others` are the other live instances
/// of the zone as `me` sees them. Without any, `me` is a reader.
pub fn is_reader<'a>(me: &InstanceId, others: impl IntoIterator<Item = &'a InstanceId>) -> bool {
    let own_score = score(me);
    let higher = others
        .into_iter()
        .filter(|other| *other != me && score(other) > own_score)
        .count();
    higher < READERS_PER_ZONE
}

fn score(id: &InstanceId) -> [u8; 32] {
    digest(id.as_str().as_bytes()).0
}
