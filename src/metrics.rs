//! Prometheus metrics of a node.

use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency histogram, in seconds. 9 ms is the target for the 99th percentile.
const LATENCY_BUCKETS_S: [f64; 14] = [
    0.001, 0.002, 0.004, 0.006, 0.009, 0.015, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0,
];

/// Metrics of a node.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests received by this entry node, by service, class, outcome and reason.
    pub requests: IntCounterVec,
    /// Request latency at the entry node, in seconds, by service, class and outcome.
    pub latency: HistogramVec,
    /// Traffic with peers, by direction.
    pub peer_traffic: IntCounterVec,
    /// Dropped or refused requests, responses and messages, by place and reason.
    pub dropped: IntCounterVec,
    /// Calls to the platform's store, by kind and outcome.
    pub store_calls: IntCounterVec,
    /// Requests sent to the local backend server, by service.
    pub backend_requests: IntCounterVec,
    /// Limit named by the local backend server, in requests per second, by service; absent without
    /// a limit.
    pub backend_limit: GaugeVec,
    /// Whether the local backend server is cold: 1 if it is or isn't known to be warm, else 0, by service;
    /// absent if the deployment sets no limit for cold backend servers.
    pub backend_cold: GaugeVec,
    /// Health checks of the local backend server, by outcome.
    pub health_checks: IntCounterVec,
    /// 1 for each failure domain that this node knows to be evacuated; absent for others.
    pub evacuated_domains: GaugeVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let requests = IntCounterVec::new(
            Opts::new("filbertflow_requests_total", "Requests by final outcome"),
            &["service", "class", "outcome", "reason"],
        )
        .expect("the metric's name and labels are valid");
        let latency = HistogramVec::new(
            HistogramOpts::new("filbertflow_request_seconds", "Time from arrival to answer")
                .buckets(LATENCY_BUCKETS_S.to_vec()),
            &["service", "class", "outcome"],
        )
        .expect("the metric's name and labels are valid");
        let dropped = IntCounterVec::new(
            Opts::new("filbertflow_dropped_total", "Messages dropped or refused"),
            &["place", "reason"],
        )
        .expect("the metric's name and labels are valid");
        let traffic = IntCounterVec::new(
            Opts::new("filbertflow_peer_traffic_total", "Traffic with peers"),
            &["direction"],
        )
        .expect("the metric's name and labels are valid");
        let store_calls = IntCounterVec::new(
            Opts::new("filbertflow_store_calls_total", "Calls to the store"),
            &["kind", "outcome"],
        )
        .expect("the metric's name and labels are valid");
        let backend_requests = IntCounterVec::new(
            Opts::new(
                "filbertflow_backend_requests_total",
                "Requests sent to the local backend server",
            ),
            &["service"],
        )
        .expect("the metric's name and labels are valid");
        let backend_limit = GaugeVec::new(
            Opts::new(
                "filbertflow_backend_limit",
                "Requests per second that the local backend server takes",
            ),
            &["service"],
        )
        .expect("the metric's name and labels are valid");
        let backend_cold = GaugeVec::new(
            Opts::new(
                "filbertflow_backend_cold",
                "Whether the local backend server is cold",
            ),
            &["service"],
        )
        .expect("the metric's name and labels are valid");
        let health_checks = IntCounterVec::new(
            Opts::new(
                "filbertflow_health_checks_total",
                "Health checks of the local backend server",
            ),
            &["outcome"],
        )
        .expect("the metric's name and labels are valid");
        let evacuated_domains = GaugeVec::new(
            Opts::new(
                "filbertflow_evacuated_domains",
                "Failure domains that the operator has evacuated",
            ),
            &["domain"],
        )
        .expect("the metric's name and labels are valid");
        let metrics = Self {
            registry: Registry::new(),
            requests,
            latency,
            peer_traffic: traffic,
            dropped,
            store_calls,
            backend_requests,
            backend_limit,
            backend_cold,
            health_checks,
            evacuated_domains,
        };
        metrics.register(Box::new(metrics.requests.clone()));
        metrics.register(Box::new(metrics.latency.clone()));
        metrics.register(Box::new(metrics.peer_traffic.clone()));
        metrics.register(Box::new(metrics.dropped.clone()));
        metrics.register(Box::new(metrics.store_calls.clone()));
        metrics.register(Box::new(metrics.backend_requests.clone()));
        metrics.register(Box::new(metrics.backend_limit.clone()));
        metrics.register(Box::new(metrics.backend_cold.clone()));
        metrics.register(Box::new(metrics.health_checks.clone()));
        metrics.register(Box::new(metrics.evacuated_domains.clone()));
        metrics
    }
}

impl Metrics {
    /// Adds a collector to the registry.
    ///
    /// # Panics
    ///
    /// Panics if a collector with the same name is registered already.
    pub fn register(&self, collector: Box<dyn prometheus::core::Collector>) {
        self.registry
            .register(collector)
            .expect("each metric is registered once");
    }

    /// Encodes all metrics in the Prometheus text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut buffer = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        if let Err(e) = encoded {
            tracing::error!(event = 206, error = %e, "failed to encode metrics");
        }
        String::from_utf8_lossy(&buffer).into_owned()
    }
}
