//! Child processes, which are ended by their id when they go out of scope.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Worker threads of a node; with the default of one for each core, a mesh has hundreds.
const WORKERS: &str = "2";

/// Running child process.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program; its output goes to a log file.
    pub fn start(program: &Path, args: &[String], log: &Path) -> Self {
        let out = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new(program)
            .args(args)
            .env("TOKIO_WORKER_THREADS", WORKERS)
            .stdin(Stdio::null())
            .stdout(out.try_clone().unwrap())
            .stderr(out)
            .spawn()
            .unwrap_or_else(|e| panic!("can't start {}: {e}", program.display()));
        Self { child }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).unwrap();
        kill(Pid::from_raw(pid), signal).unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a product binary.
pub fn node() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_filbertflow-node"))
}

/// Returns the path of `filbertflow-ctl`.
pub fn ctl() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_filbertflow-ctl"))
}

/// Returns the path of `filbertflow-load`.
pub fn load() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_filbertflow-load"))
}

/// Returns the path of a stand-in, which is built beside the product's binaries.
pub fn standin(name: &str) -> PathBuf {
    let path = node().with_file_name(name);
    assert!(
        path.exists(),
        "{} is missing; run cargo build --workspace",
        path.display()
    );
    path
}
