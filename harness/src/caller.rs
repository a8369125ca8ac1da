//! Client that sends requests to nodes and verifies that each response belongs to its request.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::boot_time_ns;

/// Time past the deadline of a request after which the client gives up.
const GRACE_PERIOD: Duration = Duration::from_secs(5);

/// Request to a service.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identifier of the request, a version 7 UUID.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// Key; empty if requests of the service are not routed by key.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// Path below the service's name.
    pub path: String,
    /// Body; empty for GET.
    pub body: String,
    /// Time for which the caller waits.
    pub deadline: Duration,
}

/// Completed request with its outcome.
#[derive(Debug, Clone)]
pub struct Call {
    /// Request.
    pub request: Request,
    /// Time of sending, on `CLOCK_BOOTTIME` in nanoseconds.
    pub sent: u64,
    /// Time of the response or of giving up, on the same clock.
    pub ended: u64,
    /// Outcome that the caller observed.
    pub outcome: Outcome,
    /// Reason why the response is not the complete response to this request, if it isn't.
    pub defect: Option<String>,
}

/// Outcome that a caller observed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered with this status.
    Answered(u16),
    /// The request was refused and not run, for this reason.
    NotRun(String),
    /// The request may have run; the reason why this is unknown.
    Unknown(String),
    /// Response with this status and no outcome header.
    Invalid(u16),
    /// No complete response was received.
    Lost,
}

/// Response body of the backend stand-in, which echoes the request.
#[derive(Debug)]
#[derive(Deserialize)]
struct Echo {
    id: String,
    key: String,
    method: String,
    path: String,
    body: String,
    complete: bool,
}

impl Request {
    /// Creates a request. In the test documents, the first path segment is the key.
    pub fn new(service: &str, key: &str, method: &str, deadline: Duration) -> Self {
        let id = uuid::Uuid::now_v7().to_string();
        let path = if key.is_empty() {
            format!("/tickets/{}", &id[24..])
        } else {
            format!("/{key}/visit")
        };
        let body = match method {
            "GET" => String::new(),
            _ => format!("order {id}"),
        };
        Self {
            id,
            service: service.to_owned(),
            key: key.to_owned(),
            method: method.to_owned(),
            path,
            body,
            deadline,
        }
    }

    /// Sends the request to a node and waits for the response.
    pub fn send(self, entry: SocketAddr) -> Call {
        let url = format!("http://{entry}/{}{}", self.service, self.path);
        let method = self.method.parse().expect("the method is valid");
        let sent = boot_time_ns();
        let response = attohttpc::RequestBuilder::try_new(method, url)
            .expect("the address makes a valid URL")
            .header("filbert-id", &self.id)
            .header("filbert-deadline-ms", self.deadline.as_millis().to_string())
            .connect_timeout(GRACE_PERIOD)
            .read_timeout(self.deadline + GRACE_PERIOD)
            .timeout(self.deadline + GRACE_PERIOD)
            .text(&self.body)
            .send();
        let (outcome, defect) = match response {
            Ok(response) => self.check_response(response),
            Err(_) => (Outcome::Lost, None),
        };
        Call {
            request: self,
            sent,
            ended: boot_time_ns(),
            outcome,
            defect,
        }
    }

    fn check_response(&self, response: attohttpc::Response) -> (Outcome, Option<String>) {
        let status = response.status().as_u16();
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            Some(value.to_str().expect("the header is text").to_owned())
        };
        let reason = header("filbert-reason").unwrap_or_default();
        let id = header("filbert-id").unwrap_or_default();
        let retry = header("filbert-retry-after-ms");
        let outcome = match header("filbert-outcome").as_deref() {
            Some("answered") => Outcome::Answered(status),
            Some("not-run") => Outcome::NotRun(reason),
            Some("unknown") => Outcome::Unknown(reason),
            _ => return (Outcome::Invalid(status), None),
        };
        if id != self.id {
            let defect = format!("response to {} carries id {id:?}", self.id);
            return (outcome, Some(defect));
        }
        let defect = match &outcome {
            Outcome::Answered(_) => match response.text() {
                Ok(text) => self.find_defect(&text),
                // The connection broke within the body, which the caller can detect by itself.
                Err(_) => return (Outcome::Lost, None),
            },
            Outcome::NotRun(_) if retry.is_none() => {
                Some("not-run without filbert-retry-after-ms".to_owned())
            }
            _ => None,
        };
        (outcome, defect)
    }

    /// Returns why a body is not the complete response to this request, or `None` if it is.
    pub fn find_defect(&self, text: &str) -> Option<String> {
        let echo: Echo = match serde_json::from_str(text) {
            Ok(echo) => echo,
            Err(e) => return Some(format!("body is incomplete: {e}")),
        };
        let matches = echo.id == self.id
            && echo.key == self.key
            && echo.method == self.method
            && echo.path == self.path
            && echo.body == self.body
            && echo.complete;
        (!matches).then(|| format!("body belongs to another request: {echo:?}"))
    }
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Answered(status) => write!(f, "answered {status}"),
            Self::NotRun(reason) => write!(f, "not-run: {reason}"),
            Self::Unknown(reason) => write!(f, "unknown: {reason}"),
            Self::Invalid(status) => write!(f, "status {status}"),
            Self::Lost => write!(f, "no response"),
        }
    }
}
