//! HTTP API of the key-value service.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tiny_http::{Method, Request};

use crate::http;
use crate::kv::{fault, store};

/// State of the key-value service.
#[derive(Debug)]
pub struct KvApi {
    /// Stored entries.
    pub store: store::Store,
    /// Injected fault and call counts.
    pub faults: fault::FaultState,
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

impl KvApi {
    /// Handles a call. Sends no response if the injected fault says so.
    pub fn handle(&self, mut request: Request) {
        let url = request.url().to_owned();
        let path = url.split('?').next().unwrap_or_default();
        let method = request.method().clone();
        let kind = match (&method, path) {
            (Method::Get, "/v1/list") => fault::CallKind::List,
            (Method::Get, "/v1/watch") => fault::CallKind::Watch,
            (Method::Get, _) => fault::CallKind::Get,
            (Method::Put, _) => fault::CallKind::Put,
            _ => return http::respond(request, http::text_response(405, "expected GET or PUT")),
        };
        self.faults.record_call(kind);
        if !self.faults.should_respond() {
            return http::close_without_response(request);
        }
        let response = match kind {
            fault::CallKind::List => Some(self.list(&url)),
            fault::CallKind::Watch => self.watch(&url),
            fault::CallKind::Get => Some(self.get(path)),
            fault::CallKind::Put => self.put(path, &mut request),
        };
        match response {
            Some(response) => http::respond(request, response),
            None => http::close_without_response(request),
        }
    }

    fn get(&self, path: &str) -> http::BufferedResponse {
        let Some(key) = path.strip_prefix("/v1/kv/") else {
            return http::text_response(404, "unknown path");
        };
        match self.store.get(key) {
            Some(entry) => http::json_response(200, &entry),
            None => http::text_response(404, "no entry"),
        }
    }

    fn put(&self, path: &str, request: &mut Request) -> Option<http::BufferedResponse> {
        let Some(key) = path.strip_prefix("/v1/kv/") else {
            return Some(http::text_response(404, "unknown path"));
        };
        let body: PutBody = match http::read_json(request) {
            Ok(body) => body,
            Err(e) => return Some(http::text_response(400, &e)),
        };
        match self.store.put(key, body.value, body.expect) {
            store::PutResult::Written(_) if self.faults.take_lost_answer() => None,
            store::PutResult::Written(revision) => {
                Some(http::json_response(200, &Written { revision }))
            }
            store::PutResult::Conflict(current) => {
                Some(http::json_response(409, &Conflict { current }))
            }
            store::PutResult::TooLarge => {
                Some(http::text_response(413, "value is larger than 1 MiB"))
            }
        }
    }

    fn list(&self, url: &str) -> http::BufferedResponse {
        let prefix = http::query_param(url, "prefix").unwrap_or_default();
        http::json_response(200, &self.store.list(prefix, 0))
    }

    fn watch(&self, url: &str) -> Option<http::BufferedResponse> {
        let prefix = http::query_param(url, "prefix").unwrap_or_default();
        let number = |name| http::query_param(url, name).and_then(|v| v.parse::<u64>().ok());
        let (Some(after), Some(wait)) = (number("after"), number("wait_ms")) else {
            return Some(http::text_response(400, "after and wait_ms are numbers"));
        };
        let is_open = || !matches!(self.faults.mode(), fault::Mode::Down | fault::Mode::Silent);
        self.faults.add_waiting_watches(1);
        let listing = self
            .store
            .watch(prefix, after, Duration::from_millis(wait), is_open);
        self.faults.add_waiting_watches(-1);
        listing.map(|listing| http::json_response(200, &listing))
    }
}
