//! Active route configuration of this node.
//!
//! Only a higher version replaces the active one, so a running node never goes back to an earlier
//! version. A value that can't be decoded is ignored.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::protocol::adapter::{Adapter, Item};
use crate::protocol::compression;
use crate::protocol::mesh::{Items, StoredItem};
use crate::state::routes::{RouteTable, Version};
use crate::state::store_revision::Revision;

/// Active configuration and its encoded form.
#[derive(Debug)]
pub struct Configuration {
    adapter: Rc<dyn Adapter>,
    changed: Rc<Notify>,
    current: RefCell<Option<Rc<RouteTable>>>,
    /// Store item of the active configuration, with its value compressed.
    stored_item: RefCell<Option<StoredItem>>,
}

impl Configuration {
    /// Creates an empty configuration; `changed` is notified of each new version.
    #[must_use]
    pub fn new(adapter: Rc<dyn Adapter>, changed: Rc<Notify>) -> Self {
        Self {
            adapter,
            changed,
            current: RefCell::new(None),
            stored_item: RefCell::new(None),
        }
    }

    /// Returns the active configuration.
    #[must_use]
    pub fn get(&self) -> Option<Rc<RouteTable>> {
        self.current.borrow().clone()
    }

    /// Returns the active version, or 0 if there is none.
    #[must_use]
    pub fn version(&self) -> Version {
        let current = self.current.borrow();
        current.as_ref().map(|c| c.version).unwrap_or_default()
    }

    /// Returns the store item of the active configuration, compressed, for other nodes.
    #[must_use]
    pub fn compressed_item(&self) -> Items {
        Items {
            whole: false,
            since: Revision::default(),
            as_of: Revision::default(),
            items: self.stored_item.borrow().iter().cloned().collect(),
        }
    }

    /// Activates the configuration in a store item if it is newer.
    pub fn apply_item(&self, item: &Item) {
        self.activate(item, None);
    }

    /// Activates a compressed configuration from another node if it is newer.
    pub fn apply_compressed(&self, key: String, compressed: Vec<u8>, revision: u64) {
        match compression::decompress(&compressed) {
            Ok(value) => {
                let item = Item {
                    key,
                    value,
                    revision,
                };
                self.activate(&item, Some(compressed));
            }
            Err(e) => {
                tracing::error!(event = 364, revision, current = self.version().0, error = %e, "can't decompress a configuration from another node; keeping the active one");
            }
        }
    }

    fn activate(&self, item: &Item, compressed: Option<Vec<u8>>) {
        if item.key != self.adapter.config_key() {
            return;
        }
        match self.adapter.decode_config(&item.value) {
            Ok(table) if table.version > self.version() => {
                tracing::info!(
                    event = 361,
                    version = table.version.0,
                    before = self.version().0,
                    revision = item.revision,
                    routes = table.len(),
                    "configuration activated"
                );
                for (route, kind) in table.unknown_kinds() {
                    tracing::warn!(
                        event = 365,
                        version = table.version.0,
                        route,
                        kind,
                        "the kind of a route is unknown; its requests run at most once"
                    );
                }
                *self.current.borrow_mut() = Some(Rc::new(table));
                *self.stored_item.borrow_mut() = Some(StoredItem {
                    key: item.key.clone(),
                    value: Some(compressed.unwrap_or_else(|| compression::compress(&item.value))),
                    revision: item.revision,
                    base: 0,
                });
                self.changed.notify_waiters();
            }
            Ok(table) => {
                tracing::debug!(
                    event = 362,
                    version = table.version.0,
                    current = self.version().0,
                    "ignored a configuration that is not newer"
                );
            }
            Err(e) => {
                tracing::error!(event = 363, revision = item.revision, current = self.version().0, error = %e, "can't decode a configuration; keeping the active one");
            }
        }
    }
}
