//! Fake backend server whose behavior is scripted by the test.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::sync::{Arc, Condvar, Mutex};
use std::{net, thread};

/// Request received by the server.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn id(&self) -> String {
        self.headers.get("filbert-id").cloned().unwrap_or_default()
    }
}

/// Behavior of the server on a request.
#[derive(Debug, Clone)]
pub enum Behavior {
    /// Responds with a status and a body.
    Answer(u16, String),
    /// Refuses with a reason that proves that the request was not run.
    Refuse(&'static str),
    /// Responds with the identifier of another request.
    WrongId,
    /// Declares ten bytes more than it sends and closes the connection.
    Truncate,
    /// Closes the connection.
    Close,
    /// Responds once the test calls [`Fake::release`].
    Hold,
}

type Script = Box<dyn Fn(&ReceivedRequest) -> Behavior + Send + Sync>;

struct Shared {
    script: Script,
    received: Mutex<Vec<ReceivedRequest>>,
    changed: Condvar,
    released: Mutex<bool>,
    release: Condvar,
    cancel: Mutex<&'static str>,
}

/// Fake server, whose threads run until the process exits.
pub struct Fake {
    pub addr: net::SocketAddr,
    shared: Arc<Shared>,
}

impl Fake {
    pub fn start<F: Fn(&ReceivedRequest) -> Behavior + Send + Sync + 'static>(script: F) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            script: Box::new(script),
            received: Mutex::default(),
            changed: Condvar::new(),
            released: Mutex::new(false),
            release: Condvar::new(),
            cancel: Mutex::new("running"),
        });
        let served = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&served);
                thread::spawn(move || serve_connection(&shared, stream));
            }
        });
        Self { addr, shared }
    }

    /// Returns the requests received so far, without control requests.
    pub fn seen(&self) -> Vec<ReceivedRequest> {
        self.shared.received.lock().unwrap().clone()
    }

    /// Waits until `count` requests were received.
    pub fn wait_for(&self, count: usize) {
        let seen = self.shared.received.lock().unwrap();
        let waited = self
            .shared
            .changed
            .wait_timeout_while(seen, crate::TIMEOUT, |s| s.len() < count)
            .unwrap();
        assert!(
            !waited.1.timed_out(),
            "only {} requests arrived",
            waited.0.len()
        );
    }

    /// Releases the held requests.
    pub fn release(&self) {
        *self.shared.released.lock().unwrap() = true;
        self.shared.release.notify_all();
    }

    /// Sets the answer to cancel requests, initially `running`.
    pub fn set_cancel(&self, answer: &'static str) {
        *self.shared.cancel.lock().unwrap() = answer;
    }
}

fn serve_connection(shared: &Shared, stream: net::TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut writer = stream;
    while let Some(seen) = read(&mut reader) {
        if seen.path.starts_with("/-/") {
            let text = if seen.path.starts_with("/-/cancel/") {
                *shared.cancel.lock().unwrap()
            } else {
                "ok"
            };
            write(&mut writer, 200, &[], text, 0);
            continue;
        }
        let behavior = (shared.script)(&seen);
        shared.received.lock().unwrap().push(seen.clone());
        shared.changed.notify_all();
        if !perform(shared, &mut writer, &seen, behavior) {
            return;
        }
    }
}

fn perform(
    shared: &Shared,
    writer: &mut net::TcpStream,
    seen: &ReceivedRequest,
    behavior: Behavior,
) -> bool {
    let id = seen.id();
    match behavior {
        Behavior::Answer(status, body) => write(writer, status, &[("filbert-id", &id)], &body, 0),
        Behavior::Refuse(reason) => {
            let headers = [("filbert-id", id.as_str()), ("filbert-refused", reason)];
            write(writer, 503, &headers, "", 0);
        }
        Behavior::WrongId => {
            let other = "01890a5d-ac96-774b-bcce-b302099a8057";
            write(writer, 200, &[("filbert-id", other)], "of another", 0);
        }
        Behavior::Truncate => {
            write(writer, 200, &[("filbert-id", &id)], "partial", 10);
            return false;
        }
        Behavior::Close => return false,
        Behavior::Hold => {
            let released = shared.released.lock().unwrap();
            let released = shared
                .release
                .wait_timeout_while(released, crate::TIMEOUT, |r| !*r)
                .unwrap();
            drop(released);
            write(writer, 200, &[("filbert-id", &id)], "held", 0);
        }
    }
    true
}

fn read(reader: &mut BufReader<net::TcpStream>) -> Option<ReceivedRequest> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let path = words.next()?.to_owned();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim().split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers
        .get("content-length")
        .map_or(0, |n| n.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(ReceivedRequest {
        method,
        path,
        headers,
        body,
    })
}

fn write(
    writer: &mut net::TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &str,
    missing: usize,
) {
    let mut head = format!(
        "HTTP/1.1 {status} status\r\ncontent-length: {}\r\n",
        body.len() + missing
    );
    for (name, value) in headers {
        for part in [*name, ": ", *value, "\r\n"] {
            head.push_str(part);
        }
    }
    head.push_str("\r\n");
    head.push_str(body);
    // The node may have closed the connection already.
    drop(writer.write_all(head.as_bytes()));
}
