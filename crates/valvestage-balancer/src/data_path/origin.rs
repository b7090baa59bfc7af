//! Classification of datagrams by their sender.

use valvestage_wire::Target;

/// Kind of sender of a datagram, determined by the source address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The fabric, which forwards packets of callers.
    Fabric,
    /// Another balancer.
    Peer,
    /// A backend server of the installed configuration.
    Backend(Target),
}
