//! Time constants of the ownership protocol.
//!
//! They are constants rather than settings, because two nodes that disagree about the length of a
//! lease could both believe that they own a key.

use std::time;

/// Validity of a standby's promise not to claim a partition.
pub const PROMISE_DURATION: time::Duration = time::Duration::from_millis(500);

/// Interval at which a coordinator renews its promises; a quarter of their validity, so that three
/// consecutive renewals may be lost.
pub const PROMISE_RENEWAL: time::Duration = time::Duration::from_millis(125);

/// Validity of an owner's lease.
pub const LEASE_DURATION: time::Duration = time::Duration::from_millis(900);

/// Interval at which an owner renews its lease.
pub const LEASE_RENEWAL: time::Duration = time::Duration::from_millis(250);

/// Maximum drift between the clocks of two hosts, in percent.
pub const DRIFT_PERCENT: u32 = 1;

/// Additional wait before slices of a backend server that doesn't check tokens are reassigned.
pub const UNCHECKED_MARGIN: time::Duration = time::Duration::from_millis(150);

/// Silence on a connection with pending calls after which a keep-alive is sent.
pub const KEEP_ALIVE_IDLE: time::Duration = time::Duration::from_millis(100);

/// Silence on a connection with pending calls after which it is closed.
pub const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Maximum time to open a connection to a peer.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Interval between gossip rounds.
pub const GOSSIP_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Interval at which a backend server announces itself.
pub const ANNOUNCEMENT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Silence after which a backend server's announcement is withdrawn.
pub const ANNOUNCEMENT_EXPIRY: time::Duration = time::Duration::from_secs(2);

/// Time for which the outcome of a request is retained.
pub const OUTCOME_RETENTION: time::Duration = time::Duration::from_mins(1);

/// Maximum difference between the wall clocks of two hosts.
pub const CLOCK_SKEW: time::Duration = time::Duration::from_millis(250);

/// Maximum time for which a request waits for its slice to get an owner.
pub const OWNER_WAIT: time::Duration = time::Duration::from_secs(2);

/// Adds an allowance for clock drift to a duration measured by another host's clock.
#[must_use]
pub fn with_drift(d: time::Duration) -> time::Duration {
    d + d * DRIFT_PERCENT / 100
}
