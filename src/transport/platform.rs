//! Client of the platform's key-value service.
//!
//! Calls block a thread of the runtime's blocking pool. An unanswered call is ambiguous: the write
//! may have taken effect, and the caller has to read the entry back to find out.

use std::{net, time};

use serde::de;

use crate::protocol::{error as protocol, platform};
use crate::state::ids;
use crate::transport::{error, limited_text};

/// Timeout of a read or a write.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Client of the key-value service.
#[derive(Debug, Clone, Copy)]
pub struct Client {
    addr: net::SocketAddr,
}

/// Result of an answered compare-and-swap.
#[derive(Debug, Clone)]
pub enum SwapResult {
    /// The write took effect; the entry has this modification revision.
    Done(ids::ModRevision),
    /// The write had no effect; carries the current entry, if there is one.
    Conflict(Option<platform::Entry>),
}

impl Client {
    /// Creates a client without opening a connection.
    #[must_use]
    pub const fn new(addr: net::SocketAddr) -> Self {
        Self { addr }
    }

    /// Reads an entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer.
    pub async fn get(&self, key: &str) -> Result<Option<platform::Entry>, error::Error> {
        let url = self.url(&format!("/v1/kv/{key}"));
        blocking(move || match send(attohttpc::get(url), CALL_TIMEOUT) {
            Ok(entry) => Ok(Some(entry)),
            Err(error::Error::Rejected { status: 404, .. }) => Ok(None),
            Err(e) => Err(e),
        })
        .await
    }

    /// Writes an entry if its modification revision is `expect`.
    ///
    /// # Errors
    ///
    /// Returns an error for which [`error::Error::is_ambiguous`] holds if the write may have taken
    /// effect.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        value: String,
        expect: ids::ModRevision,
    ) -> Result<SwapResult, error::Error> {
        let url = self.url(&format!("/v1/kv/{key}"));
        let body = encode(&platform::Put { value, expect })?;
        blocking(move || {
            let request = attohttpc::put(url).text(body);
            match send::<platform::Written, _>(request, CALL_TIMEOUT) {
                Ok(written) => Ok(SwapResult::Done(written.revision)),
                Err(error::Error::Rejected { status: 409, text }) => {
                    let conflict: platform::Conflict =
                        serde_json::from_str(&text).map_err(protocol::Error::from)?;
                    Ok(SwapResult::Conflict(conflict.current))
                }
                Err(e) => Err(e),
            }
        })
        .await
    }

    /// Reads all entries under a prefix.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer.
    pub async fn list(&self, prefix: &str) -> Result<platform::Listing, error::Error> {
        let url = self.url(&format!("/v1/list?prefix={prefix}"));
        blocking(move || send(attohttpc::get(url), CALL_TIMEOUT)).await
    }

    /// Waits for entries under a prefix with a revision above `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer within `wait` plus the timeout
    /// of a call.
    pub async fn watch(
        &self,
        prefix: &str,
        after: ids::ModRevision,
        wait: time::Duration,
    ) -> Result<platform::Listing, error::Error> {
        let ms = wait.as_millis();
        let url = self.url(&format!(
            "/v1/watch?prefix={prefix}&after={after}&wait_ms={ms}"
        ));
        blocking(move || send(attohttpc::get(url), wait + CALL_TIMEOUT)).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }
}

async fn blocking<T, F>(f: F) -> Result<T, error::Error>
where
    T: Send + 'static,
    F: FnOnce() -> Result<T, error::Error> + Send + 'static,
{
    tokio::task::spawn_blocking(f)
        .await
        .map_err(|e| error::Error::Ambiguous(e.to_string()))?
}

fn encode<T: serde::Serialize>(value: &T) -> Result<String, error::Error> {
    Ok(serde_json::to_string(value).map_err(protocol::Error::from)?)
}

fn send<T, B>(
    request: attohttpc::RequestBuilder<B>,
    timeout: time::Duration,
) -> Result<T, error::Error>
where
    T: de::DeserializeOwned,
    B: attohttpc::body::Body,
{
    let response = request
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(timeout)
        .timeout(timeout)
        .send()
        .map_err(|e| classify(&e))?;
    let (status, text) =
        limited_text::read(response).map_err(|e| error::Error::Ambiguous(e.to_string()))?;
    if status.is_success() {
        Ok(serde_json::from_str(&text).map_err(protocol::Error::from)?)
    } else if status.is_server_error() {
        Err(error::Error::Ambiguous(format!("status {status}: {text}")))
    } else {
        Err(error::Error::Rejected {
            status: status.as_u16(),
            text,
        })
    }
}

fn classify(e: &attohttpc::Error) -> error::Error {
    match e.kind() {
        attohttpc::ErrorKind::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            error::Error::Refused
        }
        _ => error::Error::Ambiguous(e.to_string()),
    }
}
