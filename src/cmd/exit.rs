//! Exit codes of all binaries, and errors that carry one.

use std::{fmt, process};

/// Exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// Failure at run time.
    Failure = 1,
    /// Invalid settings, document or usage.
    BadInput = 2,
    /// Another operator's change came first.
    Conflict = 3,
    /// The platform's service is not available, or the outcome of a write is not known.
    Unavailable = 4,
}

/// Message for the person in the terminal, with the exit code that goes with it.
#[derive(Debug)]
pub struct CommandError {
    /// Exit code.
    pub code: ExitCode,
    /// Message.
    pub message: String,
}

impl CommandError {
    /// Creates a failure.
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

/// Prints an error and returns its exit code.
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
