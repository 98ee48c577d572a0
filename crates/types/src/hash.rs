//! Hashing with stable results on all VMs and in all versions.

use twox_hash::XxHash3_64;

/// Hashes bytes with a fixed seed.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    XxHash3_64::oneshot(bytes)
}

/// Returns the rendezvous hashing score of `node` for `key`; the node with the highest score owns
/// the key.
pub fn rendezvous_score(key: u64, node: &str) -> u64 {
    XxHash3_64::oneshot_with_seed(key, node.as_bytes())
}

/// Sorts `nodes` by descending score for `key`, and by name for equal scores.
///
/// Costs one hash per node and a sort.
pub fn rendezvous_rank<Node>(key: u64, nodes: impl IntoIterator<Item = Node>) -> Vec<Node>
where
    Node: AsRef<str>,
{
    let mut scored_nodes: Vec<(u64, Node)> = nodes
        .into_iter()
        .map(|node| (rendezvous_score(key, node.as_ref()), node))
        .collect();
    scored_nodes.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    scored_nodes.into_iter().map(|(_, node)| node).collect()
}
