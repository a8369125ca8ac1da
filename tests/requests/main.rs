//! Requests from caller to backend server and back, over loopback connections.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod caller;
mod fake;
mod host;
mod liar;
mod limits;
mod outcomes;
mod routing;
mod wire;

use std::{thread, time};

/// Time after which a condition that does not hold counts as a failure.
const PATIENCE: time::Duration = time::Duration::from_secs(30);

/// Waits for a condition.
fn eventually<F: FnMut() -> bool>(what: &str, mut holds: F) {
    let end = time::Instant::now() + PATIENCE;
    while !holds() {
        assert!(time::Instant::now() < end, "never: {what}");
        thread::sleep(time::Duration::from_millis(2));
    }
}
