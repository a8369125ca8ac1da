//! Connections of a sidecar: callers, its backend server, other nodes and the platform's store.
//!
//! All run on one thread, one task for each connection.

pub mod backend;
pub mod caller;
pub mod frames;
pub mod lag;
pub mod links;
pub mod peers;
pub mod server;
pub mod socket;
pub mod store;
