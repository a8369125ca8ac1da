//! Watchers of the store, and the loss of all of them.
//!
//! The connected nodes of the lowest ranks watch the store, and the other nodes learn of its changes from
//! them. All of them may lose power at the moment of a change, and their connections stay open and silent
//! then. So a node that hears from none of them watches the store itself, well within the time in which a
//! configuration has to be in force: load reports are the usual sign, and pings ask for one in time. Such a
//! node doesn't act for others, since all of them are in the same position.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::coordination::sidecar::membership::MembershipView;
use crate::state::clock::Instant;
use crate::transport::sidecar::store::StoreClient;

/// Number of nodes that watch the store for all.
pub const WATCHERS: usize = 3;

/// Interval at which the watchers are checked for silence.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Silence of all watchers after which the nearest one is pinged.
const PING_ONE_AFTER: Duration = Duration::from_millis(400);

/// Silence of all watchers after which all of them are pinged.
const PING_ALL_AFTER: Duration = Duration::from_millis(600);

/// Silence of all watchers after which a node watches the store itself: half of the shortest time in which
/// a configuration has to be in force, 2 s on the known deployments.
const MAX_SILENCE: Duration = Duration::from_secs(1);

/// Time between two checks above which the process itself was held up, so that bytes of the watchers may
/// be waiting to be read.
const MAX_CHECK_GAP: Duration = Duration::from_millis(250);

/// What a node does about the silence of all watchers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// Relies on them.
    Rely,
    /// Pings the nearest one.
    PingNearest,
    /// Pings all of them.
    PingAll,
    /// Watches the store itself.
    Watch,
}

impl From<Duration> for Reaction {
    fn from(silence: Duration) -> Self {
        match silence {
            s if s < PING_ONE_AFTER => Self::Rely,
            s if s < PING_ALL_AFTER => Self::PingNearest,
            s if s < MAX_SILENCE => Self::PingAll,
            _ => Self::Watch,
        }
    }
}

/// View of one node on the watchers.
#[derive(Debug)]
pub struct Watchers {
    store: Rc<StoreClient>,
    membership: Rc<MembershipView>,
    /// Whether no watcher has been heard for too long.
    lost: Cell<bool>,
    checked_at: Cell<Instant>,
    /// Notified when this node begins to watch the store because no watcher is heard.
    pub taken_over: Notify,
}

impl Watchers {
    /// Creates a view in which watchers are heard.
    #[must_use]
    pub fn new(store: Rc<StoreClient>, membership: Rc<MembershipView>) -> Self {
        Self {
            store,
            membership,
            lost: Cell::new(false),
            checked_at: Cell::new(Instant::now()),
            taken_over: Notify::new(),
        }
    }

    /// Returns whether this node watches the store for all.
    #[must_use]
    pub fn includes_self(&self) -> bool {
        self.membership.rank(self.store.is_reachable()) < WATCHERS
    }

    /// Returns whether this node watches the store, for all or for itself.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.lost.get() || self.includes_self()
    }

    /// Checks for silence of the watchers; to be called every [`CHECK_INTERVAL`].
    pub fn check(&self, now: Instant) {
        let gap = now.since(self.checked_at.replace(now));
        if gap > MAX_CHECK_GAP {
            return;
        }
        let watchers = self
            .membership
            .preferred_links(self.store.is_reachable(), WATCHERS);
        let silence = watchers.iter().filter_map(|link| link.silence(now)).min();
        let reaction = match silence {
            Some(silence) if watchers.len() == WATCHERS => Reaction::from(silence),
            // Fewer others rank before this node, so it is one of them itself.
            _ => Reaction::Rely,
        };
        match reaction {
            Reaction::Rely => {}
            Reaction::PingNearest => watchers.iter().take(1).for_each(|link| link.ping(now)),
            Reaction::PingAll | Reaction::Watch => watchers.iter().for_each(|link| link.ping(now)),
        }
        let lost = reaction == Reaction::Watch;
        if self.lost.replace(lost) != lost {
            let silent_ms = silence.unwrap_or_default().as_millis();
            tracing::info!(
                event = 346,
                lost,
                silent_ms,
                watchers = watchers.len(),
                "the watchers of the store went silent or are heard again"
            );
            if lost {
                self.taken_over.notify_waiters();
            }
        }
    }
}
