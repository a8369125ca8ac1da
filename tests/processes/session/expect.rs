//! Conditions that scenarios wait for.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use datadriven::TestCase;

use crate::load::{Calls, Entries};
use crate::session::Session;
use crate::target;
use filbertflow_harness::caller::{Outcome, Request};
use filbertflow_harness::wait_until;

/// Deadline of one try while a key is awaited; short, so that the next try starts soon.
const TRY_DEADLINE: Duration = Duration::from_millis(300);

impl Session {
    /// Waits for a condition `within=MS` of the last fault.
    pub(super) fn expect(&mut self, case: &mut TestCase) -> String {
        let within: u64 = case.take_arg("within").unwrap();
        let end = self.fault_at + Duration::from_millis(within);
        let limit = end.saturating_duration_since(Instant::now());
        if case.take_flag("served").unwrap() {
            return self.expect_served(case, end);
        }
        if let Some(revision) = case.try_take_arg::<u64>("revision").unwrap() {
            return self.expect_revision(revision, limit);
        }
        if let Some(service) = case.try_take_arg::<String>("leased").unwrap() {
            return self.expect_leased(&service, limit);
        }
        if case.take_flag("kept").unwrap() {
            return self.expect_kept(case);
        }
        if case.take_flag("moved").unwrap() {
            return self.expect_moved(case, limit);
        }
        let hosts = target::hosts(case, self.running(), &self.marks);
        let mesh = self.running_mut();
        let stopped = wait_until(limit, || hosts.iter().all(|i| mesh.has_stopped(*i)));
        verdict(stopped, "stopped")
    }

    /// Each of `keys=N` keys, or the service without keys, is served: `service=`, `method=`.
    fn expect_served(&mut self, case: &mut TestCase, end: Instant) -> String {
        let service: String = case.take_arg("service").unwrap();
        let keys: usize = case.try_take_arg("keys").unwrap().unwrap_or(0);
        let method: Option<String> = case.try_take_arg("method").unwrap();
        let method = method.unwrap_or_else(|| "GET".to_owned());
        self.update_entries();
        let names: Vec<_> = match keys {
            0 => vec![String::new()],
            n => (0..n).map(|k| format!("walk-{k}")).collect(),
        };
        let threads: Vec<_> = names
            .into_iter()
            .enumerate()
            .map(|(n, key)| {
                let (service, method) = (service.clone(), method.clone());
                let entries = Arc::clone(&self.entries);
                let calls = Arc::clone(&self.calls);
                thread::spawn(move || await_key(n, &service, &key, &method, &entries, &calls, end))
            })
            .collect();
        let late: Vec<_> = threads
            .into_iter()
            .filter_map(|t| t.join().unwrap())
            .collect();
        eprintln!("{}: served after {:?}", self.name, self.fault_at.elapsed());
        if late.is_empty() {
            "served in time\n".to_owned()
        } else {
            format!("not served in time: {late:?}\n")
        }
    }

    fn expect_revision(&self, revision: u64, limit: Duration) -> String {
        let mesh = self.running();
        let live = mesh.live_hosts().len();
        let in_force = wait_until(limit, || {
            let statuses = mesh.statuses();
            statuses.len() == live && statuses.iter().all(|s| s.revision.0 == revision)
        });
        verdict(in_force, "in force on all nodes")
    }

    fn expect_leased(&self, service: &str, limit: Duration) -> String {
        let mesh = self.running();
        let complete = wait_until(limit, || {
            let known = mesh.partition(service);
            known.is_some_and(|p| p.unowned == 0 && p.slices == mesh.leased_slices(service))
        });
        verdict(complete, "all slices are leased")
    }

    /// The remembered keys of hosts that live have the same owners as before.
    fn expect_kept(&self, case: &mut TestCase) -> String {
        let service: String = case.take_arg("of").unwrap();
        let mesh = self.running();
        let live = mesh.live_hosts();
        let moved: Vec<_> = self
            .owners
            .iter()
            .filter(|(_, owner)| owner.is_some_and(|i| live.contains(&i)))
            .filter(|(key, owner)| mesh.owner(&service, key) != **owner)
            .map(|(key, _)| key)
            .collect();
        if moved.is_empty() {
            return "keys of living owners have not moved\n".to_owned();
        }
        format!("moved: {moved:?}\n")
    }

    /// `key=` of `of=SERVICE` is owned by none of the marked hosts.
    fn expect_moved(&self, case: &mut TestCase, limit: Duration) -> String {
        let key: String = case.take_arg("key").unwrap();
        let service: String = case.take_arg("of").unwrap();
        let mesh = self.running();
        let hosts = target::hosts(case, mesh, &self.marks);
        let moved = wait_until(limit, || {
            let owner = mesh.owner(&service, &key);
            owner.is_some_and(|i| !hosts.contains(&i))
        });
        verdict(moved, "moved")
    }
}

fn await_key(
    n: usize,
    service: &str,
    key: &str,
    method: &str,
    entries: &Entries,
    calls: &Calls,
    end: Instant,
) -> Option<String> {
    let mut last = String::new();
    for turn in n.. {
        if Instant::now() >= end {
            break;
        }
        let entry = {
            let entries = entries.lock().unwrap();
            entries[turn % entries.len()]
        };
        let call = Request::new(service, key, method, TRY_DEADLINE).send(entry);
        let outcome = call.outcome.clone();
        calls.lock().unwrap().push(call);
        if outcome == Outcome::Answered(200) && Instant::now() <= end {
            return None;
        }
        last = outcome.to_string();
        thread::sleep(Duration::from_millis(10));
    }
    Some(format!("{key}: {last}"))
}

fn verdict(holds: bool, what: &str) -> String {
    if holds {
        format!("{what}\n")
    } else {
        format!("not in time: {what}\n")
    }
}
