//! A small deployment on loopback: sidecars as processes, their settings, and clients.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Connection};
use crate::instance::{Config, Instance, World};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;

/// Service whose keys are divided among its instances.
pub const WALKS: &str = "walks";

/// Service without keys.
pub const OFFICE: &str = "office";

/// Another service without keys.
pub const DESK: &str = "desk";

/// Interval of the instances' heartbeats, as in the deployments' settings.
pub const HEARTBEAT: Duration = Duration::from_millis(870);

/// Time for which an instance that has just started is slow.
const COLD: Duration = Duration::from_secs(3);

/// Time from SIGTERM to SIGKILL.
pub const GRACE: Duration = Duration::from_secs(6);

/// Longest wait for all sidecars to be ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
}

/// Process that is killed when dropped.
pub struct Process(Child);

impl Process {
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started here and has not been waited for.
        unsafe { kill(self.0.id() as i32, signal) };
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has ended already.
        let _ended = self.0.kill();
        let _waited = self.0.wait();
    }
}

/// Addresses of a machine.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    pub callers: SocketAddr,
    peers: SocketAddr,
    ready: SocketAddr,
    pub control: SocketAddr,
    pub app: SocketAddr,
    store: SocketAddr,
    /// Address of the proxy in front of `peers`.
    announced: Option<SocketAddr>,
}

/// Machine with a sidecar.
pub struct Machine {
    pub number: usize,
    pub addresses: Addresses,
    pub service: String,
    pub process: Option<Process>,
    pub proxy: Option<Proxy>,
    directory: PathBuf,
    record: Record,
}

/// Returns free addresses. They are bound at the same time, so that no port comes twice.
fn free_addresses<const N: usize>(ip: IpAddr) -> io::Result<[SocketAddr; N]> {
    let mut listeners = Vec::new();
    for _ in 0..N {
        listeners.push(TcpListener::bind(SocketAddr::new(ip, 0))?);
    }
    let mut addresses = [SocketAddr::new(ip, 0); N];
    for (address, listener) in addresses.iter_mut().zip(&listeners) {
        *address = listener.local_addr()?;
    }
    Ok(addresses)
}

impl Machine {
    /// Writes the settings file from the project's template, as the platform does.
    fn write_settings(&self) -> io::Result<PathBuf> {
        let a = self.addresses;
        let mut text = fs::read_to_string("platform/sidecar.jsonc")?;
        let quoted = |value: &dyn std::fmt::Display| format!("\"{value}\"");
        let fields = [
            ("node_id", quoted(&format!("sidecar-{}", self.number))),
            ("zone", quoted(&"zone-a")),
            ("service", quoted(&self.service)),
            ("app_addr", quoted(&a.app)),
            ("heartbeat_ms", HEARTBEAT.as_millis().to_string()),
            ("platform.address", quoted(&a.store)),
            ("listen_addrs.outbound", quoted(&a.callers)),
            ("listen_addrs.inbound", quoted(&a.peers)),
            ("listen_addrs.ready", quoted(&a.ready)),
            ("listen_addrs.control", quoted(&a.control)),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.grace_s", GRACE.as_secs().to_string()),
            ("bounds.hold_max_ms", "10000".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "60".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
        ];
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}|json}}}}"), &value);
        }
        if let Some(announced) = a.announced {
            let listen = "\"listen\": {";
            text = text.replace(listen, &format!("{listen} \"announced\": \"{announced}\","));
        }
        if text.contains("{{") {
            return Err(io::Error::other("the template has an unknown field"));
        }
        let path = self.directory.join(format!("n{}.jsonc", self.number));
        fs::write(&path, text)?;
        Ok(path)
    }

    /// Starts the sidecar with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let settings = self.write_settings()?;
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \""));
        let run = run.and_then(|l| l.strip_suffix('"'));
        let mut words = run
            .ok_or_else(|| io::Error::other("no command"))?
            .split(' ');
        let log = self.directory.join(format!("n{}.log", self.number));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(words.next().unwrap_or_default());
        command
            .args(words)
            .env_clear()
            .env("FILBERTFLOW_BOOT", settings);
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: prctl only sets an attribute of the new process: it ends with this one.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        self.process = Some(Process(command.spawn()?));
        self.record.line(&format!(
            "sidecar n{} of {} starts",
            self.number, self.service
        ));
        Ok(())
    }

    /// Kills the sidecar.
    pub fn kill(&mut self) {
        self.process = None;
        self.record
            .line(&format!("sidecar n{} is killed", self.number));
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.record
            .line(&format!("sidecar n{} gets SIGTERM", self.number));
        if let Some(process) = &self.process {
            process.signal(SIGTERM);
        }
    }

    /// Waits until the sidecar has ended, and kills it at the end of its grace period.
    pub fn wait_ended(&mut self, end: Instant) {
        while self.process.as_mut().is_some_and(Process::is_running) && Instant::now() < end {
            thread::sleep(Duration::from_millis(10));
        }
        self.process = None;
        self.record
            .line(&format!("sidecar n{} has ended", self.number));
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(300);
        let Ok(mut connection) = Connection::open(self.addresses.ready, limit) else {
            return false;
        };
        let bytes = http::encode("GET /v1/readyz HTTP/1.1", &[("Host", "ready")], b"");
        let answer = connection.exchange(&bytes, Instant::now() + limit);
        answer.is_ok_and(|a| a.status() == 200)
    }

    /// Returns the resident memory of the sidecar, in MB.
    pub fn memory_mb(&self) -> Option<u64> {
        let id = self.process.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let kb: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kb / 1024)
    }
}

/// Deployment.
pub struct Mesh {
    pub machines: Vec<Machine>,
    pub store: Store,
    pub world: World,
    directory: PathBuf,
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.machines.clear();
        if std::env::var_os("KEEP").is_none() {
            // What remains is in the temporary folder.
            let _removed = fs::remove_dir_all(&self.directory);
        }
    }
}

/// Returns the Unix milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}

fn configuration() -> String {
    let timeout_ms = DEADLINE.as_millis();
    let route = |name: &str, kind: &str, prefix: &str, service: &str, aim_ms: u32| {
        format!(
            r#"{{"name":"{name}","route_type":"{kind}","target_latency_ms":{aim_ms},"priority":1,"match":{{"prefix":"{prefix}"}},"action":{{"service":"{service}","timeout_ms":{timeout_ms},"max_attempts":2}}}}"#
        )
    };
    let rules = [
        route("read", "safe", "/walks/", WALKS, 1000),
        route("buy", "unsafe", "/buy/", OFFICE, 300),
        route("look", "safe", "/look/", OFFICE, 300),
    ];
    let split = format!(
        r#"{{"name":"split","route_type":"unsafe","target_latency_ms":300,"priority":1,"match":{{"prefix":"/split/"}},"action":{{"traffic_split":[{{"service":"{OFFICE}","weight":50}},{{"service":"{DESK}","weight":50}}],"timeout_ms":{timeout_ms},"max_attempts":2}}}}"#
    );
    format!(
        r#"{{"version":"r1","limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"listeners":[{{"hostname":"a.example","rules":[{},{split}]}}],"clusters":[{{"name":"{WALKS}","sharded":true}},{{"name":"{OFFICE}"}},{{"name":"{DESK}"}}]}}"#,
        rules.join(",")
    )
}

impl Mesh {
    /// Starts the store and a sidecar for each service in the list, without instances.
    pub fn start(record: &Record, services: &[&str]) -> io::Result<Self> {
        Self::start_with(record, services, false)
    }

    /// Starts the same with a proxy in front of each sidecar's address for the others.
    pub fn start_proxied(record: &Record, services: &[&str]) -> io::Result<Self> {
        Self::start_with(record, services, true)
    }

    fn start_with(record: &Record, services: &[&str], proxied: bool) -> io::Result<Self> {
        let directory =
            std::env::temp_dir().join(format!("filbertflow-review-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let mut mesh = Self {
            machines: Vec::new(),
            store: Store::new(record),
            world: World::new(record),
            directory,
        };
        mesh.store.put("op/config", &configuration());
        let id = std::process::id();
        let net = |n: usize| Ipv4Addr::new(127, 20 + (id >> 8 & 127) as u8, id as u8, n as u8 + 1);
        for (number, service) in services.iter().enumerate() {
            let ip = IpAddr::V4(net(number));
            let [store] = free_addresses(IpAddr::V4(net(200)))?;
            mesh.store.listen(store, number)?;
            let [callers, peers, ready, control, app] = free_addresses(ip)?;
            let (mut announced, mut proxy) = (None, None);
            if proxied {
                let [address] = free_addresses(ip)?;
                announced = Some(address);
                proxy = Some(Proxy::start(address, peers)?);
            }
            let addresses = Addresses {
                callers,
                peers,
                ready,
                control,
                app,
                store,
                announced,
            };
            mesh.machines.push(Machine {
                number,
                addresses,
                service: (*service).to_owned(),
                process: None,
                proxy,
                directory: mesh.directory.clone(),
                record: record.clone(),
            });
        }
        for machine in &mut mesh.machines {
            machine.start()?;
        }
        let end = Instant::now() + READY_LIMIT;
        while !mesh.machines.iter().all(Machine::is_ready) {
            if Instant::now() > end {
                return Err(io::Error::other("the sidecars aren't ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(mesh)
    }

    /// Starts an instance on a machine.
    pub fn start_instance(&self, machine: usize, id: &str, work: Duration) -> io::Result<Instance> {
        Instance::start(
            &self.world,
            self.instance_config(machine, id, work),
            unix_ms(),
        )
    }

    /// Returns what an instance on a machine is.
    pub fn instance_config(&self, machine: usize, id: &str, work: Duration) -> Config {
        let m = &self.machines[machine];
        Config {
            id: id.to_owned(),
            service: m.service.clone(),
            zone: "zone-a".to_owned(),
            address: m.addresses.app,
            control: m.addresses.control,
            keyed: m.service == WALKS,
            slots: 18,
            work,
            cold: COLD,
            heartbeat: HEARTBEAT,
            drops: true,
        }
    }
}

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Safe, with a key.
    Read,
    /// Unsafe.
    Buy,
    /// Safe, without a key.
    Look,
    /// Unsafe, on the route that is split between two services.
    Split,
}

/// Answered or failed request.
#[derive(Debug, Clone)]
pub struct Call {
    pub id: String,
    pub sent: Instant,
    /// Status of the answer; `None` if the connection ended without one.
    pub status: Option<u16>,
}

/// Clients of one machine, each on a connection that it keeps.
#[derive(Clone)]
pub struct Clients {
    pub calls: Arc<Mutex<Vec<Call>>>,
    stop: Arc<AtomicBool>,
    ids: Arc<AtomicUsize>,
    record: Record,
}

/// Chooses a key: the upper half of the keys gets some more requests than the lower half.
fn choose_key(random: u64) -> u16 {
    let key = (random & 0x7fff) as u16;
    let upper = (random >> 16) % 100 < UPPER_PERCENT;
    if upper { key | 0x8000 } else { key }
}

/// Size of the bodies on the split route; the configuration allows 64 MiB.
const BODY_BYTES: usize = 256 * 1024;

/// Share of the requests that go to the upper half of the keys, in percent.
const UPPER_PERCENT: u64 = 56;

/// Time that clients wait.
pub const DEADLINE: Duration = Duration::from_millis(4000);

impl Clients {
    pub fn new(record: &Record) -> Self {
        Self {
            calls: Arc::default(),
            stop: Arc::default(),
            ids: Arc::default(),
            record: record.clone(),
        }
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Returns an identifier that no other request has.
    pub fn next_id(&self, machine: usize) -> String {
        let n = self.ids.fetch_add(1, Ordering::Relaxed);
        format!("{:08x}-{machine}-{n}", std::process::id())
    }

    /// Encodes a request.
    pub fn encode(kind: Kind, id: &str, key: u16, body: &[u8]) -> Vec<u8> {
        let key = key.to_string();
        let ms = DEADLINE.as_millis().to_string();
        let mut headers = vec![
            ("Host", "a.example"),
            ("X-Request-Id", id),
            ("X-Deadline-Ms", &ms),
        ];
        let first = match kind {
            Kind::Read => {
                headers.push(("X-Shard-Key", &key));
                "GET /walks/1 HTTP/1.1"
            }
            Kind::Buy => "POST /buy/1 HTTP/1.1",
            Kind::Look => "GET /look/1 HTTP/1.1",
            Kind::Split => "POST /split/1 HTTP/1.1",
        };
        http::encode(first, &headers, body)
    }

    /// Sends unsafe requests with large bodies, each on a connection of its own, until stopped.
    pub fn spawn_sender(&self, machine: &Machine, size: usize) {
        let (clients, number, address) = (self.clone(), machine.number, machine.addresses.callers);
        thread::spawn(move || {
            let body = vec![b'x'; size];
            while !clients.stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(200));
                let id = clients.next_id(number);
                let bytes = Self::encode(Kind::Buy, &id, 0, &body);
                let sent = Instant::now();
                let answer = Connection::open(address, Duration::from_secs(1))
                    .and_then(|mut open| open.exchange(&bytes, sent + DEADLINE));
                let text = answer.map_or_else(|e| e.to_string(), |a| a.status().to_string());
                let ms = sent.elapsed().as_millis();
                clients.record.line(&format!(
                    "client n{number} body {id} answered {text} after {ms} ms"
                ));
            }
        });
    }

    /// Sends requests from a machine, one after the other, until stopped.
    pub fn spawn(&self, machine: &Machine, kind: Kind, pause: Duration, mut random: u64) {
        let (clients, number, address) = (self.clone(), machine.number, machine.addresses.callers);
        thread::spawn(move || {
            let mut connection: Option<Connection> = None;
            while !clients.stop.load(Ordering::Relaxed) {
                thread::sleep(pause);
                random = random
                    .wrapping_mul(6364136223846793005)
                    .wrapping_add(1442695040888963407);
                let key = choose_key(random >> 16);
                let limit = Duration::from_secs(1);
                let Some(mut open) = connection
                    .take()
                    .or_else(|| Connection::open(address, limit).ok())
                else {
                    continue;
                };
                let id = clients.next_id(number);
                let body = if kind == Kind::Split {
                    &[b'x'; BODY_BYTES][..]
                } else {
                    &[]
                };
                let bytes = Self::encode(kind, &id, key, body);
                let sent = Instant::now();
                let answer = open.exchange(&bytes, sent + DEADLINE + Duration::from_millis(500));
                let status = answer.as_ref().ok().map(http::Message::status);
                let ms = sent.elapsed().as_millis();
                let text = answer
                    .as_ref()
                    .map_or_else(ToString::to_string, |a| a.status().to_string());
                clients.record.line(&format!(
                    "client n{number} {kind:?} {id} answered {text} after {ms} ms"
                ));
                clients
                    .calls
                    .lock()
                    .unwrap()
                    .push(Call { id, sent, status });
                if answer.is_ok_and(|a| !a.header("Connection").eq_ignore_ascii_case("close")) {
                    connection = Some(open);
                }
            }
        });
    }
}
