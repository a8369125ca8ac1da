//! Load of the slices that this node owns, reported with each renewal.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time;

use crate::protocol::peer;
use crate::state::{clock, ids, sketch};

/// Shortest time over which a rate is computed; shorter ones scatter too much.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Keys that are counted apart; a key with more than 1/256 of the requests is certainly among them.
const KEYS: usize = 256;

/// Time after which a request counts half in the rate of its key.
const HALF_LIFE: time::Duration = time::Duration::from_secs(2);

/// Hottest keys that are reported.
const REPORTED: usize = 16;

/// Requests since the last report.
#[derive(Debug)]
pub struct Meter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    since: clock::Instant,
    slices: HashMap<ids::KeyHash, u64>,
    keys: sketch::Sketch,
    last: peer::Load,
}

impl Default for Meter {
    fn default() -> Self {
        let now = clock::Instant::now();
        Self {
            state: Mutex::new(State {
                since: now,
                slices: HashMap::new(),
                keys: sketch::Sketch::new(KEYS, HALF_LIFE, now),
                last: peer::Load::default(),
            }),
        }
    }
}

impl Meter {
    /// Counts a request for a slice and its hash.
    pub fn count(&self, slice: ids::KeyHash, hash: ids::KeyHash) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        *state.slices.entry(slice).or_default() += 1;
        state.keys.add(hash, clock::Instant::now());
    }

    /// Returns the rates since the last report; repeats it if it is too recent.
    #[must_use]
    pub fn report(&self) -> peer::Load {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = clock::Instant::now();
        let elapsed = now.since(state.since);
        if elapsed < MIN_INTERVAL {
            return state.last.clone();
        }
        let seconds = elapsed.as_secs_f64();
        let counts = std::mem::take(&mut state.slices);
        let slices: Vec<_> = counts
            .into_iter()
            .map(|(start, n)| (start, n as f64 / seconds))
            .collect();
        state.since = now;
        state.last = peer::Load {
            rate: slices.iter().map(|(_, rate)| rate).sum(),
            slices,
            hot: state.keys.top(REPORTED, now),
        };
        state.last.clone()
    }
}
