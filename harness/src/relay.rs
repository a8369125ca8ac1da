//! TCP relays in front of nodes and the platform's store, which inject network faults.
//!
//! Bytes in a cut direction are held back and delivered after the cut ends, as TCP retransmission
//! would do. A silenced connection delivers nothing more and stays open. A reset connection is closed at
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

/// Size of the read buffer of each direction.
const BUFFER_BYTES: usize = 64 << 10;

/// Endpoint of a connection: a node or the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Party {
    /// Node of the host with this index.
    Node(usize),
    /// Store of the platform.
    Platform,
}

/// Faults that are active in the network.
#[derive(Debug, Clone, Default)]
struct Faults {
    /// Number of cuts for each direction in which nothing is delivered.
    cut: HashMap<(Party, Party), usize>,
    /// Pairs with the number below which their connections are silent.
    silent: BTreeMap<(Party, Party), u64>,
    /// Pairs with the number below which their connections are closed.
    reset: BTreeMap<(Party, Party), u64>,
    /// Delay of each chunk between two parties.
    delays: BTreeMap<(Party, Party), Duration>,
    /// Number of connections accepted so far, which is the number of the next one.
    connections: u64,
}

/// Relays of a mesh and the faults that they inject.
#[derive(Debug)]
pub struct RelayNetwork {
    runtime: Runtime,
    faults: Arc<watch::Sender<Faults>>,
    relays: BTreeMap<(Party, SocketAddr), AbortHandle>,
    /// Nodes by the source address of their connections.
    dialers: BTreeMap<IpAddr, Party>,
}

/// Relayed connection, or one direction of it.
#[derive(Debug, Clone, Copy)]
struct Link {
    dialer: Party,
    target: Party,
    number: u64,
}

impl Faults {
    fn blocks(&self, from: Party, to: Party, number: u64) -> bool {
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

/// How the node that opens a connection is identified.
#[derive(Debug, Clone)]
enum Dialer {
    /// By the source address.
    Address(BTreeMap<IpAddr, Party>),
    /// Every connection comes from this node.
    Fixed(Party),
    /// By the node's name, which occurs in the first bytes that it sends.
    Names(Vec<(String, Party)>),
}

impl RelayNetwork {
    /// Creates a network without relays; `hosts` are the source addresses of the nodes.
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

    /// Opens a relay to a node, which identifies other nodes by their source addresses.
    pub fn open(&mut self, listen: SocketAddr, target: SocketAddr, node: usize) {
        let dialers = Dialer::Address(self.dialers.clone());
        self.relay(listen, target, Party::Node(node), dialers);
    }

    /// Opens a relay to a node, which identifies other nodes by the names in the first bytes they send.
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

    /// Opens a relay from a node to the platform's store.
    pub fn open_platform(&mut self, listen: SocketAddr, target: SocketAddr, node: usize) {
        self.relay(
            listen,
            target,
            Party::Platform,
            Dialer::Fixed(Party::Node(node)),
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

    /// Closes the relays to a killed node, so that connections to it are refused.
    pub fn close(&mut self, party: Party) {
        self.relays.retain(|(p, _), task| {
            if *p == party {
                task.abort();
            }
            *p != party
        });
    }

    /// Blocks one direction until `restore` or `restore_all`; cuts of the same direction add up.
    pub fn cut(&self, from: Party, to: Party) {
        self.faults.send_modify(|f| {
            *f.cut.entry((from, to)).or_default() += 1;
        });
    }

    /// Silences the open connections between two parties; new connections work.
    pub fn silence(&self, a: Party, b: Party) {
        self.faults.send_modify(|f| {
            f.silent.insert((a.min(b), a.max(b)), f.connections);
        });
    }

    /// Closes the open connections between two parties.
    pub fn reset(&self, a: Party, b: Party) {
        self.faults.send_modify(|f| {
            f.reset.insert((a.min(b), a.max(b)), f.connections);
        });
    }

    /// Delays each chunk between two parties; a zero delay ends the fault.
    pub fn delay(&self, a: Party, b: Party, time: Duration) {
        self.faults.send_modify(|f| {
            f.delays.insert((a.min(b), a.max(b)), time);
        });
    }

    /// Ends one cut of a direction; bytes pass once all its cuts have ended.
    pub fn restore(&self, from: Party, to: Party) {
        self.faults.send_modify(|f| {
            let remaining = f.cut.get(&(from, to)).map_or(0, |n| n - 1);
            if remaining == 0 {
                f.cut.remove(&(from, to));
            } else {
                f.cut.insert((from, to), remaining);
            }
        });
    }

    /// Ends all cuts. Silent connections stay silent.
    pub fn restore_all(&self) {
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
    // Dropped with this task, which also closes the relayed connections.
    let mut links = JoinSet::new();
    loop {
        let Ok((inbound, from)) = listener.accept().await else {
            continue;
        };
        let mut number = 0;
        faults.send_modify(|f| {
            number = f.connections;
            f.connections += 1;
        });
        let (dialer, faults) = (dialer.clone(), faults.subscribe());
        links.spawn(async move {
            let mut inbound = inbound;
            let Some((dialer, first)) = dialer.identify(&mut inbound, from.ip()).await else {
                return;
            };
            let link = Link {
                dialer,
                target: party,
                number,
            };
            relay(inbound, target, link, &first, faults).await;
        });
        while links.try_join_next().is_some() {}
    }
}

impl Dialer {
    /// Identifies the node that opened a connection, and returns the bytes that were read to do so;
    /// `None` if the connection was closed before.
    async fn identify(&self, inbound: &mut TcpStream, from: IpAddr) -> Option<(Party, Vec<u8>)> {
        match self {
            Self::Fixed(party) => Some((*party, Vec::new())),
            Self::Address(dialers) => {
                let party = dialers.get(&from).copied();
                let party = party.unwrap_or_else(|| panic!("{from} is not a node of the mesh"));
                Some((party, Vec::new()))
            }
            Self::Names(names) => {
                let mut first = Vec::new();
                loop {
                    let mut chunk = vec![0; BUFFER_BYTES];
                    let n = inbound.read(&mut chunk).await.ok().filter(|n| *n > 0)?;
                    first.extend_from_slice(&chunk[..n]);
                    let contains =
                        |name: &str| first.windows(name.len()).any(|w| w == name.as_bytes());
                    if let Some((_, party)) = names.iter().find(|(name, _)| contains(name)) {
                        return Some((*party, first));
                    }
                }
            }
        }
    }
}

async fn relay(
    inbound: TcpStream,
    target: SocketAddr,
    link: Link,
    first: &[u8],
    mut faults: watch::Receiver<Faults>,
) {
    let is_open = |f: &Faults| {
        !f.cut.contains_key(&(link.dialer, link.target))
            && !f.cut.contains_key(&(link.target, link.dialer))
    };
    if faults.wait_for(is_open).await.is_err() {
        return;
    }
    let Ok(mut outbound) = TcpStream::connect(target).await else {
        return;
    };
    // Nagle's algorithm would hold small frames until an acknowledgement and add 40 ms.
    if inbound.set_nodelay(true).is_err() || outbound.set_nodelay(true).is_err() {
        return;
    }
    if outbound.write_all(first).await.is_err() {
        return;
    }
    let mut resets = faults.clone();
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    let back = Link {
        dialer: link.target,
        target: link.dialer,
        number: link.number,
    };
    // Closing one end closes the other one, but not while the connection is blocked.
    tokio::select! {
        () = pump(inbound_read, outbound_write, link, faults.clone()) => {}
        () = pump(outbound_read, inbound_write, back, faults) => {}
        _ = resets.wait_for(|f| f.resets(link)) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    link: Link,
    mut faults: watch::Receiver<Faults>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        let passes = |f: &Faults| !f.blocks(link.dialer, link.target, link.number);
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
