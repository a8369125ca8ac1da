//! In-memory store with modification revisions.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

const MAX_VALUE_BYTES: usize = 1 << 20;

/// Interval at which a waiting watch checks for a changed fault, which doesn't notify it.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Store of entries by key.
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

/// Stored entry.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
    /// Revision of its last write.
    pub revision: u64,
}

/// Entries whose keys share a prefix.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Listing {
    /// Entries, ordered by key.
    pub entries: Vec<Entry>,
    /// Newest revision in the store.
    pub revision: u64,
}

/// Result of a compare-and-swap.
#[derive(Debug, Clone)]
pub enum PutResult {
    /// It took effect, with this revision.
    Written(u64),
    /// It had no effect, because the entry is at another revision; this is the current entry.
    Conflict(Option<Entry>),
    /// It had no effect, because the value is too large.
    TooLarge,
}

impl Store {
    /// Reads an entry.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.lock().by_key.get(key).cloned()
    }

    /// Writes an entry if its current revision is `expect`, or if `expect` is 0 and it is absent.
    #[must_use]
    pub fn put(&self, key: &str, value: String, expect: u64) -> PutResult {
        if value.len() > MAX_VALUE_BYTES {
            return PutResult::TooLarge;
        }
        let mut entries = self.lock();
        let current = entries.by_key.get(key);
        if current.map_or(0, |e| e.revision) != expect {
            return PutResult::Conflict(current.cloned());
        }
        entries.revision += 1;
        let entry = Entry {
            key: key.to_owned(),
            value,
            revision: entries.revision,
        };
        entries.by_key.insert(entry.key.clone(), entry.clone());
        self.changed.notify_all();
        PutResult::Written(entry.revision)
    }

    /// Lists the entries under a prefix that are newer than a revision.
    #[must_use]
    pub fn list(&self, prefix: &str, after: u64) -> Listing {
        self.lock().list(prefix, after)
    }

    /// Waits until an entry under a prefix is newer than a revision, or `wait` is over. Returns
    /// `None` as soon as `is_open` returns false.
    #[must_use]
    pub fn watch<F>(&self, prefix: &str, after: u64, wait: Duration, is_open: F) -> Option<Listing>
    where
        F: Fn() -> bool,
    {
        let deadline = Instant::now() + wait;
        let mut entries = self.lock();
        loop {
            if !is_open() {
                return None;
            }
            let listing = entries.list(prefix, after);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !listing.entries.is_empty() || remaining.is_zero() {
                return Some(listing);
            }
            entries = self
                .changed
                .wait_timeout(entries, remaining.min(WATCH_POLL_INTERVAL))
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
