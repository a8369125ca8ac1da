//! Tests of `filbertflow-ctl explain`.

use filbertflow::protocol::admin;

use crate::fake::Fake;
use crate::{fleet, run, status};

/// Guards against an explanation whose text and JSON differ.
#[test]
fn key_is_explained() {
    let fake = Fake::start();
    fake.submit(&run::example());
    let fleet = fleet::start(&fake, 1);
    fleet.wait(|n| n.config.revision().0 == 1);
    fleet.node().records.offer(status::record(fleet.node().me));
    let explain = |args: &[&str]| {
        let args = [
            &["explain", "dusk walk/14&x=1", "--service", "walk-listings"],
            args,
        ]
        .concat();
        run::finish(run::start(fake.addr, Some(fleet.admin()), &args))
    };
    let json = explain(&["--json"]);
    assert_eq!(json.code, 0, "{}", json.err);
    let explanation: admin::Explanation = serde_json::from_str(&json.out).unwrap();
    assert_eq!(explanation.key, "dusk walk/14&x=1");
    let text = explain(&[]);
    assert_eq!(text.code, 0, "{}", text.err);
    for part in [
        explanation.hash,
        explanation.token,
        fleet.node().me.addr.to_string(),
    ] {
        assert!(text.out.contains(&part), "no {part} in {}", text.out);
    }
}

macro_rules! refused {
    ($($name:ident: $key:literal of $service:literal => $text:literal;)*) => {$(
        /// Guards against an invalid query that succeeds, or that fails with another exit code.
        #[test]
        fn $name() {
            let fake = Fake::start();
            fake.submit(&run::example());
            let fleet = fleet::start(&fake, 1);
            fleet.wait(|n| n.config.revision().0 == 1);
            let args = ["explain", $key, "--service", $service];
            let run = run::finish(run::start(fake.addr, Some(fleet.admin()), &args));
            assert_eq!(run.code, 2, "{}", run.err);
            assert!(run.err.contains($text), "{}", run.err);
        }
    )*};
}

refused! {
    unknown_service: "dusk-walk" of "lantern" => "no service";
    key_of_a_service_without_keys: "dusk-walk" of "box-office" => "id of a request";
    unknown_record: "dusk-walk" of "walk-listings" => "no record";
}

/// Guards against an unavailable node that is reported as an invalid query.
#[test]
fn node_that_is_down_is_reported() {
    let fake = Fake::start();
    let args = ["explain", "a", "--service", "b"];
    let closed = "127.0.0.1:1".parse().unwrap();
    let run = run::finish(run::start(fake.addr, Some(closed), &args));
    assert_eq!(run.code, 4, "{}", run.err);
}
