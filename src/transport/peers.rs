//! Connection pool for peers, with one task per peer.
//!
//! A connection is opened on the first call and closed when idle, because a node of a large fleet
//! can't hold connections to all others. While calls are outstanding and nothing arrives, the task
//! sends keep-alives. A connection that stays silent is dropped and its calls fail as ambiguous, so
//! that their callers can query the outcome over a new connection.

use std::collections::HashMap;
use std::future::Future;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::{fmt, io, net as addresses, time};

use tarpc::tokio_serde::formats;
use tarpc::{client, context};
use tokio::sync::{mpsc, oneshot};
use tokio::{net, task};

use crate::protocol::peer;
use crate::state::{clock, ids, timing};
use crate::transport::{counted, error, peer_server};

/// Time without calls after which a connection is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Interval at which a connection with outstanding calls is checked for silence.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Maximum number of outstanding calls on one connection.
const MAX_IN_FLIGHT: usize = 4096;

/// Pool of connections to peers.
#[derive(Debug, Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

struct Shared {
    me: ids::NodeRef,
    source: Option<addresses::IpAddr>,
    traffic: counted::Traffic,
    peers: Mutex<HashMap<ids::NodeAddr, Handle>>,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared")
            .field("me", &self.me)
            .finish_non_exhaustive()
    }
}

#[derive(Clone)]
struct Handle {
    requests: mpsc::Sender<ConnectRequest>,
}

/// Reply channel of a task that waits for a connection.
type ConnectRequest = oneshot::Sender<Result<Connection, error::Error>>;

/// Open connection to a peer.
#[derive(Debug, Clone)]
pub struct Connection {
    client: peer::PeerClient,
    state: Arc<ConnectionState>,
}

#[derive(Debug)]
struct ConnectionState {
    start: clock::Instant,
    outstanding: AtomicUsize,
    last_received_ms: AtomicU64,
    first_sent_ms: AtomicU64,
}

impl ConnectionState {
    fn new() -> Self {
        Self {
            start: clock::Instant::now(),
            outstanding: AtomicUsize::new(0),
            last_received_ms: AtomicU64::new(0),
            first_sent_ms: AtomicU64::new(0),
        }
    }

    fn elapsed_ms(&self) -> u64 {
        let ms = clock::Instant::now().since(self.start).as_millis();
        u64::try_from(ms).unwrap_or(u64::MAX)
    }

    fn record_received(&self) {
        self.last_received_ms
            .store(self.elapsed_ms(), Ordering::Relaxed);
    }

    /// Time since data was last received, or since the first of the outstanding calls if that is
    /// later.
    fn silence(&self) -> time::Duration {
        let last = self
            .last_received_ms
            .load(Ordering::Relaxed)
            .max(self.first_sent_ms.load(Ordering::Relaxed));
        time::Duration::from_millis(self.elapsed_ms().saturating_sub(last))
    }

    fn start_call(&self) {
        if self.outstanding.fetch_add(1, Ordering::Relaxed) == 0 {
            self.first_sent_ms
                .store(self.elapsed_ms(), Ordering::Relaxed);
        }
    }

    fn end_call(&self) {
        self.outstanding.fetch_sub(1, Ordering::Relaxed);
    }

    fn has_outstanding(&self) -> bool {
        self.outstanding.load(Ordering::Relaxed) > 0
    }
}

/// Counts a call as outstanding until dropped.
struct CallGuard(Arc<ConnectionState>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.end_call();
    }
}

impl Pool {
    /// Creates an empty pool, whose connections are bound to the local address `source` if given.
    #[must_use]
    pub fn new(
        me: ids::NodeRef,
        source: Option<addresses::IpAddr>,
        traffic: counted::Traffic,
    ) -> Self {
        Self {
            shared: Arc::new(Shared {
                me,
                source,
                traffic,
                peers: Mutex::default(),
            }),
        }
    }

    /// Returns an open connection to a peer.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Refused`] if no process listens at the address, which proves that the
    /// peer has exited, and [`error::Error::Unreachable`] if the connection attempt failed otherwise.
    pub async fn connect(&self, addr: ids::NodeAddr) -> Result<Connection, error::Error> {
        for _ in 0..2 {
            let handle = self.handle(addr);
            let (tx, rx) = oneshot::channel();
            // The task exits when idle. A request that races with its exit is retried once.
            if handle.requests.send(tx).await.is_ok()
                && let Ok(result) = rx.await
            {
                return result;
            }
            self.forget(addr, &handle);
        }
        Err(error::Error::Unreachable(format!("no task for {addr}")))
    }

    /// Calls a peer, opening a connection if necessary.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Pool::connect`], and [`error::Error::Ambiguous`] if the call was
    /// sent but not answered within the limit.
    pub async fn call<F, Fut, T>(
        &self,
        addr: ids::NodeAddr,
        limit: time::Duration,
        f: F,
    ) -> Result<T, error::Error>
    where
        F: FnOnce(peer::PeerClient, context::Context) -> Fut,
        Fut: Future<Output = Result<T, client::RpcError>>,
    {
        self.connect(addr).await?.call(limit, f).await
    }

    fn handle(&self, addr: ids::NodeAddr) -> Handle {
        let mut peers = self.lock();
        peers
            .entry(addr)
            .or_insert_with(|| {
                let (requests, rx) = mpsc::channel(MAX_IN_FLIGHT);
                let traffic = self.shared.traffic.clone();
                tokio::spawn(run_peer(
                    self.shared.me,
                    addr,
                    self.shared.source,
                    traffic,
                    rx,
                ));
                Handle { requests }
            })
            .clone()
    }

    fn forget(&self, addr: ids::NodeAddr, handle: &Handle) {
        let mut peers = self.lock();
        if peers
            .get(&addr)
            .is_some_and(|h| h.requests.same_channel(&handle.requests))
        {
            peers.remove(&addr);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<ids::NodeAddr, Handle>> {
        self.shared
            .peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Calls the peer on this connection.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Ambiguous`] if no answer arrived within the limit or the connection
    /// was lost.
    pub async fn call<F, Fut, T>(&self, limit: time::Duration, f: F) -> Result<T, error::Error>
    where
        F: FnOnce(peer::PeerClient, context::Context) -> Fut,
        Fut: Future<Output = Result<T, client::RpcError>>,
    {
        let mut context = context::Context::current();
        context.deadline = time::Instant::now() + limit;
        self.state.start_call();
        let _guard = CallGuard(Arc::clone(&self.state));
        match f(self.client.clone(), context).await {
            Ok(answer) => {
                self.state.record_received();
                Ok(answer)
            }
            Err(e) => Err(error::Error::Ambiguous(e.to_string())),
        }
    }
}

/// Owns the connection to one peer until the peer has been idle for [`IDLE_TIMEOUT`].
async fn run_peer(
    me: ids::NodeRef,
    addr: ids::NodeAddr,
    source: Option<addresses::IpAddr>,
    traffic: counted::Traffic,
    mut requests: mpsc::Receiver<ConnectRequest>,
) {
    let mut open: Option<OpenConnection> = None;
    let mut idle_since = clock::Instant::now();
    let mut poll_interval = IDLE_TIMEOUT;
    loop {
        tokio::select! {
            request = requests.recv() => {
                let Some(request) = request else { return };
                idle_since = clock::Instant::now();
                if open.as_ref().is_some_and(OpenConnection::is_lost) {
                    open = None;
                }
                let result = match &open {
                    Some(o) => Ok(o.connection.clone()),
                    None => dial(addr, source, traffic.clone()).await.map(|o| open.insert(o).connection.clone()),
                };
                // The requester may have been cancelled; the connection is kept.
                drop(request.send(result));
                poll_interval = CHECK_INTERVAL;
            }
            () = tokio::time::sleep(poll_interval) => {
                match &mut open {
                    Some(o) if o.is_lost() => open = None,
                    Some(o) if o.connection.state.has_outstanding() => {
                        idle_since = clock::Instant::now();
                        if o.is_silent() {
                            tracing::warn!(event = 203, peer = %addr, "peer connection is silent, closing it");
                            open = None;
                        } else {
                            o.keep_alive(me);
                        }
                    }
                    _ if clock::Instant::now().since(idle_since) >= IDLE_TIMEOUT => return,
                    // Each call starts with a connect request, which wakes this task.
                    _ => poll_interval = IDLE_TIMEOUT,
                }
            }
        }
    }
}

struct OpenConnection {
    connection: Connection,
    dispatch: task::JoinHandle<()>,
    ping: Option<task::JoinHandle<()>>,
}

impl OpenConnection {
    fn is_lost(&self) -> bool {
        self.dispatch.is_finished()
    }

    fn is_silent(&self) -> bool {
        self.connection.state.silence() > timing::SILENCE_TIMEOUT
    }

    fn keep_alive(&mut self, me: ids::NodeRef) {
        if self.connection.state.silence() < timing::KEEP_ALIVE_IDLE
            || self.ping.as_ref().is_some_and(|p| !p.is_finished())
        {
            return;
        }
        let connection = self.connection.clone();
        self.ping = Some(tokio::spawn(async move {
            let mut context = context::Context::current();
            context.deadline = time::Instant::now() + timing::SILENCE_TIMEOUT;
            let message = peer::Ping { from: me };
            if connection.client.ping(context, message).await.is_ok() {
                connection.state.record_received();
            }
        }));
    }
}

impl Drop for OpenConnection {
    /// Fails the calls that are still outstanding on the connection.
    fn drop(&mut self) {
        self.dispatch.abort();
        if let Some(ping) = &self.ping {
            ping.abort();
        }
    }
}

/// Opens a socket bound to the local address `source`, or to any if there is none.
async fn open_socket(
    addr: ids::NodeAddr,
    source: Option<addresses::IpAddr>,
) -> io::Result<net::TcpStream> {
    let Some(source) = source else {
        return net::TcpStream::connect(addr.0).await;
    };
    let socket = match source {
        addresses::IpAddr::V4(_) => net::TcpSocket::new_v4()?,
        addresses::IpAddr::V6(_) => net::TcpSocket::new_v6()?,
    };
    socket.bind((source, 0).into())?;
    socket.connect(addr.0).await
}

async fn dial(
    addr: ids::NodeAddr,
    source: Option<addresses::IpAddr>,
    traffic: counted::Traffic,
) -> Result<OpenConnection, error::Error> {
    let connecting = tokio::time::timeout(timing::CONNECT_TIMEOUT, open_socket(addr, source));
    let stream = match connecting.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(error::Error::Refused);
        }
        Ok(Err(e)) => return Err(error::Error::Unreachable(e.to_string())),
        Err(_) => {
            return Err(error::Error::Unreachable(
                "connection attempt timed out".to_owned(),
            ));
        }
    };
    stream.set_nodelay(true)?;
    let frames =
        peer_server::frame_codec().new_framed(counted::CountingStream::new(stream, traffic));
    let transport = tarpc::serde_transport::new(frames, formats::Bincode::default());
    let mut config = client::Config::default();
    config.max_in_flight_requests = MAX_IN_FLIGHT;
    config.pending_request_buffer = MAX_IN_FLIGHT;
    let created = peer::PeerClient::new(config, transport);
    let dispatch = tokio::spawn(async move {
        if let Err(e) = created.dispatch.await {
            tracing::debug!(event = 204, peer = %addr, error = %e, "peer connection lost");
        }
    });
    Ok(OpenConnection {
        connection: Connection {
            client: created.client,
            state: Arc::new(ConnectionState::new()),
        },
        dispatch,
        ping: None,
    })
}
