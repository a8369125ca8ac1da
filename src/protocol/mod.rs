//! Protocol layer: wire formats and conversions between wire types and state types.

pub mod adapter;
pub mod admin;
pub mod backend;
pub mod body;
pub mod body_reader;
pub mod buffer;
pub mod caller;
pub mod compression;
pub mod config;
pub mod crash_record;
pub mod diff;
pub mod document;
pub mod edit;
pub mod error;
pub mod exposition;
pub mod heap_size;
pub mod http;
pub mod member;
pub mod mesh;
pub mod ownership;
pub mod peer;
pub mod platform;
pub mod record;
pub mod settings;
pub mod source;
pub mod validation;
