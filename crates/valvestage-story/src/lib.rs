//! Explains from log lines what happened to a flow, a backend server or a configuration, and why.
//!
//! | module | contents |
//! |---|---|
//! | [`log_line`] | a line of `valvestage-entry`'s log |
//! | [`story_query`] | the subject of a query |
//! | [`story`] | selection of the lines that answer a query |
//! | [`sentences`] | description of a line in plain English |
//! | [`errors`] | the error type of this crate |

pub mod errors;
pub mod log_line;
pub mod sentences;
pub mod story;
pub mod story_query;

pub use errors::StoryError;
pub use log_line::LogLine;
pub use story::tell;
pub use story_query::StoryQuery;
