//! Time constants of the ownership protocol.
//!
//! They are constants and not settings, because two nodes that disagree about a lease's length
//! could both believe that they own a key.

use std::time;

/// Length of a standby's promise not to claim.
pub const PROMISE_DURATION: time::Duration = time::Duration::from_millis(500);

/// Interval at which a coordinator renews its promises; a quarter of the length, so that three
/// lost renewals are survived.
pub const PROMISE_RENEWAL: time::Duration = time::Duration::from_millis(125);

/// Length of an owner's lease.
pub const LEASE_DURATION: time::Duration = time::Duration::from_millis(900);

/// Interval at which an owner renews its lease.
pub const LEASE_RENEWAL: time::Duration = time::Duration::from_millis(250);

/// Largest difference in rate between the clocks of two hosts, in parts per hundred.
pub const DRIFT_PERCENT: u32 = 1;

/// Further wait before the slices of a backend server that checks no tokens are reassigned.
pub const UNCHECKED_MARGIN: time::Duration = time::Duration::from_millis(150);

/// Silence on a connection with calls outstanding after which a keep-alive is sent.
pub const KEEP_ALIVE_IDLE: time::Duration = time::Duration::from_millis(100);

/// Silence on a connection with calls outstanding after which it is closed.
pub const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Time to open a connection to a peer.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Interval between rounds of gossip.
pub const GOSSIP_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Interval at which a backend server announces itself.
pub const ANNOUNCEMENT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Silence after which a backend server's announcement is withdrawn.
pub const ANNOUNCEMENT_EXPIRY: time::Duration = time::Duration::from_secs(2);

/// Time for which the outcome of a request is kept.
pub const OUTCOME_RETENTION: time::Duration = time::Duration::from_mins(1);

/// Largest difference between the wall clocks of two hosts.
pub const CLOCK_SKEW: time::Duration = time::Duration::from_millis(250);

/// Longest time for which a request waits for its slice to get an owner.
pub const OWNER_WAIT: time::Duration = time::Duration::from_secs(2);

/// Adds the drift allowance to a duration that another host's clock measures.
#[must_use]
pub fn with_drift(d: time::Duration) -> time::Duration {
    d + d * DRIFT_PERCENT / 100
}
