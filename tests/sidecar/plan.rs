//! Plans of key assignments for given loads.

use filbertflow::coordination::sidecar::plan::{Change, Member, plan};
use filbertflow::coordination::sidecar::planner;
use filbertflow::protocol::mesh::{Health, Load, RateLimit};
use filbertflow::state::keyspace::{AssignmentTable, Holder, KEY_COUNT, Key, Slice};

fn member(n: u8, capacity: f64) -> Member {
    Member {
        holder: Holder {
            node: format!("10.0.0.{n}:1"),
            backend: format!("i-{n}"),
            born: 1,
        },
        capacity,
        limited: false,
        accepts: true,
        keeps: true,
    }
}

/// Plans and completes every move until nothing changes; returns the table and the number of moves.
fn converge(
    mut table: AssignmentTable,
    members: &[Member],
    rates: &[f32],
) -> (AssignmentTable, usize) {
    let mut moves = 0;
    for _ in 0..60 {
        let changes = plan(&table, members, rates);
        if changes.is_empty() {
            return (table, moves);
        }
        for change in &changes {
            change.apply(&mut table);
            if let Change::Move(from, to, source, _) = change {
                moves += 1;
                table.release(*from, *to, source, "proof");
            }
        }
        table.check().unwrap();
    }
    panic!("the plan does not converge");
}

fn load(table: &AssignmentTable, member: &Member, rates: &[f32]) -> f64 {
    let held = table.held_by(&member.holder);
    let of = |from: Key, to: Key| rates[usize::from(from)..=usize::from(to)].iter();
    held.flat_map(|s| of(s.from, s.to))
        .map(|&r| f64::from(r))
        .sum()
}

fn even(total: f32) -> Vec<f32> {
    vec![total / KEY_COUNT as f32; KEY_COUNT]
}

/// Guards against unassigned keys and an uneven assignment after the first plan.
#[test]
fn first_plan_covers_all_keys_evenly() {
    let members: Vec<_> = (0..4).map(|n| member(n, 100.0)).collect();
    let (table, _) = converge(AssignmentTable::default(), &members, &vec![0.0; KEY_COUNT]);
    assert!(table.slices.iter().all(|s| s.holder.is_some()));
    for m in &members {
        let keys: usize = table.held_by(&m.holder).map(Slice::len).sum();
        assert!((14_000..19_000).contains(&keys), "{keys}");
    }
}

/// One key gets 40% of the requests. Its holder gives other keys away, not the hot one.
#[test]
fn holder_of_a_hot_key_gives_others_away() {
    let members = [member(0, 100.0), member(1, 100.0), member(2, 100.0)];
    let (table, _) = converge(AssignmentTable::default(), &members, &even(200.0));
    let hot: Key = 1000;
    let holder = table.slice_of(hot).unwrap().holder.clone();
    let mut rates = even(120.0);
    rates[usize::from(hot)] = 80.0;
    let (after, _) = converge(table, &members, &rates);
    assert_eq!(after.slice_of(hot).unwrap().holder, holder);
    for m in &members {
        let utilization = load(&after, m, &rates) / m.capacity;
        assert!(utilization < 1.0, "{utilization}");
    }
}

/// The capacities of one service's backend servers differ by a factor of three.
#[test]
fn load_is_proportional_to_capacity() {
    let members = [member(0, 50.0), member(1, 100.0), member(2, 150.0)];
    let (table, _) = converge(AssignmentTable::default(), &members, &even(240.0));
    for m in &members {
        let utilization = load(&table, m, &even(240.0)) / m.capacity;
        assert!((0.6..1.0).contains(&utilization), "{utilization}");
    }
}

/// Guards against keys that stay with a draining backend server.
#[test]
fn draining_member_loses_its_keys() {
    let mut members = vec![member(0, 100.0), member(1, 100.0), member(2, 100.0)];
    let (table, _) = converge(AssignmentTable::default(), &members, &even(90.0));
    members[1].keeps = false;
    members[1].accepts = false;
    let (after, _) = converge(table, &members, &even(90.0));
    assert_eq!(after.held_by(&members[1].holder).count(), 0);
}

/// Guards against a new member that stays without keys under low load.
#[test]
fn newcomer_gets_a_share() {
    let mut members = vec![member(0, 100.0), member(1, 100.0)];
    let (table, _) = converge(AssignmentTable::default(), &members, &even(60.0));
    members.push(member(2, 100.0));
    let (after, _) = converge(table, &members, &even(60.0));
    assert!(load(&after, &members[2], &even(60.0)) > 5.0);
}

/// Guards against moves for harmless imbalances: each move makes its keys unavailable for a while.
#[test]
fn low_load_moves_nothing() {
    let members = [member(0, 100.0), member(1, 100.0), member(2, 100.0)];
    let (table, _) = converge(AssignmentTable::default(), &members, &even(90.0));
    let mut rates = even(60.0);
    for r in &mut rates[..3000] {
        *r += 0.01;
    }
    let (_, moves) = converge(table, &members, &rates);
    assert_eq!(moves, 0);
}

/// Guards against moving keys of holders that the planner has no report of.
#[test]
fn unlisted_holders_are_left_alone() {
    let members = [member(0, 100.0), member(1, 100.0)];
    let (table, _) = converge(AssignmentTable::default(), &members, &even(90.0));
    let (after, _) = converge(table.clone(), &members[..1], &even(90.0));
    assert_eq!(after, table);
}

/// Three of four backend servers name limits far below their load. Guards against keys that stay where
/// their requests are refused while another one has room.
#[test]
fn keys_follow_named_limits() {
    let limits = [Some(20.0), Some(30.0), Some(10.0), None];
    let load = |limit: Option<f64>| Load {
        health: Health::Ready,
        slots: 18,
        service_ms: 100.0,
        limit: limit.map_or(RateLimit::Unlimited, RateLimit::PerSecond),
        ..Load::default()
    };
    let holders = (0..4).map(|n| Some(member(n, 1.0).holder));
    let before: Vec<_> = holders.clone().map(|h| (h, load(None))).collect();
    let rates = even(200.0);
    let (table, _) = converge(
        AssignmentTable::default(),
        &planner::members(&before),
        &rates,
    );
    let now: Vec<_> = holders.zip(limits.map(load)).collect();
    let members = planner::members(&now);
    let (after, _) = converge(table, &members, &rates);
    for (m, limit) in members.iter().zip(limits) {
        let got = self::load(&after, m, &rates);
        let room = limit.unwrap_or(180.0);
        assert!(got <= 1.3 * room, "{got} of {room}");
    }
}

/// The holder of a key with 60 requests a second names a limit of 10. Guards against refusing five in
/// six of them while another backend server could serve them all, and against a key that moves to and
/// fro.
#[test]
fn hot_key_leaves_a_holder_whose_limit_it_exceeds() {
    let mut members = [member(0, 100.0), member(1, 100.0), member(2, 100.0)];
    let mut rates = even(60.0);
    rates[30_000] = 60.0;
    let (table, _) = converge(AssignmentTable::default(), &members, &rates);
    let hot = |table: &AssignmentTable| table.slice_of(30_000).unwrap().holder.clone().unwrap();
    let holder = hot(&table);
    for m in &mut members {
        (m.capacity, m.limited) = if m.holder == holder {
            (10.0, true)
        } else {
            (100.0, false)
        };
    }
    let (after, _) = converge(table, &members, &rates);
    assert_ne!(hot(&after), holder);
    let limited = members.iter().find(|m| m.holder == holder).unwrap();
    let got = load(&after, limited, &rates);
    assert!(got <= 13.0, "{got}");
}
