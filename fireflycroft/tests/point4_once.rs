//! Guarantee 4: a request that must not be retried runs at most once.

mod support;

use fireflycroft::{Code, MemberState};
use support::cases;
use support::fleet::{CallSpec, ENGINES, Kind, Proc};
use support::oracle::Outcome;
use support::platform::PlatformMode;
use support::upstream::UpstreamMode;
use support::world::World;

fn keyed_call() -> CallSpec {
    CallSpec {
        content: 4,
        key: Some(1),
        ..CallSpec::default()
    }
}

/// A call of the plain service with an idempotency key.
fn service_call() -> CallSpec {
    CallSpec {
        kind: Kind::Service,
        ..keyed_call()
    }
}

fn unkeyed_service_call() -> CallSpec {
    CallSpec {
        key: None,
        ..service_call()
    }
}

fn runs(world: &World, calls: &[usize]) -> usize {
    calls.iter().map(|c| world.runs(*c)).sum()
}

fn assert_whole(world: &World, calls: &[usize]) {
    for call in calls {
        assert_eq!(world.outcome(*call), Some(Outcome::Whole), "call {call}");
    }
}

fn assert_code(world: &World, call: usize, code: Code) {
    assert_eq!(world.outcome(call), Some(Outcome::Failed(code)));
}

cases! {
    same_key_at_two_entries_in_the_same_instant(world) {
        for spec in [keyed_call(), CallSpec { key: Some(2), ..service_call() }] {
            let calls = [0, 1].map(|entry| world.submit(entry, spec).unwrap());
            world.advance(10_000);
            assert_whole(world, &calls);
            assert_eq!(runs(world, &calls), 1);
        }
    }

    same_key_twice_at_one_entry(world) {
        let calls = [0, 0].map(|entry| world.submit(entry, keyed_call()).unwrap());
        world.advance(10_000);
        assert_whole(world, &calls);
        assert_eq!(runs(world, &calls), 1);
    }

    sent_again_after_the_entrys_death(world) {
        for spec in [keyed_call(), CallSpec { key: Some(2), ..service_call() }] {
            let first = world.submit(0, spec).unwrap();
            world.advance(60);
            world.kill(Proc::Entry(0));
            let again = world.submit(1, spec).unwrap();
            world.advance(10_000);
            assert_whole(world, &[again]);
            assert_eq!(runs(world, &[first, again]), 1);
            assert_eq!(world.runs(first), 1);
        }
    }

    /// The entry is killed after the claim took effect and before the start.
    sent_again_after_death_between_claim_and_start(world) {
        let first = world.submit(0, service_call()).unwrap();
        world.advance(2);
        world.kill(Proc::Entry(0));
        world.advance(100);
        assert_eq!(world.runs(first), 0);
        let again = world.submit(1, service_call()).unwrap();
        world.advance(10_000);
        assert_whole(world, &[again]);
    }

    refused_at_once_in_an_outage(world) {
        world.platform.mode = PlatformMode::Unavailable;
        let call = world.submit(0, service_call()).unwrap();
        world.advance(10);
        assert_code(world, call, Code::ClaimUnavailable);
        world.platform.mode = PlatformMode::Up;
        let again = world.submit(1, service_call()).unwrap();
        world.advance(10_000);
        assert_whole(world, &[again]);
        assert_eq!(world.runs(call), 0);
    }

    refused_in_time_when_the_platform_hangs(world) {
        world.platform.mode = PlatformMode::Hung;
        let call = world.submit(0, service_call()).unwrap();
        world.advance(1_700);
        assert_code(world, call, Code::ClaimUnavailable);
    }

    platform_loses_answers(world) {
        world.platform.mode = PlatformMode::LosesAnswers;
        for key in 0..20 {
            let spec = CallSpec { key: Some(key), content: 1, ..service_call() };
            let calls = [0, 1].map(|entry| world.submit(entry, spec).unwrap());
            world.advance(8_000);
            assert!(runs(world, &calls) <= 1);
        }
    }

    /// The write takes effect long after the caller was refused.
    platform_writes_late(world) {
        world.platform.mode = PlatformMode::DelayedWrites;
        for key in 0..20 {
            let spec = CallSpec { key: Some(key), content: 1, ..service_call() };
            let first = world.submit(0, spec).unwrap();
            world.advance(500);
            let again = world.submit(1, spec).unwrap();
            world.advance(8_000);
            assert!(runs(world, &[first, again]) <= 1);
        }
    }

    platform_reads_stale(world) {
        world.platform.mode = PlatformMode::StaleReads;
        for key in 0..10 {
            let spec = CallSpec { key: Some(key), content: 1, ..service_call() };
            let calls = [0, 1, 2].map(|entry| world.submit(entry, spec).unwrap());
            world.advance(8_000);
            assert!(runs(world, &calls) <= 1);
        }
    }

    /// The claiming entry is frozen past its hold, and another takes over the claim.
    claim_holder_frozen_past_its_hold(world) {
        for (key, timers_first) in [(1, false), (2, true)] {
            let spec = CallSpec { key: Some(key), ..service_call() };
            let first = world.submit(0, spec).unwrap();
            world.advance(2);
            world.freeze(Proc::Entry(0));
            world.advance(2_500);
            let again = world.submit(1, spec).unwrap();
            world.advance(2_000);
            world.thaw_with(Proc::Entry(0), timers_first);
            world.advance(10_000);
            assert_whole(world, &[again]);
            assert_eq!(runs(world, &[first, again]), 1);
        }
    }

    /// The claiming entry is frozen for less than its hold, and the other waits for it.
    claim_holder_frozen_within_its_hold(world) {
        let first = world.submit(0, service_call()).unwrap();
        world.advance(2);
        world.freeze(Proc::Entry(0));
        world.advance(300);
        let again = world.submit(1, service_call()).unwrap();
        world.advance(500);
        world.thaw(Proc::Entry(0));
        world.advance(10_000);
        assert_whole(world, &[first, again]);
        assert_eq!(runs(world, &[first, again]), 1);
    }

    agent_frozen_past_its_hold(world) {
        let first = world.submit(0, service_call()).unwrap();
        world.advance(2);
        world.freeze(Proc::Agent(3));
        world.advance(2_500);
        world.thaw(Proc::Agent(3));
        let again = world.submit(1, service_call()).unwrap();
        world.advance(10_000);
        assert_whole(world, &[again]);
        assert_eq!(runs(world, &[first, again]), 1);
    }

    /// Whether it ran is unknown, so it is not run again.
    agent_restarted_under_a_claim(world) {
        let first = world.submit(0, service_call()).unwrap();
        world.advance(60);
        assert_eq!(world.runs(first), 1);
        world.kill(Proc::Agent(3));
        world.advance(5_000);
        let again = world.submit(1, service_call()).unwrap();
        world.advance(5_000);
        assert_code(world, again, Code::ClaimUnresolved);
    }

    /// The caller disconnects while the claim is written, so nothing starts.
    caller_gone_while_claiming_then_sent_again_late(world) {
        let first = world.submit(0, service_call()).unwrap();
        world.advance(3);
        world.disconnect_caller(first);
        world.advance(180_000);
        let again = world.submit(1, service_call()).unwrap();
        world.advance(10_000);
        assert_whole(world, &[again]);
        assert_eq!(world.runs(first), 0);
    }

    /// The upstream refuses the start, so the key is free again.
    upstream_refused_then_sent_again(world) {
        for wait in [10, 180_000] {
            let spec = CallSpec { key: Some(u8::try_from(wait % 7).unwrap()), ..service_call() };
            world.set_upstream_mode(3, UpstreamMode::Refuse);
            let first = world.submit(0, spec).unwrap();
            world.advance(1_000);
            assert_code(world, first, Code::Overloaded);
            world.set_upstream_mode(3, UpstreamMode::Serve);
            world.advance(wait);
            let again = world.submit(1, spec).unwrap();
            world.advance(10_000);
            assert_whole(world, &[again]);
        }
    }

    sent_again_after_its_end(world) {
        let first = world.submit(0, service_call()).unwrap();
        world.advance(5_000);
        let again = world.submit(1, service_call()).unwrap();
        world.advance(1_000);
        assert_whole(world, &[first, again]);
        assert_eq!(runs(world, &[first, again]), 1);
    }

    sent_again_after_its_answer_was_forgotten(world) {
        let first = world.submit(0, service_call()).unwrap();
        world.advance(120_000);
        let again = world.submit(1, service_call()).unwrap();
        world.advance(1_000);
        assert_code(world, again, Code::AlreadyRan);
        assert_eq!(world.runs(first), 1);
    }

    /// The second entry believes the agent that holds the claim to be dead.
    sent_again_through_an_entry_that_does_not_know_the_agent(world) {
        let first = world.submit(0, keyed_call()).unwrap();
        world.advance(60);
        let agent = world.agent_of(first).unwrap();
        world.announce_member(1, agent, MemberState::Dead);
        let again = world.submit(1, keyed_call()).unwrap();
        world.advance(10_000);
        assert_whole(world, &[first, again]);
    }

    no_key_and_the_upstream_dies(world) {
        // With the same content, the third call would be quarantined.
        for (tokens, content) in [(0, 3), (1, 4), (20, 5)] {
            world.set_upstream_mode(3, UpstreamMode::Die(tokens));
            let call = world.submit(0, CallSpec { content, ..unkeyed_service_call() }).unwrap();
            world.advance(10_000);
            assert_code(world, call, Code::UpstreamFailed);
            assert_eq!(world.runs(call), 1);
        }
    }

    no_key_and_the_agent_freezes(world) {
        let call = world.submit(0, unkeyed_service_call()).unwrap();
        world.advance(4);
        world.freeze(Proc::Agent(3));
        world.advance(9_500);
        assert_eq!(world.outcome(call), None);
        world.advance(1_500);
        world.thaw(Proc::Agent(3));
        assert_code(world, call, Code::OutcomeUnknown);
        assert_eq!(world.runs(call), 1);
    }

    /// The caller forbids retries of a generation that could be retried.
    never_repeat_and_the_engine_dies(world) {
        for agent in 0..ENGINES {
            world.set_upstream_mode(agent, UpstreamMode::Die(0));
        }
        let spec = CallSpec { kind: Kind::NeverRetry, ..CallSpec::default() };
        let call = world.submit(0, spec).unwrap();
        world.advance(5_000);
        assert_code(world, call, Code::UpstreamFailed);
        assert_eq!(world.runs(call), 1);
    }

    /// The claimed call's upstream crashes: the key stays used.
    key_stays_used_after_the_engine_died(world) {
        world.set_upstream_mode(3, UpstreamMode::Die(2));
        let first = world.submit(0, service_call()).unwrap();
        world.advance(5_000);
        let again = world.submit(1, service_call()).unwrap();
        world.advance(5_000);
        assert_code(world, first, Code::UpstreamFailed);
        assert_code(world, again, Code::UpstreamFailed);
        assert_eq!(runs(world, &[first, again]), 1);
    }
}
