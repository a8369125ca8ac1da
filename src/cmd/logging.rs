//! Structured logging: one JSON object per line.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Environment variable with the log filter, for example `filbertflow=debug`.
const FILTER_ENV: &str = "FILBERTFLOW_LOG";

/// Capacity of the queue to the writer thread, in lines; lines beyond it are dropped.
const QUEUE_LINES: usize = 512;

/// Maximum number of lines written per second; lines beyond it are dropped.
const MAX_LINES_PER_SECOND: u32 = 400;

/// Size from which no more lines are added to a batch, in bytes.
const BATCH_BYTES: usize = 32 * 1024;

/// Maximum time for writing queued lines when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Number of lines dropped since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);

fn filter() -> EnvFilter {
    EnvFilter::try_from_env(FILTER_ENV).unwrap_or_else(|_| EnvFilter::new("warn,filbertflow=info"))
}

/// Initializes logging to the standard error stream.
pub fn init() {
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter())
        .with_writer(io::stderr)
        .init();
}

/// Guard of the log writer. Keep it until the process exits; dropping it flushes queued lines.
#[derive(Debug)]
#[must_use = "lines logged after the guard is dropped can be lost"]
pub struct LogGuard {
    /// Closed on drop to signal the writer thread to finish.
    shutdown: Option<channel::Sender<()>>,
    done: channel::Receiver<()>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.shutdown = None;
        // An error means that the timeout expired or that the writer thread has already ended.
        let _flushed = self.done.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Initializes logging to the standard output stream through a writer thread. The volume is bounded
/// and logging never blocks: lines beyond the limits are dropped. Dropping the returned guard writes
/// the queued lines, for at most [`FLUSH_TIMEOUT`].
pub fn init_bounded() -> LogGuard {
    let (lines, queue) = channel::bounded(QUEUE_LINES);
    let (shutdown, shutdown_signal) = channel::bounded(0);
    let (done_sender, done) = channel::bounded(1);
    let writer = thread::Builder::new().name("log".to_owned());
    let spawned = writer.spawn(move || {
        write(&queue, &shutdown_signal);
        // The guard may already have been dropped.
        let _sent = done_sender.send(());
    });
    let guard = LogGuard {
        shutdown: Some(shutdown),
        done,
    };
    if let Err(e) = spawned {
        eprintln!("can't start the log writer thread: {e}");
        return guard;
    }
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter())
        .with_writer(QueueWriter { lines })
        .init();
    guard
}

/// Returns the next line, or `None` when the process is shutting down and the queue is empty.
fn next_line(
    queue: &channel::Receiver<Vec<u8>>,
    shutdown: &channel::Receiver<()>,
) -> Option<Vec<u8>> {
    channel::select! {
        recv(queue) -> line => line.ok(),
        recv(shutdown) -> _ => queue.try_recv().ok(),
    }
}

fn write(queue: &channel::Receiver<Vec<u8>>, shutdown: &channel::Receiver<()>) {
    let mut out = io::stdout();
    let (mut second_start, mut count, mut reported) = (Instant::now(), 0, 0);
    while let Some(line) = next_line(queue, shutdown) {
        if second_start.elapsed() >= Duration::from_secs(1) {
            (second_start, count) = (Instant::now(), 0);
        }
        if count >= MAX_LINES_PER_SECOND {
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
        while batch.len() < BATCH_BYTES
            && count < MAX_LINES_PER_SECOND
            && let Ok(next) = queue.try_recv()
        {
            count += 1;
            batch.extend_from_slice(&next);
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // The output stream is closed or broken, so the error can't be reported anywhere.
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Creates writers that queue each line for the writer thread.
#[derive(Debug)]
struct QueueWriter {
    lines: channel::Sender<Vec<u8>>,
}

/// Buffer of one line, which is queued on drop.
#[derive(Debug)]
struct LineBuffer {
    lines: channel::Sender<Vec<u8>>,
    bytes: Vec<u8>,
}

impl MakeWriter<'_> for QueueWriter {
    type Writer = LineBuffer;

    fn make_writer(&self) -> LineBuffer {
        LineBuffer {
            lines: self.lines.clone(),
            bytes: Vec::new(),
        }
    }
}

impl Write for LineBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LineBuffer {
    fn drop(&mut self) {
        let line = std::mem::take(&mut self.bytes);
        if !line.is_empty() && self.lines.try_send(line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}
