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

    -weight / uniform.ln()
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
