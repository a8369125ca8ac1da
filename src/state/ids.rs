//! Identifiers shared by all layers.
//!
//! Identifiers have distinct types, so that an epoch can't be passed where a revision is expected.
//! Scalar identifiers are encoded as plain numbers.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next value.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number!(
    /// Epoch of a coordinator; increases with every change of coordinator.
    Epoch
);
number!(
    /// Revision of a partition record; increases with every write.
    Revision
);
number!(
    /// Version of a slice; increases with every change of owner.
    SliceVersion
);
number!(
    /// Revision of the configuration document.
    DocRevision
);
number!(
    /// Modification revision of an entry in the platform's key-value service; 0 means absent.
    ModRevision
);
number!(
    /// Incarnation of a process: its start time by the wall clock, in microseconds.
    Incarnation
);

impl Incarnation {
    /// Creates an incarnation from the current time.
    #[must_use]
    pub fn now() -> Self {
        let us = wall_time().as_micros();
        Self(u64::try_from(us).unwrap_or(u64::MAX))
    }
}

/// Returns the wall-clock time since the Unix epoch.
#[must_use]
pub fn wall_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Peer address of a node, which is its stable name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeAddr(pub SocketAddr);

impl fmt::Display for NodeAddr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for NodeAddr {
    type Err = std::net::AddrParseError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

/// One incarnation of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct NodeRef {
    /// Peer address.
    pub addr: NodeAddr,
    /// Incarnation of the process at that address.
    pub incarnation: Incarnation,
}

impl fmt::Display for NodeRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.addr, self.incarnation)
    }
}

/// Fencing token, ordered by epoch and then by slice version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Token {
    /// Epoch of the coordinator that granted the slice.
    pub epoch: Epoch,
    /// Version of the slice.
    pub version: SliceVersion,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.version)
    }
}

/// Position of a key in the 64-bit hash space.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(xxh3::xxh3_64(key.as_bytes()))
    }
}

/// Identifier of a request: a version 7 UUID, which includes its creation time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestId([u8; 16]);

impl RequestId {
    /// Creates an identifier from the current time.
    #[must_use]
    pub fn create() -> Self {
        Self(Uuid::now_v7().into_bytes())
    }

    /// Returns the creation time since the Unix epoch, with millisecond precision.
    #[must_use]
    pub fn time(self) -> Duration {
        let mut ms = [0; 8];
        ms[2..].copy_from_slice(&self.0[..6]);
        Duration::from_millis(u64::from_be_bytes(ms))
    }

    /// Hashes the identifier, to select a backend server for a request without a key.
    #[must_use]
    pub fn hash(self) -> KeyHash {
        KeyHash(xxh3::xxh3_64(&self.0))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Uuid::from_bytes(self.0).fmt(f)
    }
}

/// Error for a text that is not a version 7 UUID.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidId;

impl fmt::Display for InvalidId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected a version 7 UUID")
    }
}

impl std::error::Error for InvalidId {}

impl FromStr for RequestId {
    type Err = InvalidId;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let uuid = Uuid::try_parse(s).map_err(|_| InvalidId)?;
        if uuid.get_version_num() == 7 {
            Ok(Self(uuid.into_bytes()))
        } else {
            Err(InvalidId)
        }
    }
}

/// Random identifier of one attempt to run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(pub u64);

impl AttemptId {
    /// Creates a random identifier.
    #[must_use]
    pub fn create() -> Self {
        Self(rand::random())
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Partition of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PartitionId {
    /// Name of the service.
    pub service: String,
    /// Position among the partitions of the service.
    pub index: u16,
}

impl PartitionId {
    /// Returns the identifier of the first partition of a service.
    #[must_use]
    pub fn first(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            index: 0,
        }
    }
}

impl fmt::Display for PartitionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}
