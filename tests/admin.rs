//! Answers of the admin address.

use std::sync::Arc;
use std::{fs, net, time};

use filbertflow::coordination::{admin, node};
use filbertflow::protocol::admin as wire;
use filbertflow::state::{ids, record, settings};
use filbertflow::transport;

struct Running {
    node: Arc<node::Node>,
    _server: transport::admin::Server,
    _runtime: tokio::runtime::Runtime,
}

fn start() -> Running {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
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
    Running {
        node,
        _server: server,
        _runtime: runtime,
    }
}

impl Running {
    fn get(&self, path: &str) -> (u16, String) {
        let url = format!("http://{}{path}", self.node.settings.admin);
        let response = attohttpc::get(url)
            .timeout(time::Duration::from_secs(10))
            .send()
            .expect("the admin address answers");
        (
            response.status().as_u16(),
            response.text().expect("the answer is complete"),
        )
    }

    fn read<T: serde::de::DeserializeOwned>(&self, path: &str) -> T {
        let (status, text) = self.get(path);
        assert_eq!(status, 200, "{path}: {text}");
        serde_json::from_str(&text).expect("the answer has the documented form")
    }

    fn put_document(&self) {
        let text =
            fs::read_to_string("examples/consortium.jsonc").expect("the example is readable");
        let taken = self.node.config.offer(ids::DocRevision(7), &text);
        assert_eq!(taken, Ok(true));
    }

    fn put_record(&self, revision: u64, owner: Option<ids::NodeRef>, version: u64) {
        let other = other();
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

fn other() -> ids::NodeRef {
    ids::NodeRef {
        addr: "127.0.0.1:1".parse().expect("the address is valid"),
        incarnation: ids::Incarnation(1),
    }
}

macro_rules! refused {
    ($($name:ident: $path:literal => $status:literal, $text:literal;)*) => {$(
        /// Guards against a wrong call that looks like a success or does not say what is wrong.
        #[test]
        fn $name() {
            let (status, text) = start().get($path);
            assert_eq!(status, $status, "{text}");
            let refused: wire::ErrorResponse = serde_json::from_str(&text).unwrap();
            assert!(refused.error.contains($text), "{}", refused.error);
        }
    )*};
}

refused! {
    unknown_path_is_refused: "/statuses" => 404, "no such path";
    wrong_method_is_refused: "/announce" => 405, "method";
    missing_document_is_told: "/document" => 404, "no document";
    explain_needs_a_key: "/explain?service=walk-listings" => 400, "service and key";
    explain_of_unknown_service_is_refused: "/explain?service=lamp&key=a" => 404, "no service";
}

/// Guards against an announcement whose missing or misspelt fields are taken as zero.
#[test]
fn invalid_announcement_is_refused() {
    let running = start();
    let url = format!("http://{}/announce", running.node.settings.admin);
    let response = attohttpc::post(url)
        .text(r#"{"service":"box-office"}"#)
        .send()
        .unwrap();
    assert_eq!(response.status().as_u16(), 400);
}

/// Guards against a body without end that fills the node's memory.
#[test]
fn large_announcement_is_refused() {
    let running = start();
    let url = format!("http://{}/announce", running.node.settings.admin);
    let response = attohttpc::post(url)
        .text("x".repeat(100_000))
        .send()
        .unwrap();
    assert_eq!(response.status().as_u16(), 413);
}

/// Guards against a status that miscounts slices or roles.
#[test]
fn status_counts_slices_and_roles() {
    let running = start();
    running.put_document();
    running.put_record(1, Some(running.node.me), 1);
    let status: wire::Status = running.read("/status");
    assert_eq!(status.revision, ids::DocRevision(7));
    assert_eq!(status.node.address, running.node.me.addr);
    let partition = &status.partitions[0];
    assert_eq!(
        (partition.slices, partition.unowned, partition.moving),
        (2, 0, 0)
    );
    let counts: Vec<_> = partition.owners.iter().map(|o| o.slices).collect();
    assert_eq!(counts, [2, 0]);
    assert!(status.roles[0].coordinator && !status.roles[0].standby);
    let in_force: wire::ActiveRevision = running.read("/revision");
    assert_eq!(in_force.revision, ids::DocRevision(7));
    let document: wire::Document = running.read("/document");
    assert!(document.text.contains("// Shared Lantern Tours"));
}

/// Guards against gauges that stay at the value of an earlier scrape, or that miss a partition.
#[test]
fn metrics_follow_the_state() {
    let running = start();
    let line = |name: &str| {
        let (_, text) = running.get("/metrics");
        let found = text.lines().find(|l| l.starts_with(name));
        found.and_then(|l| l.split(' ').nth(1)).map(str::to_owned)
    };
    assert_eq!(line("filbertflow_document_revision").as_deref(), Some("0"));
    running.put_document();
    running.put_record(1, None, 1);
    assert_eq!(line("filbertflow_document_revision").as_deref(), Some("7"));
    assert_eq!(line("filbertflow_unowned_slices").as_deref(), Some("2"));
    running.put_record(2, Some(running.node.me), 2);
    assert_eq!(line("filbertflow_unowned_slices").as_deref(), Some("0"));
    assert_eq!(line("filbertflow_members").as_deref(), Some("1"));
}

/// Guards against an explanation that names another slice, owner or token than the record does,
/// or that loses the changes of owner before.
#[test]
fn explanation_follows_the_record() {
    let running = start();
    running.put_document();
    running.put_record(1, Some(running.node.me), 1);
    let owner = |e: &wire::Explanation| e.owner.as_ref().map(|o| o.address);
    let path = "/explain?service=walk-listings&key=dusk%20walk";
    let first = wait(&running, path, |e| !e.moves.is_empty());
    assert_eq!(owner(&first), Some(running.node.me.addr));
    assert_eq!(
        (first.key.as_str(), first.token.as_str()),
        ("dusk walk", "3.1")
    );
    running.put_record(2, Some(other()), 2);
    let second = wait(&running, path, |e| e.moves.len() == 2);
    assert_eq!(owner(&second), Some(other().addr));
    assert_eq!(second.token, "3.2");
    assert_eq!(second.moves[0].from, Some(running.node.me.addr));
    assert_eq!(second.moves[0].cause, "owner was lost");
    assert_eq!(
        second.hash,
        format!("{:#018x}", ids::KeyHash::of("dusk walk").0)
    );
}

/// Asks until the answer meets a condition.
fn wait(
    running: &Running,
    path: &str,
    done: impl Fn(&wire::Explanation) -> bool,
) -> wire::Explanation {
    let limit = time::Instant::now() + time::Duration::from_secs(30);
    loop {
        let explanation = running.read(path);
        if done(&explanation) {
            return explanation;
        }
        assert!(time::Instant::now() < limit, "{explanation:?}");
        std::thread::yield_now();
    }
}

/// Guards against senders that stop in the middle of a body and thereby stop the admin address.
#[test]
fn unfinished_bodies_do_not_stop_other_calls() {
    use std::io::Write as _;
    let running = start();
    let _open: Vec<_> = (0..8)
        .map(|_| {
            let mut stream = net::TcpStream::connect(running.node.settings.admin).unwrap();
            stream
                .write_all(b"POST /announce HTTP/1.1\r\nhost: a\r\ncontent-length: 10000\r\n\r\n{")
                .unwrap();
            stream
        })
        .collect();
    let in_force: wire::ActiveRevision = running.read("/revision");
    assert_eq!(in_force.revision, ids::DocRevision(0));
}
