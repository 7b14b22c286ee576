//! Guarantee 5, in the core: a leaving agent accepts no new work.

mod support;

use fireflycroft::Code;
use support::cases;
use support::fleet::{AGENTS, CallSpec, ENGINES, Kind, Proc};
use support::link::NetworkMode;
use support::oracle::Outcome;
use support::upstream::UpstreamMode;
use support::world::World;

fn plain_service() -> CallSpec {
    CallSpec {
        kind: Kind::Service,
        ..CallSpec::default()
    }
}

const LEAVING: Option<Outcome> = Some(Outcome::Failed(Code::Leaving));

/// Starts streams that keep leaving agents from stopping.
fn keep_busy(world: &mut World) {
    for agent in 0..AGENTS {
        world.set_pause(agent, 500);
    }
    let long = CallSpec {
        content: 5,
        ..CallSpec::default()
    };
    world.submit(
        0,
        CallSpec {
            kind: Kind::Service,
            ..long
        },
    );
    for _ in 0..20 {
        if (0..AGENTS).all(|agent| world.running(agent) > 0) {
            return;
        }
        world.submit(0, long);
        world.advance(20);
    }
    panic!("an agent stays idle");
}

cases! {
    /// No entry knows that the agent is leaving.
    stale_entries_offer_to_a_leaving_agent(world) {
        keep_busy(world);
        world.leave(Proc::Agent(3));
        let calls = [0, 1, 2].map(|entry| world.submit(entry, plain_service()).unwrap());
        world.advance(50);
        for call in calls {
            assert_eq!(world.outcome(call), LEAVING);
            assert_eq!(world.runs(call), 0);
        }
    }

    work_goes_to_the_engines_that_stay(world) {
        keep_busy(world);
        world.leave(Proc::Agent(0));
        world.leave(Proc::Agent(1));
        world.set_pause(2, 0);
        for i in 0..6 {
            let call = world.submit(i % 3, CallSpec::default()).unwrap();
            world.advance(500);
            assert_eq!(world.agent_of(call), Some(2), "call {i}");
            assert_eq!(world.outcome(call), Some(Outcome::Whole));
        }
    }

    /// The offer was sent before the leave and arrives after it.
    offer_overtaken_by_the_leave(world) {
        keep_busy(world);
        let call = world.submit(0, plain_service()).unwrap();
        world.leave(Proc::Agent(3));
        world.advance(100);
        assert_eq!(world.outcome(call), LEAVING);
    }

    /// A reservation from before the leave may start within its hold.
    reserved_before_the_leave(world) {
        let call = world.submit(0, plain_service()).unwrap();
        world.advance(1);
        world.leave(Proc::Agent(3));
        world.advance(5_000);
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
    }

    /// The start of a reservation from before the leave arrives after its hold.
    start_delayed_past_the_hold_of_a_leaving_agent(world) {
        let call = world.submit(0, plain_service()).unwrap();
        world.advance(2);
        world.leave(Proc::Agent(3));
        world.freeze(Proc::Agent(3));
        world.advance(2_500);
        world.thaw_with(Proc::Agent(3), false);
        world.advance(5_000);
        assert_eq!(world.runs(call), 0);
    }

    waiting_requests_move_on_at_the_leave(world) {
        for agent in 0..ENGINES {
            world.set_upstream_mode(agent, UpstreamMode::Full);
        }
        let spec = CallSpec { interactive: false, ..CallSpec::default() };
        let calls: Vec<_> = (0..12).map(|i| world.submit(i % 3, spec).unwrap()).collect();
        world.advance(100);
        world.leave(Proc::Agent(0));
        world.advance(100);
        for agent in 0..ENGINES {
            world.set_upstream_mode(agent, UpstreamMode::Serve);
        }
        world.advance(10_000);
        let whole = calls.iter().filter(|c| world.outcome(**c) == Some(Outcome::Whole));
        assert_eq!(whole.count(), calls.len());
    }

    copies_of_old_offers_reach_a_leaving_agent(world) {
        world.net.mode = NetworkMode::Duplicating;
        for i in 0..6 {
            world.submit(i % 3, CallSpec::default());
        }
        world.advance(30);
        for agent in 0..ENGINES {
            world.leave(Proc::Agent(agent));
        }
        world.advance(100_000);
    }

    agent_stays_after_all(world) {
        let first = world.submit(0, CallSpec { content: 5, ..plain_service() }).unwrap();
        world.advance(50);
        world.leave(Proc::Agent(3));
        let refused = world.submit(0, plain_service()).unwrap();
        world.advance(50);
        assert_eq!(world.outcome(refused), LEAVING);
        world.cancel_leave(3);
        world.advance(1_200);
        let call = world.submit(0, plain_service()).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(first), Some(Outcome::Whole));
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
    }
}
