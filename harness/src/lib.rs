//! Test harness for process tests and benchmarks: starts the binaries and the stand-ins on loopback
//! addresses, sends requests, injects network faults and checks the journals.
//!
//! Failures of the harness itself panic, which ends the test or the benchmark.

#![expect(clippy::missing_panics_doc, reason = "a test fails by panicking")]
#![expect(
    clippy::must_use_candidate,
    reason = "results are used or the test is pointless"
)]

pub mod caller;
pub mod document;
pub mod journal;
pub mod mesh;
pub mod process;
pub mod relay;

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, AtomicU16, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a condition is checked.
const POLL: Duration = Duration::from_millis(20);

/// Directory for the files of one test; it is kept if the test fails.
#[derive(Debug)]
pub struct ScratchDir {
    path: PathBuf,
}

impl ScratchDir {
    /// Creates a directory with a unique name.
    pub fn create(name: &str) -> Self {
        let unique = uuid::Uuid::now_v7();
        let path = process::directory()
            .join("scratch")
            .join(format!("{name}-{unique}"));
        fs::create_dir_all(&path).expect("the build directory is writable");
        Self { path }
    }

    /// Returns the path of a file in the directory.
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl Drop for ScratchDir {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("files of the failed test: {}", self.path.display());
        } else {
            fs::remove_dir_all(&self.path).expect("the scratch directory can be removed");
        }
    }
}

/// Loopback network of one mesh, 127.x.y.0/24. Concurrent meshes use different networks, so that a port
/// that is free when it is allocated stays free until a process listens on it.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    process: u8,
    mesh: u8,
}

impl Network {
    /// Allocates a network that no other mesh of this process uses.
    pub fn allocate() -> Self {
        static NEXT: AtomicU8 = AtomicU8::new(0);
        let process = 64 + u8::try_from(std::process::id() % 128).expect("the remainder fits");
        let mesh = NEXT.fetch_add(1, Ordering::Relaxed);
        Self { process, mesh }
    }

    /// Returns a listener on a free port of a host of the network. The bound listener reserves the
    /// address until it is used.
    pub fn listen(self, host: u8) -> TcpListener {
        let ip = IpAddr::V4(Ipv4Addr::new(127, self.process, self.mesh, host));
        TcpListener::bind((ip, 0)).expect("a loopback address has free ports")
    }

    /// Returns a free address on a host of the network, a different one on each call.
    pub fn free_addr(self, host: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.process, self.mesh, host);
        SocketAddr::from((ip, next_port()))
    }
}

/// First port that is given out; the ports are below those that the kernel assigns, 32768 and up.
const FIRST_PORT: u16 = 10_000;

/// Number of ports that are given out before the first one is used again.
const PORTS: u32 = 20_000;

/// Returns a port that this process has not given out yet. Binding a socket to find a free one would not
/// reserve it, and a child that is being started keeps a copy of that socket until it runs its program.
fn next_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    // Processes whose networks are the same begin at different ports.
    let start = std::process::id() / 128 * 101;
    let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
    FIRST_PORT + u16::try_from(offset).expect("the offset is below the number of ports")
}

/// Returns a free address on a separate loopback host, so that no other listener of this process and
/// no outgoing connection can take the port before it is bound or while it is unbound between two uses.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    // Below the range of the mesh networks (127.64 and up), and above 127.0, the source of outgoing
    // connections.
    let process = 1 + u8::try_from(std::process::id() % 62).expect("the remainder fits");
    let ip = Ipv4Addr::new(127, process, high, low);
    SocketAddr::from((ip, next_port()))
}

/// Polls a condition until it holds; returns false if it does not hold within the limit.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(POLL);
    }
}

/// Returns the time on `CLOCK_BOOTTIME` in nanoseconds, as the journals record it.
pub fn boot_time_ns() -> u64 {
    let now = filbertflow::state::clock::Instant::now();
    u64::try_from(now.since_boot().as_nanos()).expect("the time since boot fits")
}
