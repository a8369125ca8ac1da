//! Transport layer: connections to peers, to the platform's service and to the backend server.

pub mod counted;
pub mod error;
pub mod peer_server;
pub mod peers;
pub mod platform;
