//! In-memory stand-in for the platform's object API, with fault injection.

mod faults;
pub mod published_objects;
mod server;
mod store;

pub use faults::Faults;
pub use server::{PlatformStandin, start};
pub use store::{ObjectStore, WriteError};
