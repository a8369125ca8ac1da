//! What a backend server says of itself in its responses.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use filbertflow::coordination::sidecar::signals::SignalTracker;
use filbertflow::protocol::adapter::Signals;
use filbertflow::protocol::mesh::{Health, Load, RateLimit, Reminder};
use filbertflow::state::clock::Instant;
use filbertflow::state::keyspace::Holder;
use filbertflow::state::routes::Repeat;
use filbertflow::transport::sidecar::backend::{Pool, Request};
use filbertflow::transport::sidecar::backend_memory::BackendMemory;
use tokio::{runtime, task};

use crate::adapter::Plain;
use crate::backend::scripted;

/// Response to a request: when that was sent and when the response arrived, in milliseconds, and the
/// limit that it names.
type Step = (u64, u64, RateLimit);

const NO_LIMIT: RateLimit = RateLimit::Unlimited;
const MALFORMED: RateLimit = RateLimit::Unknown;

const fn named(rate: f64) -> RateLimit {
    RateLimit::PerSecond(rate)
}

macro_rules! limits {
    ($($(#[$doc:meta])* $name:ident: $steps:expr => $limit:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let start = Instant::now();
            let at = |ms| start + Duration::from_millis(ms);
            let steps: &[Step] = &$steps;
            let mut tracker = SignalTracker::default();
            for (sent, arrived, limit) in steps {
                let signals = Signals { limit: *limit, ..Signals::default() };
                tracker.record(signals, at(*sent), at(*arrived));
            }
            assert_eq!(tracker.limit(), $limit);
        }
    )*};
}

limits! {
    limit_is_named: [(0, 10, named(5.0))] => named(5.0);
    limit_falls: [(0, 10, named(5.0)), (5, 12, named(2.0))] => named(2.0);
    limit_rises: [(0, 10, named(5.0)), (5, 12, named(9.0))] => named(9.0);
    limit_ends: [(0, 10, named(5.0)), (11, 20, NO_LIMIT)] => NO_LIMIT;
    limit_comes_back: [(0, 10, named(5.0)), (11, 20, NO_LIMIT), (21, 30, named(4.0))] => named(4.0);
    /// Guards against a limit that ends with a response from before it was named.
    slow_earlier_response: [(5, 10, named(5.0)), (0, 20, NO_LIMIT)] => named(5.0);
    /// Guards against a limit that ends with a header that can't be decoded.
    malformed_limit: [(0, 10, named(5.0)), (11, 20, MALFORMED)] => named(5.0);
}

/// Sends a request whose response is `response`; returns the signals that were taken from it.
fn signals_of(response: &'static str) -> Option<Signals> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let seen = Cell::new(None);
    task::LocalSet::new().block_on(&runtime, async {
        let script: &'static [&'static str] = Box::leak(Box::new([response]));
        let scripts: &'static [&'static [&'static str]] = Box::leak(Box::new([script]));
        let address = scripted(scripts).await;
        let request = Request {
            id: "7",
            method: "GET",
            repeat: Repeat::Once,
            bytes: b"GET / HTTP/1.1\r\nid: 7\r\n\r\n",
            body: &[],
            on_signals: &|signals| seen.set(Some(signals)),
        };
        let deadline = Instant::now() + Duration::from_millis(500);
        // Signals count whether or not the response can be passed on.
        let _outcome = Pool::new(Rc::new(Plain))
            .send(address, &request, deadline)
            .await;
    });
    seen.get()
}

macro_rules! responses {
    ($($(#[$doc:meta])* $name:ident: $response:expr => $signals:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let signals: Option<(RateLimit, bool)> = $signals;
            let signals = signals.map(|(limit, leaving)| Signals { limit, leaving, ..Signals::default() });
            assert_eq!(signals_of($response), signals);
        }
    )*};
}

responses! {
    answer: "HTTP/1.1 200 OK\r\nid: 7\r\nsig: s\r\nlimit: 5\r\nleaving: 1\r\nContent-Length: 2\r\n\r\nok" => Some((named(5.0), true));
    plain_answer: "HTTP/1.1 200 OK\r\nid: 7\r\nsig: s\r\nContent-Length: 2\r\n\r\nok" => Some((NO_LIMIT, false));
    failure: "HTTP/1.1 500 No\r\nid: 7\r\nsig: s\r\nlimit: 5\r\nContent-Length: 0\r\n\r\n" => Some((named(5.0), false));
    refusal: "HTTP/1.1 503 No\r\nrefused: 1\r\nlimit: 5\r\nleaving: 1\r\nContent-Length: 0\r\n\r\n" => Some((named(5.0), true));
    /// Guards against a limit that ends with a refusal, which may lack the header.
    plain_refusal: "HTTP/1.1 503 No\r\nrefused: 1\r\nContent-Length: 0\r\n\r\n" => Some((MALFORMED, false));
    /// Guards against signals that are lost because the rest of the response is.
    cut_answer: "HTTP/1.1 200 OK\r\nid: 7\r\nsig: s\r\nlimit: 5\r\nContent-Length: 20\r\n\r\nok" => Some((named(5.0), false));
    /// Guards against a limit that ends with bytes that don't come from the backend server.
    unsigned_answer: "HTTP/1.1 200 OK\r\nid: 7\r\nContent-Length: 2\r\n\r\nok" => None;
    /// Guards against taking the signals of a late copy of an earlier response.
    stray_answer: "HTTP/1.1 200 OK\r\nid: 6\r\nsig: s\r\nleaving: 1\r\nContent-Length: 3\r\n\r\nbad" => None;
}

/// Returns an incarnation; a digit at the end of its identifier is its start, which is 1 otherwise.
fn holder(backend: &str) -> Holder {
    let digit = backend.chars().last().and_then(|c| c.to_digit(10));
    Holder {
        node: "n".to_owned(),
        backend: backend.to_owned(),
        born: digit.unwrap_or(1).into(),
    }
}

/// What a node learns about the backend server beside another node.
enum Lesson {
    /// Load report: incarnation, health and limit.
    Load(&'static str, Health, RateLimit),
    /// Response: incarnation, limit and whether it is leaving.
    Response(&'static str, RateLimit, bool),
}

/// Returns what a node reminds a restarted one of: limit, and time since the departure.
fn remembered(lessons: &[Lesson]) -> Option<(String, Option<f64>, Option<u32>)> {
    let start = Instant::now();
    let mut memory = BackendMemory::default();
    let mut now = start;
    for lesson in lessons {
        now = now + Duration::from_secs(1);
        match lesson {
            Lesson::Load(backend, health, limit) => {
                let load = Load {
                    health: *health,
                    limit: *limit,
                    ..Load::default()
                };
                memory.record_load(&holder(backend), &load, now);
            }
            Lesson::Response(backend, limit, leaving) => {
                let signals = Signals {
                    limit: *limit,
                    leaving: *leaving,
                    ..Signals::default()
                };
                memory.record_response(&holder(backend), signals, now);
            }
        }
    }
    let reminder = memory.reminder(now)?;
    Some((reminder.holder.backend, reminder.limit, reminder.leaving_ms))
}

macro_rules! memories {
    ($($(#[$doc:meta])* $name:ident: $lessons:expr => $expected:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let expected: Option<(&str, Option<f64>, Option<u32>)> = $expected;
            let expected = expected.map(|(id, limit, ms)| (id.to_owned(), limit, ms));
            assert_eq!(remembered(&$lessons), expected);
        }
    )*};
}

memories! {
    nothing_to_remember: [Lesson::Load("a", Health::Ready, NO_LIMIT)] => None;
    limit_from_a_report: [Lesson::Load("a", Health::Ready, named(5.0))] => Some(("a", Some(5.0), None));
    limit_from_a_response: [Lesson::Response("a", named(5.0), false)] => Some(("a", Some(5.0), None));
    limit_ended: [Lesson::Load("a", Health::Ready, named(5.0)), Lesson::Load("a", Health::Ready, NO_LIMIT)] => None;
    /// Guards against a limit that is forgotten because the new process reports before it is reminded.
    limit_of_a_new_process: [
        Lesson::Load("a", Health::Ready, named(5.0)), Lesson::Load("a", Health::Ready, RateLimit::Unknown)
    ] => Some(("a", Some(5.0), None));
    /// Guards against a limit that ends with a response from before it was named.
    response_without_limit: [
        Lesson::Load("a", Health::Ready, named(5.0)), Lesson::Response("a", NO_LIMIT, false)
    ] => Some(("a", Some(5.0), None));
    /// Guards against a departure that is forgotten because the new process reports the server as ready,
    /// and against a drain that starts anew.
    departure: [
        Lesson::Response("a", NO_LIMIT, true), Lesson::Load("a", Health::Leaving, NO_LIMIT),
        Lesson::Load("a", Health::Ready, RateLimit::Unknown)
    ] => Some(("a", None, Some(2000)));
    /// Guards against a limit and a departure that are taken for those of the next incarnation.
    next_incarnation: [
        Lesson::Response("a", named(5.0), true), Lesson::Load("b", Health::Ready, RateLimit::Unknown)
    ] => None;
    /// A restarted node takes a late heartbeat of the earlier incarnation for the present one. Guards
    /// against forgetting what the later one has said.
    late_report_of_the_incarnation_before: [
        Lesson::Load("b2", Health::Leaving, named(5.0)), Lesson::Load("a", Health::Ready, RateLimit::Unknown)
    ] => Some(("b2", Some(5.0), Some(1000)));
    late_response_of_the_incarnation_before: [
        Lesson::Response("b2", named(5.0), false), Lesson::Response("a", named(9.0), true)
    ] => Some(("b2", Some(5.0), None));
    later_incarnation: [
        Lesson::Response("a", named(9.0), true), Lesson::Response("b2", named(5.0), false)
    ] => Some(("b2", Some(5.0), None));
}

fn reminder(limit: f64, limit_ms: u32) -> Reminder {
    Reminder {
        holder: holder("a"),
        limit: Some(limit),
        limit_ms,
        leaving_ms: None,
    }
}

/// Two nodes remember different limits. Guards against taking the older one, and against taking either
/// in place of what a response to this process has said.
#[test]
fn latest_reminder_counts_until_a_response() {
    let now = Instant::now() + Duration::from_mins(1);
    let mut tracker = SignalTracker::default();
    tracker.recall(&reminder(5.0, 3000), now);
    tracker.recall(&reminder(9.0, 1000), now);
    tracker.recall(&reminder(7.0, 2000), now);
    assert_eq!(tracker.limit(), named(9.0));
    let none = Signals {
        limit: NO_LIMIT,
        ..Signals::default()
    };
    tracker.record(none, now, now);
    tracker.recall(&reminder(9.0, 0), now);
    assert_eq!(tracker.limit(), NO_LIMIT);
}
