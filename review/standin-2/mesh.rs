//! Mesh of sidecars as separate processes, each on a loopback address of its own.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::instance::{Config, Instance, Run};
use crate::record::Record;
use crate::store::Store;

/// Signals that stop a process: at once, and in an orderly way.
pub const STOP: i32 = 19;
const TERMINATE: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Port by which a run holds its loopback network.
const LOCK_PORT: u16 = 9465;

/// Descriptors of a process.
const DESCRIPTORS: u64 = 4100;

/// Heartbeat interval and bounds of the small deployments on the pages.
pub const HEARTBEAT: Duration = Duration::from_millis(870);
pub const CONNECTED: Duration = Duration::from_millis(3000);
pub const CONFIG_APPLY: Duration = Duration::from_millis(2000);

/// Ports of every machine.
#[derive(Debug, Clone, Copy)]
struct Ports {
    callers: u16,
    peers: u16,
    ready: u16,
    control: u16,
    instance: u16,
    store: u16,
}

/// What a mesh is made of.
#[derive(Debug, Clone, Copy)]
pub struct Deployment<'a> {
    /// Service and zone of each machine.
    pub machines: &'a [(&'a str, &'a str)],
    /// Services whose instances are lost.
    pub lost: &'a [&'a str],
    /// Services with keys.
    pub keyed: &'a [&'a str],
    /// First configuration.
    pub config: &'a str,
    pub memory_mb: u64,
    /// Time that a request runs at an instance.
    pub work: Duration,
    /// Time after the crash of an instance until its next life.
    pub restart: Duration,
}

/// One machine.
#[derive(Debug)]
pub struct Host {
    pub machine: usize,
    ip: Ipv4Addr,
    pub service: String,
    pub zone: String,
    pub process: Option<Child>,
    /// Last time at which its process was started or a disruption of it ended.
    pub disturbed: Instant,
}

/// Running mesh. Dropping it ends all its processes.
#[derive(Debug)]
pub struct Mesh {
    pub hosts: Vec<Host>,
    pub store: Store,
    instances: BTreeMap<usize, Instance>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Record,
    ports: Ports,
    root: PathBuf,
    folder: PathBuf,
    command: Vec<String>,
    template: String,
    memory_mb: u64,
    _lock: TcpListener,
    next: AtomicU64,
}

/// Answer that a client got; status 0 means that there was none.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            if let Some(mut child) = host.process.take() {
                // It may have ended by itself.
                let _killed = child.kill();
                let _ended = child.wait();
            }
        }
        // A folder that is left behind does no harm.
        let _removed = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the quoted text behind a key of the deploy file.
fn setting(text: &str, key: &str) -> Option<String> {
    let line = text.lines().find(|l| l.split('=').next().is_some_and(|k| k.trim() == key))?;
    let value = line.split_once('=')?.1.trim();
    Some(value.trim_matches('"').to_owned())
}

/// Fills in a settings template, as far as this project's one needs it.
fn render(template: &str, fields: &BTreeMap<String, String>) -> String {
    let mut out = template.to_owned();
    while let Some(start) = out.find("{{#") {
        let end = start + out[start..].find("}}").expect("a section has an end") + 2;
        let name = out[start + 3..end - 2].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let at = out.find(&close).expect("a section is closed");
        let inner = out[end..at].to_owned();
        let inner = if fields.contains_key(&name) { inner } else { String::new() };
        out.replace_range(start..at + close.len(), &inner);
    }
    while let Some(start) = out.find("{{") {
        let end = start + out[start..].find("}}").expect("a placeholder has an end") + 2;
        let name = out[start + 2..end - 2].trim_end_matches("|json").to_owned();
        let value = fields.get(&name).cloned().unwrap_or_else(|| "null".to_owned());
        out.replace_range(start..end, &value);
    }
    out
}

impl Mesh {
    /// Starts a mesh: the store, the instances and a sidecar on each machine.
    pub fn start(root: &Path, record: &Record, deployment: &Deployment<'_>) -> Result<Self, String> {
        let deploy = fs::read_to_string(root.join("deploy/system.toml")).map_err(|e| e.to_string())?;
        let command = setting(&deploy, "run").ok_or("the deploy file has no command")?;
        let template = setting(&deploy, "template").ok_or("the deploy file has no template")?;
        let template = fs::read_to_string(root.join(template)).map_err(|e| e.to_string())?;
        let folder = std::env::temp_dir().join(format!("filbertflow-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        // Runs beside one another use different networks, since the port of the metrics is fixed.
        let start = (std::process::id() % 200) as u8;
        let own = |n: u8| {
            let net = 20 + u8::try_from((u16::from(start) + u16::from(n)) % 200).unwrap_or(0);
            let lock = TcpListener::bind((Ipv4Addr::new(127, net, 1, 250), LOCK_PORT)).ok()?;
            Some((net, lock))
        };
        let (net, lock) = (0..50).find_map(own).ok_or("no loopback network is free")?;
        // Addresses tell the zone, as those of the bench do.
        let ip = |n: usize, zone: &str| {
            let part = zone.bytes().last().unwrap_or(b'a') - b'a' + 1;
            Ipv4Addr::new(127, net, part, u8::try_from(n + 21).unwrap_or(250))
        };
        // All are bound at the same time, so that they differ.
        let bound: Vec<TcpListener> = (0..6)
            .map(|_| TcpListener::bind((ip(0, "a"), 0)))
            .collect::<Result<_, _>>()
            .map_err(|e| e.to_string())?;
        let free = |n: usize| bound[n].local_addr().map_or(0, |a| a.port());
        let ports = Ports {
            callers: free(0),
            peers: free(1),
            ready: free(2),
            control: free(3),
            instance: free(4),
            store: free(5),
        };
        drop(bound);
        let store = Store::default();
        store.run_leases();
        store.put("op/config", deployment.config);
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let mut mesh = Self {
            hosts: Vec::new(),
            store,
            instances: BTreeMap::new(),
            runs,
            record: record.clone(),
            ports,
            root: root.to_owned(),
            folder,
            command: command.split(' ').map(str::to_owned).collect(),
            template,
            memory_mb: deployment.memory_mb,
            _lock: lock,
            next: AtomicU64::new(1),
        };
        for (machine, (service, zone)) in deployment.machines.iter().enumerate() {
            mesh.hosts.push(Host {
                machine,
                ip: ip(machine, zone),
                service: (*service).to_owned(),
                zone: (*zone).to_owned(),
                process: None,
                disturbed: Instant::now(),
            });
            let at = |port| SocketAddr::from((ip(machine, zone), port));
            mesh.store.serve(at(ports.store), machine);
            if !deployment.lost.contains(service) {
                mesh.start_instance(machine, deployment);
            }
        }
        for machine in 0..mesh.hosts.len() {
            mesh.start_process(machine)?;
        }
        Ok(mesh)
    }

    /// Starts an instance of the service of a machine.
    pub fn start_instance(&mut self, machine: usize, deployment: &Deployment<'_>) {
        let host = &self.hosts[machine];
        let at = |port| SocketAddr::from((host.ip, port));
        let config = Config {
            machine,
            service: host.service.clone(),
            zone: host.zone.clone(),
            address: at(self.ports.instance),
            control: at(self.ports.control),
            heartbeat: HEARTBEAT,
            keyed: deployment.keyed.contains(&host.service.as_str()),
            work: deployment.work,
            restart: deployment.restart,
        };
        let instance = Instance::start(config, &self.runs, &self.record);
        self.instances.insert(machine, instance);
    }

    /// Removes a machine for good: its process and its instance end.
    pub fn remove(&mut self, machine: usize) {
        self.kill(machine);
        if let Some(instance) = self.instances.remove(&machine) {
            instance.end();
        }
        self.record.line(&format!("machine {machine} is removed"));
    }

    /// Stops the process of a machine with SIGTERM and starts it again.
    pub fn restart(&mut self, machine: usize) -> Result<(), String> {
        self.signal(machine, TERMINATE);
        let end = Instant::now() + Duration::from_secs(6);
        while Instant::now() < end && self.ended().is_none() {
            thread::sleep(Duration::from_millis(20));
        }
        self.kill(machine);
        self.start_process(machine)
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start_process(&mut self, machine: usize) -> Result<(), String> {
        let host = &self.hosts[machine];
        let quoted = |text: String| format!("\"{text}\"");
        let address = |port: u16| quoted(format!("{}:{port}", host.ip));
        let fields: BTreeMap<String, String> = [
            ("node_id", quoted(format!("sidecar-{}-{machine}", host.zone))),
            ("zone", quoted(host.zone.clone())),
            ("service", quoted(host.service.clone())),
            ("app_addr", address(self.ports.instance)),
            ("heartbeat_ms", HEARTBEAT.as_millis().to_string()),
            ("platform.address", address(self.ports.store)),
            ("listen_addrs.outbound", address(self.ports.callers)),
            ("listen_addrs.inbound", address(self.ports.peers)),
            ("listen_addrs.ready", address(self.ports.ready)),
            ("listen_addrs.control", address(self.ports.control)),
            ("limits.memory_mb", self.memory_mb.to_string()),
            ("limits.max_fds", DESCRIPTORS.to_string()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.grace_s", "6".to_owned()),
            ("bounds.hold_max_ms", "10000".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "60".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
        ]
        .into_iter()
        .map(|(k, v)| (k.to_owned(), v))
        .collect();
        let settings = self.folder.join(format!("{machine}.settings"));
        fs::write(&settings, render(&self.template, &fields)).map_err(|e| e.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{machine}.log")))
            .map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(self.root.join(&self.command[0]))
            .args(&self.command[1..])
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("FILBERTFLOW_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("the sidecar can't be started: {e}"))?;
        self.record.line(&format!("machine {machine}: process {} started", child.id()));
        // For the script, which ends the processes if this one is ended.
        if let Some(pids) = std::env::var_os("PIDS") {
            let opened = File::options().create(true).append(true).open(pids);
            let mut list = opened.map_err(|e| e.to_string())?;
            writeln!(list, "{}", child.id()).map_err(|e| e.to_string())?;
        }
        self.hosts[machine].process = Some(child);
        self.hosts[machine].disturbed = Instant::now();
        Ok(())
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&mut self, machine: usize, signal: i32) {
        if let Some(child) = &self.hosts[machine].process {
            let pid = i32::try_from(child.id()).expect("a process id fits");
            self.record.line(&format!("machine {machine}: signal {signal}"));
            // SAFETY: the process is a child of this one that has not been waited for.
            unsafe { kill(pid, signal) };
        }
        self.hosts[machine].disturbed = Instant::now();
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, machine: usize) {
        if let Some(mut child) = self.hosts[machine].process.take() {
            // It may have ended by itself.
            let _killed = child.kill();
            let _ended = child.wait();
            self.record.line(&format!("machine {machine}: process killed"));
        }
        self.hosts[machine].disturbed = Instant::now();
    }

    /// Returns whether a process has ended that was not killed here.
    pub fn ended(&mut self) -> Option<usize> {
        let ended = |h: &mut Host| {
            let child = h.process.as_mut()?;
            matches!(child.try_wait(), Ok(Some(_))).then_some(h.machine)
        };
        self.hosts.iter_mut().find_map(ended)
    }

    /// Returns whether a node says that it is ready, as the platform asks it.
    pub fn is_ready(&self, machine: usize) -> bool {
        let to = SocketAddr::from((self.hosts[machine].ip, self.ports.ready));
        let request = format!("GET /v1/readyz HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\r\n");
        http::call(to, &request, Duration::from_millis(500)).is_ok_and(|m| m.status() == 200)
    }

    /// Returns the address for clients on a machine.
    pub fn caller_address(&self, machine: usize) -> SocketAddr {
        SocketAddr::from((self.hosts[machine].ip, self.ports.callers))
    }

    /// Sends a request of a client on a machine.
    pub fn request(&self, machine: usize, method: &str, path: &str, body: &str) -> Answer {
        let to = SocketAddr::from((self.hosts[machine].ip, self.ports.callers));
        send(to, machine, self.new_id(), method, path, body, &self.record)
    }

    /// Returns what a thread needs to send a request later.
    pub fn sender(&self, machine: usize) -> impl Fn(&str, &str, &str) -> Answer + Send + 'static {
        let to = SocketAddr::from((self.hosts[machine].ip, self.ports.callers));
        let (id, record) = (self.new_id(), self.record.clone());
        move |method, path, body| send(to, machine, id.clone(), method, path, body, &record)
    }

    fn new_id(&self) -> String {
        format!("{:016x}", self.next.fetch_add(1, Ordering::SeqCst))
    }

    /// Waits until every node is ready and answers a request with success.
    pub fn wait(&mut self, path: &str, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        for machine in 0..self.hosts.len() {
            while !(self.is_ready(machine) && self.request(machine, "GET", path, "").status == 200) {
                if Instant::now() > end {
                    let ended = self.ended();
                    let log = self.folder.join(format!("{machine}.log"));
                    let log = fs::read_to_string(log).unwrap_or_default();
                    let last: Vec<&str> = log.lines().rev().take(5).collect();
                    self.record.line(&format!("last lines of its log: {last:?}"));
                    return Err(format!("machine {machine} doesn't serve; ended: {ended:?}"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }
}

fn send(
    to: SocketAddr,
    machine: usize,
    id: String,
    method: &str,
    path: &str,
    body: &str,
    record: &Record,
) -> Answer {
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    // The key of a request is the last part of its path.
    let key = path.rsplit('/').next().and_then(|k| k.parse::<u16>().ok()).unwrap_or(0);
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 2000\r\nX-Shard-Key: {key}\r\nConnection: close\r\n{length}\r\n{body}"
    );
    record.line(&format!("client at machine {machine} sends {id} {method} {path}"));
    let answer = match http::call(to, &request, Duration::from_millis(2500)) {
        Ok(m) => Answer {
            status: m.status(),
            body: String::from_utf8_lossy(&m.body).trim().to_owned(),
        },
        Err(_) => Answer {
            status: 0,
            body: String::new(),
        },
    };
    record.line(&format!("client at machine {machine} gets {} for {id}", answer.status));
    answer
}
