//! Calls between two nodes whose connection fails.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use filbertflow::protocol::http::Header;
use filbertflow::protocol::mesh::{
    BackendInfo, Call, Cause, Claim, CrashReport, EvacuationSet, Failure, Frame, Hello,
    HolderRates, Items, Load, Outcome, Permission, PermitRequest, Reminder, Response, StoreRequest,
    StoreResponse,
};
use filbertflow::state::clock::Instant;
use filbertflow::state::routes::{Repeat, RouteId};
use filbertflow::state::store_revision::{Era, Revision};
use filbertflow::transport::sidecar::frames;
use filbertflow::transport::sidecar::links::{self, Link};
use filbertflow::transport::sidecar::peer_server::{Handler, Job, PeerServer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::{io, runtime, task, time};

/// Handler that responds to each call after the time in its `left_ms`, or after `run_time` if it is set.
#[derive(Default)]
pub struct DelayHandler {
    pub run_time: Cell<Option<Duration>>,
    /// Whether a response has a header with the target of its call.
    pub echoes_target: Cell<bool>,
    pub started_calls: Cell<usize>,
    pub completed_calls: Rc<Cell<usize>>,
}

impl Handler for DelayHandler {
    fn start_call(&self, call: Call) -> Job {
        self.started_calls.set(self.started_calls.get() + 1);
        let completed_calls = Rc::clone(&self.completed_calls);
        let started = Rc::new(Cell::new(true));
        let repeat = call.repeat;
        let left = Duration::from_millis(call.left_ms.into());
        let run_time = self.run_time.get().unwrap_or(left);
        let echo = Header::new("target", call.target);
        let headers = Vec::from_iter(self.echoes_target.get().then_some(echo));
        let outcome = Box::pin(async move {
            time::sleep(run_time).await;
            completed_calls.set(completed_calls.get() + 1);
            Outcome::Answered(Response {
                status: 200,
                headers,
                body: call.body,
            })
        });
        Job {
            outcome,
            started,
            repeat,
        }
    }

    fn backend_info(&self) -> BackendInfo {
        BackendInfo::default()
    }

    fn load(&self) -> Load {
        Load {
            slots: 18,
            ..Load::default()
        }
    }

    fn items(&self, _after: Revision) -> Items {
        self.config()
    }

    fn config(&self) -> Items {
        Items {
            whole: false,
            since: Revision::default(),
            as_of: Revision::default(),
            items: Vec::new(),
        }
    }

    fn record_delay(&self, _delay: Duration) {}

    fn receive_rates(&self, _rates: HolderRates) {}

    fn receive_crashes(&self, _reports: Vec<CrashReport>) {}

    fn decide(&self, _request: PermitRequest) -> Permission {
        Permission::Granted
    }

    fn receive_claim(&self, _claim: Claim) {}

    fn evacuations(&self) -> Option<EvacuationSet> {
        Some(EvacuationSet {
            as_of: Revision::new(Era(0), 9),
            domains: Vec::new(),
        })
    }

    fn receive_evacuations(&self, _set: EvacuationSet) {}

    fn recall(&self, _reminder: Reminder) {}

    fn relay(&self, request: StoreRequest) -> Pin<Box<dyn Future<Output = Option<StoreResponse>>>> {
        let StoreRequest { method, body, .. } = request;
        Box::pin(async move {
            if method == "slow" {
                time::sleep(Duration::from_millis(150)).await;
            }
            Some(StoreResponse {
                status: 200,
                body,
                era: None,
            })
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
        body: b"whole".to_vec().into(),
        nested: false,
    }
}

/// Node behind a relay whose connections can be cut, and a link to it.
pub struct Fixture {
    pub handler: Rc<DelayHandler>,
    pub node: SocketAddr,
    relayed: Rc<RefCell<Vec<task::AbortHandle>>>,
    pub link: Rc<Link>,
    accept: task::AbortHandle,
}

impl Fixture {
    async fn start() -> Self {
        let handler = Rc::new(DelayHandler::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let node = listener.local_addr().unwrap();
        let accept = serve(&handler, listener, 1);
        let front = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = front.local_addr().unwrap();
        let relayed = Rc::new(RefCell::new(Vec::new()));
        let relay_tasks = Rc::clone(&relayed);
        task::spawn_local(async move {
            loop {
                let (mut inbound, _) = front.accept().await.unwrap();
                let relay = task::spawn_local(async move {
                    let mut outbound = TcpStream::connect(node).await.unwrap();
                    // Either side may close the connection.
                    let _ended = io::copy_bidirectional(&mut inbound, &mut outbound).await;
                });
                relay_tasks.borrow_mut().push(relay.abort_handle());
            }
        });
        let link = Link::start(
            address,
            "d",
            hello("a", 1),
            Rc::new(Notify::new()),
            Rc::new(|_, _| ()),
        );
        let fixture = Self {
            handler,
            node,
            relayed,
            link,
            accept,
        };
        fixture.wait_until_connected().await;
        fixture
    }

    async fn wait_until_connected(&self) {
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

pub fn serve(
    handler: &Rc<DelayHandler>,
    listener: TcpListener,
    incarnation: u64,
) -> task::AbortHandle {
    let handler = Rc::clone(handler) as Rc<dyn Handler>;
    let peers = PeerServer::new(handler, hello("b", incarnation));
    task::spawn_local(peers.accept(listener)).abort_handle()
}

pub fn run<F: Future<Output = ()>>(test: impl FnOnce(Fixture) -> F) {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    task::LocalSet::new().block_on(&runtime, async { test(Fixture::start().await).await });
}

pub fn answered() -> Outcome {
    Outcome::Answered(Response {
        status: 200,
        headers: Vec::new(),
        body: b"whole".to_vec().into(),
    })
}

macro_rules! survives {
    ($($(#[$doc:meta])* $name:ident: $repeat:ident, $run_ms:literal, cut after $cut:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run(|fixture| async move {
                let flight = fixture.link.call(call(Repeat::$repeat, $run_ms)).unwrap();
                let cut = async {
                    time::sleep(Duration::from_millis($cut)).await;
                    fixture.cut();
                };
                let (outcome, ()) = tokio::join!(flight.outcome(), cut);
                assert_eq!(outcome, answered());
                assert_eq!(fixture.handler.started_calls.get(), 1);
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
    run(|fixture| async move {
        let flight = fixture.link.call(call(Repeat::Once, 400)).unwrap();
        let restart = async {
            time::sleep(Duration::from_millis(50)).await;
            fixture.accept.abort();
            time::sleep(Duration::from_millis(10)).await;
            fixture.cut();
            let listener = TcpListener::bind(fixture.node).await.unwrap();
            serve(&fixture.handler, listener, 2);
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
    run(|fixture| async move {
        fixture.accept.abort();
        time::sleep(Duration::from_millis(10)).await;
        fixture.cut();
        time::sleep(Duration::from_millis(50)).await;
        assert!(fixture.link.call(call(Repeat::Once, 10)).is_none());
    });
}

/// Guards against an idempotent call that keeps running after its remote caller has disconnected.
#[test]
fn dropped_call_is_cancelled() {
    run(|fixture| async move {
        let flight = fixture.link.call(call(Repeat::Idempotent, 200)).unwrap();
        time::sleep(Duration::from_millis(50)).await;
        assert_eq!(fixture.handler.started_calls.get(), 1);
        drop(flight);
        time::sleep(Duration::from_millis(300)).await;
        assert_eq!(fixture.handler.completed_calls.get(), 0);
    });
}

/// Guards against a non-idempotent call that is aborted because its caller has disconnected.
#[test]
fn dropped_call_that_runs_once_goes_on() {
    run(|fixture| async move {
        let flight = fixture.link.call(call(Repeat::Once, 100)).unwrap();
        time::sleep(Duration::from_millis(50)).await;
        drop(flight);
        time::sleep(Duration::from_millis(150)).await;
        assert_eq!(fixture.handler.completed_calls.get(), 1);
    });
}

/// Guards against running an expired call: a congested link delivers a frame two seconds late, when
/// its caller has already disconnected.
#[test]
fn call_that_was_long_on_its_way_is_not_run() {
    run(|fixture| async move {
        let io = TcpStream::connect(fixture.node).await.unwrap();
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
        assert_eq!(fixture.handler.started_calls.get(), 1);
    });
}

/// Guards against sending calls whose callers have disconnected while the connection was blocked.
#[test]
fn call_dropped_before_it_is_written_is_not_sent() {
    run(|fixture| async move {
        // Nothing is written before this task waits.
        drop(fixture.link.call(call(Repeat::Once, 10)).unwrap());
        time::sleep(Duration::from_millis(100)).await;
        assert_eq!(fixture.handler.started_calls.get(), 0);
    });
}

/// Guards against waiting forever for the first frame on a connection that was accepted.
#[test]
fn silent_connection_is_given_up() {
    run(|fixture| async move {
        fixture.accept.abort();
        let relayed: Vec<_> = fixture.relayed.borrow_mut().drain(..).collect();
        let front = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let silent = front.local_addr().unwrap();
        // Accepts connections and keeps them open, but sends nothing.
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
    run(|fixture| async move {
        let connect = async |incarnation| {
            let io = TcpStream::connect(fixture.node).await.unwrap();
            let (read, mut write) = frames::split(io).unwrap();
            write.add(&Frame::Hello(hello("c", incarnation))).unwrap();
            (read, write)
        };
        let (_read, mut write) = connect(1).await;
        let wanted = call(Repeat::Idempotent, 300);
        write.add(&Frame::Call(1, Box::new(wanted))).unwrap();
        write.flush().await.unwrap();
        time::sleep(Duration::from_millis(50)).await;
        assert_eq!(fixture.handler.started_calls.get(), 1);
        let (_read, mut write) = connect(2).await;
        write.flush().await.unwrap();
        time::sleep(Duration::from_millis(400)).await;
        assert_eq!(fixture.handler.completed_calls.get(), 0);
    });
}

/// Guards against keeping a connection that goes silent after it has been used.
#[test]
fn connection_that_falls_silent_is_given_up() {
    run(|_fixture| async move {
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
        let report_changed = Rc::new(Notify::new());
        let link = Link::start(
            address,
            "d",
            hello("a", 1),
            report_changed,
            Rc::new(|_, _| ()),
        );
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
    run(|fixture| async move {
        let request = StoreRequest {
            method: "GET".to_owned(),
            target: "/".to_owned(),
            body: b"item".to_vec(),
        };
        let response = fixture.link.relay(request, Duration::from_secs(1)).await;
        assert_eq!(response.unwrap().body, b"item");
    });
}

/// Guards against a link that fails permanently when a node sends items that change its own failure
/// domain.
#[test]
fn items_may_change_their_sender() {
    run(|fixture| async move {
        let sender: Rc<RefCell<Option<Rc<Link>>>> = Rc::default();
        let received = Rc::new(Cell::new(0));
        let (started, count) = (Rc::clone(&sender), Rc::clone(&received));
        let handle_items = move |domain: &str, _items| {
            let link: Rc<Link> = started.borrow().clone().unwrap();
            format!("{domain}2").clone_into(&mut link.domain.borrow_mut());
            count.set(count.get() + 1);
        };
        let report_changed = Rc::new(Notify::new());
        let link = Link::start(
            fixture.node,
            "d",
            hello("c", 1),
            report_changed,
            Rc::new(handle_items),
        );
        *sender.borrow_mut() = Some(Rc::clone(&link));
        while link.report().is_none() {
            time::sleep(Duration::from_millis(5)).await;
        }
        for _ in 0..2 {
            link.send(Frame::WantConfig);
            time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(received.get(), 2);
        assert_eq!(*link.domain.borrow(), "d22");
    });
}

/// Opens a new link to the node of a fixture, whose own link is closed, as for a node that was dropped
/// while it couldn't be reached and was found again later.
async fn reopen(fixture: &Fixture) -> Rc<Link> {
    fixture.link.close();
    let link = Link::start(
        fixture.link.node.parse().unwrap(),
        "d",
        hello("a", 1),
        Rc::new(Notify::new()),
        Rc::new(|_, _| ()),
    );
    while link.report().is_none() {
        time::sleep(Duration::from_millis(5)).await;
    }
    link
}

fn first_call(run_ms: u32) -> Call {
    Call {
        body: b"first".to_vec().into(),
        ..call(Repeat::Once, run_ms)
    }
}

/// The other node keeps outcomes by process, not by link. Guards against a call that is lost on a new
/// link and gets the outcome of a call of the earlier one.
#[test]
fn outcome_of_a_dropped_link_does_not_reach_the_next_one() {
    run(|fixture| async move {
        let first = fixture.link.call(first_call(10)).unwrap();
        first.outcome().await;
        let next = reopen(&fixture).await;
        let flight = next.call(call(Repeat::Once, 10)).unwrap();
        fixture.cut();
        let not_run = Outcome::NotRun(Failure::before_send(Cause::LinkLost, 0));
        assert_eq!(flight.outcome().await, not_run);
    });
}

/// Guards against a running call of a dropped link whose outcome ends a call of the next one.
#[test]
fn running_call_of_a_dropped_link_does_not_end_one_of_the_next() {
    run(|fixture| async move {
        let first = fixture.link.call(first_call(200)).unwrap();
        time::sleep(Duration::from_millis(20)).await;
        let next = reopen(&fixture).await;
        let flight = next.call(call(Repeat::Once, 400)).unwrap();
        let (outcome, _) = tokio::join!(flight.outcome(), first.outcome());
        assert_eq!(outcome, answered());
    });
}
