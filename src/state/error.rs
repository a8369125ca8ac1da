//! Errors of the state layer.

use std::fmt;

/// Error of the state layer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// A partition record violates an invariant.
    Record(String),
    /// Settings or a document were rejected; one entry per problem.
    Source(Vec<Problem>),
}

/// One problem in settings or in a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// File that was read.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column, counted from 1.
    pub column: usize,
    /// Path of the value, for example `services[0].slots`.
    pub path: String,
    /// Description of the found and the expected value.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file, line, column, ..
        } = self;
        write!(f, "{file}:{line}:{column}: {}: {}", self.path, self.message)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Record(why) => write!(f, "invalid partition record: {why}"),
            Self::Source(problems) => {
                for (i, p) in problems.iter().enumerate() {
                    if i > 0 {
                        f.write_str("\n")?;
                    }
                    write!(f, "{p}")?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for Error {}
