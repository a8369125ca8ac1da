//! Requests that crash backend servers, as counted by several nodes. The pattern is a poison pill: work
//! that takes down whoever picks it up, and is handed to the next one.

use std::rc::Rc;
use std::thread;
use std::time::Duration;

use filbertflow::coordination::sidecar::isolation::Isolation;
use filbertflow::coordination::sidecar::quarantine::{MAX_CRASHES, Quarantine, Verdict};
use filbertflow::state::clock::Instant;
use filbertflow::state::crash_evidence::CrashEvidence;
use filbertflow::state::fingerprint::Fingerprint;
use filbertflow::state::routes::Repeat;

use crate::links;

const POISON: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);

/// Slots of each backend server, and requests per second for the hot key.
const SLOTS: usize = 9;
const HOT_RATE: u64 = 50;

/// Deadline of a run.
const LEFT: Duration = Duration::from_secs(2);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Returns a node that has seen as many crashes under a request as it takes to refuse it.
fn with_poison(now: Instant) -> Quarantine {
    let mut node = Quarantine::default();
    for life in (0..).take(MAX_CRASHES) {
        node.record_crash(POISON, life, false, SLOTS, now);
    }
    node
}

fn refuses(node: &Quarantine, request: Fingerprint, now: Instant) -> bool {
    matches!(node.check(request, now), Verdict::Refused(_))
}

/// Sends each node's new reports to the others.
fn exchange(nodes: &mut [Quarantine], now: Instant) {
    let reports: Vec<_> = nodes.iter().map(|n| n.reports_after(0)).collect();
    for (i, node) in nodes.iter_mut().enumerate() {
        for (j, reports) in reports.iter().enumerate() {
            if i != j {
                for report in reports {
                    node.apply(*report, now);
                }
            }
        }
    }
}

/// Runs a copy with a permit that crashes its server; returns whether it got one.
fn crash_alone(node: &mut Quarantine, life: u64, now: Instant) -> bool {
    let granted = node.grant(POISON, life, LEFT, now) == Verdict::Ready;
    if granted {
        assert!(node.may_start(POISON, life, now));
        node.record_crash(POISON, life, true, SLOTS, now);
    }
    granted
}

/// Guards against crashes at three nodes that no node counts together.
#[test]
fn crashes_at_different_nodes_add_up() {
    let now = Instant::now();
    let mut nodes: [Quarantine; 4] = Default::default();
    for (life, node) in (0..).zip(nodes.iter_mut().take(MAX_CRASHES)) {
        node.record_crash(POISON, life, false, SLOTS, now);
        assert!(!refuses(node, POISON, now));
    }
    exchange(&mut nodes, now);
    for node in &nodes {
        assert!(refuses(node, POISON, now));
        assert_eq!(node.check(OTHER, now), Verdict::Clear);
    }
}

/// All processes are killed after a trial. Guards against a count that begins anew, and against a trial that
/// comes sooner than the former process would have allowed it.
#[test]
fn restored_evidence_refuses_until_the_next_trial() {
    let now = Instant::now();
    let evidence = CrashEvidence {
        lives: vec![1, 2, 3],
        strikes: 1,
    };
    let mut node = Quarantine::default();
    node.restore(POISON, &evidence, now);
    assert!(refuses(&node, POISON, now + secs(14)));
    assert_eq!(node.check(POISON, now + secs(15)), Verdict::Ready);
    let recordable = node.recordable(now);
    assert_eq!(recordable[0].evidence, evidence);
    // The same record, written again, doesn't postpone the trial.
    node.restore(POISON, &evidence, now + secs(10));
    assert_eq!(node.check(POISON, now + secs(15)), Verdict::Ready);
}

/// One node after the other is restarted and reads the record. Guards against a trial that each restart puts off
/// by its whole delay, at all nodes.
#[test]
fn restarts_do_not_postpone_a_trial() {
    let now = Instant::now();
    let mut nodes: [Quarantine; 2] = Default::default();
    for life in 0..MAX_CRASHES as u64 {
        nodes[0].record_crash(POISON, life, life > 1, SLOTS, now);
    }
    let evidence = nodes[0].recordable(now)[0].evidence.clone();
    for seconds in [5, 10, 14] {
        let now = now + secs(seconds);
        nodes[1] = Quarantine::default();
        nodes[1].restore(POISON, &evidence, now);
        // Each node tells the other one all that it knows, over new connections.
        let reports = [nodes[0].all_reports(now), nodes[1].all_reports(now)];
        for report in &reports[0] {
            nodes[1].apply(*report, now);
        }
        for report in &reports[1] {
            nodes[0].apply(*report, now);
        }
        nodes.reverse();
    }
    for node in &nodes {
        assert!(refuses(node, POISON, now + secs(14)));
        assert_eq!(node.check(POISON, now + secs(15)), Verdict::Ready);
    }
}

/// All processes are killed, so that none knows the time of the next trial. Guards against a trial that is
/// allowed because of what they tell each other.
#[test]
fn restored_nodes_wait_for_the_whole_delay() {
    let now = Instant::now();
    let evidence = CrashEvidence {
        lives: vec![1, 2, 3],
        strikes: 1,
    };
    let mut nodes: [Quarantine; 2] = Default::default();
    for node in &mut nodes {
        node.restore(POISON, &evidence, now);
    }
    let reports = nodes[0].all_reports(now);
    for report in reports {
        nodes[1].apply(report, now);
    }
    assert!(refuses(&nodes[1], POISON, now + secs(14)));
    assert_eq!(nodes[1].check(POISON, now + secs(15)), Verdict::Ready);
}

/// The record of a request reaches a node after the answer that clears it. Guards against a request that is
/// suspected for good because of it.
#[test]
fn late_evidence_does_not_bring_a_cleared_request_back() {
    let now = Instant::now();
    let mut node = Quarantine::default();
    node.record_crash(OTHER, 1, false, SLOTS, now);
    let evidence = node.recordable(now)[0].evidence.clone();
    node.record_answer(OTHER, now);
    node.restore(OTHER, &evidence, now + secs(1));
    assert!(node.is_empty());
    // A process that starts later has the record only.
    node.restore(OTHER, &evidence, now + secs(60));
    assert!(node.contains(OTHER));
}

/// Guards against a request that is refused because one life of a backend server lost its answers.
#[test]
fn one_life_counts_once() {
    let now = Instant::now();
    let mut node = Quarantine::default();
    for _ in 0..2 * MAX_CRASHES {
        node.record_crash(OTHER, 7, false, SLOTS, now);
    }
    assert_eq!(node.check(OTHER, now + secs(1)), Verdict::Ready);
    assert_eq!(node.report_count(), 1);
}

/// Guards against a request that only ran beside the one that crashed the servers.
#[test]
fn answered_request_is_cleared_everywhere() {
    let now = Instant::now();
    let mut nodes: [Quarantine; 3] = Default::default();
    for life in 0..2 {
        nodes[0].record_crash(OTHER, life, false, SLOTS, now);
    }
    exchange(&mut nodes, now);
    assert!(nodes[1].record_answer(OTHER, now));
    exchange(&mut nodes, now);
    assert!(nodes[0].is_empty() && nodes[2].is_empty());
    nodes[0].record_crash(OTHER, 9, false, SLOTS, now);
    assert!(!refuses(&nodes[0], OTHER, now));
}

/// Guards against copies that run side by side after the first crash, at any node.
#[test]
fn one_copy_runs_at_a_time() {
    let now = Instant::now();
    let mut nodes: [Quarantine; 3] = Default::default();
    nodes[0].record_crash(POISON, 1, false, SLOTS, now);
    // A copy that was started before the crash counts as well.
    nodes[2].apply(nodes[0].reports_after(0)[0], now);
    nodes[2].record_running(POISON, 9, LEFT, now);
    // Its report may overtake that of the crash.
    nodes.rotate_left(1);
    exchange(&mut nodes, now);
    nodes.rotate_right(1);
    let now = now + secs(1);
    assert!(matches!(nodes[1].check(POISON, now), Verdict::Busy(_)));
    nodes[2].record_end(POISON, 9, now);
    exchange(&mut nodes, now);
    assert_eq!(nodes[1].grant(POISON, 10, LEFT, now), Verdict::Ready);
    assert!(matches!(
        nodes[1].grant(POISON, 11, LEFT, now),
        Verdict::Busy(_)
    ));
    // The node that runs it tells the others, so that another arbiter knows.
    nodes[2].record_run(POISON, 10, LEFT, now);
    exchange(&mut nodes, now);
    assert!(matches!(
        nodes[0].grant(POISON, 12, LEFT, now),
        Verdict::Busy(_)
    ));
    nodes[2].record_end(POISON, 10, now);
    exchange(&mut nodes, now);
    assert_eq!(nodes[0].grant(POISON, 12, LEFT, now), Verdict::Ready);
}

/// Guards against a permit that outlives the node that got it.
#[test]
fn permit_ends_with_the_deadline() {
    let now = Instant::now();
    let mut node = Quarantine::default();
    node.record_crash(POISON, 1, false, SLOTS, now);
    let now = now + secs(1);
    assert_eq!(node.grant(POISON, 10, LEFT, now), Verdict::Ready);
    let later = now + LEFT;
    assert!(!node.may_start(POISON, 10, later));
    assert_eq!(node.grant(POISON, 11, LEFT, later), Verdict::Ready);
}

/// Two nodes were taken for the arbiter. Guards against both runs, if neither has started.
#[test]
fn all_nodes_keep_the_same_run() {
    let now = Instant::now();
    let mut nodes: [Quarantine; 2] = Default::default();
    nodes[0].record_crash(POISON, 1, false, SLOTS, now);
    exchange(&mut nodes, now);
    let now = now + secs(1);
    nodes[0].record_run(POISON, 10, LEFT, now);
    nodes[1].record_run(POISON, 11, LEFT, now);
    exchange(&mut nodes, now);
    for node in &nodes {
        assert!(node.may_start(POISON, 10, now));
        assert!(!node.may_start(POISON, 11, now));
    }
}

/// Guards against a copy that got a permit, was queued, and starts after others have crashed servers.
#[test]
fn quarantine_ends_a_permit_that_was_not_used() {
    let now = Instant::now();
    let mut node = Quarantine::default();
    node.record_crash(POISON, 1, false, SLOTS, now);
    let now = now + secs(1);
    assert_eq!(node.grant(POISON, 10, LEFT, now), Verdict::Ready);
    for life in 2..4 {
        node.record_crash(POISON, life, false, SLOTS, now);
    }
    assert!(!node.may_start(POISON, 10, now));
}

/// A request that crashes each server comes all the time. Guards against trials that are as frequent as
/// the requests, and against refusals that put a trial off for ever.
#[test]
fn trials_are_rare_and_not_put_off() {
    let start = Instant::now();
    let mut node = Quarantine::default();
    node.record_crash(POISON, 0, false, SLOTS, start);
    let mut runs = Vec::new();
    for tenth in 0..20 * 600 {
        let now = start + Duration::from_millis(100) * tenth;
        if crash_alone(&mut node, u64::from(tenth) + 1, now) {
            runs.push(now.since(start).as_secs());
        }
    }
    assert_eq!(runs, [0, 1, 61, 361, 961]);
}

/// Guards against a request that is refused for long because all copies ran on servers that crashed under
/// something else: one trial has to come within seconds, and its answer clears it.
#[test]
fn innocent_request_is_tried_after_seconds() {
    let now = Instant::now();
    let mut node = with_poison(now);
    assert!(refuses(&node, POISON, now + secs(2)));
    let later = now + secs(3);
    assert_eq!(node.grant(POISON, 1, LEFT, later), Verdict::Ready);
    assert!(refuses(&node, POISON, later));
    assert!(node.record_answer(POISON, later));
    assert_eq!(node.check(POISON, later), Verdict::Clear);
}

/// The server of a hot key goes down under something else and is back after a second, every time; every
/// second time it goes down again at once, under the first copy that has a permit. Guards against requests
/// for the key that are refused for longer than it takes to be back.
#[test]
fn hot_request_of_a_flapping_server_is_served() {
    let start = Instant::now();
    let mut node = Quarantine::default();
    let (mut running, mut refused, mut longest) = (Vec::new(), 0, 0);
    // A run takes two ticks.
    let ups = [3 * HOT_RATE, 1].into_iter().cycle().take(30);
    let phases = ups.flat_map(|ticks| [(true, ticks), (false, HOT_RATE)]);
    let ticks = phases.enumerate().flat_map(|(life, (up, ticks))| {
        let life = life as u64 / 2;
        (0..ticks).map(move |_| (life, up))
    });
    for (tick, (life, up)) in (0..).zip(ticks) {
        let now = start + Duration::from_millis(1000 / HOT_RATE * tick);
        running.retain(|&(begun, alone)| {
            let answered = up && tick >= begun + 2;
            if answered {
                node.record_answer(OTHER, now);
            } else if !up {
                node.record_crash(OTHER, life, alone, SLOTS, now);
            }
            up && !answered
        });
        if !up {
            refused = 0;
            continue;
        }
        match node.grant(OTHER, tick, LEFT, now) {
            Verdict::Clear => running.push((tick, false)),
            Verdict::Ready => running.push((tick, true)),
            Verdict::Busy(_) | Verdict::Refused(_) => refused += 1,
        }
        longest = longest.max(refused);
    }
    assert!(longest <= HOT_RATE / 10, "refused {longest} times in a row");
}

/// Guards against a server that goes down and up within one life and makes every request suspected.
#[test]
fn one_life_makes_as_many_suspects_as_slots() {
    let now = Instant::now();
    let mut node = Quarantine::default();
    for n in 0..1000 {
        node.record_crash(Fingerprint(n), 7, false, SLOTS, now);
    }
    assert_eq!(node.report_count(), SLOTS);
    // The next life, and a request that is suspected already, count in any case.
    assert_eq!(
        node.record_crash(Fingerprint(2000), 8, false, SLOTS, now),
        1
    );
    assert_eq!(node.record_crash(Fingerprint(0), 8, false, SLOTS, now), 2);
}

/// Guards against a node that has started and sends the request again, or runs a copy beside another.
#[test]
fn started_node_learns_all() {
    let now = Instant::now();
    let mut node = with_poison(now);
    for life in [10, 11] {
        node.record_crash(POISON, life, true, SLOTS, now);
    }
    node.record_crash(OTHER, 1, false, SLOTS, now);
    node.record_run(OTHER, 5, LEFT, now);
    let mut started = Quarantine::default();
    for report in node.all_reports(now) {
        started.apply(report, now);
    }
    for request in [POISON, OTHER] {
        assert_eq!(started.check(request, now), node.check(request, now));
    }
    assert!(refuses(&started, POISON, now + secs(59)));
    let later = now + secs(1);
    assert!(matches!(started.check(OTHER, later), Verdict::Busy(_)));
}

/// Guards against a request that is refused for ever, or forgotten before its next trial is due.
#[test]
fn memory_lasts_from_the_last_crash() {
    let start = Instant::now();
    let mut node = with_poison(start);
    for life in 10..20 {
        node.record_crash(POISON, life, true, SLOTS, start);
    }
    assert!(refuses(&node, POISON, start + secs(599)));
    assert_eq!(node.check(POISON, start + secs(600)), Verdict::Ready);
    assert_eq!(node.check(POISON, start + secs(3601)), Verdict::Clear);
    node.prune(start + secs(3601));
    assert!(node.is_empty());
}

/// Guards against memory that grows with the number of requests under which servers broke off.
#[test]
fn memory_is_bounded() {
    let now = Instant::now();
    let mut node = Quarantine::default();
    for n in 0..20_000 {
        node.record_crash(Fingerprint(n), n, false, SLOTS, now);
    }
    // One life and one sum for each request.
    assert!(node.all_reports(now).len() <= 2 * 4096);
    assert!(node.reports_after(0).len() <= 4096);
    assert_eq!(node.report_count(), 20_000);
    assert_eq!(node.reports_after(19_990).len(), 10);
}

/// An ingress sends a request again after a server broke off, before the report of the node beside that
/// server has reached the next one. Guards against a run without a permit there.
#[test]
fn suspicion_goes_ahead_of_the_request() {
    let now = Instant::now();
    let mut nodes: [Quarantine; 2] = Default::default();
    nodes[0].suspect_retry(POISON, now);
    assert!(nodes[0].reports_after(0).is_empty());
    for report in nodes[0].reports_of(POISON, now) {
        nodes[1].apply(report, now);
    }
    for node in &nodes {
        assert_eq!(node.check(POISON, now + secs(1)), Verdict::Ready);
        assert_eq!(node.check(POISON, now + secs(11)), Verdict::Clear);
    }
}

/// Guards against two requests that differ in where one part ends and the next one begins.
#[test]
fn fingerprint_depends_on_each_part() {
    let one = Fingerprint::new("GET", "a", "/x", b"y");
    for other in [
        Fingerprint::new("POST", "a", "/x", b"y"),
        Fingerprint::new("GET", "b", "/x", b"y"),
        Fingerprint::new("GET", "a", "/xy", b""),
        Fingerprint::new("GET", "a", "/x", b"z"),
    ] {
        assert_ne!(one, other);
    }
}

/// A repeatable request runs at the local backend server while another node's crashes under a second copy,
/// and the reply of that node arrives before its report of the crash. Guards against a further copy that is
/// allowed beside the one that runs here.
#[test]
fn copies_of_a_retried_request_are_known() {
    let isolation = Isolation::default();
    let call = Rc::new(links::call(Repeat::Idempotent, 1000));
    let deadline = Instant::now() + Duration::from_secs(5);
    let running = isolation.register(&call, deadline);
    isolation.suspect_retry(&call);
    // The pause after a crash is over.
    thread::sleep(Duration::from_millis(1300));
    assert!(matches!(isolation.check(&call), Verdict::Busy(_)));
    drop(running);
    assert!(!matches!(isolation.check(&call), Verdict::Clear));
}
