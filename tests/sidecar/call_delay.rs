//! Delay of frames on their way.

use std::time::Duration;

use filbertflow::state::clock::Instant;
use filbertflow::transport::sidecar::call_delay::CallDelay;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Pattern: a link of 10 Mbit/s is full for two seconds. Guards against calls whose callers have
/// left when they arrive, but that look as if they had just been sent.
#[test]
fn queued_frame_is_late() {
    let start = Instant::now();
    let mut lag = CallDelay::default();
    assert_eq!(lag.observe(7000, start), ms(0));
    assert_eq!(lag.observe(7100, start + ms(101)), ms(1));
    assert_eq!(lag.observe(7200, start + ms(2300)), ms(2100));
    assert_eq!(lag.observe(9500, start + ms(2500)), ms(0));
}

/// Guards against clocks that drift apart and are taken for a delay.
#[test]
fn drift_is_no_delay() {
    let start = Instant::now();
    let mut lag = CallDelay::default();
    for n in 0..600_u64 {
        // The sender's clock is 2% slow.
        let late = lag.observe(98 * n, start + ms(100 * n));
        assert!(late <= ms(170), "{late:?} after {n} frames");
    }
}

/// Guards against a delay that is hidden by a pause on the connection.
#[test]
fn first_frame_after_a_pause_counts_as_punctual() {
    let start = Instant::now();
    let mut lag = CallDelay::default();
    lag.observe(0, start);
    assert_eq!(lag.observe(20_000, start + ms(21_000)), ms(0));
    assert_eq!(lag.observe(20_100, start + ms(21_400)), ms(300));
}
