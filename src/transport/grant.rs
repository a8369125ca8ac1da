//! Delivery of grants to the local backend server.

use std::{net, time};

use crate::protocol::backend;
use crate::transport::{error, limited_text};

/// Timeout of one delivery. Failures are not retried, because the next renewal sends a newer grant.
const DELIVERY_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Posts a grant to the backend server.
///
/// # Errors
///
/// Returns an error if the backend server did not accept the grant.
pub async fn send(addr: net::SocketAddr, grant: backend::GrantBody) -> Result<(), error::Error> {
    let task = tokio::task::spawn_blocking(move || post(addr, &grant));
    task.await
        .map_err(|e| error::Error::Ambiguous(e.to_string()))?
}

fn post(addr: net::SocketAddr, grant: &backend::GrantBody) -> Result<(), error::Error> {
    let body = serde_json::to_string(grant).map_err(crate::protocol::error::Error::from)?;
    let response = attohttpc::post(format!("http://{addr}/-/grant"))
        .header("content-type", "application/json")
        .connect_timeout(DELIVERY_TIMEOUT)
        .read_timeout(DELIVERY_TIMEOUT)
        .timeout(DELIVERY_TIMEOUT)
        .text(body)
        .send()
        .map_err(|e| error::Error::Unreachable(e.to_string()))?;
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    let text = limited_text::read(response).map_or_else(|e| e.to_string(), |(_, text)| text);
    Err(error::Error::Rejected {
        status: status.as_u16(),
        text,
    })
}
