//! Exit codes of the binaries, and the error type that carries one.

use std::{fmt, process};

/// Exit code of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// Runtime failure.
    Failure = 1,
    /// Invalid settings, document or usage.
    BadInput = 2,
    /// Conflict with a change that another operator submitted first.
    Conflict = 3,
    /// The platform's service or a node is unavailable, or the outcome of a write is unknown.
    Unavailable = 4,
}

/// Error of a command: a message for the user and the exit code of the process.
#[derive(Debug)]
pub struct CommandError {
    /// Exit code.
    pub code: ExitCode,
    /// Message for the user.
    pub message: String,
}

impl CommandError {
    /// Creates an error from its exit code and message.
    #[must_use]
    pub fn new(code: ExitCode, message: impl fmt::Display) -> Self {
        Self {
            code,
            message: message.to_string(),
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for CommandError {}

/// Prints the error of a command to the standard error stream, if any, and returns the exit code.
#[must_use]
pub fn report(result: eyre::Result<()>) -> process::ExitCode {
    let Err(e) = result else {
        return process::ExitCode::SUCCESS;
    };
    eprintln!("{e:#}");
    let code = e
        .downcast_ref::<CommandError>()
        .map_or(ExitCode::Failure, |error| error.code);
    process::ExitCode::from(code as u8)
}
