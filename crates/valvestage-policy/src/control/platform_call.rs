//! Calls to the platform's object API and their results.

use valvestage_core::ids::ObjectVersion;

use super::object_key::{ObjectKey, ObjectValue};

/// `PlatformCall` is one call that a state machine asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformCall {
    /// Read an object.
    Read {
        /// The object.
        key: ObjectKey,
    },
    /// Write an object if its version is still the one given; `None` means that it must not exist.
    Write {
        /// The object.
        key: ObjectKey,
        /// The version that it must have.
        expected: Option<ObjectVersion>,
        /// The new value.
        value: ObjectValue,
    },
}

/// `PlatformReply` is the result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformReply {
    /// The object was read.
    Found {
        /// Its version.
        version: ObjectVersion,
        /// Its value.
        value: ObjectValue,
    },
    /// The object does not exist.
    Missing,
    /// The object was written.
    Written {
        /// Its new version.
        version: ObjectVersion,
    },
    /// The object has another version; nothing was written.
    Conflict,
    /// No answer came: a write may have taken effect or may still do so.
    Unknown,
}
