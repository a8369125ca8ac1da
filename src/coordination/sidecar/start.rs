//! Errors at the start of a sidecar.

use std::fmt;
use std::net::SocketAddr;

/// Error at the start of a sidecar.
#[derive(Debug)]
pub struct StartError {
    /// Purpose of the address.
    pub purpose: &'static str,
    /// Address that can't be listened on.
    pub address: SocketAddr,
    /// Error of the system call.
    pub source: std::io::Error,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "can't listen on {} for {}: {}",
            self.address, self.purpose, self.source
        )
    }
}

impl std::error::Error for StartError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}
