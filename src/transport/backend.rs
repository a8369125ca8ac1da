//! HTTP to the backend server beside this node.
//!
//! Requests run on blocking worker threads, one for each slot that is in use, over a pool of
//! connections. The client never sends a request again by itself: version 3 of ureq neither
//! retries on a connection that was closed nor follows redirects here, so each job writes its
//! request at most once. What can't be proved to have stayed unsent counts as sent.

use std::panic::{self, AssertUnwindSafe};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::{fmt, io, net, thread, time};

use crossbeam::channel;
use tokio::sync::oneshot;
use ureq::http;

use crate::protocol::{backend, peer};

/// Time to open a connection; the server is on the same host, where about 1 ms is normal. Under
/// load on all cores 50 ms were exceeded in tests.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Idle connections kept; the gate's limit on requests in flight bounds them further.
const MAX_IDLE: usize = 1024;

/// Age at which an idle connection is closed.
const MAX_IDLE_AGE: time::Duration = time::Duration::from_secs(10);

/// Request to the backend server.
#[derive(Debug, Clone)]
pub struct Call {
    /// Address of the server.
    pub addr: net::SocketAddr,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Identifier that the response must carry.
    pub id: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

/// Complete response that carries the identifier of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Received {
    /// The server ran the request.
    Answer(peer::BackendResponse),
    /// The server proves that it did not run the request.
    Refused(backend::Refusal),
}

/// Request without a usable response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// Nothing listens at the address; nothing was written.
    Refused,
    /// Nothing was written.
    NotSent(String),
    /// The check before the write refused it; nothing was written.
    Withheld(peer::NotRunReason),
    /// No complete response within the limit.
    Timeout,
    /// The connection failed after something may have been written.
    Broken(String),
    /// The response is truncated, malformed or carries another identifier.
    Mismatch(String),
}

/// Runs just before the request is written; returns the timeout of the call, or the reason not to
/// send it.
pub type PreSendCheck =
    Box<dyn FnOnce(&mut Call) -> Result<time::Duration, peer::NotRunReason> + Send>;

/// Pool of connections.
#[derive(Debug, Clone)]
pub struct Client {
    agent: ureq::Agent,
}

/// Worker threads.
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
    /// Starts a call on a worker; the number of calls that are started at once is the caller's
    /// limit on requests in flight, and so is the number of threads.
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
        // The receiver lives as long as the sender.
        drop(self.jobs.send(Job { call, check, done }));
        result
    }

    /// Returns the client, for calls that need no worker.
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
            .spawn(move || work(&queue, &client, &busy));
        match spawned {
            Ok(_) => {
                self.threads.fetch_add(1, Ordering::Relaxed);
            }
            // The call waits for one of the existing workers.
            Err(e) => tracing::error!(event = 210, error = %e, "can't start a worker thread"),
        }
    }
}

fn work(queue: &channel::Receiver<Job>, client: &Client, busy: &AtomicUsize) {
    for mut job in queue {
        let outcome = panic::catch_unwind(AssertUnwindSafe(|| match (job.check)(&mut job.call) {
            Ok(limit) => client.call(&job.call, limit),
            Err(reason) => Err(SendError::Withheld(reason)),
        }));
        let outcome =
            outcome.unwrap_or_else(|_| Err(SendError::Broken("the client panicked".to_owned())));
        busy.fetch_sub(1, Ordering::Relaxed);
        // Nobody waits any more if the node is shutting down.
        drop(job.done.send(outcome));
    }
}

impl Default for Client {
    fn default() -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .allow_non_standard_methods(true)
            .max_idle_connections(MAX_IDLE)
            .max_idle_connections_per_host(MAX_IDLE)
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
    /// Sends a request once and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`], which tells whether the request may have been delivered.
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
        let bare = matches!(call.method.as_str(), "GET" | "HEAD" | "DELETE" | "OPTIONS");
        let response = if bare && call.body.is_empty() {
            let request = builder.body(()).map_err(unsendable)?;
            self.send(request, limit)
        } else {
            // Without a body of known length the library would send an empty chunked one.
            let request = builder.body(&call.body).map_err(unsendable)?;
            self.send(request, limit)
        };
        receive(call, response.map_err(failure)?)
    }

    /// Sends a short control call without a body, and returns status and text.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`], which tells whether the request may have been delivered.
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
            self.send(request.body(()).map_err(unsendable)?, limit)
        } else {
            self.send(request.body("").map_err(unsendable)?, limit)
        };
        let mut response = response.map_err(failure)?;
        let text = response.body_mut().read_to_string().map_err(failure)?;
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
        return Err(SendError::Mismatch(format!("response carries id {id:?}")));
    }
    let delimited = header("content-length").is_some()
        || header("transfer-encoding").is_some()
        || matches!(response.status().as_u16(), 204 | 304);
    if !delimited {
        // Such a response ends with its connection, so a short one would look complete.
        return Err(SendError::Mismatch(
            "response declares no length".to_owned(),
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
        .map_err(|e| match failure(e) {
            SendError::Timeout => SendError::Timeout,
            other => SendError::Mismatch(format!("incomplete body: {other:?}")),
        })?;
    if let Some(why) = refused {
        let refusal = backend::Refusal::parse(&why);
        // An unknown word proves nothing.
        return refusal
            .map(Received::Refused)
            .ok_or_else(|| SendError::Mismatch(format!("unknown refusal {why:?}")));
    }
    Ok(Received::Answer(peer::BackendResponse {
        status,
        content_type,
        body,
    }))
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the signature is that of a mapping function"
)]
fn unsendable(e: http::Error) -> SendError {
    SendError::NotSent(e.to_string())
}

fn failure(e: ureq::Error) -> SendError {
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
