//! Delivery of grants to the backend server beside this node.

use std::{net, time};

use crate::protocol::backend;
use crate::transport::error;

/// Time for one delivery; the next renewal sends a newer grant.
const TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Sends a grant.
///
/// # Errors
///
/// Returns an error if the backend server did not take the grant.
pub async fn send(addr: net::SocketAddr, grant: backend::GrantBody) -> Result<(), error::Error> {
    let sending = tokio::task::spawn_blocking(move || post(addr, &grant));
    sending
        .await
        .map_err(|e| error::Error::Ambiguous(e.to_string()))?
}

fn post(addr: net::SocketAddr, grant: &backend::GrantBody) -> Result<(), error::Error> {
    let body = serde_json::to_string(grant).map_err(crate::protocol::error::Error::from)?;
    let response = attohttpc::post(format!("http://{addr}/-/grant"))
        .header("content-type", "application/json")
        .connect_timeout(TIMEOUT)
        .read_timeout(TIMEOUT)
        .timeout(TIMEOUT)
        .text(body)
        .send()
        .map_err(|e| error::Error::Unreachable(e.to_string()))?;
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    Err(error::Error::Rejected {
        status: status.as_u16(),
        text: response.text().unwrap_or_default(),
    })
}
