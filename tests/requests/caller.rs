//! HTTP client that acts as a caller.

use std::io::{Read, Write};
use std::{net, thread, time};

/// Response received by the caller.
#[derive(Debug, Clone, Default)]
pub struct CallerResponse {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    pub elapsed: time::Duration,
}

impl CallerResponse {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v)
    }

    /// Returns the outcome and reason, for example `not-run overloaded`.
    pub fn outcome(&self) -> String {
        let outcome = self.header("filbert-outcome");
        format!("{outcome} {}", self.header("filbert-reason"))
            .trim()
            .to_owned()
    }
}

/// Sends a request and waits for the response.
pub fn call(method: &str, url: &str, headers: &[(&str, &str)], body: &str) -> CallerResponse {
    let started = time::Instant::now();
    let method = method.parse().unwrap();
    let mut request = attohttpc::RequestBuilder::new(method, url);
    for (name, value) in headers {
        request = request
            .try_header_append(
                attohttpc::header::HeaderName::from_bytes(name.as_bytes()).unwrap(),
                *value,
            )
            .expect("the header is valid");
    }
    let response = request
        .timeout(crate::TIMEOUT)
        .bytes(body.as_bytes())
        .send()
        .expect("the node responds");
    let headers = response
        .headers()
        .iter()
        .map(|(n, v)| (n.as_str().to_owned(), v.to_str().unwrap().to_owned()))
        .collect();
    CallerResponse {
        status: response.status().as_u16(),
        headers,
        body: response.text().expect("the response is complete"),
        elapsed: started.elapsed(),
    }
}

/// Sends a request on a new thread.
pub fn start(
    method: &'static str,
    url: String,
    headers: Vec<(&'static str, String)>,
) -> thread::JoinHandle<CallerResponse> {
    thread::spawn(move || {
        let headers: Vec<_> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        call(method, &url, &headers, "")
    })
}

/// Sends raw bytes, shuts down the write side and returns the response.
pub fn raw(addr: net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = net::TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(crate::TIMEOUT)).unwrap();
    // The node may reject the request and close the connection before everything is written.
    drop(stream.write_all(bytes));
    stream.shutdown(net::Shutdown::Write).ok();
    let mut text = Vec::new();
    stream.read_to_end(&mut text).ok();
    String::from_utf8_lossy(&text).into_owned()
}
