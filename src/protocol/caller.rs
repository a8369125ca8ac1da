//! Requests from callers and the responses to them.

use std::time;

use crate::protocol::peer;
use crate::state::{document, ids};

/// Header with the request identifier.
pub const REQUEST_ID_HEADER: &str = "filbert-id";

/// Header with the time until the caller's deadline, in milliseconds.
pub const DEADLINE_MS_HEADER: &str = "filbert-deadline-ms";

/// Header with the caller's class.
pub const CLASS_HEADER: &str = "filbert-class";

/// Response header with the outcome.
pub const OUTCOME_HEADER: &str = "filbert-outcome";

/// Response header with the reason for the outcome.
pub const REASON_HEADER: &str = "filbert-reason";

/// Response header with the recommended delay before a retry, in whole seconds.
pub const RETRY_AFTER_HEADER: &str = "Retry-After";

/// Response header with the recommended delay before a retry, in milliseconds.
pub const RETRY_AFTER_MS_HEADER: &str = "filbert-retry-after-ms";

/// Maximum size of a request body, in bytes.
pub const MAX_BODY: usize = 1 << 20;

/// Request from a caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub url: String,
    /// Headers, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Response to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers except `Content-Length`.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Reason for rejecting a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidRequest {
    /// HTTP status.
    pub status: u16,
    /// Value of the reason header.
    pub reason: &'static str,
}

impl InvalidRequest {
    /// Creates the rejection of a malformed request.
    #[must_use]
    pub const fn malformed(reason: &'static str) -> Self {
        Self {
            status: 400,
            reason,
        }
    }

    /// Creates the rejection of a request whose body is too large.
    #[must_use]
    pub const fn too_large() -> Self {
        Self {
            status: 413,
            reason: "body-too-large",
        }
    }
}

impl Request {
    /// Returns the value of a header, if present.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    /// Returns the request identifier, if the caller set one.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not a version 7 UUID.
    pub fn id(&self) -> Result<Option<ids::RequestId>, InvalidRequest> {
        let parsed = self.header(REQUEST_ID_HEADER).map(str::parse).transpose();
        parsed.map_err(|_| InvalidRequest::malformed("id-malformed"))
    }

    /// Returns the time until the caller's deadline, if the caller set one.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not a whole number of milliseconds.
    pub fn deadline(&self) -> Result<Option<time::Duration>, InvalidRequest> {
        let parsed = self.header(DEADLINE_MS_HEADER).map(str::parse).transpose();
        parsed
            .map(|ms| ms.map(time::Duration::from_millis))
            .map_err(|_| InvalidRequest::malformed("deadline-malformed"))
    }

    /// Splits the URL into the service name and the remaining path, which starts with a slash.
    ///
    /// # Errors
    ///
    /// Returns an error if the path contains no service name.
    pub fn target(&self) -> Result<(&str, String), InvalidRequest> {
        let path = self
            .url
            .strip_prefix('/')
            .ok_or(InvalidRequest::malformed("path-malformed"))?;
        let end = path.find(['/', '?']).unwrap_or(path.len());
        let (service, rest) = path.split_at(end);
        if service.is_empty() {
            return Err(InvalidRequest::malformed("service-missing"));
        }
        if rest.starts_with('/') {
            return Ok((service, rest.to_owned()));
        }
        Ok((service, format!("/{rest}")))
    }

    /// Extracts the percent-decoded key of the request.
    #[must_use]
    pub fn key(&self, source: &document::KeySource, rest: &str) -> Option<String> {
        let (path, query) = rest.split_once('?').unwrap_or((rest, ""));
        let raw = match source {
            document::KeySource::Header(name) => self.header(name)?,
            document::KeySource::Segment(n) => path.split('/').skip(1).nth(*n)?,
            document::KeySource::Query(name) => query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(n, _)| n == name)
                .map(|(_, v)| v)?,
        };
        let key = percent_encoding::percent_decode_str(raw).decode_utf8();
        key.ok().map(String::from).filter(|k| !k.is_empty())
    }
}

impl Response {
    /// Builds the response to a rejected request.
    #[must_use]
    pub fn invalid(invalid: InvalidRequest) -> Self {
        Self {
            status: invalid.status,
            headers: vec![
                (OUTCOME_HEADER, "not-run".to_owned()),
                (REASON_HEADER, invalid.reason.to_owned()),
            ],
            body: invalid.reason.as_bytes().to_vec(),
        }
    }

    /// Builds the response for an outcome.
    #[must_use]
    pub fn outcome(id: ids::RequestId, outcome: peer::Outcome) -> Self {
        let status = outcome_status(&outcome);
        let mut headers = vec![
            (REQUEST_ID_HEADER, id.to_string()),
            (OUTCOME_HEADER, outcome_name(&outcome).to_owned()),
        ];
        let reason = outcome_reason(&outcome);
        if let Some(reason) = reason {
            headers.push((REASON_HEADER, reason.to_owned()));
        }
        match outcome {
            peer::Outcome::Answered(response) => {
                if let Some(content_type) = response.content_type {
                    headers.push(("Content-Type", content_type));
                }
                return Self {
                    status,
                    headers,
                    body: response.body,
                };
            }
            peer::Outcome::NotRun(refusal) => {
                let after = refusal.retry_after;
                headers.push((RETRY_AFTER_HEADER, whole_seconds(after).to_string()));
                headers.push((RETRY_AFTER_MS_HEADER, after.as_millis().to_string()));
            }
            peer::Outcome::Unknown(_) => {}
        }
        Self {
            status,
            headers,
            body: reason.unwrap_or_default().as_bytes().to_vec(),
        }
    }
}

/// Rounds up to whole seconds, because a caller that retries too early is refused again.
#[must_use]
pub fn whole_seconds(d: time::Duration) -> u64 {
    d.as_secs() + u64::from(d.subsec_nanos() > 0)
}

/// Returns the HTTP status of an outcome.
#[must_use]
pub fn outcome_status(outcome: &peer::Outcome) -> u16 {
    match outcome {
        peer::Outcome::Answered(response) => response.status,
        peer::Outcome::NotRun(refusal) => match refusal.reason {
            peer::NotRunReason::Overloaded
            | peer::NotRunReason::Shed
            | peer::NotRunReason::RetryBudget => 429,
            _ => 503,
        },
        peer::Outcome::Unknown(_) => 504,
    }
}

/// Returns the name of an outcome.
#[must_use]
pub const fn outcome_name(outcome: &peer::Outcome) -> &'static str {
    match outcome {
        peer::Outcome::Answered(_) => "answered",
        peer::Outcome::NotRun(_) => "not-run",
        peer::Outcome::Unknown(_) => "unknown",
    }
}

/// Returns the reason of an outcome.
#[must_use]
pub const fn outcome_reason(outcome: &peer::Outcome) -> Option<&'static str> {
    match outcome {
        peer::Outcome::Answered(_) => None,
        peer::Outcome::NotRun(refusal) => Some(not_run_name(refusal.reason)),
        peer::Outcome::Unknown(reason) => Some(unknown_name(*reason)),
    }
}

/// Returns the name of the reason why a request did not run.
#[must_use]
pub const fn not_run_name(reason: peer::NotRunReason) -> &'static str {
    match reason {
        peer::NotRunReason::NotOwner => "not-owner",
        peer::NotRunReason::Moving => "moving",
        peer::NotRunReason::NoOwner => "no-owner",
        peer::NotRunReason::Overloaded => "overloaded",
        peer::NotRunReason::Shed => "shed",
        peer::NotRunReason::Draining => "draining",
        peer::NotRunReason::Cold => "cold",
        peer::NotRunReason::Unreachable => "unreachable",
        peer::NotRunReason::Fenced => "fenced",
        peer::NotRunReason::Expired => "expired",
        peer::NotRunReason::Cancelled => "cancelled",
        peer::NotRunReason::Barred => "barred",
        peer::NotRunReason::RetryBudget => "retry-budget",
        peer::NotRunReason::Incarnation => "incarnation",
    }
}

/// Returns the name of the reason why an outcome is unknown.
#[must_use]
pub const fn unknown_name(reason: peer::UnknownReason) -> &'static str {
    match reason {
        peer::UnknownReason::Timeout => "timeout",
        peer::UnknownReason::Broken => "broken",
        peer::UnknownReason::Mismatch => "mismatch",
        peer::UnknownReason::OwnerLost => "owner-lost",
        peer::UnknownReason::Horizon => "horizon",
        peer::UnknownReason::Cancelled => "cancelled",
    }
}
