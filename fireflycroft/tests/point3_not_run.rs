//! Guarantee 3: work reported as not run has not run and never will.

mod support;

use fireflycroft::{Class, Code};
use support::cases;
use support::fleet::{CallSpec, ENGINES, Kind, Proc};
use support::link::NetworkMode;
use support::oracle::Outcome;
use support::upstream::UpstreamMode;
use support::world::World;

fn code(world: &World, call: usize) -> Code {
    match world.outcome(call) {
        Some(Outcome::Failed(code)) => code,
        other => panic!("call {call}: {other:?}"),
    }
}

fn freeze_engines(world: &mut World) {
    for agent in 0..ENGINES {
        world.freeze(Proc::Agent(agent));
    }
}

fn thaw_engines(world: &mut World) {
    for agent in 0..ENGINES {
        world.thaw(Proc::Agent(agent));
    }
}

cases! {
    /// The second attempt is refused as quarantined, but the first one ran.
    quarantined_after_a_start_is_not_called_not_run(world) {
        for agent in 0..ENGINES {
            world.set_upstream_mode(agent, UpstreamMode::Lose(5));
        }
        let spec = CallSpec { whole: true, ..CallSpec::default() };
        let call = world.submit(0, spec).unwrap();
        world.advance(10);
        let first = world.agent_of(call).unwrap();
        world.announce_refusal_to_agents(first, &spec);
        world.advance(2_000);
        assert_eq!(code(world, call), Code::OutcomeUnknown);
    }

    /// The offer is in a frozen agent's inbox when the caller is refused.
    agent_frozen_before_it_reads_the_offer(world) {
        freeze_engines(world);
        let call = world.submit(0, CallSpec::default()).unwrap();
        world.advance(5_000);
        assert_eq!(code(world, call).class(), Class::NotRun);
        thaw_engines(world);
        world.advance(10_000);
        assert_eq!(world.runs(call), 0);
    }

    /// The start stays in a frozen agent's inbox past the hold.
    agent_frozen_between_receipt_and_start(world) {
        for timers_first in [false, true] {
            let spec = CallSpec { kind: Kind::Service, ..CallSpec::default() };
            let call = world.submit(0, spec).unwrap();
            world.advance(2);
            world.freeze(Proc::Agent(3));
            world.advance(9_500);
            assert_eq!(world.outcome(call), None);
            world.advance(1_500);
            assert_eq!(code(world, call), Code::OutcomeUnknown);
            world.thaw_with(Proc::Agent(3), timers_first);
            world.advance(5_000);
            assert_eq!(world.runs(call), 0);
        }
    }

    /// As above, but the agent resumes in time to report it.
    agent_thaws_and_says_that_it_never_started(world) {
        let spec = CallSpec { kind: Kind::Service, ..CallSpec::default() };
        let call = world.submit(0, spec).unwrap();
        world.advance(2);
        world.freeze(Proc::Agent(3));
        world.advance(2_500);
        world.thaw(Proc::Agent(3));
        world.advance(5_000);
        assert_eq!(code(world, call).class(), Class::NotRun);
        assert_eq!(world.runs(call), 0);
    }

    /// Offers, accepts and starts are delayed beyond their deadlines.
    dispatch_delayed_past_its_deadline(world) {
        world.net.mode = NetworkMode::Slow;
        let calls: Vec<_> = (0..6)
            .map(|i| world.submit(i % 3, CallSpec::default()).unwrap())
            .collect();
        world.advance(30_000);
        assert!(calls.iter().all(|c| world.outcome(*c).is_some()));
    }

    /// Duplicate offers arrive after the agent has dropped the first.
    offer_copied_after_its_withdrawal_was_forgotten(world) {
        world.net.mode = NetworkMode::Duplicating;
        for i in 0..10 {
            let call = world.submit(i % 3, CallSpec::default()).unwrap();
            world.advance(1);
            world.disconnect_caller(call);
            world.advance(100);
        }
        world.advance(200_000);
    }

    entry_killed_between_offer_and_start(world) {
        let call = world.submit(0, CallSpec::default()).unwrap();
        world.advance(1);
        world.kill(Proc::Entry(0));
        world.advance(5_000);
        assert_eq!(world.runs(call), 0);
    }

    entry_frozen_between_offer_and_start(world) {
        for timers_first in [false, true] {
            let call = world.submit(0, CallSpec::default()).unwrap();
            world.advance(1);
            world.freeze(Proc::Entry(0));
            world.advance(10_000);
            world.thaw_with(Proc::Entry(0), timers_first);
            world.advance(10_000);
            assert!(world.outcome(call).is_some());
        }
    }

    /// The start and all answers are lost: the outcome is reported as unknown.
    unknown_is_said_as_unknown(world) {
        let spec = CallSpec { kind: Kind::Service, ..CallSpec::default() };
        let call = world.submit(0, spec).unwrap();
        world.advance(2);
        let (entry, agent) = (Proc::Entry(0).addr(), Proc::Agent(3).addr());
        world.net.cut(entry, agent);
        world.net.cut(agent, entry);
        world.advance(9_500);
        assert_eq!(world.outcome(call), None);
        world.advance(1_500);
        assert_eq!(code(world, call), Code::OutcomeUnknown);
    }

    /// Started, but no answer arrives: it still runs, so the outcome is unknown.
    answer_to_the_start_lost(world) {
        let spec = CallSpec { kind: Kind::Service, ..CallSpec::default() };
        let call = world.submit(0, spec).unwrap();
        world.advance(3);
        world.net.cut(Proc::Agent(3).addr(), Proc::Entry(0).addr());
        world.advance(9_500);
        assert_eq!(world.outcome(call), None);
        world.advance(1_500);
        assert_eq!(code(world, call), Code::OutcomeUnknown);
        assert_eq!(world.runs(call), 1);
    }

    upstream_refuses_after_the_start(world) {
        for agent in 0..ENGINES {
            world.set_upstream_mode(agent, UpstreamMode::Refuse);
        }
        let call = world.submit(0, CallSpec::default()).unwrap();
        world.advance(5_000);
        assert_eq!(code(world, call), Code::Overloaded);
        assert_eq!(world.runs(call), 0);
    }

    /// There are two offers in total, so one refusal is tolerated.
    one_upstream_refuses_and_another_serves(world) {
        world.set_upstream_mode(0, UpstreamMode::Refuse);
        for i in 0..9 {
            let call = world.submit(i % 3, CallSpec::default()).unwrap();
            world.advance(1_500);
            assert_eq!(world.outcome(call), Some(Outcome::Whole));
        }
    }

    /// The upstream dies between the reservation and the start.
    upstream_dies_before_the_start(world) {
        let spec = CallSpec { kind: Kind::Service, ..CallSpec::default() };
        let call = world.submit(0, spec).unwrap();
        world.advance(2);
        world.crash(3);
        world.advance(5_000);
        assert_eq!(code(world, call).class(), Class::NotRun);
    }

    /// The agent dies with the start in its inbox: the outcome is unknown.
    agent_dies_at_the_start(world) {
        let spec = CallSpec { kind: Kind::Service, ..CallSpec::default() };
        let call = world.submit(0, spec).unwrap();
        world.advance(3);
        world.kill(Proc::Agent(3));
        world.advance(20_000);
        assert_eq!(code(world, call).class(), Class::Unknown);
    }

    refused_at_once_when_nobody_can_run_it(world) {
        for agent in 0..ENGINES {
            world.crash(agent);
        }
        world.advance(10);
        let call = world.submit(0, CallSpec::default()).unwrap();
        world.advance(20);
        assert_eq!(code(world, call), Code::NoUpstream);
    }

    /// The load last received from the agent says that it refuses new work.
    served_again_when_the_upstream_is_back(world) {
        let spec = CallSpec { kind: Kind::Service, ..CallSpec::default() };
        world.crash(3);
        let refused = world.submit(0, spec).unwrap();
        world.advance(3_000);
        assert_eq!(code(world, refused), Code::NoUpstream);
        let call = world.submit(0, spec).unwrap();
        world.advance(2_000);
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
    }

    /// Queued behind long jobs until the configured maximum wait has passed.
    refused_when_its_wait_is_over(world) {
        for agent in 0..ENGINES {
            world.set_upstream_mode(agent, UpstreamMode::Full);
        }
        let calls: Vec<_> = (0..40)
            .map(|i| world.submit(i % 3, CallSpec { content: 5, ..CallSpec::default() }).unwrap())
            .collect();
        world.advance(8_000);
        let refused = calls.iter().filter(|c| world.outcome(**c).is_some());
        assert_eq!(refused.count(), 40 - 3 * ENGINES);
    }
}
