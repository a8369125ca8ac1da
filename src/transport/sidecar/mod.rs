//! Connections of a sidecar: callers, its backend server, other nodes and the platform's store.
//!
//! All connections run on one thread, with one task per connection.

pub mod activity;
pub mod backend;
pub mod backend_memory;
pub mod byte_budget;
pub mod call_delay;
pub mod caller;
pub mod frames;
pub mod health;
pub mod http_server;
pub mod links;
pub mod message_cost;
pub mod peer_server;
pub mod read_buffer;
mod request_reader;
pub mod socket;
pub mod store;
pub mod writing;
