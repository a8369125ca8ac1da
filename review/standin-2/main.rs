//! Cases of the review that are scripts: starts the project's sidecars as separate processes, with
//! stand-ins of the store, the instances and the clients.

mod http;
mod instance;
mod json;
mod keys;
mod mesh;
mod record;
mod store;

mod crashing;
mod crowd;
mod restored;
mod stale;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use record::Record;

/// Result of a case: whether the rule held.
type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    if let [_, case, to, round] = &args[..]
        && case == "clients"
    {
        return match crowd::clients(to, round) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(2),
        };
    }
    let [_, case, root, record] = &args[..] else {
        eprintln!("usage: standin-2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let root = PathBuf::from(root);
    let record = match Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("the record can't be written: {e}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, disruption: {trouble}"));
    let verdict: Verdict = match case.as_str() {
        "crashing" => crashing::run(&root, &record, trouble),
        "restored" => restored::run(&root, &record, trouble),
        "crowd" => crowd::run(&root, &record, trouble),
        "stale" => stale::run(&root, &record, trouble),
        _ => Err("no such case".to_owned()),
    };
    match verdict {
        Ok(true) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(e) => {
            record.line(&format!("the case couldn't run: {e}"));
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}
