//! Request router for services whose servers own keys exclusively.
//!
//! The layers, from the bottom up, are `state`, `protocol`, `transport`, `coordination` and `cmd`. A
//! layer depends only on the layers below it. See `docs/design.md` for the architecture.

pub mod cmd;
pub mod coordination;
pub mod metrics;
pub mod protocol;
pub mod state;
pub mod transport;
