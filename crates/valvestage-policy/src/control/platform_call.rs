//! Calls to the platform's object API, and their replies.

use valvestage_core::ids::ObjectVersion;

use super::object_key::{ObjectKey, ObjectValue};

/// Call that a state machine requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformCall {
    /// Read an object.
    Read {
        /// Key of the object.
        key: ObjectKey,
    },
    /// Write an object, on the condition that its version has not changed.
    Write {
        /// Key of the object.
        key: ObjectKey,
        /// Version that the object must have; `None` if it must not exist.
        expected: Option<ObjectVersion>,
        /// Value to write.
        value: ObjectValue,
    },
}

/// Result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformReply {
    /// The object was read.
    Found {
        /// Version of the object.
        version: ObjectVersion,
        /// Value of the object.
        value: ObjectValue,
    },
    /// The object does not exist.
    Missing,
    /// The object was written.
    Written {
        /// Version that the write created.
        version: ObjectVersion,
    },
    /// The object has another version; nothing was written.
    Conflict,
    /// No answer arrived: a write may have taken effect, or may still do so.
    Unknown,
}
