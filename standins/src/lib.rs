//! Test doubles of the systems that filbertflow talks to.
//!
//! They define their own message types instead of sharing filbertflow's, so that an error in a
//! shared codec can't cancel itself out between the two sides.

pub mod backend;
pub mod http;
pub mod journal;
pub mod kv;
