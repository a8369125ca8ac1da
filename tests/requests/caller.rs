//! Caller of these tests.

use std::io::{Read, Write};
use std::{net, thread, time};

/// Response as the caller received it.
#[derive(Debug, Clone, Default)]
pub struct Got {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    pub elapsed: time::Duration,
}

impl Got {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v)
    }

    /// Outcome and reason, for example `not-run overloaded`.
    pub fn outcome(&self) -> String {
        let outcome = self.header("filbert-outcome");
        format!("{outcome} {}", self.header("filbert-reason"))
            .trim()
            .to_owned()
    }
}

/// Sends a request and waits for the response.
pub fn call(method: &str, url: &str, headers: &[(&str, &str)], body: &str) -> Got {
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
        .timeout(crate::PATIENCE)
        .bytes(body.as_bytes())
        .send()
        .expect("the node responds");
    let headers = response
        .headers()
        .iter()
        .map(|(n, v)| (n.as_str().to_owned(), v.to_str().unwrap().to_owned()))
        .collect();
    Got {
        status: response.status().as_u16(),
        headers,
        body: response.text().expect("the response is complete"),
        elapsed: started.elapsed(),
    }
}

/// Sends a request on a thread.
pub fn start(
    method: &'static str,
    url: String,
    headers: Vec<(&'static str, String)>,
) -> thread::JoinHandle<Got> {
    thread::spawn(move || {
        let headers: Vec<_> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        call(method, &url, &headers, "")
    })
}

/// Sends bytes, ends the sending direction, and returns what the node responds.
pub fn raw(addr: net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = net::TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(crate::PATIENCE)).unwrap();
    // The node may refuse and close before everything is written.
    drop(stream.write_all(bytes));
    stream.shutdown(net::Shutdown::Write).ok();
    let mut text = Vec::new();
    stream.read_to_end(&mut text).ok();
    String::from_utf8_lossy(&text).into_owned()
}
