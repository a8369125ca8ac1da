//! Load of the slices that this node owns, reported with each renewal.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time;

use crate::protocol::peer;
use crate::state::{clock, ids};

/// Shortest time over which a rate is computed; shorter ones scatter too much.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Requests since the last report.
#[derive(Debug)]
pub struct Meter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    since: clock::Instant,
    slices: HashMap<ids::KeyHash, u64>,
    last: peer::Load,
}

impl Default for Meter {
    fn default() -> Self {
        Self {
            state: Mutex::new(State {
                since: clock::Instant::now(),
                slices: HashMap::new(),
                last: peer::Load::default(),
            }),
        }
    }
}

impl Meter {
    /// Counts a request for a slice and its hash.
    pub fn count(&self, slice: ids::KeyHash, _hash: ids::KeyHash) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        *state.slices.entry(slice).or_default() += 1;
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
            hot: Vec::new(),
        };
        state.last.clone()
    }
}
