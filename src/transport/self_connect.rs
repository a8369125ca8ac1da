//! Periodic connections to this process's own HTTP listeners.
//!
//! `tiny_http` may queue a new connection for a worker thread that is about to take another one. The
//! queued connection then waits until some other connection closes, which may never happen. Each
//! further connection makes `tiny_http` add or wake a thread, which serves the queue once its own
//! connection has closed. Opening and closing a connection periodically therefore bounds the wait.

use std::{io, net, thread, time};

use crossbeam::channel;

/// Interval between connections, and so the longest wait of a queued one. A connection costs about
/// 0.3 ms of CPU time: an interval of 50 ms used more than 1% of a core for two listeners.
const INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Connect timeout. The kernel completes the handshake without the listener's involvement.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Opens a connection at each interval until dropped.
#[derive(Debug)]
pub struct SelfConnector(
    #[expect(dead_code, reason = "dropping the sender ends the thread")] channel::Sender<()>,
);

impl SelfConnector {
    /// Starts connecting to a listener.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn start(addr: net::SocketAddr) -> io::Result<Self> {
        let (stop, stopped) = channel::bounded::<()>(0);
        thread::Builder::new()
            .name("waker".to_owned())
            .spawn(move || {
                while stopped.recv_timeout(INTERVAL) == Err(channel::RecvTimeoutError::Timeout) {
                    // On failure the next interval tries again.
                    drop(net::TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT));
                }
            })?;
        Ok(Self(stop))
    }
}
