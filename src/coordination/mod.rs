//! Coordination layer: who owns what, where a request goes, and what is agreed.

pub mod admin;
pub mod backend;
pub mod config;
pub mod coordinator;
pub mod discovery;
pub mod error;
pub mod gate;
pub mod grants;
pub mod history;
pub mod lead;
pub mod load;
pub mod membership;
pub mod node;
pub mod outcomes;
pub mod owner;
pub mod pick;
pub mod place;
pub mod records;
pub mod retry;
pub mod router;
pub mod service;
pub mod standby;
pub mod store;
pub mod succession;
