//! Questions to other nodes for state that they have reported and this node has not.
//!
//! One question is open at a time for each kind of state: an answer can take a slow link's whole
//! bandwidth for a while, and a second copy would only delay the first. The node asked is drawn, so
//! that those which know something first don't have to tell it to the whole fleet.

use std::time::Duration;

use crate::state::clock::Instant;

/// Time for the first answer, after which another node is asked; doubles with each question.
const FIRST_WAIT: Duration = Duration::from_millis(700);

/// Longest time for an answer.
const LONGEST_WAIT: Duration = Duration::from_millis(2800);

/// Questions in vain after which the store is read.
const IN_VAIN: u32 = 2;

/// Node that has reported newer state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Source<'a> {
    /// Address.
    pub node: &'a str,
    /// Whether it is in this node's failure domain.
    pub same_domain: bool,
}

/// What to do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action<'a> {
    /// Nothing is missing, or an answer is awaited.
    Wait,
    /// Ask this node.
    Request(&'a str),
    /// Other nodes don't answer: read the store.
    ReadStore,
}

/// Questions for one kind of state.
#[derive(Debug)]
pub struct CatchUp {
    spread: Duration,
    due: Option<Instant>,
    asked: Option<Asked>,
    vain: u32,
}

/// Question that is open.
#[derive(Debug)]
struct Asked {
    node: String,
    at: Instant,
    /// What was known then.
    known: u64,
}

impl CatchUp {
    /// Creates a node that misses nothing; its first question waits for up to `spread`, while
    /// others learn the state and can answer too.
    #[must_use]
    pub fn new(spread: Duration) -> Self {
        Self {
            spread,
            due: None,
            asked: None,
            vain: 0,
        }
    }

    /// Returns what to do, `known` being the newest revision or version here, `sources` the connected
    /// nodes with a newer one and `luck`, from 0 to 1, the draw among them.
    pub fn next_action<'a>(
        &mut self,
        known: u64,
        sources: &[Source<'a>],
        now: Instant,
        luck: f64,
    ) -> Action<'a> {
        if sources.is_empty() {
            *self = Self::new(self.spread);
            return Action::Wait;
        }
        if self.asked.as_ref().is_some_and(|a| a.known < known) {
            // Answered; what the sources have now is newer still.
            self.asked = None;
            self.vain = 0;
        }
        let due = *self.due.get_or_insert(now + self.spread.mul_f64(luck));
        if now < due {
            return Action::Wait;
        }
        let last = match &self.asked {
            Some(Asked { node, at, .. }) => {
                let connected = sources.iter().any(|s| s.node == node);
                let wait = FIRST_WAIT * (1 << self.vain.min(2));
                if connected && now.since(*at) < wait.min(LONGEST_WAIT) {
                    return Action::Wait;
                }
                self.vain += 1;
                self.asked.take().map(|a| a.node)
            }
            None => None,
        };
        if last.is_some() && self.vain.is_multiple_of(IN_VAIN) {
            return Action::ReadStore;
        }
        let other = |s: &&Source<'_>| Some(s.node) != last.as_deref() || sources.len() == 1;
        let mut open: Vec<_> = sources.iter().filter(other).collect();
        if open.iter().any(|s| s.same_domain) {
            open.retain(|s| s.same_domain);
        }
        let place = luck * open.len() as f64;
        let drawn = (1..open.len()).filter(|&i| place >= i as f64).count();
        let source = open[drawn];
        self.asked = Some(Asked {
            node: source.node.to_owned(),
            at: now,
            known,
        });
        Action::Request(source.node)
    }
}
