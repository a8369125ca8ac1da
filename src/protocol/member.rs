//! Member entries: conversion to and from the member table, and the registration of a node in the
//! platform's key-value service.

use std::net;

use serde::{Deserialize, Serialize};

use crate::protocol::peer;
use crate::state::{ids, members};

/// Key prefix of node registrations.
pub const PREFIX: &str = "node/";

/// Value of the key `node/ADDR`, written once by each incarnation of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Registration {
    /// Address for other nodes.
    pub peer: ids::NodeAddr,
    /// Address for callers.
    pub caller: net::SocketAddr,
    /// Address for operators.
    pub admin: net::SocketAddr,
    /// Region of the host.
    pub region: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Incarnation of the process.
    pub incarnation: ids::Incarnation,
}

impl Registration {
    /// Returns the key of the registration.
    #[must_use]
    pub fn key(&self) -> String {
        format!("{PREFIX}{}", self.peer)
    }
}

impl From<members::ReportedBackend> for peer::BackendState {
    fn from(b: members::ReportedBackend) -> Self {
        Self {
            up: b.up,
            draining: b.draining,
            checks: b.checks,
            slots: b.slots,
        }
    }
}

impl From<peer::BackendState> for members::ReportedBackend {
    fn from(b: peer::BackendState) -> Self {
        Self {
            up: b.up,
            draining: b.draining,
            checks: b.checks,
            slots: b.slots,
        }
    }
}

impl From<members::Member> for peer::Member {
    fn from(m: members::Member) -> Self {
        Self {
            node: m.node,
            version: m.version,
            region: m.region,
            domain: m.domain,
            caller: m.caller,
            admin: m.admin,
            service: m.service,
            backend: m.backend.into(),
            left: m.left,
            document: m.document,
        }
    }
}

impl From<peer::Member> for members::Member {
    fn from(m: peer::Member) -> Self {
        Self {
            node: m.node,
            version: m.version,
            region: m.region,
            domain: m.domain,
            caller: m.caller,
            admin: m.admin,
            service: m.service,
            backend: m.backend.into(),
            left: m.left,
            document: m.document,
        }
    }
}
