//! Backend servers that record each request they run.

mod backend_options;
mod backend_server;
mod run_log;

pub use backend_options::BackendOptions;
pub use backend_server::BackendServer;
pub use run_log::{RunLog, RunSummary};
