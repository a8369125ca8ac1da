//! Errors of the transport layer.

use std::{fmt, io};

use crate::protocol::error as protocol;

/// Error of the transport layer.
#[derive(Debug)]
pub enum Error {
    /// The host refused the connection: no process listens at the address.
    Refused,
    /// No connection within the time limit, or the connection was lost.
    Unreachable(String),
    /// The call was sent but not answered in time; it may have taken effect.
    Ambiguous(String),
    /// The server rejected the call, which had no effect.
    Rejected {
        /// HTTP status.
        status: u16,
        /// Body of the response.
        text: String,
    },
    /// The response can't be decoded.
    Protocol(protocol::Error),
    /// A socket or thread could not be set up.
    Io(io::Error),
}

impl Error {
    /// Returns whether the call is known to have had no effect and may be retried.
    #[must_use]
    pub fn is_retriable(&self) -> bool {
        match self {
            Self::Refused | Self::Unreachable(_) => true,
            Self::Ambiguous(_) | Self::Rejected { .. } | Self::Protocol(_) | Self::Io(_) => false,
        }
    }

    /// Returns whether the call may have taken effect.
    #[must_use]
    pub fn is_ambiguous(&self) -> bool {
        matches!(self, Self::Ambiguous(_) | Self::Protocol(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => f.write_str("connection refused"),
            Self::Unreachable(why) => write!(f, "unreachable: {why}"),
            Self::Ambiguous(why) => write!(f, "no answer: {why}"),
            Self::Rejected { status, text } => write!(f, "rejected with status {status}: {text}"),
            Self::Protocol(e) => e.fmt(f),
            Self::Io(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Protocol(e) => Some(e),
            Self::Io(e) => Some(e),
            _ => None,
        }
    }
}

impl From<protocol::Error> for Error {
    fn from(e: protocol::Error) -> Self {
        Self::Protocol(e)
    }
}

impl From<io::Error> for Error {
    fn from(e: io::Error) -> Self {
        if e.kind() == io::ErrorKind::ConnectionRefused {
            Self::Refused
        } else {
            Self::Io(e)
        }
    }
}
