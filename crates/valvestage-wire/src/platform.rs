//! Messages of the platform's object API, version 1.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /v1/objects/KEY` | read: [`StoredObject`], or 404 |
//! | `PUT /v1/objects/KEY` with `If-Match: "VERSION"` | write if unchanged: [`WriteResult`], or 412 |
//! | `PUT /v1/objects/KEY` with `If-None-Match: *` | create: [`WriteResult`], or 412 |
//! | `GET /v1/watch?after=REVISION&timeout_ms=N` | wait for changes: [`WatchResult`] |
//!
//! Versions are revisions of the whole store: they grow with each write of any object.

use serde::{Deserialize, Serialize};
use valvestage_core::ids::ObjectVersion;

/// `StoredObject` is an object with its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Its key.
    pub key: String,
    /// Its version.
    pub version: ObjectVersion,
    /// Its value.
    pub value: serde_json::Value,
}

/// `WriteResult` is the answer to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteResult {
    /// The version written.
    pub version: ObjectVersion,
}

/// `WatchResult` is the answer to a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResult {
    /// The revision to wait after next.
    pub revision: ObjectVersion,
    /// The objects that changed, in their latest versions; leases are left out.
    pub objects: Vec<StoredObject>,
}
