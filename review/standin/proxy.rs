//! Proxy in front of a sidecar's address for other machines. Connections through it can go silent.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// Segment size of an Ethernet link; loopback has 64 KiB, which makes all buffers much larger.
const SEGMENT_BYTES: i32 = 1460;

/// Receive buffer of the proxy, for the small windows of the deployments' links.
const WINDOW_BYTES: i32 = 32 * 1024;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
}

fn set_option(socket: &impl AsRawFd, level: i32, name: i32, value: i32) {
    // SAFETY: the descriptor is open, and the value outlives the call.
    unsafe { setsockopt(socket.as_raw_fd(), level, name, &raw const value, 4) };
}

/// Running proxy.
#[derive(Clone, Default)]
pub struct Proxy {
    /// Number of connections accepted so far.
    accepted: Arc<AtomicUsize>,
    /// Connections with a smaller number are silent.
    silent: Arc<AtomicUsize>,
}

impl Proxy {
    pub fn start(address: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        set_option(&listener, IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES);
        set_option(&listener, SOL_SOCKET, SO_RCVBUF, WINDOW_BYTES);
        let proxy = Self::default();
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let number = accepting.accepted.fetch_add(1, Ordering::Relaxed);
                let Ok(server) = TcpStream::connect(to) else {
                    continue;
                };
                accepting.forward(number, &client, &server);
                accepting.forward(number, &server, &client);
            }
        });
        Ok(proxy)
    }

    /// Returns how many connections were accepted so far.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Makes the present connections silent for good; new ones work.
    pub fn silence(&self) {
        self.silent.store(self.accepted(), Ordering::Relaxed);
    }

    fn forward(&self, number: usize, from: &TcpStream, to: &TcpStream) {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        // Without the delays of Nagle's algorithm and of acknowledgements.
        let (_first, _second) = (from.set_nodelay(true), to.set_nodelay(true));
        let silent = Arc::clone(&self.silent);
        let is_silent = move || number < silent.load(Ordering::Relaxed);
        thread::spawn(move || {
            let mut buffer = [0; 16 * 1024];
            loop {
                let read = from.read(&mut buffer).unwrap_or(0);
                while is_silent() {
                    thread::sleep(Duration::from_secs(1));
                }
                if read == 0 || to.write_all(&buffer[..read]).is_err() {
                    // Fails if the other side has closed the connection already.
                    let _closed = to.shutdown(std::net::Shutdown::Both);
                    return;
                }
            }
        });
    }
}
