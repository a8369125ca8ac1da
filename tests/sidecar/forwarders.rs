//! Selection of the nodes that forward updates.

use std::collections::BTreeMap;

use filbertflow::coordination::sidecar::forwarders;

fn domains(sizes: &[usize]) -> BTreeMap<String, Vec<String>> {
    let nodes = |d: usize, n: usize| (0..n).map(|i| format!("{d}-{i}")).collect();
    let all = sizes.iter().enumerate();
    all.map(|(d, n)| (format!("d{d}"), nodes(d, *n))).collect()
}

/// 194 hosts in five failure domains. Guards against updates that are sent to every host of another
/// failure domain.
#[test]
fn one_node_of_each_domain() {
    assert_eq!(forwarders::select(&domains(&[39, 39, 38, 39]), 0).len(), 4);
}

/// Guards against a failure domain that misses updates because one node of it is lost.
#[test]
fn watchers_select_different_ones() {
    let selected: Vec<_> = (0..3)
        .map(|r| forwarders::select(&domains(&[3, 5]), r))
        .collect();
    assert!(selected[0] != selected[1] && selected[1] != selected[2] && selected[0] != selected[2]);
}

/// Guards against a failure domain with few nodes that is left out.
#[test]
fn small_domain_has_a_forwarder() {
    assert_eq!(forwarders::select(&domains(&[1]), 2), ["0-0"]);
    assert!(forwarders::select(&domains(&[0]), 2).is_empty());
}
