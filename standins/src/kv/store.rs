//! Entries and their modification revisions.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

/// Largest value, in bytes.
const MAX_VALUE: usize = 1 << 20;

/// Longest time between two looks at the state of faults while a watch waits.
const WATCH_POLL: Duration = Duration::from_millis(50);

/// Entries.
#[derive(Debug, Default)]
pub struct Store {
    entries: Mutex<Entries>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Entries {
    revision: u64,
    by_key: BTreeMap<String, Entry>,
}

/// Entry.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
    /// Modification revision.
    pub revision: u64,
}

/// Entries under a prefix.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Listing {
    /// Entries in the order of their keys.
    pub entries: Vec<Entry>,
    /// Newest modification revision in the store.
    pub revision: u64,
}

/// Result of a compare-and-swap.
#[derive(Debug, Clone)]
pub enum Put {
    /// It took effect, with this modification revision.
    Written(u64),
    /// It did not; the entry as it is.
    Conflict(Option<Entry>),
    /// Value is larger than the limit.
    TooLarge,
}

impl Store {
    /// Reads an entry.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.lock().by_key.get(key).cloned()
    }

    /// Writes an entry if its modification revision is `expect`, 0 if it must be absent.
    #[must_use]
    pub fn put(&self, key: &str, value: String, expect: u64) -> Put {
        if value.len() > MAX_VALUE {
            return Put::TooLarge;
        }
        let mut entries = self.lock();
        let current = entries.by_key.get(key);
        if current.map_or(0, |e| e.revision) != expect {
            return Put::Conflict(current.cloned());
        }
        entries.revision += 1;
        let entry = Entry {
            key: key.to_owned(),
            value,
            revision: entries.revision,
        };
        entries.by_key.insert(entry.key.clone(), entry.clone());
        self.changed.notify_all();
        Put::Written(entry.revision)
    }

    /// Lists the entries under a prefix that are newer than a revision.
    #[must_use]
    pub fn list(&self, prefix: &str, after: u64) -> Listing {
        self.lock().list(prefix, after)
    }

    /// Waits until an entry under a prefix is newer than a revision. Returns `None` as soon as
    /// `is_open` is false.
    #[must_use]
    pub fn watch<F>(&self, prefix: &str, after: u64, wait: Duration, is_open: F) -> Option<Listing>
    where
        F: Fn() -> bool,
    {
        let end = Instant::now() + wait;
        let mut entries = self.lock();
        loop {
            if !is_open() {
                return None;
            }
            let listing = entries.list(prefix, after);
            let left = end.saturating_duration_since(Instant::now());
            if !listing.entries.is_empty() || left.is_zero() {
                return Some(listing);
            }
            entries = self
                .changed
                .wait_timeout(entries, left.min(WATCH_POLL))
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entries {
    fn list(&self, prefix: &str, after: u64) -> Listing {
        let entries = self
            .by_key
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, entry)| entry)
            .filter(|entry| entry.revision > after)
            .cloned()
            .collect();
        Listing {
            entries,
            revision: self.revision,
        }
    }
}
