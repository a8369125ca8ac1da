//! Scenarios of the policy comparison: the deployments, what happens to them, and the recorded
//! requests.

use rand::{Rng, SeedableRng, rngs};

use crate::cmd::workload;
use crate::protocol::source;
use crate::state::{document, ids};

/// Length of one step, in seconds; every policy plans once per step.
pub const STEP_SECONDS: u64 = 10;

/// Steps before the event, in which placements settle; they are not measured.
pub const WARM_UP_STEPS: usize = 60;

/// Steps that are measured.
pub const MEASURED_STEPS: usize = 180;

/// Keys of a service.
const KEYS: usize = 20_000;

/// Exponent of the frequency of keys at ordinary times.
const EXPONENT: f64 = 0.8;

/// Walks that get most of the requests in an evening surge.
const SURGE_KEYS: usize = 5;

/// Households of a ward that looks up its dues on billing day.
const WARD_KEYS: usize = 2_000;

/// Steps after which the surge goes on to other walks, or billing day to another ward.
const SHIFT: usize = 60;

/// Deployment of one user, by the service that is divided by key.
#[derive(Debug)]
pub struct Deployment {
    /// Name of the user.
    pub name: &'static str,
    /// Service from the user's document.
    pub service: document::Service,
    /// Failure domain of each server.
    pub domains: Vec<&'static str>,
    /// Concurrent requests that each server runs.
    pub slots: u32,
}

/// What happens at the end of the warm-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A server joins in the first failure domain.
    Join,
    /// A server drains.
    Drain,
    /// A server is lost.
    Kill,
    /// All servers of the first failure domain are lost.
    DomainLoss,
    /// Three times as many requests, most of them for a few walks.
    Surge,
    /// Three times as many requests, most of them for the households of one ward.
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
/// Returns the problems of an example document.
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

/// Recorded requests: the hash of each requested key, step by step.
#[derive(Debug)]
pub struct Recording {
    /// Hashes of all keys of the service, requested or not.
    pub keys: Vec<ids::KeyHash>,
    /// Requests of each step.
    pub steps: Vec<Vec<ids::KeyHash>>,
}

/// Records the workload of an event.
///
/// # Errors
///
/// Returns a message if the distribution of keys is invalid.
pub fn record(event: Event, rate: f64, seed: u64) -> Result<Recording, String> {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let sampler = workload::KeySampler::new(KEYS, workload::KeyDistribution::Zipf(EXPONENT))?;
    let keys: Vec<_> = (0..KEYS)
        .map(|i| ids::KeyHash::of(&format!("key-{i}")))
        .collect();
    let steps = (0..WARM_UP_STEPS + MEASURED_STEPS).map(|step| {
        let crowd = crowd(event, step);
        let factor = if crowd.is_some() { 3.0 } else { 1.0 };
        let count = requests(rate * factor);
        let draw = |_| {
            let key = match &crowd {
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

fn requests(rate: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the rate is positive and checked against an upper limit"
    )]
    let count = (rate * STEP_SECONDS as f64) as usize;
    count
}

/// Returns the keys that a crowd requests in a step, and its share of all requests.
fn crowd(event: Event, step: usize) -> Option<(std::ops::Range<usize>, f64)> {
    let phase = step.checked_sub(WARM_UP_STEPS)? / SHIFT;
    let (size, share) = match event {
        Event::Surge => (SURGE_KEYS, 0.6),
        Event::Billing => (WARD_KEYS, 0.7),
        _ => return None,
    };
    // The crowd leaves the most frequent keys aside, so that it changes which keys are hot.
    let first = KEYS / 2 + phase * size;
    Some((first..first + size, share))
}
