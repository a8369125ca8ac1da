//! Backend server beside this node: what it announces and how it behaves.

use std::sync::Arc;

use crate::coordination::node;
use crate::protocol::{backend as wire, peer};

/// Backend server beside this node.
#[derive(Debug, Default)]
pub struct Backend {}

impl Backend {
    /// Takes an announcement.
    pub fn announce(&self, _announcement: wire::Announcement) {}

    /// Returns the service and state of the backend server, if one has announced itself.
    #[must_use]
    pub fn state(&self) -> Option<(String, peer::BackendState)> {
        None
    }
}

/// Watches the backend server.
pub async fn run(_node: Arc<node::Node>) {}
