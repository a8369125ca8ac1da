//! Calls of a node whose process is killed and restarted, at the node that runs them.

use std::time::Duration;

use filbertflow::protocol::mesh::{Call, Frame, Outcome, StoreRequest};
use filbertflow::state::routes::Repeat;
use filbertflow::transport::sidecar::frames;
use tokio::net::TcpStream;
use tokio::time;

use crate::links::{Fixture, call, hello, run};

/// Calling node that sends scripted frames.
struct Caller {
    read: frames::FrameReader,
    write: frames::FrameWriter,
}

impl Caller {
    async fn connect(fixture: &Fixture, incarnation: u64) -> Self {
        let io = TcpStream::connect(fixture.node).await.unwrap();
        let (read, mut write) = frames::split(io).unwrap();
        write.add(&Frame::Hello(hello("c", incarnation))).unwrap();
        write.flush().await.unwrap();
        let mut caller = Self { read, write };
        // The first load report shows that the other side has accepted the connection.
        while !matches!(caller.receive().await, Some(Frame::Load(_))) {}
        caller
    }

    async fn send(&mut self, frame: Frame) {
        self.write.add(&frame).unwrap();
        self.write.flush().await.unwrap();
    }

    async fn call(&mut self, seq: u64, run_ms: u32, body: &str) {
        let call = Call {
            body: body.as_bytes().to_vec().into(),
            ..call(Repeat::Once, run_ms)
        };
        self.send(Frame::Call(seq, Box::new(call))).await;
    }

    async fn receive(&mut self) -> Option<Frame> {
        let bytes = self.read.next().await?.ok()?;
        frames::decode(&bytes).ok()
    }

    /// Returns the bodies and sequence numbers of all replies until `quiet` has passed without one.
    async fn replies(&mut self, quiet: Duration) -> Vec<(u64, String)> {
        let mut all = Vec::new();
        while let Ok(Some(frame)) = time::timeout(quiet, self.receive()).await {
            match frame {
                Frame::Reply(seq, outcome) => all.push((seq, outcome_text(&outcome))),
                Frame::Relayed(seq, response) => {
                    let body = response.map(|r| r.body).unwrap_or_default();
                    all.push((seq, String::from_utf8(body).unwrap()));
                }
                _ => {}
            }
        }
        all
    }
}

fn outcome_text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered(r) => String::from_utf8(r.body.to_vec()).unwrap(),
        Outcome::NotRun(f) => format!("not run: {}", f.cause.name()),
        Outcome::Unknown(f) => format!("unknown: {}", f.cause.name()),
    }
}

const QUIET: Duration = Duration::from_millis(300);

/// A calling node is killed while its call runs on another node, and its next process numbers calls
/// from one again. Guards against a response that belongs to another caller's request.
#[test]
fn outcome_of_an_earlier_process_does_not_reach_the_next_one() {
    run(|fixture| async move {
        let mut first = Caller::connect(&fixture, 1).await;
        first.call(1, 100, "earlier").await;
        time::sleep(Duration::from_millis(30)).await;
        assert_eq!(fixture.handler.started_calls.get(), 1);
        drop(first);
        let mut second = Caller::connect(&fixture, 2).await;
        second.call(1, 200, "later").await;
        assert_eq!(second.replies(QUIET).await, [(1, "later".to_owned())]);
        assert_eq!(fixture.handler.completed_calls.get(), 2);
    });
}

/// Guards against a relayed response of the store that reaches the next process of a node.
#[test]
fn relayed_response_of_an_earlier_process_does_not_reach_the_next_one() {
    run(|fixture| async move {
        let relay = |body: &str| StoreRequest {
            method: "slow".to_owned(),
            target: "/".to_owned(),
            body: body.as_bytes().to_vec(),
        };
        let mut first = Caller::connect(&fixture, 1).await;
        let request = Box::new(relay("earlier"));
        first.send(Frame::Relay(1, request)).await;
        time::sleep(Duration::from_millis(30)).await;
        drop(first);
        let mut second = Caller::connect(&fixture, 2).await;
        let request = Box::new(relay("later"));
        second.send(Frame::Relay(1, request)).await;
        assert_eq!(second.replies(QUIET).await, [(1, "later".to_owned())]);
    });
}

/// Guards against an outcome that is lost when a call ends between two connections of one process.
#[test]
fn outcome_between_two_connections_is_kept() {
    run(|fixture| async move {
        let mut first = Caller::connect(&fixture, 1).await;
        first.call(1, 60, "whole").await;
        time::sleep(Duration::from_millis(30)).await;
        drop(first);
        time::sleep(Duration::from_millis(100)).await;
        assert_eq!(fixture.handler.completed_calls.get(), 1);
        let mut second = Caller::connect(&fixture, 1).await;
        second.send(Frame::Resume(vec![1])).await;
        assert_eq!(second.replies(QUIET).await, [(1, "whole".to_owned())]);
    });
}

/// The hello of a killed process is read after the hello of its successor. Guards against reporting
/// the successor's call as not run.
#[test]
fn late_hello_of_an_earlier_process_drops_no_outcome() {
    run(|fixture| async move {
        let mut second = Caller::connect(&fixture, 2).await;
        second.call(1, 60, "whole").await;
        time::sleep(Duration::from_millis(30)).await;
        let late = Caller::connect(&fixture, 1).await;
        drop((second, late));
        time::sleep(Duration::from_millis(100)).await;
        let mut again = Caller::connect(&fixture, 2).await;
        again.send(Frame::Resume(vec![1])).await;
        assert_eq!(again.replies(QUIET).await, [(1, "whole".to_owned())]);
    });
}

/// Guards against reporting a call as not run after its caller's outcomes were dropped.
#[test]
fn dropped_outcomes_are_reported_as_unknown() {
    run(|fixture| async move {
        let mut first = Caller::connect(&fixture, 1).await;
        first.call(1, 10, "whole").await;
        time::sleep(Duration::from_millis(50)).await;
        drop(first);
        for incarnation in 2..20 {
            drop(Caller::connect(&fixture, incarnation).await);
        }
        let mut again = Caller::connect(&fixture, 1).await;
        again.send(Frame::Resume(vec![1])).await;
        let unknown = "unknown: link_lost".to_owned();
        assert_eq!(again.replies(QUIET).await, [(1, unknown)]);
    });
}

/// Guards against starting calls of a killed process that are read late.
#[test]
fn call_of_an_earlier_process_is_not_started() {
    run(|fixture| async move {
        let mut first = Caller::connect(&fixture, 1).await;
        let mut second = Caller::connect(&fixture, 2).await;
        first.call(1, 10, "earlier").await;
        second.call(1, 10, "later").await;
        assert_eq!(second.replies(QUIET).await, [(1, "later".to_owned())]);
        assert_eq!(fixture.handler.started_calls.get(), 1);
    });
}
