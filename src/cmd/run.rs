//! `filbertflow-load run`: open-loop load against caller addresses.
//!
//! Every request has a planned time and its latency counts from there, so that a slow system can't
//! hide its delays by slowing the generator down.

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
Sends requests at a stated rate and checks every answer.

Usage:
    filbertflow-load run --to ADDR[,ADDR] --service NAME [options]

Request times are drawn from the seed, and latencies count from the planned
time. An answer must repeat the request's id, and the key if there is one, in
its body. A request whose connection is refused goes to the next address.

Example:
    filbertflow-load run --to 127.0.1.1:8080,127.0.1.2:8080 --service walk-listings \\
        --key segment --keys 1000 --spread zipf:1.1 --rate 500 --seconds 20

Exit codes: 0 success, 1 wrong answers or failure at run time, 2 invalid usage.

Options:";

/// Requests of one run at most.
const MAX_REQUESTS: f64 = 10_000_000.0;

/// Requests in progress at once at most.
const MAX_WORKERS: usize = 1024;

/// Time after the deadline at which a request without a response counts as unknown.
const GRACE: time::Duration = time::Duration::from_millis(500);

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
        help = "requests in progress at most; 0 chooses by rate",
        meta = "N",
        default = "0"
    )]
    workers: usize,
    #[options(no_short, help = "write each request as a line of JSON", meta = "FILE")]
    log: Option<String>,
    #[options(no_short, help = "print JSON instead of a table")]
    json: bool,
}

/// Where the key of a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Place {
    None,
    Segment,
    Header(String),
    Query(String),
}

/// What a worker needs to send requests.
#[derive(Debug)]
struct Target {
    addrs: Vec<net::SocketAddr>,
    service: String,
    place: Place,
    class: Option<String>,
    deadline: time::Duration,
}

/// Line of the request log.
#[derive(Debug)]
#[derive(Serialize)]
struct Line<'a> {
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
    let target = target(&args).map_err(cli::bad_input)?;
    let jobs = plan(&args).map_err(cli::bad_input)?;
    let finished = send_all(&target, &jobs, workers(&args));
    if let Some(file) = &args.log {
        write_log(file, &jobs, &finished).wrap_err_with(|| format!("can't write {file}"))?;
    }
    let samples: Vec<_> = finished.into_iter().map(|(_, _, s)| s).collect();
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

fn target(args: &Args) -> Result<Target, String> {
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
        place: place(&args.key)?,
        class: args.class.clone(),
        deadline: time::Duration::from_millis(args.deadline_ms),
    })
}

fn place(text: &str) -> Result<Place, String> {
    match text.split_once(':') {
        Some(("header", name)) if !name.is_empty() => Ok(Place::Header(name.to_owned())),
        Some(("query", name)) if !name.is_empty() => Ok(Place::Query(name.to_owned())),
        None if text == "segment" => Ok(Place::Segment),
        None if text == "none" => Ok(Place::None),
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

/// Chooses as many workers as requests may be in progress if a quarter second passes for each.
fn workers(args: &Args) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the rate is positive and the result is clamped"
    )]
    let by_rate = (args.rate / 4.0) as usize;
    let wanted = if args.workers == 0 {
        by_rate.max(16)
    } else {
        args.workers
    };
    wanted.clamp(1, MAX_WORKERS)
}

type Finished = (usize, ids::RequestId, results::Sample);

fn send_all(target: &Target, jobs: &[workload::PlannedRequest], workers: usize) -> Vec<Finished> {
    let next = AtomicUsize::new(0);
    let start = time::Instant::now();
    let mut finished = thread::scope(|scope| {
        let handles: Vec<_> = (0..workers)
            .map(|_| scope.spawn(|| work(target, jobs, &next, start)))
            .collect();
        let results = handles.into_iter().map(thread::ScopedJoinHandle::join);
        results
            .flat_map(|r| r.expect("a worker does not panic"))
            .collect::<Vec<_>>()
    });
    finished.sort_by_key(|(index, _, _)| *index);
    finished
}

fn work(
    target: &Target,
    jobs: &[workload::PlannedRequest],
    next: &AtomicUsize,
    start: time::Instant,
) -> Vec<Finished> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(target.deadline + GRACE))
        .http_status_as_error(false)
        .build()
        .into();
    let mut finished = Vec::new();
    loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        let Some(job) = jobs.get(index) else {
            return finished;
        };
        thread::sleep(job.due.saturating_sub(start.elapsed()));
        let sent = start.elapsed();
        let id = ids::RequestId::create();
        let (outcome, reason) = send(&agent, target, index, job, id);
        let sample = results::Sample {
            key: job.key,
            due: job.due,
            sent,
            done: start.elapsed(),
            outcome,
            reason,
        };
        finished.push((index, id, sample));
    }
}

/// Sends a request, to the next address if a connection is refused.
fn send(
    agent: &ureq::Agent,
    target: &Target,
    index: usize,
    job: &workload::PlannedRequest,
    id: ids::RequestId,
) -> (results::Outcome, String) {
    let key = key_name(job.key);
    let count = target.addrs.len();
    for i in 0..count {
        let addr = target.addrs[(index + i) % count];
        match send_to(agent, target, addr, &key, job.write, id) {
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
    let url = match &target.place {
        Place::Segment => format!("http://{addr}/{service}/{key}"),
        Place::Query(name) => format!("http://{addr}/{service}/item?{name}={key}"),
        Place::Header(_) | Place::None => format!("http://{addr}/{service}/item"),
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
    if let Place::Header(name) = &target.place {
        request = request.header(name, key);
    }
    let mut response = if write {
        agent.run(request.body("{}")?)?
    } else {
        agent.run(request.body(())?)?
    };
    let text = response.body_mut().read_to_string()?;
    let keyed = target.place != Place::None;
    Ok(judge(&response, &text, id, keyed.then_some(key)))
}

/// Decides the outcome of a response and checks that an answer belongs to its request.
fn judge(
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
        // An answer of the backend server that reports its own error need not repeat anything.
        Some("answered") if status >= 400 => (results::Outcome::Answered, status.to_string()),
        Some("answered") if !repeats(text, "id", &id) => {
            (results::Outcome::Wrong, "id-body".to_owned())
        }
        Some("answered") if key.is_some_and(|k| !repeats(text, "key", k)) => {
            (results::Outcome::Wrong, "key-body".to_owned())
        }
        Some("answered") => (results::Outcome::Answered, status.to_string()),
        Some("not-run") => (results::Outcome::NotRun, reason),
        Some("unknown") => (results::Outcome::Unknown, reason),
        _ if (400..500).contains(&status) => (results::Outcome::Invalid, status.to_string()),
        _ => (results::Outcome::Wrong, "no-outcome".to_owned()),
    }
}

/// Returns whether the body names a value, in a JSON field or as a word of its text.
fn repeats(text: &str, field: &str, value: &str) -> bool {
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
    jobs: &[workload::PlannedRequest],
    finished: &[Finished],
) -> io::Result<()> {
    let mut out = io::BufWriter::new(fs::File::create(file)?);
    for (index, id, s) in finished {
        let line = Line {
            id: id.to_string(),
            key: key_name(s.key),
            write: jobs[*index].write,
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
