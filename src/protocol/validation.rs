//! Checks of wire types that report every violation instead of the first.
//!
//! A conversion runs all its checks and returns the state value only if none of them failed.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

/// Requirement that a value does not meet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Path of the value, for example `services[0].name`.
    pub path: String,
    /// What is wrong.
    pub kind: ViolationKind,
}

/// What is wrong with a value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViolationKind {
    /// Required field is absent.
    Missing,
    /// Value is refused, for this reason.
    Invalid(String),
}

/// Violations found so far.
#[derive(Debug, Default)]
pub struct Validator(Vec<Violation>);

impl Validator {
    /// Records that a value is refused.
    pub fn reject(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.0.push(Violation {
            path: path.into(),
            kind: ViolationKind::Invalid(message.into()),
        });
    }

    /// Returns the value of a field that must be present.
    pub fn required<T>(&mut self, path: &str, value: Option<T>) -> Option<T> {
        if value.is_none() {
            self.0.push(Violation {
                path: path.to_owned(),
                kind: ViolationKind::Missing,
            });
        }
        value
    }

    /// Returns a required whole number within a range.
    pub fn integer(
        &mut self,
        path: &str,
        value: Option<u64>,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.required(path, value)?;
        self.within(path, value, &range, "a whole number")
    }

    /// Returns a required number within a range.
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

    /// Returns a required text that another type can be parsed from.
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

    /// Returns a required name: lower-case letters, digits and hyphens, starting with a letter.
    pub fn name(&mut self, path: &str, value: Option<String>) -> Option<String> {
        let name = self.required(path, value)?;
        let valid = name.len() <= MAX_NAME
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
                "expected a name of 1 to {MAX_NAME} lower-case letters, digits and hyphens that \
                 starts with a letter, found {name:?}"
            ),
        );
        None
    }

    /// Refuses every value that an earlier one equals.
    pub fn distinct<T: PartialEq + Display>(&mut self, values: &[(String, T)]) {
        for (i, (path, value)) in values.iter().enumerate() {
            if let Some((first, _)) = values.iter().take(i).find(|(_, v)| v == value) {
                self.reject(path.clone(), format!("{value} is used by {first} already"));
            }
        }
    }

    /// Returns the value if no check failed.
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

/// Longest name, the limit of a DNS label.
const MAX_NAME: usize = 63;
