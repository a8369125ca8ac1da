//! Scenarios: `tests/scenarios/NAME` holds the commands and the expected output.

use std::collections::BTreeSet;
use std::fs;

use crate::session::Session;

const DIRECTORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");

fn run(name: &str) {
    let mut session = Session::new(name);
    datadriven::walk(&format!("{DIRECTORY}/{name}"), |file| {
        file.run(|case| -> String { session.run(case) });
    });
}

/// Makes one test for each scenario; the text says which failure it guards against.
macro_rules! scenarios {
    ($($(#[doc = $guards:literal])+ $name:ident,)+) => {
        const NAMES: &[&str] = &[$(stringify!($name)),+];

        $(
            $(#[doc = $guards])+
            #[test]
            fn $name() {
                run(stringify!($name));
            }
        )+
    };
}

scenarios! {
    /// Guards against a mesh that never serves, or that answers with another request's body.
    steady,

    /// Guards against keys that stay without an owner after their host is lost.
    owner_killed,

    /// Guards against a backend server that keeps serving keys of which its node has lost the
    /// lease.
    owner_node_killed,

    /// Guards against a node that holds on to keys whose backend server is gone.
    server_killed,

    /// Guards against a frozen backend server that resumes and works on keys that have moved.
    server_frozen,

    /// Guards against an owner that resumes after a pause and serves keys that have moved.
    owner_frozen,

    /// Guards against a node that resumes after a pause and treats its lease as fresh.
    owner_node_frozen,

    /// Guards against two owners when the backend server checks no tokens.
    unchecked_owner_frozen,

    /// Guards against leases that end because nobody succeeds the coordinator.
    coordinator_killed,

    /// Guards against a resumed coordinator that grants beside its successor.
    coordinator_frozen,

    /// Guards against a coordinator that stops granting when one standby is lost.
    standby_killed,

    /// Guards against a replaced standby that is named in the record but can't succeed.
    standby_then_coordinator,

    /// Guards against keys that nobody reassigns because their coordinator is lost as well.
    owner_and_coordinator,

    /// Guards against a successor that waits longer than the bound, or not long enough.
    owner_and_coordinator_frozen,

    /// Guards against a partition that stays without a coordinator for good.
    coordinator_and_standbys,

    /// Guards against roles and keys that are all in one failure domain.
    domain_lost,

    /// Guards against leases that depend on the platform's service.
    platform_down,

    /// Guards against tasks that wait for the platform's service and stop renewing leases.
    platform_silent,

    /// Guards against a reassignment that a slow platform's service delays beyond the bound.
    platform_slow_owner_killed,

    /// Guards against keys of living owners that are lost with one owner in an outage.
    platform_down_owner_killed,

    /// Guards against a standby that gives up its claim in an outage.
    platform_down_coordinator_killed,

    /// Guards against keys that stay with incarnations that have all ended.
    all_restarted,

    /// Guards against a lost answer of the store that is taken for a failed write.
    platform_loses_answers,

    /// Guards against an owner that serves without contact to its coordinator.
    owner_cut_off,

    /// Guards against two owners when the backend server checks no tokens and nothing reaches its
    /// node.
    unchecked_owner_cut_off,

    /// Guards against an owner that counts its lease from answers and not from its requests.
    cut_from_owner,

    /// Guards against an owner that takes renewals that were delayed by a network failure.
    cut_to_owner,

    /// Guards against a coordinator that grants without promises while a standby succeeds it.
    coordinator_cut_off,

    /// Guards against a coordinator that stops granting as soon as the store is out of reach.
    coordinator_cut_from_platform,

    /// Guards against requests that wait for connections that went silent.
    connections_silent,

    /// Guards against a purchase that is lost or repeated when its connection goes silent.
    silent_purchase,

    /// Guards against a repeated purchase that runs again.
    purchase_repeated,

    /// Guards against a purchase that runs on the next owner although the first may have run it.
    purchase_owner_killed,

    /// Guards against a late answer that reaches another caller, or a caller that waits beyond its
    /// deadline.
    answer_late,

    /// Guards against another request's answer that is passed on.
    answer_of_another,

    /// Guards against a partial answer that is passed on as complete.
    answer_truncated,

    /// Guards against new work for a backend server that is leaving.
    server_drains,

    /// Guards against requests that a drain interrupts.
    node_drained,

    /// Guards against requests that a shutdown interrupts.
    node_terminated,

    /// Guards against a document that some nodes never learn of, or a second one on an outdated
    /// base.
    document_submitted,

    /// Guards against a submission that is reported as failed although it took effect.
    submission_answer_lost,

    /// Guards against two operators who both believe that their document is in force.
    operators_race,

    /// Guards against a document that reverts on a node that starts in an outage.
    document_during_outage,

    /// Guards against servers that are taken out of service because of what their endpoints claim.
    health_misleads,

    /// Guards against a mesh with several services that loses a failure domain.
    thrissur_domain_lost,
}

/// Guards against a scenario file that no test runs.
#[test]
fn every_file_is_run() {
    let files: BTreeSet<_> = fs::read_dir(DIRECTORY)
        .unwrap()
        .map(|f| f.unwrap().file_name().into_string().unwrap())
        .collect();
    let names: BTreeSet<_> = NAMES.iter().map(|n| (*n).to_owned()).collect();
    assert_eq!(files, names);
}
