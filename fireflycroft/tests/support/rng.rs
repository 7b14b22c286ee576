//! Random choices of the fakes, all from one seed.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng as _, SeedableRng};

/// Source of a world's random choices.
#[derive(Clone, Debug)]
pub(crate) struct Rng(ChaCha8Rng);

impl Rng {
    pub(crate) fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// A number below `bound`; zero for a bound of zero.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.0.next_u64() % bound
    }

    /// True so many times in a thousand.
    pub(crate) fn per_mille(&mut self, share: u64) -> bool {
        self.below(1_000) < share
    }
}
