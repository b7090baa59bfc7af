//! Rendezvous (highest random weight) hashing.
//!
//! Each candidate gets a score from the key and its own seed, and the highest score wins. Removing
//! a candidate moves only the keys that it had, and all parties that know the same candidates get
//! the same result without communication.

/// Hashes two words into one, with two applications of the SplitMix64 finalizer.
#[must_use]
#[inline]
pub fn mix(left: u64, right: u64) -> u64 {
    finalize(left ^ finalize(right.wrapping_add(0x9e37_79b9_7f4a_7c15)))
}

#[inline]
fn finalize(mut word: u64) -> u64 {
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);

    word ^ (word >> 31)
}

/// Returns the score of a candidate with a weight; higher is better.
///
/// A candidate wins a share of the keys proportional to its weight (weighted rendezvous hashing,
/// `-w / ln(h)` with h uniform in (0, 1)). A weight of zero gives the score zero, which loses
/// against any positive weight.
#[must_use]
#[inline]
pub fn weighted_score(key: u64, seed: u64, weight: f64) -> f64 {
    const TWO_POW_53: f64 = 9_007_199_254_740_992.0;

    // 53 bits fit an f64 exactly. The added half keeps the value off 0 and 1, where the score is
    // degenerate.
    #[allow(clippy::cast_precision_loss)]
    let uniform = ((mix(key, seed) >> 11) as f64 + 0.5) / TWO_POW_53;

    -weight / logarithm(uniform)
}

/// Returns the binary logarithm, to about one part in a thousand.
///
/// The base does not affect the order of scores, and the error shifts the shares by less than the
/// hash does. It only matters that every balancer computes the same value. The exact logarithm
/// would take most of the time of a decision; the approximation costs a fraction of it.
#[inline]
fn logarithm(value: f64) -> f64 {
    const MANTISSA_BITS: u32 = 52;
    const EXPONENT_BIAS: f64 = 1_023.0;
    const ONE: u64 = 0x3ff0_0000_0000_0000;

    // value = mantissa * 2^exponent, with the mantissa in [1, 2).
    let bits = value.to_bits();
    #[allow(clippy::cast_precision_loss)]
    let exponent = (bits >> MANTISSA_BITS) as f64 - EXPONENT_BIAS;
    let mantissa = f64::from_bits(bits & ((1 << MANTISSA_BITS) - 1) | ONE);

    // The cubic is exact at both ends, so the result is continuous from one exponent to the next.
    let x = mantissa - 1.0;
    exponent + x * (1.424_75 + x * (-0.592_25 + x * 0.167_5))
}

/// Returns the candidate with the highest score, and the first of those on a tie.
pub fn best<C: Copy>(candidates: impl Iterator<Item = (C, f64)>) -> Option<C> {
    let mut winner: Option<(C, f64)> = None;

    for (candidate, score) in candidates {
        if winner.is_none_or(|(_, leading)| score > leading) {
            winner = Some((candidate, score));
        }
    }

    winner.map(|(candidate, _)| candidate)
}
