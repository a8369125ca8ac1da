//! State layer: identifiers, time, records, settings and the document.
//!
//! Nothing here does input or output; upper layers decide when state changes.

pub mod clock;
pub mod crash_evidence;
pub mod decayed_average;
pub mod document;
pub mod error;
pub mod fingerprint;
pub mod ids;
pub mod key_rates;
pub mod keyspace;
pub mod members;
pub mod record;
pub mod reservation;
pub mod routes;
pub mod settings;
pub mod sidecar_settings;
pub mod sketch;
pub mod store_revision;
pub mod timing;
