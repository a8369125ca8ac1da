//! Parsing of settings and documents from JSON with comments.
//!
//! All problems in the input are reported at once. A value that can't be decoded is reported and
//! replaced by null, and decoding is retried until the rest succeeds. The conversion to the state
//! type then adds its validation errors.

use std::collections::{BTreeMap, BTreeSet};

use jsonc_parser::{ast, common};
use serde::{de, ser};
use serde_json::{Map, Number, Value};

use crate::protocol::{document as wire_document, settings as wire_settings, validation};
use crate::state::{document, error, settings};

/// Parses the settings of a node; `file` is the name used in error messages.
///
/// # Errors
///
/// Returns [`error::Error::Source`] with all problems.
pub fn parse_settings(file: &str, text: &str) -> Result<settings::Settings, error::Error> {
    parse::<wire_settings::Settings, _>(file, text)
}

/// Parses a configuration document; `file` is the name used in error messages.
///
/// # Errors
///
/// Returns [`error::Error::Source`] with all problems.
pub fn parse_document(file: &str, text: &str) -> Result<document::Document, error::Error> {
    parse::<wire_document::Document, _>(file, text)
}

/// Renders a document as JSON that [`parse_document`] accepts.
///
/// # Panics
///
/// Never panics: the JSON form has only string keys and finite numbers.
#[must_use]
pub fn render_document(document: &document::Document) -> String {
    let wire = wire_document::Document::from(document);
    serde_json::to_string_pretty(&wire).expect("documents have only string keys and finite numbers")
}

fn parse<W, S>(file: &str, text: &str) -> Result<S, error::Error>
where
    W: de::DeserializeOwned + ser::Serialize,
    S: TryFrom<W, Error = Vec<validation::Violation>>,
{
    let mut source = Source::new(file, text);
    let converted = source.decode::<W>().map(S::try_from);
    match converted {
        Some(Ok(state)) if source.problems.is_empty() => Ok(state),
        Some(Err(violations)) => Err(source.into_error(violations)),
        _ => Err(source.into_error(Vec::new())),
    }
}

struct Source<'a> {
    file: &'a str,
    text: &'a str,
    /// Byte offset of each value, by path.
    value_offsets: BTreeMap<String, usize>,
    /// Byte offset of each field name, by path.
    name_offsets: BTreeMap<String, usize>,
    problems: Vec<error::Problem>,
}

impl<'a> Source<'a> {
    fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            value_offsets: BTreeMap::new(),
            name_offsets: BTreeMap::new(),
            problems: Vec::new(),
        }
    }

    fn decode<W: de::DeserializeOwned + ser::Serialize>(&mut self) -> Option<W> {
        let mut value = self.parse()?;
        // Each iteration replaces or removes one value, which bounds the number of iterations.
        for _ in 0..=self.value_offsets.len() {
            match serde_path_to_error::deserialize::<_, W>(&value) {
                Ok(wire) => {
                    let decoded = serde_json::to_value(&wire).unwrap_or_default();
                    self.report_lists_as_objects("", &value, &decoded);
                    return Some(wire);
                }
                Err(e) => self.report_and_remove(&mut value, &e)?,
            }
        }
        None
    }

    /// Reports lists in place of objects, because serde also decodes a struct from a sequence.
    fn report_lists_as_objects(&mut self, path: &str, found: &Value, decoded: &Value) {
        match (found, decoded) {
            (Value::Array(_), Value::Object(_)) => {
                let start = self.value_offsets.get(path).copied().unwrap_or_default();
                self.report(path, start, "expected an object, found list".to_owned());
            }
            (Value::Array(found), Value::Array(decoded)) => {
                for (i, (f, d)) in found.iter().zip(decoded).enumerate() {
                    self.report_lists_as_objects(&format!("{path}[{i}]"), f, d);
                }
            }
            (Value::Object(found), Value::Object(decoded)) => {
                for (name, f) in found {
                    if let Some(d) = decoded.get(name) {
                        self.report_lists_as_objects(&join(path, name), f, d);
                    }
                }
            }
            _ => {}
        }
    }

    fn parse(&mut self) -> Option<Value> {
        let collect = jsonc_parser::CollectOptions::default();
        match jsonc_parser::parse_to_ast(self.text, &collect, &options()) {
            Ok(parsed) => match parsed.value {
                Some(root) => Some(self.value("", &root)),
                None => self.abort(0, "expected an object, found nothing".to_owned()),
            },
            Err(e) => {
                let message = format!("not valid JSON: {}", e.kind());
                self.abort(e.range().start, message)
            }
        }
    }

    fn abort<T>(&mut self, start: usize, message: String) -> Option<T> {
        self.report("", start, message);
        None
    }

    /// Converts a value and records its offset.
    fn value(&mut self, path: &str, node: &ast::Value<'_>) -> Value {
        let start = common::Ranged::start(node);
        self.value_offsets.insert(path.to_owned(), start);
        match node {
            ast::Value::StringLit(s) => Value::String(s.value.to_string()),
            ast::Value::BooleanLit(b) => Value::Bool(b.value),
            ast::Value::NumberLit(n) => self.number(path, start, n.value),
            ast::Value::NullKeyword(_) => {
                let message = "expected a value, found null; leave the field out instead";
                self.report(path, start, message.to_owned());
                Value::Null
            }
            ast::Value::Array(a) => a
                .elements
                .iter()
                .enumerate()
                .map(|(i, v)| self.value(&format!("{path}[{i}]"), v))
                .collect(),
            ast::Value::Object(o) => self.object(path, o),
        }
    }

    fn number(&mut self, path: &str, start: usize, text: &str) -> Value {
        // The standard library rounds decimals correctly; serde_json rounds some to an adjacent value.
        let number = if text.contains(['.', 'e', 'E']) {
            text.parse().ok().and_then(Number::from_f64)
        } else {
            text.parse().ok()
        };
        if number.is_none() {
            self.report(path, start, format!("expected a number, found {text}"));
        }
        number.map_or(Value::Null, Value::Number)
    }

    fn object(&mut self, path: &str, object: &ast::Object<'_>) -> Value {
        let mut map = Map::new();
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = join(path, name);
            let start = common::Ranged::start(&property.name);
            if !seen.insert(name) {
                self.report(&path, start, "appears twice in the same object".to_owned());
                continue;
            }
            self.name_offsets.insert(path.clone(), start);
            map.insert(name.to_owned(), self.value(&path, &property.value));
        }
        Value::Object(map)
    }

    /// Reports a decoding error and removes the value that caused it. Returns `None` if the root
    /// value is the cause.
    fn report_and_remove(
        &mut self,
        value: &mut Value,
        e: &serde_path_to_error::Error<serde_json::Error>,
    ) -> Option<()> {
        let message = e.inner().to_string();
        let mut steps: Vec<_> = e.path().iter().cloned().collect();
        if let Some(unknown) = unknown_field(&message) {
            let parent = e.path().to_string();
            let parent = if parent == "." { "" } else { &parent };
            let name = unknown.to_owned();
            // serde's path may end at the object that contains the unknown field.
            if !self.name_offsets.contains_key(&join(parent, &name)) {
                steps.pop();
            }
            let parent = format_path(&steps);
            let path = join(&parent, &name);
            let start = self.name_offsets.get(&path).copied().unwrap_or_default();
            self.report(&path, start, unknown_message(&name, &message));
            value_at(value, &steps)?.as_object_mut()?.remove(&name)?;
            return Some(());
        }
        let path = format_path(&steps);
        let start = self.value_offsets.get(&path).copied().unwrap_or_default();
        self.report(&path, start, type_message(&message));
        if steps.is_empty() {
            return None;
        }
        let wrong = value_at(value, &steps)?;
        if wrong.is_null() {
            return None;
        }
        *wrong = Value::Null;
        Some(())
    }

    fn into_error(mut self, violations: Vec<validation::Violation>) -> error::Error {
        for violation in violations {
            let validation::Violation { path, kind } = violation;
            let start = self.nearest_offset(&path);
            match kind {
                // A value replaced by null looks missing but was already reported.
                validation::ViolationKind::Missing if self.value_offsets.contains_key(&path) => {}
                validation::ViolationKind::Missing => {
                    self.report(&path, start, "required field is missing".to_owned());
                }
                validation::ViolationKind::Invalid(message) => self.report(&path, start, message),
            }
        }
        self.problems
            .sort_by(|a, b| (a.line, a.column, &a.path).cmp(&(b.line, b.column, &b.path)));
        error::Error::Source(self.problems)
    }

    /// Returns the offset of a value, or of its nearest known ancestor.
    fn nearest_offset(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            if let Some(start) = self.value_offsets.get(path) {
                return *start;
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => return self.value_offsets.get("").copied().unwrap_or_default(),
            }
        }
    }

    fn report(&mut self, path: &str, start: usize, message: String) {
        let (line, column) = position(self.text, start);
        let path = if path.is_empty() { "." } else { path };
        self.problems.push(error::Problem {
            file: self.file.to_owned(),
            line,
            column,
            path: path.to_owned(),
            message,
        });
    }
}

/// Returns parser options that allow comments and trailing commas, but no other extensions.
pub(super) fn options() -> jsonc_parser::ParseOptions {
    jsonc_parser::ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn join(parent: &str, name: &str) -> String {
    if parent.is_empty() {
        name.to_owned()
    } else {
        format!("{parent}.{name}")
    }
}

fn format_path(steps: &[serde_path_to_error::Segment]) -> String {
    let mut path = String::new();
    for step in steps {
        match step {
            serde_path_to_error::Segment::Seq { index } => path = format!("{path}[{index}]"),
            other => path = join(&path, &other.to_string()),
        }
    }
    path
}

fn value_at<'v>(
    value: &'v mut Value,
    steps: &[serde_path_to_error::Segment],
) -> Option<&'v mut Value> {
    steps.iter().try_fold(value, |value, step| match step {
        serde_path_to_error::Segment::Seq { index } => value.get_mut(index),
        serde_path_to_error::Segment::Map { key } => value.get_mut(key),
        serde_path_to_error::Segment::Enum { .. } | serde_path_to_error::Segment::Unknown => None,
    })
}

/// Extracts the field name from serde's error message about an unknown field.
fn unknown_field(message: &str) -> Option<&str> {
    message.strip_prefix("unknown field `")?.split('`').next()
}

fn unknown_message(name: &str, message: &str) -> String {
    let known: Vec<&str> = message.split('`').skip(3).step_by(2).collect();
    let with_unit = known
        .iter()
        .find(|k| without_unit(k).is_some_and(|s| s == name || Some(s) == without_unit(name)));
    match with_unit {
        Some(field) => format!("unknown field, expected {field}, whose name states the unit"),
        None => format!("unknown field, expected one of {}", known.join(", ")),
    }
}

/// Returns a field name without its unit suffix.
fn without_unit(field: &str) -> Option<&str> {
    field.rsplit_once('_').map(|(name, _)| name)
}

/// Rewrites serde's type error in the terms that the documentation uses.
fn type_message(message: &str) -> String {
    let (found, expected) = message.rsplit_once(", expected ").unwrap_or((message, ""));
    let found = found
        .trim_start_matches("invalid type: ")
        .trim_start_matches("invalid value: ")
        .replace("sequence", "list")
        .replace("map", "object");
    let expected = match expected {
        "u64" => "a whole number from 0",
        "f64" => "a number",
        "a sequence" => "a list",
        other => other,
    };
    format!("expected {expected}, found {found}")
}

/// Converts a byte offset to a line and column, both starting at 1.
fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    (line, column)
}
