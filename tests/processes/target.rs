//! Names of hosts in scenarios, such as `owner=walk-1` or `coordinator=walk-listings`.

use std::collections::{BTreeMap, BTreeSet};

use datadriven::TestCase;

use filbertflow_harness::mesh::{HostPart, Mesh};

/// Hosts that a scenario has marked.
pub type Marks = BTreeMap<String, BTreeSet<usize>>;

/// Takes the hosts that a command names: those with `owner=KEY`, `coordinator=SERVICE`,
/// `standby=SERVICE`, `standbys=SERVICE`, `domain=NAME`, `mark=NAME`, `beside=MARK`, which is a live
/// host that is not marked, or `other=SERVICE`, which neither coordinates nor stands by.
pub fn hosts(case: &mut TestCase, mesh: &Mesh, marks: &Marks) -> BTreeSet<usize> {
    let mut hosts = BTreeSet::new();
    let service = case.try_take_arg::<String>("of").unwrap();
    for key in take(case, "owner") {
        let service = service
            .clone()
            .unwrap_or_else(|| mesh.config.services[0].name.to_owned());
        let owner = mesh.owner(&service, &key);
        hosts.insert(owner.unwrap_or_else(|| panic!("{key} has no owner")));
    }
    for service in take(case, "coordinator") {
        hosts.insert(roles(mesh, &service)[0]);
    }
    for service in take(case, "standby") {
        hosts.insert(roles(mesh, &service)[1]);
    }
    for service in take(case, "standbys") {
        hosts.extend(&roles(mesh, &service)[1..]);
    }
    for domain in take(case, "domain") {
        let inside = |i: &usize| mesh.hosts[*i].domain == domain;
        hosts.extend((0..mesh.hosts.len()).filter(inside));
    }
    for mark in take(case, "mark") {
        let marked = marks.get(&mark);
        hosts.extend(marked.unwrap_or_else(|| panic!("{mark} is not marked")));
    }
    for mark in take(case, "beside") {
        let marked = &marks[&mark];
        let other = mesh.live_hosts().into_iter().find(|i| !marked.contains(i));
        hosts.insert(other.expect("a host that is not marked lives"));
    }
    for service in take(case, "other") {
        let roles = roles(mesh, &service);
        let other =
            (0..mesh.hosts.len()).find(|i| !roles.contains(i) && mesh.hosts[*i].service == service);
        hosts.insert(other.expect("each service has more hosts than roles"));
    }
    assert!(!hosts.is_empty(), "{case:?} names no host");
    hosts
}

/// Takes which processes of the hosts are meant: `node`, `server`, or the whole host.
pub fn part(case: &mut TestCase) -> HostPart {
    let node = case.take_flag("node").unwrap();
    let server = case.take_flag("server").unwrap();
    match (node, server) {
        (true, false) => HostPart::Node,
        (false, true) => HostPart::Server,
        _ => HostPart::Both,
    }
}

/// Returns coordinator and standbys of a service.
fn roles(mesh: &Mesh, service: &str) -> Vec<usize> {
    let partition = mesh.partition(service).expect("the partition is known");
    let mut roles = vec![partition.coordinator];
    roles.extend(partition.standbys);
    roles
        .into_iter()
        .map(|addr| mesh.host_at(addr.0).expect("roles are hosts of the mesh"))
        .collect()
}

fn take(case: &mut TestCase, name: &str) -> Vec<String> {
    case.try_take_args(name).unwrap().unwrap_or_default()
}
