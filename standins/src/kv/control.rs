//! Control endpoints of the key-value service, for tests.

use tiny_http::{Method, Request};

use crate::http;
use crate::kv::{api, fault};

/// Handles a control request.
pub fn handle(api: &api::KvApi, mut request: Request) {
    let path = request.url().to_owned();
    let response = match (request.method(), path.as_str()) {
        (Method::Post, "/fault") => set_fault(api, &mut request),
        (Method::Get, "/counts") => http::json_response(200, &api.faults.counts()),
        _ => http::text_response(404, "expected POST /fault or GET /counts"),
    };
    http::respond(request, response);
}

fn set_fault(api: &api::KvApi, request: &mut Request) -> http::BufferedResponse {
    match http::read_json::<fault::Fault>(request) {
        Ok(fault) => {
            tracing::info!(event = 701, ?fault, "injected fault changed");
            api.faults.set(fault);
            http::text_response(200, "")
        }
        Err(e) => http::text_response(400, &e),
    }
}
