//! Protocol layer: wire types and their conversion to and from the state layer.

pub mod backend;
pub mod caller;
pub mod error;
pub mod peer;
pub mod platform;
pub mod record;
