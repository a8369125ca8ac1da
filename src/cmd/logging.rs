//! Structured logs: one JSON object a line.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Environment variable with the log filter, for example `filbertflow=debug`.
const FILTER_VARIABLE: &str = "FILBERTFLOW_LOG";

/// Lines that may wait for the writer; more are dropped.
const WAITING_LINES: usize = 512;

/// Lines written in a second; more are dropped.
const LINES_PER_SECOND: u32 = 400;

/// Lines dropped so far.
static DROPPED: AtomicU64 = AtomicU64::new(0);

fn filter() -> EnvFilter {
    EnvFilter::try_from_env(FILTER_VARIABLE)
        .unwrap_or_else(|_| EnvFilter::new("warn,filbertflow=info"))
}

/// Starts logging to the standard error stream.
pub fn start() {
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter())
        .with_writer(io::stderr)
        .init();
}

/// Starts logging to the standard output stream, bounded in volume and without waiting for it.
pub fn start_bounded() {
    let (lines, waiting) = channel::bounded(WAITING_LINES);
    let writer = thread::Builder::new().name("log".to_owned());
    if let Err(e) = writer.spawn(move || write(&waiting)) {
        eprintln!("can't start the log writer: {e}");
        return;
    }
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter())
        .with_writer(Lines { lines })
        .init();
}

fn write(waiting: &channel::Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    let (mut second, mut count, mut reported) = (Instant::now(), 0, 0);
    while let Ok(line) = waiting.recv() {
        if second.elapsed() >= Duration::from_secs(1) {
            (second, count) = (Instant::now(), 0);
        }
        if count >= LINES_PER_SECOND {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        count += 1;
        let mut batch = line;
        let dropped = DROPPED.load(Ordering::Relaxed);
        if dropped > reported {
            reported = dropped;
            let note = format!("{{\"level\":\"WARN\",\"event\":106,\"dropped\":{dropped}}}\n");
            batch.extend_from_slice(note.as_bytes());
        }
        while batch.len() < 32 * 1024
            && count < LINES_PER_SECOND
            && let Ok(next) = waiting.try_recv()
        {
            count += 1;
            batch.extend_from_slice(&next);
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // Nobody reads the log; there is no other place to say so.
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writer that hands lines to a thread.
#[derive(Debug)]
struct Lines {
    lines: channel::Sender<Vec<u8>>,
}

/// One line.
#[derive(Debug)]
struct Line {
    lines: channel::Sender<Vec<u8>>,
    bytes: Vec<u8>,
}

impl MakeWriter<'_> for Lines {
    type Writer = Line;

    fn make_writer(&self) -> Line {
        Line {
            lines: self.lines.clone(),
            bytes: Vec::new(),
        }
    }
}

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        let line = std::mem::take(&mut self.bytes);
        if !line.is_empty() && self.lines.try_send(line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}
