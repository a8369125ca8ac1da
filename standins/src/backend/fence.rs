//! Range grants and fencing tokens.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Deserializer, de};
use xxhash_rust::xxh3;

use crate::journal;

/// Fencing token. Ordered by epoch, then by version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token {
    epoch: u64,
    version: u64,
}

/// Grant message from the node.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct Grant {
    /// Service of the ranges.
    pub service: String,
    /// Granted ranges; they replace those of the previous grant.
    pub slices: Vec<Slice>,
    /// Validity of the grant, counted from its receipt.
    pub valid_ms: u64,
    /// `CLOCK_BOOTTIME` in milliseconds at which the grant expires. Unlike `valid_ms`, it isn't
    /// extended by the time that the message spends in the socket buffer of a suspended server.
    #[serde(default)]
    pub expires_ms: Option<u64>,
}

/// Range of the hash space, with both ends inclusive.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
pub struct Slice {
    /// First hash.
    pub start: u64,
    /// Last hash.
    pub end: u64,
    /// Fencing token of the range.
    pub token: Token,
}

/// Reason for which a request must not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceError {
    /// Its token is older than the newest one seen for the range.
    StaleToken,
    /// No unexpired grant covers it.
    NoGrant,
}

/// Tracks the current grant and the newest token seen for each range.
#[derive(Debug)]
pub struct Fence {
    checks: bool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    slices: Vec<Slice>,
    expires: Duration,
    newest: BTreeMap<(u64, u64), Token>,
}

impl Fence {
    /// Creates a fence without a grant. Without `checks`, it admits all requests.
    #[must_use]
    pub fn new(checks: bool) -> Self {
        Self {
            checks,
            state: Mutex::default(),
        }
    }

    /// Replaces the current grant. Returns false, and keeps it, if the new one has a token older
    /// than the newest seen.
    pub fn apply_grant(&self, grant: &Grant) -> bool {
        let mut state = self.lock();
        if grant.slices.iter().any(|s| s.token < state.newest_in(s)) {
            return false;
        }
        for slice in &grant.slices {
            state.newest.insert((slice.start, slice.end), slice.token);
        }
        let relative = journal::now() + Duration::from_millis(grant.valid_ms);
        let absolute = grant.expires_ms.map(Duration::from_millis);
        state.expires = absolute.map_or(relative, |a| a.min(relative));
        state.slices.clone_from(&grant.slices);
        true
    }

    /// Checks that a request with this hash and token may start at a point in time.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request must be refused.
    pub fn check(
        &self,
        hash: Option<u64>,
        token: Option<Token>,
        at: Duration,
    ) -> Result<(), FenceError> {
        if !self.checks {
            return Ok(());
        }
        let (Some(hash), Some(token)) = (hash, token) else {
            return Err(FenceError::NoGrant);
        };
        let state = self.lock();
        let point = Slice {
            start: hash,
            end: hash,
            token,
        };
        if token < state.newest_in(&point) {
            return Err(FenceError::StaleToken);
        }
        let live = at < state.expires;
        let granted = state
            .slices
            .iter()
            .any(|s| s.start <= hash && hash <= s.end && s.token == token);
        if live && granted {
            Ok(())
        } else {
            Err(FenceError::NoGrant)
        }
    }

    /// Returns whether a request that was admitted with this token may take effect at a point in
    /// time. Only the version is compared, because a new epoch alone doesn't change the owner.
    #[must_use]
    pub fn may_finish(&self, hash: Option<u64>, token: Option<Token>, at: Duration) -> bool {
        let (Some(hash), Some(token)) = (hash, token) else {
            return !self.checks;
        };
        let state = self.lock();
        let granted = state
            .slices
            .iter()
            .any(|s| s.start <= hash && hash <= s.end && s.token.version == token.version);
        !self.checks || (at < state.expires && granted)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn newest_in(&self, slice: &Slice) -> Token {
        self.newest
            .iter()
            .filter(|((start, end), _)| *start <= slice.end && slice.start <= *end)
            .map(|(_, token)| *token)
            .max()
            .unwrap_or(Token {
                epoch: 0,
                version: 0,
            })
    }
}

/// Hashes the key, or the bytes of the request identifier if the key is empty.
#[must_use]
pub fn hash(key: &str, id: &str) -> Option<u64> {
    if key.is_empty() {
        let digits: String = id.chars().filter(|c| *c != '-').collect();
        let number = u128::from_str_radix(&digits, 16).ok()?;
        Some(xxh3::xxh3_64(&number.to_be_bytes()))
    } else {
        Some(xxh3::xxh3_64(key.as_bytes()))
    }
}

impl FromStr for Token {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let parts = s.split_once('.');
        let parsed = parts.and_then(|(e, v)| Some((e.parse().ok()?, v.parse().ok()?)));
        let (epoch, version) = parsed.ok_or("expected a token such as 3.14")?;
        Ok(Self { epoch, version })
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.version)
    }
}

impl<'de> Deserialize<'de> for Token {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
