//! The balancers of one availability zone, as known by one of them.

use std::net::SocketAddrV4;

/// The known balancers of the availability zone of this balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneMembers {
    /// Address of this balancer.
    pub own: SocketAddrV4,
    /// Addresses of the others, for some seconds including failed ones. Balancers whose zone is not
    /// known count as members: a decision by rank then rather leaves work to a balancer that does
    /// not exist than takes over the work of another one.
    pub others: Vec<SocketAddrV4>,
    /// Whether all members know this balancer, and this balancer knows all of them, as far as it
    /// can know that.
    pub is_settled: bool,
}
