//! Weight of slices: their share of the load and of the hash space.

use std::collections::HashMap;

use crate::coordination::balance;
use crate::state::record;

/// Share of measured load in the weight of a slice; the rest is its share of the hash space, so
/// that idle keys are spread too.
const LOAD_SHARE: f64 = 0.8;

/// Rate per server, in requests per second, at which measured load gets half of its full share.
/// Below it, the load of single slices is mostly chance.
pub const NOISE_RATE: f64 = 20.0;

/// Returns the weight of each slice of the record; all weights sum up to 1.
#[must_use]
pub fn of_slices(input: &balance::Input<'_>) -> Vec<f64> {
    let slices = &input.record.slices;
    let rates = rates(input);
    let total: f64 = rates.iter().sum();
    let live = input.servers.iter().filter(|s| s.live).count();
    let noise = NOISE_RATE * live.max(1) as f64;
    let share = LOAD_SHARE * total / (total + noise);
    (0..slices.len())
        .map(|i| {
            let load = if total > 0.0 { rates[i] / total } else { 0.0 };
            share * load + (1.0 - share) * width(input.record, i)
        })
        .collect()
}

/// Returns the share of the hash space that a slice covers.
#[must_use]
pub fn width(record: &record::PartitionRecord, index: usize) -> f64 {
    let first = record.slices[index].start.0;
    let last = record.end_of(index).0;
    ((last - first) as f64 + 1.0) / (u64::MAX as f64 + 1.0)
}

/// Returns the last reported rate of each slice, in requests per second.
#[must_use]
pub fn rates(input: &balance::Input<'_>) -> Vec<f64> {
    let mut by_start = HashMap::new();
    for server in &input.servers {
        for (start, rate) in &server.load.slices {
            let known = by_start.entry(*start).or_insert(0.0);
            *known = f64::max(*known, *rate);
        }
    }
    let slices = input.record.slices.iter();
    slices
        .map(|s| by_start.get(&s.start).copied().unwrap_or_default())
        .collect()
}
