//! Tells from log lines what became of a flow, and why.
//!
//! | module | contents |
//! |---|---|
//! | [`log_line`] | one line of `valvestage-entry`'s log |
//! | [`story_query`] | what is asked about |
//! | [`story`] | the lines that belong to the answer, in order |
//! | [`sentences`] | a line in plain words |
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
