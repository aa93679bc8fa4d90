//! The random numbers of a balancer: one generator, seeded once.
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub(super) struct Random {
    generator: Pcg64Mcg,
}

impl Random {
    pub(super) fn new(seed: u64) -> Self {
        Random {
            generator: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// A number from zero up to, but excluding, one.
    pub(super) fn fraction(&mut self) -> f64 {
        (self.generator.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// An index into a list of `count` entries.
    pub(super) fn index(&mut self, count: usize) -> usize {
        ((u128::from(self.generator.next_u64()) * count as u128) >> 64) as usize
    }
}
