//! Tests of parsing settings and documents.

use std::time::Duration;
use std::{fs, path};

use filbertflow::protocol::source;
use filbertflow::state::{document, ids};
use quickcheck::{Arbitrary, Gen, TestResult};

fn example(name: &str) -> String {
    let path = path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name);
    fs::read_to_string(path).expect("the example is readable")
}

macro_rules! examples {
    ($($name:ident: $file:literal, $read:path;)*) => {$(
        /// Guards against an example file that is rejected.
        #[test]
        fn $name() {
            let read = $read($file, &example($file));
            assert!(read.is_ok(), "{}", read.unwrap_err());
        }
    )*};
}

examples! {
    consortium_document_is_valid: "consortium.jsonc", source::parse_document;
    thrissur_document_is_valid: "thrissur.jsonc", source::parse_document;
    node_settings_are_valid: "node.jsonc", source::parse_settings;
}

/// Guards against errors with a wrong position, errors after the first one being dropped, and messages
/// without the expected value.
#[test]
fn problems_are_reported_with_their_places() {
    datadriven::walk("tests/golden/source", |file| {
        file.run(|case| {
            let result = match case.directive.as_str() {
                "settings" => source::parse_settings("node.jsonc", &case.input).map(drop),
                "document" => source::parse_document("doc.jsonc", &case.input).map(drop),
                other => panic!("no directive {other}"),
            };
            result.map_or_else(|e| format!("{e}\n"), |()| "ok\n".to_owned())
        });
    });
}

#[derive(Debug, Clone)]
struct Generated(document::Document);

impl Arbitrary for Generated {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = 1 + usize::arbitrary(g) % 3;
        Self(document::Document {
            cancel_window: Duration::from_millis(1000 + u64::from(u16::arbitrary(g))),
            drain: (0..u16::arbitrary(g) % 3).map(addr).collect(),
            classes: (0..count).map(|i| class(g, i)).collect(),
            services: (0..count).map(|i| service(g, i)).collect(),
        })
    }
}

fn addr(i: u16) -> ids::NodeAddr {
    ids::NodeAddr(([127, 0, 0, 1], 7000 + i).into())
}

fn class(g: &mut Gen, i: usize) -> document::Class {
    document::Class {
        name: format!("class-{i}"),
        priority: u8::arbitrary(g),
    }
}

fn service(g: &mut Gen, i: usize) -> document::Service {
    let percent = |g: &mut Gen| f64::from(u16::arbitrary(g) % 1000) / 10.0;
    let key = match u8::arbitrary(g) % 4 {
        0 => None,
        1 => Some(document::KeySource::Header("walk".to_owned())),
        2 => Some(document::KeySource::Segment(usize::arbitrary(g) % 16)),
        _ => Some(document::KeySource::Query("ward".to_owned())),
    };
    document::Service {
        name: format!("service-{i}"),
        key,
        slices: 1 + u64::arbitrary(g) % 4096,
        weights: document::Weights {
            imbalance: 0.1 + percent(g) / 3.0,
            churn: percent(g),
            unavailable: percent(g),
        },
        churn_budget: percent(g),
        queue: 1 + usize::arbitrary(g) % 100_000,
        retry_percent: u32::arbitrary(g) % 101,
        objective: document::Objective {
            availability: percent(g),
            latency: Duration::from_millis(1 + u64::from(u16::arbitrary(g))),
            window: Duration::from_hours(1 + u64::from(u8::arbitrary(g))),
        },
        routes: ["GET", "POST"].map(|method| route(g, method)).to_vec(),
    }
}

fn route(g: &mut Gen, method: &str) -> document::Route {
    document::Route {
        method: Some(method.to_owned()),
        prefix: "/".to_owned(),
        idempotent: bool::arbitrary(g),
        deadline: Duration::from_millis(1 + u64::from(u16::arbitrary(g))),
    }
}

quickcheck::quickcheck! {
    /// Guards against a field that is lost or scaled when it is rendered or parsed.
    fn rendered_document_is_read_back(generated: Generated) -> bool {
        let text = source::render_document(&generated.0);
        source::parse_document("rendered", &text) == Ok(generated.0)
    }

    /// Guards against a panic, or an error position outside the text, on input with one corrupted
    /// byte.
    fn damaged_text_is_read_or_refused(at: usize, with: u8) -> TestResult {
        let text = example("consortium.jsonc");
        let mut bytes = text.into_bytes();
        let at = at % bytes.len();
        bytes[at] = with;
        let Ok(text) = String::from_utf8(bytes) else {
            return TestResult::discard();
        };
        let lines = text.lines().count();
        match source::parse_document("damaged", &text) {
            Ok(_) => TestResult::passed(),
            Err(filbertflow::state::error::Error::Source(problems)) => {
                let within_text = problems.iter().all(|p| (1..=lines).contains(&p.line));
                TestResult::from_bool(within_text && !problems.is_empty())
            }
            Err(_) => TestResult::failed(),
        }
    }
}
