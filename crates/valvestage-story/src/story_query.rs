//! What is asked about.

use std::net::SocketAddrV4;

/// `StoryQuery` is what is asked about; what is not given does not matter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoryQuery {
    /// A flow, by the address and port of its caller.
    Flow(SocketAddrV4),
    /// A backend server, by the hex digits of its id.
    Backend(String),
    /// A configuration, by its version.
    Version(u64),
}
