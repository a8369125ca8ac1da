//! Transport layer: connections to peers, to the platform's key-value service and to the backend
//! server, and the listeners for callers and operators.

pub mod admin;
pub mod admin_client;
pub mod backend;
pub mod caller_listener;
pub mod counted;
pub mod error;
pub mod grant;
mod limited_text;
pub mod peer_server;
pub mod peers;
pub mod platform;
pub mod self_connect;
pub mod sidecar;
