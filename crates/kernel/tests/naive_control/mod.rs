//! Naive reference implementations of control decisions, and a seeded random generator for tests.
#![allow(dead_code)]

pub mod config;

use quickcheck::{Arbitrary, Gen};

/// Seeded generator of random test data.
pub struct SeededRng(Gen);

impl SeededRng {
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(Gen::from_size_and_seed(64, seed))
    }

    /// Returns a random number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        let drawn = u64::arbitrary(&mut self.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (drawn >> 16) % bound
    }

    /// Returns `true` with probability `1 / odds`.
    pub fn one_in(&mut self, odds: u64) -> bool {
        self.below(odds) == 0
    }

    /// Returns a random one of `items`.
    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> &'a T {
        &items[self.below(items.len() as u64) as usize]
    }
}
