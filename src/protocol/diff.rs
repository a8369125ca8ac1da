//! Differences between two documents, listed by the path of each value.
//!
//! List entries are identified by name rather than by index, so that inserting or moving an entry
//! does not report all following entries as changed.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::Value;

use crate::protocol::document as wire;
use crate::state::document;

/// Value that differs between two documents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// Path of the value, for example `services[box-office].slices`.
    pub path: String,
    /// Value in the old document, as JSON.
    pub old: Option<String>,
    /// Value in the new document, as JSON.
    pub new: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "~ {}: {old} -> {new}", self.path),
            (Some(old), None) => write!(f, "- {}: {old}", self.path),
            (None, Some(new)) => write!(f, "+ {}: {new}", self.path),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

/// Compares two documents and returns the values that differ, sorted by path.
#[must_use]
pub fn compare(old: &document::Document, new: &document::Document) -> Vec<Difference> {
    let mut old = flatten(old);
    let new = flatten(new);
    let mut found: Vec<_> = new
        .into_iter()
        .map(|(path, value)| Difference {
            old: old.remove(&path),
            new: Some(value),
            path,
        })
        .filter(|d| d.old != d.new)
        .collect();
    found.extend(old.into_iter().map(|(path, value)| Difference {
        path,
        old: Some(value),
        new: None,
    }));
    found.sort_by(|a, b| a.path.cmp(&b.path));
    found
}

fn flatten(document: &document::Document) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    let root = serde_json::to_value(wire::Document::from(document)).unwrap_or_default();
    flatten_value(&mut values, "", &root);
    values
}

fn flatten_value(values: &mut BTreeMap<String, String>, path: &str, value: &Value) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                flatten_value(values, &path, field);
            }
        }
        Value::Array(entries) => {
            let names: Vec<_> = entries.iter().map(entry_name).collect();
            for (name, entry) in names.iter().zip(entries) {
                flatten_value(values, &format!("{path}[{name}]"), entry);
            }
            // Order matters: the first class is the default, and the first matching route applies.
            values.insert(format!("{path} (order)"), names.join(", "));
        }
        other => {
            values.insert(path.to_owned(), other.to_string());
        }
    }
}

/// Returns the name that identifies a list entry.
fn entry_name(entry: &Value) -> String {
    let text = |field| entry.get(field).and_then(Value::as_str);
    match (entry, text("name"), text("prefix")) {
        (_, Some(name), _) => name.to_owned(),
        (_, None, Some(prefix)) => format!("{} {prefix}", text("method").unwrap_or("any")),
        (Value::String(value), None, None) => value.clone(),
        (other, None, None) => other.to_string(),
    }
}
