//! Runs of the command as a process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::{env, fs, process};

static FILES: AtomicUsize = AtomicUsize::new(0);

/// Result of a run.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

/// File that is removed at the end of a test.
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

pub fn example() -> String {
    fs::read_to_string("examples/consortium.jsonc").unwrap()
}

/// Returns the example with another number of slices of its first service.
pub fn changed(slices: u32) -> String {
    let slices = format!("\"slices\": {slices}");
    example().replacen("\"slices\": 64", &slices, 1)
}

/// Starts the command with both addresses.
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

/// Runs the command without any address.
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
