//! Configuration document in force, and its way to all nodes.

use std::sync::{Arc, PoisonError, RwLock};

use tokio::sync::watch;

use crate::coordination::node;
use crate::protocol::peer;
use crate::state::{document, ids};

/// Document in force on this node.
#[derive(Debug)]
pub struct Config {
    current: RwLock<Option<Arc<Current>>>,
    changes: watch::Sender<ids::DocRevision>,
}

/// Document with its revision.
#[derive(Debug)]
pub struct Current {
    /// Revision.
    pub revision: ids::DocRevision,
    /// Text as submitted.
    pub text: String,
    /// Content.
    pub document: document::Document,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            current: RwLock::default(),
            changes: watch::Sender::new(ids::DocRevision(0)),
        }
    }
}

impl Config {
    /// Returns the document in force.
    #[must_use]
    pub fn current(&self) -> Option<Arc<Current>> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    /// Returns the revision in force, 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> ids::DocRevision {
        *self.changes.borrow()
    }

    /// Returns a receiver of the revision in force.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<ids::DocRevision> {
        self.changes.subscribe()
    }
}

/// Takes a document that a peer offers.
pub async fn document(_node: &Arc<node::Node>, _push: peer::Document) {}

/// Keeps the document up to date.
pub async fn run(_node: Arc<node::Node>) {}
