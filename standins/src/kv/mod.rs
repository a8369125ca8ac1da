//! Test double of the platform's key-value service.

pub mod api;
pub mod cmd;
pub mod control;
pub mod fault;
pub mod store;
