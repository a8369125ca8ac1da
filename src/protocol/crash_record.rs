//! Stored form of what is known of a request that crashes backend servers.

use crate::protocol::adapter::DecodeError;
use crate::state::crash_evidence::CrashEvidence;
use crate::state::fingerprint::Fingerprint;

/// Prefix of the records in the store, below the prefix that all nodes replicate.
pub const PREFIX: &str = "filbertflow/crash/";

/// Maximum number of lives in a record; a node writes at most three.
const MAX_LIVES: usize = 16;

/// Encoded record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct CrashRecord {
    lives: Vec<u64>,
    strikes: u32,
}

impl From<&CrashEvidence> for CrashRecord {
    fn from(evidence: &CrashEvidence) -> Self {
        Self {
            lives: evidence.lives.clone(),
            strikes: evidence.strikes,
        }
    }
}

impl TryFrom<CrashRecord> for CrashEvidence {
    type Error = DecodeError;

    fn try_from(record: CrashRecord) -> Result<Self, DecodeError> {
        let CrashRecord { lives, strikes } = record;
        match lives.len() {
            1..=MAX_LIVES => Ok(Self { lives, strikes }),
            n => Err(DecodeError(format!("{n} lives"))),
        }
    }
}

/// Returns the key of a request's record.
#[must_use]
pub fn key(request: Fingerprint) -> String {
    format!("{PREFIX}{request}")
}

/// Returns the request of a record's key.
///
/// # Errors
///
/// Returns an error if the key isn't one of [`key`].
pub fn decode_key(key: &str) -> Result<Fingerprint, DecodeError> {
    let digits = key.strip_prefix(PREFIX).unwrap_or_default();
    let request = u64::from_str_radix(digits, 16).map(Fingerprint);
    let request = request.map_err(|e| DecodeError(e.to_string()))?;
    if self::key(request) == key {
        Ok(request)
    } else {
        Err(DecodeError("the key isn't in its usual form".to_owned()))
    }
}

/// Encodes a record for the store.
///
/// # Panics
///
/// Never panics: integers always serialize to JSON.
#[must_use]
pub fn encode(evidence: &CrashEvidence) -> Vec<u8> {
    serde_json::to_vec(&CrashRecord::from(evidence)).expect("integers serialize to JSON")
}

/// Decodes a record from the store.
///
/// # Errors
///
/// Returns an error if the value is not a valid record.
pub fn decode(value: &[u8]) -> Result<CrashEvidence, DecodeError> {
    let record: CrashRecord =
        serde_json::from_slice(value).map_err(|e| DecodeError(e.to_string()))?;
    CrashEvidence::try_from(record)
}
