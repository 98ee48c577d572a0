//! Hashing that gives the same answer on every VM and in every version.

use twox_hash::XxHash3_64;

/// Hashes bytes with a fixed seed.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    XxHash3_64::oneshot(bytes)
}

/// The score of `node` for `key` in rendezvous hashing; the highest score owns the key.
pub fn rendezvous_score(key: u64, node: &str) -> u64 {
    XxHash3_64::oneshot_with_seed(key, node.as_bytes())
}

/// Orders `nodes` by descending score for `key`, ties by name.
///
/// Costs one hash a node and a sort.
pub fn rendezvous_rank<Node>(key: u64, nodes: impl IntoIterator<Item = Node>) -> Vec<Node>
where
    Node: AsRef<str>,
{
    let mut scored: Vec<(u64, Node)> = nodes
        .into_iter()
        .map(|node| (rendezvous_score(key, node.as_ref()), node))
        .collect();
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    scored.into_iter().map(|(_, node)| node).collect()
}
