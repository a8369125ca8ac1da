//! Weights of slices: their shares of the load and of the hash space.

use std::collections::HashMap;

use crate::coordination::{balance, packing};
use crate::state::record;

/// Returns the share of each slice in the load and in the hash space.
#[must_use]
pub fn parts(input: &balance::Input<'_>) -> Vec<packing::Part> {
    let rates = rates(input);
    let total: f64 = rates.iter().sum();
    let rates = rates.into_iter().enumerate();
    rates
        .map(|(i, rate)| packing::Part {
            load: if total > 0.0 { rate / total } else { 0.0 },
            keys: width(input.record, i),
        })
        .collect()
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

/// Returns the share of the hash space that a slice covers.
#[must_use]
pub fn width(record: &record::PartitionRecord, index: usize) -> f64 {
    let first = record.slices[index].start.0;
    let last = record.slice_end(index).0;
    ((last - first) as f64 + 1.0) / (u64::MAX as f64 + 1.0)
}
