//! Connections between balancers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tarpc::serde_transport::Transport;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::authenticated_codec::AuthenticatedCodec;
use super::counted_stream::{ByteCount, CountedStream};
use super::peer_key::PeerKey;
use crate::errors::WireError;

/// Bytes of the random number that each side sends first.
const NONCE_BYTES: usize = 16;

/// Labels that tell the keys of the two directions apart.
const FROM_CLIENT: &[u8] = b"valvestage peer 1 client";
const FROM_SERVER: &[u8] = b"valvestage peer 1 server";

/// `PeerTransport` carries tarpc messages over an authenticated connection.
pub type PeerTransport<Item, SinkItem> =
    Transport<CountedStream, Item, SinkItem, AuthenticatedCodec<Item, SinkItem>>;

/// `connect` opens a connection to a peer.
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

/// `accept` takes a connection of a peer.
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

/// Each side sends a random number first, so that keys differ from connection to connection.
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
