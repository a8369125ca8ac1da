//! Identity of a request beyond a single attempt: callers send the same request again under another
//! identifier, and at another node.

use xxhash_rust::xxh3::Xxh3;

/// Hash of what a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request by its method, host name, target and body.
    #[must_use]
    pub fn new(method: &str, host: &str, target: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for part in [method.as_bytes(), host.as_bytes(), target.as_bytes(), body] {
            // The length keeps parts apart that would be the same joined.
            hash.update(&part.len().to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
