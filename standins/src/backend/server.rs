//! Requests, grants and cancellations from the node.

use std::io::Write;
use std::thread;
use std::time::Duration;

use serde::Serialize;
use tiny_http::{Method, Request};

use crate::backend::{fence, mode, requests};
use crate::{http, journal};

/// Identifier in a response that belongs to another request.
const OTHER_ID: &str = "00000000-0000-7000-8000-000000000000";

/// Backend server.
#[derive(Debug)]
pub struct Server {
    /// Journal.
    pub journal: journal::Journal,
    /// Behaviour.
    pub mode: mode::Modes,
    /// Grants.
    pub fence: fence::Fence,
    /// Slots.
    pub requests: requests::Requests,
}

/// Body of a response; a client compares it with what it asked for.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Echo {
    id: String,
    key: String,
    method: String,
    path: String,
    body: String,
    /// Marks the end, so that a truncated body is recognised even if its length was lost.
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
    /// Answers a request of the node.
    pub fn handle(&self, mut request: Request) {
        let received = journal::now();
        let path = request.url().to_owned();
        let reply = match (request.method(), path.as_str()) {
            (Method::Post, "/-/grant") => self.grant(&mut request),
            (Method::Get, "/-/health") => self.health(),
            (Method::Get, "/-/load") => self.load(),
            (Method::Post, path) if path.starts_with("/-/cancel/") => self.cancel(path),
            (_, path) if path.starts_with("/-/") => http::text(404, "unknown path"),
            _ => return self.serve(request, received),
        };
        http::respond(request, reply);
    }

    fn grant(&self, request: &mut Request) -> http::Reply {
        match http::json_body::<fence::Grant>(request) {
            Ok(grant) if self.fence.grant(&grant) => http::text(200, ""),
            Ok(_) => refusal("stale-token"),
            Err(e) => http::text(400, &e),
        }
    }

    fn cancel(&self, path: &str) -> http::Reply {
        let id = path.trim_start_matches("/-/cancel/");
        let progress = match self.requests.cancel(id) {
            requests::Progress::NotStarted => "not-started",
            requests::Progress::Running => "running",
            requests::Progress::Finished => "finished",
        };
        http::text(200, progress)
    }

    fn health(&self) -> http::Reply {
        let mode = self.mode.get();
        thread::sleep(Duration::from_millis(mode.lag_ms));
        let status = mode.health.unwrap_or_else(|| "ok".to_owned());
        let code = if status == "ok" { 200 } else { 503 };
        let draining = mode.drain;
        http::json(code, &Health { status, draining })
    }

    fn load(&self) -> http::Reply {
        let mode = self.mode.get();
        thread::sleep(Duration::from_millis(mode.lag_ms));
        let running = u32::try_from(self.requests.running()).unwrap_or(u32::MAX);
        let load = Load {
            in_flight: mode.load.unwrap_or(running),
            slots: self.requests.slots(),
        };
        http::json(200, &load)
    }

    fn serve(&self, mut request: Request, received: Duration) {
        let header = |name| http::header_of(&request, name).unwrap_or_default();
        let idempotent = matches!(request.method(), Method::Get | Method::Head);
        let work = journal::Work {
            id: header("filbert-id"),
            attempt: header("filbert-attempt"),
            key: decoded(&header("filbert-key")),
            token: header("filbert-token"),
            idempotent,
        };
        let left = header("filbert-deadline-ms").parse::<u64>().ok();
        let relative = left.map(|ms| received + Duration::from_millis(ms));
        // A request may have waited in the socket while this process was frozen.
        let expires = header("filbert-expires-ms").parse().ok();
        let absolute = expires.map(Duration::from_millis);
        let deadline = relative.into_iter().chain(absolute).min();
        let Ok(body) = http::body(&mut request) else {
            return http::respond(request, http::text(400, "body is incomplete"));
        };
        let ran = self
            .admit(&work, deadline)
            .and_then(|()| self.work(&work, deadline));
        if let Err(reason) = ran {
            self.requests.refuse();
            return http::respond(request, refusal(reason));
        }
        let echo = Echo {
            id: work.id.clone(),
            key: work.key.clone(),
            method: request.method().to_string(),
            path: request.url().to_owned(),
            body,
            complete: true,
        };
        let defect = self.mode.next_response();
        self.requests.finish(&work.id);
        answer(request, echo, defect);
    }

    /// Takes a slot for a request that may run.
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
                requests::Refused::Cancelled => "cancelled",
                requests::Refused::Shed => "shed",
                requests::Refused::Cold => "cold",
            })
        });
        if let Err(reason) = admitted {
            let refusal = journal::Event::Refusal;
            self.journal.write(journal::now(), refusal, work, reason);
        }
        admitted
    }

    fn check(&self, work: &journal::Work) -> Result<(), &'static str> {
        if runs_anywhere(work) {
            return Ok(());
        }
        let hash = fence::hash(&work.key, &work.id);
        let token = work.token.parse().ok();
        let checked = self.fence.check(hash, token, journal::now());
        checked.map_err(|r| match r {
            fence::Refused::StaleToken => "stale-token",
            fence::Refused::NoGrant => "no-grant",
        })
    }

    /// Runs a request. Its effect takes place at the end, if deadline and grant are still live: a
    /// server that was frozen in the middle must not complete work that another one does by then.
    fn work(&self, work: &journal::Work, deadline: Option<Duration>) -> Result<(), &'static str> {
        let start = journal::now();
        self.journal.write(start, journal::Event::Start, work, "");
        thread::sleep(Duration::from_millis(self.mode.service_ms()));
        let end = journal::now();
        let hash = fence::hash(&work.key, &work.id);
        let token = work.token.parse().ok();
        let owned = runs_anywhere(work) || self.fence.may_finish(hash, token, end);
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

/// Returns whether a request carries no token because any server may run it.
fn runs_anywhere(work: &journal::Work) -> bool {
    work.key.is_empty() && work.token.is_empty() && work.idempotent
}

/// Decodes the percent-encoding of a key.
fn decoded(key: &str) -> String {
    percent_encoding::percent_decode_str(key)
        .decode_utf8_lossy()
        .into_owned()
}

fn refusal(reason: &str) -> http::Reply {
    http::text(503, reason).with_header(http::header("filbert-refused", reason))
}

fn answer(request: Request, mut echo: Echo, defect: mode::Defect) {
    if defect == mode::Defect::WrongId {
        OTHER_ID.clone_into(&mut echo.id);
    }
    let reply = http::json(200, &echo).with_header(http::header("filbert-id", &echo.id));
    if defect != mode::Defect::Truncated {
        return http::respond(request, reply);
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
        tracing::debug!(event = 702, error = %e, "client is gone before its response");
    }
}
