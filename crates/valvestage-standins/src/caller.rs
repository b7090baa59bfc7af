//! Callers that hold flows, send requests and check the answers.

mod caller_load;
mod caller_options;
mod caller_summary;
mod flow_caller;
mod request_caller;

pub use caller_load::run;
pub use caller_options::{CallerOptions, ServiceLoad};
pub use caller_summary::{CallerSummary, NotRunIds};
pub use flow_caller::FlowCaller;
pub use request_caller::RequestCaller;
