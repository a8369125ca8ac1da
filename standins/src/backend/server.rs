//! Endpoints of the backend server: requests, grants, cancellations, health and load.

use std::io::Write;
use std::thread;
use std::time::Duration;

use serde::Serialize;
use tiny_http::{Method, Request};

use crate::backend::{fence, mode, requests};
use crate::{http, journal};

/// Identifier in responses with [`mode::Defect::WrongId`].
const OTHER_ID: &str = "00000000-0000-7000-8000-000000000000";

/// State of the backend server.
#[derive(Debug)]
pub struct Server {
    /// Request journal.
    pub journal: journal::Journal,
    /// Behaviour set by tests.
    pub mode: mode::ModeState,
    /// Grants and fencing tokens.
    pub fence: fence::Fence,
    /// Slots and request states.
    pub requests: requests::RequestTracker,
}

/// Response body that repeats the request, so that a client can match the two.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Echo {
    id: String,
    key: String,
    method: String,
    path: String,
    body: String,
    /// Last field; its absence shows a truncated body even without a declared length.
    complete: bool,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Health {
    status: String,
    draining: bool,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Load {
    in_flight: u32,
    slots: u32,
}

impl Server {
    /// Handles a request from the node.
    pub fn handle(&self, mut request: Request) {
        let received = journal::now();
        let path = request.url().to_owned();
        let response = match (request.method(), path.as_str()) {
            (Method::Post, "/-/grant") => self.grant(&mut request),
            (Method::Get, "/-/health") => self.health(),
            (Method::Get, "/-/load") => self.load(),
            (Method::Post, path) if path.starts_with("/-/cancel/") => self.cancel(path),
            (_, path) if path.starts_with("/-/") => http::text_response(404, "unknown path"),
            _ => return self.serve(request, received),
        };
        http::respond(request, response);
    }

    fn grant(&self, request: &mut Request) -> http::BufferedResponse {
        match http::read_json::<fence::Grant>(request) {
            Ok(grant) if self.fence.apply_grant(&grant) => http::text_response(200, ""),
            Ok(_) => refusal_response("stale-token"),
            Err(e) => http::text_response(400, &e),
        }
    }

    fn cancel(&self, path: &str) -> http::BufferedResponse {
        let id = path.trim_start_matches("/-/cancel/");
        let progress = match self.requests.cancel(id) {
            requests::Progress::NotStarted => "not-started",
            requests::Progress::Running => "running",
            requests::Progress::Finished => "finished",
        };
        http::text_response(200, progress)
    }

    fn health(&self) -> http::BufferedResponse {
        let mode = self.mode.get();
        thread::sleep(Duration::from_millis(mode.lag_ms));
        let status = mode.health.unwrap_or_else(|| "ok".to_owned());
        let code = if status == "ok" { 200 } else { 503 };
        let draining = mode.drain;
        http::json_response(code, &Health { status, draining })
    }

    fn load(&self) -> http::BufferedResponse {
        let mode = self.mode.get();
        thread::sleep(Duration::from_millis(mode.lag_ms));
        let running = u32::try_from(self.requests.running()).unwrap_or(u32::MAX);
        let load = Load {
            in_flight: mode.load.unwrap_or(running),
            slots: self.requests.slots(),
        };
        http::json_response(200, &load)
    }

    fn serve(&self, mut request: Request, received: Duration) {
        let header = |name| http::header_value(&request, name).unwrap_or_default();
        let idempotent = matches!(request.method(), Method::Get | Method::Head);
        let work = journal::Work {
            id: header("filbert-id"),
            attempt: header("filbert-attempt"),
            key: decode_key(&header("filbert-key")),
            token: header("filbert-token"),
            idempotent,
        };
        let remaining = header("filbert-deadline-ms").parse::<u64>().ok();
        let relative = remaining.map(|ms| received + Duration::from_millis(ms));
        // The absolute deadline also covers time in the socket buffer while this process is
        // suspended.
        let expires = header("filbert-expires-ms").parse().ok();
        let absolute = expires.map(Duration::from_millis);
        let deadline = relative.into_iter().chain(absolute).min();
        let Ok(body) = http::read_body(&mut request) else {
            let response = http::text_response(400, "body is incomplete");
            return http::respond(request, identified(response, &work.id));
        };
        let result = self
            .admit(&work, deadline)
            .and_then(|()| self.execute(&work, deadline));
        if let Err(reason) = result {
            self.requests.record_refusal();
            return http::respond(request, identified(refusal_response(reason), &work.id));
        }
        let echo = Echo {
            id: work.id.clone(),
            key: work.key.clone(),
            method: request.method().to_string(),
            path: request.url().to_owned(),
            body,
            complete: true,
        };
        let defect = self.mode.next_defect();
        self.requests.finish(&work.id);
        send_response(request, echo, defect);
    }

    /// Checks that a request may run and acquires a slot. Journals a refusal.
    fn admit(&self, work: &journal::Work, deadline: Option<Duration>) -> Result<(), &'static str> {
        let admitted = if self.mode.get().drain_refuses {
            Err("draining")
        } else if deadline.is_some_and(|d| journal::now() >= d) {
            Err("expired")
        } else {
            self.check(work)
        };
        let admitted = admitted.and_then(|()| {
            self.requests.start(&work.id).map_err(|r| match r {
                requests::StartError::Cancelled => "cancelled",
                requests::StartError::Shed => "shed",
                requests::StartError::Cold => "cold",
            })
        });
        if let Err(reason) = admitted {
            let refusal = journal::Event::Refusal;
            self.journal.write(journal::now(), refusal, work, reason);
        }
        admitted
    }

    fn check(&self, work: &journal::Work) -> Result<(), &'static str> {
        if needs_no_token(work) {
            return Ok(());
        }
        let hash = fence::hash(&work.key, &work.id);
        let token = work.token.parse().ok();
        let checked = self.fence.check(hash, token, journal::now());
        checked.map_err(|r| match r {
            fence::FenceError::StaleToken => "stale-token",
            fence::FenceError::NoGrant => "no-grant",
        })
    }

    /// Runs a request. It takes effect at the end, and only if its deadline and grant haven't
    /// expired: the range of a server that was suspended meanwhile may have a new owner.
    fn execute(
        &self,
        work: &journal::Work,
        deadline: Option<Duration>,
    ) -> Result<(), &'static str> {
        let start = journal::now();
        self.journal.write(start, journal::Event::Start, work, "");
        thread::sleep(Duration::from_millis(self.mode.service_time_ms()));
        let end = journal::now();
        let hash = fence::hash(&work.key, &work.id);
        let token = work.token.parse().ok();
        let owned = needs_no_token(work) || self.fence.may_finish(hash, token, end);
        if owned && deadline.is_none_or(|d| end < d) {
            self.journal.write(end, journal::Event::End, work, "");
            return Ok(());
        }
        let abort = journal::Event::Abort;
        self.journal.write(end, abort, work, "expired");
        self.requests.abort(&work.id);
        Err("expired")
    }
}

/// Returns whether any server may run a request, which then carries no token.
fn needs_no_token(work: &journal::Work) -> bool {
    work.key.is_empty() && work.token.is_empty() && work.idempotent
}

/// Percent-decodes a key.
fn decode_key(key: &str) -> String {
    percent_encoding::percent_decode_str(key)
        .decode_utf8_lossy()
        .into_owned()
}

fn refusal_response(reason: &str) -> http::BufferedResponse {
    http::text_response(503, reason).with_header(http::header("filbert-refused", reason))
}

/// Adds the identifier of the request, which all responses to requests carry: without it a node can't
/// tell that a refusal is of this request, and takes its outcome for unknown.
fn identified(response: http::BufferedResponse, id: &str) -> http::BufferedResponse {
    response.with_header(http::header("filbert-id", id))
}

fn send_response(request: Request, mut echo: Echo, defect: mode::Defect) {
    if defect == mode::Defect::WrongId {
        OTHER_ID.clone_into(&mut echo.id);
    }
    let response = identified(http::json_response(200, &echo), &echo.id);
    if defect != mode::Defect::Truncated {
        return http::respond(request, response);
    }
    let text = serde_json::to_vec(&echo).expect("the body has string keys only");
    let head = format!(
        "HTTP/1.1 200 OK\r\nfilbert-id: {}\r\ncontent-length: {}\r\n\r\n",
        echo.id,
        text.len()
    );
    let mut writer = request.into_writer();
    let sent = writer
        .write_all(head.as_bytes())
        .and_then(|()| writer.write_all(&text[..text.len() / 2]))
        .and_then(|()| writer.flush());
    if let Err(e) = sent {
        tracing::debug!(event = 702, error = %e, "client disconnected before its response");
    }
}
