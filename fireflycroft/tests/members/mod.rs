//! What the tests of this crate share.

// Each test uses a part of it.
#![allow(dead_code)]

pub(crate) mod fleet;

use proptest::test_runner::{Config, FileFailurePersistence, RngSeed};

const SEED: u64 = 0x00f1_4ef1_7c40_f701;

/// Fixed seed; failures are kept beside the tests.
pub(crate) fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        ..Config::default()
    }
}
