//! Identification of callers in messages about suspicions.

use std::net::Ipv4Addr;

/// Digest of a caller's address, the same on every balancer. Two callers with one digest count as
/// one, which may delay a conclusion but never causes one.
pub type CallerDigest = u8;

/// Returns the digest of a caller's address. Its port does not matter: all flows of an address
/// share the links that lead to it.
#[must_use]
pub fn caller_digest(address: Ipv4Addr) -> CallerDigest {
    /// 2^32 divided by the golden ratio, which gives neighbouring addresses distant products.
    const MULTIPLIER: u32 = 0x9e37_79b9;
    let [digest, ..] = u32::from(address).wrapping_mul(MULTIPLIER).to_be_bytes();

    digest
}
