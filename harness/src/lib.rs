//! Helper of the process tests and measurements: starts the real binaries and the stand-ins on
//! loopback addresses, sends requests, puts faults between the processes and checks the journals.
//!
//! Failures of the helper itself end the test or the measurement by a panic.

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

use std::collections::BTreeSet;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a condition is checked.
const POLL: Duration = Duration::from_millis(20);

/// Directory for the files of one test; it is kept if the test fails.
#[derive(Debug)]
pub struct Scratch {
    path: PathBuf,
}

impl Scratch {
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

impl Drop for Scratch {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("files of the failed test: {}", self.path.display());
        } else {
            fs::remove_dir_all(&self.path).expect("the scratch directory can be removed");
        }
    }
}

/// Loopback network of one mesh, 127.x.y.0/24. Meshes that run in parallel have different ones, so
/// that a port that is free when it is chosen stays free until a process listens on it.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    process: u8,
    mesh: u8,
}

impl Network {
    /// Chooses a network that no other mesh of this process uses.
    pub fn choose() -> Self {
        static NEXT: AtomicU8 = AtomicU8::new(0);
        let process = 64 + u8::try_from(std::process::id() % 128).expect("the remainder fits");
        let mesh = NEXT.fetch_add(1, Ordering::Relaxed);
        Self { process, mesh }
    }

    /// Returns a listener on a free address of a host of the network. It keeps the address from
    /// everybody else until it is used.
    pub fn listen(self, host: u8) -> TcpListener {
        let ip = IpAddr::V4(Ipv4Addr::new(127, self.process, self.mesh, host));
        TcpListener::bind((ip, 0)).expect("a loopback address has free ports")
    }

    /// Returns a free address on a host of the network, a different one with each call. Until a
    /// process listens on it, the kernel may offer the same port again.
    pub fn free(self, host: u8) -> SocketAddr {
        static TAKEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
        loop {
            let listener = self.listen(host);
            let addr = listener
                .local_addr()
                .expect("a bound socket has an address");
            let mut taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
            if taken.insert(addr) {
                return addr;
            }
        }
    }
}

/// Returns a free address on a loopback host of its own, so that neither another listener of this
/// process nor an outgoing connection can take the port before it is used, or between two uses.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    // Below the networks of meshes, and above 127.0, from which connections go out.
    let process = 1 + u8::try_from(std::process::id() % 62).expect("the remainder fits");
    let ip = Ipv4Addr::new(127, process, high, low);
    let listener = TcpListener::bind((ip, 0)).expect("a loopback address has free ports");
    listener
        .local_addr()
        .expect("a bound socket has an address")
}

/// Waits until a condition holds; returns false when the limit has passed.
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

/// Reads `CLOCK_BOOTTIME` in nanoseconds, the clock of the journals.
pub fn now() -> u64 {
    let now = filbertflow::state::clock::Instant::now();
    u64::try_from(now.since_boot().as_nanos()).expect("the time since boot fits")
}
