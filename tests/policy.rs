//! Tests of the comparison of balance policies on recorded workloads.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use filbertflow::cmd::{replay, scenario};
use filbertflow::coordination::balance;

/// Requests per second. A low rate keeps the test short.
const RATE: f64 = 30.0;

fn score(event: scenario::Event, policy: balance::Policy) -> replay::Score {
    let deployment = scenario::deployments().unwrap().remove(0);
    let recording = scenario::record(event, RATE, 11).unwrap();
    replay::replay(&deployment, event, &recording, policy)
}

/// Guards against scores that can't be reproduced from the seed.
#[test]
fn same_seed_gives_the_same_score() {
    let run = || score(scenario::Event::Surge, balance::Policy::Weighted);
    let (a, b) = (run(), run());
    assert_eq!(format!("{a:?}"), format!("{b:?}"));
}

/// Guards against an event that has no effect on the replay.
#[test]
fn a_lost_domain_makes_every_policy_move_its_slices() {
    for policy in balance::Policy::ALL {
        let score = score(scenario::Event::DomainLoss, policy);
        assert!(score.churn > 20.0, "{}: {score:?}", policy.name());
    }
}

/// Guards against optional moves that exceed the churn budget of the document.
#[test]
fn churn_stays_within_the_budget_of_the_document() {
    let deployment = scenario::deployments().unwrap().remove(0);
    let minutes = scenario::MEASURED_STEPS as f64 * scenario::STEP_SECONDS as f64 / 60.0;
    for event in scenario::Event::ALL {
        let score = score(event, balance::Policy::Weighted);
        // The share of keys in a slice varies around its share of the hash range, hence the 10 % tolerance.
        let limit = deployment.service.churn_budget * (minutes + 1.0) * 1.1;
        assert!(score.optional_churn <= limit, "{}: {score:?}", event.name());
    }
}
