//! Frames whose MAC only holders of the peer key can compute.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use hmac::Mac;
use serde::{Deserialize, Serialize};
use tokio_serde::{Deserializer, Serializer};

use super::peer_key::hmac_with_key;

/// Length of the MAC at the end of each frame, in bytes.
const MAC_BYTES: usize = 16;

/// Codec that serializes messages with `postcard` and appends an HMAC-SHA-256 over a frame counter
/// and the message, truncated to 16 bytes.
///
/// Each direction of each connection has its own key, and the frame counter is not transmitted but
/// kept by both sides, so frames cannot be replayed, reordered or reflected. The content is not
/// encrypted.
#[derive(Debug)]
pub struct AuthenticatedCodec<Item, SinkItem> {
    send_key: [u8; 32],
    receive_key: [u8; 32],
    sent: u64,
    received: u64,
    items: PhantomData<fn(SinkItem) -> Item>,
}

impl<Item, SinkItem> AuthenticatedCodec<Item, SinkItem> {
    /// Creates a codec from the keys of the two directions.
    #[must_use]
    pub fn new(send_key: [u8; 32], receive_key: [u8; 32]) -> Self {
        Self { send_key, receive_key, sent: 0, received: 0, items: PhantomData }
    }
}

impl<Item, SinkItem: Serialize> Serializer<SinkItem> for AuthenticatedCodec<Item, SinkItem> {
    type Error = io::Error;

    fn serialize(mut self: Pin<&mut Self>, item: &SinkItem) -> Result<Bytes, io::Error> {
        let mut frame = postcard::to_stdvec(item).map_err(io::Error::other)?;

        let mut mac = hmac_with_key(&self.send_key);
        mac.update(&self.sent.to_be_bytes());
        mac.update(&frame);
        self.sent += 1;

        frame.extend_from_slice(&mac.finalize().into_bytes()[..MAC_BYTES]);
        Ok(frame.into())
    }
}

impl<Item, SinkItem> Deserializer<Item> for AuthenticatedCodec<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
{
    type Error = io::Error;

    fn deserialize(mut self: Pin<&mut Self>, frame: &BytesMut) -> Result<Item, io::Error> {
        let length = frame.len().checked_sub(MAC_BYTES);
        let (message, tag) = frame.split_at(length.ok_or(io::ErrorKind::UnexpectedEof)?);

        let mut mac = hmac_with_key(&self.receive_key);
        mac.update(&self.received.to_be_bytes());
        mac.update(message);
        self.received += 1;
        mac.verify_truncated_left(tag).map_err(|_| io::ErrorKind::PermissionDenied)?;

        postcard::from_bytes(message).map_err(io::Error::other)
    }
}
