//! Sidecar: decisions without input and output, and connections against scripted peers.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

mod adapter;
mod admission;
mod backend;
mod budget;
mod call_delay;
mod caller;
mod catchup;
mod choose;
mod compression;
mod endless;
mod evidence;
mod fading;
mod forwarders;
mod grant_manager;
mod heat;
mod http;
mod incarnations;
mod keyspace;
mod links;
mod offers;
mod pace;
mod plan;
mod replica;
mod reports;
mod routes;
mod runtimes;
