//! Sidecar: the one process beside a backend server on the users' platform.
//!
//! `entry` takes callers' requests, `targets` knows where they may go, and `gate` runs them on the
//! backend server beside it; between two nodes they meet through `transport::sidecar`. `membership`,
//! `departures` and `configuration` follow the platform's store, `directory` passes on what was seen
//! there, `owner` and `planner` keep the ownership of keys there. `node` puts the parts together.
//! `admission`, `runtimes`, `choose`, `budget`, `reports`, `replica`, `holdings` and `plan` decide
//! without input or output.

pub mod admission;
pub mod budget;
pub mod catchup;
pub mod choose;
pub mod configuration;
pub mod departures;
pub mod entry;
pub mod evidence;
pub mod forwarders;
pub mod gate;
pub mod grant_manager;
pub mod granted_ranges;
pub mod heartbeats;
pub mod local_backend;
pub mod node;
pub mod offers;
pub mod pace;
pub mod passage;
pub mod peer_handler;
pub mod plan;
pub mod planner;
pub mod registration;
pub mod replica;
pub mod replication;
pub mod reports;
pub mod roster;
pub mod runtimes;
pub mod start;
pub mod tables;
pub mod targets;
pub mod watch;
