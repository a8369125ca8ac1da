//! How evenly load and keys are spread over the servers of a partition.
//!
//! The cost of a spread is the sum of squared deviations of each server from its fair part, in load
//! and in keys. Both count separately, because a weighted sum of them would call a server with much
//! load and few keys balanced.

use crate::coordination::{balance, weight};

/// Weight of load in the cost; the rest is the weight of keys, so that idle keys are spread too.
const LOAD_WEIGHT: f64 = 0.9;

/// Measured requests per server at which load gets half of its full weight. Below it, the load of
/// single slices is mostly chance.
const NOISE_REQUESTS: f64 = 200.0;

/// Time over which rates must be measured before hot and cold keys are told apart.
const SETTLED_SECONDS: f64 = 10.0;

/// Standard deviations of a server's rate that count as chance.
const NOISE_DEVIATIONS: f64 = 3.0;

/// Share of a slice or of a server in the whole partition.
#[derive(Debug, Clone, Copy, Default)]
pub struct Part {
    /// Share of the load.
    pub load: f64,
    /// Share of the hash space.
    pub keys: f64,
}

#[derive(Debug, Clone, Copy)]
struct Bin {
    /// Fair part; 0 for a server that takes no slices.
    fair: f64,
    held: Part,
}

/// Servers with what they hold.
#[derive(Debug, Clone)]
pub struct Packing {
    bins: Vec<Bin>,
    load_weight: f64,
    requests: f64,
    seconds: f64,
}

impl Packing {
    /// Creates empty servers; draining ones take part only if no other is live.
    #[must_use]
    pub fn new(input: &balance::Input<'_>) -> Self {
        let any = input.servers.iter().any(|s| s.live && !s.draining);
        let takes = |s: &balance::Server| s.live && (!s.draining || !any);
        let slots = |s: &balance::Server| f64::from(s.slots.max(1));
        let all = input.servers.iter().filter(|s| takes(s));
        let (count, total) = all.fold((0.0, 0.0), |(n, t), s| (n + 1.0, t + slots(s)));
        let bin = |s: &balance::Server| Bin {
            fair: if takes(s) { slots(s) / total } else { 0.0 },
            held: Part::default(),
        };
        let seconds = measured(input);
        let requests = weight::rates(input).iter().sum::<f64>() * seconds / f64::max(count, 1.0);
        Self {
            bins: input.servers.iter().map(bin).collect(),
            load_weight: LOAD_WEIGHT * requests / (requests + NOISE_REQUESTS),
            requests,
            seconds,
        }
    }

    /// Returns the positions of the servers that take slices.
    pub fn takers(&self) -> impl Iterator<Item = usize> {
        (0..self.bins.len()).filter(|i| self.takes(*i))
    }

    /// Returns whether a server takes slices.
    #[must_use]
    pub fn takes(&self, server: usize) -> bool {
        self.bins[server].fair > 0.0
    }

    /// Returns the deviation of a server's load from its fair part that may be chance.
    #[must_use]
    pub fn noise(&self) -> f64 {
        NOISE_DEVIATIONS / self.requests.max(f64::MIN_POSITIVE).sqrt()
    }

    /// Returns whether the load was measured for long enough to tell hot from cold keys.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.seconds >= SETTLED_SECONDS
    }

    /// Returns whether there were enough requests to tell hot from cold keys.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.requests >= NOISE_REQUESTS
    }

    /// Returns what a server holds in relation to its fair part.
    #[must_use]
    pub fn level(&self, server: usize) -> Part {
        let bin = self.bins[server];
        Part {
            load: bin.held.load / bin.fair,
            keys: bin.held.keys / bin.fair,
        }
    }

    /// Returns load and keys of a part as one number.
    #[must_use]
    pub fn size(&self, part: Part) -> f64 {
        self.load_weight * part.load + (1.0 - self.load_weight) * part.keys
    }

    /// Adds a part to a server.
    pub fn add(&mut self, server: usize, part: Part) {
        let held = &mut self.bins[server].held;
        held.load += part.load;
        held.keys += part.keys;
    }

    /// Takes a part from a server.
    pub fn remove(&mut self, server: usize, part: Part) {
        let negative = Part {
            load: -part.load,
            keys: -part.keys,
        };
        self.add(server, negative);
    }

    /// Returns the server at which a part costs least.
    #[must_use]
    pub fn cheapest(&self, part: Part) -> Option<usize> {
        self.takers()
            .min_by(|a, b| self.rise(*a, part).total_cmp(&self.rise(*b, part)))
    }

    /// Returns by how much a move lowers the cost.
    #[must_use]
    pub fn gain(&self, from: usize, to: usize, part: Part) -> f64 {
        let without = Part {
            load: -part.load,
            keys: -part.keys,
        };
        -self.rise(from, without) - self.rise(to, part)
    }

    fn rise(&self, server: usize, part: Part) -> f64 {
        let Bin { fair, held } = self.bins[server];
        let rise = |held: f64, more: f64| {
            let before = held / fair - 1.0;
            let after = (held + more) / fair - 1.0;
            (after * after - before * before) * fair
        };
        self.load_weight * rise(held.load, part.load)
            + (1.0 - self.load_weight) * rise(held.keys, part.keys)
    }
}

/// Returns the time over which all live servers have measured their load, in seconds.
///
/// A server that has not reported yet, such as one that joins, has no slices to measure.
fn measured(input: &balance::Input<'_>) -> f64 {
    let live = input.servers.iter().filter(|s| s.live);
    let seconds = live.map(|s| s.load.seconds).filter(|s| *s > 0.0);
    seconds.reduce(f64::min).unwrap_or_default()
}
