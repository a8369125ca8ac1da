//! Configuration in force on this node.
//!
//! A version replaces the one before only if it is higher, so the node never goes back within its
//! life. A value that can't be read changes nothing.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::protocol::adapter::{Adapter, Item};
use crate::protocol::compression;
use crate::protocol::mesh::{Items, StoredItem};
use crate::state::routes::{RouteTable, Version};

/// Configuration in force.
#[derive(Debug)]
pub struct Configuration {
    adapter: Rc<dyn Adapter>,
    changed: Rc<Notify>,
    current: RefCell<Option<Rc<RouteTable>>>,
    /// Item of the store with its value compressed.
    source: RefCell<Option<StoredItem>>,
}

impl Configuration {
    /// Creates a node without a configuration; `changed` is told of each new one.
    #[must_use]
    pub fn new(adapter: Rc<dyn Adapter>, changed: Rc<Notify>) -> Self {
        Self {
            adapter,
            changed,
            current: RefCell::new(None),
            source: RefCell::new(None),
        }
    }

    /// Returns the key of the configuration in the store.
    #[must_use]
    pub fn key(&self) -> String {
        self.adapter.config_key().to_owned()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn get(&self) -> Option<Rc<RouteTable>> {
        self.current.borrow().clone()
    }

    /// Returns the version in force, 0 if there is none.
    #[must_use]
    pub fn version(&self) -> Version {
        let current = self.current.borrow();
        current.as_ref().map(|c| c.version).unwrap_or_default()
    }

    /// Returns the configuration in force for other nodes, its value compressed.
    #[must_use]
    pub fn compressed_item(&self) -> Items {
        Items {
            whole: false,
            since: 0,
            as_of: 0,
            items: self.source.borrow().iter().cloned().collect(),
        }
    }

    /// Takes an item of the store over, if it is a newer configuration.
    pub fn apply_item(&self, item: &Item) {
        self.replace(item, None);
    }

    /// Takes over what another node has sent, if it is a newer configuration.
    pub fn apply_compressed(&self, key: String, packed: Vec<u8>, revision: u64) {
        match compression::decompress(&packed) {
            Ok(value) => {
                let item = Item {
                    key,
                    value,
                    revision,
                };
                self.replace(&item, Some(packed));
            }
            Err(e) => {
                tracing::error!(event = 364, revision, current = self.version().0, error = %e, "a configuration from another node can't be unpacked; the last one stays in force");
            }
        }
    }

    fn replace(&self, item: &Item, packed: Option<Vec<u8>>) {
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
                    "a configuration is in force"
                );
                *self.current.borrow_mut() = Some(Rc::new(table));
                *self.source.borrow_mut() = Some(StoredItem {
                    key: item.key.clone(),
                    value: Some(packed.unwrap_or_else(|| compression::compress(&item.value))),
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
                    "a configuration that is not newer is ignored"
                );
            }
            Err(e) => {
                tracing::error!(event = 363, revision = item.revision, current = self.version().0, error = %e, "a configuration can't be read; the last one stays in force");
            }
        }
    }
}
