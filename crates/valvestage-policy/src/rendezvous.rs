//! Rendezvous (highest random weight) hashing.
//!
//! Each candidate gets a score from the key and its own seed; the highest score wins. Taking a
//! candidate away moves only the keys that it had, and every party that knows the same candidates
//! comes to the same answer without talking.

/// `mix` hashes two words into one (the finalizer of SplitMix64, applied twice).
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

/// `weighted_score` gives the score of a candidate with a weight; higher is better.
///
/// A candidate wins a share of the keys proportional to its weight (weighted rendezvous hashing,
/// `-w / ln(h)` with h uniform in (0, 1)). A weight of zero scores zero and loses to any other.
#[must_use]
#[inline]
pub fn weighted_score(key: u64, seed: u64, weight: f64) -> f64 {
    const TWO_POW_53: f64 = 9_007_199_254_740_992.0;

    // 53 bits make an exact f64; the half keeps it off 0 and 1, where the logarithm has no use.
    #[allow(clippy::cast_precision_loss)]
    let uniform = ((mix(key, seed) >> 11) as f64 + 0.5) / TWO_POW_53;

    -weight / logarithm(uniform)
}

/// The binary logarithm, to about one part in a thousand.
///
/// Its scale does not matter for the order of scores, and the error shifts shares by less than the
/// draw does; all that counts is that every balancer computes the same. It costs a fraction of the
/// exact one, which would be most of the time of a decision.
#[inline]
fn logarithm(value: f64) -> f64 {
    const MANTISSA_BITS: u32 = 52;
    const EXPONENT_BIAS: f64 = 1_023.0;
    const ONE: u64 = 0x3ff0_0000_0000_0000;

    // value = mantissa * 2^exponent, with the mantissa from 1 to 2.
    let bits = value.to_bits();
    #[allow(clippy::cast_precision_loss)]
    let exponent = (bits >> MANTISSA_BITS) as f64 - EXPONENT_BIAS;
    let mantissa = f64::from_bits(bits & ((1 << MANTISSA_BITS) - 1) | ONE);

    // A cubic that is exact at both ends, so that there is no step from one exponent to the next.
    let x = mantissa - 1.0;
    exponent + x * (1.424_75 + x * (-0.592_25 + x * 0.167_5))
}

/// `best` gives the candidate with the highest score; ties go to the first.
pub fn best<C: Copy>(candidates: impl Iterator<Item = (C, f64)>) -> Option<C> {
    let mut winner: Option<(C, f64)> = None;

    for (candidate, score) in candidates {
        if winner.is_none_or(|(_, leading)| score > leading) {
            winner = Some((candidate, score));
        }
    }

    winner.map(|(candidate, _)| candidate)
}
