//! Announcements of a backend server to its local node.

use std::net;
use std::thread;
use std::time::Duration;

use serde::Serialize;

use crate::backend::server;

/// Interval between announcements, and timeout of each.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Announcement message.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Announcement {
    /// Service of the server.
    pub service: String,
    /// Address on which the server accepts requests.
    pub address: net::SocketAddr,
    /// Start time of the process, in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// Whether the server checks fencing tokens.
    pub checks_tokens: bool,
    /// Whether the server is draining.
    pub draining: bool,
    /// Warm-up time after the start.
    pub cold_start_ms: u64,
}

/// Announces the server at a fixed interval until the process ends.
pub fn run(server: &server::Server, admin: net::SocketAddr, mut announcement: Announcement) {
    loop {
        let mode = server.mode.get();
        announcement.draining = mode.drain;
        if !mode.mute {
            announce(admin, &announcement);
        }
        thread::sleep(ANNOUNCE_INTERVAL);
    }
}

fn announce(admin: net::SocketAddr, announcement: &Announcement) {
    let body = serde_json::to_string(announcement).expect("announcement has string keys only");
    let result = attohttpc::post(format!("http://{admin}/announce"))
        .header("content-type", "application/json")
        .connect_timeout(ANNOUNCE_INTERVAL)
        .read_timeout(ANNOUNCE_INTERVAL)
        .timeout(ANNOUNCE_INTERVAL)
        .text(body)
        .send();
    match result {
        Ok(response) if response.is_success() => {}
        Ok(response) => {
            let status = response.status().as_u16();
            let text = response.text().unwrap_or_default();
            tracing::warn!(event = 711, status, text, "node rejected the announcement");
        }
        Err(e) => tracing::debug!(event = 712, error = %e, "failed to send the announcement"),
    }
}
