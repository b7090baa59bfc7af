//! The operators' API: intent, plan, confirmation, status, explanations.
//!
//! It keeps nothing: plans and configuration live in the platform, so that any entry VM's operator
//! process can take the next call.
//!
//! | module | duty |
//! |---|---|
//! | [`api`] | routes and authorisation |
//! | [`balancers`] | asking the balancers |
//! | [`changes`] | conditional writes, and settling those whose answer was lost |
//! | [`plans`] | drawing, storing and confirming plans |
//! | [`stories`] | explanations |
//! | [`errors`] | the error type of this crate |

pub mod api;
pub mod balancers;
pub mod changes;
pub mod errors;
pub mod plans;
pub mod stories;
