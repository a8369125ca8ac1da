//! Stream wrapper that counts the bytes sent and received.
//!
//! The budget for control traffic is stated in bytes per second on the network, so bytes are
//! counted below the codec. Each successful write counts as one packet, from which the overhead of
//! packet headers is estimated.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use prometheus::{IntCounter, IntCounterVec};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Traffic counters, shared by all peer connections.
#[derive(Debug, Clone)]
pub struct Traffic {
    sent: IntCounter,
    received: IntCounter,
    writes: IntCounter,
}

impl From<&IntCounterVec> for Traffic {
    /// Selects the counters from a vector whose only label is `direction`.
    fn from(counters: &IntCounterVec) -> Self {
        Self {
            sent: counters.with_label_values(&["sent_bytes"]),
            received: counters.with_label_values(&["received_bytes"]),
            writes: counters.with_label_values(&["writes"]),
        }
    }
}

/// Stream that adds its traffic to the shared counters.
#[derive(Debug)]
pub struct CountingStream<S> {
    inner: S,
    traffic: Traffic,
}

impl<S> CountingStream<S> {
    /// Wraps a stream.
    pub const fn new(inner: S, traffic: Traffic) -> Self {
        Self { inner, traffic }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.traffic.received.inc_by(read as u64);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = result {
            self.traffic.sent.inc_by(written as u64);
            self.traffic.writes.inc();
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
