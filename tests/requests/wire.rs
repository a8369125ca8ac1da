//! HTTP exchanges of the node with callers and the backend server.

use filbertflow::state::ids;

use crate::caller::{call, raw};
use crate::fake::{Behavior, Fake};
use crate::host::Host;

fn owner() -> (Host, Fake) {
    let fake = Fake::start(|seen| Behavior::Answer(200, format!("{} {}", seen.method, seen.path)));
    let host = Host::start();
    host.announce("walks", fake.addr, 4);
    host.offer_record("walks", Some(host.node.me), 1);
    (host, fake)
}

/// Guards against a request without its fencing token at the backend server, and a response without
/// its outcome.
#[test]
fn request_and_response_carry_their_headers() {
    let (host, fake) = owner();
    let got = call(
        "POST",
        &host.url("/walks/dusk%20walk/seats?n=2"),
        &[("filbert-deadline-ms", "900")],
        "two seats",
    );
    assert_eq!(got.status, 200);
    assert_eq!(got.outcome(), "answered");
    assert_eq!(got.body, "POST /dusk%20walk/seats?n=2");
    let seen = fake.seen().remove(0);
    assert_eq!(seen.body, b"two seats");
    assert_eq!(seen.id(), got.header("filbert-id"));
    assert!(seen.id().parse::<ids::RequestId>().is_ok());
    assert_eq!(seen.headers["filbert-key"], "dusk%20walk");
    assert_eq!(seen.headers["filbert-token"], "1.1");
    assert!(seen.headers.contains_key("filbert-attempt"));
    let left: u64 = seen.headers["filbert-deadline-ms"].parse().unwrap();
    assert!((1..=900).contains(&left), "deadline {left}");
}

/// Guards against different encodings of a key being treated as different keys.
#[test]
fn spellings_of_a_key_are_one_key() {
    let (host, fake) = owner();
    call("GET", &host.url("/walks/a%62c"), &[], "");
    call("GET", &host.url("/walks/abc"), &[], "");
    let keys: Vec<_> = fake
        .seen()
        .iter()
        .map(|s| s.headers["filbert-key"].clone())
        .collect();
    assert_eq!(keys, ["abc", "abc"]);
}

/// Guards against an empty body that is sent as chunked. A server that does not expect chunks leaves
/// them on the connection and closes it on the next request.
#[test]
fn empty_body_has_a_length() {
    let (host, fake) = owner();
    call("POST", &host.url("/walks/k"), &[], "");
    let seen = fake.seen().remove(0);
    assert_eq!(seen.headers["content-length"], "0");
    assert!(!seen.headers.contains_key("transfer-encoding"));
}

macro_rules! refused {
    ($($name:ident: $bytes:expr => $status:literal $reason:literal;)*) => {
        $(
            /// Guards against an invalid request that is run, is not answered, or stops the node.
            #[test]
            fn $name() {
                let (host, fake) = owner();
                let answer = raw(host.caller, $bytes.as_ref());
                let first = answer.lines().next().unwrap_or_default().to_owned();
                assert!(first.contains(concat!(" ", $status, " ")), "{answer:?}");
                assert!(answer.contains($reason), "{answer:?}");
                assert!(fake.seen().is_empty());
                let next = call("GET", &host.url("/walks/k"), &[], "");
                assert_eq!(next.outcome(), "answered");
            }
        )*
    };
}

fn with_body(declared: &str, body: usize) -> Vec<u8> {
    let head = format!("POST /walks/k HTTP/1.1\r\nhost: n\r\n{declared}\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + body, b'x');
    bytes
}

refused! {
    malformed_line_is_refused: b"NONSENSE\r\n\r\n" => "400" "";
    oversized_body_is_refused: with_body("content-length: 1048577", 1_048_577) => "413" "body-too-large";
    absurd_length_is_refused: with_body("content-length: 18446744073709551615", 10) => "413" "body-too-large";
    truncated_body_is_refused: with_body("content-length: 5000", 4000) => "400" "body-truncated";
    truncated_chunks_are_refused: with_body("transfer-encoding: chunked", 100) => "400" "body-truncated";
    oversized_chunks_are_refused: {
        let mut bytes = with_body("transfer-encoding: chunked", 0);
        bytes.extend_from_slice(b"200000\r\n");
        bytes.resize(bytes.len() + 0x0020_0000, b'x');
        bytes.extend_from_slice(b"\r\n0\r\n\r\n");
        bytes
    } => "413" "body-too-large";
    ambiguous_length_is_refused: with_body("content-length: 3\r\ncontent-length: 4", 3) => "400" "length-ambiguous";
    malformed_length_is_refused: with_body("content-length: three", 0) => "400" "length-malformed";
    upgrade_is_refused: with_body("connection: upgrade\r\nupgrade: websocket", 0) => "400" "upgrade-unsupported";
    missing_key_is_refused: b"GET /walks/ HTTP/1.1\r\nhost: n\r\n\r\n" => "400" "key-missing";
    unknown_service_is_refused: b"GET /boats/k HTTP/1.1\r\nhost: n\r\n\r\n" => "404" "service-unknown";
    unknown_route_is_refused: b"PUT /walks/k HTTP/1.1\r\nhost: n\r\n\r\n" => "404" "route-unknown";
    malformed_id_is_refused: with_body("filbert-id: 7", 0) => "400" "id-malformed";
    id_of_another_version_is_refused: with_body("filbert-id: 67e55044-10b1-426f-9247-bb680e5fe0c8", 0) => "400" "id-malformed";
    id_from_the_future_is_refused: with_body("filbert-id: ffffffff-ffff-7fff-bfff-ffffffffffff", 0) => "400" "id-in-future";
    malformed_deadline_is_refused: with_body("filbert-deadline-ms: soon", 0) => "400" "deadline-malformed";
}

/// Guards against losing a thread with each body that is too large to be discarded.
#[test]
fn absurd_lengths_are_refused_again_and_again() {
    let (host, _fake) = owner();
    for _ in 0..10 {
        let answer = raw(
            host.caller,
            &with_body("content-length: 18446744073709551615", 10),
        );
        assert!(answer.contains("body-too-large"), "{answer:?}");
    }
}

/// Guards against a "not run" without a retry delay, or with one rounded down so far that the retry
/// is refused again.
#[test]
fn refusal_tells_when_to_retry() {
    let host = Host::start();
    let got = call(
        "POST",
        &host.url("/walks/k"),
        &[("filbert-deadline-ms", "1500")],
        "",
    );
    assert_eq!(got.status, 503);
    assert_eq!(got.outcome(), "not-run no-owner");
    let ms: u64 = got.header("filbert-retry-after-ms").parse().unwrap();
    let seconds: u64 = got.header("retry-after").parse().unwrap();
    assert!(ms > 0);
    assert_eq!(seconds, ms.div_ceil(1000));
    assert_eq!(host.node.records.all().len(), 0);
}
