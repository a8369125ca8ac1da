//! TCP relays in front of nodes and of the platform's service, for faults of the network.
//!
//! Bytes in a cut direction are held and delivered after the cut is healed, as TCP's retransmission
//! would. A silenced connection delivers nothing any more and is not closed. A reset one is closed at
//! both ends.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time;

/// Bytes read at a time.
const CHUNK: usize = 64 << 10;

/// End of a connection: a node by its number, or the platform's service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Party {
    /// Node of the host with this number.
    Node(usize),
    /// Platform's service.
    Platform,
}

/// State of the network.
#[derive(Debug, Clone, Default)]
struct Faults {
    /// Directions in which nothing is delivered, with the number of cuts that say so.
    cut: HashMap<(Party, Party), usize>,
    /// Pairs whose connections with a number below this one are silent.
    silent: BTreeMap<(Party, Party), u64>,
    /// Pairs whose connections with a number below this one are closed.
    reset: BTreeMap<(Party, Party), u64>,
    /// Delay of each piece between two parties.
    delays: BTreeMap<(Party, Party), Duration>,
    connections: u64,
}

/// Relays of a mesh.
#[derive(Debug)]
pub struct Net {
    runtime: Runtime,
    faults: Arc<watch::Sender<Faults>>,
    relays: BTreeMap<(Party, SocketAddr), AbortHandle>,
    /// Nodes by the address from which they open connections.
    dialers: BTreeMap<IpAddr, Party>,
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
        self.cut.contains_key(&(from, to)) || self.silent.get(&pair).is_some_and(|n| number < *n)
    }

    fn resets(&self, link: Link) -> bool {
        let pair = link.pair();
        self.reset.get(&pair).is_some_and(|n| link.number < *n)
    }
}

impl Link {
    fn pair(self) -> (Party, Party) {
        (self.dialer.min(self.target), self.dialer.max(self.target))
    }
}

/// How the node that opens a connection is known.
#[derive(Debug, Clone)]
enum Dialer {
    /// By the address from which it comes.
    Address(BTreeMap<IpAddr, Party>),
    /// It is always the same.
    Is(Party),
    /// By its name, which is in the first bytes.
    Names(Vec<(String, Party)>),
}

impl Net {
    /// Starts without relays; `hosts` are the addresses of the nodes.
    pub fn start(hosts: &[IpAddr]) -> Self {
        let parties = (0..).map(Party::Node);
        let dialers = hosts.iter().copied().zip(parties).collect();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("the runtime can be started");
        Self {
            runtime,
            faults: Arc::new(watch::Sender::default()),
            relays: BTreeMap::new(),
            dialers,
        }
    }

    /// Relays connections to a node on to the address at which it listens.
    pub fn open(&mut self, listen: SocketAddr, target: SocketAddr, node: usize) {
        let dialers = Dialer::Address(self.dialers.clone());
        self.relay(listen, target, Party::Node(node), dialers);
    }

    /// Relays connections to a node on, from nodes that begin with their names.
    pub fn open_named(
        &mut self,
        listen: SocketAddr,
        target: SocketAddr,
        node: usize,
        names: &[String],
    ) {
        let parties = (0..).map(Party::Node);
        let names = names.iter().cloned().zip(parties).collect();
        self.relay(listen, target, Party::Node(node), Dialer::Names(names));
    }

    /// Relays connections of a node on to the platform's service.
    pub fn open_platform(&mut self, listen: SocketAddr, target: SocketAddr, node: usize) {
        self.relay(
            listen,
            target,
            Party::Platform,
            Dialer::Is(Party::Node(node)),
        );
    }

    fn relay(&mut self, listen: SocketAddr, target: SocketAddr, party: Party, dialer: Dialer) {
        let listener = self
            .runtime
            .block_on(TcpListener::bind(listen))
            .expect("the address was free a moment ago");
        let faults = Arc::clone(&self.faults);
        let task = self
            .runtime
            .spawn(accept(listener, target, party, faults, dialer));
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

    /// Delivers nothing in one direction any more.
    pub fn cut(&self, from: Party, to: Party) {
        self.faults.send_modify(|f| {
            *f.cut.entry((from, to)).or_default() += 1;
        });
    }

    /// Silences the connections that are open between two parties; new ones work.
    pub fn silence(&self, a: Party, b: Party) {
        self.faults.send_modify(|f| {
            f.silent.insert((a.min(b), a.max(b)), f.connections);
        });
    }

    /// Closes the connections that are open between two parties.
    pub fn reset(&self, a: Party, b: Party) {
        self.faults.send_modify(|f| {
            f.reset.insert((a.min(b), a.max(b)), f.connections);
        });
    }

    /// Delays each piece between two parties; no time ends the delay.
    pub fn delay(&self, a: Party, b: Party, time: Duration) {
        self.faults.send_modify(|f| {
            f.delays.insert((a.min(b), a.max(b)), time);
        });
    }

    /// Ends one cut in one direction; bytes pass when all have ended.
    pub fn join(&self, from: Party, to: Party) {
        self.faults.send_modify(|f| {
            let left = f.cut.get(&(from, to)).map_or(0, |n| n - 1);
            if left == 0 {
                f.cut.remove(&(from, to));
            } else {
                f.cut.insert((from, to), left);
            }
        });
    }

    /// Ends all cuts. Silent connections stay silent.
    pub fn heal(&self) {
        self.faults.send_modify(|f| f.cut.clear());
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    party: Party,
    faults: Arc<watch::Sender<Faults>>,
    dialer: Dialer,
) {
    // Dropped with this task, which closes the relayed connections too.
    let mut links = JoinSet::new();
    loop {
        let Ok((near, from)) = listener.accept().await else {
            continue;
        };
        let mut number = 0;
        faults.send_modify(|f| {
            number = f.connections;
            f.connections += 1;
        });
        let (dialer, faults) = (dialer.clone(), faults.subscribe());
        links.spawn(async move {
            let mut near = near;
            let Some((dialer, first)) = dialer.find(&mut near, from.ip()).await else {
                return;
            };
            let link = Link {
                dialer,
                target: party,
                number,
            };
            relay(near, target, link, &first, faults).await;
        });
        while links.try_join_next().is_some() {}
    }
}

impl Dialer {
    /// Returns the node that opened a connection, and the bytes that were read to know it; `None` if
    /// it closed the connection before.
    async fn find(&self, near: &mut TcpStream, from: IpAddr) -> Option<(Party, Vec<u8>)> {
        match self {
            Self::Is(party) => Some((*party, Vec::new())),
            Self::Address(dialers) => {
                let party = dialers.get(&from).copied();
                let party = party.unwrap_or_else(|| panic!("{from} is no node of the mesh"));
                Some((party, Vec::new()))
            }
            Self::Names(names) => {
                let mut first = Vec::new();
                loop {
                    let mut chunk = vec![0; CHUNK];
                    let n = near.read(&mut chunk).await.ok().filter(|n| *n > 0)?;
                    first.extend_from_slice(&chunk[..n]);
                    let stands =
                        |name: &str| first.windows(name.len()).any(|w| w == name.as_bytes());
                    if let Some((_, party)) = names.iter().find(|(name, _)| stands(name)) {
                        return Some((*party, first));
                    }
                }
            }
        }
    }
}

async fn relay(
    near: TcpStream,
    target: SocketAddr,
    link: Link,
    first: &[u8],
    mut faults: watch::Receiver<Faults>,
) {
    let opens = |f: &Faults| {
        !f.cut.contains_key(&(link.dialer, link.target))
            && !f.cut.contains_key(&(link.target, link.dialer))
    };
    if faults.wait_for(opens).await.is_err() {
        return;
    }
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    // Without this, small frames wait for acknowledgements and the relay adds 40 ms.
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    if far.write_all(first).await.is_err() {
        return;
    }
    let mut resets = faults.clone();
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
        _ = resets.wait_for(|f| f.resets(link)) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    link: Link,
    mut faults: watch::Receiver<Faults>,
) {
    let mut buffer = vec![0; CHUNK];
    loop {
        let read = from.read(&mut buffer).await;
        let passes = |f: &Faults| !f.holds(link.dialer, link.target, link.number);
        if faults.wait_for(passes).await.is_err() {
            return;
        }
        let Ok(n @ 1..) = read else { return };
        let delay = faults.borrow().delays.get(&link.pair()).copied();
        if let Some(delay) = delay.filter(|d| !d.is_zero()) {
            time::sleep(delay).await;
        }
        if to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}
