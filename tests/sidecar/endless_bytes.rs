//! Peers that send bytes without end, over each kind of connection that a process opens or accepts.
//!
//! Responses of backend servers are in `endless`.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertflow::protocol::mesh::Frame;
use filbertflow::transport::sidecar::frames;
use filbertflow::transport::sidecar::health::HealthClient;
use filbertflow::transport::sidecar::http_server;
use filbertflow::transport::sidecar::links::Link;
use filbertflow::transport::sidecar::peer_server::PeerServer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::{task, time};

use crate::endless::run;
use crate::links::{DelayHandler, hello};

/// Time within which a connection must be closed that gets bytes as fast as it reads them. All time limits
/// on messages are longer.
const CLOSE_LIMIT: Duration = Duration::from_millis(1500);

/// Time limit of a whole request to the listeners for heartbeats, probes and metrics, and some more.
const SLOW_LIMIT: Duration = Duration::from_secs(7);

/// Trailer lines, and chunks that consist of little but an extension.
const TRAILERS: &str = "x: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";
const CHUNKS: &str =
    "1;x=aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\na\r\n";

/// Sends a prefix and then a part again and again until the connection is closed.
async fn flood(io: &mut TcpStream, first: &str, again: &str, pause: Duration) {
    let again = again.repeat(if pause.is_zero() { 512 } else { 1 });
    let mut sent = io.write_all(first.as_bytes()).await;
    while sent.is_ok() {
        time::sleep(pause).await;
        sent = io.write_all(again.as_bytes()).await;
    }
}

/// Asserts that a listener closes a connection that is flooded.
async fn assert_closes(address: SocketAddr, first: &str, again: &str) {
    let mut io = TcpStream::connect(address).await.unwrap();
    let flooded = flood(&mut io, first, again, Duration::ZERO);
    let ended = time::timeout(CLOSE_LIMIT, flooded).await;
    assert!(ended.is_ok(), "the connection is still open");
}

/// Starts a listener for heartbeats, probes or metrics; returns its address and the number of requests that
/// its handler got.
async fn serve_http() -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Rc::new(Cell::new(0));
    let count = Rc::clone(&requests);
    let handler: http_server::Handler = Rc::new(move |_, _| {
        count.set(count.get() + 1);
        Box::pin(async { (200, Vec::new()) })
    });
    task::spawn_local(http_server::serve(listener, "test", handler));
    (address, requests)
}

macro_rules! closes {
    ($($(#[$doc:meta])* $name:ident: $first:expr, then $again:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run(async {
                let (address, requests) = serve_http().await;
                assert_closes(address, $first, $again).await;
                assert_eq!(requests.get(), 0);
            });
        }
    )*};
}

const CHUNKED: &str = "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
const LAST_CHUNK: &str = "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";

closes! {
    /// Guards against an endless head of a heartbeat, a probe or a read of metrics.
    head_of_a_heartbeat: "PUT / HTTP/1.1\r\n", then "x: a\r\n";
    /// Guards against an endless number of empty lines before a head.
    empty_lines: "", then "\r\n";
    /// Guards against an endless body.
    body_of_a_heartbeat: CHUNKED, then "8\r\naaaaaaaa\r\n";
    /// Guards against an endless number of trailer lines.
    trailers_of_a_heartbeat: LAST_CHUNK, then TRAILERS;
    /// Guards against chunks that consist of little but extensions.
    chunk_extensions_of_a_heartbeat: CHUNKED, then CHUNKS;
}

/// Guards against a request that never ends since each byte of it arrives within the idle timeout.
#[test]
fn slow_heartbeat() {
    run(async {
        let (address, _) = serve_http().await;
        let mut io = TcpStream::connect(address).await.unwrap();
        let pause = Duration::from_millis(50);
        let flooded = flood(&mut io, "PUT / HTTP/1.1\r\nx: ", "a", pause);
        let ended = time::timeout(SLOW_LIMIT, flooded).await;
        assert!(ended.is_ok(), "the connection is still open");
    });
}

/// Starts a server that answers each connection with a prefix and then a part without end; the number of
/// connections that were closed since is in the cell.
async fn flooding_server(first: Vec<u8>, again: &'static [u8]) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let closed = Rc::new(Cell::new(0));
    let count = Rc::clone(&closed);
    task::spawn_local(async move {
        while let Ok((mut io, _)) = listener.accept().await {
            let (count, first) = (Rc::clone(&count), first.clone());
            task::spawn_local(async move {
                let _request = io.read(&mut [0; 4096]).await;
                let mut sent = io.write_all(&first).await;
                let again = again.repeat(512);
                while sent.is_ok() {
                    task::yield_now().await;
                    sent = io.write_all(&again).await;
                }
                count.set(count.get() + 1);
            });
        }
    });
    (address, closed)
}

macro_rules! unhealthy {
    ($($(#[$doc:meta])* $name:ident: $first:expr, then $again:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run(async {
                let first = concat!("HTTP/1.1 200 OK\r\n", $first);
                let (address, _) = flooding_server(first.into(), $again).await;
                let client = HealthClient::default();
                let check = client.get(address, "/", Duration::from_mins(1));
                let checked = time::timeout(CLOSE_LIMIT, check).await;
                checked.expect("the check goes on").unwrap_err();
            });
        }
    )*};
}

unhealthy! {
    /// Guards against an endless head of the answer to a health check.
    head_of_a_health_check: "", then b"x: a\r\n";
    /// Guards against an endless body of it.
    body_of_a_health_check: "\r\n", then b"aaaaaaaa";
    /// Guards against an endless number of trailer lines.
    trailers_of_a_health_check: "Transfer-Encoding: chunked\r\n\r\n0\r\n", then b"x: a\r\n";
    /// Guards against chunks that consist of little but extensions.
    chunk_extensions_of_a_health_check: "Transfer-Encoding: chunked\r\n\r\n", then CHUNKS.as_bytes();
}

/// Returns a frame's bytes with its length.
fn encode(frame: &Frame) -> Vec<u8> {
    let bytes = postcard::to_stdvec(frame).unwrap();
    let length = u32::try_from(bytes.len()).unwrap().to_be_bytes();
    [&length[..], &bytes].concat()
}

fn start_link(address: SocketAddr) -> Rc<Link> {
    let changed = Rc::new(Notify::new());
    Link::start(address, "d", hello("a", 1), changed, Rc::new(|_, _| ()))
}

/// Bytes that begin a frame of 64 MiB, as a server that isn't a node may send them.
const LARGE_FRAME: [u8; 4] = [4, 0, 0, 0];

macro_rules! no_node {
    ($($(#[$doc:meta])* $name:ident: $first:expr, then $again:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run(async {
                let (address, closed) = flooding_server($first, $again).await;
                let link = start_link(address);
                let ended = async {
                    while closed.get() == 0 {
                        time::sleep(Duration::from_millis(5)).await;
                    }
                };
                // Shorter than the time limit of an attempt to connect.
                let ended = time::timeout(Duration::from_millis(500), ended).await;
                assert!(ended.is_ok(), "the connection is still open");
                link.close();
            });
        }
    )*};
}

no_node! {
    /// Guards against a link that takes the bytes of another kind of server for a long frame.
    http_server_at_the_address_of_a_node: b"HTTP/1.1 400 Bad Request\r\n".to_vec(), then b"x: a\r\n";
    /// Guards against memory and time for a first frame that is longer than any handshake.
    large_first_frame_of_a_node: LARGE_FRAME.to_vec(), then b"aaaaaaaa";
    /// Guards against an endless number of frames that only the other side may send.
    frames_in_the_wrong_direction: [encode(&Frame::Hello(hello("b", 1))), encode(&Frame::WantConfig)].concat(), then &[0, 0, 0, 1, 8];
}

/// Guards against a caller's connection to the address for nodes, and a frame that is longer than any
/// handshake.
#[test]
fn large_first_frame_of_a_connection_from_a_node() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = PeerServer::new(Rc::new(DelayHandler::default()), hello("b", 1));
        task::spawn_local(server.accept(listener));
        let first = String::from_utf8(LARGE_FRAME.to_vec()).unwrap();
        assert_closes(address, &first, "aaaaaaaa").await;
        assert_closes(address, "GET / HTTP/1.1\r\n", "x: a\r\n").await;
    });
}

/// Guards against a node that sends frames without end which only the other side may send.
#[test]
fn frames_of_the_wrong_direction_end_a_connection_from_a_node() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = PeerServer::new(Rc::new(DelayHandler::default()), hello("b", 1));
        task::spawn_local(server.accept(listener));
        let io = TcpStream::connect(address).await.unwrap();
        let (mut read, mut write) = frames::split(io).unwrap();
        write.add(&Frame::Hello(hello("c", 1))).unwrap();
        write.add(&Frame::Pong).unwrap();
        write.flush().await.unwrap();
        let ended = async { while matches!(read.next().await, Some(Ok(_))) {} };
        let ended = time::timeout(CLOSE_LIMIT, ended).await;
        assert!(ended.is_ok(), "the connection is still open");
    });
}
