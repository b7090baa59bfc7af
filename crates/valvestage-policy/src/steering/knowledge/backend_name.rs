//! Names of backend servers, and their incarnations.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use valvestage_core::ids::InstanceId;

use crate::steering::text_digest::text_digest;

/// Start time of a backend server by its own clock, in milliseconds since 1970. The clock may jump
/// back between two starts, so this shows whether two starts are the same, and not for certain which
/// is later.
pub type StartMillis = u64;

/// 24-bit digest that distinguishes the incarnations of one name.
pub type IncarnationDigest = u32;

/// Number of low bits of an incarnation's id that show the backend server's number: ten hex digits.
const NUMBER_BITS: u32 = 40;

/// Name under which a backend server writes its entry. It keeps the name when it restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BackendName {
    /// Hash of the whole name, since two names may end in the same number.
    pub digest: u32,
    /// The number in the name, by which packets address the backend server.
    pub number: u64,
}

/// Returns the last ten hex digits of the number in the name, as kept in an incarnation's id.
#[must_use]
pub fn number_digits(instance: InstanceId) -> u64 {
    instance & ((1 << NUMBER_BITS) - 1)
}

/// Returns the remaining bits of an incarnation's id, to be shown beside [`number_digits`].
#[must_use]
pub fn incarnation_digits(instance: InstanceId) -> u64 {
    instance >> NUMBER_BITS
}

impl BackendName {
    /// Creates a name from its written form and the number in it.
    #[must_use]
    pub fn new(name: &str, number: u64) -> Self {
        Self { digest: text_digest(name), number }
    }

    /// Returns the id of the incarnation that started at `started_at`, which is `None` if its entry
    /// does not say when. The id is the same at every balancer. Its last ten hex digits are those
    /// of the name, for readers of logs. Two starts of one name share the other digits once in 16
    /// million.
    #[must_use]
    pub fn incarnation(self, started_at: Option<StartMillis>) -> InstanceId {
        let mut hasher = SipHasher13::new();
        hasher.write_u32(self.digest);
        hasher.write_u64(started_at.unwrap_or(0));

        // Only the upper bits are left after the shift.
        #[allow(clippy::cast_possible_truncation)]
        let incarnation_digest = (hasher.finish() >> NUMBER_BITS) as IncarnationDigest;
        self.with_digest(incarnation_digest)
    }

    /// Returns the id of the incarnation of this name that has the given digest.
    #[must_use]
    pub fn with_digest(self, incarnation_digest: IncarnationDigest) -> InstanceId {
        self.number ^ (u64::from(incarnation_digest) << NUMBER_BITS)
    }

    /// Returns the digest that distinguishes an incarnation of this name from the others.
    #[must_use]
    pub fn incarnation_digest(self, instance: InstanceId) -> IncarnationDigest {
        // Only 24 bits are left after the shift.
        #[allow(clippy::cast_possible_truncation)]
        let incarnation_digest = ((instance ^ self.number) >> NUMBER_BITS) as IncarnationDigest;
        incarnation_digest
    }
}
