//! Subjects of queries.

use std::net::SocketAddrV4;

/// Subject whose log lines are selected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogQuery {
    /// A flow, by the address and port of its caller.
    Flow(SocketAddrV4),
    /// A backend server, by its id in hexadecimal digits.
    Backend(String),
    /// A configuration, by its version.
    Version(u64),
}
