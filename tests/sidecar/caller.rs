//! Callers' connections to a handler that responds after the delay given in the path.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertflow::state::routes::Limits;
use filbertflow::state::sidecar_settings::ProcessLimits;
use filbertflow::transport::sidecar::byte_budget::ByteBudget;
use filbertflow::transport::sidecar::caller::{self, Handler, Request, Response, ResponseFuture};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::{runtime, task, time};

#[derive(Default)]
struct DelayHandler {
    started: Cell<usize>,
    completed: Rc<Cell<usize>>,
    bodies: RefCell<Vec<Vec<u8>>>,
    /// Number of bytes appended to each response body.
    padding: Cell<usize>,
    draining: Cell<bool>,
    terminating: Cell<bool>,
    stage_changed: Rc<Notify>,
}

impl Handler for DelayHandler {
    fn answer(&self, request: Request) -> ResponseFuture {
        self.started.set(self.started.get() + 1);
        self.bodies.borrow_mut().push(request.body.to_vec());
        let completed = Rc::clone(&self.completed);
        let padding = vec![b' '; self.padding.get()];
        let wait = request.head.target.trim_start_matches('/').parse().unwrap();
        Box::pin(async move {
            time::sleep(Duration::from_millis(wait)).await;
            completed.set(completed.get() + 1);
            Response {
                body: [wait.to_string().into_bytes(), padding].concat().into(),
                ..Response::empty(200)
            }
        })
    }

    fn limits(&self) -> Option<Limits> {
        Some(Limits {
            head_bytes: 500,
            body_bytes: 10,
            head_time: Duration::from_millis(150),
            idle_time: Duration::from_millis(400),
        })
    }

    fn is_draining(&self) -> bool {
        self.draining.get()
    }

    fn is_terminating(&self) -> bool {
        self.terminating.get()
    }

    fn stage_changed(&self) -> Rc<Notify> {
        Rc::clone(&self.stage_changed)
    }
}

struct Fixture {
    handler: Rc<DelayHandler>,
    open: Rc<Cell<usize>>,
    address: SocketAddr,
}

impl Fixture {
    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// Sends bytes and returns everything received until the connection closes.
    async fn exchange(&self, bytes: &str) -> String {
        let mut io = self.connect().await;
        io.write_all(bytes.as_bytes()).await.unwrap();
        read_to_end(&mut io).await
    }
}

async fn read_to_end(io: &mut TcpStream) -> String {
    let mut all = Vec::new();
    io.read_to_end(&mut all).await.unwrap();
    String::from_utf8(all).unwrap()
}

fn bodies(text: &str) -> Vec<&str> {
    let heads = text.split("\r\n\r\n").skip(1);
    heads.map(|b| b.split("HTTP/1.1").next().unwrap()).collect()
}

fn run<F: Future<Output = ()>>(test: impl FnOnce(Fixture) -> F) {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let fixture = Fixture {
            handler: Rc::new(DelayHandler::default()),
            open: Rc::default(),
            address: listener.local_addr().unwrap(),
        };
        let handler = Rc::clone(&fixture.handler) as Rc<dyn Handler>;
        let budget = ByteBudget::of_process(ProcessLimits::default());
        let open = Rc::clone(&fixture.open);
        task::spawn_local(caller::accept(listener, handler, open, budget));
        test(fixture).await;
    });
}

fn get(wait: u64) -> String {
    format!("GET /{wait} HTTP/1.1\r\n\r\n")
}

const LAST: &str = "GET /0 HTTP/1.1\r\nConnection: close\r\n\r\n";

/// Guards against pipelined responses out of order, and against running the requests one by one.
#[test]
fn pipelined_requests_run_together_and_answer_in_order() {
    run(|fixture| async move {
        let start = time::Instant::now();
        let text = fixture
            .exchange(&(get(200) + &get(150) + &get(20) + LAST))
            .await;
        assert_eq!(bodies(&text), ["200", "150", "20", "0"]);
        assert!(start.elapsed() < Duration::from_millis(330));
    });
}

/// Guards against running a request concurrently with an earlier non-idempotent one.
#[test]
fn other_methods_run_alone() {
    run(|fixture| async move {
        let mut io = fixture.connect().await;
        let post = "POST /100 HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
        io.write_all((post.to_owned() + &get(0)).as_bytes())
            .await
            .unwrap();
        time::sleep(Duration::from_millis(50)).await;
        assert_eq!(fixture.handler.started.get(), 1);
        time::sleep(Duration::from_millis(100)).await;
        assert_eq!(fixture.handler.started.get(), 2);
    });
}

/// Guards against work for a caller that has disconnected, pipelined requests included.
#[test]
fn close_cancels_running_requests() {
    run(|fixture| async move {
        let mut io = fixture.connect().await;
        io.write_all((get(300) + &get(300)).as_bytes())
            .await
            .unwrap();
        time::sleep(Duration::from_millis(50)).await;
        assert_eq!(fixture.handler.started.get(), 2);
        drop(io);
        time::sleep(Duration::from_millis(400)).await;
        assert_eq!(fixture.handler.completed.get(), 0);
        assert_eq!(fixture.open.get(), 0);
    });
}

macro_rules! rejects {
    ($($name:ident: $bytes:expr => $status:literal;)*) => {$(
        /// Guards against running an invalid request, or rejecting it with the wrong status.
        #[test]
        fn $name() {
            run(|fixture| async move {
                let text = fixture.exchange(&$bytes).await;
                assert!(text.starts_with(concat!("HTTP/1.1 ", $status)), "{text}");
                assert!(text.contains("Connection: close"));
                assert_eq!(fixture.handler.started.get(), 0);
            });
        }
    )*};
}

const CHUNKED: &str = "POST /0 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

rejects! {
    nonsense: "nonsense\r\n\r\n" => "400";
    two_lengths: "POST /0 HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab" => "400";
    large_head: format!("GET /0 HTTP/1.1\r\nX: {}\r\n\r\n", "a".repeat(600)) => "431";
    large_body: "POST /0 HTTP/1.1\r\nContent-Length: 11\r\n\r\n" => "413";
    large_chunks: "POST /0 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nff\r\naaaaaaaaaaaaa" => "413";
    slow_head: "GET /0 HTT" => "408";
    endless_trailers: format!("{CHUNKED}0\r\n{}", "x: aaaaaaaa\r\n".repeat(2000)) => "400";
}

/// Guards against a caller that keeps a connection busy after its request was refused.
#[test]
fn endless_bytes_behind_a_refused_request_end_the_connection() {
    run(|fixture| async move {
        let mut io = fixture.connect().await;
        let start = time::Instant::now();
        let mut sent = io.write_all(b"nonsense\r\n\r\n").await;
        while sent.is_ok() {
            task::yield_now().await;
            sent = io.write_all(&[b'a'; 4096]).await;
        }
        // Shorter than the time in which a caller may read the response.
        let took = start.elapsed();
        assert!(took < Duration::from_millis(400), "{took:?}");
    });
}

/// Guards against idle connections that are never closed.
#[test]
fn idle_connection_is_closed() {
    run(|fixture| async move {
        let start = time::Instant::now();
        assert_eq!(fixture.exchange("").await, "");
        assert!(start.elapsed() >= Duration::from_millis(390));
    });
}

/// Guards against a corrupted chunked body.
#[test]
fn chunked_body_arrives_whole() {
    run(|fixture| async move {
        let mut io = fixture.connect().await;
        let parts = [
            "POST /0 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na",
            "bc\r\n2\r",
            "\nde\r\n0\r\n\r\n",
        ];
        for part in parts {
            io.write_all(part.as_bytes()).await.unwrap();
            time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(*fixture.handler.bodies.borrow(), [b"abcde"]);
    });
}

/// Guards against a draining connection that accepts requests until the process exits, which cuts
/// off the last one, when a caller always has a request in flight.
#[test]
fn draining_connection_accepts_no_further_requests() {
    run(|fixture| async move {
        let (mut read, mut write) = fixture.connect().await.into_split();
        let sender = task::spawn_local(async move {
            // Stops when the connection is closed.
            while write.write_all(get(100).as_bytes()).await.is_ok() {
                time::sleep(Duration::from_millis(40)).await;
            }
        });
        time::sleep(Duration::from_millis(200)).await;
        fixture.handler.draining.set(true);
        let started = fixture.handler.started.get();
        let mut text = Vec::new();
        let closed = time::timeout(Duration::from_millis(600), read.read_to_end(&mut text)).await;
        assert!(closed.is_ok(), "the connection stays open");
        let text = String::from_utf8(text).unwrap();
        // One request may be read just as draining starts.
        assert!(fixture.handler.started.get() <= started + 1);
        assert_eq!(bodies(&text).len(), fixture.handler.started.get());
        assert_eq!(text.matches("Connection: close").count(), 1);
        sender.abort();
    });
}

/// Guards against a process that exits while a response is being sent: the connection counts as
/// open until its caller has read everything, and no further connection is accepted.
#[test]
fn terminating_node_waits_for_its_last_response() {
    run(|fixture| async move {
        let mut busy = fixture.connect().await;
        let mut idle = fixture.connect().await;
        busy.write_all(get(200).as_bytes()).await.unwrap();
        time::sleep(Duration::from_millis(50)).await;
        assert_eq!(fixture.open.get(), 2);
        fixture.handler.draining.set(true);
        fixture.handler.terminating.set(true);
        fixture.handler.stage_changed.notify_waiters();
        assert_eq!(read_to_end(&mut idle).await, "");
        time::sleep(Duration::from_millis(20)).await;
        assert_eq!(fixture.open.get(), 1);
        let text = read_to_end(&mut busy).await;
        assert!(
            text.contains("Connection: close") && text.ends_with("200"),
            "{text}"
        );
        drop(busy);
        time::sleep(Duration::from_millis(50)).await;
        assert_eq!(fixture.open.get(), 0);
        assert!(TcpStream::connect(fixture.address).await.is_err());
    });
}

/// Guards against requests that get no response in a graceful shutdown under load, although their
/// connections were established before the listener closed.
#[test]
fn requests_before_shutdown_get_responses() {
    run(|fixture| async move {
        let mut callers = Vec::new();
        for _ in 0..20 {
            // The system accepts these connections into its backlog before the accepting task runs.
            let mut io = std::net::TcpStream::connect(fixture.address).unwrap();
            std::io::Write::write_all(&mut io, get(30).as_bytes()).unwrap();
            callers.push(io);
        }
        fixture.handler.draining.set(true);
        fixture.handler.terminating.set(true);
        fixture.handler.stage_changed.notify_waiters();
        for io in callers {
            io.set_nonblocking(true).unwrap();
            let mut io = TcpStream::from_std(io).unwrap();
            assert_eq!(bodies(&read_to_end(&mut io).await), ["30"]);
        }
    });
}

/// Guards against closing an idle connection on which a request has already arrived.
#[test]
fn received_request_is_read_before_shutdown() {
    run(|fixture| async move {
        let mut io = fixture.connect().await;
        io.write_all(get(5).as_bytes()).await.unwrap();
        let mut first = [0; 4096];
        assert!(io.read(&mut first).await.unwrap() > 0);
        let mut io = io.into_std().unwrap();
        std::io::Write::write_all(&mut io, get(30).as_bytes()).unwrap();
        fixture.handler.draining.set(true);
        fixture.handler.terminating.set(true);
        fixture.handler.stage_changed.notify_waiters();
        let mut io = TcpStream::from_std(io).unwrap();
        assert_eq!(bodies(&read_to_end(&mut io).await), ["30"]);
    });
}

/// Response that exceeds what the buffers of both ends of a connection hold, in bytes.
const LARGE_RESPONSE: usize = 16 << 20;

/// Guards against keeping a connection whose caller never reads its response, with the response.
#[test]
fn caller_that_does_not_read_is_disconnected() {
    run(|fixture| async move {
        fixture.handler.padding.set(LARGE_RESPONSE);
        let mut io = fixture.connect().await;
        io.write_all(b"GET /1 HTTP/1.1\r\n\r\n").await.unwrap();
        time::sleep(Duration::from_millis(100)).await;
        assert_eq!(fixture.open.get(), 1);
        time::sleep(Duration::from_secs(1)).await;
        assert_eq!(fixture.open.get(), 0);
    });
}

/// Guards against disconnecting a caller that reads slowly, but goes on.
#[test]
fn slow_caller_gets_its_whole_response() {
    run(|fixture| async move {
        fixture.handler.padding.set(LARGE_RESPONSE);
        let mut io = fixture.connect().await;
        io.write_all(b"GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n")
            .await
            .unwrap();
        let (mut part, mut received) = (vec![0; 256 * 1024], 0);
        while let n @ 1.. = io.read(&mut part).await.unwrap() {
            received += n;
            time::sleep(Duration::from_millis(10)).await;
        }
        assert!(received > LARGE_RESPONSE, "{received}");
    });
}
