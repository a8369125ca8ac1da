//! Calls between two nodes whose connection fails.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use filbertflow::protocol::mesh::{
    BackendInfo, Call, Cause, Failure, Frame, Hello, HolderRates, Items, Load, Outcome, Response,
    StoreRequest, StoreResponse,
};
use filbertflow::state::clock::Instant;
use filbertflow::state::routes::{Repeat, RouteId};
use filbertflow::transport::sidecar::frames;
use filbertflow::transport::sidecar::links::{self, Link};
use filbertflow::transport::sidecar::peer_server::{Handler, Job, PeerServer};
use futures::StreamExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::{io, runtime, task, time};

/// Handler that answers each call after the time in its `left_ms`.
#[derive(Default)]
pub struct Slow {
    pub begun: Cell<usize>,
    pub ended: Rc<Cell<usize>>,
}

impl Handler for Slow {
    fn start_call(&self, call: Call) -> Job {
        self.begun.set(self.begun.get() + 1);
        let ended = Rc::clone(&self.ended);
        let started = Rc::new(Cell::new(true));
        let repeat = call.repeat;
        let outcome = Box::pin(async move {
            time::sleep(Duration::from_millis(call.left_ms.into())).await;
            ended.set(ended.get() + 1);
            Outcome::Answered(Response {
                status: 200,
                headers: Vec::new(),
                body: call.body,
            })
        });
        Job {
            outcome,
            started,
            repeat,
        }
    }

    fn about(&self) -> BackendInfo {
        BackendInfo::default()
    }

    fn load(&self) -> Load {
        Load {
            slots: 18,
            ..Load::default()
        }
    }

    fn items(&self, _after: u64) -> Items {
        self.config()
    }

    fn config(&self) -> Items {
        Items {
            whole: false,
            since: 0,
            as_of: 0,
            items: Vec::new(),
        }
    }

    fn record_delay(&self, _late: Duration) {}

    fn receive_rates(&self, _heat: HolderRates) {}

    fn relay(&self, request: StoreRequest) -> Pin<Box<dyn Future<Output = Option<StoreResponse>>>> {
        let StoreRequest { method, body, .. } = request;
        Box::pin(async move {
            if method == "slow" {
                time::sleep(Duration::from_millis(150)).await;
            }
            Some(StoreResponse { status: 200, body })
        })
    }
}

pub fn hello(node: &str, incarnation: u64) -> Hello {
    Hello {
        node: node.to_owned(),
        incarnation,
        domain: "d".to_owned(),
    }
}

pub fn call(repeat: Repeat, run_ms: u32) -> Call {
    Call {
        id: "1".to_owned(),
        service: "s".to_owned(),
        origin: "o".to_owned(),
        route: RouteId(1),
        repeat,
        priority: 1,
        objective_ms: 100,
        key: None,
        left_ms: run_ms,
        aim_ms: 0,
        sent_ms: 0,
        method: "GET".to_owned(),
        target: "/".to_owned(),
        headers: Vec::new(),
        body: b"whole".to_vec(),
    }
}

/// Node behind a relay whose connections can be cut, and a link to it.
pub struct World {
    pub service: Rc<Slow>,
    pub node: SocketAddr,
    relayed: Rc<RefCell<Vec<task::AbortHandle>>>,
    link: Rc<Link>,
    accept: task::AbortHandle,
}

impl World {
    async fn start() -> Self {
        let service = Rc::new(Slow::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let node = listener.local_addr().unwrap();
        let accept = serve(&service, listener, 1);
        let front = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = front.local_addr().unwrap();
        let relayed = Rc::new(RefCell::new(Vec::new()));
        let handles = Rc::clone(&relayed);
        task::spawn_local(async move {
            loop {
                let (mut near, _) = front.accept().await.unwrap();
                let relay = task::spawn_local(async move {
                    let mut far = TcpStream::connect(node).await.unwrap();
                    // Either side may close the connection.
                    let _ended = io::copy_bidirectional(&mut near, &mut far).await;
                });
                handles.borrow_mut().push(relay.abort_handle());
            }
        });
        let link = Link::start(
            address,
            "d",
            hello("a", 1),
            Rc::new(Notify::new()),
            Rc::new(|_, _| ()),
        );
        let world = Self {
            service,
            node,
            relayed,
            link,
            accept,
        };
        world.up().await;
        world
    }

    async fn up(&self) {
        while self.link.report().is_none() {
            time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn cut(&self) {
        for relay in self.relayed.borrow_mut().drain(..) {
            relay.abort();
        }
    }
}

fn serve(service: &Rc<Slow>, listener: TcpListener, incarnation: u64) -> task::AbortHandle {
    let service = Rc::clone(service) as Rc<dyn Handler>;
    let peers = PeerServer::new(service, hello("b", incarnation));
    task::spawn_local(peers.accept(listener)).abort_handle()
}

pub fn run<F: Future<Output = ()>>(test: impl FnOnce(World) -> F) {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    task::LocalSet::new().block_on(&runtime, async { test(World::start().await).await });
}

fn answered() -> Outcome {
    Outcome::Answered(Response {
        status: 200,
        headers: Vec::new(),
        body: b"whole".to_vec(),
    })
}

macro_rules! survives {
    ($($(#[$doc:meta])* $name:ident: $repeat:ident, $run_ms:literal, cut after $cut:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run(|world| async move {
                let flight = world.link.call(call(Repeat::$repeat, $run_ms)).unwrap();
                let cut = async {
                    time::sleep(Duration::from_millis($cut)).await;
                    world.cut();
                };
                let (outcome, ()) = tokio::join!(flight.outcome(), cut);
                assert_eq!(outcome, answered());
                assert_eq!(world.service.begun.get(), 1);
            });
        }
    )*};
}

survives! {
    /// Guards against an unknown outcome of a non-idempotent call after a connection reset.
    once_over_a_reset: Once, 200, cut after 50;
    /// Guards against the loss of an outcome that became available while there was no connection.
    once_ready_in_between: Once, 60, cut after 50;
    /// Guards against an unnecessary retry of an idempotent call after a connection reset.
    idempotent_over_a_reset: Idempotent, 200, cut after 50;
}

/// Guards against a call reported as not run after a restart of the node that was running it.
#[test]
fn restart_leaves_the_outcome_unknown() {
    run(|world| async move {
        let flight = world.link.call(call(Repeat::Once, 400)).unwrap();
        let restart = async {
            time::sleep(Duration::from_millis(50)).await;
            world.accept.abort();
            time::sleep(Duration::from_millis(10)).await;
            world.cut();
            let listener = TcpListener::bind(world.node).await.unwrap();
            serve(&world.service, listener, 2);
        };
        let (outcome, ()) = tokio::join!(flight.outcome(), restart);
        assert_eq!(
            outcome,
            Outcome::Unknown(Failure::after_send(Cause::Restarted))
        );
    });
}

/// Guards against a call that is queued for an unreachable node and waits in vain.
#[test]
fn no_connection_no_call() {
    run(|world| async move {
        world.accept.abort();
        time::sleep(Duration::from_millis(10)).await;
        world.cut();
        time::sleep(Duration::from_millis(50)).await;
        assert!(world.link.call(call(Repeat::Once, 10)).is_none());
    });
}

/// Guards against an idempotent call that keeps running after its remote caller has disconnected.
#[test]
fn dropped_call_is_cancelled() {
    run(|world| async move {
        let flight = world.link.call(call(Repeat::Idempotent, 200)).unwrap();
        time::sleep(Duration::from_millis(50)).await;
        assert_eq!(world.service.begun.get(), 1);
        drop(flight);
        time::sleep(Duration::from_millis(300)).await;
        assert_eq!(world.service.ended.get(), 0);
    });
}

/// Guards against a non-idempotent call that is aborted because its caller has disconnected.
#[test]
fn dropped_call_that_runs_once_goes_on() {
    run(|world| async move {
        let flight = world.link.call(call(Repeat::Once, 100)).unwrap();
        time::sleep(Duration::from_millis(50)).await;
        drop(flight);
        time::sleep(Duration::from_millis(150)).await;
        assert_eq!(world.service.ended.get(), 1);
    });
}

/// Guards against running an expired call: a congested link delivers a frame two seconds late, when
/// its caller has already disconnected.
#[test]
fn call_that_was_long_on_its_way_is_not_run() {
    run(|world| async move {
        let io = TcpStream::connect(world.node).await.unwrap();
        let (mut read, mut write) = frames::split(io).unwrap();
        write.add(&Frame::Hello(hello("c", 1))).unwrap();
        for (seq, sent_ms) in [(1, 10_000), (2, 8_000)] {
            let call = Call {
                sent_ms,
                ..call(Repeat::Once, 100)
            };
            write.add(&Frame::Call(seq, Box::new(call))).unwrap();
        }
        write.flush().await.unwrap();
        let mut outcomes = Vec::new();
        while outcomes.len() < 2 {
            let bytes = read.next().await.unwrap().unwrap();
            if let Frame::Reply(seq, outcome) = frames::decode(&bytes).unwrap() {
                outcomes.push((seq, *outcome));
            }
        }
        let late = Outcome::NotRun(Failure::before_send(Cause::Expired, 0));
        assert_eq!(outcomes, [(2, late), (1, answered())]);
        assert_eq!(world.service.begun.get(), 1);
    });
}

/// Guards against sending calls whose callers have disconnected while the connection was blocked.
#[test]
fn call_dropped_before_it_is_written_is_not_sent() {
    run(|world| async move {
        // Nothing is written before this task waits.
        drop(world.link.call(call(Repeat::Once, 10)).unwrap());
        time::sleep(Duration::from_millis(100)).await;
        assert_eq!(world.service.begun.get(), 0);
    });
}

/// Guards against waiting forever on a connection that was accepted but never answers.
#[test]
fn silent_connection_is_given_up() {
    run(|world| async move {
        // Stops answering, but keeps the connection open.
        world.accept.abort();
        let relayed: Vec<_> = world.relayed.borrow_mut().drain(..).collect();
        let front = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let silent = front.local_addr().unwrap();
        task::spawn_local(async move {
            let mut kept = Vec::new();
            loop {
                kept.push(front.accept().await.unwrap());
            }
        });
        let link = Link::start(
            silent,
            "d",
            hello("a", 1),
            Rc::new(Notify::new()),
            Rc::new(|_, _| ()),
        );
        time::sleep(Duration::from_millis(900)).await;
        assert!(
            !link.is_connected(),
            "a node that never says hello is not connected"
        );
        drop(relayed);
    });
}

/// Guards against running calls of a node's previous process, whose outcomes nobody awaits.
#[test]
fn restarted_caller_ends_its_earlier_calls() {
    run(|world| async move {
        let connect = async |incarnation| {
            let io = TcpStream::connect(world.node).await.unwrap();
            let (read, mut write) = frames::split(io).unwrap();
            write.add(&Frame::Hello(hello("c", incarnation))).unwrap();
            (read, write)
        };
        let (_read, mut write) = connect(1).await;
        let wanted = call(Repeat::Idempotent, 300);
        write.add(&Frame::Call(1, Box::new(wanted))).unwrap();
        write.flush().await.unwrap();
        time::sleep(Duration::from_millis(50)).await;
        assert_eq!(world.service.begun.get(), 1);
        let (_read, mut write) = connect(2).await;
        write.flush().await.unwrap();
        time::sleep(Duration::from_millis(400)).await;
        assert_eq!(world.service.ended.get(), 0);
    });
}

/// Guards against keeping a connection that goes silent after it has been used.
#[test]
fn connection_that_falls_silent_is_given_up() {
    run(|_world| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        task::spawn_local(async move {
            let (io, _) = listener.accept().await.unwrap();
            let (mut read, mut write) = frames::split(io).unwrap();
            write.add(&Frame::Hello(hello("b", 1))).unwrap();
            write.add(&Frame::Load(Load::default())).unwrap();
            write.flush().await.unwrap();
            while read.next().await.is_some() {}
        });
        let news = Rc::new(Notify::new());
        let link = Link::start(address, "d", hello("a", 1), news, Rc::new(|_, _| ()));
        while link.report().is_none() {
            time::sleep(Duration::from_millis(5)).await;
        }
        let silent = Instant::now();
        while link.is_connected() {
            time::sleep(links::SILENCE_CHECK_INTERVAL).await;
            link.check_silence(Instant::now());
            let silence = Instant::now().since(silent);
            assert!(silence < Duration::from_secs(4), "{silence:?}");
        }
    });
}

/// Guards against store calls that can't be relayed through another node.
#[test]
fn store_call_is_relayed() {
    run(|world| async move {
        let request = StoreRequest {
            method: "GET".to_owned(),
            target: "/".to_owned(),
            body: b"item".to_vec(),
        };
        let response = world.link.relay(request, Duration::from_secs(1)).await;
        assert_eq!(response.unwrap().body, b"item");
    });
}

/// Guards against a link that fails permanently when a node sends items that change its own failure
/// domain.
#[test]
fn items_may_change_their_sender() {
    run(|world| async move {
        let link: Rc<RefCell<Option<Rc<Link>>>> = Rc::default();
        let taken = Rc::new(Cell::new(0));
        let (known, count) = (Rc::clone(&link), Rc::clone(&taken));
        let take = move |domain: &str, _items| {
            let link: Rc<Link> = known.borrow().clone().unwrap();
            format!("{domain}2").clone_into(&mut link.domain.borrow_mut());
            count.set(count.get() + 1);
        };
        let news = Rc::new(Notify::new());
        let made = Link::start(world.node, "d", hello("c", 1), news, Rc::new(take));
        *link.borrow_mut() = Some(Rc::clone(&made));
        while made.report().is_none() {
            time::sleep(Duration::from_millis(5)).await;
        }
        for _ in 0..2 {
            made.send(Frame::WantConfig);
            time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(taken.get(), 2);
        assert_eq!(*made.domain.borrow(), "d22");
    });
}
