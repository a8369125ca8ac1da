//! Scenarios of the policy comparison: deployments, events and recorded workloads.

use rand::{Rng, SeedableRng, rngs};

use crate::cmd::workload;
use crate::protocol::source;
use crate::state::{document, ids};

/// Length of one step, in seconds. Every policy plans once per step.
pub const STEP_SECONDS: u64 = 10;

/// Number of steps before the event. They let the placement converge and are not measured.
pub const WARM_UP_STEPS: usize = 60;

/// Number of measured steps after the warm-up.
pub const MEASURED_STEPS: usize = 180;

/// Number of keys of a service.
const KEYS: usize = 20_000;

/// Exponent of the Zipf distribution of keys outside of surges.
const ZIPF_EXPONENT: f64 = 0.8;

/// Number of walks that get most of the requests in an evening surge.
const SURGE_KEYS: usize = 5;

/// Number of households of the ward that looks up its dues on billing day.
const WARD_KEYS: usize = 2_000;

/// Number of steps after which the hot keys change: to other walks in a surge, or to the next ward on
/// billing day.
const SHIFT_STEPS: usize = 60;

/// Deployment of one user, reduced to its service that is partitioned by key.
#[derive(Debug)]
pub struct Deployment {
    /// Name of the user.
    pub name: &'static str,
    /// Service from the user's document.
    pub service: document::Service,
    /// Failure domain of each server.
    pub domains: Vec<&'static str>,
    /// Maximum number of concurrent requests on each server.
    pub slots: u32,
}

/// Event at the end of the warm-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A server joins in the first failure domain.
    Join,
    /// A server drains.
    Drain,
    /// A server fails.
    Kill,
    /// All servers of the first failure domain fail.
    DomainLoss,
    /// The request rate triples, and most requests are for a few walks.
    Surge,
    /// The request rate triples, and most requests are for the households of one ward.
    Billing,
}

impl Event {
    /// All events.
    pub const ALL: [Self; 6] = [
        Self::Join,
        Self::Drain,
        Self::Kill,
        Self::DomainLoss,
        Self::Surge,
        Self::Billing,
    ];

    /// Returns the name of the event.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Join => "join",
            Self::Drain => "drain",
            Self::Kill => "kill",
            Self::DomainLoss => "domain loss",
            Self::Surge => "evening surge",
            Self::Billing => "billing day",
        }
    }
}

/// Returns the deployments of both users.
///
/// # Errors
///
/// Returns an error if an example document is invalid or lacks the service.
pub fn deployments() -> eyre::Result<Vec<Deployment>> {
    let consortium = include_str!("../../examples/consortium.jsonc");
    let thrissur = include_str!("../../examples/thrissur.jsonc");
    Ok(vec![
        Deployment {
            name: "Consortium",
            service: service("consortium.jsonc", consortium, "walk-listings")?,
            domains: vec!["ie-east-a", "ie-east-b", "ie-east-c", "ie-east-a"],
            slots: 20,
        },
        Deployment {
            name: "Thrissur",
            service: service("thrissur.jsonc", thrissur, "dues-portal")?,
            domains: vec![
                "thrissur-a",
                "thrissur-b",
                "kochi-a",
                "kochi-b",
                "thrissur-a",
            ],
            slots: 20,
        },
    ])
}

fn service(file: &str, text: &str, name: &str) -> eyre::Result<document::Service> {
    let document = source::parse_document(file, text)?;
    let found = document.services.into_iter().find(|s| s.name == name);
    found.ok_or_else(|| eyre::eyre!("{file}: no service {name}"))
}

/// Recorded workload: the hash of each requested key, grouped by step.
#[derive(Debug)]
pub struct Recording {
    /// Hashes of all keys of the service, requested or not.
    pub keys: Vec<ids::KeyHash>,
    /// Requests of each step.
    pub steps: Vec<Vec<ids::KeyHash>>,
}

/// Generates the workload of an event from a seed.
///
/// # Errors
///
/// Returns a message if the key distribution is invalid.
pub fn record(event: Event, rate: f64, seed: u64) -> Result<Recording, String> {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let sampler = workload::KeySampler::new(KEYS, workload::KeyDistribution::Zipf(ZIPF_EXPONENT))?;
    let keys: Vec<_> = (0..KEYS)
        .map(|i| ids::KeyHash::of(&format!("key-{i}")))
        .collect();
    let steps = (0..WARM_UP_STEPS + MEASURED_STEPS).map(|step| {
        let hot_keys = hot_keys(event, step);
        let factor = if hot_keys.is_some() { 3.0 } else { 1.0 };
        let count = request_count(rate * factor);
        let draw = |_| {
            let key = match &hot_keys {
                Some((range, share)) if rng.random_bool(*share) => rng.random_range(range.clone()),
                _ => sampler.sample(&mut rng),
            };
            keys[key]
        };
        (0..count).map(draw).collect()
    });
    let steps = steps.collect();
    Ok(Recording { keys, steps })
}

fn request_count(rate: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the rate is positive and checked against an upper limit"
    )]
    let count = (rate * STEP_SECONDS as f64) as usize;
    count
}

/// Returns the hot keys of a surge in a step, and their share of all requests.
fn hot_keys(event: Event, step: usize) -> Option<(std::ops::Range<usize>, f64)> {
    let phase = step.checked_sub(WARM_UP_STEPS)? / SHIFT_STEPS;
    let (size, share) = match event {
        Event::Surge => (SURGE_KEYS, 0.6),
        Event::Billing => (WARD_KEYS, 0.7),
        _ => return None,
    };
    // The range excludes the most frequent keys of the Zipf distribution, so that the surge changes
    // which keys are hot.
    let first = KEYS / 2 + phase * size;
    Some((first..first + size, share))
}
