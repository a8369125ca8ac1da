//! Signs that the other host of a connection is reachable.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::OwnedReadHalf;

use crate::state::clock::Instant;

/// Time of the last sign that the other host is reachable, shared by both halves of a connection.
#[derive(Debug, Clone)]
pub struct Activity(Rc<Cell<Instant>>);

impl Activity {
    /// Creates an activity with a sign at this moment.
    #[must_use]
    pub fn start() -> Self {
        Self(Rc::new(Cell::new(Instant::now())))
    }

    /// Records a sign.
    pub fn record(&self) {
        self.0.set(Instant::now());
    }

    /// Returns when bytes were last received, or room last became free in a full send buffer.
    #[must_use]
    pub fn last(&self) -> Instant {
        self.0.get()
    }
}

/// Byte stream of a connection's read half, which records its activity.
#[derive(Debug)]
pub struct ActiveRead {
    io: OwnedReadHalf,
    activity: Activity,
}

impl ActiveRead {
    /// Creates the stream of a read half.
    #[must_use]
    pub fn new(io: OwnedReadHalf, activity: Activity) -> Self {
        Self { io, activity }
    }
}

impl AsyncRead for ActiveRead {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let read = Pin::new(&mut this.io).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            this.activity.record();
        }
        read
    }
}
