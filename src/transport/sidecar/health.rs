//! Health checks of the local backend server, over a connection of their own.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time;

use crate::protocol::http;
use crate::transport::sidecar::socket::{ReadError, Socket};

/// Maximum size of the body of a response, in bytes.
const MAX_BODY: usize = 64 * 1024;

/// Client for health checks, which keeps its connection open.
#[derive(Debug, Default)]
pub struct HealthClient {
    idle: RefCell<Option<(SocketAddr, Socket)>>,
}

impl HealthClient {
    /// Requests a path and returns the head of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no complete response within `limit`.
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> io::Result<http::ResponseHead> {
        let exchange = self.exchange(address, path, limit);
        let response = time::timeout(limit, exchange).await;
        response.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> io::Result<http::ResponseHead> {
        let idle = self.idle.take();
        let usable = idle.filter(|(to, socket)| *to == address && socket.is_idle());
        let mut socket = match usable {
            Some((_, socket)) => socket,
            None => Socket::connect(address, limit).await?,
        };
        let headers = [http::Header::new("Host", address.to_string())];
        let request = http::write_request("GET", path, &headers, &[]);
        socket.write(&request).await?;
        let response = socket.read_response("GET", MAX_BODY).await;
        let (head, _) = response.map_err(|e| match e {
            ReadError::Io(e) => e,
            ReadError::Malformed(e) => io::Error::new(io::ErrorKind::InvalidData, e),
        })?;
        if head.keep_alive {
            *self.idle.borrow_mut() = Some((address, socket));
        }
        Ok(head)
    }
}
