//! Copies of earlier refusals, which a faulty backend server sends again on a kept connection.

use std::rc::Rc;
use std::time::Duration;

use filbertflow::protocol::mesh::Cause;
use filbertflow::state::clock::Instant;
use filbertflow::state::routes::Repeat;
use filbertflow::transport::sidecar::backend::{Pool, Request, SendError};
use tokio::time;

use crate::adapter::Plain;
use crate::backend::{block_on, scripted};

type Outcome = Result<(u16, String), SendError>;

/// Sends requests `1`, `2` and so on one after the other to a server whose connections follow `scripts`.
fn send_all(scripts: &'static [&'static [&'static str]], repeats: &[Repeat]) -> Vec<Outcome> {
    block_on(async {
        let address = scripted(scripts).await;
        let pool = Pool::new(Rc::new(Plain));
        let mut all = Vec::new();
        for (n, repeat) in (1..).zip(repeats) {
            let id = format!("{n}");
            let bytes = format!("GET / HTTP/1.1\r\nid: {id}\r\n\r\n");
            let request = Request {
                id: &id,
                method: "GET",
                repeat: *repeat,
                bytes: bytes.as_bytes(),
                body: &[],
                on_signals: &|_| (),
            };
            let deadline = Instant::now() + Duration::from_millis(300);
            let response = pool.send(address, &request, deadline).await;
            all.push(response.map(|r| (r.status, String::from_utf8(r.body.to_vec()).unwrap())));
            time::sleep(Duration::from_millis(20)).await;
        }
        all
    })
}

const FIRST: &str = "HTTP/1.1 200 OK\r\nid: 1\r\nsig: s\r\nContent-Length: 2\r\n\r\nok";
const THIRD: &str = "HTTP/1.1 200 OK\r\nid: 3\r\nsig: s\r\nContent-Length: 2\r\n\r\nok";

macro_rules! copies {
    ($($name:ident: $copy:expr;)*) => {
        /// The copy arrives while the next request runs, which ends with its own response. Guards
        /// against reporting that request as not run.
        mod before_the_response {
            use super::*;
            $(
                #[test]
                fn $name() {
                    const SCRIPTS: &[&[&str]] = &[&[FIRST, concat!($copy, "HTTP/1.1 200 OK\r\nid: 2\r\nsig: s\r\nContent-Length: 2\r\n\r\nok")]];
                    for repeat in [Repeat::Once, Repeat::Idempotent] {
                        let all = send_all(SCRIPTS, &[repeat; 2]);
                        assert_eq!(all[1], Ok((200, "ok".to_owned())), "{repeat:?}");
                    }
                }
            )*
        }

        /// The copy arrives while the next request runs, whose own response is lost. Guards against
        /// reporting that request as not run.
        mod without_the_response {
            use super::*;
            $(
                #[test]
                fn $name() {
                    const SCRIPTS: &[&[&str]] = &[&[FIRST, $copy]];
                    for repeat in [Repeat::Once, Repeat::Idempotent] {
                        let all = send_all(SCRIPTS, &[repeat; 2]);
                        assert!(matches!(all[1], Err(SendError::Unknown(_))), "{repeat:?}: {:?}", all[1]);
                    }
                }
            )*
        }

        /// The copy arrives after the response, before or with the next request. Guards against
        /// reporting the next request as not run.
        mod after_the_response {
            use super::*;
            $(
                #[test]
                fn $name() {
                    const SCRIPTS: &[&[&str]] = &[
                        &[FIRST, concat!("HTTP/1.1 200 OK\r\nid: 2\r\nsig: s\r\nContent-Length: 2\r\n\r\nok", $copy)],
                        &[THIRD],
                    ];
                    for repeat in [Repeat::Once, Repeat::Idempotent] {
                        let all = send_all(SCRIPTS, &[repeat; 3]);
                        assert_eq!(all[1..], [Ok((200, "ok".to_owned())), Ok((200, "ok".to_owned()))], "{repeat:?}");
                    }
                }
            )*
        }
    };
}

copies! {
    without_an_identifier: "HTTP/1.1 503 No\r\nrefused: 1\r\nContent-Length: 0\r\n\r\n";
    with_an_earlier_identifier: "HTTP/1.1 503 No\r\nid: 1\r\nrefused: 1\r\nContent-Length: 0\r\n\r\n";
    with_an_unknown_identifier: "HTTP/1.1 503 No\r\nid: 0\r\nrefused: 1\r\nContent-Length: 0\r\n\r\n";
    twice: "HTTP/1.1 503 No\r\nid: 1\r\nrefused: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 No\r\nrefused: 1\r\nContent-Length: 0\r\n\r\n";
    with_a_body: "HTTP/1.1 503 No\r\nid: 1\r\nrefused: 1\r\nContent-Length: 4\r\n\r\nfull";
    in_chunks: "HTTP/1.1 503 No\r\nid: 1\r\nrefused: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n";
    of_another_status: "HTTP/1.1 429 No\r\nrefused: 1\r\nContent-Length: 0\r\n\r\n";
    unsigned_with_no_mark: "HTTP/1.1 503 No\r\nid: 1\r\nContent-Length: 0\r\n\r\n";
    unsigned_with_no_mark_and_no_identifier: "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
    after_an_interim_response: "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 503 No\r\nid: 1\r\nrefused: 1\r\nContent-Length: 0\r\n\r\n";
}

/// Guards against a refusal that is taken from a kept connection by the repetition of its request.
#[test]
fn connection_of_a_refusal_is_not_used_again() {
    const REFUSED: &str = "HTTP/1.1 503 No\r\nid: 2\r\nrefused: 1\r\nContent-Length: 0\r\n\r\n";
    let scripts: &[&[&str]] = &[&[FIRST, REFUSED, REFUSED], &[THIRD]];
    let all = send_all(scripts, &[Repeat::Idempotent; 3]);
    assert_eq!(all[1], Err(SendError::NotRun(Cause::Shed)));
    assert_eq!(all[2], Ok((200, "ok".to_owned())));
}

macro_rules! unsigned {
    ($($name:ident: $status:literal;)*) => {$(
        /// Guards against passing on a status that promises that the request hasn't run, from a response
        /// that neither says so nor bears the backend server's signature.
        #[test]
        fn $name() {
            const SCRIPTS: &[&[&str]] = &[&[concat!("HTTP/1.1 ", $status, " No\r\nid: 1\r\nContent-Length: 0\r\n\r\n")]];
            let all = send_all(SCRIPTS, &[Repeat::Once]);
            assert_eq!(all[0], Err(SendError::Unknown(Cause::Garbled)));
        }
    )*};
}

unsigned! {
    unsigned_503: "503";
    unsigned_429: "429";
}
