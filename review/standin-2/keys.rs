//! Keys that an instance holds, as the pages describe it.

use std::time::Instant;

/// Range of keys with its fencing token.
#[derive(Debug, Clone, Copy)]
struct Held {
    from: u64,
    to: u64,
    token: u64,
    expires: Instant,
    /// Whether the node has left it out, while a request still runs on it.
    revoked: bool,
}

/// Keys of one life of an instance.
#[derive(Debug, Default)]
pub struct Keys {
    held: Vec<Held>,
    /// Keys at work.
    running: Vec<u64>,
    released: Vec<(u64, u64, String)>,
    proofs: u64,
}

impl Keys {
    fn expire(&mut self) {
        let now = Instant::now();
        self.held.retain(|h| h.expires > now);
    }

    /// Begins a request; returns whether the key is held.
    pub fn begin(&mut self, key: u64) -> bool {
        self.expire();
        let holds = self.held.iter().any(|h| !h.revoked && h.from <= key && key <= h.to);
        if holds {
            self.running.push(key);
        }
        holds
    }

    /// Ends a request.
    pub fn end(&mut self, key: u64) {
        if let Some(i) = self.running.iter().position(|k| *k == key) {
            self.running.swap_remove(i);
        }
    }

    fn release_idle(&mut self) {
        let running = std::mem::take(&mut self.running);
        let busy = |h: &Held| running.iter().any(|k| h.from <= *k && *k <= h.to);
        for h in self.held.iter().filter(|h| h.revoked && !busy(h)) {
            self.proofs += 1;
            self.released.push((h.from, h.to, format!("{:016x}", self.proofs)));
        }
        self.held.retain(|h| !h.revoked || busy(h));
        self.running = running;
    }

    /// Returns the rows of a heartbeat, `holds` and `released`, and the number of the latter.
    pub fn rows(&mut self) -> (String, String, usize) {
        self.expire();
        self.release_idle();
        let holds = self.held.iter().map(|h| format!("[{},{},{}]", h.from, h.to, h.token));
        let released = self.released.iter().map(|(f, t, p)| format!("[{f},{t},\"{p}\"]"));
        (
            holds.collect::<Vec<_>>().join(","),
            released.collect::<Vec<_>>().join(","),
            self.released.len(),
        )
    }

    /// Takes in the reply to a heartbeat that reported `released` rows: what the instance is to hold.
    /// Returns whether the next heartbeat is due soon.
    pub fn apply(&mut self, rows: &[(u64, u64, u64)], expires: Instant, released: usize) -> bool {
        self.released.drain(..released);
        let mut left = Vec::new();
        for old in &self.held {
            let mut parts = vec![(old.from, old.to)];
            for (from, to, _) in rows {
                parts = parts
                    .into_iter()
                    .flat_map(|(f, t)| {
                        let before = (f < *from).then(|| (f, t.min(from.saturating_sub(1))));
                        let after = (t > *to).then(|| (f.max(to + 1), t));
                        let apart = *to < f || t < *from;
                        if apart { vec![(f, t)] } else { before.into_iter().chain(after).collect() }
                    })
                    .collect();
            }
            left.extend(parts.into_iter().map(|(from, to)| Held { from, to, revoked: true, ..*old }));
        }
        let granted = rows.iter().map(|&(from, to, token)| Held { from, to, token, expires, revoked: false });
        self.held = granted.chain(left).collect();
        self.release_idle();
        self.held.iter().any(|h| h.revoked) || !self.released.is_empty()
    }
}
