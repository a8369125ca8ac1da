//! Refusals of the backend server.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use filbertflow_standins::backend::{fence, mode, requests, server};
use filbertflow_standins::{http, journal};

const ID: &str = "0190a000-0000-7000-8000-000000000001";

/// Sends a request to a server without slots or grants; returns the head of the response.
fn response(headers: &str) -> String {
    let server = Arc::new(server::Server {
        journal: journal::Journal::open("a".to_owned(), None).unwrap(),
        mode: mode::ModeState::new(1),
        fence: fence::Fence::new(true),
        requests: requests::RequestTracker::new(0, Duration::ZERO),
    });
    let listener = http::listen(([127, 0, 0, 1], 0).into()).unwrap();
    let address = listener.server_addr().to_ip().unwrap();
    thread::spawn(move || {
        http::serve_concurrently(&listener, move |request| server.handle(request));
    });
    let mut io = TcpStream::connect(address).unwrap();
    let text = format!(
        "GET /walks HTTP/1.1\r\nhost: a\r\nconnection: close\r\nfilbert-id: {ID}\r\n{headers}\r\n"
    );
    io.write_all(text.as_bytes()).unwrap();
    let mut response = String::new();
    io.read_to_string(&mut response).unwrap();
    response.to_lowercase()
}

macro_rules! refusals {
    ($($(#[$doc:meta])* $name:ident: $headers:literal => $reason:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let response = response($headers);
            assert!(response.contains(concat!("filbert-refused: ", $reason, "\r\n")), "{response}");
            assert!(response.contains(&format!("filbert-id: {ID}\r\n")), "{response}");
        }
    )*};
}

// Guards against refusals without the identifier of the request, which the design page requires: a node
// takes such a response for one to another request, and the outcome of the refused request for unknown.
refusals! {
    without_a_grant: "filbert-key: k\r\nfilbert-token: 1.1\r\n" => "no-grant";
    after_the_deadline: "filbert-deadline-ms: 0\r\n" => "expired";
    without_a_free_slot: "" => "shed";
}
