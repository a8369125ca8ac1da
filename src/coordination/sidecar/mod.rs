//! Sidecar: the process that runs next to each backend server on the users' platform.
//!
//! `ingress` accepts callers' requests, `targets` selects where they are sent, and `dispatcher` runs
//! them on the local backend server; `transport::sidecar` carries requests between nodes.
//! `registration` keeps this node's entry in the platform's store, `watch` and `replication` copy the
//! store's items, and `membership` and `configuration` hold their decoded content. `grant_manager` and
//! `planner` maintain the assignment tables in the store. `node` builds and connects these parts.
//!
//! `admission`, `rate_limiter`, `service_times`, `signals`, `load_balancing`, `failure_rate`,
//! `retry_budget`, `overload_retry`, `catchup`, `forwarders`, `granted_ranges`, `plan`, `quarantine`,
//! `replica`, `reports`, `speed` and `warmup` do no input or output.

pub mod admission;
pub mod backoff;
pub mod catchup;
pub mod catchup_requests;
pub mod configuration;
pub mod confirmation;
pub mod crash_records;
pub mod departures;
pub mod dispatcher;
pub mod evacuation;
pub mod failure_rate;
pub mod forwarders;
pub mod grant_manager;
pub mod granted_ranges;
pub mod heartbeats;
pub mod ingress;
pub mod isolation;
pub mod life_reports;
pub mod load_balancing;
pub mod local_backend;
pub mod membership;
pub mod nested_calls;
pub mod node;
pub mod overload_retry;
pub mod peer_handler;
pub mod plan;
pub mod planner;
pub mod probe;
pub mod quarantine;
pub mod rate_limiter;
pub mod registration;
pub mod replica;
pub mod replication;
pub mod reported_holds;
pub mod reports;
pub mod request_context;
pub mod retry_budget;
pub mod service_times;
pub mod signals;
pub mod speed;
pub mod start;
pub mod tables;
pub mod targets;
pub mod warmup;
pub mod watch;
pub mod watchers;
