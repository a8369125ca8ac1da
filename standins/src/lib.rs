//! Stand-ins for the systems around filbertflow, for tests only.
//!
//! They define their own message types instead of sharing the product's, so that a mistake in the
//! product's codecs can't cancel out.

pub mod backend;
pub mod http;
pub mod journal;
pub mod kv;
