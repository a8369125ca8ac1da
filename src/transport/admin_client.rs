//! HTTP client for the admin address of a node, used by the commands.

use std::{net, time};

use serde::de;

use crate::protocol::{admin, error as protocol};
use crate::transport::{error, limited_text};

/// Timeout of one call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Reads the status of a node.
///
/// # Errors
///
/// Returns an error if the node does not answer.
pub fn status(addr: net::SocketAddr) -> Result<admin::Status, error::Error> {
    get(addr, "/status", &[])
}

/// Reads the revision in force on a node.
///
/// # Errors
///
/// Returns an error if the node does not answer.
pub fn revision(addr: net::SocketAddr) -> Result<admin::ActiveRevision, error::Error> {
    get(addr, "/revision", &[])
}

/// Reads the owner of a key and the reasons for its placement.
///
/// # Errors
///
/// Returns [`error::Error::Rejected`] if the node does not know the service.
pub fn explain(
    addr: net::SocketAddr,
    service: &str,
    key: &str,
) -> Result<admin::Explanation, error::Error> {
    get(addr, "/explain", &[("service", service), ("key", key)])
}

/// Reads the document in force on a node.
///
/// # Errors
///
/// Returns [`error::Error::Rejected`] if the node has none.
pub fn document(addr: net::SocketAddr) -> Result<admin::Document, error::Error> {
    get(addr, "/document", &[])
}

/// Reads the metrics of a node in the Prometheus text format.
///
/// # Errors
///
/// Returns an error if the node does not answer.
pub fn metrics(addr: net::SocketAddr) -> Result<String, error::Error> {
    text(addr, "/metrics", &[])
}

fn get<T: de::DeserializeOwned>(
    addr: net::SocketAddr,
    path: &str,
    query: &[(&str, &str)],
) -> Result<T, error::Error> {
    let text = text(addr, path, query)?;
    Ok(serde_json::from_str(&text).map_err(protocol::Error::from)?)
}

fn text(addr: net::SocketAddr, path: &str, query: &[(&str, &str)]) -> Result<String, error::Error> {
    let response = attohttpc::get(format!("http://{addr}{path}"))
        .params(query)
        .timeout(CALL_TIMEOUT)
        .send()
        .map_err(|e| error::Error::Unreachable(e.to_string()))?;
    let (status, text) =
        limited_text::read(response).map_err(|e| error::Error::Unreachable(e.to_string()))?;
    if status.is_success() {
        return Ok(text);
    }
    let parsed = serde_json::from_str::<admin::ErrorResponse>(&text);
    Err(error::Error::Rejected {
        status: status.as_u16(),
        text: parsed.map_or(text, |r| r.error),
    })
}
