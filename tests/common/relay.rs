//! TCP relays in front of nodes and of the platform's service, for faults of the network.
//!
//! Bytes in a cut direction are held and delivered after the cut is healed, as TCP's retransmission
//! would. A silenced connection delivers nothing any more and is not closed.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};

use super::sockets;

/// End of a connection: a node by its number, or the platform's service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Party {
    Node(usize),
    Platform,
}

/// State of the network.
#[derive(Debug, Clone, Default)]
struct Faults {
    /// Directions in which nothing is delivered.
    cut: HashSet<(Party, Party)>,
    /// Pairs whose connections with a number below this one are silent.
    silent: BTreeMap<(Party, Party), u64>,
    delay: Duration,
    connections: u64,
}

/// Relays of a mesh.
#[derive(Debug)]
pub struct Net {
    runtime: Runtime,
    faults: Arc<watch::Sender<Faults>>,
    relays: BTreeMap<(Party, SocketAddr), AbortHandle>,
    /// Process identifiers of the nodes, by which the dialing end of a connection is known.
    dialers: Arc<watch::Sender<BTreeMap<u32, Party>>>,
}

/// One relayed connection.
#[derive(Debug, Clone, Copy)]
struct Link {
    dialer: Party,
    target: Party,
    number: u64,
}

impl Faults {
    fn holds(&self, from: Party, to: Party, number: u64) -> bool {
        let pair = (from.min(to), from.max(to));
        self.cut.contains(&(from, to)) || self.silent.get(&pair).is_some_and(|n| number < *n)
    }
}

impl Net {
    pub fn start() -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        Self {
            runtime,
            faults: Arc::new(watch::Sender::default()),
            relays: BTreeMap::new(),
            dialers: Arc::new(watch::Sender::default()),
        }
    }

    /// Relays connections to `listen` on to `target`.
    pub fn open(&mut self, listen: SocketAddr, target: SocketAddr, party: Party) {
        let listener = self.runtime.block_on(TcpListener::bind(listen)).unwrap();
        let faults = Arc::clone(&self.faults);
        let dialers = Arc::clone(&self.dialers);
        let task = self
            .runtime
            .spawn(accept(listener, target, party, faults, dialers));
        self.relays.insert((party, listen), task.abort_handle());
    }

    /// Closes the relay to a node that was killed, so that connecting to it is refused.
    pub fn close(&mut self, party: Party) {
        self.relays.retain(|(p, _), task| {
            if *p == party {
                task.abort();
            }
            *p != party
        });
    }

    /// Names the node that a process is.
    pub fn identify(&self, pid: u32, party: Party) {
        self.dialers.send_modify(|d| {
            d.retain(|_, p| *p != party);
            d.insert(pid, party);
        });
    }

    /// Delivers nothing in one direction any more.
    pub fn cut(&self, from: Party, to: Party) {
        self.faults.send_modify(|f| {
            f.cut.insert((from, to));
        });
    }

    /// Silences the connections that are open between two parties; new ones work.
    pub fn silence(&self, a: Party, b: Party) {
        self.faults.send_modify(|f| {
            f.silent.insert((a.min(b), a.max(b)), f.connections);
        });
    }

    /// Delays everything by this time in each direction.
    pub fn delay(&self, delay: Duration) {
        self.faults.send_modify(|f| f.delay = delay);
    }

    /// Ends all cuts and delays. Silent connections stay silent.
    pub fn heal(&self) {
        self.faults.send_modify(|f| {
            f.cut.clear();
            f.delay = Duration::ZERO;
        });
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    party: Party,
    faults: Arc<watch::Sender<Faults>>,
    dialers: Arc<watch::Sender<BTreeMap<u32, Party>>>,
) {
    // Dropped with this task, which closes the relayed connections too.
    let mut links = JoinSet::new();
    loop {
        let Ok((near, dialer_addr)) = listener.accept().await else {
            continue;
        };
        let pids: Vec<u32> = dialers.borrow().keys().copied().collect();
        let lookup = tokio::task::spawn_blocking(move || sockets::owner(dialer_addr, &pids));
        let known = lookup.await.unwrap();
        let Some(dialer) = known.and_then(|pid| dialers.borrow().get(&pid).copied()) else {
            // The dialer has ended or closed the connection already.
            continue;
        };
        let mut number = 0;
        faults.send_modify(|f| {
            number = f.connections;
            f.connections += 1;
        });
        let link = Link {
            dialer,
            target: party,
            number,
        };
        links.spawn(relay(near, target, link, faults.subscribe()));
        while links.try_join_next().is_some() {}
    }
}

async fn relay(
    near: TcpStream,
    target: SocketAddr,
    link: Link,
    mut faults: watch::Receiver<Faults>,
) {
    let opens = |f: &Faults| {
        !f.cut.contains(&(link.dialer, link.target)) && !f.cut.contains(&(link.target, link.dialer))
    };
    if faults.wait_for(opens).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // Without this, small frames wait for acknowledgements and the relay adds 40 ms.
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let back = Link {
        dialer: link.target,
        target: link.dialer,
        number: link.number,
    };
    // A closed end closes the other one, but not while the connection is held.
    tokio::select! {
        () = pump(near_read, far_write, link, faults.clone()) => {}
        () = pump(far_read, near_write, back, faults) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    link: Link,
    mut faults: watch::Receiver<Faults>,
) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let read = from.read(&mut buffer).await;
        let passes = |f: &Faults| !f.holds(link.dialer, link.target, link.number);
        let delay = match faults.wait_for(passes).await {
            Ok(f) => f.delay,
            Err(_) => return,
        };
        let Ok(n @ 1..) = read else { return };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}
