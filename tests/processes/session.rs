//! Commands of the scenario files: each stanza is a command with its expected output.
//!
//! The output contains no ports, identifiers or durations, so that it is the same on every run.
//! Time limits such as `within=2000` are the bounds that the design page states, in milliseconds,
//! counted from the start of the last fault.

mod expect;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use datadriven::TestCase;
use serde_json::{Value, json};

use crate::host_selector::{self, Marks};
use crate::load::{CallerAddrs, Calls, Load, LoadProfile};
use filbertflow_harness::caller::{Call, Outcome, Request};
use filbertflow_harness::document::User;
use filbertflow_harness::mesh::{Mesh, MeshConfig};
use filbertflow_harness::relay::Party;
use filbertflow_harness::{journal, wait_until};

/// Meshes that run at the same time; more would starve each other of CPU on a small machine.
const MAX_MESHES: usize = 2;

/// Timeout of conditions for which the design page states no bound.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(1);

static RUNNING_MESHES: Mutex<usize> = Mutex::new(0);
static MESH_STOPPED: Condvar = Condvar::new();

/// Semaphore permit for one of [`MAX_MESHES`] meshes.
#[derive(Debug)]
struct MeshPermit;

impl MeshPermit {
    fn acquire() -> Self {
        let mut running = RUNNING_MESHES
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        while *running >= MAX_MESHES {
            running = MESH_STOPPED
                .wait(running)
                .unwrap_or_else(PoisonError::into_inner);
        }
        *running += 1;
        Self
    }
}

impl Drop for MeshPermit {
    fn drop(&mut self) {
        *RUNNING_MESHES
            .lock()
            .unwrap_or_else(PoisonError::into_inner) -= 1;
        MESH_STOPPED.notify_one();
    }
}

/// State of a scenario. Fields are dropped in order: the load stops first, and the permit is
/// released last.
#[derive(Debug)]
pub struct Session {
    name: String,
    load: Option<Load>,
    mesh: Option<Mesh>,
    marks: Marks,
    calls: Calls,
    addrs: CallerAddrs,
    requests: BTreeMap<String, Request>,
    background_calls: BTreeMap<String, thread::JoinHandle<Call>>,
    recorded_owners: BTreeMap<String, Option<usize>>,
    last_fault: Instant,
    _permit: MeshPermit,
}

impl Session {
    pub fn new(name: &str) -> Self {
        Self {
            _permit: MeshPermit::acquire(),
            name: name.to_owned(),
            load: None,
            mesh: None,
            marks: Marks::new(),
            calls: Calls::default(),
            addrs: CallerAddrs::default(),
            requests: BTreeMap::new(),
            background_calls: BTreeMap::new(),
            recorded_owners: BTreeMap::new(),
            last_fault: Instant::now(),
        }
    }

    /// Runs one command and returns its output.
    pub fn run(&mut self, case: &mut TestCase) -> String {
        eprintln!("{}: {} {:?}", self.name, case.directive, case.args);
        let output = match case.directive.clone().as_str() {
            "mesh" => self.start_mesh(case),
            "request" => self.request(case),
            "repeat" => self.repeat(case),
            "response" => self.response(case),
            "load" => self.start_load(case),
            "progress" => self.wait_progress(case),
            "stop-load" => self.stop_load(case),
            "mark" => self.mark(case),
            "owners" => self.record_owners(case),
            "kill" | "freeze" | "thaw" | "restart" | "terminate" => self.control_processes(case),
            "cut" | "silence" => self.cut_network(case),
            "heal" => self.heal_network(),
            "platform" => self.set_store_fault(case),
            "server" => self.set_server_mode(case),
            "submit" => self.submit(case),
            "race" => self.submit_concurrently(case),
            "drain" => self.drain(case),
            "pass" => Self::sleep(case),
            "expect" => self.expect(case),
            "check-journals" => self.check_journals(),
            other => panic!("unknown command {other}"),
        };
        case.expect_empty().unwrap();
        self.update_addrs();
        output
    }

    fn mesh(&self) -> &Mesh {
        self.mesh
            .as_ref()
            .expect("the first command of a scenario is mesh")
    }

    fn mesh_mut(&mut self) -> &mut Mesh {
        self.mesh
            .as_mut()
            .expect("the first command of a scenario is mesh")
    }

    fn update_addrs(&self) {
        if let Some(mesh) = &self.mesh {
            let live = mesh.live_hosts();
            *self.addrs.lock().unwrap() = live.iter().map(|i| mesh.hosts[*i].caller).collect();
        }
    }

    /// Starts a mesh with the document of `consortium` or `thrissur`: `services=(A,B)`, `relays`,
    /// `unchecked`, `hold=MS`, `work=MS`.
    fn start_mesh(&mut self, case: &mut TestCase) -> String {
        let user = if case.take_flag("thrissur").unwrap() {
            User::Thrissur
        } else {
            assert!(case.take_flag("consortium").unwrap());
            User::Consortium
        };
        let mut services = user.services();
        if let Some(names) = case.try_take_args::<String>("services").unwrap() {
            services.retain(|s| names.iter().any(|n| n == s.name));
        }
        let config = MeshConfig {
            user,
            services,
            relays: case.take_flag("relays").unwrap(),
            checks_tokens: !case.take_flag("unchecked").unwrap(),
            hold_ms: case.try_take_arg("hold").unwrap().unwrap_or(30_000),
            service_ms: case.try_take_arg("work").unwrap().unwrap_or(2),
        };
        let mesh = Mesh::start(&self.name, config);
        let mut output = String::new();
        for service in &mesh.config.services {
            writeln!(output, "{}: {} servers", service.name, service.instances).unwrap();
        }
        self.mesh = Some(mesh);
        output
    }

    /// Sends a request: `service=`, `key=`, `method=`, `deadline=MS`, `as=NAME`, `any=(KINDS)`,
    /// `background`, and the host that receives it.
    fn request(&mut self, case: &mut TestCase) -> String {
        let service: String = case.take_arg("service").unwrap();
        let key: Option<String> = case.try_take_arg("key").unwrap();
        let method: Option<String> = case.try_take_arg("method").unwrap();
        let deadline = case.try_take_arg("deadline").unwrap().unwrap_or(3000);
        let request = Request::new(
            &service,
            &key.unwrap_or_default(),
            &method.unwrap_or_else(|| "GET".to_owned()),
            Duration::from_millis(deadline),
        );
        self.send(case, request)
    }

    /// Repeats a request with the same identifier: `as=NAME`, and the host that receives it.
    fn repeat(&mut self, case: &mut TestCase) -> String {
        let name: String = case.take_arg("as").unwrap();
        let request = self.requests[&name].clone();
        self.send(case, request)
    }

    fn send(&mut self, case: &mut TestCase, request: Request) -> String {
        let name: Option<String> = case.try_take_arg("as").unwrap();
        let background = case.take_flag("background").unwrap();
        let any = case.try_take_args("any").unwrap();
        let mesh = self.mesh();
        let host = if case.args.is_empty() {
            mesh.live_hosts()[0]
        } else {
            let hosts = host_selector::take_hosts(case, mesh, &self.marks);
            *hosts
                .first()
                .expect("the command selects at least one host")
        };
        let addr = mesh.hosts[host].caller;
        if let Some(name) = &name {
            self.requests.insert(name.clone(), request.clone());
        }
        if background {
            let name = name.expect("a background request has a name");
            let call = thread::spawn(move || request.send(addr));
            self.background_calls.insert(name, call);
            return String::new();
        }
        let call = request.send(addr);
        self.report(call, any.as_deref())
    }

    /// Waits for the response to a background request: `as=NAME`, `any=(KINDS)`.
    fn response(&mut self, case: &mut TestCase) -> String {
        let name: String = case.take_arg("as").unwrap();
        let any = case.try_take_args("any").unwrap();
        let thread = self.background_calls.remove(&name);
        let call = thread.expect("a background request has this name");
        self.report(call.join().unwrap(), any.as_deref())
    }

    fn report(&self, call: Call, any: Option<&[String]>) -> String {
        let outcome = call.outcome.clone();
        let defect = call.defect.clone();
        self.calls.lock().unwrap().push(call);
        if let Some(defect) = defect {
            return format!("{defect}\n");
        }
        match any {
            Some(kinds) if kinds.iter().any(|k| k == outcome_kind(&outcome)) => {
                format!("one of {}\n", kinds.join(", "))
            }
            _ => format!("{outcome}\n"),
        }
    }

    /// Starts background load: `service=`, `keys=N`, `callers=N`, `write-every=N`, `pause=MS`,
    /// `deadline=MS`.
    fn start_load(&mut self, case: &mut TestCase) -> String {
        let profile = LoadProfile {
            service: case.take_arg("service").unwrap(),
            keys: case.try_take_arg("keys").unwrap().unwrap_or(0),
            callers: case.try_take_arg("callers").unwrap().unwrap_or(4),
            pause: Duration::from_millis(case.try_take_arg("pause").unwrap().unwrap_or(10)),
            write_every: case.try_take_arg("write-every").unwrap().unwrap_or(2),
            deadline: Duration::from_millis(case.try_take_arg("deadline").unwrap().unwrap_or(2500)),
        };
        self.load = Some(Load::start(&profile, &self.addrs, &self.calls));
        String::new()
    }

    /// Waits until the callers have got `answers=N` more responses.
    fn wait_progress(&mut self, case: &mut TestCase) -> String {
        let wanted: usize = case.take_arg("answers").unwrap();
        let load = self.load.as_ref().expect("load is running");
        let initial = load.answered();
        if wait_until(DEFAULT_TIMEOUT, || load.answered() >= initial + wanted) {
            return String::new();
        }
        format!("only {} answers\n", load.answered() - initial)
    }

    /// Stops the load. With `all-known`, reports calls whose outcome is unknown, invalid or lost.
    fn stop_load(&mut self, case: &mut TestCase) -> String {
        let all_known = case.take_flag("all-known").unwrap();
        let load = self.load.take().expect("load is running");
        assert!(load.stop() > 0, "no call was answered");
        let calls = self.calls.lock().unwrap();
        let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
        for call in calls.iter() {
            *kinds.entry(call.outcome.to_string()).or_default() += 1;
        }
        eprintln!("{}: {kinds:?}", self.name);
        if !all_known {
            return String::new();
        }
        kinds.retain(|k, _| !k.starts_with("answered") && !k.starts_with("not-run"));
        if kinds.is_empty() {
            return "all outcomes are known\n".to_owned();
        }
        format!("{kinds:?}\n")
    }

    /// Names a set of hosts: `as=NAME`.
    fn mark(&mut self, case: &mut TestCase) -> String {
        let name: String = case.take_arg("as").unwrap();
        let hosts = host_selector::take_hosts(case, self.mesh(), &self.marks);
        self.marks.insert(name, hosts);
        String::new()
    }

    /// Records the owners of `keys=N` keys of `of=SERVICE`, for `expect kept`.
    fn record_owners(&mut self, case: &mut TestCase) -> String {
        let service: String = case.take_arg("of").unwrap();
        let keys: usize = case.take_arg("keys").unwrap();
        let mesh = self.mesh();
        self.recorded_owners = (0..keys)
            .map(|k| format!("walk-{k}"))
            .map(|key| (key.clone(), mesh.owner(&service, &key)))
            .collect();
        String::new()
    }

    /// Sends a signal to processes of hosts, or restarts them.
    fn control_processes(&mut self, case: &mut TestCase) -> String {
        let part = host_selector::take_part(case);
        let hosts = host_selector::take_hosts(case, self.mesh(), &self.marks);
        self.last_fault = Instant::now();
        let directive = case.directive.clone();
        let mesh = self.mesh_mut();
        for i in &hosts {
            match directive.as_str() {
                "kill" => mesh.kill(*i, part),
                "freeze" => mesh.freeze(*i, part),
                "thaw" => mesh.thaw(*i),
                "restart" => mesh.restart(*i, part),
                _ => mesh.terminate(*i),
            }
        }
        format!("{} hosts\n", hosts.len())
    }

    /// Cuts the network `from=MARK to=MARK`, or cuts or silences it `between=(MARK,MARK)`. The mark
    /// `platform` stands for the key-value service, `all` for all nodes.
    fn cut_network(&mut self, case: &mut TestCase) -> String {
        let from: Option<String> = case.try_take_arg("from").unwrap();
        let to: Option<String> = case.try_take_arg("to").unwrap();
        let between = case.try_take_args::<String>("between").unwrap();
        self.last_fault = Instant::now();
        let both_ways = between.is_some();
        let (from, to) = match between.as_deref() {
            Some([a, b]) => (a.clone(), b.clone()),
            _ => (
                from.expect("from= or between= is given"),
                to.expect("to= or between= is given"),
            ),
        };
        let net = self
            .mesh()
            .relays
            .as_ref()
            .expect("the mesh was started with relays");
        for a in self.parties(&from) {
            for b in self.parties(&to).into_iter().filter(|b| *b != a) {
                if case.directive == "silence" {
                    net.silence(a, b);
                    continue;
                }
                net.cut(a, b);
                if both_ways {
                    net.cut(b, a);
                }
            }
        }
        String::new()
    }

    fn parties(&self, mark: &str) -> Vec<Party> {
        match mark {
            "platform" => vec![Party::Platform],
            "all" => (0..self.mesh().hosts.len()).map(Party::Node).collect(),
            mark => self.marks[mark].iter().copied().map(Party::Node).collect(),
        }
    }

    /// Restores the network.
    fn heal_network(&mut self) -> String {
        let net = self.mesh().relays.as_ref();
        net.expect("the mesh was started with relays").restore_all();
        self.last_fault = Instant::now();
        String::new()
    }

    /// Injects a fault into the key-value service: `mode=`, `slow=MS`, `lose=N`.
    fn set_store_fault(&mut self, case: &mut TestCase) -> String {
        let mode: Option<String> = case.try_take_arg("mode").unwrap();
        let slow: Option<u64> = case.try_take_arg("slow").unwrap();
        let lose: Option<u64> = case.try_take_arg("lose").unwrap();
        self.mesh().set_platform_fault(&json!({
            "mode": mode.unwrap_or_else(|| "up".to_owned()),
            "slow_ms": slow.unwrap_or(0),
            "lose_answers": lose.unwrap_or(0),
        }));
        self.last_fault = Instant::now();
        String::new()
    }

    /// Sets the behaviour of backend servers to the JSON object in the input.
    fn set_server_mode(&mut self, case: &mut TestCase) -> String {
        let hosts = host_selector::take_hosts(case, self.mesh(), &self.marks);
        let mode: Value = serde_json::from_str(&case.input).unwrap();
        self.last_fault = Instant::now();
        for i in &hosts {
            self.mesh().set_server_mode(*i, &mode);
        }
        format!("{} hosts\n", hosts.len())
    }

    /// Submits a document: `queue=N`, `base=REVISION`.
    fn submit(&mut self, case: &mut TestCase) -> String {
        let queue = case.take_arg("queue").unwrap();
        let base = case.take_arg("base").unwrap();
        self.last_fault = Instant::now();
        let output = self.mesh().submit(queue, base);
        let text = String::from_utf8(output.stdout).unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        let first_line = text.lines().chain(error.lines()).next();
        let code = output.status.code().unwrap();
        format!(
            "exit {code}: {}\n",
            mask_addresses_and_ids(first_line.unwrap_or_default())
        )
    }

    /// Submits several documents at the same time: `operators=N`, `base=REVISION`.
    fn submit_concurrently(&mut self, case: &mut TestCase) -> String {
        let operators: u64 = case.take_arg("operators").unwrap();
        let base = case.take_arg("base").unwrap();
        self.last_fault = Instant::now();
        let mesh = self.mesh();
        let children: Vec<_> = (0..operators)
            .map(|n| mesh.submit_command(30 + n, base).spawn().unwrap())
            .collect();
        let mut codes: BTreeMap<i32, usize> = BTreeMap::new();
        for mut child in children {
            let code = child.wait().unwrap().code().unwrap();
            *codes.entry(code).or_default() += 1;
        }
        let mut output = String::new();
        for (code, n) in codes {
            writeln!(output, "exit {code}: {n} operators").unwrap();
        }
        output
    }

    /// Drains hosts with `filbertflow-ctl drain`, or ends the drain with `undo`.
    fn drain(&mut self, case: &mut TestCase) -> String {
        let undo = case.take_flag("undo").unwrap();
        let hosts = host_selector::take_hosts(case, self.mesh(), &self.marks);
        self.last_fault = Instant::now();
        let mut output = String::new();
        for i in &hosts {
            let mesh = self.mesh();
            let node = mesh.hosts[*i].peer.to_string();
            let mut args = vec!["drain", &node, "--wait"];
            args.extend(undo.then_some("--undo"));
            let result = mesh.ctl(&args).output().unwrap();
            eprintln!("{}: {result:?}", self.name);
            writeln!(output, "exit {}", result.status.code().unwrap()).unwrap();
        }
        output
    }

    /// Sleeps for `ms=MS`, for states that must last some time. No check depends on the time
    /// itself.
    fn sleep(case: &mut TestCase) -> String {
        let ms = case.take_arg("ms").unwrap();
        thread::sleep(Duration::from_millis(ms));
        String::new()
    }

    /// Checks the journals of all backend servers against the calls of all callers.
    fn check_journals(&self) -> String {
        let lines = self.mesh().journals();
        let calls = self.calls.lock().unwrap();
        eprintln!(
            "{}: {} lines, {} calls",
            self.name,
            lines.len(),
            calls.len()
        );
        let violations = journal::check(&lines, &calls);
        if violations.is_empty() {
            return "no violations\n".to_owned();
        }
        let lines: Vec<_> = violations.iter().map(|v| format!("{v}\n")).collect();
        lines.concat()
    }
}

/// Replaces addresses and identifiers by fixed words.
fn mask_addresses_and_ids(line: &str) -> String {
    let word = |w: &str| {
        let bare = w.trim_matches(|c: char| !c.is_ascii_alphanumeric());
        if bare.parse::<std::net::SocketAddr>().is_ok() {
            "ADDRESS".to_owned()
        } else if bare.parse::<uuid::Uuid>().is_ok() {
            "ID".to_owned()
        } else {
            w.to_owned()
        }
    };
    line.split(' ').map(word).collect::<Vec<_>>().join(" ")
}

fn outcome_kind(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(_) => "answered",
        Outcome::NotRun(_) => "not-run",
        Outcome::Unknown(_) => "unknown",
        Outcome::Invalid(_) => "invalid",
        Outcome::Lost => "lost",
    }
}
