//! Rank nodes for a key by rendezvous hashing.
//!
//! Each node gets a pseudo-random weight for a key, and the nodes with the highest weights are
//! chosen. Adding or removing a node changes the result only for the keys that choose this node.

use xxhash_rust::xxh3::xxh3_64;

/// Return the hash of a node's id.
///
/// Compute it once for each node: [`weight`] then costs only a few multiplications.
pub fn node_key(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// Return the weight of a node for a key: the `SplitMix64` finalizer over both.
pub const fn weight(key: u64, node: u64) -> u64 {
    let mut z = key ^ node.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Return the two nodes with the highest weights for a key, the highest first.
pub fn top_two<T: Copy>(key: u64, nodes: impl Iterator<Item = (u64, T)>) -> [Option<T>; 2] {
    let mut first: Option<(u64, T)> = None;
    let mut second: Option<(u64, T)> = None;
    for (node, value) in nodes {
        let entry = Some((weight(key, node), value));
        let weight = entry.map(|(weight, _)| weight);
        if weight > first.map(|(weight, _)| weight) {
            second = first;
            first = entry;
        } else if weight > second.map(|(weight, _)| weight) {
            second = entry;
        }
    }
    [
        first.map(|(_, value)| value),
        second.map(|(_, value)| value),
    ]
}
