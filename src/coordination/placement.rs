//! Placement of slices by hashing, for comparison with weighted moves.

use xxhash_rust::xxh3;

use crate::coordination::{balance, packing, weight};
use crate::state::{ids, record};

/// Points of each server on the ring.
const POINTS: u64 = 64;

/// Load of a server in relation to its fair part from which rendezvous hashing goes to the next.
const BOUND: f64 = 1.25;

/// Plans by consistent hashing: a slice goes to the server whose point follows on the ring.
#[must_use]
pub fn consistent(input: &balance::Input<'_>) -> balance::Plan {
    let mut ring: Vec<_> = takers(input)
        .flat_map(|s| (0..POINTS).map(|i| (score(s.node.addr, i), s.node)))
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
/// score among those that still have room.
#[must_use]
pub fn rendezvous(input: &balance::Input<'_>) -> balance::Plan {
    let slots: f64 = takers(input).map(|s| f64::from(s.slots.max(1))).sum();
    let mut loads: Vec<_> = takers(input)
        .map(|s| (s, f64::from(s.slots.max(1)) / slots * BOUND))
        .collect();
    let spread = packing::Packing::new(input);
    let weights = weight::parts(input).into_iter().map(|p| spread.size(p));
    let mut owners = Vec::new();
    for (slice, weight) in input.record.slices.iter().zip(weights) {
        loads.sort_by_key(|(s, _)| std::cmp::Reverse(score(s.node.addr, slice.start.0)));
        let fits = loads.iter().position(|(_, room)| *room >= weight);
        let chosen = loads.get_mut(fits.unwrap_or(0));
        owners.push(chosen.map(|(server, room)| {
            *room -= weight;
            server.node
        }));
    }
    moves(input, owners)
}

fn takers<'a>(input: &'a balance::Input<'_>) -> impl Iterator<Item = &'a balance::Server> {
    let any = input.servers.iter().any(|s| s.live && !s.draining);
    let servers = input.servers.iter();
    servers.filter(move |s| s.live && (!s.draining || !any))
}

fn score(addr: ids::NodeAddr, number: u64) -> u64 {
    let text = format!("{addr} {number}");
    xxh3::xxh3_64(text.as_bytes())
}

fn moves(
    input: &balance::Input<'_>,
    owners: impl IntoIterator<Item = Option<ids::NodeRef>>,
) -> balance::Plan {
    let can_hold = |node: &ids::NodeRef| takers(input).any(|s| s.node == *node);
    let slices = input.record.slices.iter().zip(owners);
    let moves = slices
        // A move in progress is completed first.
        .filter(|(slice, _)| !slice.target.as_ref().is_some_and(can_hold))
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
