//! Revisions of the platform's store.
//!
//! A revision counts changes. A store that is restored from an older copy gives revisions out again, so
//! they are ordered within an era alone; the era rises with each restore. What was written in an earlier
//! era is older than anything in a later one, but it isn't void: the store may have lost it while nodes
//! still act by it.

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

/// Revision of the store within an era. Any revision of a later era is greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Revision {
    /// Era in which the store has given it out.
    pub era: Era,
    /// Number of the change; 0 if there is none.
    pub number: u64,
}

impl Revision {
    /// Creates a revision.
    #[must_use]
    pub fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns whether it stands for no change.
    #[must_use]
    pub fn is_none(self) -> bool {
        self.number == 0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}
