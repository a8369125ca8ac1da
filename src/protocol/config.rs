//! Configuration document as stored in the platform's key-value service.

use serde::{Deserialize, Serialize};

use crate::protocol::error;
use crate::state::ids;

/// Key of the document in the key-value service.
pub const KEY: &str = "config/document";

/// Key prefix to watch for changes of the document.
pub const PREFIX: &str = "config/";

/// Value of the document's entry, encoded as JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredDocument {
    /// Document revision, incremented by each accepted submission.
    pub revision: ids::DocRevision,
    /// Identifier of the submission. A client whose response was lost looks for it here.
    pub submission: String,
    /// Document text as submitted.
    pub text: String,
    /// Identifiers of earlier submissions, newest first, so that a lost response can still be
    /// resolved after later submissions.
    #[serde(default)]
    pub earlier: Vec<String>,
}

/// Maximum number of earlier submissions kept. A lost response is resolved within seconds, and far
/// fewer submissions are accepted in that time.
pub const MAX_EARLIER_SUBMISSIONS: usize = 64;

impl StoredDocument {
    /// Creates the value that replaces `earlier`, with the next revision.
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

    /// Returns the known submissions with their revisions, newest first.
    pub fn submissions(&self) -> impl Iterator<Item = (ids::DocRevision, &str)> {
        let all = [&self.submission].into_iter().chain(&self.earlier);
        let revisions = (1..=self.revision.0).rev().map(ids::DocRevision);
        revisions.zip(all.map(String::as_str))
    }

    /// Decodes the value of the entry.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Decode`] if the value is not valid JSON of this type.
    pub fn parse(value: &str) -> Result<Self, error::Error> {
        Ok(serde_json::from_str(value)?)
    }

    /// Encodes the value of the entry.
    ///
    /// # Panics
    ///
    /// Never panics: integers and strings always serialize to JSON.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("integers and strings serialize to JSON")
    }
}
