//! The decision logic of valvestage, without I/O.
//!
//! Each type takes typed events with the present time and returns typed verdicts or actions.
//! Nothing here opens a socket, starts a thread, reads a clock or uses an unseeded random number,
//! so any driver (a binary, a test, a benchmark) can run it.
//!
//! | module | decides |
//! |---|---|
//! | [`rendezvous`] | which candidate a key prefers |
//! | [`flows`] | which backend server a flow packet goes to |
//! | [`requests`] | when, where and whether a request runs |
//! | [`membership`] | which balancers are alive, and which is the home of a flow |
//! | [`control`] | leases, service owners and object versions |
//! | [`operations`] | operators' plans, and explanations of decisions |
//! | [`steering`] | which backend server a packet goes to, if only packets are seen |
//! | [`balancer`] | how these parts work together in one balancer |

pub mod balancer;
pub mod control;
pub mod errors;
pub mod flows;
pub mod membership;
pub mod operations;
pub mod rendezvous;
pub mod requests;
pub mod steering;

pub use balancer::BalancerPolicy;
pub use errors::PolicyError;
