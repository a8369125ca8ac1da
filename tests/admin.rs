//! Responses of a node's admin server.

use std::sync::Arc;
use std::{fs, net, time};

use filbertflow::coordination::{admin, node};
use filbertflow::protocol::admin as wire;
use filbertflow::state::{ids, record, settings};
use filbertflow::transport;

/// Node with a running admin server.
struct AdminNode {
    node: Arc<node::Node>,
    _server: transport::admin::Server,
    _runtime: tokio::runtime::Runtime,
}

fn start() -> AdminNode {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let guard = runtime.enter();
    let node = node::Node::new(settings::Settings {
        region: "ie-east".to_owned(),
        domain: "ie-east-a".to_owned(),
        caller: filbertflow_harness::free_addr(),
        peer: ids::NodeAddr(filbertflow_harness::free_addr()),
        peer_listen: None,
        admin: filbertflow_harness::free_addr(),
        platform: filbertflow_harness::free_addr(),
        peers: Vec::new(),
    });
    let server = admin::start(Arc::clone(&node)).expect("the admin address is free");
    drop(guard);
    AdminNode {
        node,
        _server: server,
        _runtime: runtime,
    }
}

impl AdminNode {
    fn get(&self, path: &str) -> (u16, String) {
        let url = format!("http://{}{path}", self.node.settings.admin);
        let response = attohttpc::get(url)
            .timeout(time::Duration::from_secs(10))
            .send()
            .expect("the admin server responds");
        (
            response.status().as_u16(),
            response.text().expect("the response body is complete"),
        )
    }

    fn read<T: serde::de::DeserializeOwned>(&self, path: &str) -> T {
        let (status, text) = self.get(path);
        assert_eq!(status, 200, "{path}: {text}");
        serde_json::from_str(&text).expect("the response has the documented format")
    }

    fn put_document(&self) {
        let text =
            fs::read_to_string("examples/consortium.jsonc").expect("the example is readable");
        let applied = self.node.config.offer(ids::DocRevision(7), &text);
        assert_eq!(applied, Ok(true));
    }

    fn put_record(&self, revision: u64, owner: Option<ids::NodeRef>, version: u64) {
        let other = other_node();
        let server = |node| record::Server {
            node,
            domain: "ie-east-a".to_owned(),
            draining: false,
            checks: true,
        };
        let mut slices = record::even_slices(2);
        for slice in &mut slices {
            slice.owner = owner;
            slice.version = ids::SliceVersion(version);
        }
        self.node.records.offer(record::PartitionRecord {
            id: ids::PartitionId::first("walk-listings"),
            epoch: ids::Epoch(3),
            revision: ids::Revision(revision),
            coordinator: self.node.me,
            standbys: vec![other],
            servers: vec![server(self.node.me), server(other)],
            slices,
            intent: None,
            writer: record::Writer {
                node: self.node.me,
                number: revision,
            },
        });
    }
}

fn other_node() -> ids::NodeRef {
    ids::NodeRef {
        addr: "127.0.0.1:1".parse().expect("the address is valid"),
        incarnation: ids::Incarnation(1),
    }
}

macro_rules! rejected_requests {
    ($($name:ident: $path:literal => $status:literal, $text:literal;)*) => {$(
        /// Guards against an invalid request that gets a success status or an unspecific error.
        #[test]
        fn $name() {
            let (status, text) = start().get($path);
            assert_eq!(status, $status, "{text}");
            let error: wire::ErrorResponse = serde_json::from_str(&text).unwrap();
            assert!(error.error.contains($text), "{}", error.error);
        }
    )*};
}

rejected_requests! {
    unknown_path_is_refused: "/statuses" => 404, "no such path";
    wrong_method_is_refused: "/announce" => 405, "method";
    missing_document_is_reported: "/document" => 404, "no document";
    explain_needs_a_key: "/explain?service=walk-listings" => 400, "service and key";
    explain_of_unknown_service_is_refused: "/explain?service=lamp&key=a" => 404, "no service";
}

/// Guards against filling missing or misspelt fields of an announcement with defaults.
#[test]
fn invalid_announcement_is_refused() {
    let admin = start();
    let url = format!("http://{}/announce", admin.node.settings.admin);
    let response = attohttpc::post(url)
        .text(r#"{"service":"box-office"}"#)
        .send()
        .unwrap();
    assert_eq!(response.status().as_u16(), 400);
}

/// Guards against an unbounded body that exhausts the node's memory.
#[test]
fn large_announcement_is_refused() {
    let admin = start();
    let url = format!("http://{}/announce", admin.node.settings.admin);
    let response = attohttpc::post(url)
        .text("x".repeat(100_000))
        .send()
        .unwrap();
    assert_eq!(response.status().as_u16(), 413);
}

/// Guards against wrong counts of slices or roles in the status.
#[test]
fn status_counts_slices_and_roles() {
    let admin = start();
    admin.put_document();
    admin.put_record(1, Some(admin.node.me), 1);
    let status: wire::Status = admin.read("/status");
    assert_eq!(status.revision, ids::DocRevision(7));
    assert_eq!(status.node.address, admin.node.me.addr);
    let partition = &status.partitions[0];
    assert_eq!(
        (partition.slices, partition.unowned, partition.moving),
        (2, 0, 0)
    );
    let counts: Vec<_> = partition.owners.iter().map(|o| o.slices).collect();
    assert_eq!(counts, [2, 0]);
    assert!(status.roles[0].coordinator && !status.roles[0].standby);
    let active: wire::ActiveRevision = admin.read("/revision");
    assert_eq!(active.revision, ids::DocRevision(7));
    let document: wire::Document = admin.read("/document");
    assert!(document.text.contains("// Shared Lantern Tours"));
}

/// Guards against gauges that keep the value of an earlier scrape or leave out a partition.
#[test]
fn metrics_follow_the_state() {
    let admin = start();
    let value = |name: &str| {
        let (_, text) = admin.get("/metrics");
        let found = text.lines().find(|l| l.starts_with(name));
        found.and_then(|l| l.split(' ').nth(1)).map(str::to_owned)
    };
    assert_eq!(value("filbertflow_document_revision").as_deref(), Some("0"));
    admin.put_document();
    admin.put_record(1, None, 1);
    assert_eq!(value("filbertflow_document_revision").as_deref(), Some("7"));
    assert_eq!(value("filbertflow_unowned_slices").as_deref(), Some("2"));
    admin.put_record(2, Some(admin.node.me), 2);
    assert_eq!(value("filbertflow_unowned_slices").as_deref(), Some("0"));
    assert_eq!(value("filbertflow_members").as_deref(), Some("1"));
}

/// Guards against an explanation whose slice, owner or token differs from the record, or that
/// leaves out earlier changes of owner.
#[test]
fn explanation_follows_the_record() {
    let admin = start();
    admin.put_document();
    admin.put_record(1, Some(admin.node.me), 1);
    let owner = |e: &wire::Explanation| e.owner.as_ref().map(|o| o.address);
    let path = "/explain?service=walk-listings&key=dusk%20walk";
    let first = wait_explanation(&admin, path, |e| !e.moves.is_empty());
    assert_eq!(owner(&first), Some(admin.node.me.addr));
    assert_eq!(
        (first.key.as_str(), first.token.as_str()),
        ("dusk walk", "3.1")
    );
    admin.put_record(2, Some(other_node()), 2);
    let second = wait_explanation(&admin, path, |e| e.moves.len() == 2);
    assert_eq!(owner(&second), Some(other_node().addr));
    assert_eq!(second.token, "3.2");
    assert_eq!(second.moves[0].from, Some(admin.node.me.addr));
    assert_eq!(second.moves[0].cause, "owner was lost");
    assert_eq!(
        second.hash,
        format!("{:#018x}", ids::KeyHash::of("dusk walk").0)
    );
}

/// Requests an explanation until it meets a condition.
fn wait_explanation(
    node: &AdminNode,
    path: &str,
    done: impl Fn(&wire::Explanation) -> bool,
) -> wire::Explanation {
    let deadline = time::Instant::now() + time::Duration::from_secs(30);
    loop {
        let explanation = node.read(path);
        if done(&explanation) {
            return explanation;
        }
        assert!(time::Instant::now() < deadline, "{explanation:?}");
        std::thread::yield_now();
    }
}

/// Guards against clients that block the admin server by stalling in the middle of a body.
#[test]
fn unfinished_bodies_do_not_stop_other_calls() {
    use std::io::Write as _;
    let admin = start();
    let _stalled: Vec<_> = (0..8)
        .map(|_| {
            let mut stream = net::TcpStream::connect(admin.node.settings.admin).unwrap();
            stream
                .write_all(b"POST /announce HTTP/1.1\r\nhost: a\r\ncontent-length: 10000\r\n\r\n{")
                .unwrap();
            stream
        })
        .collect();
    let active: wire::ActiveRevision = admin.read("/revision");
    assert_eq!(active.revision, ids::DocRevision(0));
}
