//! Control of the behaviour.

use tiny_http::{Method, Request};

use crate::backend::{mode, server};
use crate::{http, journal};

/// Answers a control request.
pub fn handle(server: &server::Server, mut request: Request) {
    let path = request.url().to_owned();
    let reply = match (request.method(), path.as_str()) {
        (Method::Post, "/mode") => set(server, &mut request),
        (Method::Get, "/mode") => http::json(200, &server.mode.get()),
        (Method::Get, "/stats") => http::json(200, &server.requests.stats()),
        _ => http::text(404, "expected POST /mode, GET /mode or GET /stats"),
    };
    http::respond(request, reply);
}

fn set(server: &server::Server, request: &mut Request) -> http::Reply {
    match http::json_body::<mode::Mode>(request) {
        Ok(mode) => {
            let drains = mode.drain;
            let previous = server.mode.set(mode);
            if drains && !previous.drain {
                let work = journal::Work::default();
                let drain = journal::Event::Drain;
                server.journal.write(journal::now(), drain, &work, "");
            }
            http::text(200, "")
        }
        Err(e) => http::text(400, &e),
    }
}
