//! Revisions of the platform's store.
//!
//! A revision counts changes. A store that is restored from an older copy gives revisions out again, so
//! they are ordered within an era alone; the era rises with each restore.

use std::fmt;

/// Number of times that the store was restored, as the store counts it; 0 if it doesn't tell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
