//! Control of faults.

use tiny_http::{Method, Request};

use crate::http;
use crate::kv::{api, fault};

/// Answers a control request.
pub fn handle(api: &api::Api, mut request: Request) {
    let path = request.url().to_owned();
    let reply = match (request.method(), path.as_str()) {
        (Method::Post, "/fault") => set(api, &mut request),
        (Method::Get, "/counts") => http::json(200, &api.faults.counts()),
        _ => http::text(404, "expected POST /fault or GET /counts"),
    };
    http::respond(request, reply);
}

fn set(api: &api::Api, request: &mut Request) -> http::Reply {
    match http::json_body::<fault::Fault>(request) {
        Ok(fault) => {
            tracing::info!(event = 701, ?fault, "fault is set");
            api.faults.set(fault);
            http::text(200, "")
        }
        Err(e) => http::text(400, &e),
    }
}
