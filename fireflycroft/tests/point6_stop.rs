//! Guarantee 6, in the core: a planned stop interrupts nothing in progress.

mod support;

use fireflycroft::Code;
use support::cases;
use support::fleet::{self, CallSpec, ENGINES, ENTRIES, Kind, Proc};
use support::oracle::Outcome;

fn long() -> CallSpec {
    CallSpec {
        content: 5,
        ..CallSpec::default()
    }
}

cases! {
    entry_stops_under_running_streams(world) {
        let calls: Vec<_> = (0..6).map(|_| world.submit(0, long()).unwrap()).collect();
        world.advance(200);
        world.leave(Proc::Entry(0));
        let refused = world.submit(0, CallSpec::default()).unwrap();
        assert_eq!(world.outcome(refused), Some(Outcome::Failed(Code::Leaving)));
        world.advance(30_000);
        for call in calls {
            assert_eq!(world.outcome(call), Some(Outcome::Whole));
        }
        assert!(world.incarnation(Proc::Entry(0)) > 0, "it did not stop");
    }

    entry_stops_with_a_claim_under_way(world) {
        let spec = CallSpec { key: Some(1), kind: Kind::Service, ..long() };
        let call = world.submit(0, spec).unwrap();
        world.advance(2);
        world.leave(Proc::Entry(0));
        world.advance(20_000);
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
    }

    agent_stops_under_running_streams(world) {
        let calls: Vec<_> = (0..6).map(|i| world.submit(i % 3, long()).unwrap()).collect();
        world.advance(200);
        for agent in 0..ENGINES {
            world.leave(Proc::Agent(agent));
        }
        world.advance(60_000);
        for call in calls {
            assert_eq!(world.outcome(call), Some(Outcome::Whole));
            assert_eq!(world.runs(call), 1);
        }
        assert!(world.incarnation(Proc::Agent(0)) > 0, "it did not stop");
    }

    /// Every process stops in turn, while calls are submitted.
    rolling_stop_of_the_whole_fleet(world) {
        let procs: Vec<_> = Proc::all().collect();
        let mut calls = Vec::new();
        for proc in procs {
            for entry in (0..ENTRIES).filter(|e| Proc::Entry(*e) != proc) {
                calls.extend(world.submit(entry, long()));
            }
            world.leave(proc);
            world.advance(6_000);
        }
        world.advance(30_000);
        for call in calls {
            assert_eq!(world.outcome(call), Some(Outcome::Whole), "call {call}");
        }
    }

    /// A leaving agent holds the complete answer; the entry is frozen.
    agent_stop_waits_for_a_frozen_entry(world) {
        let call = world.submit(0, long()).unwrap();
        world.advance(200);
        let agent = Proc::Agent(world.agent_of(call).unwrap());
        world.freeze(Proc::Entry(0));
        world.leave(agent);
        world.advance(20_000);
        assert_eq!(world.incarnation(agent), 0, "it stopped too early");
        world.thaw(Proc::Entry(0));
        world.advance(10_000);
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
    }

    /// The entry died; its caller resumes from a leaving agent.
    agent_stop_waits_for_a_caller_to_come_back(world) {
        let call = world.submit(0, long()).unwrap();
        world.advance(200);
        let agent = Proc::Agent(world.agent_of(call).unwrap());
        world.kill(Proc::Entry(0));
        world.leave(agent);
        world.advance(20_000);
        let rest = world.resume(1, call, world.next_token(call)).unwrap();
        world.advance(5_000);
        assert_eq!(world.outcome(rest), Some(Outcome::Whole));
    }

    /// A configuration without the workspace interrupts no running stream.
    workspace_removed_under_its_running_stream(world) {
        let call = world.submit(0, CallSpec { workspace: 2, ..long() }).unwrap();
        world.advance(200);
        for proc in Proc::all() {
            world.configure(proc, &fleet::config(3, false));
        }
        let refused = world.submit(0, CallSpec { workspace: 2, ..long() }).unwrap();
        world.advance(20_000);
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
        assert_eq!(world.outcome(refused), Some(Outcome::Failed(Code::KeyRefused)));
    }
}
