//! Order of the messages of backend servers that were restarted, as a restarted node gets them: by start
//! and sequence number, not by arrival.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertflow::coordination::sidecar::departures::Departed;
use filbertflow::coordination::sidecar::dispatcher::Dispatcher;
use filbertflow::coordination::sidecar::evacuation::Evacuations;
use filbertflow::coordination::sidecar::grant_manager::Incarnation;
use filbertflow::coordination::sidecar::heartbeats::Freshness;
use filbertflow::coordination::sidecar::local_backend::Backend;
use filbertflow::coordination::sidecar::reported_holds;
use filbertflow::metrics::Metrics;
use filbertflow::protocol::adapter::{Hold, Released};
use filbertflow::protocol::mesh::{Health, RateLimit, Reminder};
use filbertflow::state::clock::Instant;
use filbertflow::state::keyspace::Holder;
use tokio::sync::Notify;

use crate::adapter::Plain;

fn holder(backend: &str, born: u64) -> Holder {
    Holder {
        node: "10.0.0.1:7000".to_owned(),
        backend: backend.to_owned(),
        born,
    }
}

macro_rules! starts {
    ($($(#[$doc:meta])* $name:ident: $a:expr, $b:expr => $order:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let (a, b): ((&str, u64), (&str, u64)) = ($a, $b);
            let (a, b) = (holder(a.0, a.1), holder(b.0, b.1));
            let order: Option<Ordering> = $order;
            assert_eq!(a.start_order(&b), order);
            assert_eq!(b.start_order(&a), order.map(Ordering::reverse));
        }
    )*};
}

starts! {
    same_incarnation: ("i", 5), ("i", 5) => Some(Ordering::Equal);
    same_incarnation_without_start: ("i", 0), ("i", 0) => Some(Ordering::Equal);
    next_incarnation_of_an_id: ("i", 5), ("i", 9) => Some(Ordering::Less);
    next_incarnation_with_another_id: ("z", 5), ("a", 9) => Some(Ordering::Less);
    /// Guards against a missing start that counts as the earliest one.
    missing_start: ("i", 0), ("j", 9) => None;
    missing_starts: ("i", 0), ("j", 0) => None;
    equal_starts: ("i", 5), ("j", 5) => None;
}

macro_rules! incarnations {
    ($($(#[$doc:meta])* $name:ident: $holder:expr, $current:expr => $incarnation:ident;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let (id, born) = $holder;
            let current: Option<(&str, u64)> = $current;
            let current = current.map(|(id, born)| holder(id, born));
            let incarnation = Incarnation::of(&holder(id, born), current.as_ref());
            assert_eq!(incarnation, Incarnation::$incarnation);
        }
    )*};
}

incarnations! {
    holder_that_registered: ("i", 5), Some(("i", 5)) => Current;
    holder_of_an_earlier_start: ("i", 5), Some(("i", 9)) => Previous;
    /// A late heartbeat of the earlier incarnation was the first. Guards against revoking the keys of the
    /// later one, which is up.
    holder_of_a_later_start: ("j", 9), Some(("i", 5)) => Unknown;
    holder_of_a_later_start_under_the_same_id: ("i", 9), Some(("i", 5)) => Unknown;
    /// Guards against revoking the keys of a holder that may be the later one.
    holder_without_a_start: ("j", 0), Some(("i", 5)) => Unknown;
    registered_without_a_start: ("j", 9), Some(("i", 0)) => Unknown;
    nobody_registered: ("i", 5), None => Unknown;
}

macro_rules! heartbeats {
    ($($(#[$doc:meta])* $name:ident: $new:expr, $last:expr => $freshness:ident;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let (new, last): ((&str, u64, u64), (&str, u64, u64)) = ($new, $last);
            let (a, b) = (holder(new.0, new.1), holder(last.0, last.1));
            assert_eq!(Freshness::of(&a, new.2, &b, last.2), Freshness::$freshness);
        }
    )*};
}

heartbeats! {
    next_in_sequence: ("i", 5, 8), ("i", 5, 7) => Newer;
    repeated: ("i", 5, 7), ("i", 5, 7) => Repeated;
    late: ("i", 5, 6), ("i", 5, 7) => Repeated;
    /// Guards against ordering incarnations by their sequence numbers, which start anew.
    restarted: ("i", 9, 1), ("i", 5, 700) => Newer;
    late_of_the_incarnation_before: ("i", 5, 701), ("i", 9, 1) => Earlier;
    late_of_another_id_before: ("h", 5, 701), ("i", 9, 1) => Earlier;
    /// Guards against a restarted server without starts that is refused for ever.
    next_id_without_starts: ("j", 0, 1), ("i", 0, 700) => Unordered;
    restarted_without_start: ("i", 0, 1), ("i", 0, 700) => Unordered;
    next_in_sequence_without_start: ("i", 0, 701), ("i", 0, 700) => Newer;
    no_longer_names_its_start: ("j", 0, 1), ("i", 5, 7) => Unordered;
    names_its_start_now: ("j", 5, 1), ("i", 0, 7) => Newer;
}

/// Time at which the leave notices arrive, in Unix milliseconds.
const NOTICE_MS: u64 = 1000;

/// Whether a departure applies to an incarnation: it has left, has ended, or neither.
#[derive(Debug, PartialEq, Eq)]
enum Departure {
    Left,
    Ended,
    None,
}

macro_rules! departures {
    ($($(#[$doc:meta])* $name:ident: $notice:expr, $holder:expr, $age_s:literal => $departure:ident;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let (id, born): (&str, Option<u64>) = $notice;
            let departed = Departed::from_notice(id, born, NOTICE_MS);
            let holder = holder($holder.0, $holder.1);
            let age = Duration::from_secs($age_s);
            let departure = match (departed.succeeds(&holder, age), departed.covers(&holder, age)) {
                (true, _) => Departure::Ended,
                (false, true) => Departure::Left,
                (false, false) => Departure::None,
            };
            assert_eq!(departure, Departure::$departure);
        }
    )*};
}

departures! {
    notice_of_the_incarnation: ("i", Some(5)), ("i", 5), 3 => Left;
    /// Guards against an incarnation that comes back when its record has expired.
    notice_of_the_incarnation_long_ago: ("i", Some(5)), ("i", 5), 3600 => Left;
    /// Guards against a server that is restarted under the same identifier and stays out of use.
    next_incarnation_after_a_notice: ("i", Some(5)), ("i", 9), 3 => None;
    /// Guards against a late heartbeat of an incarnation before the one that has left.
    incarnation_before_the_departed_one: ("j", Some(9)), ("i", 5), 3 => Ended;
    /// Guards against a server that is refused for ever after its clock was set back.
    clock_set_back: ("j", Some(9)), ("i", 5), 60 => None;
    /// Guards against forgetting a notice without a body.
    notice_of_an_id: ("i", None), ("i", 5), 3 => Left;
    notice_of_an_id_and_heartbeat_without_start: ("i", None), ("i", 0), 3 => Left;
    notice_with_a_missing_start: ("i", Some(0)), ("i", 5), 3 => Left;
    /// Guards against a notice that keeps the next incarnation of the identifier out of use.
    incarnation_after_the_notice_of_an_id: ("i", None), ("i", 1001), 3 => None;
    notice_of_an_id_long_ago: ("i", None), ("i", 0), 60 => None;
    notice_of_another_id: ("j", None), ("i", 5), 3 => None;
    starts_are_missing: ("j", Some(9)), ("i", 0), 3 => None;
}

/// Guards against a late notice that takes the place of the record of a later departure.
#[test]
fn later_departure_is_kept() {
    let notice = |id, born| Departed::from_notice(id, born, NOTICE_MS);
    let (first, second) = (notice("i", Some(5)), notice("j", Some(9)));
    assert!(second.is_later_than(&first));
    assert!(!first.is_later_than(&second));
    assert!(!second.is_later_than(&notice("i", None)));
    assert!(!notice("i", None).is_later_than(&second));
}

fn backend(holder: Holder) -> Backend {
    Backend {
        holder,
        sequence: 1,
        service: "walks".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        slots: 4,
        draining_since: None,
        keyed: true,
        warmup_end: Instant::now(),
        last_heartbeat: Instant::now(),
    }
}

/// Another node reminds a restarted one of the limit and the departure of the present incarnation, and a
/// late heartbeat of an earlier one is the first. Guards against forgetting the reminder.
#[test]
fn reminder_outlasts_a_late_heartbeat() {
    let dispatcher = Dispatcher::new(
        Rc::new(Plain),
        Duration::from_secs(2),
        Rc::new(Notify::new()),
        Evacuations::new(Rc::new(Plain), "a", None, Metrics::default()),
        Metrics::default(),
    );
    dispatcher.recall(Reminder {
        holder: holder("j", 9),
        limit: Some(5.0),
        limit_ms: 100,
        leaving_ms: Some(100),
    });
    dispatcher.set_backend(backend(holder("i", 5)));
    assert_eq!(dispatcher.load().limit, RateLimit::Unknown);
    assert_eq!(dispatcher.health(), Health::Ready);
    dispatcher.set_backend(backend(holder("j", 9)));
    assert_eq!(dispatcher.load().limit, RateLimit::PerSecond(5.0));
    assert_eq!(dispatcher.health(), Health::Leaving);
}

/// The store was restored, and a restarted node doesn't know the table. Its first heartbeat is a late one
/// of an earlier incarnation. Guards against a claim that leaves out what the later one holds.
#[test]
fn late_heartbeat_is_no_claim() {
    let hold = Hold {
        from: 0,
        to: 9,
        token: 3,
    };
    let reported = (holder("i", 5), vec![hold]);
    assert_eq!(reported_holds::claimed_slices(Some(&reported), false), None);
    assert_eq!(reported_holds::claimed_slices(None, false), None);
    let claimed = reported_holds::claimed_slices(Some(&reported), true).unwrap();
    let holders: Vec<_> = claimed.into_iter().map(|s| s.holder).collect();
    assert_eq!(holders, [Some(holder("i", 5))]);
    assert_eq!(reported_holds::claimed_slices(None, true), Some(Vec::new()));
}

/// Guards against passing the handover proof of an earlier incarnation on for the ranges of a later one.
#[test]
fn proofs_are_those_of_the_holder() {
    let proof = |text: &str| Released {
        from: 0,
        to: 9,
        handover: text.to_owned(),
    };
    let released = [
        (holder("i", 5), proof("early")),
        (holder("j", 9), proof("late")),
    ];
    let own = reported_holds::released_by(&released, &holder("j", 9));
    assert_eq!(own, [proof("late")]);
}
