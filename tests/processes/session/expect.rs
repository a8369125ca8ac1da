//! The command `expect`: conditions that scenarios wait for.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use datadriven::TestCase;

use crate::host_selector;
use crate::load::{CallerAddrs, Calls};
use crate::session::Session;
use filbertflow_harness::caller::{Outcome, Request};
use filbertflow_harness::wait_until;

/// Deadline of one request while a key is polled; short, so that the next attempt starts soon.
const ATTEMPT_DEADLINE: Duration = Duration::from_millis(300);

impl Session {
    /// Waits until a condition holds, at most `within=MS` after the last fault.
    pub(super) fn expect(&mut self, case: &mut TestCase) -> String {
        let within: u64 = case.take_arg("within").unwrap();
        let end = self.last_fault + Duration::from_millis(within);
        let timeout = end.saturating_duration_since(Instant::now());
        if case.take_flag("served").unwrap() {
            return self.expect_served(case, end);
        }
        if let Some(revision) = case.try_take_arg::<u64>("revision").unwrap() {
            return self.expect_revision(revision, timeout);
        }
        if let Some(service) = case.try_take_arg::<String>("leased").unwrap() {
            return self.expect_leased(&service, timeout);
        }
        if case.take_flag("kept").unwrap() {
            return self.expect_kept(case);
        }
        if case.take_flag("moved").unwrap() {
            return self.expect_moved(case, timeout);
        }
        let hosts = host_selector::take_hosts(case, self.mesh(), &self.marks);
        let mesh = self.mesh_mut();
        let stopped = wait_until(timeout, || hosts.iter().all(|i| mesh.has_stopped(*i)));
        condition_output(stopped, "stopped")
    }

    /// `served`: each of `keys=N` keys, or the service without keys, is served. Takes `service=`
    /// and `method=`.
    fn expect_served(&mut self, case: &mut TestCase, end: Instant) -> String {
        let service: String = case.take_arg("service").unwrap();
        let keys: usize = case.try_take_arg("keys").unwrap().unwrap_or(0);
        let method: Option<String> = case.try_take_arg("method").unwrap();
        let method = method.unwrap_or_else(|| "GET".to_owned());
        self.update_addrs();
        let names: Vec<_> = match keys {
            0 => vec![String::new()],
            n => (0..n).map(|k| format!("walk-{k}")).collect(),
        };
        let threads: Vec<_> = names
            .into_iter()
            .enumerate()
            .map(|(n, key)| {
                let (service, method) = (service.clone(), method.clone());
                let addrs = Arc::clone(&self.addrs);
                let calls = Arc::clone(&self.calls);
                thread::spawn(move || poll_key(n, &service, &key, &method, &addrs, &calls, end))
            })
            .collect();
        let unserved: Vec<_> = threads
            .into_iter()
            .filter_map(|t| t.join().unwrap())
            .collect();
        eprintln!(
            "{}: served after {:?}",
            self.name,
            self.last_fault.elapsed()
        );
        if unserved.is_empty() {
            "served in time\n".to_owned()
        } else {
            format!("not served in time: {unserved:?}\n")
        }
    }

    /// `revision=N`: this document revision is in force on all live nodes.
    fn expect_revision(&self, revision: u64, timeout: Duration) -> String {
        let mesh = self.mesh();
        let live = mesh.live_hosts().len();
        let in_force = wait_until(timeout, || {
            let statuses = mesh.statuses();
            statuses.len() == live && statuses.iter().all(|s| s.revision.0 == revision)
        });
        condition_output(in_force, "in force on all nodes")
    }

    /// `leased=SERVICE`: all slices have owners that hold leases.
    fn expect_leased(&self, service: &str, timeout: Duration) -> String {
        let mesh = self.mesh();
        let all_leased = wait_until(timeout, || {
            let known = mesh.partition(service);
            known.is_some_and(|p| p.unowned == 0 && p.slices == mesh.leased_slices(service))
        });
        condition_output(all_leased, "all slices are leased")
    }

    /// `kept`: keys that `owners` has recorded still have their owner if its host lives. Takes
    /// `of=SERVICE`.
    fn expect_kept(&self, case: &mut TestCase) -> String {
        let service: String = case.take_arg("of").unwrap();
        let mesh = self.mesh();
        let live = mesh.live_hosts();
        let moved: Vec<_> = self
            .recorded_owners
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

    /// `moved`: the owner of `key=` in `of=SERVICE` is none of the given hosts.
    fn expect_moved(&self, case: &mut TestCase, timeout: Duration) -> String {
        let key: String = case.take_arg("key").unwrap();
        let service: String = case.take_arg("of").unwrap();
        let mesh = self.mesh();
        let hosts = host_selector::take_hosts(case, mesh, &self.marks);
        let moved = wait_until(timeout, || {
            let owner = mesh.owner(&service, &key);
            owner.is_some_and(|i| !hosts.contains(&i))
        });
        condition_output(moved, "moved")
    }
}

/// Sends requests for a key until one succeeds. Returns the last outcome if none does by `end`.
fn poll_key(
    n: usize,
    service: &str,
    key: &str,
    method: &str,
    addrs: &CallerAddrs,
    calls: &Calls,
    end: Instant,
) -> Option<String> {
    let mut last = String::new();
    for attempt in n.. {
        if Instant::now() >= end {
            break;
        }
        let addr = {
            let addrs = addrs.lock().unwrap();
            addrs[attempt % addrs.len()]
        };
        let call = Request::new(service, key, method, ATTEMPT_DEADLINE).send(addr);
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

fn condition_output(holds: bool, what: &str) -> String {
    if holds {
        format!("{what}\n")
    } else {
        format!("not in time: {what}\n")
    }
}
