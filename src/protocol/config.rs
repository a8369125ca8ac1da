//! Configuration document as the platform's service holds it.

use serde::{Deserialize, Serialize};

use crate::protocol::error;
use crate::state::ids;

/// Key of the document in the platform's service.
pub const KEY: &str = "config/document";

/// Prefix under which the document is watched.
pub const PREFIX: &str = "config/";

/// Value of the entry, as JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredDocument {
    /// Revision, increased by one with every accepted submission.
    pub revision: ids::DocRevision,
    /// Identifier of the submission, by which a lost response is resolved.
    pub submission: String,
    /// Text as submitted.
    pub text: String,
    /// Identifiers of the submissions before, the newest first, by which a lost response is
    /// resolved after others have submitted.
    #[serde(default)]
    pub earlier: Vec<String>,
}

/// Earlier submissions that are remembered; the resolution of a lost response takes seconds, in
/// which far fewer are accepted.
pub const MAX_EARLIER_SUBMISSIONS: usize = 64;

impl StoredDocument {
    /// Creates the value that follows an earlier one.
    #[must_use]
    pub fn successor(earlier: Option<&Self>, submission: &str, text: &str) -> Self {
        let revision = earlier.map_or(ids::DocRevision(0), |e| e.revision).next();
        let last = earlier.map(|e| e.submission.clone());
        let before = earlier.into_iter().flat_map(|e| e.earlier.iter().cloned());
        Self {
            revision,
            submission: submission.to_owned(),
            text: text.to_owned(),
            earlier: last
                .into_iter()
                .chain(before)
                .take(MAX_EARLIER_SUBMISSIONS)
                .collect(),
        }
    }

    /// Returns the submissions that led to this value, with the revision of each, the newest first.
    pub fn submissions(&self) -> impl Iterator<Item = (ids::DocRevision, &str)> {
        let all = [&self.submission].into_iter().chain(&self.earlier);
        let revisions = (1..=self.revision.0).rev().map(ids::DocRevision);
        revisions.zip(all.map(String::as_str))
    }

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
