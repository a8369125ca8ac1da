//! Gauges of a node's state, read when the metrics are asked for.

use prometheus::{IntGauge, IntGaugeVec, Opts};

use crate::coordination::node;

/// Gauges of a node's state.
#[derive(Debug)]
pub struct Gauges {
    revision: IntGauge,
    members: IntGauge,
    leased: IntGaugeVec,
    unowned: IntGaugeVec,
    moving: IntGaugeVec,
}

impl Gauges {
    /// Creates the gauges and adds them to the node's metrics.
    ///
    /// # Panics
    ///
    /// Panics if the node's metrics have gauges of these names already.
    #[must_use]
    pub fn register(node: &node::Node) -> Self {
        let gauges = Self {
            revision: single("filbertflow_document_revision", "Revision in force"),
            members: single("filbertflow_members", "Known nodes, this one included"),
            leased: by_partition("filbertflow_leased_slices", "Slices under a live lease"),
            unowned: by_partition("filbertflow_unowned_slices", "Slices without an owner"),
            moving: by_partition("filbertflow_moving_slices", "Slices that are being moved"),
        };
        node.metrics.register(Box::new(gauges.revision.clone()));
        node.metrics.register(Box::new(gauges.members.clone()));
        node.metrics.register(Box::new(gauges.leased.clone()));
        node.metrics.register(Box::new(gauges.unowned.clone()));
        node.metrics.register(Box::new(gauges.moving.clone()));
        gauges
    }

    /// Reads the state of the node.
    pub fn update(&self, node: &node::Node) {
        self.revision.set(signed(node.config.revision().0));
        self.members.set(signed(node.members.count()));
        for record in node.records.all() {
            let id = record.id.to_string();
            let count = |gauge: &IntGaugeVec, n: usize| {
                gauge.with_label_values(&[&id]).set(signed(n));
            };
            let slices = || record.slices.iter();
            count(
                &self.unowned,
                slices().filter(|s| s.owner.is_none()).count(),
            );
            count(
                &self.moving,
                slices().filter(|s| s.target.is_some()).count(),
            );
            // Set to 0 here, so that a partition whose lease has ended is not left at its last value.
            count(&self.leased, 0);
        }
        for (record, _) in node.grants.live() {
            let owned = record.slices.iter().filter(|s| s.owner == Some(node.me));
            let id = record.id.to_string();
            let gauge = self.leased.with_label_values(&[&id]);
            gauge.set(signed(owned.count()));
        }
    }
}

fn single(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("the metric's name is valid")
}

fn by_partition(name: &str, help: &str) -> IntGaugeVec {
    IntGaugeVec::new(Opts::new(name, help), &["partition"])
        .expect("the metric's name and label are valid")
}

fn signed<T: TryInto<i64>>(n: T) -> i64 {
    n.try_into().unwrap_or(i64::MAX)
}
