//! Random numbers of the simulation, all from one seed.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng as _, SeedableRng};

/// Random number generator of a world.
#[derive(Clone, Debug)]
pub(crate) struct Rng(ChaCha8Rng);

impl Rng {
    pub(crate) fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Returns a number below `bound`, or zero if `bound` is zero.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.0.next_u64() % bound
    }

    /// Returns true with a probability of `share` in a thousand.
    pub(crate) fn per_mille(&mut self, share: u64) -> bool {
        self.below(1_000) < share
    }
}
