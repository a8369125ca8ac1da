//! `filbertflow-load policy`: compares balance policies on recorded workloads.

use gumdrop::Options;
use serde::Serialize;

use crate::cmd::{cli, replay, scenario};
use crate::coordination::balance;

const USAGE: &str = "\
Compares balance policies on one recorded workload per event.

Usage:
    filbertflow-load policy [options]

The workload is recorded once from the seed and replayed against each policy,
for the keyed service of both deployments. After 10 minutes of warm-up the
event happens, and 30 minutes are measured. Imbalance is the maximum over the
mean across servers; churn is the share of keys that changed owner.

Example:
    filbertflow-load policy --seed 7 --rate 400

Exit codes: 0 success, 1 failure at run time, 2 invalid usage.

Options:";

/// Maximum rate, in requests per second; limits the memory for recorded requests.
const MAX_RATE: f64 = 10_000.0;

#[derive(Debug)]
#[derive(Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "seed of the workload", meta = "N", default = "1")]
    seed: u64,
    #[options(
        no_short,
        help = "requests per second outside of surges",
        meta = "N",
        default = "400"
    )]
    rate: f64,
    #[options(no_short, help = "print JSON instead of a table")]
    json: bool,
}

/// Result of one policy for one event in one deployment.
#[derive(Debug)]
#[derive(Serialize)]
struct Row {
    deployment: &'static str,
    event: &'static str,
    policy: &'static str,
    #[serde(flatten)]
    score: replay::Score,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error with its exit code if the usage is invalid.
pub fn run(args: &[String]) -> eyre::Result<()> {
    let Some(args) = cli::parse::<Args>(args, USAGE)? else {
        return Ok(());
    };
    if !(args.rate >= 1.0 && args.rate <= MAX_RATE) {
        return Err(cli::bad_input(format!("--rate: expected 1 to {MAX_RATE}")));
    }
    let rows = compare(&args)?;
    if args.json {
        println!("{}", serde_json::to_string(&rows)?);
    } else {
        print_table(&rows);
    }
    Ok(())
}

fn compare(args: &Args) -> eyre::Result<Vec<Row>> {
    let mut rows = Vec::new();
    for deployment in scenario::deployments()? {
        for event in scenario::Event::ALL {
            let recording =
                scenario::record(event, args.rate, args.seed).map_err(|e| eyre::eyre!(e))?;
            for policy in balance::Policy::ALL {
                rows.push(Row {
                    deployment: deployment.name,
                    event: event.name(),
                    policy: policy.name(),
                    score: replay::replay(&deployment, event, &recording, policy),
                });
            }
        }
    }
    Ok(rows)
}

fn print_table(rows: &[Row]) {
    println!(
        "| deployment | event | policy | load mean | load p95 | keys | churn % | optional % | moves | slices |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for row in rows {
        let s = &row.score;
        println!(
            "| {} | {} | {} | {:.2} | {:.2} | {:.2} | {:.1} | {:.1} | {} | {} |",
            row.deployment,
            row.event,
            row.policy,
            s.load_mean,
            s.load_p95,
            s.keys_mean,
            s.churn,
            s.optional_churn,
            s.moves,
            s.slices
        );
    }
}
