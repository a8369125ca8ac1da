//! Which nodes pass news on.

use std::collections::BTreeMap;

use filbertflow::coordination::sidecar::forwarders;

fn domains(sizes: &[usize]) -> BTreeMap<String, Vec<String>> {
    let nodes = |d: usize, n: usize| (0..n).map(|i| format!("{d}-{i}")).collect();
    let all = sizes.iter().enumerate();
    all.map(|(d, n)| (format!("d{d}"), nodes(d, *n))).collect()
}

/// Pattern: 194 hosts in five failure domains. Guards against news that goes to each host of another
/// failure domain on its own.
#[test]
fn one_node_of_each_domain() {
    assert_eq!(forwarders::select(&domains(&[39, 39, 38, 39]), 0).len(), 4);
}

/// Guards against news that a failure domain does not hear because one node of it is lost.
#[test]
fn readers_choose_different_ones() {
    let chosen: Vec<_> = (0..3)
        .map(|r| forwarders::select(&domains(&[3, 5]), r))
        .collect();
    assert!(chosen[0] != chosen[1] && chosen[1] != chosen[2] && chosen[0] != chosen[2]);
}

/// Guards against a failure domain with few nodes that is left out.
#[test]
fn small_domain_has_a_relay() {
    assert_eq!(forwarders::select(&domains(&[1]), 2), ["0-0"]);
    assert!(forwarders::select(&domains(&[0]), 2).is_empty());
}
