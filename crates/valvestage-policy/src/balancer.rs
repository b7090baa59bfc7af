//! The decisions of one balancer, with the flow and request parts joined.

mod balancer_options;
mod balancer_policy;
mod request_routing;

pub use balancer_options::BalancerOptions;
pub use balancer_policy::BalancerPolicy;
#[cfg(doc)]
use request_routing::MOST_HELD;
