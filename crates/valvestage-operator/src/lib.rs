//! The HTTP API for operators: plans for intents, confirmation, status and explanations.
//!
//! The process is stateless: plans and the configuration are stored in the platform, so that the
//! operator process of any entry VM can handle the next call.
//!
//! | module | responsibility |
//! |---|---|
//! | [`api`] | routes and authorisation |
//! | [`balancers`] | queries to the balancers |
//! | [`changes`] | conditional writes, and the outcome of writes whose answer was lost |
//! | [`plans`] | computing, storing and confirming plans |
//! | [`explanations`] | explanations of decisions |
//! | [`errors`] | the error type of this crate |

pub mod api;
pub mod balancers;
pub mod changes;
pub mod errors;
pub mod explanations;
pub mod plans;
