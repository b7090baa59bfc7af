//! Request scheduling: admission, queueing, dispatch to backend servers, retries and claims.
//!
//! One balancer, the owner of a service, decides for all requests of the service. Only then is the
//! count of occupied slots of each backend server exact, and each non-repeatable request claimed
//! only once.

mod attempt_record;
mod authority;
mod backend_pool;
mod backend_slots;
mod claim;
mod claim_table;
mod exported_claim;
mod request;
mod request_action;
mod request_options;
mod retry_budget;
mod service_admission;
mod service_dispatcher;
mod service_handover;
mod service_replies;
mod wait_queue;

pub use attempt_record::{AttemptRecord, AttemptState};
pub use authority::Authority;
pub use backend_pool::{BackendPool, PoolOptions};
pub use backend_slots::BackendSlots;
pub use claim::{Claim, ClaimState};
pub use claim_table::ClaimTable;
pub use exported_claim::{ExportedClaim, ExportedState};
pub use request::{Refusal, Request};
pub use request_action::RequestAction;
pub use request_options::{ChoiceRule, RequestOptions};
pub use retry_budget::RetryBudget;
pub use service_dispatcher::{ServiceDispatcher, ServiceLoad};
pub use service_replies::BackendReply;
pub use wait_queue::{WaitEntry, WaitQueue};
