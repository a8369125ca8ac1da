//! Errors of the coordination layer.

use std::fmt;

use crate::protocol::error as protocol;
use crate::state::error as state;
use crate::transport::error as transport;

/// Error of the coordination layer.
#[derive(Debug)]
pub enum Error {
    /// A call to the platform's service or to a peer failed.
    Transport(transport::Error),
    /// A value from the platform's service or from a peer is invalid.
    Protocol(protocol::Error),
    /// A document or record is invalid.
    State(state::Error),
    /// The record was changed concurrently by another writer.
    Conflict,
    /// The node currently lacks the authority of a coordinator.
    NoAuthority,
}

impl Error {
    /// Returns whether the operation is known to have had no effect and may be retried.
    #[must_use]
    pub fn is_retriable(&self) -> bool {
        match self {
            Self::Transport(e) => e.is_retriable(),
            Self::Conflict | Self::NoAuthority => true,
            Self::Protocol(_) | Self::State(_) => false,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Transport(e) => e.fmt(f),
            Self::Protocol(e) => e.fmt(f),
            Self::State(e) => e.fmt(f),
            Self::Conflict => f.write_str("another writer changed the record first"),
            Self::NoAuthority => f.write_str("not allowed to act as coordinator now"),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Transport(e) => Some(e),
            Self::Protocol(e) => Some(e),
            Self::State(e) => Some(e),
            Self::Conflict | Self::NoAuthority => None,
        }
    }
}

impl From<transport::Error> for Error {
    fn from(e: transport::Error) -> Self {
        Self::Transport(e)
    }
}

impl From<protocol::Error> for Error {
    fn from(e: protocol::Error) -> Self {
        Self::Protocol(e)
    }
}

impl From<state::Error> for Error {
    fn from(e: state::Error) -> Self {
        Self::State(e)
    }
}
