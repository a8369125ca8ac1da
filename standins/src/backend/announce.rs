//! Announcements to the node beside the server.

use std::net;
use std::thread;
use std::time::Duration;

use serde::Serialize;

use crate::backend::server;

/// Interval between announcements.
const INTERVAL: Duration = Duration::from_millis(500);

/// Announcement.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Announcement {
    /// Service that the server belongs to.
    pub service: String,
    /// Address for the node.
    pub address: net::SocketAddr,
    /// Start of the process, in microseconds of the wall clock.
    pub incarnation: u64,
    /// Concurrent requests.
    pub slots: u32,
    /// Connections.
    pub connections: u32,
    /// Whether the server checks fencing tokens.
    pub checks_tokens: bool,
    /// Whether the server is leaving.
    pub draining: bool,
    /// Time that the server needs to warm up.
    pub cold_start_ms: u64,
}

/// Announces the server until the process ends.
pub fn run(server: &server::Server, admin: net::SocketAddr, mut announcement: Announcement) {
    loop {
        let mode = server.mode.get();
        announcement.draining = mode.drain;
        if !mode.mute {
            announce(admin, &announcement);
        }
        thread::sleep(INTERVAL);
    }
}

fn announce(admin: net::SocketAddr, announcement: &Announcement) {
    let body = serde_json::to_string(announcement).expect("announcement has string keys only");
    let sent = attohttpc::post(format!("http://{admin}/announce"))
        .header("content-type", "application/json")
        .connect_timeout(INTERVAL)
        .read_timeout(INTERVAL)
        .timeout(INTERVAL)
        .text(body)
        .send();
    match sent {
        Ok(response) if response.is_success() => {}
        Ok(response) => {
            let status = response.status().as_u16();
            let text = response.text().unwrap_or_default();
            tracing::warn!(event = 711, status, text, "announcement was refused");
        }
        Err(e) => tracing::debug!(event = 712, error = %e, "announcement failed"),
    }
}
