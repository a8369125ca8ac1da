//! HTTP client of the local backend server.
//!
//! Requests run on blocking worker threads, one per slot in use, over a pool of connections. The
//! client never retries by itself: ureq 3 does not retry on a closed connection, and redirects are
//! disabled, so each job writes its request at most once. A request counts as sent unless it is
//! known not to have been.

use std::panic::{self, AssertUnwindSafe};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::{fmt, io, net, thread, time};

use crossbeam::channel;
use tokio::sync::oneshot;
use ureq::http;

use crate::protocol::{backend, peer};

/// Timeout for opening a connection to the server on the same host. About 1 ms is normal; with all
/// cores busy, 50 ms were exceeded in tests.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Maximum number of idle connections; the gate's limit on requests in flight bounds them further.
const MAX_IDLE_CONNECTIONS: usize = 1024;

/// Age at which an idle connection is closed.
const MAX_IDLE_AGE: time::Duration = time::Duration::from_secs(10);

/// Request to send to the backend server.
#[derive(Debug, Clone)]
pub struct Call {
    /// Address of the server.
    pub addr: net::SocketAddr,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Request identifier, which the response must echo.
    pub id: String,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

/// Complete response that echoes the identifier of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Received {
    /// The server ran the request.
    Answer(peer::BackendResponse),
    /// The server states that it did not run the request.
    Refused(backend::Refusal),
}

/// Reason why a request has no usable response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// Nothing listens at the address; nothing was written.
    Refused,
    /// Nothing was written.
    NotSent(String),
    /// The pre-send check rejected the request; nothing was written.
    Withheld(peer::NotRunReason),
    /// No complete response within the timeout.
    Timeout,
    /// The connection failed after something may have been written.
    Broken(String),
    /// The response is truncated, malformed or has another identifier.
    Mismatch(String),
}

/// Runs just before the request is written; returns the timeout of the call, or the reason not to
/// send it.
pub type PreSendCheck =
    Box<dyn FnOnce(&mut Call) -> Result<time::Duration, peer::NotRunReason> + Send>;

/// HTTP client with a connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    agent: ureq::Agent,
}

/// Pool of worker threads that send requests.
pub struct WorkerPool {
    client: Client,
    jobs: channel::Sender<Job>,
    queue: channel::Receiver<Job>,
    threads: AtomicUsize,
    busy: Arc<AtomicUsize>,
}

struct Job {
    call: Call,
    check: PreSendCheck,
    done: oneshot::Sender<Result<Received, SendError>>,
}

impl fmt::Debug for WorkerPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WorkerPool")
            .field("threads", &self.threads)
            .field("busy", &self.busy)
            .finish_non_exhaustive()
    }
}

impl Default for WorkerPool {
    fn default() -> Self {
        let (jobs, queue) = channel::unbounded();
        Self {
            client: Client::default(),
            jobs,
            queue,
            threads: AtomicUsize::new(0),
            busy: Arc::default(),
        }
    }
}

impl WorkerPool {
    /// Queues a call for a worker. The pool has as many threads as calls were in progress at once,
    /// which the caller bounds by its limit on requests in flight.
    pub fn submit(
        &self,
        call: Call,
        check: PreSendCheck,
    ) -> oneshot::Receiver<Result<Received, SendError>> {
        let (done, result) = oneshot::channel();
        let busy = self.busy.fetch_add(1, Ordering::Relaxed) + 1;
        if busy > self.threads.load(Ordering::Relaxed) {
            self.add_thread();
        }
        // `self` owns the receiver, so the send can't fail.
        drop(self.jobs.send(Job { call, check, done }));
        result
    }

    /// Returns a client for calls that run on the caller's thread.
    #[must_use]
    pub fn client(&self) -> Client {
        self.client.clone()
    }

    fn add_thread(&self) {
        let queue = self.queue.clone();
        let client = self.client.clone();
        let busy = Arc::clone(&self.busy);
        let spawned = thread::Builder::new()
            .name("backend".to_owned())
            .spawn(move || run_worker(&queue, &client, &busy));
        match spawned {
            Ok(_) => {
                self.threads.fetch_add(1, Ordering::Relaxed);
            }
            // The call waits for an existing worker.
            Err(e) => tracing::error!(event = 210, error = %e, "can't start a worker thread"),
        }
    }
}

fn run_worker(queue: &channel::Receiver<Job>, client: &Client, busy: &AtomicUsize) {
    for mut job in queue {
        let result = panic::catch_unwind(AssertUnwindSafe(|| match (job.check)(&mut job.call) {
            Ok(limit) => client.call(&job.call, limit),
            Err(reason) => Err(SendError::Withheld(reason)),
        }));
        let result =
            result.unwrap_or_else(|_| Err(SendError::Broken("the client panicked".to_owned())));
        busy.fetch_sub(1, Ordering::Relaxed);
        // The receiver may be gone when the node is shutting down.
        drop(job.done.send(result));
    }
}

impl Default for Client {
    fn default() -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .allow_non_standard_methods(true)
            .max_idle_connections(MAX_IDLE_CONNECTIONS)
            .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
            .max_idle_age(MAX_IDLE_AGE)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .proxy(None)
            .build();
        Self {
            agent: config.new_agent(),
        }
    }
}

impl Client {
    /// Sends a request once and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`], which distinguishes whether the request may have been delivered.
    pub fn call(&self, call: &Call, limit: time::Duration) -> Result<Received, SendError> {
        let mut builder = http::Request::builder()
            .method(call.method.as_str())
            .uri(format!("http://{}{}", call.addr, call.path))
            .header(backend::REQUEST_ID_HEADER, &call.id);
        for (name, value) in &call.headers {
            builder = builder.header(*name, value);
        }
        if let Some(content_type) = &call.content_type {
            builder = builder.header(http::header::CONTENT_TYPE, content_type);
        }
        let is_bodyless_method =
            matches!(call.method.as_str(), "GET" | "HEAD" | "DELETE" | "OPTIONS");
        let response = if is_bodyless_method && call.body.is_empty() {
            let request = builder.body(()).map_err(not_sent)?;
            self.send(request, limit)
        } else {
            // Given no body, ureq would send an empty chunked one.
            let request = builder.body(&call.body).map_err(not_sent)?;
            self.send(request, limit)
        };
        receive(call, response.map_err(classify)?)
    }

    /// Sends a control request without a body and returns the status and text of the response.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`], which distinguishes whether the request may have been delivered.
    pub fn control(
        &self,
        method: &str,
        addr: net::SocketAddr,
        path: &str,
        limit: time::Duration,
    ) -> Result<(u16, String), SendError> {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"));
        let response = if method == "GET" {
            self.send(request.body(()).map_err(not_sent)?, limit)
        } else {
            self.send(request.body("").map_err(not_sent)?, limit)
        };
        let mut response = response.map_err(classify)?;
        let text = response.body_mut().read_to_string().map_err(classify)?;
        Ok((response.status().as_u16(), text))
    }

    fn send<B: ureq::AsSendBody>(
        &self,
        request: http::Request<B>,
        limit: time::Duration,
    ) -> Result<http::Response<ureq::Body>, ureq::Error> {
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(limit))
            .build();
        self.agent.run(request)
    }
}

fn receive(call: &Call, mut response: http::Response<ureq::Body>) -> Result<Received, SendError> {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let id = header(backend::REQUEST_ID_HEADER);
    if id.as_deref() != Some(&call.id) {
        return Err(SendError::Mismatch(format!(
            "response has request id {id:?}"
        )));
    }
    let is_delimited = header("content-length").is_some()
        || header("transfer-encoding").is_some()
        || matches!(response.status().as_u16(), 204 | 304);
    if !is_delimited {
        // The end of the connection delimits such a response, so a truncated one would look
        // complete.
        return Err(SendError::Mismatch(
            "response has neither content-length nor transfer-encoding".to_owned(),
        ));
    }
    let refused = header(backend::REFUSED_HEADER);
    let content_type = header("content-type");
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .with_config()
        .limit(backend::MAX_BODY)
        .read_to_vec()
        .map_err(|e| match classify(e) {
            SendError::Timeout => SendError::Timeout,
            other => SendError::Mismatch(format!("incomplete body: {other:?}")),
        })?;
    if let Some(reason) = refused {
        let refusal = backend::Refusal::parse(&reason);
        // An unknown reason does not prove that the request was not run.
        return refusal
            .map(Received::Refused)
            .ok_or_else(|| SendError::Mismatch(format!("unknown refusal {reason:?}")));
    }
    Ok(Received::Answer(peer::BackendResponse {
        status,
        content_type,
        body,
    }))
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as the argument of `map_err`"
)]
fn not_sent(e: http::Error) -> SendError {
    SendError::NotSent(e.to_string())
}

fn classify(e: ureq::Error) -> SendError {
    match e {
        ureq::Error::Io(io) if io.kind() == io::ErrorKind::ConnectionRefused => SendError::Refused,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve)
        | ureq::Error::BadUri(_)
        | ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound => SendError::NotSent(e.to_string()),
        ureq::Error::Timeout(_) => SendError::Timeout,
        other => SendError::Broken(other.to_string()),
    }
}
