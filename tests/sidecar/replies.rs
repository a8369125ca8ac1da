//! Replies of another node that are repeated or break off.

use std::rc::Rc;
use std::time::Duration;

use filbertflow::protocol::mesh::{Cause, Failure, Frame, Load, Outcome, Seq};
use filbertflow::state::routes::Repeat;
use filbertflow::transport::sidecar::frames::{self, FrameReader};
use filbertflow::transport::sidecar::links::Link;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::{task, time};

use crate::full_buffers::{accept, encode, send};
use crate::links::{answered, call, hello, run};

const LIMIT: Duration = Duration::from_secs(2);

fn reply(seq: Seq) -> Frame {
    Frame::Reply(seq, Box::new(answered()))
}

fn refused(seq: Seq) -> Frame {
    let failure = Failure::before_send(Cause::Shed, 0);
    Frame::Reply(seq, Box::new(Outcome::NotRun(failure)))
}

/// Returns the sequence number of the next call.
async fn next_call(read: &mut FrameReader) -> Seq {
    loop {
        let bytes = read.next().await.unwrap().unwrap();
        if let Frame::Call(seq, _) = frames::decode(&bytes).unwrap() {
            return seq;
        }
    }
}

async fn start_link(listener: &TcpListener) -> Rc<Link> {
    let address = listener.local_addr().unwrap();
    let changed = Rc::new(Notify::new());
    Link::start(address, "d", hello("a", 1), changed, Rc::new(|_, _| ()))
}

async fn outcome(link: &Rc<Link>, repeat: Repeat) -> Outcome {
    while link.report().is_none() {
        time::sleep(Duration::from_millis(5)).await;
    }
    let flight = link.call(call(repeat, 1000)).unwrap();
    time::timeout(LIMIT, flight.outcome()).await.unwrap()
}

/// A node sends the refusal of an earlier call again while the next one runs. Guards against reporting
/// that call as not run.
#[test]
fn copy_of_a_refusal_ends_no_other_call() {
    run(|_fixture| async move {
        for repeat in [Repeat::Once, Repeat::Idempotent] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let link = start_link(&listener).await;
            task::spawn_local(async move {
                let (mut read, mut write) = accept(&listener, 1).await;
                let first = next_call(&mut read).await;
                write.add(&refused(first)).unwrap();
                write.flush().await.unwrap();
                let second = next_call(&mut read).await;
                for frame in [refused(first), refused(first), reply(second)] {
                    write.add(&frame).unwrap();
                }
                write.flush().await.unwrap();
                let _open = read.next().await;
            });
            let shed = Outcome::NotRun(Failure::before_send(Cause::Shed, 0));
            assert_eq!(outcome(&link, repeat).await, shed);
            assert!(matches!(outcome(&link, repeat).await, Outcome::Answered(_)));
            link.close();
        }
    });
}

/// A reply breaks off at any byte, and its node restarts. Guards against taking a part of a reply for
/// the whole one, and against reporting the call as not run.
#[test]
fn cut_reply_leaves_the_outcome_unknown() {
    let whole = postcard::to_allocvec(&reply(1)).unwrap().len() + 4;
    run(|_fixture| async move {
        for cut in 0..whole {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let link = start_link(&listener).await;
            task::spawn_local(async move {
                let (mut io, _) = listener.accept().await.unwrap();
                for frame in [Frame::Hello(hello("b", 1)), Frame::Load(Load::default())] {
                    send(&io, &encode(&frame)).await;
                }
                let seq = read_call(&mut io).await;
                send(&io, &encode(&reply(seq))[..cut]).await;
                drop(io);
                let _restarted = accept(&listener, 2).await;
                time::sleep(LIMIT).await;
            });
            let outcome = outcome(&link, Repeat::Once).await;
            assert!(
                matches!(outcome, Outcome::Unknown(_)),
                "cut at {cut}: {outcome:?}"
            );
            link.close();
        }
    });
}

/// Reads frames without a codec, up to the next call; returns its sequence number.
async fn read_call(io: &mut TcpStream) -> Seq {
    loop {
        let length = usize::try_from(io.read_u32().await.unwrap()).unwrap();
        let mut bytes = vec![0; length];
        io.read_exact(&mut bytes).await.unwrap();
        if let Frame::Call(seq, _) = frames::decode(&bytes.into()).unwrap() {
            return seq;
        }
    }
}
