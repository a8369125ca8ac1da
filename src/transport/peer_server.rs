//! Listener for peer connections, with one task per connection.

use std::future::Future;
use std::{io, net, time};

use tarpc::tokio_serde::formats;
use tarpc::{serde_transport, server};
use tokio::net as tokio_net;
use tokio_util::codec;

use crate::protocol::peer;
use crate::transport::counted;

/// Maximum number of requests in progress on one peer connection.
const MAX_IN_PROGRESS: usize = 4096;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

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

/// Accepts peer connections until the task is aborted and runs `connection` in a task for each.
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
                // The usual cause is a lack of file descriptors, which other connections free on closing.
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn accept(stream: tokio_net::TcpStream, traffic: counted::Traffic) -> Accepted {
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(event = 202, error = %e, "can't set TCP_NODELAY");
    }
    let frames = frame_codec().new_framed(counted::CountingStream::new(stream, traffic));
    let transport = serde_transport::new(frames, formats::Bincode::default());
    let config = server::Config {
        pending_response_buffer: MAX_IN_PROGRESS,
    };
    server::BaseChannel::new(config, transport)
}

/// Returns the frame codec of peer connections.
#[must_use]
pub fn frame_codec() -> codec::length_delimited::Builder {
    let mut builder = codec::LengthDelimitedCodec::builder();
    builder.max_frame_length(peer::MAX_FRAME);
    builder
}
