//! Request scheduling: admission, queueing, dispatch to backend servers, retries and claims.
//!
//! One balancer, the owner of a service, decides for all requests of the service. Only then is the
//! count of occupied slots of each backend server exact, and a non-repeatable request claimed once.

mod authority;
mod backend_pool;
mod backend_slots;
mod claim;
mod claim_table;
mod handover;
mod request;
mod request_action;
mod request_options;
mod retry_budget;
mod service_admission;
mod service_dispatcher;
mod service_handover;
mod service_replies;
mod try_record;
mod wait_queue;

pub use authority::Authority;
pub use backend_pool::{BackendPool, PoolOptions};
pub use backend_slots::BackendSlots;
pub use claim::{Claim, ClaimState};
pub use claim_table::ClaimTable;
pub use handover::{HandedClaim, HandedState};
pub use request::{Refusal, Request};
pub use request_action::RequestAction;
pub use request_options::{ChoiceRule, RequestOptions};
pub use retry_budget::RetryBudget;
pub use service_dispatcher::{ServiceDispatcher, ServiceLoad};
pub use service_replies::BackendReply;
pub use try_record::{TryRecord, TryState};
pub use wait_queue::{WaitEntry, WaitQueue};
