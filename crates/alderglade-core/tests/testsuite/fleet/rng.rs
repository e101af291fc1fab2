//! A seeded random number generator.

/// Pseudorandom numbers from a seed. Unlike a byte buffer, it never runs out in tests with thousands of steps.
pub(super) struct SeededRng(pub(super) u64);

impl SeededRng {
    /// Returns a number below `end`, which must not be zero.
    pub(super) fn next_below(&mut self, end: u64) -> u64 {
        // SplitMix64 mixes the bits of each step over the whole word.
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut word = self.0;
        word = (word ^ (word >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        word = (word ^ (word >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (word ^ (word >> 31)) % end
    }

    /// Returns the index of one of `count` hosts.
    pub(super) fn next_host(&mut self, count: usize) -> usize {
        self.next_below(count as u64) as usize
    }
}
