//! Callers: send requests to nodes and verify that each response belongs to its request.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::now;

/// Time beyond a request's deadline after which the caller gives up on the node.
const PATIENCE: Duration = Duration::from_secs(5);

/// Request of a caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identifier, a version 7 UUID.
    pub id: String,
    /// Service.
    pub service: String,
    /// Key; empty if the service is not divided by key.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// Path below the service's name.
    pub path: String,
    /// Body.
    pub body: String,
    /// Time for which the caller waits.
    pub deadline: Duration,
}

/// Request with what became of it.
#[derive(Debug, Clone)]
pub struct Call {
    /// Request.
    pub request: Request,
    /// Times on `CLOCK_BOOTTIME` in nanoseconds.
    pub sent: u64,
    /// Time of the response.
    pub ended: u64,
    /// What the caller was told.
    pub outcome: Outcome,
    /// Why an answer isn't the complete answer to this request.
    pub defect: Option<String>,
}

/// What the caller was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Status of the answer.
    Answered(u16),
    /// Reason of the refusal.
    NotRun(String),
    /// Reason of the doubt.
    Unknown(String),
    /// Status without an outcome.
    Invalid(u16),
    /// No response.
    Lost,
}

/// Body of the backend stand-in.
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
    /// Creates a request. In the test documents, the key is the first segment of the path.
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
        let sent = now();
        let response = attohttpc::RequestBuilder::try_new(method, url)
            .expect("the address makes a valid URL")
            .header("filbert-id", &self.id)
            .header("filbert-deadline-ms", self.deadline.as_millis().to_string())
            .connect_timeout(PATIENCE)
            .read_timeout(self.deadline + PATIENCE)
            .timeout(self.deadline + PATIENCE)
            .text(&self.body)
            .send();
        let (outcome, defect) = match response {
            Ok(response) => self.judge(response),
            Err(_) => (Outcome::Lost, None),
        };
        Call {
            request: self,
            sent,
            ended: now(),
            outcome,
            defect,
        }
    }

    fn judge(&self, response: attohttpc::Response) -> (Outcome, Option<String>) {
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
                Ok(text) => self.defect_of(&text),
                // A connection that breaks within a body is recognised as such by the caller.
                Err(_) => return (Outcome::Lost, None),
            },
            Outcome::NotRun(_) if retry.is_none() => {
                Some("not-run without a time to retry".to_owned())
            }
            _ => None,
        };
        (outcome, defect)
    }

    /// Returns why a body is not the complete answer to this request.
    pub fn defect_of(&self, text: &str) -> Option<String> {
        let echo: Echo = match serde_json::from_str(text) {
            Ok(echo) => echo,
            Err(e) => return Some(format!("body is incomplete: {e}")),
        };
        let own = echo.id == self.id
            && echo.key == self.key
            && echo.method == self.method
            && echo.path == self.path
            && echo.body == self.body
            && echo.complete;
        (!own).then(|| format!("body belongs to another request: {echo:?}"))
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
