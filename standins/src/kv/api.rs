//! Calls of the service.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tiny_http::{Method, Request};

use crate::http;
use crate::kv::{fault, store};

/// Service with its faults.
#[derive(Debug)]
pub struct Api {
    /// Entries.
    pub store: store::Store,
    /// Faults and counts.
    pub faults: fault::Faults,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct PutBody {
    value: String,
    expect: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Written {
    revision: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Conflict {
    current: Option<store::Entry>,
}

impl Api {
    /// Answers a call, or leaves it unanswered as the fault demands.
    pub fn handle(&self, mut request: Request) {
        let url = request.url().to_owned();
        let path = url.split('?').next().unwrap_or_default();
        let method = request.method().clone();
        let call = match (&method, path) {
            (Method::Get, "/v1/list") => fault::Call::List,
            (Method::Get, "/v1/watch") => fault::Call::Watch,
            (Method::Get, _) => fault::Call::Get,
            (Method::Put, _) => fault::Call::Put,
            _ => return http::respond(request, http::text(405, "expected GET or PUT")),
        };
        self.faults.count(call);
        if !self.faults.admit() {
            return http::drop_unanswered(request);
        }
        let reply = match call {
            fault::Call::List => Some(self.list(&url)),
            fault::Call::Watch => self.watch(&url),
            fault::Call::Get => Some(self.get(path)),
            fault::Call::Put => self.put(path, &mut request),
        };
        match reply {
            Some(reply) => http::respond(request, reply),
            None => http::drop_unanswered(request),
        }
    }

    fn get(&self, path: &str) -> http::Reply {
        let Some(key) = path.strip_prefix("/v1/kv/") else {
            return http::text(404, "unknown path");
        };
        match self.store.get(key) {
            Some(entry) => http::json(200, &entry),
            None => http::text(404, "no entry"),
        }
    }

    fn put(&self, path: &str, request: &mut Request) -> Option<http::Reply> {
        let Some(key) = path.strip_prefix("/v1/kv/") else {
            return Some(http::text(404, "unknown path"));
        };
        let body: PutBody = match http::json_body(request) {
            Ok(body) => body,
            Err(e) => return Some(http::text(400, &e)),
        };
        match self.store.put(key, body.value, body.expect) {
            store::Put::Written(_) if self.faults.loses_answer() => None,
            store::Put::Written(revision) => Some(http::json(200, &Written { revision })),
            store::Put::Conflict(current) => Some(http::json(409, &Conflict { current })),
            store::Put::TooLarge => Some(http::text(413, "value is larger than 1 MiB")),
        }
    }

    fn list(&self, url: &str) -> http::Reply {
        let prefix = http::query(url, "prefix").unwrap_or_default();
        http::json(200, &self.store.list(prefix, 0))
    }

    fn watch(&self, url: &str) -> Option<http::Reply> {
        let prefix = http::query(url, "prefix").unwrap_or_default();
        let number = |name| http::query(url, name).and_then(|v| v.parse::<u64>().ok());
        let (Some(after), Some(wait)) = (number("after"), number("wait_ms")) else {
            return Some(http::text(400, "after and wait_ms are numbers"));
        };
        let is_open = || !matches!(self.faults.mode(), fault::Mode::Down | fault::Mode::Silent);
        self.faults.add_waiting(1);
        let listing = self
            .store
            .watch(prefix, after, Duration::from_millis(wait), is_open);
        self.faults.add_waiting(-1);
        listing.map(|listing| http::json(200, &listing))
    }
}
