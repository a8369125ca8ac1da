//! Tests of the active document of a node and of the choice of watchers.

use std::time::Duration;

use filbertflow::coordination::config;
use filbertflow::protocol::{peer, source};
use filbertflow::state::{document, ids};

fn text(hold: u64) -> String {
    source::render_document(&document::Document {
        cancel_window: Duration::from_millis(1000 + hold),
        drain: Vec::new(),
        classes: vec![document::Class {
            name: "tourist".to_owned(),
            priority: 0,
        }],
        services: vec![document::Service {
            name: "box-office".to_owned(),
            key: None,
            slices: 1,
            weights: document::Weights {
                imbalance: 1.0,
                churn: 1.0,
                unavailable: 1.0,
            },
            churn_budget: 1.0,
            queue: 1,
            retry_percent: 1,
            objective: document::Objective {
                availability: 99.0,
                latency: Duration::from_millis(1),
                window: Duration::from_hours(1),
            },
            routes: vec![document::Route {
                method: None,
                prefix: "/".to_owned(),
                idempotent: true,
                deadline: Duration::from_millis(1),
            }],
        }],
    })
}

fn member(port: u16, domain: &str) -> peer::Member {
    peer::Member {
        node: ids::NodeRef {
            addr: ids::NodeAddr(([127, 0, 0, 1], port).into()),
            incarnation: ids::Incarnation(u64::from(port)),
        },
        version: 1,
        region: "ie-east".to_owned(),
        domain: domain.to_owned(),
        caller: String::new(),
        admin: String::new(),
        service: None,
        backend: peer::BackendState {
            up: true,
            draining: false,
            checks: true,
            slots: 20,
        },
        left: false,
        document: ids::DocRevision(0),
    }
}

quickcheck::quickcheck! {
    /// Guards against a late push that reactivates an older document.
    fn node_never_moves_to_a_lower_revision(offers: Vec<u8>) -> bool {
        let config = config::Config::default();
        let mut highest = 0;
        offers.into_iter().map(u64::from).all(|revision| {
            let accepted = config.offer(ids::DocRevision(revision), &text(revision)).unwrap();
            let newer = revision > highest;
            highest = highest.max(revision);
            let current = config.current();
            let consistent = current.is_none_or(|c| {
                c.revision.0 == highest && c.document.cancel_window.as_millis() == u128::from(1000 + highest)
            });
            accepted == newer && consistent && config.revision().0 == highest
        })
    }

    /// Guards against a failure domain without watchers and against every node watching.
    fn two_nodes_of_each_domain_watch(domains: Vec<u8>) -> bool {
        let members: Vec<_> = domains
            .iter()
            .zip(1..)
            .map(|(d, port)| member(port, &format!("d{}", d % 4)))
            .collect();
        members.iter().all(|m| {
            let domain = members.iter().filter(|o| o.domain == m.domain);
            let (size, watching) = domain.fold((0, 0), |(size, watching), o| {
                let watches = config::is_watcher(o.node, &o.domain, &members);
                (size + 1, watching + usize::from(watches))
            });
            watching == size.min(2)
        })
    }
}

/// Guards against an invalid document that replaces the active one.
#[test]
fn invalid_document_is_not_taken() {
    let config = config::Config::default();
    assert!(config.offer(ids::DocRevision(1), &text(1)).unwrap());
    assert!(config.offer(ids::DocRevision(2), "{}").is_err());
    assert_eq!(config.revision(), ids::DocRevision(1));
    assert!(config.offer(ids::DocRevision(3), &text(3)).unwrap());
}
