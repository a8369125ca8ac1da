//! Router for servers that own keys exclusively.
//!
//! The layers are `state`, `protocol`, `transport`, `coordination` and `cmd`; a lower one never
//! depends on a higher one. `docs/design.md` describes the whole.

pub mod cmd;
pub mod coordination;
pub mod metrics;
pub mod protocol;
pub mod state;
pub mod transport;
