//! HTTP/1.1 messages: parsing of heads, body framing and removal of hop-by-hop headers.
//!
//! `httparse` parses the syntax; this module determines where a message ends. Messages with
//! ambiguous framing are rejected, because the bytes after them could be parsed as another message
//! (request smuggling).

use std::collections::HashSet;
use std::fmt;
use std::ops::RangeInclusive;

use bytes::{Buf, BytesMut};

/// Number of header lines up to which a head is parsed without an allocation. The number of lines isn't
/// limited by itself, only the size of a head.
const USUAL_HEADERS: usize = 64;

/// Size up to which a body is copied behind its head, in bytes, so that both are sent at once. Larger ones
/// are sent from where they are.
pub const JOINED_BYTES: usize = 16 * 1024;

/// Status codes of responses.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Hop-by-hop headers, which apply to a single connection.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Header line.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Header {
    /// Name as sent.
    pub name: String,
    /// Value without surrounding whitespace, decoded as Latin-1.
    pub value: String,
}

impl Header {
    /// Creates a header line.
    #[must_use]
    pub fn new(name: &str, value: impl Into<String>) -> Self {
        Self {
            name: name.to_owned(),
            value: value.into(),
        }
    }

    /// Returns whether the header has this name, ignoring case.
    #[must_use]
    pub fn has_name(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }
}

/// Returns the value of the first header line with this name.
#[must_use]
pub fn header_value<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|h| h.has_name(name));
    found.map(|h| h.value.as_str())
}

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header lines in order.
    pub headers: Vec<Header>,
    /// Framing of the body.
    pub body: BodyLength,
    /// Whether the caller keeps the connection open after the response.
    pub keep_alive: bool,
}

/// Head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Header lines in order.
    pub headers: Vec<Header>,
    /// Framing of the body.
    pub body: BodyLength,
    /// Whether the server keeps the connection open.
    pub keep_alive: bool,
}

/// Framing of a body: how its end is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// Fixed number of bytes.
    Length(usize),
    /// Chunked transfer coding.
    Chunked,
    /// Until the connection closes; responses only.
    UntilClose,
}

/// Error in an HTTP message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParseError {
    /// The syntax is invalid.
    Syntax,
    /// The head exceeds its size limit.
    HeadTooLarge,
    /// The length of the body is ambiguous or malformed.
    Framing,
    /// The body exceeds its size limit.
    BodyTooLarge,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Syntax => "malformed message",
            Self::HeadTooLarge => "head too large",
            Self::Framing => "ambiguous body length",
            Self::BodyTooLarge => "body too large",
        })
    }
}

impl std::error::Error for ParseError {}

fn decode_latin1(bytes: &[u8]) -> String {
    bytes.iter().map(|&b| char::from(b)).collect()
}

fn header_lines(parsed: &[httparse::Header<'_>]) -> Vec<Header> {
    let line = |h: &httparse::Header<'_>| Header::new(h.name, decode_latin1(h.value));
    parsed.iter().map(line).collect()
}

/// Returns room for as many header lines as there can be in the first `limit` bytes.
fn room_for_headers(buffer: &[u8], limit: usize) -> Vec<httparse::Header<'static>> {
    let head = &buffer[..buffer.len().min(limit)];
    let lines = head.split(|b| *b == b'\n').count();
    vec![httparse::EMPTY_HEADER; lines]
}

fn has_token(headers: &[Header], name: &str, token: &str) -> bool {
    let values = headers.iter().filter(|h| h.has_name(name));
    let mut tokens = values.flat_map(|h| h.value.split(','));
    tokens.any(|t| t.trim().eq_ignore_ascii_case(token))
}

/// Returns the framing that the headers declare, or `None` if they declare none.
fn declared_length(headers: &[Header]) -> Result<Option<BodyLength>, ParseError> {
    let mut lengths = headers.iter().filter(|h| h.has_name("content-length"));
    let mut codings = headers.iter().filter(|h| h.has_name("transfer-encoding"));
    match (lengths.next(), codings.next()) {
        (Some(_), Some(_)) => Err(ParseError::Framing),
        (Some(h), None) => {
            let is_number = !h.value.is_empty() && h.value.bytes().all(|b| b.is_ascii_digit());
            if !is_number || lengths.next().is_some() {
                return Err(ParseError::Framing);
            }
            let length = h.value.parse().map_err(|_| ParseError::Framing)?;
            Ok(Some(BodyLength::Length(length)))
        }
        (None, Some(h)) => {
            let chunked = h.value.trim().eq_ignore_ascii_case("chunked");
            let is_only_coding = chunked && codings.next().is_none();
            is_only_coding
                .then_some(Some(BodyLength::Chunked))
                .ok_or(ParseError::Framing)
        }
        (None, None) => Ok(None),
    }
}

impl RequestHead {
    /// Parses a head and removes it from the buffer. Returns `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid request or the head exceeds `limit` bytes.
    pub fn parse(buffer: &mut BytesMut, limit: usize) -> Result<Option<Self>, ParseError> {
        let mut few = [httparse::EMPTY_HEADER; USUAL_HEADERS];
        let mut many;
        let mut parsed = httparse::Request::new(&mut few);
        let mut status = parsed.parse(buffer);
        if matches!(status, Err(httparse::Error::TooManyHeaders)) {
            many = room_for_headers(buffer, limit);
            parsed = httparse::Request::new(&mut many);
            status = parsed.parse(buffer);
        }
        let size = match status {
            Ok(httparse::Status::Complete(size)) if size <= limit => size,
            Ok(httparse::Status::Partial) if buffer.len() <= limit => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(ParseError::HeadTooLarge),
            Err(_) => return Err(ParseError::Syntax),
        };
        let headers = header_lines(parsed.headers);
        let body = match declared_length(&headers)? {
            Some(body) => body,
            None => BodyLength::Length(0),
        };
        let is_http11 = parsed.version == Some(1);
        let head = Self {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            keep_alive: is_http11 && !has_token(&headers, "connection", "close"),
            headers,
            body,
        };
        buffer.advance(size);
        let is_path = head.target.starts_with('/');
        is_path.then_some(Some(head)).ok_or(ParseError::Syntax)
    }
}

impl ResponseHead {
    /// Parses a head and removes it from the buffer. Returns `None` if it is incomplete.
    ///
    /// `method` is the method of the request; a response to `HEAD` has no body.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid response or the head exceeds `limit` bytes.
    pub fn parse(
        buffer: &mut BytesMut,
        method: &str,
        limit: usize,
    ) -> Result<Option<Self>, ParseError> {
        let mut few = [httparse::EMPTY_HEADER; USUAL_HEADERS];
        let mut many;
        let mut parsed = httparse::Response::new(&mut few);
        let mut status = parsed.parse(buffer);
        if matches!(status, Err(httparse::Error::TooManyHeaders)) {
            many = room_for_headers(buffer, limit);
            parsed = httparse::Response::new(&mut many);
            status = parsed.parse(buffer);
        }
        let size = match status {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) if buffer.len() <= limit => return Ok(None),
            Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
                return Err(ParseError::HeadTooLarge);
            }
            Err(_) => return Err(ParseError::Syntax),
        };
        let headers = header_lines(parsed.headers);
        // The parser takes any three digits.
        let status = parsed.code.unwrap_or_default();
        if !STATUSES.contains(&status) {
            return Err(ParseError::Syntax);
        }
        let has_no_body = method == "HEAD" || matches!(status, 100..=199 | 204 | 304);
        let body = match declared_length(&headers)? {
            _ if has_no_body => BodyLength::Length(0),
            Some(body) => body,
            None => BodyLength::UntilClose,
        };
        let is_http11 = parsed.version == Some(1);
        let head = Self {
            status,
            keep_alive: is_http11
                && body != BodyLength::UntilClose
                && !has_token(&headers, "connection", "close"),
            headers,
            body,
        };
        buffer.advance(size);
        Ok(Some(head))
    }
}

/// Returns the end-to-end header lines, which a proxy forwards.
#[must_use]
pub fn end_to_end_headers(headers: &[Header]) -> Vec<Header> {
    let connection = headers.iter().filter(|h| h.has_name("connection"));
    let tokens = connection.flat_map(|h| h.value.split(','));
    // A set, since a caller can send thousands of header lines and tokens.
    let named: HashSet<String> = tokens.map(|t| t.trim().to_ascii_lowercase()).collect();
    let is_named = |h: &Header| !named.is_empty() && named.contains(&h.name.to_ascii_lowercase());
    let is_forwarded = |h: &&Header| {
        let hop_by_hop =
            HOP_BY_HOP_HEADERS.iter().any(|name| h.has_name(name)) || h.has_name("content-length");
        !hop_by_hop && !is_named(h)
    };
    let mut forwarded = Vec::with_capacity(headers.len());
    forwarded.extend(headers.iter().filter(is_forwarded).cloned());
    forwarded
}

/// Encodes a request.
#[must_use]
pub fn write_request(method: &str, target: &str, headers: &[Header], body: &[u8]) -> Vec<u8> {
    let mut out = write_request_head(method, target, headers, body.len());
    out.extend_from_slice(body);
    out
}

/// Encodes the head of a request with a body of `length` bytes.
#[must_use]
pub fn write_request_head(
    method: &str,
    target: &str,
    headers: &[Header],
    length: usize,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(256 + length.min(JOINED_BYTES));
    out.extend_from_slice(method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    write_headers(&mut out, headers);
    if length > 0 || !matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS") {
        out.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out
}

/// Encodes a response; `close` adds `Connection: close`.
#[must_use]
pub fn write_response(status: u16, headers: &[Header], body: &[u8], close: bool) -> Vec<u8> {
    let mut out = write_response_head(status, headers, body.len(), close);
    out.extend_from_slice(body);
    out
}

/// Encodes the head of a response with a body of `length` bytes.
#[must_use]
pub fn write_response_head(status: u16, headers: &[Header], length: usize, close: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(256 + length.min(JOINED_BYTES));
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    write_headers(&mut out, headers);
    if !matches!(status, 204 | 304) {
        out.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

fn write_headers(out: &mut Vec<u8>, headers: &[Header]) {
    for h in headers {
        out.extend_from_slice(h.name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend(h.value.chars().map(|c| u8::try_from(c).unwrap_or(b'?')));
        out.extend_from_slice(b"\r\n");
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
