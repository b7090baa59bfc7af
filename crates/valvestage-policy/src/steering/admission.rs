//! Admission of new flows by priority while a service is short of slots.
//!
//! | module | contents |
//! |---|---|
//! | [`shortage`] | whether a service is short of slots |
//! | [`admission_shares`] | the share of each priority's new flows that the slots can serve |
//! | `service_admission` | the state of admission to one service |
//! | [`caller_rates`] | callers that open far more flows than the others |
//! | `refused_flows` | flows that were refused a moment ago |
//! | [`admission_policy`] | the verdict on one opening packet |

pub mod admission_policy;
pub mod admission_shares;
pub mod caller_rates;
mod refused_flows;
mod service_admission;
pub mod shortage;
