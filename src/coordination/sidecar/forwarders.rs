//! Selection of the nodes that forward updates of the store within their failure domains.

use std::collections::BTreeMap;

/// Selects one forwarding node in each other failure domain. Nodes that watch the store select
/// different ones by their rank, so that one lost forwarder doesn't cut a domain off.
#[must_use]
pub fn select(other_domains: &BTreeMap<String, Vec<String>>, rank: usize) -> Vec<String> {
    let selected = |nodes: &Vec<String>| nodes.get(rank % nodes.len().max(1)).cloned();
    other_domains.values().filter_map(selected).collect()
}
