//! Stateful fuzzing of a small fleet against the oracle.
//!
//! `scripts/fuzz` runs it longer and with other seeds.

mod support;

use proptest::prelude::*;
use proptest::test_runner::{Config, FileFailurePersistence, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use support::mutant::Mutant;
use support::op::{Op, any_op};
use support::world::World;

/// Seed of the run in CI.
const CI_SEED: u64 = 20_261_202;

/// Cases of the run in CI.
const CI_CASES: u32 = 256;

/// A script of steps; the oracle itself lives beside the system under test.
struct Script;

impl ReferenceStateMachine for Script {
    type State = u64;
    type Transition = Op;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Op> {
        any_op().boxed()
    }

    fn apply(state: u64, _: &Op) -> u64 {
        state
    }
}

struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = World;
    type Reference = Script;

    fn init_test(seed: &u64) -> World {
        World::new(*seed, Mutant::None)
    }

    fn apply(mut world: World, _: &u64, op: Op) -> World {
        world.apply(op);
        world
    }

    fn check_invariants(world: &World, _: &u64) {
        assert!(world.faults().is_empty(), "{:#?}", world.faults());
    }

    fn teardown(mut world: World, _: u64) {
        world.settle();
        assert!(world.faults().is_empty(), "{:#?}", world.faults());
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
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        max_shrink_iters: 4_096,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// The seven points hold after every step, and nothing hangs.
    #[test]
    fn fleet_keeps_its_promises(sequential 1..80 => Fleet);
}
