//! Mutation tests of the oracle: it reports each seeded fault under its guarantee.

mod support;

use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::ReferenceStateMachine;
use support::mutant::Mutant;
use support::op::{MAX_STEPS, Op, Script};
use support::oracle::Violation;
use support::scenario;
use support::world::World;

/// Seed of the scripts.
const SEED: u64 = 4;

/// Scripts within which a seeded fault must be caught.
const MAX_SCRIPTS: u32 = 500;

/// Returns the violations that a script causes in a fleet with the seeded fault.
fn violations(mutant: Mutant, seed: u64, steps: &[Op]) -> Vec<Violation> {
    let mut world = World::new(seed, mutant);
    for step in steps {
        world.apply(step);
    }
    world.settle();
    world.violations().to_vec()
}

/// Runs scripts until the oracle reports `point`; returns their number.
fn scripts_until_caught(mutant: Mutant, point: u8) -> Option<u32> {
    let mut runner = TestRunner::new(Config {
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    });
    let scripts = Script::sequential_strategy(1..MAX_STEPS);
    (1..=MAX_SCRIPTS).find(|_| {
        let (seed, steps, _) = scripts.new_tree(&mut runner).unwrap().current();
        violations(mutant, seed, &steps)
            .iter()
            .any(|f| f.point == point)
    })
}

macro_rules! should_catch {
    ($($name:ident: $mutant:ident breaks $point:literal;)+) => {
        $(
            #[test]
            fn $name() {
                let scripts = scripts_until_caught(Mutant::$mutant, $point);
                println!("{:?} caught after {scripts:?} scripts", Mutant::$mutant);
                assert!(scripts.is_some(), "not caught");
            }
        )+
    };
}

should_catch! {
    catches_tokens_delivered_twice: DeliverTwice breaks 1;
    catches_readers_of_any_workspace: AnyWorkspace breaks 2;
    catches_unknown_called_not_run: UnknownIsNotRun breaks 3;
    catches_every_claim_won: EveryClaimWon breaks 4;
    catches_an_agent_that_ignores_leave: IgnoreLeave breaks 5;
    catches_a_stop_that_does_not_wait: StopAtOnce breaks 6;
    catches_a_lower_configuration: AnyConfig breaks 7;
    catches_calls_that_hang: NoTicks breaks 0;
}

/// Random scripts rarely reach this one, so it has a scenario of its own.
#[test]
fn catches_tokens_of_any_generation() {
    let mut world = World::new(SEED, Mutant::AnyGeneration);
    scenario::late_tokens_of_a_fenced_generation(&mut world);
    world.settle();
    assert!(
        world.violations().iter().any(|f| f.point == 1),
        "not caught"
    );
}
