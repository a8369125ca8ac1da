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
        let out = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("the scratch directory is writable");
        let child = Command::new(program)
            .args(args)
            .env("TOKIO_WORKER_THREADS", WORKERS)
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

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the process is a child")
            .is_none()
    }

    /// Stops the process without ending it.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a stopped process continue.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Asks the process to read its settings again.
    pub fn hang_up(&self) {
        self.signal(Signal::SIGHUP);
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id fits");
        kill(Pid::from_raw(pid), signal).expect("the process is a child that was not reaped");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the directory of the binaries that were built with this one.
pub fn directory() -> PathBuf {
    let own = std::env::current_exe().expect("the running binary has a path");
    let directory = own.parent().expect("a binary is in a directory");
    // Tests are built into a directory below that of the binaries.
    let directory = if directory.ends_with("deps") {
        directory
            .parent()
            .expect("the directory of tests is in that of the binaries")
    } else {
        directory
    };
    directory.to_path_buf()
}

/// Returns the path of a binary of the product or of a stand-in.
pub fn binary(name: &str) -> PathBuf {
    let path = directory().join(name);
    assert!(
        path.exists(),
        "{} is missing; run cargo build --workspace",
        path.display()
    );
    path
}
