//! Messages that valvestage's processes exchange with each other and with operators.
//!
//! | module | contents |
//! |---|---|
//! | [`envelope`] | the header before the opaque payload of each datagram (PROXY protocol v2) |
//! | [`peers`] | the RPC service between balancers (tarpc over TCP) |
//! | [`operators`] | messages of the operators' API (JSON over HTTP) |
//! | [`status`] | the status that a balancer reports to operators (JSON over HTTP) |
//! | [`errors`] | the error type of this crate |

pub mod envelope;
pub mod errors;
pub mod operators;
pub mod peers;
pub mod status;

pub use envelope::{Envelope, Header, Target};
pub use errors::WireError;
