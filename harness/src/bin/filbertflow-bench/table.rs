//! Markdown tables and statistics of their cells.

use std::time::Duration;

/// Prints the header of a table.
pub fn header(columns: &[&str]) {
    println!("| {} |", columns.join(" | "));
    println!("|{}", "---|".repeat(columns.len()));
}

/// Prints a row.
pub fn row(cells: &[String]) {
    println!("| {} |", cells.join(" | "));
}

/// Formats a duration in milliseconds.
pub fn ms(d: Duration) -> String {
    format!("{:.1}", d.as_secs_f64() * 1e3)
}

/// Returns a percentile of a sorted list by the nearest rank.
pub fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    let rank = (sorted.len() * percent).div_ceil(100).max(1);
    sorted.get(rank - 1).copied().unwrap_or_default()
}

/// Returns the ratio of the maximum to the mean, or 0 if all counts are 0.
pub fn imbalance(counts: &[f64]) -> f64 {
    let total: f64 = counts.iter().sum();
    let max = counts.iter().copied().fold(0.0, f64::max);
    if total > 0.0 {
        max * counts.len() as f64 / total
    } else {
        0.0
    }
}
