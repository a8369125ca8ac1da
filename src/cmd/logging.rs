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

/// Longest wait at the end of the process for lines that have not been written.
const LAST_LINES: Duration = Duration::from_millis(100);

/// Lines dropped so far.
static DROPPED: AtomicU64 = AtomicU64::new(0);

fn filter() -> EnvFilter {
    EnvFilter::try_from_env(FILTER_VARIABLE)
        .unwrap_or_else(|_| EnvFilter::new("warn,filbertflow=info"))
}

/// Starts logging to the standard error stream.
pub fn init() {
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter())
        .with_writer(io::stderr)
        .init();
}

/// Log of a process, to be kept until its end.
#[derive(Debug)]
#[must_use = "the last lines are lost if the log is dropped early"]
pub struct LogGuard {
    /// Closed at the end of the process.
    end: Option<channel::Sender<()>>,
    done: channel::Receiver<()>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.end = None;
        // An error means that the time has passed, or that the writer ended before.
        let _written = self.done.recv_timeout(LAST_LINES);
    }
}

/// Starts logging to the standard output stream, bounded in volume and without waiting for it. Lines
/// that still wait when the returned log is dropped are written, if that takes no longer than
/// [`LAST_LINES`].
pub fn init_bounded() -> LogGuard {
    let (lines, waiting) = channel::bounded(WAITING_LINES);
    let (end, ended) = channel::bounded(0);
    let (tell, done) = channel::bounded(1);
    let writer = thread::Builder::new().name("log".to_owned());
    let spawned = writer.spawn(move || {
        write(&waiting, &ended);
        // Nobody waits if the process does not end.
        let _told = tell.send(());
    });
    let log = LogGuard {
        end: Some(end),
        done,
    };
    if let Err(e) = spawned {
        eprintln!("can't start the log writer: {e}");
        return log;
    }
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter())
        .with_writer(Lines { lines })
        .init();
    log
}

/// Returns the next line, or `None` at the end of the process when all have been written.
fn next(waiting: &channel::Receiver<Vec<u8>>, ended: &channel::Receiver<()>) -> Option<Vec<u8>> {
    channel::select! {
        recv(waiting) -> line => line.ok(),
        recv(ended) -> _ => waiting.try_recv().ok(),
    }
}

fn write(waiting: &channel::Receiver<Vec<u8>>, ended: &channel::Receiver<()>) {
    let mut out = io::stdout();
    let (mut second, mut count, mut reported) = (Instant::now(), 0, 0);
    while let Some(line) = next(waiting, ended) {
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
