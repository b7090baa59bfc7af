//! Explains from log lines what happened to a flow, a backend server or a configuration, and why.
//!
//! | module | contents |
//! |---|---|
//! | [`log_line`] | a line of `valvestage-entry`'s log |
//! | [`log_query`] | the subject of a query |
//! | [`line_selection`] | selection of the lines that answer a query |
//! | [`sentences`] | description of a line in plain English |
//! | [`errors`] | the error type of this crate |

pub mod errors;
pub mod line_selection;
pub mod log_line;
pub mod log_query;
pub mod sentences;

pub use errors::LogLineError;
pub use line_selection::select_lines;
pub use log_line::LogLine;
pub use log_query::LogQuery;
