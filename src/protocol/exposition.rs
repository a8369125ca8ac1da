//! Parser for the subset of the Prometheus text format that reports need.

use std::collections::BTreeMap;

use crate::protocol::error;

/// Metric sample.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Name of the metric.
    pub name: String,
    /// Labels by name.
    pub labels: BTreeMap<String, String>,
    /// Value of the sample.
    pub value: f64,
}

impl Sample {
    /// Returns the value of a label, or the empty string if it is absent.
    #[must_use]
    pub fn label(&self, name: &str) -> &str {
        self.labels.get(name).map_or("", String::as_str)
    }
}

/// Parses all samples; comments are ignored.
///
/// # Errors
///
/// Returns [`error::Error::Decode`] with the first line that is not a valid sample.
pub fn parse(text: &str) -> Result<Vec<Sample>, error::Error> {
    let lines = text.lines().map(str::trim);
    lines
        .filter(|l| !l.is_empty() && !l.starts_with('#'))
        .map(|l| parse_sample(l).ok_or_else(|| error::Error::Decode(format!("not a sample: {l}"))))
        .collect()
}

fn parse_sample(line: &str) -> Option<Sample> {
    let end = line.find(['{', ' '])?;
    let (name, mut rest) = line.split_at(end);
    let mut labels = BTreeMap::new();
    if let Some(inner) = rest.strip_prefix('{') {
        rest = inner;
        while !rest.starts_with('}') {
            let (label, after) = rest.split_once("=\"")?;
            let (value, after) = parse_quoted(after)?;
            labels.insert(label.trim().to_owned(), value);
            rest = after.strip_prefix(',').unwrap_or(after).trim_start();
        }
        rest = &rest[1..];
    }
    // A timestamp may follow the value.
    let value = rest.split_whitespace().next()?.parse().ok()?;
    Some(Sample {
        name: name.to_owned(),
        labels,
        value,
    })
}

/// Parses a label value up to its closing quote and returns it with the remaining text.
fn parse_quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((i, c)) = chars.next() {
        match c {
            '"' => return Some((value, &text[i + 1..])),
            '\\' => match chars.next()?.1 {
                'n' => value.push('\n'),
                other => value.push(other),
            },
            other => value.push(other),
        }
    }
    None
}
