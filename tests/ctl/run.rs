//! Runs `filbertflow-ctl` as a process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::{env, fs, process};

/// Number of files created so far, for unique names.
static FILES: AtomicUsize = AtomicUsize::new(0);

/// Exit code and output of a run.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

/// Temporary file, removed on drop.
#[derive(Debug)]
pub struct File(PathBuf);

impl File {
    pub fn new(text: &str) -> Self {
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let name = format!("filbertflow-{}-{number}.jsonc", process::id());
        let path = env::temp_dir().join(name);
        fs::write(&path, text).unwrap();
        Self(path)
    }

    pub fn name(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        fs::remove_file(&self.0).unwrap();
    }
}

/// Returns the text of the example document.
pub fn example() -> String {
    fs::read_to_string("examples/consortium.jsonc").unwrap()
}

/// Returns the example document with another number of slices for its first service.
pub fn changed(slices: u32) -> String {
    let slices = format!("\"slices\": {slices}");
    example().replacen("\"slices\": 64", &slices, 1)
}

/// Starts the command with the address of the platform's service, and an admin address if given.
pub fn start(platform: SocketAddr, admin: Option<SocketAddr>, args: &[&str]) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_filbertflow-ctl"));
    command
        .args(args)
        .env("FILBERTFLOW_PLATFORM", platform.to_string())
        .env_remove("FILBERTFLOW_ADMIN")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    if let Some(admin) = admin {
        command.env("FILBERTFLOW_ADMIN", admin.to_string());
    }
    command.spawn().unwrap()
}

/// Waits for a started command to exit.
pub fn finish(child: Child) -> Run {
    let output = child.wait_with_output().unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Runs the command with the address of the platform's service.
pub fn ctl(platform: SocketAddr, args: &[&str]) -> Run {
    finish(start(platform, None, args))
}

/// Runs the command without addresses.
pub fn local(args: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_filbertflow-ctl"))
        .args(args)
        .env_remove("FILBERTFLOW_PLATFORM")
        .env_remove("FILBERTFLOW_ADMIN")
        .stdin(Stdio::null())
        .output()
        .unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}
