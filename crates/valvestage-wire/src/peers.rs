//! The RPC service between balancers, and its authenticated transport.

mod authenticated_codec;
mod connection;
mod counted_stream;
mod peer_key;
mod peer_service;

pub use authenticated_codec::AuthenticatedCodec;
pub use connection::{PeerTransport, accept, connect};
pub use counted_stream::{ByteCount, CountedStream};
pub use peer_key::PeerKey;
pub use peer_service::{PeerService, PeerServiceClient, SharedObject};
pub use peer_service::{PeerServiceRequest, PeerServiceResponse};
