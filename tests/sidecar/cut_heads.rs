//! Responses that break off at any byte, with any framing.

use std::rc::Rc;
use std::time::Duration;

use filbertflow::protocol::mesh::Cause;
use filbertflow::state::clock::Instant;
use filbertflow::state::routes::Repeat;
use filbertflow::transport::sidecar::backend::{Pool, Request, SendError};
use filbertflow::transport::sidecar::socket::Socket;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task;

use crate::adapter::Plain;
use crate::backend::block_on;

/// How a server ends its connection after a part of a response.
#[derive(Debug, Clone, Copy)]
enum End {
    Close,
    /// Closing a socket with unread bytes resets the connection.
    Reset,
}

/// Head of a response that precedes the cut one on the same connection.
const EARLIER: &str = "HTTP/1.1 200 OK\r\nid: 7\r\nsig: s\r\nContent-Length: 2\r\n\r\nok";

/// Limit of one exchange.
const LIMIT: Duration = Duration::from_secs(2);

/// Sends a request to a server that sends `part` and ends the connection; on a kept connection if
/// `kept` is set.
async fn exchange(
    part: &str,
    method: &str,
    end: End,
    kept: bool,
) -> Result<(u16, String), SendError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let part = part.to_owned();
    let serving = task::spawn_local(async move {
        let (mut io, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4096];
        if kept {
            let _n = io.read(&mut buffer).await.unwrap();
            io.write_all(EARLIER.as_bytes()).await.unwrap();
        }
        let size = match end {
            End::Close => buffer.len(),
            End::Reset => 1,
        };
        let _n = io.read(&mut buffer[..size]).await.unwrap();
        io.write_all(part.as_bytes()).await.unwrap();
    });
    let pool = Pool::new(Rc::new(Plain));
    let request = |method, bytes| Request {
        id: "7",
        method,
        repeat: Repeat::Once,
        bytes,
        body: &[],
        on_signals: &|_| (),
    };
    if kept {
        let earlier = request("GET", b"GET / HTTP/1.1\r\nid: 7\r\n\r\n");
        pool.send(address, &earlier, Instant::now() + LIMIT).await?;
    }
    let bytes = format!("{method} / HTTP/1.1\r\nid: 7\r\n\r\n");
    let cut = request(method, bytes.as_bytes());
    let response = pool.send(address, &cut, Instant::now() + LIMIT).await;
    serving.abort();
    response.map(|r| (r.status, String::from_utf8(r.body.to_vec()).unwrap()))
}

/// Asserts that no part of a response counts as the whole one, except one that ends within a body whose
/// end is that of its connection.
fn assert_cuts_are_noticed(head: &'static str, body: &'static str, method: &'static str) {
    let whole = [head, body].concat();
    let framed = head.contains("Content-Length") || head.contains("Transfer-Encoding");
    block_on(async {
        for cut in 0..whole.len() {
            for end in [End::Close, End::Reset] {
                for kept in [false, true] {
                    let outcome = exchange(&whole[..cut], method, end, kept).await;
                    let ends_with_connection = !framed && cut >= head.len();
                    if ends_with_connection && matches!(end, End::Close) {
                        assert!(outcome.is_ok(), "{cut}: {outcome:?}");
                    } else {
                        let broken = Err(SendError::Unknown(Cause::Broken));
                        assert_eq!(outcome, broken, "cut at {cut}, {end:?}, kept: {kept}");
                    }
                }
            }
        }
        let outcome = exchange(&whole, method, End::Close, false).await;
        assert!(
            !matches!(outcome, Err(SendError::Unknown(_))),
            "{outcome:?}"
        );
    });
}

macro_rules! cuts {
    ($($name:ident: $method:literal, $head:expr, $body:expr;)*) => {$(
        /// Guards against a response that breaks off and is passed on as a whole one.
        #[test]
        fn $name() {
            assert_cuts_are_noticed($head, $body, $method);
        }
    )*};
}

cuts! {
    length: "GET", "HTTP/1.1 200 OK\r\nid: 7\r\nsig: s\r\nContent-Length: 10\r\n\r\n", "0123456789";
    length_last: "GET", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nsig: s\r\nid: 7\r\n\r\n", "0123456789ab";
    no_content: "GET", "HTTP/1.1 204 None\r\nid: 7\r\nsig: s\r\nContent-Length: 0\r\n\r\n", "";
    empty: "GET", "HTTP/1.1 200 OK\r\nid: 7\r\nsig: s\r\nContent-Length: 0\r\n\r\n", "";
    head_request: "HEAD", "HTTP/1.1 200 OK\r\nid: 7\r\nsig: s\r\nContent-Length: 10\r\n\r\n", "";
    chunks: "GET", "HTTP/1.1 200 OK\r\nid: 7\r\nsig: s\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\n01234\r\n5;x=y\r\n56789\r\n0\r\n\r\n";
    chunks_with_a_trailer: "GET", "HTTP/1.1 200 OK\r\nid: 7\r\nsig: s\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\n01234\r\n0\r\nsum: 1\r\n\r\n";
    after_an_interim_response: "GET", "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nid: 7\r\nsig: s\r\nContent-Length: 2\r\n\r\n", "ok";
    until_close: "GET", "HTTP/1.1 200 OK\r\nid: 7\r\nsig: s\r\n\r\n", "0123456789";
    until_close_with_connection_close: "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nid: 7\r\nsig: s\r\n\r\n", "0123456789";
    version_1_0: "GET", "HTTP/1.0 200 OK\r\nid: 7\r\nsig: s\r\n\r\n", "0123456789";
    bare_line_feeds: "GET", "HTTP/1.1 200 OK\nid: 7\nsig: s\nContent-Length: 2\n\n", "ok";
    failure: "GET", "HTTP/1.1 500 No\r\nid: 7\r\nsig: s\r\nContent-Length: 2\r\n\r\n", "no";
    refusal: "GET", "HTTP/1.1 503 No\r\nid: 7\r\nrefused: 1\r\nContent-Length: 4\r\n\r\n", "full";
}

/// Guards against a response of the store that breaks off and is taken for a whole one.
#[test]
fn response_of_the_store() {
    const WHOLE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"revision\":1}";
    block_on(async {
        for cut in 0..WHOLE.len() - 1 {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            task::spawn_local(async move {
                let (mut io, _) = listener.accept().await.unwrap();
                io.write_all(&WHOLE.as_bytes()[..cut]).await.unwrap();
            });
            let mut socket = Socket::connect(address, LIMIT).await.unwrap();
            let response = socket.read_response("POST", 1 << 20).await;
            assert!(response.is_err(), "cut at {cut}");
        }
    });
}
