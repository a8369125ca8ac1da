//! JSON form of the configuration document.
//!
//! Field names end in their unit. All fields are optional here so that missing fields are reported
//! together with all other problems; the conversion then requires those without a default.

use std::time;

use serde::{Deserialize, Serialize};

use crate::protocol::{settings, validation};
use crate::state::{document, ids};

const SECOND_MS: u64 = 1000;
const MINUTE_MS: u64 = 60 * SECOND_MS;
const HOUR_S: u64 = 3600;

/// A shorter hold time would end before a lease does, so a claim could succeed while the previous
/// owner's lease is still valid.
const MIN_HOLD_MS: u64 = SECOND_MS;

const MAX_HOLD_MS: u64 = 24 * 60 * MINUTE_MS;

/// A record of 4,096 slices takes about 300 KB of the 1 MB that the platform's service accepts.
const MAX_SLICES: u64 = 4096;

/// A longer queue could not be drained within the longest deadline.
const MAX_QUEUE_REQUESTS: u64 = 100_000;

const MAX_DEADLINE_MS: u64 = 10 * MINUTE_MS;
const MAX_WEIGHT: f64 = 100.0;
const MAX_SEGMENT: u64 = 15;
const MAX_WINDOW_HOURS: u64 = 366 * 24;
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// JSON form of [`document::Document`].
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "an object with a document")]
pub struct Document {
    hold_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    drain: Option<Vec<Option<String>>>,
    classes: Option<Vec<Option<Class>>>,
    services: Option<Vec<Option<Service>>>,
}

#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "an object with a class")]
struct Class {
    name: Option<String>,
    priority: Option<u64>,
}

#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "an object with a service")]
struct Service {
    name: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<Key>,
    slices: Option<u64>,
    weights: Option<Weights>,
    churn_budget_percent: Option<f64>,
    queue_requests: Option<u64>,
    retry_budget_percent: Option<u64>,
    objective: Option<Objective>,
    routes: Option<Vec<Option<Route>>>,
}

#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(
    default,
    deny_unknown_fields,
    expecting = "an object with header, segment or query"
)]
struct Key {
    #[serde(skip_serializing_if = "Option::is_none")]
    header: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    segment: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    query: Option<String>,
}

#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "an object with weights")]
struct Weights {
    imbalance: Option<f64>,
    churn: Option<f64>,
    unavailable_time: Option<f64>,
}

#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(
    default,
    deny_unknown_fields,
    expecting = "an object with an objective"
)]
struct Objective {
    availability_percent: Option<f64>,
    latency_ms: Option<u64>,
    window_hours: Option<u64>,
}

#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "an object with a route")]
struct Route {
    #[serde(skip_serializing_if = "Option::is_none")]
    method: Option<String>,
    prefix: Option<String>,
    idempotent: Option<bool>,
    deadline_ms: Option<u64>,
}

impl TryFrom<Document> for document::Document {
    type Error = Vec<validation::Violation>;

    fn try_from(d: Document) -> Result<Self, Self::Error> {
        let mut validator = validation::Validator::default();
        let hold = validator.integer("hold_ms", d.hold_ms, MIN_HOLD_MS..=MAX_HOLD_MS);
        let drain = settings::addresses(&mut validator, "drain", d.drain);
        validator.distinct(&drain);
        let classes = list(&mut validator, "classes", d.classes, class);
        let services = list(&mut validator, "services", d.services, service);
        let document = (|| {
            Some(Self {
                cancel_window: time::Duration::from_millis(hold?),
                drain: drain.into_iter().map(|(_, a)| ids::NodeAddr(a)).collect(),
                classes: classes?,
                services: services?,
            })
        })();
        validator.finish(document)
    }
}

/// Converts a required, non-empty list whose entries have distinct names.
fn list<W: Named, T>(
    validator: &mut validation::Validator,
    path: &str,
    values: Option<Vec<Option<W>>>,
    convert: fn(&mut validation::Validator, &str, W) -> Option<T>,
) -> Option<Vec<T>> {
    let values = validator.required(path, values)?;
    if values.is_empty() {
        validator.reject(path, "expected at least one entry");
    }
    let names: Vec<_> = values
        .iter()
        .enumerate()
        .filter_map(|(i, v)| Some((format!("{path}[{i}].name"), v.as_ref()?.name()?)))
        .collect();
    validator.distinct(&names);
    let mut converted = Vec::new();
    for (i, value) in values.into_iter().enumerate() {
        let path = format!("{path}[{i}]");
        let value = validator.required(&path, value);
        converted.push(value.and_then(|v| convert(validator, &path, v)));
    }
    converted.into_iter().collect()
}

trait Named {
    fn name(&self) -> Option<String>;
}

impl Named for Class {
    fn name(&self) -> Option<String> {
        self.name.clone()
    }
}

impl Named for Service {
    fn name(&self) -> Option<String> {
        self.name.clone()
    }
}

impl Named for Route {
    /// Routes have no names; unreachable routes are rejected instead of duplicates.
    fn name(&self) -> Option<String> {
        None
    }
}

fn class(validator: &mut validation::Validator, path: &str, c: Class) -> Option<document::Class> {
    let name = validator.name(&format!("{path}.name"), c.name);
    let priority = validator.integer(&format!("{path}.priority"), c.priority, 0..=255);
    Some(document::Class {
        name: name?,
        priority: u8::try_from(priority?).ok()?,
    })
}

fn service(
    validator: &mut validation::Validator,
    path: &str,
    s: Service,
) -> Option<document::Service> {
    let at = |field: &str| format!("{path}.{field}");
    let name = validator.name(&at("name"), s.name);
    let key = s.key.map(|k| key_source(validator, &at("key"), k));
    let slices = validator.integer(&at("slices"), s.slices, 1..=MAX_SLICES);
    let weights = validator
        .required(&at("weights"), s.weights)
        .and_then(|w| self::weights(validator, &at("weights"), &w));
    let churn_budget = validator.number(
        &at("churn_budget_percent"),
        s.churn_budget_percent,
        0.0..=100.0,
    );
    let queue = validator.integer(
        &at("queue_requests"),
        s.queue_requests,
        1..=MAX_QUEUE_REQUESTS,
    );
    let retry = validator.integer(&at("retry_budget_percent"), s.retry_budget_percent, 0..=100);
    let objective = validator
        .required(&at("objective"), s.objective)
        .and_then(|o| self::objective(validator, &at("objective"), &o));
    let routes = list(validator, &at("routes"), s.routes, route);
    if let Some(routes) = &routes {
        reject_unreachable(validator, &at("routes"), routes);
    }
    Some(document::Service {
        name: name?,
        key: match key {
            Some(key) => Some(key?),
            None => None,
        },
        slices: slices?,
        weights: weights?,
        churn_budget: churn_budget?,
        queue: usize::try_from(queue?).ok()?,
        retry_percent: u32::try_from(retry?).ok()?,
        objective: objective?,
        routes: routes?,
    })
}

fn key_source(
    validator: &mut validation::Validator,
    path: &str,
    k: Key,
) -> Option<document::KeySource> {
    match (k.header, k.segment, k.query) {
        (Some(name), None, None) => {
            let path = format!("{path}.header");
            parameter(validator, &path, &name).then_some(document::KeySource::Header(name))
        }
        (None, Some(index), None) => {
            let path = format!("{path}.segment");
            let index = validator.integer(&path, Some(index), 0..=MAX_SEGMENT)?;
            Some(document::KeySource::Segment(usize::try_from(index).ok()?))
        }
        (None, None, Some(name)) => {
            let path = format!("{path}.query");
            parameter(validator, &path, &name).then_some(document::KeySource::Query(name))
        }
        _ => {
            validator.reject(path, "expected exactly one of header, segment and query");
            None
        }
    }
}

fn parameter(validator: &mut validation::Validator, path: &str, name: &str) -> bool {
    let valid = !name.is_empty()
        && name
            .bytes()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, b'-' | b'_'));
    if !valid {
        validator.reject(
            path,
            format!("expected letters, digits, hyphens and underscores, found {name:?}"),
        );
    }
    valid
}

fn weights(
    validator: &mut validation::Validator,
    path: &str,
    w: &Weights,
) -> Option<document::Weights> {
    let mut weight =
        |field: &str, value| validator.number(&format!("{path}.{field}"), value, 0.0..=MAX_WEIGHT);
    let imbalance = weight("imbalance", w.imbalance);
    let churn = weight("churn", w.churn);
    let unavailable = weight("unavailable_time", w.unavailable_time);
    let weights = document::Weights {
        imbalance: imbalance?,
        churn: churn?,
        unavailable: unavailable?,
    };
    if weights.imbalance + weights.churn + weights.unavailable <= 0.0 {
        validator.reject(path, "expected at least one weight above 0");
        return None;
    }
    Some(weights)
}

fn objective(
    validator: &mut validation::Validator,
    path: &str,
    o: &Objective,
) -> Option<document::Objective> {
    let at = |field: &str| format!("{path}.{field}");
    let availability = validator.number(
        &at("availability_percent"),
        o.availability_percent,
        0.0..=100.0,
    );
    // An objective of 100 leaves no error budget, so no burn rate can be computed.
    if availability.is_some_and(|a| a >= 100.0) {
        validator.reject(
            at("availability_percent"),
            "expected less than 100, which would leave no error budget",
        );
    }
    let latency = validator.integer(&at("latency_ms"), o.latency_ms, 1..=MAX_DEADLINE_MS);
    let window = validator.integer(&at("window_hours"), o.window_hours, 1..=MAX_WINDOW_HOURS);
    Some(document::Objective {
        availability: availability?,
        latency: time::Duration::from_millis(latency?),
        window: time::Duration::from_secs(window? * HOUR_S),
    })
}

fn route(validator: &mut validation::Validator, path: &str, r: Route) -> Option<document::Route> {
    let at = |field: &str| format!("{path}.{field}");
    if let Some(method) = &r.method
        && !METHODS.contains(&method.as_str())
    {
        let known = METHODS.join(", ");
        validator.reject(
            at("method"),
            format!("expected one of {known}, found {method:?}"),
        );
    }
    let prefix = validator.required(&at("prefix"), r.prefix);
    if let Some(prefix) = &prefix
        && !prefix.starts_with('/')
    {
        validator.reject(
            at("prefix"),
            format!("expected a path that starts with /, found {prefix:?}"),
        );
    }
    let idempotent = validator.required(&at("idempotent"), r.idempotent);
    let deadline = validator.integer(&at("deadline_ms"), r.deadline_ms, 1..=MAX_DEADLINE_MS);
    Some(document::Route {
        method: r.method,
        prefix: prefix?,
        idempotent: idempotent?,
        deadline: time::Duration::from_millis(deadline?),
    })
}

/// Rejects unreachable routes, whose requests are all matched by an earlier route.
fn reject_unreachable(
    validator: &mut validation::Validator,
    path: &str,
    routes: &[document::Route],
) {
    for (i, route) in routes.iter().enumerate() {
        let covers = |r: &document::Route| {
            (r.method.is_none() || r.method == route.method) && route.prefix.starts_with(&r.prefix)
        };
        if let Some(first) = routes.iter().take(i).position(covers) {
            validator.reject(
                format!("{path}[{i}]"),
                format!("never applies, because {path}[{first}] matches its requests first"),
            );
        }
    }
}

impl From<&document::Document> for Document {
    fn from(d: &document::Document) -> Self {
        let drain = d.drain.iter().map(|a| Some(a.to_string())).collect();
        Self {
            hold_ms: Some(millis(d.cancel_window)),
            drain: Some(drain),
            classes: Some(d.classes.iter().map(|c| Some(c.into())).collect()),
            services: Some(d.services.iter().map(|s| Some(s.into())).collect()),
        }
    }
}

impl From<&document::Class> for Class {
    fn from(c: &document::Class) -> Self {
        Self {
            name: Some(c.name.clone()),
            priority: Some(u64::from(c.priority)),
        }
    }
}

impl From<&document::Service> for Service {
    fn from(s: &document::Service) -> Self {
        Self {
            name: Some(s.name.clone()),
            key: s.key.as_ref().map(Key::from),
            slices: Some(s.slices),
            weights: Some(Weights {
                imbalance: Some(s.weights.imbalance),
                churn: Some(s.weights.churn),
                unavailable_time: Some(s.weights.unavailable),
            }),
            churn_budget_percent: Some(s.churn_budget),
            queue_requests: u64::try_from(s.queue).ok(),
            retry_budget_percent: Some(u64::from(s.retry_percent)),
            objective: Some(Objective {
                availability_percent: Some(s.objective.availability),
                latency_ms: Some(millis(s.objective.latency)),
                window_hours: Some(s.objective.window.as_secs() / HOUR_S),
            }),
            routes: Some(s.routes.iter().map(|r| Some(r.into())).collect()),
        }
    }
}

impl From<&document::KeySource> for Key {
    fn from(k: &document::KeySource) -> Self {
        match k {
            document::KeySource::Header(name) => Self {
                header: Some(name.clone()),
                ..Self::default()
            },
            document::KeySource::Segment(index) => Self {
                segment: u64::try_from(*index).ok(),
                ..Self::default()
            },
            document::KeySource::Query(name) => Self {
                query: Some(name.clone()),
                ..Self::default()
            },
        }
    }
}

impl From<&document::Route> for Route {
    fn from(r: &document::Route) -> Self {
        Self {
            method: r.method.clone(),
            prefix: Some(r.prefix.clone()),
            idempotent: Some(r.idempotent),
            deadline_ms: Some(millis(r.deadline)),
        }
    }
}

fn millis(d: time::Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
