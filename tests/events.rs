//! Tests of the catalogue of log events.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::{fs, iter};

/// Level and fields of an event.
type Shape = (String, BTreeSet<String>);

fn collect_sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

/// Splits the arguments of a macro call; `text` starts after the opening parenthesis.
fn arguments(text: &str) -> Vec<String> {
    let (mut depth, mut quoted, mut escaped) = (0, false, false);
    let mut all = vec![String::new()];
    for c in text.chars() {
        match c {
            _ if escaped => escaped = false,
            '\\' if quoted => escaped = true,
            '"' => quoted = !quoted,
            _ if quoted => {}
            ')' if depth == 0 => break,
            '(' | '[' | '{' => depth += 1,
            ')' | ']' | '}' => depth -= 1,
            ',' if depth == 0 => {
                all.push(String::new());
                continue;
            }
            _ => {}
        }
        all.last_mut().unwrap().push(c);
    }
    all.iter().map(|a| a.trim().to_owned()).collect()
}

/// Returns the name of a field; `None` for the message.
fn field(argument: &str) -> Option<String> {
    if argument.is_empty() || argument.starts_with('"') {
        return None;
    }
    let name = argument.split('=').next().unwrap_or(argument);
    Some(name.trim_matches(['%', '?', ' ']).to_owned())
}

fn in_code() -> BTreeMap<u32, BTreeSet<Shape>> {
    let mut sources = Vec::new();
    collect_sources(Path::new("src"), &mut sources);
    collect_sources(Path::new("standins/src"), &mut sources);
    collect_sources(Path::new("platform/src"), &mut sources);
    let mut found: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for path in sources {
        let text = fs::read_to_string(&path).unwrap();
        for level in ["trace", "debug", "info", "warn", "error"] {
            for call in text.split(&format!("tracing::{level}!(")).skip(1) {
                let (number, shape) = event(level, call)
                    .unwrap_or_else(|| panic!("{}: no number in {call:.80}", path.display()));
                found.entry(number).or_default().insert(shape);
            }
        }
    }
    found
}

fn event(level: &str, call: &str) -> Option<(u32, Shape)> {
    let arguments = arguments(call);
    let number = arguments.iter().find_map(|a| a.strip_prefix("event = "))?;
    let fields = arguments.iter().filter_map(|a| field(a));
    let shape = fields.filter(|f| f != "event").collect();
    Some((number.parse().ok()?, (level.to_owned(), shape)))
}

fn in_catalogue() -> BTreeMap<u32, BTreeSet<Shape>> {
    let text = fs::read_to_string("docs/EVENTS.md").unwrap();
    let mut found: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for line in text.lines() {
        let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        let Some(number) = cells.first().and_then(|c| c.parse::<u32>().ok()) else {
            continue;
        };
        let [_, level, fields, meaning, action] = cells[..] else {
            panic!("event {number} has {} cells", cells.len());
        };
        assert!(
            !meaning.is_empty() && !action.is_empty(),
            "event {number} is not described"
        );
        let fields = fields.split(',').map(str::trim).filter(|f| !f.is_empty());
        let shape = (level.to_owned(), fields.map(str::to_owned).collect());
        let new = found.entry(number).or_default().insert(shape);
        assert!(new, "event {number} is listed twice");
    }
    found
}

/// Guards against events that are missing from the catalogue, and against catalogue entries that the
/// code no longer logs.
#[test]
fn catalogue_lists_the_events_of_the_code() {
    let (code, page) = (in_code(), in_catalogue());
    let all: BTreeSet<_> = code.keys().chain(page.keys()).collect();
    let differences: Vec<_> = all
        .into_iter()
        .filter(|n| code.get(n) != page.get(n))
        .map(|n| format!("{n}: code {:?}, page {:?}", code.get(n), page.get(n)))
        .collect();
    assert!(differences.is_empty(), "{}", differences.join("\n"));
}

/// Guards against two different events with the same number.
#[test]
fn each_number_has_one_shape() {
    for (number, shapes) in in_code() {
        assert_eq!(shapes.len(), 1, "event {number}: {shapes:?}");
    }
}

/// Guards against event numbers outside the documented ranges.
#[test]
fn numbers_are_in_their_ranges() {
    let ranges: Vec<_> = iter::successors(Some(100), |n| Some(n + 100))
        .take(7)
        .collect();
    for number in in_code().into_keys() {
        assert!(ranges.contains(&(number / 100 * 100)), "event {number}");
    }
}
