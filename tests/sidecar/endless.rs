//! Faulty backend servers that send endless responses until the connection is closed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertflow::protocol::http::BodyLength;
use filbertflow::protocol::mesh::Cause;
use filbertflow::state::clock::Instant;
use filbertflow::state::reservation::Footprint;
use filbertflow::state::routes::Repeat;
use filbertflow::transport::sidecar::backend::{Pool, Request, SendError};
use filbertflow::transport::sidecar::byte_budget::ByteBudget;
use filbertflow::transport::sidecar::socket::Socket;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::{runtime, task, time};

use crate::adapter::Plain;

/// Deadline of a request; an endless response must not extend it.
const DEADLINE: Duration = Duration::from_millis(400);

/// Memory for all responses.
const LIMIT: Footprint = Footprint {
    heap: 256 * 1024,
    mapped: 256 * 1024,
};

/// Maximum duration of a request, including its deadline.
const MAX_DURATION: Duration = Duration::from_millis(600);

/// Bytes that a server sends: a prefix, then a repeated part.
#[derive(Debug, Clone, Copy)]
struct Stream {
    first: &'static str,
    again: &'static str,
    /// Number of copies of `again` per write.
    times: usize,
    pause: Duration,
}

/// Starts a server that never ends its responses; the receiver gets a message when a connection is
/// closed.
async fn endless(stream: Stream) -> (SocketAddr, tokio::sync::mpsc::UnboundedReceiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (closed, closings) = tokio::sync::mpsc::unbounded_channel();
    task::spawn_local(async move {
        while let Ok((mut io, _)) = listener.accept().await {
            let closed = closed.clone();
            task::spawn_local(async move {
                let mut buffer = [0; 4096];
                let _request = io.read(&mut buffer).await;
                let mut sent = io.write_all(stream.first.as_bytes()).await;
                let again = stream.again.repeat(stream.times);
                while sent.is_ok() {
                    time::sleep(stream.pause).await;
                    sent = io.write_all(again.as_bytes()).await;
                }
                closed.send(()).unwrap();
            });
        }
    });
    (address, closings)
}

pub fn run<F: Future<Output = ()>>(test: F) {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    task::LocalSet::new().block_on(&runtime, test);
}

macro_rules! ends {
    ($($(#[$doc:meta])* $name:ident: $first:expr, then $again:expr, $times:literal every $ms:literal ms => $cause:ident;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run(async {
                let stream = Stream {
                    first: $first,
                    again: $again,
                    times: $times,
                    pause: Duration::from_millis($ms),
                };
                let (address, mut closed) = endless(stream).await;
                let pool = Pool::new(Rc::new(Plain));
                let request = Request {
                    id: "7",
                    method: "GET",
                    repeat: Repeat::Once,
                    bytes: b"GET / HTTP/1.1\r\nid: 7\r\n\r\n",
                    body: &[],
                    on_signals: &|_| (),
                };
                let start = Instant::now();
                let got = pool.send(address, &request, start + DEADLINE).await;
                let took = Instant::now().since(start);
                assert_eq!(got.unwrap_err(), SendError::Unknown(Cause::$cause));
                assert!(took < MAX_DURATION, "{took:?}");
                let closed = time::timeout(Duration::from_secs(1), closed.recv()).await;
                assert!(closed.is_ok(), "the connection is still open");
            });
        }
    )*};
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nid: 7\r\nsig: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const LAST_CHUNK: &str =
    "HTTP/1.1 200 OK\r\nid: 7\r\nsig: s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
const EXTENDED_CHUNK: &str =
    "1;x=aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\na\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nid: 7\r\nsig: s\r\n\r\n";
const LONG: &str = "HTTP/1.1 200 OK\r\nid: 7\r\nsig: s\r\nContent-Length: 99999999999\r\n\r\n";
const OTHERS: &str = "HTTP/1.1 200 OK\r\nid: 6\r\nsig: s\r\nContent-Length: 2\r\n\r\nno";

ends! {
    /// Guards against unbounded memory use by an endless header line.
    line_of_a_head: "HTTP/1.1 200 OK\r\nx: ", then "aaaaaaaa", 512 every 1 ms => Garbled;
    /// Guards against unbounded memory use by an endless number of header lines.
    lines_of_a_head: "HTTP/1.1 200 OK\r\n", then "x: a\r\n", 512 every 1 ms => Garbled;
    /// Guards against bytes that are not HTTP.
    no_head: "", then "%%%%%%%%", 512 every 1 ms => Garbled;
    /// Guards against a head that arrives byte by byte without end.
    slow_head: "HTTP/1.1 200 OK\r\nx: ", then "a", 1 every 5 ms => Timeout;
    /// Guards against an endless series of interim responses.
    interim: "", then "HTTP/1.1 102 Wait\r\n\r\n", 8 every 1 ms => Garbled;
    /// Guards against unbounded memory use by a body with a huge stated length.
    length: LONG, then "aaaaaaaa", 512 every 1 ms => Garbled;
    /// Guards against unbounded memory use by an endless chunk size.
    chunk_size: CHUNKED, then "00000000", 512 every 1 ms => Garbled;
    /// Guards against unbounded memory use by a chunk with a huge stated size.
    chunk: CHUNKED, then "fffffff\r\n", 512 every 1 ms => Garbled;
    /// Guards against an endless number of trailer lines behind a body.
    trailers: LAST_CHUNK, then "x: aaaaaaaa\r\n", 512 every 1 ms => Garbled;
    /// Guards against an endless trailer line.
    line_of_a_trailer: LAST_CHUNK, then "aaaaaaaa", 512 every 1 ms => Garbled;
    /// Guards against chunks that consist of little but extensions.
    chunk_extensions: CHUNKED, then EXTENDED_CHUNK, 64 every 1 ms => Garbled;
    /// Guards against an endless series of slow chunks.
    slow_chunks: CHUNKED, then "1\r\na\r\n", 1 every 5 ms => Endless;
    /// Guards against unbounded memory use by an endless body that is delimited by the connection's
    /// end.
    until_close: UNTIL_CLOSE, then "aaaaaaaa", 262_144 every 1 ms => Garbled;
    /// Guards against passing on such a body as a success if it arrives slowly.
    slow_until_close: UNTIL_CLOSE, then "a", 1 every 5 ms => Endless;
    /// Guards against an endless series of responses to other requests.
    others: "", then OTHERS, 4 every 1 ms => Garbled;
}

/// Guards against memory use that grows with the number of requests: eighteen run concurrently on a
/// server with endless bodies.
#[test]
fn bodies_share_one_budget() {
    run(async {
        let stream = Stream {
            first: UNTIL_CLOSE,
            again: "aaaaaaaa",
            times: 4096,
            pause: Duration::ZERO,
        };
        let (address, _closed) = endless(stream).await;
        let budget = ByteBudget::new(LIMIT, 0);
        let reads = (0..18).map(|_| {
            let budget = Rc::clone(&budget);
            async move {
                let mut socket = Socket::connect(address, DEADLINE).await.unwrap();
                socket.write(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
                let head = socket.read_head("GET").await.unwrap();
                assert_eq!(head.body, BodyLength::UntilClose);
                let body = socket.read_body(&head, 1 << 20, &budget).await;
                assert!(body.is_err());
            }
        });
        let all = time::timeout(MAX_DURATION, futures::future::join_all(reads));
        all.await.unwrap();
        assert_eq!(budget.available(), LIMIT);
    });
}
