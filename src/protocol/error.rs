//! Errors of the protocol layer.

use std::fmt;

use crate::state::error as state;

/// Error of the protocol layer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The input can't be decoded.
    Decode(String),
    /// The decoded value violates an invariant of the state layer.
    State(state::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decode(reason) => write!(f, "can't decode: {reason}"),
            Self::State(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Decode(_) => None,
            Self::State(e) => Some(e),
        }
    }
}

impl From<state::Error> for Error {
    fn from(e: state::Error) -> Self {
        Self::State(e)
    }
}

impl From<serde_json::Error> for Error {
    fn from(e: serde_json::Error) -> Self {
        Self::Decode(e.to_string())
    }
}
