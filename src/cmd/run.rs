//! `filbertflow-load run`: open-loop load generator for caller addresses.
//!
//! Every request has a scheduled time, and its latency is measured from that time. A slow system
//! therefore can't hide its delays by slowing down the generator (coordinated omission).

use std::io::Write as _;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::{fs, io, net, thread, time};

use eyre::WrapErr;
use gumdrop::Options;
use serde::Serialize;

use crate::cmd::{cli, exit, results, workload};
use crate::protocol::caller;
use crate::state::ids;

const USAGE: &str = "\
Sends requests at a fixed rate and checks every answer.

Usage:
    filbertflow-load run --to ADDR[,ADDR] --service NAME [options]

Request times are generated from the seed, and latencies are measured from the
scheduled time. An answer must contain the request's id, and the key if there
is one, in its body. A request whose connection is refused goes to the next address.

Example:
    filbertflow-load run --to 127.0.1.1:8080,127.0.1.2:8080 --service walk-listings \\
        --key segment --keys 1000 --spread zipf:1.1 --rate 500 --seconds 20

Exit codes: 0 success, 1 wrong answers or failure at run time, 2 invalid usage.

Options:";

/// Maximum number of requests in one run.
const MAX_REQUESTS: f64 = 10_000_000.0;

/// Maximum number of requests in flight.
const MAX_WORKERS: usize = 1024;

/// Time after the deadline at which a request without a response times out with an unknown outcome.
const RESPONSE_GRACE: time::Duration = time::Duration::from_millis(500);

#[derive(Debug)]
#[derive(Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "caller addresses, separated by commas",
        meta = "ADDR"
    )]
    to: String,
    #[options(no_short, help = "service", meta = "NAME")]
    service: String,
    #[options(
        no_short,
        help = "where the key goes: segment, header:NAME, query:NAME or none",
        meta = "PLACE",
        default = "segment"
    )]
    key: String,
    #[options(no_short, help = "number of keys", meta = "N", default = "1000")]
    keys: usize,
    #[options(
        no_short,
        help = "uniform, zipf:EXPONENT or hot:KEYS:SHARE",
        meta = "SPREAD",
        default = "zipf:1.0"
    )]
    spread: workload::KeyDistribution,
    #[options(no_short, help = "requests per second", meta = "N", default = "100")]
    rate: f64,
    #[options(no_short, help = "length of the run", meta = "S", default = "10")]
    seconds: f64,
    #[options(
        no_short,
        help = "share of requests that must not run twice, sent as POST",
        meta = "SHARE",
        default = "0.2"
    )]
    writes: f64,
    #[options(
        no_short,
        help = "deadline of a request",
        meta = "MS",
        default = "2000"
    )]
    deadline_ms: u64,
    #[options(no_short, help = "class of callers", meta = "NAME")]
    class: Option<String>,
    #[options(no_short, help = "seed of keys and times", meta = "N", default = "1")]
    seed: u64,
    #[options(
        no_short,
        help = "maximum number of requests in flight; 0 derives it from the rate",
        meta = "N",
        default = "0"
    )]
    workers: usize,
    #[options(no_short, help = "write each request as a line of JSON", meta = "FILE")]
    log: Option<String>,
    #[options(no_short, help = "print JSON instead of a table")]
    json: bool,
}

/// Part of a request that carries the key.
#[derive(Debug, Clone, PartialEq, Eq)]
enum KeyPosition {
    None,
    Segment,
    Header(String),
    Query(String),
}

/// Destination and common properties of all requests.
#[derive(Debug)]
struct Target {
    addrs: Vec<net::SocketAddr>,
    service: String,
    key_position: KeyPosition,
    class: Option<String>,
    deadline: time::Duration,
}

/// Line of the request log. Times are relative to the start of the run.
#[derive(Debug)]
#[derive(Serialize)]
struct LogLine<'a> {
    id: String,
    key: String,
    write: bool,
    outcome: &'a str,
    reason: &'a str,
    due_us: u128,
    sent_us: u128,
    done_us: u128,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error with its exit code if the usage is invalid, or an answer is wrong.
pub fn run(args: &[String]) -> eyre::Result<()> {
    let Some(args) = cli::parse::<Args>(args, USAGE)? else {
        return Ok(());
    };
    let target = parse_target(&args).map_err(cli::bad_input)?;
    let requests = plan(&args).map_err(cli::bad_input)?;
    let completed = send_all(&target, &requests, worker_count(&args));
    if let Some(file) = &args.log {
        write_log(file, &requests, &completed).wrap_err_with(|| format!("can't write {file}"))?;
    }
    let samples: Vec<_> = completed.into_iter().map(|(_, _, s)| s).collect();
    let summary = results::summarize(&samples, args.rate, args.seed);
    if args.json {
        println!("{}", serde_json::to_string(&summary)?);
    } else {
        print!("{}", summary.table());
    }
    match summary.wrong_count() {
        0 => Ok(()),
        n => Err(
            exit::CommandError::new(exit::ExitCode::Failure, format!("{n} wrong answers")).into(),
        ),
    }
}

fn parse_target(args: &Args) -> Result<Target, String> {
    let addrs = args.to.split(',').filter(|a| !a.is_empty());
    let addrs: Vec<net::SocketAddr> = addrs
        .map(|a| a.parse().map_err(|_| format!("--to: not an address: {a}")))
        .collect::<Result<_, _>>()?;
    if addrs.is_empty() || args.service.is_empty() {
        return Err("--to and --service are required".to_owned());
    }
    if args.deadline_ms == 0 {
        return Err("--deadline-ms: expected a number from 1".to_owned());
    }
    Ok(Target {
        addrs,
        service: args.service.clone(),
        key_position: parse_key_position(&args.key)?,
        class: args.class.clone(),
        deadline: time::Duration::from_millis(args.deadline_ms),
    })
}

fn parse_key_position(text: &str) -> Result<KeyPosition, String> {
    match text.split_once(':') {
        Some(("header", name)) if !name.is_empty() => Ok(KeyPosition::Header(name.to_owned())),
        Some(("query", name)) if !name.is_empty() => Ok(KeyPosition::Query(name.to_owned())),
        None if text == "segment" => Ok(KeyPosition::Segment),
        None if text == "none" => Ok(KeyPosition::None),
        _ => Err(format!(
            "--key: expected segment, header:NAME, query:NAME or none, found {text}"
        )),
    }
}

fn plan(args: &Args) -> Result<Vec<workload::PlannedRequest>, String> {
    if !(args.rate > 0.0 && args.seconds > 0.0 && args.rate * args.seconds <= MAX_REQUESTS) {
        return Err(format!(
            "--rate and --seconds: expected positive numbers and at most {MAX_REQUESTS} requests"
        ));
    }
    if !(0.0..=1.0).contains(&args.writes) {
        return Err("--writes: expected a share from 0 to 1".to_owned());
    }
    let keys = workload::KeySampler::new(args.keys, args.spread)?;
    let length = time::Duration::from_secs_f64(args.seconds);
    Ok(workload::schedule(
        &keys,
        args.rate,
        length,
        args.writes,
        args.seed,
    ))
}

/// Returns the number of workers. By default it suffices for an average latency of 250 ms at the
/// requested rate.
fn worker_count(args: &Args) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the rate is positive and the result is clamped"
    )]
    let by_rate = (args.rate / 4.0) as usize;
    let count = if args.workers == 0 {
        by_rate.max(16)
    } else {
        args.workers
    };
    count.clamp(1, MAX_WORKERS)
}

/// Index of a request, its identifier and its result.
type Completed = (usize, ids::RequestId, results::Sample);

fn send_all(
    target: &Target,
    requests: &[workload::PlannedRequest],
    workers: usize,
) -> Vec<Completed> {
    let next = AtomicUsize::new(0);
    let start = time::Instant::now();
    let mut completed = thread::scope(|scope| {
        let handles: Vec<_> = (0..workers)
            .map(|_| scope.spawn(|| run_worker(target, requests, &next, start)))
            .collect();
        let results = handles.into_iter().map(thread::ScopedJoinHandle::join);
        results
            .flat_map(|r| r.expect("a worker does not panic"))
            .collect::<Vec<_>>()
    });
    completed.sort_by_key(|(index, _, _)| *index);
    completed
}

fn run_worker(
    target: &Target,
    requests: &[workload::PlannedRequest],
    next: &AtomicUsize,
    start: time::Instant,
) -> Vec<Completed> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(target.deadline + RESPONSE_GRACE))
        .http_status_as_error(false)
        .build()
        .into();
    let mut completed = Vec::new();
    loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        let Some(request) = requests.get(index) else {
            return completed;
        };
        thread::sleep(request.due.saturating_sub(start.elapsed()));
        let sent = start.elapsed();
        let id = ids::RequestId::create();
        let (outcome, reason) = send(&agent, target, index, request, id);
        let sample = results::Sample {
            key: request.key,
            due: request.due,
            sent,
            done: start.elapsed(),
            outcome,
            reason,
        };
        completed.push((index, id, sample));
    }
}

/// Sends a request. If an address refuses the connection, the next address is tried.
fn send(
    agent: &ureq::Agent,
    target: &Target,
    index: usize,
    request: &workload::PlannedRequest,
    id: ids::RequestId,
) -> (results::Outcome, String) {
    let key = key_name(request.key);
    let count = target.addrs.len();
    for i in 0..count {
        let addr = target.addrs[(index + i) % count];
        match send_to(agent, target, addr, &key, request.write, id) {
            Ok(result) => return result,
            Err(ureq::Error::Io(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(ureq::Error::Timeout(_)) => {
                return (results::Outcome::Unknown, "client-timeout".to_owned());
            }
            Err(_) => return (results::Outcome::Unknown, "client-connection".to_owned()),
        }
    }
    (results::Outcome::NotRun, "client-refused".to_owned())
}

fn send_to(
    agent: &ureq::Agent,
    target: &Target,
    addr: net::SocketAddr,
    key: &str,
    write: bool,
    id: ids::RequestId,
) -> Result<(results::Outcome, String), ureq::Error> {
    let service = &target.service;
    let url = match &target.key_position {
        KeyPosition::Segment => format!("http://{addr}/{service}/{key}"),
        KeyPosition::Query(name) => format!("http://{addr}/{service}/item?{name}={key}"),
        KeyPosition::Header(_) | KeyPosition::None => format!("http://{addr}/{service}/item"),
    };
    let method = if write { "POST" } else { "GET" };
    let mut request = ureq::http::Request::builder()
        .method(method)
        .uri(url)
        .header(caller::REQUEST_ID_HEADER, id.to_string())
        .header(
            caller::DEADLINE_MS_HEADER,
            target.deadline.as_millis().to_string(),
        );
    if let Some(class) = &target.class {
        request = request.header(caller::CLASS_HEADER, class);
    }
    if let KeyPosition::Header(name) = &target.key_position {
        request = request.header(name, key);
    }
    let mut response = if write {
        agent.run(request.body("{}")?)?
    } else {
        agent.run(request.body(())?)?
    };
    let text = response.body_mut().read_to_string()?;
    let has_key = target.key_position != KeyPosition::None;
    Ok(classify(&response, &text, id, has_key.then_some(key)))
}

/// Determines the outcome and reason of a response, and checks that an answer belongs to its request.
fn classify(
    response: &ureq::http::Response<ureq::Body>,
    text: &str,
    id: ids::RequestId,
    key: Option<&str>,
) -> (results::Outcome, String) {
    let status = response.status().as_u16();
    let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
    let reason = header(caller::REASON_HEADER).unwrap_or("none").to_owned();
    let id = id.to_string();
    match header(caller::OUTCOME_HEADER) {
        Some("answered") if header(caller::REQUEST_ID_HEADER) != Some(&id) => {
            (results::Outcome::Wrong, "id-header".to_owned())
        }
        // An error response of the backend server need not contain the id or the key.
        Some("answered") if status >= 400 => (results::Outcome::Answered, status.to_string()),
        Some("answered") if !contains_value(text, "id", &id) => {
            (results::Outcome::Wrong, "id-body".to_owned())
        }
        Some("answered") if key.is_some_and(|k| !contains_value(text, "key", k)) => {
            (results::Outcome::Wrong, "key-body".to_owned())
        }
        Some("answered") => (results::Outcome::Answered, status.to_string()),
        Some("not-run") => (results::Outcome::NotRun, reason),
        Some("unknown") => (results::Outcome::Unknown, reason),
        _ if (400..500).contains(&status) => (results::Outcome::Invalid, status.to_string()),
        _ => (results::Outcome::Wrong, "no-outcome".to_owned()),
    }
}

/// Returns whether the body contains a value: in the given field if it is a JSON object, or else as a
/// word of its text.
fn contains_value(text: &str, field: &str, value: &str) -> bool {
    match serde_json::from_str::<serde_json::Value>(text) {
        Ok(json) if json.is_object() => json.get(field).and_then(|v| v.as_str()) == Some(value),
        _ => text
            .split(|c: char| !(c.is_ascii_alphanumeric() || c == '-'))
            .any(|word| word == value),
    }
}

fn key_name(key: usize) -> String {
    format!("key-{key}")
}

fn write_log(
    file: &str,
    requests: &[workload::PlannedRequest],
    completed: &[Completed],
) -> io::Result<()> {
    let mut out = io::BufWriter::new(fs::File::create(file)?);
    for (index, id, s) in completed {
        let line = LogLine {
            id: id.to_string(),
            key: key_name(s.key),
            write: requests[*index].write,
            outcome: s.outcome.name(),
            reason: &s.reason,
            due_us: s.due.as_micros(),
            sent_us: s.sent.as_micros(),
            done_us: s.done.as_micros(),
        };
        serde_json::to_writer(&mut out, &line)?;
        out.write_all(b"\n")?;
    }
    out.flush()
}
