//! Client of the platform's object API.
//!
//! | module | contents |
//! |---|---|
//! | [`client`] | typed calls with conditional writes, and watches |
//! | [`objects`] | conversion between object values and JSON |
//! | [`errors`] | the error type of this crate |

pub mod client;
pub mod errors;
pub mod objects;

pub use client::{PlatformClient, PlatformOptions};
pub use errors::PlatformError;
