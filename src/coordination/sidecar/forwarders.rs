//! Nodes that pass news on in their failure domains.

use std::collections::BTreeMap;

/// Returns the node of each failure domain that passes news on there; watching nodes choose different
/// ones, by their rank.
#[must_use]
pub fn select(elsewhere: &BTreeMap<String, Vec<String>>, rank: usize) -> Vec<String> {
    let chosen = |nodes: &Vec<String>| nodes.get(rank % nodes.len().max(1)).cloned();
    elsewhere.values().filter_map(chosen).collect()
}
