//! Gauges of a node's state, updated when the metrics are scraped.

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
    /// Creates the gauges and registers them with the node's metrics.
    ///
    /// # Panics
    ///
    /// Panics if the node's metrics already contain gauges with these names.
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

    /// Sets the gauges from the state of the node.
    pub fn update(&self, node: &node::Node) {
        self.revision.set(to_i64(node.config.revision().0));
        self.members.set(to_i64(node.members.count()));
        for record in node.records.all() {
            let id = record.id.to_string();
            let set = |gauge: &IntGaugeVec, n: usize| {
                gauge.with_label_values(&[&id]).set(to_i64(n));
            };
            let slices = || record.slices.iter();
            set(
                &self.unowned,
                slices().filter(|s| s.owner.is_none()).count(),
            );
            set(
                &self.moving,
                slices().filter(|s| s.target.is_some()).count(),
            );
            // Reset first, so that a partition whose lease has expired does not keep its last value.
            set(&self.leased, 0);
        }
        for (record, _) in node.grants.live() {
            let owned = record.slices.iter().filter(|s| s.owner == Some(node.me));
            let id = record.id.to_string();
            let gauge = self.leased.with_label_values(&[&id]);
            gauge.set(to_i64(owned.count()));
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

fn to_i64<T: TryInto<i64>>(n: T) -> i64 {
    n.try_into().unwrap_or(i64::MAX)
}
