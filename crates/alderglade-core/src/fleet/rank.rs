//! The rank of a request among those of its service, from the priorities that the configuration states.

/// The rank of a request; lower levels are served first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(u8);

impl Rank {
    /// Returns the level: `0` for the highest rank.
    pub fn level(self) -> u8 {
        self.0
    }
}
