//! Configuration documents of the two users of the test meshes.

use serde_json::{Value, json};

/// User with its services and failure domains, which come from the design page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum User {
    /// Shared Lantern Tours Consortium.
    Consortium,
    /// Thrissur Municipal Water and Ward Services.
    Thrissur,
}

/// Service of a user.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    /// Name.
    pub name: &'static str,
    /// Number of backend servers.
    pub instances: usize,
    /// Whether its requests are routed by key.
    pub keyed: bool,
}

impl User {
    /// Returns the region.
    pub fn region(self) -> &'static str {
        match self {
            Self::Consortium => "ie-east",
            Self::Thrissur => "kerala-central",
        }
    }

    /// Returns the failure domains.
    pub fn domains(self) -> &'static [&'static str] {
        match self {
            Self::Consortium => &["ie-east-a", "ie-east-b", "ie-east-c"],
            Self::Thrissur => &["thrissur-a", "thrissur-b", "kochi-a", "kochi-b"],
        }
    }

    /// Returns the services with their present sizes.
    pub fn services(self) -> Vec<Service> {
        let service = |name, instances, keyed| Service {
            name,
            instances,
            keyed,
        };
        match self {
            Self::Consortium => vec![
                service("walk-listings", 4, true),
                service("box-office", 3, false),
                service("guide-desk", 3, false),
            ],
            Self::Thrissur => vec![
                service("dues-portal", 5, true),
                service("receipt-desk", 4, false),
                service("notice-office", 4, false),
            ],
        }
    }

    /// Builds the document. Tests submit changed versions of it by a different `queue`, the number of
    /// requests that each service may queue.
    pub fn document(
        self,
        services: &[Service],
        queue: u64,
        hold_ms: u64,
        drain: &[String],
    ) -> Value {
        let services: Vec<_> = services.iter().map(|s| self.service(s, queue)).collect();
        json!({
            "hold_ms": hold_ms,
            "drain": drain,
            "classes": [{ "name": "resident", "priority": 0 }, { "name": "batch", "priority": 9 }],
            "services": services,
        })
    }

    fn service(self, service: &Service, queue: u64) -> Value {
        let (imbalance, churn, unavailable) = match self {
            Self::Consortium => (10, 1, 3),
            Self::Thrissur => (1, 10, 10),
        };
        let mut value = json!({
            "name": service.name,
            "slices": 16,
            "weights": { "imbalance": imbalance, "churn": churn, "unavailable_time": unavailable },
            "churn_budget_percent": 10,
            "queue_requests": queue,
            "retry_budget_percent": 10,
            "objective": { "availability_percent": 99.9, "latency_ms": 9, "window_hours": 24 },
            "routes": [
                { "method": "GET", "prefix": "/", "idempotent": true, "deadline_ms": 5000 },
                { "prefix": "/", "idempotent": false, "deadline_ms": 5000 },
            ],
        });
        if service.keyed {
            value["key"] = json!({ "segment": 0 });
        }
        value
    }
}
