//! Control endpoints of the backend server, for tests.

use tiny_http::{Method, Request};

use crate::backend::{mode, server};
use crate::{http, journal};

/// Handles a control request.
pub fn handle(server: &server::Server, mut request: Request) {
    let path = request.url().to_owned();
    let response = match (request.method(), path.as_str()) {
        (Method::Post, "/mode") => set_mode(server, &mut request),
        (Method::Get, "/mode") => http::json_response(200, &server.mode.get()),
        (Method::Get, "/stats") => http::json_response(200, &server.requests.stats()),
        _ => http::text_response(404, "expected POST /mode, GET /mode or GET /stats"),
    };
    http::respond(request, response);
}

fn set_mode(server: &server::Server, request: &mut Request) -> http::BufferedResponse {
    match http::read_json::<mode::Mode>(request) {
        Ok(mode) => {
            let is_draining = mode.drain;
            let previous = server.mode.set(mode);
            if is_draining && !previous.drain {
                let work = journal::Work::default();
                let drain = journal::Event::Drain;
                server.journal.write(journal::now(), drain, &work, "");
            }
            http::text_response(200, "")
        }
        Err(e) => http::text_response(400, &e),
    }
}
