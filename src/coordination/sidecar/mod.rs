//! Sidecar: the one process beside a backend server on the users' platform.
//!
//! `ingress` takes callers' requests, `targets` knows where they may go, and `dispatcher` runs them on the
//! backend server beside it; between two nodes they meet through `transport::sidecar`. `membership`,
//! `departures` and `configuration` follow the platform's store, `directory` passes on what was seen
//! there, `owner` and `planner` keep the ownership of keys there. `node` puts the parts together.
//! `admission`, `service_times`, `load_balancing`, `retry_budget`, `reports`, `replica`, `holdings` and `plan` decide
//! without input or output.

pub mod admission;
pub mod backoff;
pub mod catchup;
pub mod configuration;
pub mod departures;
pub mod dispatcher;
pub mod failure_rate;
pub mod forwarders;
pub mod grant_manager;
pub mod granted_ranges;
pub mod heartbeats;
pub mod ingress;
pub mod load_balancing;
pub mod local_backend;
pub mod membership;
pub mod node;
pub mod overload_retry;
pub mod peer_handler;
pub mod plan;
pub mod planner;
pub mod registration;
pub mod replica;
pub mod replication;
pub mod reports;
pub mod request_context;
pub mod retry_budget;
pub mod service_times;
pub mod start;
pub mod tables;
pub mod targets;
pub mod watch;
