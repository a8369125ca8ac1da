//! Scenario tests: `tests/scenarios/NAME` has the commands and their expected output.

use std::collections::BTreeSet;
use std::fs;

use crate::session::Session;

const SCENARIO_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");

fn run(name: &str) {
    let mut session = Session::new(name);
    datadriven::walk(&format!("{SCENARIO_DIR}/{name}"), |file| {
        file.run(|case| -> String { session.run(case) });
    });
}

/// Defines one test for each scenario; its doc comment names the failure that it guards against.
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
    /// Guards against a mesh that never serves requests, or that mixes up responses.
    steady,

    /// Guards against keys that stay without an owner after their host is lost.
    owner_killed,

    /// Guards against a backend server that keeps serving keys after its node has lost the lease.
    owner_node_killed,

    /// Guards against a node that keeps owning keys after its backend server has ended.
    server_killed,

    /// Guards against a suspended backend server that resumes and serves keys that have moved.
    server_frozen,

    /// Guards against a suspended owner that resumes and serves keys that have moved.
    owner_frozen,

    /// Guards against a suspended node that resumes and doesn't notice that its lease has expired.
    owner_node_frozen,

    /// Guards against two owners at once when the backend server checks no fencing tokens.
    unchecked_owner_frozen,

    /// Guards against leases that expire because no standby succeeds a killed coordinator.
    coordinator_killed,

    /// Guards against a resumed coordinator that issues grants although it has a successor.
    coordinator_frozen,

    /// Guards against a coordinator that stops issuing grants when one standby is lost.
    standby_killed,

    /// Guards against a replacement standby that is in the record but can't succeed the
    /// coordinator.
    standby_then_coordinator,

    /// Guards against keys that stay unassigned because owner and coordinator are lost together.
    owner_and_coordinator,

    /// Guards against a successor that reassigns keys too late, or before old leases have expired.
    owner_and_coordinator_frozen,

    /// Guards against a partition that stays without a coordinator after all its roles are lost.
    coordinator_and_standbys,

    /// Guards against the loss of a partition whose roles or keys are all in one failure domain.
    domain_lost,

    /// Guards against lease renewals that need the platform's key-value service.
    platform_down,

    /// Guards against lease renewals that block on a key-value service that doesn't respond.
    platform_silent,

    /// Guards against a reassignment that a slow key-value service delays beyond its time limit.
    platform_slow_owner_killed,

    /// Guards against keys of live owners that become unavailable when another owner is lost while
    /// the key-value service is down.
    platform_down_owner_killed,

    /// Guards against a standby that abandons its claim to succeed the coordinator while the
    /// key-value service is down.
    platform_down_coordinator_killed,

    /// Guards against keys that stay assigned to earlier incarnations after all hosts restart.
    all_restarted,

    /// Guards against treating a store write without a response as failed.
    platform_loses_answers,

    /// Guards against an owner that keeps serving after it has lost contact with its coordinator.
    owner_cut_off,

    /// Guards against two owners at once when the backend server checks no fencing tokens and its
    /// node is partitioned from the network.
    unchecked_owner_cut_off,

    /// Guards against an owner that counts its lease from the response instead of from its request.
    cut_from_owner,

    /// Guards against an owner that accepts renewals that a network failure has delayed.
    cut_to_owner,

    /// Guards against a coordinator that issues grants without promises from its standbys while one
    /// succeeds it.
    coordinator_cut_off,

    /// Guards against a coordinator that stops issuing grants when it can't reach the store.
    coordinator_cut_from_platform,

    /// Guards against requests that hang on connections that no longer deliver data.
    connections_silent,

    /// Guards against a write that is lost or runs twice when its connection stops delivering data.
    silent_purchase,

    /// Guards against a write that runs twice when its caller repeats it.
    purchase_repeated,

    /// Guards against a write that runs on the next owner although the killed one may have run it.
    purchase_owner_killed,

    /// Guards against a late response that reaches another caller, or a caller that waits beyond
    /// its deadline.
    answer_late,

    /// Guards against forwarding a response that belongs to another request.
    answer_of_another,

    /// Guards against forwarding a truncated response as complete.
    answer_truncated,

    /// Guards against new requests for a draining backend server.
    server_drains,

    /// Guards against requests that a drain interrupts.
    node_drained,

    /// Guards against requests that a shutdown interrupts.
    node_terminated,

    /// Guards against a document that doesn't reach all nodes, and against accepting one that is
    /// based on an outdated revision.
    document_submitted,

    /// Guards against a submission that is reported as failed although it took effect.
    submission_answer_lost,

    /// Guards against concurrent submissions on the same base that more than one operator sees
    /// succeed.
    operators_race,

    /// Guards against an older document on a node that starts while the key-value service is down.
    document_during_outage,

    /// Guards against removing servers because of false reports from their health or load
    /// endpoints.
    health_misleads,

    /// Guards against a mesh of several services that doesn't survive the loss of a failure domain.
    thrissur_domain_lost,
}

/// Guards against a scenario file without a test.
#[test]
fn every_file_is_run() {
    let files: BTreeSet<_> = fs::read_dir(SCENARIO_DIR)
        .unwrap()
        .map(|f| f.unwrap().file_name().into_string().unwrap())
        .collect();
    let names: BTreeSet<_> = NAMES.iter().map(|n| (*n).to_owned()).collect();
    assert_eq!(files, names);
}
