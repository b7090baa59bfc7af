//! Random draws that are reproducible from a seed.

/// SplitMix64 generator, which is good enough for jitter and for spreading load over peers.
#[derive(Debug, Clone)]
pub struct SeededDraw {
    state: u64,
}

impl SeededDraw {
    /// Creates a generator with a given seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns the next number of the sequence, evenly distributed over all values.
    pub fn next_number(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);

        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number from 0 up to, but not including, `limit`. A limit of 0 counts as 1.
    pub fn below(&mut self, limit: usize) -> usize {
        let limit = u64::try_from(limit).unwrap_or(u64::MAX).max(1);

        usize::try_from(self.next_number() % limit).unwrap_or(0)
    }

    /// Returns a number in `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        unit_of(self.next_number())
    }
}

/// Maps any number to `[0, 1)` by its lowest 20 bits.
#[must_use]
pub fn unit_of(number: u64) -> f64 {
    const STEPS: u32 = 1 << 20;
    let step = u32::try_from(number % u64::from(STEPS)).unwrap_or(0);

    f64::from(step) / f64::from(STEPS)
}
