//! Faults at random: pauses, ends, restarts and joins of nodes, outages and lost answers of the
//! platform's service.

use std::net::{IpAddr, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::cluster::{self, Observer, TestNode, wait_for};
use crate::fake::{Fake, Mode};
use filbertflow_harness::relay::{Party, RelayNetwork};

const DOMAINS: [&str; 3] = ["ie-east-a", "ie-east-b", "ie-east-c"];

/// Nodes that are left alone, so that the partition is never abandoned for the long hold time.
const MIN_RUNNING: usize = 3;

/// Returns the source of faults and their end, from SEED and SECONDS if they are set.
fn plan() -> (StdRng, Instant) {
    let seed = std::env::var("SEED").map_or_else(|_| rand::random(), |s| s.parse().unwrap());
    let seconds = std::env::var("SECONDS").map_or(8, |s| s.parse().unwrap());
    println!("SEED={seed}");
    let end = Instant::now() + Duration::from_secs(seconds);
    (StdRng::seed_from_u64(seed), end)
}

/// Guards against two owners in combinations of faults that no directed test names.
#[test]
fn random_faults_never_give_a_key_two_owners() {
    let (mut rng, end) = plan();
    let platform = Fake::start();
    let mut nodes = cluster::cluster(
        &platform,
        &[
            "ie-east-a",
            "ie-east-b",
            "ie-east-c",
            "ie-east-a",
            "ie-east-b",
        ],
    );
    let observer = Observer::watch(&nodes);
    while Instant::now() < end {
        fault(&mut rng, &platform, &mut nodes, &observer);
        thread::sleep(Duration::from_millis(rng.random_range(5..400)));
    }
    platform.set(Mode::Normal);
    platform.deliver();
    for node in &mut nodes {
        node.resume();
    }
    let alive: Vec<_> = nodes.iter().filter(|n| n.is_alive()).collect();
    wait_for("all keys to be served again", || {
        cluster::all_served(&alive)
    });
    println!("{} admissions", observer.finish());
}

fn fault(rng: &mut StdRng, platform: &Fake, nodes: &mut [TestNode], observer: &Observer) {
    let running = nodes.iter().filter(|n| n.is_alive() && !n.is_paused());
    let spare = running.count() > MIN_RUNNING;
    let i = rng.random_range(0..nodes.len());
    let alive = nodes[i].is_alive();
    match rng.random_range(0..10) {
        0..4 if spare && alive && !nodes[i].is_paused() => nodes[i].pause(),
        4 if spare && alive => nodes[i].kill(),
        5 if !alive => {
            let addr = nodes[i].me().addr.0;
            let restarted = TestNode::start_at(platform.addr, addr, DOMAINS[i % 3]);
            observer.add(&restarted);
            nodes[i] = restarted;
        }
        6 => {
            let modes = [
                Mode::Normal,
                Mode::Down,
                Mode::LoseAnswers,
                Mode::KeepBack,
                Mode::Delay,
            ];
            platform.set(modes[rng.random_range(0..modes.len())]);
        }
        7 => {
            platform.set(Mode::Normal);
            platform.deliver();
        }
        _ if alive => nodes[i].resume(),
        _ => {}
    }
}

/// Nodes whose connections pass through relays.
struct Wired {
    net: RelayNetwork,
    nodes: Vec<TestNode>,
    platform: Fake,
}

/// First octets of the addresses at which relays and nodes listen; node `i` has the host `i + 1`.
const RELAYS: [u8; 3] = [127, 77, 1];
const HOSTS: [u8; 3] = [127, 77, 2];

fn host(net: [u8; 3], i: usize) -> IpAddr {
    let [a, b, c] = net;
    let last = u8::try_from(i + 1).unwrap();
    [a, b, c, last].into()
}

fn free_port(ip: IpAddr) -> SocketAddr {
    let listener = std::net::TcpListener::bind((ip, 0)).unwrap();
    listener.local_addr().unwrap()
}

impl Wired {
    fn start(count: usize) -> Self {
        let hosts: Vec<_> = (0..count).map(|i| host(HOSTS, i)).collect();
        let mut wired = Self {
            net: RelayNetwork::start(&hosts),
            nodes: Vec::new(),
            platform: Fake::start(),
        };
        for i in 0..count {
            let name = free_port(host(RELAYS, i));
            let node = wired.start_node(i, name);
            wired.nodes.push(node);
        }
        cluster::settled(&wired.nodes);
        wired
    }

    fn start_node(&mut self, i: usize, name: SocketAddr) -> TestNode {
        let listen = free_port(host(HOSTS, i));
        let near = free_port(host(RELAYS, i));
        self.net.open(name, listen, i);
        self.net.open_platform(near, self.platform.addr, i);
        let mut settings = cluster::settings(near, name, DOMAINS[i % 3]);
        settings.peer_listen = Some(listen);
        TestNode::start_with(settings)
    }

    fn fault(&mut self, rng: &mut StdRng, observer: &Observer) {
        let count = self.nodes.len();
        let (i, j) = (rng.random_range(0..count), rng.random_range(0..count));
        match rng.random_range(0..12) {
            0..4 if i != j => self.net.cut(Party::Node(i), Party::Node(j)),
            4 if i != j => self.net.silence(Party::Node(i), Party::Node(j)),
            5 => self.net.cut(Party::Node(i), Party::Platform),
            6 => self.net.cut(Party::Platform, Party::Node(i)),
            7..9 => self.net.restore_all(),
            9 if !self.nodes[i].is_alive() => {
                let name = self.nodes[i].me().addr.0;
                let node = self.start_node(i, name);
                observer.add(&node);
                self.nodes[i] = node;
            }
            10 => {
                let alive = self.nodes.iter().filter(|n| n.is_alive()).count();
                if alive > MIN_RUNNING && self.nodes[i].is_alive() {
                    self.nodes[i].kill();
                    self.net.close(Party::Node(i));
                }
            }
            11 if self.nodes[i].is_paused() => self.nodes[i].resume(),
            11 if self.nodes[i].is_alive() => self.nodes[i].pause(),
            _ => {}
        }
    }
}

/// Guards against two owners when connections are cut in one direction, held back or silent, and
/// messages arrive late.
#[test]
fn random_cuts_never_give_a_key_two_owners() {
    let (mut rng, end) = plan();
    let mut wired = Wired::start(5);
    let observer = Observer::watch(&wired.nodes);
    while Instant::now() < end {
        wired.fault(&mut rng, &observer);
        thread::sleep(Duration::from_millis(rng.random_range(5..400)));
    }
    wired.net.restore_all();
    for node in &mut wired.nodes {
        node.resume();
    }
    let alive: Vec<_> = wired.nodes.iter().filter(|n| n.is_alive()).collect();
    wait_for("all keys to be served again", || {
        cluster::all_served(&alive)
    });
    println!("{} admissions", observer.finish());
}
