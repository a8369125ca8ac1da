//! Host arguments of scenario commands, such as `owner=walk-1` or `coordinator=walk-listings`.

use std::collections::{BTreeMap, BTreeSet};

use datadriven::TestCase;

use filbertflow_harness::mesh::{HostPart, Mesh};

/// Named sets of hosts, as set by the command `mark`.
pub type Marks = BTreeMap<String, BTreeSet<usize>>;

/// Takes the host arguments of a command and returns the indexes of the hosts.
///
/// - `owner=KEY`: owner of a key in `of=SERVICE`, or in the first service without it
/// - `coordinator=SERVICE`, `standby=SERVICE`: coordinator, or first standby
/// - `standbys=SERVICE`: all standbys
/// - `domain=NAME`: all hosts of a failure domain
/// - `mark=NAME`: all hosts of a mark
/// - `beside=MARK`: one live host outside a mark
/// - `other=SERVICE`: one host of a service that is neither coordinator nor standby
pub fn take_hosts(case: &mut TestCase, mesh: &Mesh, marks: &Marks) -> BTreeSet<usize> {
    let mut hosts = BTreeSet::new();
    let service = case.try_take_arg::<String>("of").unwrap();
    for key in take_args(case, "owner") {
        let service = service
            .clone()
            .unwrap_or_else(|| mesh.config.services[0].name.to_owned());
        let owner = mesh.owner(&service, &key);
        hosts.insert(owner.unwrap_or_else(|| panic!("{key} has no owner")));
    }
    for service in take_args(case, "coordinator") {
        hosts.insert(role_hosts(mesh, &service)[0]);
    }
    for service in take_args(case, "standby") {
        hosts.insert(role_hosts(mesh, &service)[1]);
    }
    for service in take_args(case, "standbys") {
        hosts.extend(&role_hosts(mesh, &service)[1..]);
    }
    for domain in take_args(case, "domain") {
        let inside = |i: &usize| mesh.hosts[*i].domain == domain;
        hosts.extend((0..mesh.hosts.len()).filter(inside));
    }
    for mark in take_args(case, "mark") {
        let marked = marks.get(&mark);
        hosts.extend(marked.unwrap_or_else(|| panic!("no mark is named {mark}")));
    }
    for mark in take_args(case, "beside") {
        let marked = &marks[&mark];
        let other = mesh.live_hosts().into_iter().find(|i| !marked.contains(i));
        hosts.insert(other.expect("a host outside the mark is live"));
    }
    for service in take_args(case, "other") {
        let roles = role_hosts(mesh, &service);
        let other =
            (0..mesh.hosts.len()).find(|i| !roles.contains(i) && mesh.hosts[*i].service == service);
        hosts.insert(other.expect("each service has a host without a role"));
    }
    assert!(!hosts.is_empty(), "{case:?} selects no host");
    hosts
}

/// Takes the flags that select processes of a host: `node` or `server`; both without a flag.
pub fn take_part(case: &mut TestCase) -> HostPart {
    let node = case.take_flag("node").unwrap();
    let server = case.take_flag("server").unwrap();
    match (node, server) {
        (true, false) => HostPart::Node,
        (false, true) => HostPart::Server,
        _ => HostPart::Both,
    }
}

/// Returns the hosts of a service's coordinator and standbys, in that order.
fn role_hosts(mesh: &Mesh, service: &str) -> Vec<usize> {
    let partition = mesh.partition(service).expect("the partition is known");
    let mut roles = vec![partition.coordinator];
    roles.extend(partition.standbys);
    roles
        .into_iter()
        .map(|addr| mesh.host_at(addr.0).expect("roles are hosts of the mesh"))
        .collect()
}

fn take_args(case: &mut TestCase, name: &str) -> Vec<String> {
    case.try_take_args(name).unwrap().unwrap_or_default()
}
