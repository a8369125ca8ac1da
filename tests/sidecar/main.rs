//! Tests of the sidecar: logic without input and output, and connections against scripted peers.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

mod adapter;
mod admission;
mod backend;
mod backoff;
mod byte_budget;
mod call_delay;
mod caller;
mod catchup;
mod compression;
mod confirmation;
mod crash_records;
mod cut_heads;
mod decayed_average;
mod endless;
mod endless_bytes;
mod evacuation;
mod failure_rate;
mod forwarders;
mod full_buffers;
mod grant_manager;
mod http;
mod incarnations;
mod key_rates;
mod keyspace;
mod links;
mod load_balancing;
mod nested_calls;
mod overload_retry;
mod plan;
mod quarantine;
mod rate_limiter;
mod refusals;
mod replica;
mod replies;
mod reports;
mod restarts;
mod retry_budget;
mod routes;
mod service_times;
mod signals;
mod speed;
mod warmup;
mod watchers;
