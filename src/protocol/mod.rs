//! Protocol layer: wire types and their conversion to and from the state layer.

pub mod error;
pub mod member;
pub mod peer;
pub mod platform;
pub mod record;
