//! The platform's object API, with outages and lost answers on demand.

mod faults;
mod server;
pub mod site_objects;
mod store;

pub use faults::Faults;
pub use server::{PlatformStandin, start};
pub use store::{ObjectStore, WriteRefusal};
