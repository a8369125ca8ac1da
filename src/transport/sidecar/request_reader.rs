//! Read half of a caller's connection: requests with their bodies, and what they reserve.
//!
//! A request is reserved from the budget when its head is complete, a body of unknown length step by step.
//! Without room the request is refused. The read buffer is reserved as it grows.

use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time;

use crate::protocol::body::Body;
use crate::protocol::body_reader::BodyReader;
use crate::protocol::http;
use crate::state::clock::Instant;
use crate::state::reservation::{Footprint, Reservation};
use crate::state::routes;
use crate::transport::sidecar::byte_budget::{
    ByteBudget, CONNECTION_BYTES, Connection, Phase, Purpose, Registered,
};
use crate::transport::sidecar::caller::{BACKLOG_WAIT, Handler, Request};
use crate::transport::sidecar::message_cost;
use crate::transport::sidecar::read_buffer::ReadBuffer;

/// Maximum number of bytes that are read ahead while requests run; further ones stay in the
/// system's buffers.
const READ_AHEAD: usize = 16 * 1024;

/// Size of the read buffer of a connection that receives a large body, in bytes.
const BODY_BUFFER: usize = 16 * 1024;

/// Maximum time to receive a body after its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Wait without an effective limit, while requests run; their responses end it.
const NO_LIMIT: Duration = Duration::from_hours(1);

/// Limits until a configuration is known.
const DEFAULT_LIMITS: routes::Limits = routes::Limits {
    head_bytes: 16 * 1024,
    body_bytes: 16 << 20,
    head_time: Duration::from_secs(5),
    idle_time: Duration::from_secs(30),
};

/// Event on the read half of a connection.
pub enum Input {
    /// Complete request.
    Request(Request),
    /// Malformed, oversized or late request, with the status of the response.
    Rejected(u16),
    /// There is no memory for this request, or for the rest of its head.
    Refused(Option<Box<http::RequestHead>>),
    /// The caller has closed the connection, or it is to be closed.
    Closed,
    /// Nothing was received for the idle timeout.
    Idle,
}

/// Request whose body is being read.
struct Partial {
    head: http::RequestHead,
    /// Memory of the request without its body.
    cost: Footprint,
    body: BodyReader,
    arrived: Instant,
    /// Memory of the request with its body.
    held: Reservation,
    /// What the memory is reserved for.
    purpose: Purpose,
}

impl Partial {
    /// Returns the memory that the request needs once `buffered` further bytes are taken.
    fn footprint(&self, buffered: usize) -> Footprint {
        let body = message_cost::of_body(self.body.footprint(buffered));
        self.cost.plus(body)
    }

    fn is_large(&self) -> bool {
        self.held.held().mapped > 0
    }
}

/// Outcome of parsing what has been received.
enum Parsed {
    Input(Input),
    /// The request needs more memory than is reserved for it.
    Needs(Footprint),
    Incomplete,
}

/// Read half of a connection with its buffer and a partially read request.
pub struct Reader {
    io: OwnedReadHalf,
    buffer: ReadBuffer,
    partial: Option<Partial>,
    budget: Rc<ByteBudget>,
    registered: Registered,
    /// Start of the current wait for a request or for the rest of its head.
    since: Instant,
    limits: routes::Limits,
}

impl Reader {
    /// Creates the read half of a registered connection.
    pub fn new(
        io: OwnedReadHalf,
        budget: Rc<ByteBudget>,
        registered: Registered,
        limits: Option<routes::Limits>,
    ) -> Self {
        Self {
            io,
            buffer: ReadBuffer::default(),
            partial: None,
            budget,
            registered,
            since: Instant::now(),
            limits: limits.unwrap_or(DEFAULT_LIMITS),
        }
    }

    /// Returns how long a connection may be idle.
    pub fn idle_time(&self) -> Duration {
        self.limits.idle_time
    }

    /// Returns whether a request is partially read.
    pub fn is_receiving(&self) -> bool {
        self.partial.is_some()
    }

    /// Starts the wait for the next request, after a response.
    pub fn restart_wait(&mut self) {
        self.since = Instant::now();
    }

    /// Reads and discards bytes until the caller closes the connection, at most as many as the rest of one
    /// request can have.
    pub async fn drain(&mut self) {
        let mut left = self
            .limits
            .head_bytes
            .saturating_add(self.limits.body_bytes);
        while left > 0 {
            self.buffer.bytes.clear();
            match self.io.read_buf(&mut self.buffer.bytes).await {
                Ok(0) | Err(_) => return,
                Ok(read) => left = left.saturating_sub(read),
            }
        }
    }

    fn connection(&self) -> &Connection {
        &self.registered.connection
    }

    /// Parses what was received; `busy` tells whether earlier requests of the connection run.
    fn parse(&mut self, busy: bool) -> Parsed {
        if self.partial.is_none() {
            match http::RequestHead::parse(&mut self.buffer.bytes, self.limits.head_bytes) {
                Ok(None) => return Parsed::Incomplete,
                Ok(Some(head)) => self.begin(head, busy),
                Err(e) => return Parsed::Input(Input::Rejected(status_of(e))),
            }
        }
        let Some(partial) = self.partial.as_mut() else {
            return Parsed::Incomplete;
        };
        let buffered = self.buffer.bytes.len();
        let needed = partial.footprint(buffered);
        if partial.held.held() != needed {
            if !self.budget.try_set(&partial.held, needed, partial.purpose) {
                return Parsed::Needs(needed);
            }
            self.registered.connection.enter(Phase::Receiving, needed);
        }
        if let Err(e) = partial.body.allocate(buffered) {
            tracing::warn!(event = 259, error = %e, "the system has no memory for a body");
            return Parsed::Input(self.refuse());
        }
        match partial.body.feed(&mut self.buffer.bytes) {
            Ok(false) => Parsed::Incomplete,
            Ok(true) => self.complete(),
            Err(e) => {
                self.partial = None;
                Parsed::Input(Input::Rejected(status_of(e)))
            }
        }
    }

    /// Begins a request, for which nothing is reserved yet.
    fn begin(&mut self, head: http::RequestHead, busy: bool) {
        self.partial = Some(Partial {
            cost: message_cost::of_request(&head),
            body: BodyReader::new(head.body, self.limits.body_bytes),
            head,
            arrived: Instant::now(),
            held: self.budget.empty_reservation(),
            purpose: if busy {
                Purpose::Ahead
            } else {
                Purpose::Request
            },
        });
    }

    /// Ends the reading of a request, which takes over its reservation.
    fn complete(&mut self) -> Parsed {
        let Some(partial) = self.partial.take() else {
            return Parsed::Incomplete;
        };
        self.since = Instant::now();
        let connection = self.connection();
        connection.enter(Phase::Running, Footprint::default());
        let held = Some(Rc::new(partial.held));
        Parsed::Input(Input::Request(Request {
            head: partial.head,
            body: Body::new(partial.body.into_body(), held),
            arrived: partial.arrived,
        }))
    }

    /// Makes room in the read buffer; returns whether there is memory for it.
    async fn make_room(&mut self) -> bool {
        let large = self.partial.as_ref().is_some_and(Partial::is_large);
        let size = self.buffer.next_size(if large { BODY_BUFFER } else { 0 });
        let extra = ReadBuffer::extra_memory(size);
        let needed = Footprint::on_heap(CONNECTION_BYTES + extra);
        let held = &self.registered.held;
        if !self.budget.set(held, needed, Purpose::Buffer).await {
            return false;
        }
        self.buffer.resize(size);
        if self.connection().phase() == Phase::Idle {
            let held = Footprint::on_heap(extra);
            self.connection().enter(Phase::Idle, held);
        }
        true
    }

    /// Frees the read buffer of a connection that has nothing to read.
    fn free_buffer(&mut self) {
        if self.buffer.reset() {
            let initial = Footprint::on_heap(CONNECTION_BYTES);
            self.registered.held.set(initial);
        }
    }

    /// Ends the partial request, which has not run, and releases its body.
    fn refuse(&mut self) -> Input {
        match self.partial.take() {
            Some(partial) => Input::Refused(Some(Box::new(partial.head))),
            None => Input::Refused(None),
        }
    }

    /// Returns the next input. Unless `accept` is set, requests stay in the buffer.
    pub async fn next(&mut self, accept: bool, busy: bool, handler: &dyn Handler) -> Input {
        if let Some(limits) = handler.limits() {
            // A connection keeps the longer idle timeout, on which its caller may still rely.
            let idle_time = limits.idle_time.max(self.limits.idle_time);
            self.limits = routes::Limits {
                idle_time,
                ..limits
            };
        }
        let stage_changed = handler.stage_changed();
        loop {
            let stage_changed = stage_changed.notified();
            if accept {
                match self.parse(busy) {
                    Parsed::Input(input) => return input,
                    Parsed::Incomplete => {}
                    Parsed::Needs(needed) => {
                        if let Some(Partial { held, purpose, .. }) = &self.partial
                            && self.budget.set(held, needed, *purpose).await
                        {
                            continue;
                        }
                        return self.refuse();
                    }
                }
            }
            if self.buffer.bytes.len() >= READ_AHEAD && !accept {
                std::future::pending::<()>().await;
            }
            let clean = self.buffer.bytes.is_empty() && self.partial.is_none();
            let wait = match &self.partial {
                Some(partial) => (partial.arrived + BODY_TIMEOUT).left(),
                None if busy || !accept => NO_LIMIT,
                None if clean => (self.since + self.limits.idle_time).left(),
                None => (self.since + self.limits.head_time).left(),
            };
            if clean && !busy {
                self.free_buffer();
                if handler.is_terminating() {
                    let read = self.io.read_buf(&mut self.buffer.bytes);
                    match time::timeout(BACKLOG_WAIT, read).await {
                        Ok(Ok(n)) if n > 0 => continue,
                        _ => return Input::Idle,
                    }
                }
            }
            if self.buffer.is_full() && !self.make_room().await {
                if busy {
                    // The responses of running requests free memory.
                    std::future::pending::<()>().await;
                }
                return self.refuse();
            }
            let read = tokio::select! {
                read = self.io.read_buf(&mut self.buffer.bytes) => Some(read),
                () = time::sleep(wait) => None,
                () = stage_changed => continue,
                () = self.registered.connection.closed() => {
                    self.connection().acknowledge_close();
                    if self.partial.is_some() {
                        return self.refuse();
                    }
                    if !busy {
                        return Input::Closed;
                    }
                    continue;
                }
            };
            if let Some(Ok(bytes)) = read {
                self.connection().record_moved(bytes);
            }
            match read {
                Some(Ok(0) | Err(_)) => return Input::Closed,
                Some(Ok(_)) if clean => self.since = Instant::now(),
                Some(Ok(_)) => {}
                None if clean => return Input::Idle,
                None => {
                    self.partial = None;
                    return Input::Rejected(408);
                }
            }
        }
    }
}

fn status_of(e: http::ParseError) -> u16 {
    match e {
        http::ParseError::HeadTooLarge => 431,
        http::ParseError::BodyTooLarge => 413,
        http::ParseError::Syntax | http::ParseError::Framing => 400,
    }
}
