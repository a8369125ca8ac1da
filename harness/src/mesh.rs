//! Mesh of nodes with their backend servers and one key-value store.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::thread;
use std::time::Duration;

use filbertflow::protocol::admin;
use filbertflow::state::timing;
use serde_json::{Value, json};

use crate::document::{Service, User};
use crate::process::{self, Process};
use crate::relay::{Party, RelayNetwork};
use crate::{Network, ScratchDir, journal, wait_until};

/// Time limit for starting a mesh; long, because other tests use the machine at the same time.
const START_TIMEOUT: Duration = Duration::from_mins(1);

/// Timeout of a call to an admin or control address.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Configuration of a mesh.
#[derive(Debug, Clone)]
pub struct MeshConfig {
    /// User that provides the region and the failure domains.
    pub user: User,
    /// Services, with a host for each of their backend servers.
    pub services: Vec<Service>,
    /// Whether connections between processes go through relays.
    pub relays: bool,
    /// Whether the backend servers check fencing tokens.
    pub checks_tokens: bool,
    /// Hold time in the submitted document, in milliseconds.
    pub hold_ms: u64,
    /// Service time of a request at a backend server, in milliseconds.
    pub service_ms: u64,
}

/// Running mesh.
#[derive(Debug)]
pub struct Mesh {
    /// Configuration of the mesh.
    pub config: MeshConfig,
    /// Hosts by index.
    pub hosts: Vec<Host>,
    /// Relays, if the configuration enables them.
    pub relays: Option<RelayNetwork>,
    platform: SocketAddr,
    platform_control: SocketAddr,
    _platform: Process,
    scratch: ScratchDir,
}

/// Host with a node and a backend server.
#[derive(Debug)]
pub struct Host {
    /// Service of the backend server.
    pub service: &'static str,
    /// Failure domain.
    pub domain: &'static str,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Control address of the backend stand-in.
    pub control: SocketAddr,
    peer_listen: SocketAddr,
    platform: SocketAddr,
    /// Address of the backend server.
    pub server_addr: SocketAddr,
    /// Node process, unless it was killed.
    pub node: Option<Process>,
    /// Backend server process, unless it was killed.
    pub server: Option<Process>,
    /// Whether the node is suspended or terminating, so that it accepts no callers.
    pub frozen: bool,
}

/// Processes of a host that an operation applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostPart {
    /// Node only.
    Node,
    /// Backend server only.
    Server,
    /// Node and backend server.
    Both,
}

impl HostPart {
    fn has_node(self) -> bool {
        self != Self::Server
    }

    fn has_server(self) -> bool {
        self != Self::Node
    }
}

impl Mesh {
    /// Starts all processes, submits the document and waits until every slice is served.
    pub fn start(name: &str, config: MeshConfig) -> Self {
        let scratch = ScratchDir::create(name);
        let network = Network::allocate();
        let (platform, platform_control) = (network.free_addr(1), network.free_addr(1));
        let args = options(&[
            ("--listen", platform.to_string()),
            ("--control", platform_control.to_string()),
        ]);
        let kv = process::binary("standin-kv");
        let kv = Process::start(&kv, &args, &scratch.file("kv.log"));
        let hosts = hosts(&config, network, platform);
        let ips: Vec<_> = hosts.iter().map(|h| h.peer.ip()).collect();
        let mut mesh = Self {
            relays: config.relays.then(|| RelayNetwork::start(&ips)),
            hosts,
            platform,
            platform_control,
            _platform: kv,
            scratch,
            config,
        };
        mesh.open_relays();
        let up = wait_until(START_TIMEOUT, || mesh.platform_counts().is_some());
        assert!(up, "the key-value stand-in does not respond");
        let submitted = mesh.submit(20, 0);
        assert!(submitted.status.success(), "{submitted:?}");
        for i in 0..mesh.hosts.len() {
            mesh.start_part(i, HostPart::Both);
        }
        let ready = wait_until(START_TIMEOUT, || mesh.is_ready());
        assert!(ready, "the mesh is not ready: {:#?}", mesh.statuses());
        // Requests with identifiers created before this point are treated as possibly run already.
        thread::sleep(2 * timing::CLOCK_SKEW);
        mesh
    }

    fn open_relays(&mut self) {
        let Some(relays) = &mut self.relays else {
            return;
        };
        for (i, host) in self.hosts.iter().enumerate() {
            relays.open(host.peer, host.peer_listen, i);
            relays.open_platform(host.platform, self.platform, i);
        }
    }

    /// Starts a node, its backend server or both.
    pub fn start_part(&mut self, i: usize, part: HostPart) {
        if part.has_node() {
            let settings = self.settings(i);
            let file = self.scratch.file(&format!("node{i}.json"));
            fs::write(&file, settings.to_string()).expect("the scratch directory is writable");
            let args = options(&[("--settings", file.display().to_string())]);
            let log = self.scratch.file(&format!("node{i}.log"));
            self.hosts[i].node = Some(Process::start(
                &process::binary("filbertflow-node"),
                &args,
                &log,
            ));
        }
        if part.has_server() {
            let args = self.server_args(i);
            let log = self.scratch.file(&format!("server{i}.log"));
            let program = process::binary("standin-backend");
            self.hosts[i].server = Some(Process::start(&program, &args, &log));
        }
    }

    fn settings(&self, i: usize) -> Value {
        let host = &self.hosts[i];
        let peers: Vec<_> = self
            .hosts
            .iter()
            .map(|h| h.peer)
            .filter(|p| *p != host.peer)
            .take(3)
            .collect();
        let mut settings = json!({
            "region": self.config.user.region(),
            "failure_domain": host.domain,
            "caller": host.caller,
            "peer": host.peer,
            "admin": host.admin,
            "platform": host.platform,
            "peers": peers,
        });
        if self.config.relays {
            settings["peer_listen"] = json!(host.peer_listen);
        }
        settings
    }

    fn server_args(&self, i: usize) -> Vec<String> {
        let host = &self.hosts[i];
        options(&[
            ("--listen", host.server_addr.to_string()),
            ("--control", host.control.to_string()),
            ("--admin", host.admin.to_string()),
            ("--service", host.service.to_owned()),
            ("--name", format!("server{i}")),
            ("--checks-tokens", self.config.checks_tokens.to_string()),
            ("--service-time-ms", self.config.service_ms.to_string()),
            ("--journal", self.journal_file(i).display().to_string()),
        ])
    }

    fn journal_file(&self, i: usize) -> PathBuf {
        self.scratch.file(&format!("server{i}.journal"))
    }

    /// Returns the journals of all servers.
    pub fn journals(&self) -> Vec<journal::Line> {
        (0..self.hosts.len())
            .filter_map(|i| fs::read_to_string(self.journal_file(i)).ok())
            .flat_map(|text| journal::parse(&text))
            .collect()
    }

    /// Kills processes of a host.
    pub fn kill(&mut self, i: usize, part: HostPart) {
        let host = &mut self.hosts[i];
        if part.has_server() {
            host.server = None;
        }
        if part.has_node() {
            host.node = None;
            host.frozen = false;
            if let Some(relays) = &mut self.relays {
                relays.close(Party::Node(i));
            }
        }
    }

    /// Restarts killed processes of a host.
    pub fn restart(&mut self, i: usize, part: HostPart) {
        if let Some(relays) = self.relays.as_mut().filter(|_| part.has_node()) {
            let host = &self.hosts[i];
            relays.open(host.peer, host.peer_listen, i);
        }
        self.start_part(i, part);
    }

    /// Suspends processes of a host.
    pub fn freeze(&mut self, i: usize, part: HostPart) {
        let host = &mut self.hosts[i];
        if let Some(node) = host.node.as_ref().filter(|_| part.has_node()) {
            node.freeze();
            host.frozen = true;
        }
        if let Some(server) = host.server.as_ref().filter(|_| part.has_server()) {
            server.freeze();
        }
    }

    /// Resumes the suspended processes of a host.
    pub fn thaw(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        host.frozen = false;
        for process in [&host.node, &host.server].into_iter().flatten() {
            process.thaw();
        }
    }

    /// Terminates a node, which hands over its slices before it exits.
    pub fn terminate(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        if let Some(node) = &host.node {
            node.terminate();
        }
        // A terminating node accepts no new callers.
        host.frozen = true;
    }

    /// Returns whether a node has exited.
    pub fn has_stopped(&mut self, i: usize) -> bool {
        let node = self.hosts[i].node.as_mut();
        node.is_none_or(|n| !n.is_running())
    }

    /// Returns the indexes of the hosts whose node is running, not suspended and not terminating.
    pub fn live_hosts(&self) -> Vec<usize> {
        let is_live = |i: &usize| self.hosts[*i].node.is_some() && !self.hosts[*i].frozen;
        (0..self.hosts.len()).filter(is_live).collect()
    }

    /// Returns the status of each live node that responds.
    pub fn statuses(&self) -> Vec<admin::Status> {
        self.live_hosts()
            .into_iter()
            .filter_map(|i| get(self.hosts[i].admin, "/status"))
            .collect()
    }

    fn is_ready(&self) -> bool {
        let statuses = self.statuses();
        let is_settled = |service: &Service| {
            let known = partition(&statuses, service.name);
            known.is_some_and(|p| {
                p.unowned == 0
                    && p.moving == 0
                    && p.standbys.len() == 2.min(self.hosts.len() - 1)
                    && p.owners.len() == service.instances
                    && p.slices == leased_slices(&statuses, service.name)
            })
        };
        let is_complete = |s: &admin::Status| {
            let up = s.members.iter().filter(|m| m.up).count();
            s.revision.0 > 0 && up == self.hosts.len()
        };
        statuses.len() == self.hosts.len()
            && statuses.iter().all(is_complete)
            && self.config.services.iter().all(is_settled)
    }

    /// Returns the newest partition record that a live node knows.
    pub fn partition(&self, service: &str) -> Option<admin::Partition> {
        partition(&self.statuses(), service)
    }

    /// Returns the number of slices on which live nodes hold leases.
    pub fn leased_slices(&self, service: &str) -> usize {
        leased_slices(&self.statuses(), service)
    }

    /// Returns the host that owns a key according to the newest token that a live node knows.
    pub fn owner(&self, service: &str, key: &str) -> Option<usize> {
        let path = format!("/explain?service={service}&key={key}");
        let known = self
            .live_hosts()
            .into_iter()
            .filter_map(|i| get::<admin::Explanation>(self.hosts[i].admin, &path));
        let newest = known.max_by_key(|e| {
            let (epoch, version) = e.token.split_once('.').expect("a token has two parts");
            (
                epoch.parse::<u64>().expect("an epoch is a number"),
                version.parse::<u64>().expect("a version is a number"),
            )
        })?;
        self.host_at(newest.owner?.address.0)
    }

    /// Returns the host whose node has this peer address.
    pub fn host_at(&self, peer: SocketAddr) -> Option<usize> {
        self.hosts.iter().position(|h| h.peer == peer)
    }

    /// Submits the document with this queue length through `filbertflow-ctl`.
    pub fn submit(&self, queue: u64, based_on: u64) -> Output {
        self.submit_command(queue, based_on)
            .output()
            .expect("filbertflow-ctl can be started")
    }

    /// Returns the command that submits the document with this queue length.
    pub fn submit_command(&self, queue: u64, based_on: u64) -> Command {
        let config = &self.config;
        let document = config
            .user
            .document(&config.services, queue, config.hold_ms, &[]);
        self.submit_document_command(&document, &format!("document{queue}.json"), based_on)
    }

    /// Writes a document to a file, and returns the command that submits it.
    pub fn submit_document_command(&self, document: &Value, name: &str, based_on: u64) -> Command {
        let file = self.scratch.file(name);
        fs::write(&file, document.to_string()).expect("the scratch directory is writable");
        let file = file.display().to_string();
        self.ctl(&["submit", &file, "--based-on", &based_on.to_string()])
    }

    /// Returns a `filbertflow-ctl` command for this mesh.
    pub fn ctl(&self, args: &[&str]) -> Command {
        let mut command = Command::new(process::binary("filbertflow-ctl"));
        command.args(args);
        command.env("FILBERTFLOW_PLATFORM", self.platform.to_string());
        if let Some(i) = self.live_hosts().first() {
            command.env("FILBERTFLOW_ADMIN", self.hosts[*i].admin.to_string());
        }
        command
    }

    /// Sets the fault of the key-value store.
    pub fn set_platform_fault(&self, fault: &Value) {
        post(self.platform_control, "/fault", fault);
    }

    /// Returns the call counters of the key-value store, if it responds.
    pub fn platform_counts(&self) -> Option<Value> {
        get(self.platform_control, "/counts")
    }

    /// Returns the metrics of a node in text format.
    pub fn metrics(&self, i: usize) -> String {
        let url = format!("http://{}/metrics", self.hosts[i].admin);
        let response = attohttpc::get(url)
            .timeout(CALL_TIMEOUT)
            .send()
            .expect("a live node responds");
        response.text().expect("the metrics are text")
    }

    /// Sets the behaviour of a backend server.
    pub fn set_server_mode(&self, i: usize, mode: &Value) {
        post(self.hosts[i].control, "/mode", mode);
    }
}

fn partition(statuses: &[admin::Status], service: &str) -> Option<admin::Partition> {
    let name = format!("{service}/0");
    statuses
        .iter()
        .flat_map(|s| &s.partitions)
        .filter(|p| p.partition == name)
        .max_by_key(|p| (p.epoch, p.revision))
        .cloned()
}

fn leased_slices(statuses: &[admin::Status], service: &str) -> usize {
    let name = format!("{service}/0");
    statuses
        .iter()
        .flat_map(|s| &s.roles)
        .filter(|r| r.partition == name)
        .map(|r| r.leased_slices)
        .sum()
}

fn hosts(config: &MeshConfig, network: Network, platform: SocketAddr) -> Vec<Host> {
    let mut hosts = Vec::new();
    for service in &config.services {
        for instance in 0..service.instances {
            let number = u8::try_from(10 + hosts.len()).expect("a mesh has fewer than 200 hosts");
            let domains = config.user.domains();
            let peer = network.free_addr(number);
            hosts.push(Host {
                service: service.name,
                domain: domains[instance % domains.len()],
                caller: network.free_addr(number),
                peer,
                admin: network.free_addr(number),
                control: network.free_addr(number),
                peer_listen: if config.relays {
                    network.free_addr(number)
                } else {
                    peer
                },
                platform: if config.relays {
                    network.free_addr(number)
                } else {
                    platform
                },
                server_addr: network.free_addr(number),
                node: None,
                server: None,
                frozen: false,
            });
        }
    }
    hosts
}

fn options(pairs: &[(&str, String)]) -> Vec<String> {
    pairs
        .iter()
        .flat_map(|(name, value)| [(*name).to_owned(), value.clone()])
        .collect()
}

fn get<T: serde::de::DeserializeOwned>(addr: SocketAddr, path: &str) -> Option<T> {
    let response = attohttpc::get(format!("http://{addr}{path}"))
        .timeout(CALL_TIMEOUT)
        .send()
        .ok()?;
    let text = response.is_success().then(|| response.text())?.ok()?;
    Some(serde_json::from_str(&text).unwrap_or_else(|e| panic!("{path}: {e}: {text}")))
}

fn post(addr: SocketAddr, path: &str, body: &Value) {
    let response = attohttpc::post(format!("http://{addr}{path}"))
        .timeout(CALL_TIMEOUT)
        .text(body.to_string())
        .send()
        .expect("the stand-in responds to its control calls");
    let status = response.status();
    assert!(
        status.is_success(),
        "{path}: {status}: {}",
        response.text().expect("the response is text")
    );
}
