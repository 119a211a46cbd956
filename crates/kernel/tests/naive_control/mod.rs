//! Naive twins of the control decisions, and the dice that draw sessions.
#![allow(dead_code)]

pub mod config;

use quickcheck::{Arbitrary, Gen};

/// Draws from a seeded generator.
pub struct SeededRng(Gen);

impl SeededRng {
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(Gen::from_size_and_seed(64, seed))
    }

    /// Returns a number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        let drawn = u64::arbitrary(&mut self.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (drawn >> 16) % bound
    }

    /// Returns `true` in one of `odds` draws.
    pub fn one_in(&mut self, odds: u64) -> bool {
        self.below(odds) == 0
    }

    /// Returns one of `items`.
    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> &'a T {
        &items[self.below(items.len() as u64) as usize]
    }
}
