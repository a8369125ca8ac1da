//! Queueing delay of frames between nodes.

use std::time::Duration;

use filbertflow::state::clock::Instant;
use filbertflow::transport::sidecar::call_delay::CallDelay;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against treating a late call as if it had just been sent: a link of 10 Mbit/s is
/// congested for two seconds, and the callers have disconnected when their calls arrive.
#[test]
fn queued_frame_is_late() {
    let start = Instant::now();
    let mut delay = CallDelay::default();
    assert_eq!(delay.observe(7000, start), ms(0));
    assert_eq!(delay.observe(7100, start + ms(101)), ms(1));
    assert_eq!(delay.observe(7200, start + ms(2300)), ms(2100));
    assert_eq!(delay.observe(9500, start + ms(2500)), ms(0));
}

/// Guards against taking clock drift for a delay.
#[test]
fn drift_is_no_delay() {
    let start = Instant::now();
    let mut delay = CallDelay::default();
    for n in 0..600_u64 {
        // The sender's clock is 2% slow.
        let late = delay.observe(98 * n, start + ms(100 * n));
        assert!(late <= ms(170), "{late:?} after {n} frames");
    }
}

/// Guards against a pause on the connection that hides later delays.
#[test]
fn first_frame_after_a_pause_counts_as_punctual() {
    let start = Instant::now();
    let mut delay = CallDelay::default();
    delay.observe(0, start);
    assert_eq!(delay.observe(20_000, start + ms(21_000)), ms(0));
    assert_eq!(delay.observe(20_100, start + ms(21_400)), ms(300));
}
