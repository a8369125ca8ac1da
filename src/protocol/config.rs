//! Configuration document as the platform's service holds it.

use serde::{Deserialize, Serialize};

use crate::protocol::error;
use crate::state::ids;

/// Key of the document in the platform's service.
pub const KEY: &str = "config/document";

/// Prefix under which the document is watched.
pub const PREFIX: &str = "config/";

/// Value of the entry, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// Revision, increased by one with every accepted submission.
    pub revision: ids::DocRevision,
    /// Identifier of the submission, by which a lost response is resolved.
    pub submission: String,
    /// Text as submitted.
    pub text: String,
}

impl Stored {
    /// Reads the value of the entry.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Decode`] if the value has another form.
    pub fn parse(value: &str) -> Result<Self, error::Error> {
        Ok(serde_json::from_str(value)?)
    }

    /// Writes the value of the entry.
    ///
    /// # Panics
    ///
    /// Never; numbers and texts can always be written as JSON.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("numbers and texts can be written as JSON")
    }
}
