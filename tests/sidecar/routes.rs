//! Route lookup by host and longest path prefix.

use std::time::Duration;

use filbertflow::state::routes::{Limits, Part, Repeat, Route, RouteId, RouteTable, Version};

fn table() -> RouteTable {
    let limits = Limits {
        head_bytes: 1,
        body_bytes: 1,
        head_time: Duration::ZERO,
        idle_time: Duration::ZERO,
    };
    let mut table = RouteTable::new(Version(1), limits);
    for (host, prefix) in [
        ("a.example", "/x/"),
        ("a.example", "/x/y/"),
        ("b.example", "/"),
    ] {
        let route = Route {
            id: RouteId::of(prefix),
            name: format!("{host}{prefix}"),
            prefix: prefix.to_owned(),
            repeat: Repeat::Idempotent,
            unknown_kind: None,
            objective: Duration::ZERO,
            timeout: Duration::ZERO,
            attempts: 1,
            priority: 0,
            parts: vec![Part {
                service: "s".to_owned(),
                weight: 1,
            }],
        };
        table.add_route(host, route);
    }
    table
}

macro_rules! routes {
    ($($name:ident: $host:literal, $target:literal => $route:expr;)*) => {$(
        /// Guards against a request that gets the wrong route.
        #[test]
        fn $name() {
            let found = table().find($host, $target).map(|r| r.name.clone());
            let expected: Option<&str> = $route;
            assert_eq!(found.as_deref(), expected);
        }
    )*};
}

routes! {
    prefix: "a.example", "/x/1" => Some("a.example/x/");
    longest_prefix: "a.example", "/x/y/1" => Some("a.example/x/y/");
    prefix_alone: "a.example", "/x/" => Some("a.example/x/");
    part_of_a_segment: "a.example", "/xy/1" => None;
    without_last_slash: "a.example", "/x" => None;
    query_is_no_path: "a.example", "/x?z=/x/y/" => None;
    query_after_path: "a.example", "/x/1?z=/x/y/" => Some("a.example/x/");
    host_with_port: "a.example:80", "/x/1" => Some("a.example/x/");
    host_in_capitals: "A.Example", "/x/1" => Some("a.example/x/");
    other_host: "c.example", "/x/1" => None;
    root: "b.example", "/anything" => Some("b.example/");
}
