//! Listener for peer connections, with one task for each connection.

use std::future::Future;
use std::{io, net, time};

use tarpc::tokio_serde::formats;
use tarpc::{serde_transport, server};
use tokio::net as tokio_net;
use tokio_util::codec;

use crate::protocol::peer;
use crate::transport::counted;

/// Requests that one peer connection may have in progress.
const MAX_IN_PROGRESS: usize = 4096;

/// Pause after a failed accept.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Binds the peer address.
///
/// # Errors
///
/// Returns the error of the socket, for example if the address is in use.
pub async fn bind(addr: net::SocketAddr) -> io::Result<tokio_net::TcpListener> {
    tokio_net::TcpListener::bind(addr).await
}

/// Connection accepted from a peer.
pub type Accepted = server::BaseChannel<
    peer::PeerRequest,
    peer::PeerResponse,
    serde_transport::Transport<
        counted::CountingStream<tokio_net::TcpStream>,
        tarpc::ClientMessage<peer::PeerRequest>,
        tarpc::Response<peer::PeerResponse>,
        formats::Bincode<
            tarpc::ClientMessage<peer::PeerRequest>,
            tarpc::Response<peer::PeerResponse>,
        >,
    >,
>;

/// Accepts peer connections until the task is aborted, and runs `connection` in a task for each.
pub async fn serve<F, Fut>(
    listener: tokio_net::TcpListener,
    traffic: counted::Traffic,
    connection: F,
) where
    F: Fn(Accepted) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connection(accept(stream, traffic.clone())));
            }
            Err(e) => {
                tracing::warn!(event = 201, error = %e, "can't accept a peer connection");
                // Typically out of file descriptors, which closing connections give back.
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn accept(stream: tokio_net::TcpStream, traffic: counted::Traffic) -> Accepted {
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(event = 202, error = %e, "can't disable delayed sends");
    }
    let frames = frame_codec().new_framed(counted::CountingStream::new(stream, traffic));
    let transport = serde_transport::new(frames, formats::Bincode::default());
    let config = server::Config {
        pending_response_buffer: MAX_IN_PROGRESS,
    };
    server::BaseChannel::new(config, transport)
}

/// Returns the codec of peer connections.
#[must_use]
pub fn frame_codec() -> codec::length_delimited::Builder {
    let mut builder = codec::LengthDelimitedCodec::builder();
    builder.max_frame_length(peer::MAX_FRAME);
    builder
}
