//! Validation of wire types that collects all violations instead of stopping at the first.
//!
//! A conversion runs all checks and returns the state value only if every check passes.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

/// Failed check of a value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Path of the value, for example `services[0].name`.
    pub path: String,
    /// Kind of violation.
    pub kind: ViolationKind,
}

/// Kind of [`Violation`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViolationKind {
    /// A required field is missing.
    Missing,
    /// The value is invalid, with an error message.
    Invalid(String),
}

/// Collects the violations found so far.
#[derive(Debug, Default)]
pub struct Validator(Vec<Violation>);

impl Validator {
    /// Records that a value is invalid.
    pub fn reject(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.0.push(Violation {
            path: path.into(),
            kind: ViolationKind::Invalid(message.into()),
        });
    }

    /// Requires a field to be present and returns its value.
    pub fn required<T>(&mut self, path: &str, value: Option<T>) -> Option<T> {
        if value.is_none() {
            self.0.push(Violation {
                path: path.to_owned(),
                kind: ViolationKind::Missing,
            });
        }
        value
    }

    /// Validates a required integer within a range.
    pub fn integer(
        &mut self,
        path: &str,
        value: Option<u64>,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.required(path, value)?;
        self.within(path, value, &range, "a whole number")
    }

    /// Validates a required number within a range.
    pub fn number(
        &mut self,
        path: &str,
        value: Option<f64>,
        range: RangeInclusive<f64>,
    ) -> Option<f64> {
        let value = self.required(path, value)?;
        self.within(path, value, &range, "a number")
    }

    fn within<T: PartialOrd + Display>(
        &mut self,
        path: &str,
        value: T,
        range: &RangeInclusive<T>,
        what: &str,
    ) -> Option<T> {
        if range.contains(&value) {
            return Some(value);
        }
        let (low, high) = (range.start(), range.end());
        self.reject(
            path,
            format!("expected {what} from {low} to {high}, found {value}"),
        );
        None
    }

    /// Parses a required string; `expected` describes valid input in the error message.
    pub fn parsed<T: FromStr>(
        &mut self,
        path: &str,
        value: Option<String>,
        expected: &str,
    ) -> Option<T> {
        let text = self.required(path, value)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.reject(path, format!("expected {expected}, found {text:?}"));
        }
        value
    }

    /// Validates a required name: lower-case letters, digits and hyphens, starting with a letter.
    pub fn name(&mut self, path: &str, value: Option<String>) -> Option<String> {
        let name = self.required(path, value)?;
        let valid = name.len() <= MAX_NAME_BYTES
            && name.starts_with(|c: char| c.is_ascii_lowercase())
            && name
                .bytes()
                .all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-');
        if valid {
            return Some(name);
        }
        self.reject(
            path,
            format!(
                "expected a name of 1 to {MAX_NAME_BYTES} lower-case letters, digits and hyphens that \
                 starts with a letter, found {name:?}"
            ),
        );
        None
    }

    /// Rejects every value that equals an earlier one.
    pub fn distinct<T: PartialEq + Display>(&mut self, values: &[(String, T)]) {
        for (i, (path, value)) in values.iter().enumerate() {
            if let Some((first, _)) = values.iter().take(i).find(|(_, v)| v == value) {
                self.reject(path.clone(), format!("{value} is used by {first} already"));
            }
        }
    }

    /// Returns the value if all checks passed.
    ///
    /// # Errors
    ///
    /// Returns all violations.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, Vec<Violation>> {
        match value {
            Some(value) if self.0.is_empty() => Ok(value),
            _ => Err(self.0),
        }
    }
}

/// Maximum length of a name, in bytes: the limit of a DNS label.
const MAX_NAME_BYTES: usize = 63;
