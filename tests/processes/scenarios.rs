//! Scenarios: `tests/scenarios/NAME` holds the commands and the expected output.

use std::collections::BTreeSet;
use std::fs;

use crate::session::Session;

const DIRECTORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");

fn run(name: &str) {
    let mut session = Session::new(name);
    datadriven::walk(&format!("{DIRECTORY}/{name}"), |file| {
        file.run(|case| -> String { session.run(case) });
    });
}

/// Makes one test for each scenario; the text says which failure it guards against.
macro_rules! scenarios {
    ($($(#[doc = $guards:literal])+ $name:ident,)+) => {
        const NAMES: &[&str] = &[$(stringify!($name)),+];

        $(
            $(#[doc = $guards])+
            #[test]
            fn $name() {
                run(stringify!($name));
            }
        )+
    };
}

scenarios! {
    /// Guards against a mesh that never serves, or that answers with another request's body.
    steady,
}

/// Guards against a scenario file that no test runs.
#[test]
fn every_file_is_run() {
    let files: BTreeSet<_> = fs::read_dir(DIRECTORY)
        .unwrap()
        .map(|f| f.unwrap().file_name().into_string().unwrap())
        .collect();
    let names: BTreeSet<_> = NAMES.iter().map(|n| (*n).to_owned()).collect();
    assert_eq!(files, names);
}
