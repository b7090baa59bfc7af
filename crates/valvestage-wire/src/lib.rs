//! What valvestage's processes say to each other and to operators.
//!
//! | module | contents |
//! |---|---|
//! | [`envelope`] | the header before each datagram's opaque payload (PROXY protocol v2) |
//! | [`peers`] | the service that balancers offer each other (tarpc over TCP) |
//! | [`operators`] | messages of the operators' API (JSON over HTTP) |
//! | [`status`] | what a balancer tells operators of itself (JSON over HTTP) |
//! | [`errors`] | the error type of this crate |

pub mod envelope;
pub mod errors;
pub mod operators;
pub mod peers;
pub mod status;

pub use envelope::{Envelope, Header, Target};
pub use errors::WireError;
