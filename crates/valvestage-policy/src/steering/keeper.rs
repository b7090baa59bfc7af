//! Keeping knowledge up to date, from the store and from other balancers.
//!
//! | module | contents |
//! |---|---|
//! | [`knowledge_keeper`] | when to call the store, and what to send to other balancers |
//! | [`keeper_action`] | actions that the driver carries out |
//! | `keeper_exchange` | pulls from other balancers, and answers to theirs |
//! | `keeper_updates` | what was learned, for the log and for other balancers |

pub mod keeper_action;
pub(in crate::steering) mod keeper_exchange;
pub(in crate::steering) mod keeper_updates;
pub mod knowledge_keeper;
