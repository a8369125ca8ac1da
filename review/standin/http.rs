//! HTTP/1.1 over blocking sockets, a thread for each connection.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Request or response with its whole body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name));
        found.map_or("", |h| &h.1)
    }

    /// Returns a part of the first line: method, target, or status.
    pub fn part(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.part(1).parse().unwrap_or(0)
    }
}

/// Reads a message; `None` if the connection ends before its first byte.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            if message.first.is_empty() {
                return Ok(None);
            }
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if line.is_empty() {
            break;
        } else if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
    let length = message.header("Content-Length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Encodes a message; adds `Content-Length`.
pub fn encode(first: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{first}\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Encodes a response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    encode(&format!("HTTP/1.1 {status} Status"), headers, body)
}

/// Connection of a server, as its handler sees it.
pub struct Peer<'a>(&'a TcpStream);

impl Peer<'_> {
    /// Returns whether the other side has closed the connection.
    pub fn is_gone(&self) -> bool {
        let mut byte = [0];
        if self.0.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.0.peek(&mut byte);
        let restored = self.0.set_nonblocking(false);
        let open = matches!(&peeked, Ok(n) if *n > 0)
            || matches!(&peeked, Err(e) if e.kind() == ErrorKind::WouldBlock);
        !open || restored.is_err()
    }
}

/// Handler of a request: the bytes to send, or `None` to close the connection without an answer.
pub type Handler = Arc<dyn Fn(&Message, &Peer<'_>) -> Option<Vec<u8>> + Send + Sync>;

/// Server; `stop` closes its listener and its connections.
#[derive(Clone, Default)]
pub struct Server {
    stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let server = Self::default();
        let (stopped, open) = (Arc::clone(&server.stopped), Arc::clone(&server.open));
        thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                if stream.set_nonblocking(false).is_err() || stream.set_nodelay(true).is_err() {
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let handler = Arc::clone(&handler);
                thread::spawn(move || serve(stream, &handler));
            }
        });
        Ok(server)
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        for stream in self.open.lock().unwrap().drain(..) {
            // Fails if the other side has closed the connection already.
            let _closed = stream.shutdown(Shutdown::Both);
        }
        // The accepting thread closes the listener when it sees the flag.
        thread::sleep(Duration::from_millis(10));
    }
}

fn serve(stream: TcpStream, handler: &Handler) {
    let (Ok(copy), Ok(mut write)) = (stream.try_clone(), stream.try_clone()) else {
        return;
    };
    let mut reader = BufReader::new(copy);
    while let Ok(Some(request)) = read(&mut reader) {
        let answer = handler(&request, &Peer(&stream));
        let sent = answer.is_some_and(|bytes| write.write_all(&bytes).is_ok());
        if !sent {
            break;
        }
    }
    // Fails if the other side has closed the connection already.
    let _closed = stream.shutdown(Shutdown::Both);
}

/// Client connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads its response, until a deadline.
    pub fn exchange(&mut self, bytes: &[u8], deadline: Instant) -> io::Result<Message> {
        let left = deadline.saturating_duration_since(Instant::now());
        let limit = Some(left.max(Duration::from_millis(1)));
        self.reader.get_ref().set_read_timeout(limit)?;
        self.reader.get_ref().set_write_timeout(limit)?;
        self.reader.get_mut().write_all(bytes)?;
        read(&mut self.reader)?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
    }
}
