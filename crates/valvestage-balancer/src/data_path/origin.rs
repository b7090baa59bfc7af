//! Who sent a datagram.

use valvestage_wire::Target;

/// `Origin` is the sender of a datagram, told by its source address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The fabric, for a caller.
    Fabric,
    /// Another balancer.
    Peer,
    /// A backend server.
    Backend(Target),
}
