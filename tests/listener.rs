//! Listeners for callers and operators with idle connections.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use filbertflow::transport::{admin, caller_listener};

/// Number of listeners per test; the library's fault occurs only if connections arrive while one of
/// the few threads of a new listener wakes up, which happens in about half of the attempts.
const ROUNDS: u8 = 8;

/// Idle connections per round; more than the library has threads.
const IDLE: usize = 8;

/// Time after which a request counts as stuck; one that waits for an idle connection never ends.
const TIMEOUT: Duration = Duration::from_secs(4);

fn free_addr(host: u8) -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 + high % 64, low, host);
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
}

/// Opens idle connections, then sends a request and returns whether it was answered.
fn is_answered(addr: SocketAddr) -> bool {
    let idle: Vec<_> = (0..IDLE)
        .map(|_| TcpStream::connect(addr).unwrap())
        .collect();
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let request = b"GET /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(request).unwrap();
    let answered = stream.read(&mut [0; 16]).is_ok_and(|n| n > 0);
    drop(idle);
    answered
}

macro_rules! listeners {
    ($($name:ident: $start:expr;)*) => {$(
        /// Guards against a request that waits until idle connections are closed.
        #[test]
        fn $name() {
            let stuck = (0..ROUNDS).filter(|i| !is_answered($start(*i))).count();
            assert_eq!(stuck, 0, "of {ROUNDS}");
        }
    )*};
}

fn start_entry(i: u8) -> SocketAddr {
    let started = caller_listener::open(free_addr(1 + i), Box::new(|_| {})).unwrap();
    // A dropped request is answered as not run.
    std::thread::spawn(move || started.requests.iter().for_each(drop));
    started.addr
}

fn start_admin(i: u8) -> SocketAddr {
    let addr = free_addr(101 + i);
    let server = admin::Server::start(addr, |_| admin::Response::error(404, "a")).unwrap();
    // The listener runs until the process ends.
    std::mem::forget(server);
    addr
}

listeners! {
    idle_connections_do_not_hold_up_callers: start_entry;
    idle_connections_do_not_hold_up_operators: start_admin;
}

/// Bytes of a head after which a listener must have closed the connection, with those in the buffers of the
/// system.
const MAX_HEAD_SENT: usize = 64 << 20;

/// Sends a head without end; returns whether the connection was closed before too much was sent.
fn closes_endless_head(addr: SocketAddr) -> bool {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_write_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(b"GET /a HTTP/1.1\r\nx: ").unwrap();
    let piece = [b'a'; 8 * 1024];
    (0..MAX_HEAD_SENT / piece.len()).any(|_| stream.write_all(&piece).is_err())
}

macro_rules! endless_heads {
    ($($name:ident: $start:expr;)*) => {$(
        /// Guards against memory for a head without end.
        #[test]
        fn $name() {
            assert!(closes_endless_head($start(60)));
        }
    )*};
}

endless_heads! {
    endless_head_to_callers_listener: start_entry;
    endless_head_to_admin_listener: start_admin;
}

const ID: &str = "01a2412d-b746-70a0-a0de-2491973393af";

/// Sends a request with an identifier and more header lines; returns the response.
fn refusal(headers: &str) -> String {
    let addr = start_entry(50);
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let head = format!("POST /a/b HTTP/1.1\r\nhost: a\r\nfilbert-id: {ID}\r\n{headers}\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    let mut response = [0; 1024];
    let read = stream.read(&mut response).unwrap();
    String::from_utf8_lossy(&response[..read]).into_owned()
}

macro_rules! refusals {
    ($($name:ident: $headers:expr, $status:literal;)*) => {$(
        /// Guards against a refusal that its caller can't tell from that of another request.
        #[test]
        fn $name() {
            let response = refusal($headers);
            assert!(response.starts_with(concat!("HTTP/1.1 ", $status)), "{response}");
            assert!(response.to_lowercase().contains(&format!("filbert-id: {ID}")), "{response}");
        }
    )*};
}

refusals! {
    refusal_of_a_large_body_bears_the_identifier: "content-length: 5000000\r\n", "413";
    refusal_of_two_lengths_bears_the_identifier: "content-length: 0\r\ncontent-length: 0\r\n", "400";
    refusal_of_an_upgrade_bears_the_identifier: "connection: upgrade\r\nupgrade: x\r\ncontent-length: 0\r\n", "400";
    answer_to_a_dropped_request_bears_the_identifier: "content-length: 0\r\n", "500";
}
