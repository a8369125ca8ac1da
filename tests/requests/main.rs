//! Requests from caller to backend server and back, over loopback connections.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod caller;
mod fake;
mod host;
mod limits;
mod mismatched_peer;
mod outcomes;
mod routing;
mod wire;

use std::{thread, time};

/// Time after which an unmet condition fails the test.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Waits until a condition holds.
fn eventually<F: FnMut() -> bool>(what: &str, mut holds: F) {
    let deadline = time::Instant::now() + TIMEOUT;
    while !holds() {
        assert!(time::Instant::now() < deadline, "never: {what}");
        thread::sleep(time::Duration::from_millis(2));
    }
}
