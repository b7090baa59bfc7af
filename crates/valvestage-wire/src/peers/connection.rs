//! Authenticated connections between balancers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tarpc::serde_transport::Transport;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::authenticated_codec::AuthenticatedCodec;
use super::counted_stream::{ByteCount, CountedStream};
use super::peer_key::PeerKey;
use crate::errors::WireError;

/// Length of the nonce that each side sends first, in bytes.
const NONCE_BYTES: usize = 16;

/// Labels from which the keys of the two directions are derived, so that they differ.
const FROM_CLIENT: &[u8] = b"valvestage peer 1 client";
const FROM_SERVER: &[u8] = b"valvestage peer 1 server";

/// Transport of tarpc messages over an authenticated connection.
pub type PeerTransport<Item, SinkItem> =
    Transport<CountedStream, Item, SinkItem, AuthenticatedCodec<Item, SinkItem>>;

/// Opens a connection to a peer and derives its keys.
///
/// `count` receives the bytes sent and received on the connection.
pub async fn connect<Item, SinkItem>(
    peer: SocketAddr,
    key: &PeerKey,
    count: ByteCount,
) -> Result<PeerTransport<Item, SinkItem>, WireError>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let stream =
        TcpStream::connect(peer).await.map_err(|error| WireError::peer(peer, "connect", error))?;

    let (stream, own, theirs) = exchange_nonces(stream, peer).await?;
    let send_key = key.derive(FROM_CLIENT, &own, &theirs);
    let receive_key = key.derive(FROM_SERVER, &own, &theirs);
    Ok((CountedStream::new(stream, count), AuthenticatedCodec::new(send_key, receive_key)).into())
}

/// Sets up the transport for a connection that a peer has opened, and derives its keys.
///
/// `count` receives the bytes sent and received on the connection.
pub async fn accept<Item, SinkItem>(
    stream: TcpStream,
    peer: SocketAddr,
    key: &PeerKey,
    count: ByteCount,
) -> Result<PeerTransport<Item, SinkItem>, WireError>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let (stream, own, theirs) = exchange_nonces(stream, peer).await?;

    let send_key = key.derive(FROM_SERVER, &theirs, &own);
    let receive_key = key.derive(FROM_CLIENT, &theirs, &own);
    Ok((CountedStream::new(stream, count), AuthenticatedCodec::new(send_key, receive_key)).into())
}

type Nonce = [u8; NONCE_BYTES];

/// Exchanges the nonces from which the keys are derived, so that each connection has its own keys.
async fn exchange_nonces(
    mut stream: TcpStream,
    peer: SocketAddr,
) -> Result<(TcpStream, Nonce, Nonce), WireError> {
    let mut own = [0; NONCE_BYTES];
    let mut theirs = [0; NONCE_BYTES];
    getrandom::fill(&mut own).map_err(|error| WireError::peer(peer, "draw nonce", error))?;

    stream.set_nodelay(true).map_err(|error| WireError::peer(peer, "set no delay", error))?;
    stream.write_all(&own).await.map_err(|error| WireError::peer(peer, "send nonce", error))?;
    stream
        .read_exact(&mut theirs)
        .await
        .map_err(|error| WireError::peer(peer, "receive nonce", error))?;

    Ok((stream, own, theirs))
}
