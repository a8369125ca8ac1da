//! What a backend server says of itself in its responses.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use filbertflow::coordination::sidecar::signals::SignalTracker;
use filbertflow::protocol::adapter::Signals;
use filbertflow::protocol::mesh::RateLimit;
use filbertflow::state::clock::Instant;
use filbertflow::state::routes::Repeat;
use filbertflow::transport::sidecar::backend::{Pool, Request};
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
                let signals = Signals { limit: *limit, leaving: false };
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
            let signals = signals.map(|(limit, leaving)| Signals { limit, leaving });
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
