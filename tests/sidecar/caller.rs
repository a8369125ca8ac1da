//! Connections of callers against a handler that answers after a time given in the path.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertflow::state::routes::Limits;
use filbertflow::transport::sidecar::caller::{self, Handler, Request, Response, ResponseFuture};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::{runtime, task, time};

#[derive(Default)]
struct Slow {
    begun: Cell<usize>,
    ended: Rc<Cell<usize>>,
    bodies: RefCell<Vec<Vec<u8>>>,
    closing: Cell<bool>,
    ending: Cell<bool>,
    told: Rc<Notify>,
}

impl Handler for Slow {
    fn answer(&self, request: Request) -> ResponseFuture {
        self.begun.set(self.begun.get() + 1);
        self.bodies.borrow_mut().push(request.body);
        let ended = Rc::clone(&self.ended);
        let wait = request.head.target.trim_start_matches('/').parse().unwrap();
        Box::pin(async move {
            time::sleep(Duration::from_millis(wait)).await;
            ended.set(ended.get() + 1);
            Response {
                body: wait.to_string().into_bytes(),
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
        self.closing.get()
    }

    fn is_terminating(&self) -> bool {
        self.ending.get()
    }

    fn stage_changed(&self) -> Rc<Notify> {
        Rc::clone(&self.told)
    }
}

struct World {
    handler: Rc<Slow>,
    open: Rc<Cell<usize>>,
    address: SocketAddr,
}

impl World {
    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// Sends bytes and returns all that comes until the connection ends.
    async fn talk(&self, bytes: &str) -> String {
        let mut io = self.connect().await;
        io.write_all(bytes.as_bytes()).await.unwrap();
        rest(&mut io).await
    }
}

async fn rest(io: &mut TcpStream) -> String {
    let mut all = Vec::new();
    io.read_to_end(&mut all).await.unwrap();
    String::from_utf8(all).unwrap()
}

fn bodies(text: &str) -> Vec<&str> {
    let heads = text.split("\r\n\r\n").skip(1);
    heads.map(|b| b.split("HTTP/1.1").next().unwrap()).collect()
}

fn run<F: Future<Output = ()>>(test: impl FnOnce(World) -> F) {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let world = World {
            handler: Rc::new(Slow::default()),
            open: Rc::default(),
            address: listener.local_addr().unwrap(),
        };
        let handler = Rc::clone(&world.handler) as Rc<dyn Handler>;
        task::spawn_local(caller::accept(listener, handler, Rc::clone(&world.open)));
        test(world).await;
    });
}

fn get(wait: u64) -> String {
    format!("GET /{wait} HTTP/1.1\r\n\r\n")
}

const LAST: &str = "GET /0 HTTP/1.1\r\nConnection: close\r\n\r\n";

/// Guards against pipelined answers that overtake each other, and requests that wait for nothing.
#[test]
fn pipelined_requests_run_together_and_answer_in_order() {
    run(|world| async move {
        let start = time::Instant::now();
        let text = world.talk(&(get(200) + &get(150) + &get(20) + LAST)).await;
        assert_eq!(bodies(&text), ["200", "150", "20", "0"]);
        assert!(start.elapsed() < Duration::from_millis(330));
    });
}

/// Guards against a second request that runs before the first, which may not be repeated.
#[test]
fn other_methods_run_alone() {
    run(|world| async move {
        let mut io = world.connect().await;
        let post = "POST /100 HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
        io.write_all((post.to_owned() + &get(0)).as_bytes())
            .await
            .unwrap();
        time::sleep(Duration::from_millis(50)).await;
        assert_eq!(world.handler.begun.get(), 1);
        time::sleep(Duration::from_millis(100)).await;
        assert_eq!(world.handler.begun.get(), 2);
    });
}

/// Guards against work for a caller that has left, also behind requests that it sent ahead.
#[test]
fn close_cancels_what_runs() {
    run(|world| async move {
        let mut io = world.connect().await;
        io.write_all((get(300) + &get(300)).as_bytes())
            .await
            .unwrap();
        time::sleep(Duration::from_millis(50)).await;
        assert_eq!(world.handler.begun.get(), 2);
        drop(io);
        time::sleep(Duration::from_millis(400)).await;
        assert_eq!(world.handler.ended.get(), 0);
        assert_eq!(world.open.get(), 0);
    });
}

macro_rules! refused {
    ($($name:ident: $bytes:expr => $status:literal;)*) => {$(
        /// Guards against a bad request that is run, or refused without its status.
        #[test]
        fn $name() {
            run(|world| async move {
                let text = world.talk(&$bytes).await;
                assert!(text.starts_with(concat!("HTTP/1.1 ", $status)), "{text}");
                assert!(text.contains("Connection: close"));
                assert_eq!(world.handler.begun.get(), 0);
            });
        }
    )*};
}

refused! {
    nonsense: "nonsense\r\n\r\n" => "400";
    two_lengths: "POST /0 HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab" => "400";
    large_head: format!("GET /0 HTTP/1.1\r\nX: {}\r\n\r\n", "a".repeat(600)) => "431";
    large_body: "POST /0 HTTP/1.1\r\nContent-Length: 11\r\n\r\n" => "413";
    large_chunks: "POST /0 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nff\r\naaaaaaaaaaaaa" => "413";
    slow_head: "GET /0 HTT" => "408";
}

/// Guards against idle connections that stay for ever.
#[test]
fn idle_connection_is_closed() {
    run(|world| async move {
        let start = time::Instant::now();
        assert_eq!(world.talk("").await, "");
        assert!(start.elapsed() >= Duration::from_millis(390));
    });
}

/// Guards against a body that arrives changed.
#[test]
fn chunked_body_arrives_whole() {
    run(|world| async move {
        let mut io = world.connect().await;
        let parts = [
            "POST /0 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na",
            "bc\r\n2\r",
            "\nde\r\n0\r\n\r\n",
        ];
        for part in parts {
            io.write_all(part.as_bytes()).await.unwrap();
            time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(*world.handler.bodies.borrow(), [b"abcde"]);
    });
}

/// Pattern: a caller that always has a request on its way. Guards against a closing connection that
/// goes on taking requests until the process ends, and cuts the last one.
#[test]
fn closing_connection_takes_nothing_behind_what_runs() {
    run(|world| async move {
        let (mut read, mut write) = world.connect().await.into_split();
        let sender = task::spawn_local(async move {
            // Ends when the connection is closed.
            while write.write_all(get(100).as_bytes()).await.is_ok() {
                time::sleep(Duration::from_millis(40)).await;
            }
        });
        time::sleep(Duration::from_millis(200)).await;
        world.handler.closing.set(true);
        let begun = world.handler.begun.get();
        let mut text = Vec::new();
        let ended = time::timeout(Duration::from_millis(600), read.read_to_end(&mut text)).await;
        assert!(ended.is_ok(), "the connection stays open");
        let text = String::from_utf8(text).unwrap();
        // One may be read at the moment at which the node begins to stop.
        assert!(world.handler.begun.get() <= begun + 1);
        assert_eq!(bodies(&text).len(), world.handler.begun.get());
        assert_eq!(text.matches("Connection: close").count(), 1);
        sender.abort();
    });
}

/// Guards against a process that ends while a response is on its way: the connection counts until
/// its caller has read everything, and nothing further is accepted.
#[test]
fn ending_node_waits_for_its_last_response() {
    run(|world| async move {
        let mut busy = world.connect().await;
        let mut idle = world.connect().await;
        busy.write_all(get(200).as_bytes()).await.unwrap();
        time::sleep(Duration::from_millis(50)).await;
        assert_eq!(world.open.get(), 2);
        world.handler.closing.set(true);
        world.handler.ending.set(true);
        world.handler.told.notify_waiters();
        assert_eq!(rest(&mut idle).await, "");
        time::sleep(Duration::from_millis(20)).await;
        assert_eq!(world.open.get(), 1);
        let text = rest(&mut busy).await;
        assert!(
            text.contains("Connection: close") && text.ends_with("200"),
            "{text}"
        );
        drop(busy);
        time::sleep(Duration::from_millis(50)).await;
        assert_eq!(world.open.get(), 0);
        assert!(TcpStream::connect(world.address).await.is_err());
    });
}

/// Pattern: a planned stop under load. Guards against requests that were established before the
/// listener closed and are cut off without an answer.
#[test]
fn requests_before_the_end_are_answered() {
    run(|world| async move {
        let mut callers = Vec::new();
        for _ in 0..20 {
            // The system takes these connections; the task that accepts them has not run yet.
            let mut io = std::net::TcpStream::connect(world.address).unwrap();
            std::io::Write::write_all(&mut io, get(30).as_bytes()).unwrap();
            callers.push(io);
        }
        world.handler.closing.set(true);
        world.handler.ending.set(true);
        world.handler.told.notify_waiters();
        for io in callers {
            io.set_nonblocking(true).unwrap();
            let mut io = TcpStream::from_std(io).unwrap();
            assert_eq!(bodies(&rest(&mut io).await), ["30"]);
        }
    });
}

/// Guards against a request on a kept connection that has arrived when the node closes idle ones.
#[test]
fn request_that_has_arrived_is_read_before_the_end() {
    run(|world| async move {
        let mut io = world.connect().await;
        io.write_all(get(5).as_bytes()).await.unwrap();
        let mut first = [0; 4096];
        assert!(io.read(&mut first).await.unwrap() > 0);
        let mut io = io.into_std().unwrap();
        std::io::Write::write_all(&mut io, get(30).as_bytes()).unwrap();
        world.handler.closing.set(true);
        world.handler.ending.set(true);
        world.handler.told.notify_waiters();
        let mut io = TcpStream::from_std(io).unwrap();
        assert_eq!(bodies(&rest(&mut io).await), ["30"]);
    });
}
