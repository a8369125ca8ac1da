//! Answers to operators and announcements of the backend server.

use std::sync::Arc;

use crate::coordination::{error, gauges, history, node};
use crate::protocol::{admin, backend};
use crate::state::{document, ids, record};
use crate::transport::admin as transport;

/// Changes of owner that an explanation lists.
const MOVES: usize = 5;

/// Listens on the admin address until the result is dropped.
///
/// Must be called within the runtime.
///
/// # Errors
///
/// Returns the error of the socket, for example if the address is in use.
pub fn start(node: Arc<node::Node>) -> Result<transport::Server, error::Error> {
    let history = Arc::new(history::History::default());
    let gauges = gauges::Gauges::register(&node);
    tokio::spawn(history::run(Arc::clone(&node), Arc::clone(&history)));
    let addr = node.settings.admin;
    let server = transport::Server::start(addr, move |request| {
        answer(&node, &history, &gauges, request)
    })?;
    tracing::info!(event = 260, address = %addr, "admin address is open");
    Ok(server)
}

fn answer(
    node: &Arc<node::Node>,
    history: &history::History,
    gauges: &gauges::Gauges,
    request: &transport::Request,
) -> transport::Response {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/announce") => announce(node, request),
        ("GET", "/metrics") => metrics(node, gauges),
        ("GET", "/status") => transport::Response::json(200, &status(node)),
        ("GET", "/revision") => transport::Response::json(200, &in_force(node)),
        ("GET", "/document") => document(node),
        ("GET", "/explain") => explain(node, history, request),
        (_, "/announce" | "/metrics" | "/status" | "/revision" | "/document" | "/explain") => {
            transport::Response::error(405, "method is not allowed")
        }
        _ => transport::Response::error(404, "no such path"),
    }
}

fn announce(node: &Arc<node::Node>, request: &transport::Request) -> transport::Response {
    match serde_json::from_slice::<backend::Announcement>(&request.body) {
        Ok(announcement) => {
            node.backend.announce(announcement);
            transport::Response::json(200, &in_force(node))
        }
        Err(e) => {
            tracing::warn!(event = 262, error = %e, "backend server sent an invalid announcement");
            transport::Response::error(400, &format!("invalid announcement: {e}"))
        }
    }
}

fn metrics(node: &Arc<node::Node>, gauges: &gauges::Gauges) -> transport::Response {
    gauges.update(node);
    transport::Response {
        status: 200,
        content_type: "text/plain; version=0.0.4",
        body: node.metrics.encode(),
    }
}

fn in_force(node: &Arc<node::Node>) -> admin::ActiveRevision {
    admin::ActiveRevision {
        address: node.me.addr,
        revision: node.config.revision(),
    }
}

fn document(node: &Arc<node::Node>) -> transport::Response {
    match node.config.current() {
        Some(current) => transport::Response::json(
            200,
            &admin::Document {
                revision: current.revision,
                text: current.text.clone(),
            },
        ),
        None => transport::Response::error(404, "no document is in force"),
    }
}

fn status(node: &Arc<node::Node>) -> admin::Status {
    let records = node.records.all();
    let settings = &node.settings;
    let drained = node.config.current().map(|c| c.document.drain.clone());
    admin::Status {
        node: admin::Identity {
            address: node.me.addr,
            incarnation: node.me.incarnation,
            region: settings.region.clone(),
            failure_domain: settings.domain.clone(),
            caller: settings.caller,
            admin: settings.admin,
        },
        revision: node.config.revision(),
        roles: records.iter().filter_map(|r| role(node, r)).collect(),
        members: members(node),
        partitions: records.iter().map(|r| partition(r)).collect(),
        drains: drained
            .unwrap_or_default()
            .into_iter()
            .map(|address| admin::DrainProgress {
                address,
                slices_left: records.iter().map(|r| owned(r, address)).sum(),
            })
            .collect(),
    }
}

fn role(node: &Arc<node::Node>, r: &record::PartitionRecord) -> Option<admin::Role> {
    let live = node.grants.live();
    let leased = live.iter().find(|(l, _)| l.id == r.id);
    let role = admin::Role {
        partition: r.id.to_string(),
        coordinator: r.coordinator == node.me,
        standby: r.standbys.contains(&node.me),
        leased_slices: leased.map_or(0, |(l, _)| owned(l, node.me.addr)),
    };
    (role.coordinator || role.standby || role.leased_slices > 0).then_some(role)
}

fn owned(r: &record::PartitionRecord, addr: ids::NodeAddr) -> usize {
    let owned = |s: &&record::Slice| s.owner.is_some_and(|o| o.addr == addr);
    r.slices.iter().filter(owned).count()
}

fn members(node: &Arc<node::Node>) -> Vec<admin::Member> {
    let mut members: Vec<_> = node
        .members
        .live()
        .into_iter()
        .map(|m| admin::Member {
            address: m.node.addr,
            incarnation: m.node.incarnation,
            failure_domain: m.domain,
            admin: m.admin,
            service: m.service,
            up: m.backend.up,
            draining: m.backend.draining,
            slots: m.backend.slots,
        })
        .collect();
    members.sort_by_key(|m| m.address);
    members
}

fn partition(r: &record::PartitionRecord) -> admin::Partition {
    let count = |test: fn(&&record::Slice) -> bool| r.slices.iter().filter(test).count();
    admin::Partition {
        partition: r.id.to_string(),
        epoch: r.epoch,
        revision: r.revision,
        coordinator: r.coordinator.addr,
        standbys: r.standbys.iter().map(|n| n.addr).collect(),
        slices: r.slices.len(),
        unowned: count(|s| s.owner.is_none()),
        moving: count(|s| s.target.is_some()),
        owners: r.servers.iter().map(|s| owner(r, s)).collect(),
        claimant: r.intent.map(|i| i.node.addr),
    }
}

fn owner(r: &record::PartitionRecord, s: &record::Server) -> admin::Owner {
    let owned = r.slices.iter().filter(|x| x.owner == Some(s.node));
    admin::Owner {
        address: s.node.addr,
        failure_domain: s.domain.clone(),
        slices: owned.count(),
        draining: s.draining,
    }
}

fn explain(
    node: &Arc<node::Node>,
    history: &history::History,
    request: &transport::Request,
) -> transport::Response {
    let (Some(name), Some(key)) = (request.query.get("service"), request.query.get("key")) else {
        return transport::Response::error(400, "expected the parameters service and key");
    };
    let current = node.config.current();
    let Some(service) = current.as_ref().and_then(|c| c.document.service(name)) else {
        return transport::Response::error(404, &format!("document has no service {name:?}"));
    };
    let Some(hash) = hash(service, key) else {
        let why = format!("{name} is not divided by key; expected the id of a request");
        return transport::Response::error(400, &why);
    };
    let id = ids::PartitionId::first(name);
    let Some(record) = node.records.get(&id) else {
        return transport::Response::error(404, &format!("no record of {id} is known yet"));
    };
    let moves = history.changes_of(&id, hash, MOVES);
    match explanation(node, service, &record, hash, key, moves) {
        Some(explanation) => transport::Response::json(200, &explanation),
        None => transport::Response::error(404, &format!("record of {id} has no slices")),
    }
}

fn hash(service: &document::Service, key: &str) -> Option<ids::KeyHash> {
    if service.key.is_some() {
        return Some(ids::KeyHash::of(key));
    }
    let id: ids::RequestId = key.parse().ok()?;
    Some(id.hash())
}

fn explanation(
    node: &Arc<node::Node>,
    service: &document::Service,
    record: &record::PartitionRecord,
    hash: ids::KeyHash,
    key: &str,
    moves: Vec<admin::OwnerChange>,
) -> Option<admin::Explanation> {
    let slice = record.slice_at(hash)?;
    let server = slice.owner.and_then(|o| record.server(o));
    Some(admin::Explanation {
        service: service.name.clone(),
        key: key.to_owned(),
        hash: hex(hash),
        partition: record.id.to_string(),
        slice_start: hex(slice.start),
        slice_end: hex(record.slice_end(record.slice_index(hash))),
        owner: server.map(|s| owner(record, s)),
        token: record.token(slice).to_string(),
        coordinator: record.coordinator.addr,
        reason: reason(node, record, slice, &moves),
        moves,
    })
}

fn reason(
    node: &Arc<node::Node>,
    record: &record::PartitionRecord,
    slice: &record::Slice,
    moves: &[admin::OwnerChange],
) -> String {
    let Some(owner) = slice.owner else {
        return "slice has no owner; its coordinator assigns one as soon as it may".to_owned();
    };
    if let Some(target) = slice.target {
        let drained = record.server(owner).is_some_and(|s| s.draining);
        let why = if drained {
            "drained"
        } else {
            "relieved of load"
        };
        return format!(
            "slice is being moved to {}, because {} is {why}",
            target.addr, owner.addr
        );
    }
    let assigned = match moves.first() {
        Some(m) => format!("last change of owner: {}", m.cause),
        None => "owner has not changed since this node started".to_owned(),
    };
    let known = node.members.incarnation(owner.addr);
    if known.is_some_and(|i| i != owner.incarnation) {
        return format!("{assigned}; owner's process has ended, the coordinator will reassign");
    }
    assigned
}

fn hex(hash: ids::KeyHash) -> String {
    format!("{:#018x}", hash.0)
}
