//! Connections of a link: handshake, and the exchange of frames.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time;

use crate::protocol::mesh::{Cause, Frame, Seq};
use crate::state::clock::Instant;
use crate::state::routes::Repeat;
use crate::transport::sidecar::frames::{self, FrameReader, FrameWriter};
use crate::transport::sidecar::links::{Connection, Link};

/// Maximum time to connect and exchange the first frames.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Initial back-off between two attempts to connect; doubles up to the maximum.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum back-off between two attempts to connect.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Time for which an idempotent call waits for a reconnection before it is retried elsewhere.
const RESUME_TIMEOUT: Duration = Duration::from_millis(500);

/// Keeps a link connected until it is closed.
pub(super) async fn run(link: Rc<Link>) {
    let mut backoff = INITIAL_BACKOFF;
    while !link.closed.get() {
        match connect(&link).await {
            Ok(io) => {
                backoff = INITIAL_BACKOFF;
                if let Err(e) = exchange(&link, io).await {
                    tracing::info!(event = 223, node = %link.node, error = %e, calls = link.pending.borrow().len(), "lost connection to a node");
                }
                *link.connection.borrow_mut() = None;
                link.pinged_at.set(None);
                link.lost_at.set(Some(Instant::now()));
                link.relays.borrow_mut().clear();
                link.asks.borrow_mut().clear();
                link.report_changed.notify_waiters();
            }
            Err(e) => {
                tracing::debug!(event = 224, node = %link.node, error = %e, "failed to connect to a node");
            }
        }
        let since = link.lost_at.get().unwrap_or_else(Instant::now);
        if Instant::now().since(since) > RESUME_TIMEOUT {
            link.end_calls(Cause::LinkLost, |p| p.repeat == Repeat::Idempotent);
        }
        time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
        if !link.pending.borrow().is_empty() {
            backoff = backoff.min(RESUME_TIMEOUT / 2);
        }
    }
    link.end_calls(Cause::LinkLost, |_| true);
}

async fn connect(link: &Link) -> std::io::Result<(FrameReader, FrameWriter)> {
    let opened = async {
        let io = TcpStream::connect(link.address).await?;
        let (mut read, mut write) = frames::split(io)?;
        read.set_budget(link.budget.borrow().clone());
        write.add(&Frame::Hello(link.hello.clone()))?;
        write.flush().await?;
        let hello = read.hello().await?;
        Ok::<_, std::io::Error>(((read, write), hello))
    };
    let opened = time::timeout(CONNECT_TIMEOUT, opened).await;
    let (io, hello) = opened.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    let before = link.incarnation.replace(Some(hello.incarnation));
    if before.is_some_and(|b| b != hello.incarnation) {
        tracing::info!(event = 225, node = %link.node, incarnation = hello.incarnation, calls = link.pending.borrow().len(), "node was restarted");
        link.end_calls(Cause::Restarted, |_| true);
        link.report.set(None);
    }
    Ok(io)
}

/// Exchanges frames over a connection until it fails or is closed.
///
/// Reading and writing don't wait for each other: a write to a node that doesn't read blocks, and the
/// frames of that node must be received meanwhile, or both nodes could wait for each other.
async fn exchange(link: &Link, io: (FrameReader, FrameWriter)) -> std::io::Result<()> {
    let (mut read, mut write) = io;
    let (out, mut queued) = mpsc::unbounded_channel();
    if let Some(reminder) = link.memory.borrow().reminder(Instant::now()) {
        // The receiver isn't dropped before this function returns.
        let _sent = out.send(Frame::Remind(Box::new(reminder)));
    }
    let pending: Vec<Seq> = link.pending.borrow().keys().copied().collect();
    if !pending.is_empty() {
        let _sent = out.send(Frame::Resume(pending));
    }
    link.lost_at.set(None);
    link.connections.set(link.connections.get() + 1);
    *link.connection.borrow_mut() = Some(Connection {
        out,
        activity: write.activity(),
    });
    tracing::info!(event = 226, node = %link.node, "connected to a node");
    let reading = async {
        loop {
            let bytes = read.next().await;
            let bytes = bytes.ok_or(std::io::ErrorKind::UnexpectedEof)??;
            link.receive(frames::decode(&bytes)?)?;
        }
    };
    let writing = async {
        while let Some(frame) = queued.recv().await {
            let mut next = Some(frame);
            while let Some(frame) = next {
                if link.mark_written(&frame) {
                    write.add(&frame)?;
                }
                if write.is_full() {
                    write.flush().await?;
                }
                next = queued.try_recv().ok();
            }
            write.flush().await?;
        }
        Ok(())
    };
    tokio::select! {
        biased;
        ended = reading => ended,
        ended = writing => ended,
        () = link.close_connection.notified() => Err(std::io::ErrorKind::TimedOut.into()),
    }
}
