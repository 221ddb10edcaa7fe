//! Choose the instances of a zone that read the platform.

use oleanderpass_types::id::InstanceId;

use crate::canonical::digest;

/// The readers in each zone: one and a spare.
pub const READERS_PER_ZONE: usize = 2;

/// Return the readers of a zone among its live instances.
pub fn choose_readers<'a>(zone: impl IntoIterator<Item = &'a InstanceId>) -> Vec<InstanceId> {
    let mut ids: Vec<_> = zone.into_iter().cloned().collect();
    ids.sort_by_cached_key(|id| std::cmp::Reverse(score(id)));
    ids.truncate(READERS_PER_ZONE);
    ids
}

/// Return whether an instance is a reader of its zone by rendezvous hashing. `others` are the other
/// live instances of the zone in the view of the caller. Without any, the instance is a reader.
pub fn is_reader<'a>(me: &InstanceId, others: impl IntoIterator<Item = &'a InstanceId>) -> bool {
    let mine = score(me);
    let higher = others
        .into_iter()
        .filter(|other| *other != me && score(other) > mine)
        .count();
    higher < READERS_PER_ZONE
}

fn score(id: &InstanceId) -> [u8; 32] {
    digest(id.as_str().as_bytes()).0
}
