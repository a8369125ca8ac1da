//! Client of the platform's store, shared by all modules of a sidecar.
//!
//! A call that the store refuses or doesn't answer is made once more through another node if one is
//! available, because the store sometimes refuses individual hosts. Any further retry of an
//! unanswered call is up to the calling module: commits are conditional, so a repeated commit can't
//! take effect twice. A call counts as refused only if no attempt at it was left without an answer.
//!
//! The store may be restored from an older copy. The client knows the newest era that a response or
//! another node has told, and takes no response of an earlier one.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use prometheus::IntCounterVec;
use tokio::sync::Notify;
use tokio::time;

use crate::protocol::adapter::{Adapter, DecodeError, StoreCall, StoreReply};
use crate::protocol::http;
use crate::protocol::mesh::{StoreRequest, StoreResponse};
use crate::state::clock::Instant;
use crate::state::store_revision::Era;
use crate::transport::sidecar::socket::{ReadError, Socket};

/// Maximum time to open a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum wait for a response; the store takes milliseconds, or up to half a second when slow.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum size of a response body, in bytes.
const MAX_BODY: usize = 8 << 20;

/// Maximum number of idle connections.
const MAX_IDLE: usize = 2;

/// Maximum idle time of a connection that is used again.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// Error of a call to the store.
#[derive(Debug)]
pub enum Error {
    /// The store refused the call, which had no effect.
    Refused,
    /// No answer; the call may have taken effect or may still do so.
    NoAnswer(io::ErrorKind),
    /// The answer can't be decoded; the call may have taken effect.
    Unreadable(DecodeError),
    /// The answer is of an earlier era: it tells of a content that the store has lost since, at least
    /// in part.
    Outdated(Era),
}

impl Error {
    /// Returns whether the call certainly had no effect.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Refused)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => f.write_str("refused by the store"),
            Self::NoAnswer(kind) => write!(f, "no answer from the store: {kind}"),
            Self::Unreadable(e) => write!(f, "unreadable answer from the store: {e}"),
            Self::Outdated(era) => write!(f, "answer from era {era} of the store, which has ended"),
        }
    }
}

impl std::error::Error for Error {}

/// Reply of the store and the era that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Reply.
    pub reply: StoreReply,
    /// Era of the store that has replied.
    pub era: Era,
}

/// Future of a relayed call; `None` if the other node returns no response.
pub type RelayFuture = Pin<Box<dyn Future<Output = Option<StoreResponse>>>>;

/// Function that relays a call through another node.
pub type Relay = Box<dyn Fn(StoreRequest) -> RelayFuture>;

/// Function that selects the nodes through which a call may be relayed.
pub type RelaysFn = Box<dyn Fn() -> Vec<Relay>>;

/// Client of the store.
pub struct StoreClient {
    adapter: Rc<dyn Adapter>,
    address: Cell<SocketAddr>,
    idle: RefCell<Vec<(Socket, Instant)>>,
    relays: RefCell<Option<RelaysFn>>,
    last_failure: Cell<Option<Instant>>,
    era: Cell<Option<Era>>,
    /// Time at which the era became known, or at which this client was created.
    era_since: Cell<Instant>,
    /// Whether the last response had no readable era although earlier ones had one.
    era_missing: Cell<bool>,
    reachable: Cell<bool>,
    /// Notified when the store answers again after failed calls.
    pub recovered: Notify,
    /// Notified of each new era.
    pub era_changed: Notify,
    calls: IntCounterVec,
}

impl fmt::Debug for StoreClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoreClient")
            .field("address", &self.address.get())
            .field("last_failure", &self.last_failure.get())
            .finish_non_exhaustive()
    }
}

impl StoreClient {
    /// Creates a client without connections; `calls` counts its calls by kind and outcome.
    #[must_use]
    pub fn new(adapter: Rc<dyn Adapter>, address: SocketAddr, calls: IntCounterVec) -> Self {
        Self {
            adapter,
            address: Cell::new(address),
            idle: RefCell::new(Vec::new()),
            relays: RefCell::new(None),
            last_failure: Cell::new(None),
            era: Cell::new(None),
            era_since: Cell::new(Instant::now()),
            era_missing: Cell::new(false),
            reachable: Cell::new(true),
            recovered: Notify::new(),
            era_changed: Notify::new(),
            calls,
        }
    }

    /// Sets the address; a change closes the idle connections.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.idle.borrow_mut().clear();
        }
    }

    /// Sets the function that selects the nodes through which calls are relayed.
    pub fn set_relays(&self, relays: RelaysFn) {
        *self.relays.borrow_mut() = Some(relays);
    }

    /// Returns the time of the last direct call that failed.
    #[must_use]
    pub fn last_failure(&self) -> Option<Instant> {
        self.last_failure.get()
    }

    /// Returns whether the last direct call succeeded.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        self.reachable.get()
    }

    /// Makes a call directly, and through another node if that fails; watches are not relayed.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the call may have taken effect.
    pub async fn call(&self, call: &StoreCall) -> Result<Answer, Error> {
        let request = self.adapter.encode_store_call(call);
        let (limit, is_watch) = match call {
            StoreCall::Watch { wait, .. } => (*wait + RESPONSE_TIMEOUT, true),
            _ => (RESPONSE_TIMEOUT, false),
        };
        let direct = match self.call_direct(&request, limit).await {
            Ok(response) => self.decode(call, &response),
            Err(e) => Err(Error::NoAnswer(e)),
        };
        self.record_result(&direct);
        let outcome = match &direct {
            Ok(_) => "answered",
            Err(Error::Refused) => "refused",
            Err(Error::NoAnswer(_)) => "no_answer",
            Err(Error::Unreadable(_)) => "unreadable",
            Err(Error::Outdated(_)) => "outdated",
        };
        self.count_call(call.name(), outcome);
        if direct.is_ok() || is_watch {
            return direct;
        }
        self.call_relayed(call, &request, direct).await
    }

    /// Makes a call through other nodes, until the store answers one of them. `result` is that of the
    /// attempts so far: the call is refused only if each attempt is.
    async fn call_relayed(
        &self,
        call: &StoreCall,
        request: &StoreRequest,
        mut result: Result<Answer, Error>,
    ) -> Result<Answer, Error> {
        let relays = self.relays.borrow().as_ref().map(|relays| relays());
        for relay in relays.unwrap_or_default() {
            let attempt = match relay(request.clone()).await {
                Some(response) => self.decode(call, &response),
                None => Err(Error::NoAnswer(io::ErrorKind::TimedOut)),
            };
            match attempt {
                Err(Error::Refused) => {}
                Err(Error::NoAnswer(kind)) => {
                    if matches!(result, Err(Error::Refused)) {
                        result = Err(Error::NoAnswer(kind));
                    }
                }
                answered => return answered,
            }
        }
        result
    }

    fn count_call(&self, kind: &str, outcome: &str) {
        self.calls.with_label_values(&[kind, outcome]).inc();
    }

    fn record_result(&self, direct: &Result<Answer, Error>) {
        match direct {
            Ok(_) => {
                if !self.reachable.replace(true) {
                    tracing::info!(event = 311, "store is available again");
                    self.recovered.notify_waiters();
                }
            }
            Err(e) => {
                self.last_failure.set(Some(Instant::now()));
                if self.reachable.replace(false) {
                    tracing::warn!(event = 312, error = %e, "store is unavailable");
                }
            }
        }
    }

    /// Returns the newest known era of the store.
    #[must_use]
    pub fn era(&self) -> Era {
        self.era.get().unwrap_or_default()
    }

    /// Returns a time at which the era had begun: when it became known, or at the start of the process.
    #[must_use]
    pub fn era_since(&self) -> Instant {
        self.era_since.get()
    }

    /// Learns the era of a response or of another node; an earlier one than the known era is ignored.
    pub fn learn_era(&self, era: Era) {
        let before = self.era.get();
        if before.is_some_and(|known| known >= era) {
            return;
        }
        self.era.set(Some(era));
        self.era_since.set(Instant::now());
        self.era_changed.notify_waiters();
        match before {
            None => tracing::info!(event = 316, era = era.0, "the store has told its era"),
            Some(before) => tracing::warn!(
                event = 314,
                before = before.0,
                era = era.0,
                "the store was restored from an older copy"
            ),
        }
    }

    fn decode(&self, call: &StoreCall, response: &StoreResponse) -> Result<Answer, Error> {
        let era = response.era.unwrap_or(self.era());
        if response.era.is_some() {
            self.learn_era(era);
        }
        if era < self.era() {
            tracing::info!(
                event = 317,
                call = call.name(),
                era = era.0,
                known = self.era().0,
                "ignored an answer of the store from an earlier era"
            );
            return Err(Error::Outdated(era));
        }
        match self.adapter.decode_store_reply(call, response) {
            Ok(StoreReply::Refused) => Err(Error::Refused),
            Ok(reply) => Ok(Answer { reply, era }),
            Err(e) => Err(Error::Unreadable(e)),
        }
    }

    /// Makes a call over this node's own connection to the store.
    ///
    /// # Errors
    ///
    /// Returns the kind of the I/O error if there is no valid response.
    pub async fn call_direct(
        &self,
        request: &StoreRequest,
        limit: Duration,
    ) -> Result<StoreResponse, io::ErrorKind> {
        let exchange = self.exchange(request);
        let response = time::timeout(limit, exchange).await;
        response.map_err(|_| io::ErrorKind::TimedOut)?
    }

    async fn exchange(&self, request: &StoreRequest) -> Result<StoreResponse, io::ErrorKind> {
        let mut headers = vec![http::Header::new("Host", self.address.get().to_string())];
        if !request.body.is_empty() {
            headers.push(http::Header::new("Content-Type", "application/json"));
        }
        let bytes = http::write_request(&request.method, &request.target, &headers, &request.body);
        let mut socket = match self.take_idle() {
            Some(socket) => socket,
            None => Socket::connect(self.address.get(), CONNECT_TIMEOUT)
                .await
                .map_err(|e| e.kind())?,
        };
        socket.write(&bytes).await.map_err(|e| e.kind())?;
        let (head, body) = match socket.read_response(&request.method, MAX_BODY).await {
            Ok(response) => response,
            Err(ReadError::Io(e)) => return Err(e.kind()),
            Err(ReadError::Malformed(_)) => return Err(io::ErrorKind::InvalidData),
        };
        let mut idle = self.idle.borrow_mut();
        if head.keep_alive && idle.len() < MAX_IDLE {
            idle.push((socket, Instant::now()));
        }
        let era = self.decode_era(&head);
        let status = head.status;
        Ok(StoreResponse { status, body, era })
    }

    /// Decodes the era of a response. A header that is absent or unreadable tells nothing.
    fn decode_era(&self, head: &http::ResponseHead) -> Option<Era> {
        let error = match self.adapter.decode_store_era(&head.headers) {
            Ok(Some(era)) => {
                self.era_missing.set(false);
                return Some(era);
            }
            // A store that has never told its era doesn't need to.
            Ok(None) if self.era.get().is_none() => return None,
            Ok(None) => "absent".to_owned(),
            Err(e) => e.to_string(),
        };
        if !self.era_missing.replace(true) {
            tracing::warn!(
                event = 315,
                known = self.era().0,
                error,
                "a response of the store doesn't tell its era"
            );
        }
        None
    }

    fn take_idle(&self) -> Option<Socket> {
        let mut idle = self.idle.borrow_mut();
        let usable = |(socket, since): (Socket, Instant)| {
            let fresh = Instant::now().since(since) < MAX_IDLE_TIME && socket.is_idle();
            fresh.then_some(socket)
        };
        std::iter::from_fn(|| idle.pop()).find_map(usable)
    }
}
