//! Stateful fuzzing of a small fleet against the oracle.
//!
//! `scripts/fuzz` runs it longer and with other seeds.

mod support;

use proptest::test_runner::{Config, FileFailurePersistence, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::sync::Mutex;
use std::time::Instant;
use support::mutant::Mutant;
use support::op::{MAX_STEPS, Op, Script};
use support::tally::Tally;
use support::world::World;

/// Seed of the run in CI.
const CI_SEED: u64 = 20_261_202;

/// Cases of the run in CI.
const CI_CASES: u32 = 1_000;

/// Iterations for shrinking a failure.
const MAX_SHRINKS: u32 = 4_096;

static TALLY: Mutex<Tally> = Mutex::new(Tally::new());

struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = World;
    type Reference = Script;

    fn init_test(seed: &u64) -> World {
        World::new(*seed, Mutant::None)
    }

    fn apply(mut world: World, _: &u64, op: Op) -> World {
        world.apply(&op);
        world
    }

    fn check_invariants(world: &World, _: &u64) {
        assert!(world.violations().is_empty(), "{:#?}", world.violations());
    }

    fn teardown(mut world: World, _: u64) {
        world.settle();
        TALLY.lock().unwrap().add(&world);
        assert!(world.violations().is_empty(), "{:#?}", world.violations());
    }
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn config() -> Config {
    let seed = number("FLEET_SEED").unwrap_or(CI_SEED);
    let cases = number("FLEET_CASES").and_then(|n| u32::try_from(n).ok());
    Config {
        cases: cases.unwrap_or(CI_CASES),
        rng_seed: RngSeed::Fixed(seed),
        source_file: Some(file!()),
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        max_shrink_iters: MAX_SHRINKS,
        ..Config::default()
    }
}

/// The seven guarantees hold after every step, and no call hangs.
#[test]
fn fleet_keeps_its_promises() {
    let config = config();
    let began = Instant::now();
    let mut runner = TestRunner::new(config.clone());
    let scripts = Script::sequential_strategy(1..MAX_STEPS);
    let result = runner.run(&scripts, |(state, steps, seen)| {
        Fleet::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    TALLY.lock().unwrap().print(began.elapsed());
    if let Err(failure) = result {
        panic!("{failure}\n{runner}");
    }
}
