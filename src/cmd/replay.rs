//! Replay of a recorded workload against a balance policy.

use std::collections::HashMap;
use std::time;

use serde::Serialize;

use crate::cmd::scenario;
use crate::coordination::balance;
use crate::protocol::peer;
use crate::state::{clock, ids, record, sketch};

/// Number of keys in the sketch of a server.
const SKETCH_KEYS: usize = 128;

/// Number of hottest keys that a server reports.
const REPORTED_KEYS: usize = 16;

/// Time after which a count in the sketch has half its weight.
const SKETCH_HALF_LIFE: time::Duration = time::Duration::from_secs(scenario::STEP_SECONDS);

/// Number of steps in a minute, the period of the churn budget.
const STEPS_PER_MINUTE: usize = 6;

/// Imbalance and churn measured in one replay.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize)]
pub struct Score {
    /// Maximum server load divided by the mean server load, averaged over the measured steps.
    pub load_mean: f64,
    /// The 95th percentile over steps of the same ratio.
    pub load_p95: f64,
    /// Maximum number of keys on a server divided by the mean, averaged over the measured steps.
    pub keys_mean: f64,
    /// Share of keys that changed owner, in percent. A key counts once per move.
    pub churn: f64,
    /// The same share without moves away from servers that are lost or draining.
    pub optional_churn: f64,
    /// Number of slice moves.
    pub moves: usize,
    /// Maximum number of slices in the record during the measured steps.
    pub slices: usize,
}

/// Replays a recorded workload and scores the policy.
#[must_use]
pub fn replay(
    deployment: &scenario::Deployment,
    event: scenario::Event,
    recording: &scenario::Recording,
    policy: balance::Policy,
) -> Score {
    let mut replay = Replay::new(deployment, recording, policy);
    for (step, requests) in recording.steps.iter().enumerate() {
        if step == scenario::WARM_UP_STEPS {
            replay.apply_event(event);
        }
        replay.plan(step);
        replay.count_requests(step, requests);
    }
    replay.score()
}

struct Replay<'a> {
    deployment: &'a scenario::Deployment,
    recording: &'a scenario::Recording,
    policy: balance::Policy,
    record: record::PartitionRecord,
    servers: Vec<balance::Server>,
    sketches: HashMap<ids::NodeRef, sketch::Sketch>,
    start: clock::Instant,
    /// Recent moves: step and start of the slice.
    moved: Vec<(usize, ids::KeyHash)>,
    /// Load imbalance of each measured step.
    load: Vec<f64>,
    /// Key imbalance of each measured step.
    keys: Vec<f64>,
    moved_keys: usize,
    optionally_moved_keys: usize,
    moves: usize,
    max_slices: usize,
}

impl<'a> Replay<'a> {
    fn new(
        deployment: &'a scenario::Deployment,
        recording: &'a scenario::Recording,
        policy: balance::Policy,
    ) -> Self {
        let domains = deployment.domains.iter().enumerate();
        let servers: Vec<_> = domains
            .map(|(i, domain)| server(i, domain, deployment.slots))
            .collect();
        Self {
            deployment,
            recording,
            policy,
            record: empty_record(&deployment.service, servers[0].node),
            servers,
            sketches: HashMap::new(),
            start: clock::Instant::now(),
            moved: Vec::new(),
            load: Vec::new(),
            keys: Vec::new(),
            moved_keys: 0,
            optionally_moved_keys: 0,
            moves: 0,
            max_slices: 0,
        }
    }

    fn apply_event(&mut self, event: scenario::Event) {
        let first = self.deployment.domains[0];
        match event {
            scenario::Event::Join => {
                let new = server(self.servers.len(), first, self.deployment.slots);
                self.servers.push(new);
            }
            scenario::Event::Drain => self.servers[1].draining = true,
            scenario::Event::Kill => self.servers[1].live = false,
            scenario::Event::DomainLoss => {
                for server in self.servers.iter_mut().filter(|s| s.domain == first) {
                    server.live = false;
                }
            }
            scenario::Event::Surge | scenario::Event::Billing => {}
        }
    }

    fn plan(&mut self, step: usize) {
        self.moved.retain(|(at, _)| at + STEPS_PER_MINUTE > step);
        let service = &self.deployment.service;
        let input = balance::Input {
            record: &self.record,
            servers: self.servers.clone(),
            weights: service.weights,
            churn_budget: service.churn_budget,
            base_slices: service.slices,
            moved: self.moved.iter().map(|(_, start)| *start).collect(),
        };
        let plan = self.policy.plan(&input);
        self.record.slices = balance::reshape(&self.record.slices, &plan);
        for m in &plan.moves {
            self.apply_move(step, m);
        }
        if step >= scenario::WARM_UP_STEPS {
            self.max_slices = self.max_slices.max(self.record.slices.len());
        }
    }

    fn apply_move(&mut self, step: usize, m: &balance::Move) {
        let index = self.record.slice_index(m.start);
        let end = self.record.slice_end(index);
        self.record.slices[index].owner = Some(m.to);
        self.moved.push((step, m.start));
        if step < scenario::WARM_UP_STEPS {
            return;
        }
        let keys = self.recording.keys.iter();
        let count = keys.filter(|k| (m.start..=end).contains(*k)).count();
        let mut servers = self.servers.iter();
        let is_forced = !servers.any(|s| Some(s.node) == m.from && s.live && !s.draining);
        self.moved_keys += count;
        self.optionally_moved_keys += if is_forced { 0 } else { count };
        self.moves += 1;
    }

    fn count_requests(&mut self, step: usize, requests: &[ids::KeyHash]) {
        let seconds = u64::try_from(step + 1).unwrap_or(u64::MAX) * scenario::STEP_SECONDS;
        let now = self.start + time::Duration::from_secs(seconds);
        let mut counts = vec![0_u32; self.record.slices.len()];
        for key in requests {
            let index = self.record.slice_index(*key);
            counts[index] += 1;
            if let Some(owner) = self.record.slices[index].owner {
                let sketch = self.sketches.entry(owner);
                sketch
                    .or_insert_with(|| {
                        sketch::Sketch::new(SKETCH_KEYS, SKETCH_HALF_LIFE, self.start)
                    })
                    .add(*key, now);
            }
        }
        self.update_reports(&counts, now);
        if step >= scenario::WARM_UP_STEPS {
            let by_load = self.per_server(|i| f64::from(counts[i]));
            self.load.push(imbalance(&by_load));
            let keys = self.key_counts();
            let by_keys = self.per_server(|i| keys[i]);
            self.keys.push(imbalance(&by_keys));
        }
    }

    /// Updates the load reports of the live servers.
    fn update_reports(&mut self, counts: &[u32], now: clock::Instant) {
        let record = &self.record;
        for server in self.servers.iter_mut().filter(|s| s.live) {
            let slices = record.slices.iter().zip(counts);
            let held = slices.filter(|(s, _)| s.owner == Some(server.node));
            let rate = |count: u32| f64::from(count) / scenario::STEP_SECONDS as f64;
            server.load.seconds = scenario::STEP_SECONDS as f64;
            server.load.slices = held.map(|(s, c)| (s.start, rate(*c))).collect();
            let sketch = self.sketches.get(&server.node);
            server.load.hot = sketch.map_or_else(Vec::new, |s| s.top(REPORTED_KEYS, now));
        }
    }

    fn key_counts(&self) -> Vec<f64> {
        let mut counts = vec![0.0; self.record.slices.len()];
        for key in &self.recording.keys {
            counts[self.record.slice_index(*key)] += 1.0;
        }
        counts
    }

    fn per_server(&self, of_slice: impl Fn(usize) -> f64) -> Vec<f64> {
        let eligible = self.servers.iter().filter(|s| s.live && !s.draining);
        eligible
            .map(|server| {
                let slices = self.record.slices.iter().enumerate();
                slices
                    .filter(|(_, s)| s.owner == Some(server.node))
                    .map(|(i, _)| of_slice(i))
                    .sum()
            })
            .collect()
    }

    fn score(mut self) -> Score {
        self.load.sort_by(f64::total_cmp);
        let percent = |n: usize| n as f64 * 100.0 / self.recording.keys.len() as f64;
        let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
        Score {
            load_mean: mean(&self.load),
            load_p95: self.load[self.load.len() * 95 / 100],
            keys_mean: mean(&self.keys),
            churn: percent(self.moved_keys),
            optional_churn: percent(self.optionally_moved_keys),
            moves: self.moves,
            slices: self.max_slices,
        }
    }
}

/// Returns the maximum divided by the mean.
fn imbalance(values: &[f64]) -> f64 {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    values.iter().copied().fold(0.0, f64::max) / mean.max(f64::MIN_POSITIVE)
}

fn server(index: usize, domain: &str, slots: u32) -> balance::Server {
    let port = 7000 + u16::try_from(index).expect("a deployment has few servers");
    balance::Server {
        node: ids::NodeRef {
            addr: ids::NodeAddr(([127, 0, 0, 1], port).into()),
            incarnation: ids::Incarnation(1),
        },
        domain: domain.to_owned(),
        live: true,
        draining: false,
        slots,
        load: peer::Load::default(),
    }
}

fn empty_record(
    service: &crate::state::document::Service,
    node: ids::NodeRef,
) -> record::PartitionRecord {
    record::PartitionRecord {
        id: ids::PartitionId::first(&service.name),
        epoch: ids::Epoch(1),
        revision: ids::Revision(1),
        coordinator: node,
        standbys: Vec::new(),
        servers: Vec::new(),
        slices: record::even_slices(service.slices),
        intent: None,
        writer: record::Writer { node, number: 1 },
    }
}
