//! Blocking HTTP/1.1 messages for the stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head and body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, v)| v)
    }

    /// Returns a word of the first line.
    pub fn word(&self, n: usize) -> &str {
        self.first.split(' ').nth(n).unwrap_or_default()
    }

    /// Returns the status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads one message; `buffer` keeps what follows it.
pub fn read(io: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0; 16 * 1024];
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        match io.read(&mut chunk)? {
            0 if buffer.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => buffer.extend_from_slice(&chunk[..n]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
        .collect();
    let mut message = Message {
        first,
        headers,
        body: Vec::new(),
    };
    let length: usize = message.header("Content-Length").parse().unwrap_or(0);
    while buffer.len() < length {
        match io.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => buffer.extend_from_slice(&chunk[..n]),
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn respond(io: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut out = format!(
        "HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    io.write_all(&out)
}

/// Sends one request over a new connection and reads the response.
pub fn call(to: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let mut io = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    io.set_nodelay(true)?;
    io.set_read_timeout(Some(limit))?;
    io.write_all(request.as_bytes())?;
    let mut buffer = Vec::new();
    read(&mut io, &mut buffer)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
