//! Rendezvous (highest random weight) hashing over node names.

use std::hash::Hash;

/// Returns the weight of `node` for `item`; the node with the highest weight owns the item.
pub fn weight(node: &str, item: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(node.len() as u64).to_le_bytes());
    hasher.update(node.as_bytes());
    hasher.update(item);
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Returns the nodes by descending weight for `item`, the owner first.
pub fn rank_nodes<'a, N: AsRef<str> + Hash + ?Sized>(
    nodes: impl IntoIterator<Item = &'a N>,
    item: &[u8],
) -> Vec<&'a N> {
    let mut ranked: Vec<&N> = nodes.into_iter().collect();
    ranked.sort_by_cached_key(|node| std::cmp::Reverse(weight((*node).as_ref(), item)));
    ranked
}
