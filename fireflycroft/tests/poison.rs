//! Content that crashes every upstream that runs it.
//!
//! Retried by its caller through any entries, it crashes at most `CRASH_LIMIT`
//! upstreams: the count is part of the answer to the entry and is broadcast to
//! the fleet several times.

mod support;

use fireflycroft::{CRASH_LIMIT, Code};
use support::cases;
use support::fleet::{CallSpec, POISON};
use support::link::NetworkMode;
use support::mutant::Mutant;
use support::oracle::Outcome;
use support::world::World;

/// Seeds of the lossy network.
const SEEDS: u64 = 100;

/// Delay before the caller's next attempt, in milliseconds.
const RETRY_DELAY_MS: u64 = 2_500;

fn poison() -> CallSpec {
    CallSpec {
        content: POISON,
        ..CallSpec::default()
    }
}

/// Submits the request to each entry in turn, waiting for each outcome.
fn send_sequentially(world: &mut World, spec: CallSpec, entries: &[usize]) -> Vec<usize> {
    let mut calls = Vec::new();
    for entry in entries {
        let Some(call) = world.submit(*entry, spec) else {
            continue;
        };
        world.advance_until(30_000, |w| w.outcome(call).is_some());
        calls.push(call);
    }
    calls
}

fn crashes(world: &World) -> u32 {
    world.oracle.crashes.get(&POISON).copied().unwrap_or(0)
}

cases! {
    sent_again_through_every_entry(world) {
        let calls = send_sequentially(world, poison(), &[0, 1, 2, 0, 1, 2]);
        assert!(crashes(world) <= u32::from(CRASH_LIMIT), "{}", crashes(world));
        let last = world.outcome(calls[5]);
        assert_eq!(last, Some(Outcome::Failed(Code::Quarantined)));
    }

    sent_again_as_a_whole_answer(world) {
        let spec = CallSpec { whole: true, ..poison() };
        send_sequentially(world, spec, &[2, 0, 1, 1]);
        assert!(crashes(world) <= u32::from(CRASH_LIMIT), "{}", crashes(world));
    }

    sent_again_through_an_entry_that_died(world) {
        send_sequentially(world, poison(), &[0]);
        world.advance(100);
        world.kill(support::fleet::Proc::Entry(1));
        world.advance(4_000);
        send_sequentially(world, poison(), &[1, 2, 1]);
        assert!(crashes(world) <= u32::from(CRASH_LIMIT), "{}", crashes(world));
    }

    crashes_at_one_moment_all_count(world) {
        for entry in 0..3 {
            world.submit(entry, poison());
        }
        world.advance(1_000);
        let at_once = crashes(world);
        assert!(at_once > 1, "one agent ran them all");
        world.advance(4_000);
        send_sequentially(world, poison(), &[0, 1, 2, 0, 1, 2]);
        let limit = at_once.max(u32::from(CRASH_LIMIT));
        assert!(crashes(world) <= limit, "{} after {at_once}", crashes(world));
    }

    sent_again_after_all_entries_and_agents_started_again_in_turn(world) {
        send_sequentially(world, poison(), &[0, 1, 2]);
        let before = crashes(world);
        for proc in support::fleet::Proc::all() {
            world.kill(proc);
            world.advance(6_000);
        }
        send_sequentially(world, poison(), &[0, 1, 2, 0, 1, 2]);
        assert_eq!(crashes(world), before);
    }

    quarantined_request_gets_its_answer_at_once(world) {
        send_sequentially(world, poison(), &[0, 1, 2]);
        world.advance(100);
        let call = world.submit(1, poison()).unwrap();
        assert_eq!(world.outcome(call), Some(Outcome::Failed(Code::Quarantined)));
    }

    /// A request on the same upstream whose caller has received nothing restarts.
    innocent_neighbour_is_restarted(world) {
        let spec = CallSpec { content: 5, whole: false, ..CallSpec::default() };
        let innocent = world.submit(0, CallSpec { whole: true, content: 4, ..spec }).unwrap();
        world.advance(20);
        let beside = world.agent_of(innocent).unwrap();
        world.crash(beside);
        world.advance(10_000);
        assert_eq!(world.outcome(innocent), Some(Outcome::Whole));
        assert_eq!(world.runs(innocent), 2);
    }

    /// One crash makes the content a suspect, which may still run.
    innocent_neighbour_is_not_quarantined_by_one_crash(world) {
        let innocent = CallSpec { content: 5, ..CallSpec::default() };
        let call = world.submit(0, innocent).unwrap();
        world.advance(20);
        world.crash(world.agent_of(call).unwrap());
        world.advance(3_000);
        let again = world.submit(1, innocent).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(again), Some(Outcome::Whole));
    }
}

/// Every fifth message is lost; crash counts are retransmitted.
#[test]
fn sent_again_over_a_lossy_network() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, Mutant::None);
        world.net.mode = NetworkMode::Lossy;
        for entry in [0, 1, 2, 0, 1, 2] {
            send_sequentially(&mut world, poison(), &[entry]);
            world.advance(RETRY_DELAY_MS);
        }
        assert!(crashes(&world) <= u32::from(CRASH_LIMIT), "seed {seed}");
        world.settle();
        assert!(world.violations().is_empty(), "{:#?}", world.violations());
    }
}
