//! Helpers shared by the membership tests.

// Each test uses only a part of this module.
#![allow(dead_code)]

pub(crate) mod fleet;

use proptest::test_runner::{Config, FileFailurePersistence, RngSeed};

const SEED: u64 = 0x00f1_4ef1_7c40_f701;

/// Returns a configuration with a fixed seed; failures are stored beside the tests.
pub(crate) fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        ..Config::default()
    }
}
