//! Evacuations: order of updates, start of a process, and the keys of a quarter of the servers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertflow::coordination::sidecar::dispatcher::Dispatcher;
use filbertflow::coordination::sidecar::evacuation::{EvacuationState, Evacuations, START_LIMIT};
use filbertflow::coordination::sidecar::local_backend::Backend;
use filbertflow::coordination::sidecar::plan::{self, Change, Member};
use filbertflow::metrics::Metrics;
use filbertflow::protocol::adapter::Item;
use filbertflow::protocol::mesh::{Cause, EvacuatedDomain, EvacuationSet, Frame, Outcome};
use filbertflow::state::clock::Instant;
use filbertflow::state::keyspace::{AssignmentTable, Holder, KEY_COUNT, Slice};
use filbertflow::state::routes::Repeat;
use filbertflow::state::store_revision::{Era, Revision};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::{task, time};

use crate::adapter::Plain;
use crate::{backend, links};

/// Bound of the deployments.
const BOUND: Duration = Duration::from_secs(5);

/// Update of a state.
enum Update {
    /// Complete read at a revision of an era.
    Read(u64, u64, &'static [&'static str]),
    /// Event of an era: revision, domain, whether it is evacuated.
    Event(u64, u64, &'static str, bool),
    /// Copy of another node.
    Copy(u64, u64, &'static [&'static str]),
}
use Update::{Copy, Event, Read};

fn revision(era: u64, number: u64) -> Revision {
    Revision::new(Era(era), number)
}

fn set(as_of: Revision, names: &[&str], age_ms: Option<u32>) -> EvacuationSet {
    let domain = |name: &&str| EvacuatedDomain {
        name: (*name).to_owned(),
        age_ms,
    };
    EvacuationSet {
        as_of,
        domains: names.iter().map(domain).collect(),
    }
}

fn apply(updates: &[Update]) -> EvacuationState {
    let mut state = EvacuationState::default();
    let now = Instant::now();
    for update in updates {
        match update {
            Read(era, number, names) => {
                state.apply_snapshot(names, revision(*era, *number), now);
            }
            Event(era, number, name, evacuated) => {
                state.apply_events(&[(*number, name, *evacuated)], Era(*era), now);
            }
            Copy(era, number, names) => {
                state.apply_remote(set(revision(*era, *number), names, Some(0)), now);
            }
        }
    }
    state
}

macro_rules! orders {
    ($($name:ident: $updates:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let state = apply(&$updates);
            let names: Vec<_> = state.domains().keys().map(String::as_str).collect();
            let expected: &[&str] = &$expected;
            assert_eq!(names, expected);
        }
    )*};
}

orders! {
    event_evacuates: [Read(0, 5, &[]), Event(0, 7, "a", true)] => ["a"];
    event_ends: [Read(0, 5, &["a", "b"]), Event(0, 7, "a", false)] => ["b"];
    read_ends: [Read(0, 5, &["a"]), Read(0, 9, &[])] => [];
    copy_ends: [Read(0, 5, &["a"]), Copy(0, 9, &[])] => [];
    new_era_ends: [Read(0, 50, &["a"]), Read(1, 9, &[])] => [];
    copy_of_a_new_era_ends: [Read(0, 50, &["a"]), Copy(1, 9, &[])] => [];
    late_event_does_not_evacuate: [Read(0, 9, &[]), Event(0, 7, "a", true)] => [];
    late_event_does_not_end: [Read(0, 9, &["a"]), Event(0, 7, "a", false)] => ["a"];
    late_read_does_not_evacuate: [Read(0, 9, &[]), Read(0, 7, &["a"])] => [];
    late_copy_does_not_evacuate: [Read(0, 5, &["a"]), Event(0, 9, "a", false), Copy(0, 7, &["a"])] => [];
    late_copy_does_not_end: [Read(0, 5, &[]), Event(0, 9, "a", true), Copy(0, 7, &[])] => ["a"];
    earlier_era_does_not_evacuate: [Read(1, 9, &[]), Copy(0, 90, &["a"]), Event(0, 91, "b", true)] => [];
    later_era_does_not_begin_with_an_event: [Read(0, 9, &["a"]), Event(1, 10, "a", false)] => ["a"];
    repeated_event_changes_nothing: [Read(0, 5, &[]), Event(0, 7, "a", true), Event(0, 8, "a", false), Event(0, 7, "a", true)] => [];
}

/// Guards against a node that never learns what it has missed, and against requests to a node that
/// knows nothing else.
#[test]
fn behind_only_with_another_content() {
    let missed = apply(&[Read(0, 5, &["a"])]);
    let mut stale = apply(&[Read(0, 5, &["a"])]);
    let fresh = apply(&[Read(0, 9, &[])]).digest().unwrap();
    assert!(stale.is_behind(fresh));
    assert!(!apply(&[Read(0, 9, &[])]).is_behind(missed.digest().unwrap()));
    assert!(EvacuationState::default().is_behind(fresh));
    let mut same = apply(&[Read(0, 5, &[])]);
    assert!(!same.is_behind(fresh));
    assert_eq!(same.digest(), Some(fresh), "the revision is taken over");
}

fn evacuations(bound: Option<Duration>) -> Rc<Evacuations> {
    Evacuations::new(Rc::new(Plain), "a", bound, Metrics::default())
}

fn item(key: &str) -> Item {
    Item {
        key: key.to_owned(),
        value: b"not JSON".to_vec(),
        revision: 3,
    }
}

/// Guards against a process that starts in an evacuated domain and serves before it knows, and against
/// one that stays refusing without store and peers.
#[test]
fn starting_process_refuses_until_it_knows() {
    let all = evacuations(Some(BOUND));
    let now = Instant::now();
    assert_eq!(all.check_local(false, now), Err(Cause::Evacuated));
    assert_eq!(all.check_local(true, now + START_LIMIT), Ok(()));
    all.apply_snapshot(&[item("config")], revision(0, 4));
    assert_eq!(all.check_local(false, now), Ok(()));
    // The evacuation may have begun long before this process.
    let all = evacuations(Some(BOUND));
    all.apply_snapshot(&[item("out/a"), item("out/b")], revision(0, 4));
    assert_eq!(all.check_local(true, now), Err(Cause::Evacuated));
    assert!(all.is_evacuated("b") && !all.is_evacuated("c"));
    let peer = evacuations(Some(BOUND));
    peer.apply_remote(set(revision(0, 9), &[], None));
    assert_eq!(peer.check_local(false, now), Ok(()));
}

/// Guards against keyed servers that stop before their keys have moved, or go on after the bound when a
/// node learns late of the evacuation.
#[test]
fn keyed_servers_go_on_for_half_the_bound() {
    let all = evacuations(Some(BOUND));
    all.apply_snapshot(&[], revision(0, 4));
    all.apply_remote(set(revision(0, 9), &["a"], Some(1000)));
    let now = Instant::now();
    assert_eq!(all.check_local(false, now), Err(Cause::Evacuated));
    assert_eq!(all.check_local(true, now), Ok(()));
    let end = now + Duration::from_millis(1500);
    assert_eq!(all.check_local(true, end), Err(Cause::Evacuated));
    // Another node knows of an earlier beginning, and one doesn't know.
    all.apply_remote(set(revision(0, 9), &["a"], None));
    assert_eq!(all.check_local(true, now), Ok(()));
    all.apply_remote(set(revision(0, 9), &["a"], Some(2600)));
    assert_eq!(all.check_local(true, now), Err(Cause::Evacuated));
}

/// Starts a server that answers each request once `release` is notified.
async fn held_back(release: Rc<Notify>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn_local(async move {
        loop {
            let (mut io, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 4096];
            while io.read(&mut buffer).await.unwrap_or(0) > 0 {
                release.notified().await;
                let answer = b"HTTP/1.1 200 OK\r\nid: 1\r\nsig: x\r\nContent-Length: 0\r\n\r\n";
                io.write_all(answer).await.unwrap();
            }
        }
    });
    address
}

/// Guards against new and queued requests that reach the server of an evacuated domain although other
/// nodes send them, a running one that is cut off, and a server that isn't usable afterwards.
#[test]
fn dispatcher_refuses_new_and_queued_requests() {
    backend::block_on(async {
        let release = Rc::new(Notify::new());
        let all = evacuations(Some(BOUND));
        all.apply_snapshot(&[], revision(0, 4));
        let dispatcher = Dispatcher::new(
            Rc::new(Plain),
            BOUND,
            Rc::default(),
            Rc::clone(&all),
            Metrics::default(),
        );
        let now = Instant::now();
        dispatcher.set_backend(Backend {
            holder: Holder {
                node: "n".to_owned(),
                backend: "i".to_owned(),
                born: 1,
            },
            sequence: 1,
            service: "s".to_owned(),
            address: held_back(Rc::clone(&release)).await,
            slots: 1,
            draining_since: None,
            keyed: false,
            warmup_end: now,
            last_heartbeat: now,
        });
        let start = || {
            let call = links::call(Repeat::Once, 5000);
            task::spawn_local(dispatcher.create_job(call).outcome)
        };
        let refused =
            |outcome: Outcome| matches!(outcome, Outcome::NotRun(f) if f.cause == Cause::Evacuated);
        let [running, queued] = [start(), start()];
        while dispatcher.load().queued == 0 {
            task::yield_now().await;
        }
        all.apply_remote(set(revision(0, 9), &["a"], Some(0)));
        dispatcher.refuse_evacuated();
        assert!(refused(queued.await.unwrap()), "queued");
        assert!(refused(start().await.unwrap()), "new");
        release.notify_one();
        let answered = |outcome: Outcome| matches!(outcome, Outcome::Answered(_));
        assert!(answered(running.await.unwrap()), "running");
        all.apply_remote(set(revision(0, 10), &[], None));
        release.notify_one();
        assert!(answered(start().await.unwrap()), "afterwards");
    });
}

/// Guards against a request for the evacuations of another node that it doesn't answer.
#[test]
fn state_is_sent_on_request() {
    links::run(|fixture| async move {
        fixture.link.send(Frame::WantEvacuations);
        let sent = async {
            loop {
                if let Some(set) = fixture.link.take_evacuations() {
                    return set;
                }
                time::sleep(Duration::from_millis(5)).await;
            }
        };
        let sent = time::timeout(BOUND, sent).await;
        assert_eq!(sent.unwrap(), set(revision(0, 9), &[], None));
    });
}

/// Guards against effects in deployments without evacuations.
#[test]
fn nothing_happens_without_a_bound() {
    let all = evacuations(None);
    assert_eq!(all.watch_prefix(), "config");
    all.apply_snapshot(&[item("out/a")], revision(0, 4));
    all.apply_remote(set(revision(0, 9), &["a"], Some(1000)));
    assert_eq!(all.check_local(false, Instant::now()), Ok(()));
    assert!(all.digest().is_none() && all.is_empty());
    let other = apply(&[Read(0, 9, &["a"])]).digest();
    assert!(!all.is_behind(other));
    assert_eq!(evacuations(Some(BOUND)).watch_prefix(), "");
}

/// Completes a plan; returns the number of its changes.
fn complete(table: &mut AssignmentTable, changes: &[Change]) -> usize {
    for change in changes {
        change.apply(table);
        if let Change::Move(from, to, source, _) = change {
            table.release(*from, *to, source, "proof");
        }
    }
    table.check().unwrap();
    changes.len()
}

/// Servers in four domains, half of them with half the capacity, serve 70% of what three domains can.
/// Guards against a quarter of the keys that needs more than one round of moves (0.4 s and two heartbeats
/// of 0.87 s each, of 2.5 s), keys left behind or moved within the domain, receivers that aren't chosen
/// by capacity, and more ranges than a heartbeat's answer fits.
fn move_a_quarter(servers: u16) {
    let member = |n: u16| Member {
        holder: Holder {
            node: format!("10.0.{}.{n}:1", n % 4),
            backend: format!("i-{n}"),
            born: 1,
        },
        capacity: if (n / 4).is_multiple_of(2) {
            50.0
        } else {
            100.0
        },
        limited: false,
        accepts: true,
        keeps: true,
    };
    let mut members: Vec<_> = (0..servers).map(member).collect();
    let evacuated = |m: &Member| m.holder.node.starts_with("10.0.0.");
    let left = f32::from(servers) * 0.75 * 75.0;
    let rate = 0.7 * left / KEY_COUNT as f32;
    let rates = vec![rate; KEY_COUNT];
    let mut table = AssignmentTable::default();
    let first = plan::plan(&table, &members, &rates);
    complete(&mut table, &first);
    let keys = |table: &AssignmentTable, m: &Member| -> usize {
        table.held_by(&m.holder).map(Slice::len).sum()
    };
    let held = members.iter().filter(|m| evacuated(m));
    let before: usize = held.map(|m| keys(&table, m)).sum();
    assert!((15_000..18_000).contains(&before), "{before}");
    let all = evacuations(Some(BOUND));
    all.apply_remote(set(revision(0, 9), &["0"], Some(0)));
    let domain = |node: &str| node.split('.').nth(2).map(str::to_owned);
    let excluded = all.exclude(&mut members, domain);
    assert_eq!(excluded.len(), usize::from(servers / 4));
    let changes = plan::plan_evacuation(&table, &members, &rates);
    complete(&mut table, &changes);
    for m in &members {
        let utilization = keys(&table, m) as f64 * f64::from(rate) / m.capacity;
        let expected = if evacuated(m) { 0.0..0.01 } else { 0.6..0.8 };
        assert!(expected.contains(&utilization), "{utilization}");
        assert!(table.held_by(&m.holder).count() <= 20);
    }
    let second = plan::plan_evacuation(&table, &members, &rates);
    assert!(second.is_empty(), "a second round: {second:?}");
}

macro_rules! quarters {
    ($($name:ident: $servers:expr;)*) => {$(
        #[test]
        fn $name() {
            move_a_quarter($servers);
        }
    )*};
}

quarters! {
    quarter_of_16_servers: 16;
    quarter_of_64_servers: 64;
}
