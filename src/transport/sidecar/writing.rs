//! Writes to a connection whose peer may stop reading.
//!
//! A connection that has gone silent takes bytes until the send buffer is full and then blocks its
//! writer, without an error, for as long as the system keeps retransmitting. So a write fails if no
//! room becomes free for a while. Room in a buffer that was full shows that the peer's host still
//! acknowledges bytes; room in a buffer that was never full shows nothing.

use std::io;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time;

/// Writes all bytes. `on_drained` is called whenever the peer's host has made room in a send buffer
/// that was full.
///
/// # Errors
///
/// Returns an error if the connection fails, or `TimedOut` if a full send buffer gets no room for
/// `stall_limit`.
pub async fn write_all(
    io: &TcpStream,
    bytes: &[u8],
    stall_limit: Duration,
    on_drained: impl Fn(),
) -> io::Result<()> {
    let mut left = bytes;
    let mut full = false;
    while !left.is_empty() {
        match io.try_write(left) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => {
                left = &left[n..];
                if std::mem::take(&mut full) {
                    on_drained();
                }
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                full = true;
                let writable = time::timeout(stall_limit, io.writable()).await;
                writable.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            }
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
