//! Ids, validated types, errors and settings shared by every valvestage crate.
//!
//! | module | contents |
//! |---|---|
//! | [`ids`] | type aliases for ids |
//! | [`time`] | conversions between [`std::time::SystemTime`] and Unix milliseconds |
//! | [`configuration`] | the deployment configuration and its validation |
//! | [`packets`] | packet kinds, request attributes, load reports |
//! | [`reasons`] | refusal and retry reasons, request outcomes |
//! | [`store_position`] | positions in the history of the platform's store |
//! | [`settings`] | TOML settings of the binaries |
//! | [`errors`] | the error type of this crate |

pub mod configuration;
pub mod errors;
pub mod ids;
pub mod packets;
pub mod reasons;
pub mod settings;
pub mod store_position;
pub mod time;

pub use configuration::{Backend, BackendState, Configuration, RawConfiguration, Service};
pub use errors::CoreError;
pub use packets::{LoadReport, PacketKind, RequestClass, Segment};
pub use reasons::{Outcome, RefusalReason, RetryReason};
pub use store_position::StorePosition;
