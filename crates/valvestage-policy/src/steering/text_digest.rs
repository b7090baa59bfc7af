//! Digests of names that are the same on every balancer.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Returns the upper half of the SipHash-1-3 value of a text. Two given texts collide with a
/// probability of one in four billion.
#[must_use]
pub fn text_digest(text: &str) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(text.as_bytes());

    // The upper half fits into 32 bits.
    #[allow(clippy::cast_possible_truncation)]
    let digest = (hasher.finish() >> 32) as u32;
    digest
}
