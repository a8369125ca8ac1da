//! Faults at random: pauses, ends, restarts and joins of nodes, outages and lost answers of the
//! platform's service.

use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::cluster::{self, Observer, TestNode, wait_for};
use crate::fake::{Fake, Mode};

const DOMAINS: [&str; 3] = ["ie-east-a", "ie-east-b", "ie-east-c"];

/// Nodes that are left alone, so that the partition is never abandoned for the long hold time.
const MIN_RUNNING: usize = 3;

/// Guards against two owners in combinations of faults that no directed test names.
#[test]
fn random_faults_never_give_a_key_two_owners() {
    let seed = std::env::var("SEED").map_or_else(|_| rand::random(), |s| s.parse().unwrap());
    let seconds = std::env::var("SECONDS").map_or(8, |s| s.parse().unwrap());
    println!("SEED={seed}");
    let mut rng = StdRng::seed_from_u64(seed);
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
    let end = Instant::now() + Duration::from_secs(seconds);
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
