//! Policy of one balancer, which joins the flow and request parts.

mod balancer_options;
mod balancer_policy;
mod owner_change;
mod request_routing;

pub use balancer_options::BalancerOptions;
pub use balancer_policy::BalancerPolicy;
#[cfg(doc)]
use owner_change::MAX_HELD_REQUESTS;
