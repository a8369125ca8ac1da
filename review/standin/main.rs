//! Plays one of the review's cases: `standin CASE FOLDER`. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod http;
mod instance;
mod json;
mod mesh;
mod proxy;
mod record;
mod store;

use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use mesh::{Clients, DESK, Kind, Mesh, OFFICE, WALKS};
use record::Record;
use store::Lateness;

/// Longest run of a case.
const RUN_LIMIT: Duration = Duration::from_secs(115);

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let (case, folder) = match &arguments[..] {
        [_, case, folder] => (case.as_str(), Path::new(folder)),
        _ => std::process::exit(2),
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    thread::spawn(|| {
        thread::sleep(RUN_LIMIT);
        eprintln!("the case takes too long");
        // The sidecars end with this process.
        std::process::exit(2);
    });
    let played = Record::create(&folder.join("record.txt")).and_then(|record| {
        let broken = match case {
            "bodies" => bodies(&record, trouble),
            "removal" => removal(&record, trouble),
            "leave" => leave(&record, trouble),
            "predecessor" => predecessor(&record, trouble),
            "silent" => silent(&record, trouble),
            other => Err(io::Error::other(format!("no case {other}"))),
        }?;
        let result = if broken > 0 { "broken" } else { "held" };
        record.line(&format!("the rule was {result}: {broken} times broken"));
        println!("the rule was {result}: {broken} times broken");
        Ok(broken)
    });
    std::process::exit(match played {
        Ok(0) => 0,
        Ok(_) => 1,
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            2
        }
    });
}

/// A machine leaves, and another takes its address. The store doesn't answer the call with which the
/// first one removes its entry, and carries it out when the second one has registered.
fn removal(record: &Record, trouble: bool) -> io::Result<usize> {
    // The instances of a service differ in speed.
    let (work, slow_work) = (Duration::from_millis(320), Duration::from_millis(640));
    let mut mesh = Mesh::start(record, &[WALKS, WALKS, OFFICE, OFFICE])?;
    let _walks = [
        mesh.start_instance(0, "i-a1", work)?,
        mesh.start_instance(1, "i-b1", work)?,
    ];
    let leaving = mesh.start_instance(2, "i-c1", work)?;
    let _office = mesh.start_instance(3, "i-d1", work)?;
    sleep(8.0);
    let clients = Clients::new(record);
    for n in [0, 1, 3] {
        for i in 0..12 {
            clients.spawn(
                &mesh.machines[n],
                Kind::Read,
                Duration::from_millis(40),
                (n * 10 + i) as u64 + 1,
            );
        }
        clients.spawn(
            &mesh.machines[n],
            Kind::Buy,
            Duration::from_millis(150),
            n as u64 + 77,
        );
    }
    sleep(4.0);
    leaving.drain();
    let end = Instant::now() + Duration::from_secs(5);
    while leaving.leave_acknowledged().is_none() && Instant::now() < end {
        sleep(0.02);
    }
    sleep(2.3);
    let before = mesh.store.writes();
    leaving.leave();
    leaving.exit();
    let ended = Instant::now();
    if trouble {
        mesh.store.lose_next(Lateness {
            node: 2,
            delay: REMOVAL_DELAY,
        });
    }
    mesh.machines[2].terminate();
    mesh.machines[2].wait_ended(ended + mesh::GRACE);
    // An address is used again two seconds after its instance has ended.
    let reuse = ended + Duration::from_millis(2200);
    thread::sleep(reuse.saturating_duration_since(Instant::now()));
    mesh.machines[2].service = WALKS.to_owned();
    mesh.machines[2].start()?;
    let _successor = mesh.start_instance(2, "i-c2", slow_work)?;
    sleep(2.0);
    record.line(&format!(
        "entries: {:?}",
        mesh.store.keys("filbertflow/node/")
    ));
    let after = mesh.store.writes();
    record.line(&format!(
        "write calls around the change: {}, without an answer: {}",
        after.0 - before.0,
        after.1 - before.1
    ));
    sleep(60.0);
    record.line(&format!(
        "entries: {:?}",
        mesh.store.keys("filbertflow/node/")
    ));
    clients.stop();
    sleep(0.5);
    Ok(mesh.world.broken())
}

/// Time after which an unanswered removal is carried out; the pages say one to six seconds.
const REMOVAL_DELAY: Duration = Duration::from_millis(5500);

/// An instance leaves while its sidecar is restarted: its leave notice is the first that the new
/// process hears of it. A heartbeat that it sent before arrives after the notice.
fn leave(record: &Record, trouble: bool) -> io::Result<usize> {
    let work = Duration::from_millis(100);
    let mut mesh = Mesh::start(record, &[OFFICE, OFFICE, WALKS])?;
    let leaving = mesh.start_instance(0, "i-a1", work)?;
    let _others = [
        mesh.start_instance(1, "i-b1", work)?,
        mesh.start_instance(2, "i-c1", work)?,
    ];
    sleep(8.0);
    let clients = Clients::new(record);
    for n in [1, 2] {
        for i in 0..10 {
            clients.spawn(
                &mesh.machines[n],
                Kind::Look,
                Duration::from_millis(60),
                (n * 10 + i) as u64 + 1,
            );
        }
        clients.spawn(
            &mesh.machines[n],
            Kind::Buy,
            Duration::from_millis(150),
            n as u64 + 77,
        );
    }
    sleep(4.0);
    leaving.beat_late(Duration::from_secs(3));
    sleep(0.05);
    let mut in_touch = Instant::now();
    let (notice, restart) = (leaving.clone(), trouble);
    if trouble {
        mesh.machines[0].kill();
    }
    let noticing = thread::spawn(move || {
        sleep(0.3);
        notice.leave();
    });
    if restart {
        sleep(1.0);
        mesh.machines[0].start()?;
        in_touch = Instant::now() + CONNECTED;
    }
    noticing
        .join()
        .map_err(|_| io::Error::other("the notice failed"))?;
    let acknowledged = leaving.leave_acknowledged();
    let acknowledged =
        acknowledged.ok_or_else(|| io::Error::other("the notice isn't acknowledged"))?;
    record.line("the leave notice is acknowledged");
    sleep(9.0);
    leaving.exit();
    clients.stop();
    sleep(3.0);
    let from = (acknowledged + DRAIN).max(in_touch);
    let calls = clients.calls.lock().unwrap().clone();
    let late = |id: &str| calls.iter().any(|c| c.id == id && c.sent > from);
    let runs = mesh.world.runs();
    let late: Vec<_> = runs
        .iter()
        .filter(|r| r.instance == "i-a1" && late(&r.id))
        .collect();
    for run in &late {
        let ms = (run.at - acknowledged).as_millis();
        record.line(&format!(
            "BROKEN DRAIN: {} reached {} {ms} ms after the acknowledgement",
            run.id, run.instance
        ));
    }
    Ok(late.len())
}

/// Time for which a machine must have run undisturbed to count as in touch.
const CONNECTED: Duration = Duration::from_secs(3);

/// Time after the acknowledgement in which an instance may still get requests.
const DRAIN: Duration = Duration::from_secs(2);

/// An instance is restarted in place, and then its sidecar. A heartbeat of the first life was delayed
/// and reaches the new process of the sidecar before one of the second life does.
fn predecessor(record: &Record, trouble: bool) -> io::Result<usize> {
    // The instances of a service differ in speed.
    let (work, slow_work) = (Duration::from_millis(320), Duration::from_millis(640));
    let mut mesh = Mesh::start(record, &[WALKS, WALKS, WALKS, OFFICE])?;
    let _walks = [
        mesh.start_instance(0, "i-a1", work)?,
        mesh.start_instance(1, "i-b1", work)?,
    ];
    let leaving = mesh.start_instance(2, "i-c1", work)?;
    let _office = mesh.start_instance(3, "i-d1", work)?;
    sleep(8.0);
    let clients = Clients::new(record);
    for n in [0, 1, 3] {
        for i in 0..12 {
            clients.spawn(
                &mesh.machines[n],
                Kind::Read,
                Duration::from_millis(40),
                (n * 10 + i) as u64 + 1,
            );
        }
    }
    sleep(4.0);
    leaving.drain();
    leaving.beat_late(LATENESS);
    let sent = Instant::now();
    let end = Instant::now() + Duration::from_secs(5);
    while leaving.leave_acknowledged().is_none() && Instant::now() < end {
        sleep(0.02);
    }
    sleep(2.5);
    leaving.leave();
    leaving.exit();
    sleep(1.0);
    // Most instances drop a request when its connection closes; this one does not.
    let config = instance::Config {
        drops: false,
        ..mesh.instance_config(2, "i-c2", slow_work)
    };
    let _successor = instance::Instance::start(&mesh.world, config, mesh::unix_ms())?;
    let restart = sent + LATENESS - Duration::from_millis(50);
    let until = |at: Instant| thread::sleep(at.saturating_duration_since(Instant::now()));
    until(restart - RESTART_DELAY);
    if trouble {
        mesh.machines[2].kill();
        until(restart);
        mesh.machines[2].start()?;
    }
    sleep(10.0);
    clients.stop();
    sleep(3.0);
    Ok(mesh.world.broken())
}

/// Time by which the heartbeat is late.
const LATENESS: Duration = Duration::from_millis(7370);

/// Time after which the platform starts a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// The open connections between two machines go silent while requests with bodies pass. Later, the
/// route that is split between their services must get its shares again.
fn silent(record: &Record, trouble: bool) -> io::Result<usize> {
    let work = Duration::from_millis(100);
    let mesh = Mesh::start_proxied(record, &[WALKS, OFFICE, DESK])?;
    let _instances = [
        mesh.start_instance(0, "i-a1", work)?,
        mesh.start_instance(1, "i-b1", work)?,
        mesh.start_instance(2, "i-c1", work)?,
    ];
    sleep(8.0);
    let clients = Clients::new(record);
    for i in 0..24 {
        clients.spawn(
            &mesh.machines[0],
            Kind::Split,
            Duration::from_millis(60),
            i + 1,
        );
    }
    sleep(8.0);
    let proxy = mesh.machines[2].proxy.clone();
    let proxy = proxy.ok_or_else(|| io::Error::other("no proxy"))?;
    let before = proxy.accepted();
    if trouble {
        proxy.silence();
        record.line(&format!("the {before} connections to machine n2 go silent"));
    }
    sleep(25.0);
    let from = Instant::now();
    record.line("the shares of the split route are counted from here");
    sleep(40.0);
    record.line(&format!(
        "memory of machine n0: {:?} MB",
        mesh.machines[0].memory_mb()
    ));
    clients.stop();
    record.line(&format!(
        "connections to machine n2 since then: {}",
        proxy.accepted() - before
    ));
    sleep(5.0);
    let runs = mesh.world.runs();
    let count = |id: &str| {
        runs.iter()
            .filter(|r| r.instance == id && r.at >= from)
            .count()
    };
    let calls = clients.calls.lock().unwrap().clone();
    let sent: Vec<_> = calls.iter().filter(|c| c.sent >= from).collect();
    let status = |s: Option<u16>| sent.iter().filter(|c| c.status == s).count();
    let (first, second) = (count("i-b1"), count("i-c1"));
    let share = second as f64 / (first + second).max(1) as f64;
    record.line(&format!("sent {}, answered 200: {}, 504: {}, 503: {}; run by office {first}, by desk {second}; share of desk {share:.2}, its weight 0.50", sent.len(), status(Some(200)), status(Some(504)), status(Some(503))));
    if sent.len() < 300 {
        return Err(io::Error::other("too few requests for the rule"));
    }
    let broken = (share - 0.5).abs() > 0.2;
    if broken {
        record.line("BROKEN CONFIG: the share of a part lies more than 0.2 off its weight's");
    }
    Ok(usize::from(broken))
}

/// More clients than usual send bodies within the configured limit. The platform kills a process that
/// exceeds its memory, and with it end the requests of other clients.
fn bodies(record: &Record, trouble: bool) -> io::Result<usize> {
    let work = Duration::from_millis(300);
    let mut mesh = Mesh::start(
        record,
        &[WALKS, OFFICE, OFFICE, OFFICE, OFFICE, OFFICE, OFFICE],
    )?;
    let mut instances = vec![mesh.start_instance(0, "i-a1", work)?];
    for (n, id) in [
        (1, "i-b1"),
        (2, "i-c1"),
        (3, "i-d1"),
        (4, "i-e1"),
        (5, "i-f1"),
        (6, "i-g1"),
    ] {
        instances.push(mesh.start_instance(n, id, work)?);
    }
    sleep(8.0);
    let (clients, senders) = (Clients::new(record), Clients::new(record));
    for i in 0..8 {
        clients.spawn(
            &mesh.machines[0],
            Kind::Look,
            Duration::from_millis(40),
            i + 1,
        );
    }
    for _ in 0..USUAL_SENDERS {
        senders.spawn_sender(&mesh.machines[0], LARGE_BODY);
    }
    let start = Instant::now();
    let (mut peaks, mut usual, mut kills, mut burst) = ([0; 7], None, Vec::new(), None);
    while start.elapsed() < Duration::from_secs(24) {
        let now = Instant::now();
        for (n, machine) in mesh.machines.iter_mut().enumerate() {
            let memory = machine.memory_mb().unwrap_or(0);
            peaks[n] = peaks[n].max(memory);
            if memory > MEMORY_MB {
                record.line(&format!(
                    "sidecar n{n} has {memory} MB, its machine has {MEMORY_MB} MB"
                ));
                machine.kill();
                machine.start()?;
                kills.push(now);
            }
        }
        if burst.is_none() && start.elapsed() > Duration::from_secs(15) {
            usual = Some(peaks);
            burst = Some(Clients::new(record));
            for burst in burst.iter().filter(|_| trouble) {
                record.line("more clients come");
                (0..MORE_SENDERS).for_each(|_| burst.spawn_sender(&mesh.machines[0], LARGE_BODY));
            }
        }
        if start.elapsed() > Duration::from_secs(20) {
            burst.iter().for_each(Clients::stop);
        }
        sleep(0.002);
    }
    senders.stop();
    clients.stop();
    sleep(4.0);
    record.line(&format!(
        "peak memory with the usual clients {usual:?} MB, in all {peaks:?} MB"
    ));
    let runs = mesh.world.runs();
    let calls = clients.calls.lock().unwrap().clone();
    let ran = |id: &str| runs.iter().any(|r| r.id == id);
    let lost: Vec<_> = calls
        .iter()
        .filter(|c| c.status.is_none() && ran(&c.id))
        .collect();
    for call in &lost {
        record.line(&format!(
            "BROKEN LOST: {} ran, and its kept connection ended without an answer",
            call.id
        ));
    }
    // The rule allows three.
    Ok(lost.len().saturating_sub(3))
}

/// Memory of a machine's process; the smallest one of the site.
const MEMORY_MB: u64 = 160;

/// Size of the large bodies; the configuration allows 64 MiB.
const LARGE_BODY: usize = 5 << 20;

/// Number of clients that send large bodies, and of those that come besides.
const USUAL_SENDERS: usize = 10;
const MORE_SENDERS: usize = 14;
