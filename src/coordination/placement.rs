//! Hash-based placement of slices, as a baseline for the weighted planner.

use xxhash_rust::xxh3;

use crate::coordination::{balance, packing, weight};
use crate::state::{ids, record};

/// Number of points of each server on the hash ring.
const RING_POINTS: u64 = 64;

/// Load bound of a server in rendezvous hashing, as a multiple of its fair share.
const LOAD_BOUND: f64 = 1.25;

/// Plans by consistent hashing: a slice goes to the server of the next point on the ring.
#[must_use]
pub fn consistent(input: &balance::Input<'_>) -> balance::Plan {
    let mut ring: Vec<_> = eligible_servers(input)
        .flat_map(|s| (0..RING_POINTS).map(|i| (score(s.node.addr, i), s.node)))
        .collect();
    ring.sort_unstable();
    let owner = |slice: &record::Slice| {
        let position = xxh3::xxh3_64(&slice.start.0.to_be_bytes());
        let next = ring.partition_point(|(point, _)| *point < position);
        ring.get(next).or(ring.first()).map(|(_, node)| *node)
    };
    moves(input, input.record.slices.iter().map(owner))
}

/// Plans by rendezvous hashing with bounded loads: a slice goes to the server with the highest
/// score among those below their load bound.
#[must_use]
pub fn rendezvous(input: &balance::Input<'_>) -> balance::Plan {
    let slots: f64 = eligible_servers(input)
        .map(|s| f64::from(s.slots.max(1)))
        .sum();
    let mut loads: Vec<_> = eligible_servers(input)
        .map(|s| (s, f64::from(s.slots.max(1)) / slots * LOAD_BOUND))
        .collect();
    let packing = packing::Packing::new(input);
    let weights = weight::parts(input).into_iter().map(|p| packing.size(p));
    let mut owners = Vec::new();
    for (slice, weight) in input.record.slices.iter().zip(weights) {
        loads.sort_by_key(|(s, _)| std::cmp::Reverse(score(s.node.addr, slice.start.0)));
        let fits = loads.iter().position(|(_, capacity)| *capacity >= weight);
        let chosen = loads.get_mut(fits.unwrap_or(0));
        owners.push(chosen.map(|(server, capacity)| {
            *capacity -= weight;
            server.node
        }));
    }
    moves(input, owners)
}

fn eligible_servers<'a>(
    input: &'a balance::Input<'_>,
) -> impl Iterator<Item = &'a balance::Server> {
    let any_available = input.servers.iter().any(|s| s.live && !s.draining);
    let servers = input.servers.iter();
    servers.filter(move |s| s.live && (!s.draining || !any_available))
}

fn score(addr: ids::NodeAddr, number: u64) -> u64 {
    let text = format!("{addr} {number}");
    xxh3::xxh3_64(text.as_bytes())
}

fn moves(
    input: &balance::Input<'_>,
    owners: impl IntoIterator<Item = Option<ids::NodeRef>>,
) -> balance::Plan {
    let is_eligible = |node: &ids::NodeRef| eligible_servers(input).any(|s| s.node == *node);
    let slices = input.record.slices.iter().zip(owners);
    let moves = slices
        // Slices with a move in progress are left alone.
        .filter(|(slice, _)| !slice.target.as_ref().is_some_and(is_eligible))
        .filter_map(|(slice, to)| {
            let to = to?;
            (slice.owner != Some(to)).then_some(balance::Move {
                start: slice.start,
                from: slice.owner,
                to,
            })
        })
        .collect();
    balance::Plan {
        moves,
        ..balance::Plan::default()
    }
}
