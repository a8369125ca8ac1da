//! Child processes, which are killed when they are dropped.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Worker threads of each process; the default of one per core would give a mesh hundreds.
const WORKER_THREADS: &str = "2";

/// Running child process.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and appends its output to a log file.
    pub fn start(program: &Path, args: &[String], log: &Path) -> Self {
        let out = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("the scratch directory is writable");
        let child = Command::new(program)
            .args(args)
            .env("TOKIO_WORKER_THREADS", WORKER_THREADS)
            .stdin(Stdio::null())
            .stdout(out.try_clone().expect("a file handle can be duplicated"))
            .stderr(out)
            .spawn()
            .unwrap_or_else(|e| panic!("can't start {}: {e}", program.display()));
        Self { child }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the process is a child")
            .is_none()
    }

    /// Suspends the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process to exit, with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Asks the process to reload its settings, with SIGHUP.
    pub fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id fits");
        kill(Pid::from_raw(pid), signal).expect("the process is a child that was not reaped");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing fails if the process has already been reaped.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the directory of the binaries that belong to the same build as the running one.
pub fn directory() -> PathBuf {
    let current = std::env::current_exe().expect("the running binary has a path");
    let directory = current.parent().expect("a binary is in a directory");
    // Test binaries are in the subdirectory `deps`.
    let directory = if directory.ends_with("deps") {
        directory
            .parent()
            .expect("the directory of tests is in that of the binaries")
    } else {
        directory
    };
    directory.to_path_buf()
}

/// Returns the path of a binary of this workspace.
pub fn binary(name: &str) -> PathBuf {
    let path = directory().join(name);
    assert!(
        path.exists(),
        "{} is missing; run cargo build --workspace",
        path.display()
    );
    path
}
