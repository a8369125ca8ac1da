//! Compares HTTP clients for requests to the backend server over loopback: attohttpc, which opens a
//! connection for each request, and the pooled client that the dispatcher uses.
//!
//! `cargo run --release --example http_clients` prints one line for each client and concurrency.

use std::io::{BufRead, BufReader, Write};
use std::sync::Arc;
use std::{net, thread, time};

use filbertflow::protocol::backend;
use filbertflow::transport::backend as http;
use hdrhistogram::Histogram;

/// Requests of each output line.
const REQUESTS: u32 = 2000;

/// Numbers of concurrent callers: one, and as many as a backend server has slots.
const CONCURRENCY: [u32; 2] = [1, 20];

/// Runs of each client and concurrency; the first is a warm-up.
const RUN_COUNT: u32 = 4;

const REQUEST_ID: &str = "01890a5d-ac96-774b-bcce-b302099a8057";
const TIMEOUT: time::Duration = time::Duration::from_secs(5);

type Send = dyn Fn(net::SocketAddr) -> bool + Sync;

fn main() -> eyre::Result<()> {
    let listener = net::TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || serve(&listener));
    println!("client     parallel  run  requests/s  p50 us  p99 us  max us  failed");
    let pooled = Arc::new(http::Client::default());
    for parallel in CONCURRENCY {
        for run in 0..RUN_COUNT {
            measure("attohttpc", parallel, run, addr, &send_new)?;
            let client = Arc::clone(&pooled);
            measure("pooled", parallel, run, addr, &move |a| {
                send_pooled(&client, a)
            })?;
        }
    }
    Ok(())
}

fn measure(
    name: &str,
    parallel: u32,
    run: u32,
    addr: net::SocketAddr,
    send: &Send,
) -> eyre::Result<()> {
    let started = time::Instant::now();
    let each = || {
        let mut latencies = Vec::new();
        let mut failed = 0;
        for _ in 0..REQUESTS / parallel {
            let begin = time::Instant::now();
            failed += u32::from(!send(addr));
            latencies.push(begin.elapsed());
        }
        (latencies, failed)
    };
    let results: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = (0..parallel).map(|_| scope.spawn(each)).collect();
        threads.into_iter().filter_map(|t| t.join().ok()).collect()
    });
    let elapsed = started.elapsed().as_secs_f64();
    let mut histogram = Histogram::<u64>::new(3)?;
    let mut failures = 0;
    for (latencies, failed) in results {
        failures += failed;
        for l in latencies {
            histogram.record(u64::try_from(l.as_micros())?)?;
        }
    }
    println!(
        "{name:<10} {parallel:>8} {run:>4} {:>11.0} {:>7} {:>7} {:>7} {failures:>7}",
        f64::from(REQUESTS) / elapsed,
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
        histogram.max(),
    );
    Ok(())
}

fn send_new(addr: net::SocketAddr) -> bool {
    attohttpc::get(format!("http://{addr}/listing"))
        .header(
            attohttpc::header::HeaderName::from_static(backend::REQUEST_ID_HEADER),
            attohttpc::header::HeaderValue::from_static(REQUEST_ID),
        )
        .timeout(TIMEOUT)
        .send()
        .and_then(attohttpc::Response::bytes)
        .is_ok()
}

fn send_pooled(client: &http::Client, addr: net::SocketAddr) -> bool {
    let call = http::Call {
        addr,
        method: "GET".to_owned(),
        path: "/listing".to_owned(),
        id: REQUEST_ID.to_owned(),
        headers: Vec::new(),
        content_type: None,
        body: Vec::new(),
    };
    client.call(&call, TIMEOUT).is_ok()
}

/// Responds to every request at once, with a thread for each connection.
fn serve(listener: &net::TcpListener) {
    for stream in listener.incoming().flatten() {
        thread::spawn(move || serve_connection(&stream));
    }
}

fn serve_connection(stream: &net::TcpStream) {
    stream.set_nodelay(true).ok();
    let mut lines = BufReader::new(stream).lines();
    let mut writer = stream;
    while let Some(Ok(line)) = lines.next() {
        if !line.is_empty() {
            continue;
        }
        let response = format!(
            "HTTP/1.1 200 OK\r\n{}: {REQUEST_ID}\r\ncontent-length: 6\r\n\r\nlisted",
            backend::REQUEST_ID_HEADER
        );
        if writer.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}
