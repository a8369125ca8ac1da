//! Servers that answer `filbertflow-node` and the commands with bytes without end.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use filbertflow::transport::{admin_client, error, platform};

const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const REJECTED: &str = "HTTP/1.1 400 Bad Request\r\n\r\n";

/// Starts a server that answers each connection with a prefix and then a part until it is closed.
fn serve(first: &'static str, again: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for io in listener.incoming() {
            let mut io = io.unwrap();
            let _request = io.read(&mut [0; 4096]);
            let mut sent = io.write_all(first.as_bytes());
            let again = again.repeat(64 * 1024 / again.len());
            while sent.is_ok() {
                sent = io.write_all(again.as_bytes());
            }
        }
    });
    address
}

/// Asserts that a call ended because of the size of its response, not at its time limit.
fn assert_too_large<T: std::fmt::Debug>(result: Result<T, error::Error>) {
    let error = result.unwrap_err().to_string();
    assert!(error.contains("too large"), "{error}");
}

macro_rules! answers {
    ($($(#[$doc:meta])* $name:ident: $first:ident, then $again:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let address = serve($first, $again);
            assert_too_large(admin_client::metrics(address));
            let runtime = tokio::runtime::Runtime::new().unwrap();
            let client = platform::Client::new(address);
            assert_too_large(runtime.block_on(client.get("key")));
        }
    )*};
}

answers! {
    /// Guards against memory for a body that is delimited by the end of the connection.
    until_close: UNTIL_CLOSE, then "a".repeat(4096);
    /// Guards against memory for a body without an end in chunks.
    chunks: CHUNKED, then format!("1000\r\n{}\r\n", "a".repeat(4096));
    /// Guards against memory for the text of a rejection.
    rejection: REJECTED, then "a".repeat(4096);
}
