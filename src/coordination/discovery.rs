//! Registration of this node in the platform's service, and the peers that it lists there.
//!
//! A node registers before it lists, so that of two nodes which start at the same time at least
//! one finds the other. Both steps are repeated until the service answers; meanwhile the peers of
//! the settings are used.

use std::sync::Arc;
use std::time;

use crate::coordination::{error, node};
use crate::protocol::{error as protocol, member};
use crate::state::ids;
use crate::transport::platform;

/// First pause after a failed call.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Longest pause; 16,000 nodes that wait for the service make at most 1,600 calls per second.
const LONGEST_PAUSE: time::Duration = time::Duration::from_secs(10);

/// Compare-and-swaps in one attempt: one that expects no entry, one that replaces that of an earlier
/// start.
const MAX_SWAPS: usize = 2;

/// Registers this node and finds its first peers.
pub async fn run(node: Arc<node::Node>) {
    let mut pause = FIRST_PAUSE;
    while let Err(e) = register(&node).await {
        tracing::info!(event = 351, error = %e, "can't register yet");
        pause = wait(pause).await;
    }
    pause = FIRST_PAUSE;
    while let Err(e) = list(&node).await {
        tracing::info!(event = 352, error = %e, "can't list peers yet");
        pause = wait(pause).await;
    }
}

async fn wait(pause: time::Duration) -> time::Duration {
    let spread = rand::random_range(0.5..1.0);
    tokio::time::sleep(pause.mul_f64(spread)).await;
    (pause * 2).min(LONGEST_PAUSE)
}

/// Writes this node's entry, unless a newer incarnation has.
async fn register(node: &node::Node) -> Result<(), error::Error> {
    let entry = registration(node);
    let value = serde_json::to_string(&entry).map_err(protocol::Error::from)?;
    let key = entry.key();
    let mut expect = ids::ModRevision(0);
    for _ in 0..MAX_SWAPS {
        let swap = node
            .platform
            .compare_and_swap(&key, value.clone(), expect)
            .await?;
        let known = match swap {
            platform::SwapResult::Done(_) => return Ok(()),
            platform::SwapResult::Conflict(known) => known,
        };
        let written = known
            .as_ref()
            .and_then(|k| serde_json::from_str::<member::Registration>(&k.value).ok());
        // An equal incarnation shows that an earlier write without an answer took effect.
        if written.is_some_and(|w| w.incarnation >= entry.incarnation) {
            return Ok(());
        }
        expect = known.map_or(ids::ModRevision(0), |k| k.revision);
    }
    Err(error::Error::Conflict)
}

fn registration(node: &node::Node) -> member::Registration {
    let settings = &node.settings;
    member::Registration {
        peer: node.me.addr,
        caller: settings.caller,
        admin: settings.admin,
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        incarnation: node.me.incarnation,
    }
}

async fn list(node: &node::Node) -> Result<(), error::Error> {
    let listing = node.platform.list(member::PREFIX).await?;
    let addrs = listing.entries.iter().filter_map(|entry| {
        let addr = entry.key.strip_prefix(member::PREFIX)?;
        addr.parse().ok()
    });
    node.members.add_seeds(addrs);
    Ok(())
}
