//! Backend server of these tests: answers each request as the test tells it.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::sync::{Arc, Condvar, Mutex};
use std::{net, thread};

/// Request as the server received it.
#[derive(Debug, Clone)]
pub struct Seen {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Seen {
    pub fn id(&self) -> String {
        self.headers.get("filbert-id").cloned().unwrap_or_default()
    }
}

/// What the server does with a request.
#[derive(Debug, Clone)]
pub enum Act {
    /// Responds with a status and a body.
    Answer(u16, String),
    /// Refuses with a proof.
    Refuse(&'static str),
    /// Responds for another request.
    WrongId,
    /// Declares ten bytes more than it sends, and closes the connection.
    Truncate,
    /// Closes the connection.
    Close,
    /// Answers once the test releases it.
    Hold,
}

type Script = Box<dyn Fn(&Seen) -> Act + Send + Sync>;

struct Shared {
    script: Script,
    seen: Mutex<Vec<Seen>>,
    changed: Condvar,
    released: Mutex<bool>,
    release: Condvar,
    cancel: Mutex<&'static str>,
}

/// Server; its threads end with the process.
pub struct Fake {
    pub addr: net::SocketAddr,
    shared: Arc<Shared>,
}

impl Fake {
    pub fn start<F: Fn(&Seen) -> Act + Send + Sync + 'static>(script: F) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            script: Box::new(script),
            seen: Mutex::default(),
            changed: Condvar::new(),
            released: Mutex::new(false),
            release: Condvar::new(),
            cancel: Mutex::new("running"),
        });
        let served = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&served);
                thread::spawn(move || connection(&shared, stream));
            }
        });
        Self { addr, shared }
    }

    /// Requests received so far, control calls left out.
    pub fn seen(&self) -> Vec<Seen> {
        self.shared.seen.lock().unwrap().clone()
    }

    /// Waits until a number of requests was received.
    pub fn wait_for(&self, count: usize) {
        let seen = self.shared.seen.lock().unwrap();
        let waited = self
            .shared
            .changed
            .wait_timeout_while(seen, crate::PATIENCE, |s| s.len() < count)
            .unwrap();
        assert!(
            !waited.1.timed_out(),
            "only {} requests arrived",
            waited.0.len()
        );
    }

    /// Lets held requests go on.
    pub fn release(&self) {
        *self.shared.released.lock().unwrap() = true;
        self.shared.release.notify_all();
    }

    /// Sets the answer to cancels, which is `running` at first.
    pub fn set_cancel(&self, answer: &'static str) {
        *self.shared.cancel.lock().unwrap() = answer;
    }
}

fn connection(shared: &Shared, stream: net::TcpStream) {
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
        let act = (shared.script)(&seen);
        shared.seen.lock().unwrap().push(seen.clone());
        shared.changed.notify_all();
        if !perform(shared, &mut writer, &seen, act) {
            return;
        }
    }
}

fn perform(shared: &Shared, writer: &mut net::TcpStream, seen: &Seen, act: Act) -> bool {
    let id = seen.id();
    match act {
        Act::Answer(status, body) => write(writer, status, &[("filbert-id", &id)], &body, 0),
        Act::Refuse(why) => {
            let headers = [("filbert-id", id.as_str()), ("filbert-refused", why)];
            write(writer, 503, &headers, "", 0);
        }
        Act::WrongId => {
            let other = "01890a5d-ac96-774b-bcce-b302099a8057";
            write(writer, 200, &[("filbert-id", other)], "of another", 0);
        }
        Act::Truncate => {
            write(writer, 200, &[("filbert-id", &id)], "partial", 10);
            return false;
        }
        Act::Close => return false,
        Act::Hold => {
            let released = shared.released.lock().unwrap();
            let released = shared
                .release
                .wait_timeout_while(released, crate::PATIENCE, |r| !*r)
                .unwrap();
            drop(released);
            write(writer, 200, &[("filbert-id", &id)], "held", 0);
        }
    }
    true
}

fn read(reader: &mut BufReader<net::TcpStream>) -> Option<Seen> {
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
    Some(Seen {
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
    // The node may have given the request up.
    drop(writer.write_all(head.as_bytes()));
}
