//! Startup errors of a sidecar.

use std::fmt;
use std::net::SocketAddr;

/// A listener could not be opened at startup.
#[derive(Debug)]
pub struct StartError {
    /// What the listener is for.
    pub purpose: &'static str,
    /// Address of the listener.
    pub address: SocketAddr,
    /// Cause, from the operating system.
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
