//! Periodic connection to an HTTP listener of this process.
//!
//! `tiny_http` may queue a new connection for a thread that is about to take another one; the
//! connection then waits until any other is closed, which can be never. Every further connection
//! makes it add a thread or wake one, and that thread serves the queue when its own connection has
//! closed. So a connection that is opened and closed at once bounds the wait.

use std::{io, net, thread, time};

use crossbeam::channel;

/// Interval between two connections, the longest wait of a queued one. Each costs about 0.3 ms of
/// processor time, so an interval of 50 ms took more than 1% of a core for two listeners.
const INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Time for a connection, which the kernel accepts without the listener's help.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Opens connections until it is dropped.
#[derive(Debug)]
pub struct SelfConnector(
    #[expect(dead_code, reason = "dropping it ends the thread")] channel::Sender<()>,
);

impl SelfConnector {
    /// Starts to open connections to a listener.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too many threads.
    pub fn start(addr: net::SocketAddr) -> io::Result<Self> {
        let (stop, stopped) = channel::bounded::<()>(0);
        thread::Builder::new()
            .name("waker".to_owned())
            .spawn(move || {
                while stopped.recv_timeout(INTERVAL) == Err(channel::RecvTimeoutError::Timeout) {
                    // A failure is repeated after the interval.
                    drop(net::TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT));
                }
            })?;
        Ok(Self(stop))
    }
}
