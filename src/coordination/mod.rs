//! Coordination layer: who owns what, where a request goes, and what is agreed.

pub mod backend;
pub mod balance;
pub mod config;
pub mod coordinator;
pub mod discovery;
pub mod error;
pub mod gate;
pub mod grants;
pub mod membership;
pub mod node;
pub mod outcomes;
pub mod owner;
pub mod packing;
pub mod placement;
pub mod records;
pub mod router;
pub mod service;
pub mod standby;
pub mod succession;
pub mod weight;
