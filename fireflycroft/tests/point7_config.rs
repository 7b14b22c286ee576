//! Guarantee 7, in the core: an active configuration is never replaced by an older one.

mod support;

use fireflycroft::Code;
use support::cases;
use support::fleet::{self, CallSpec, Proc};
use support::link::NetworkMode;
use support::oracle::Outcome;

const ENTRY: Proc = Proc::Entry(0);

cases! {
    lower_version_is_not_taken(world) {
        for proc in Proc::all() {
            world.configure(proc, &fleet::config(5, false));
            world.configure(proc, &fleet::config(2, false));
            assert_eq!(world.version(proc), 5);
        }
    }

    rival_of_the_same_version_is_not_taken(world) {
        for proc in Proc::all() {
            world.configure(proc, &fleet::config(5, true));
            world.configure(proc, &fleet::config(5, false));
            assert_eq!(world.digest(proc), Some(fleet::config(5, true).digest));
        }
    }

    /// An entry that knows of a later version runs nothing until it has that version, then
    /// serves the requests that waited.
    entry_behind_serves_when_it_caught_up(world) {
        world.configure(Proc::Agent(0), &fleet::config(2, false));
        world.configure(Proc::Agent(1), &fleet::config(2, false));
        world.configure(Proc::Agent(2), &fleet::config(2, false));
        let first = world.submit(0, CallSpec::default()).unwrap();
        world.advance(2);
        let second = world.submit(0, CallSpec::default()).unwrap();
        assert_eq!((world.runs(first), world.runs(second)), (0, 0));
        assert_eq!(world.version(ENTRY), 1);
        world.advance(2_000);
        assert_eq!(world.outcome(second), Some(Outcome::Whole));
        assert_eq!(world.outcome(first), Some(Outcome::Whole));
        assert_eq!(world.version(ENTRY), 2);
    }

    /// An entry that cannot catch up refuses at its time limit and has run nothing.
    entry_that_stays_behind_refuses(world) {
        world.configure(Proc::Agent(0), &fleet::config(2, false));
        world.configure(Proc::Agent(1), &fleet::config(2, false));
        world.configure(Proc::Agent(2), &fleet::config(2, false));
        let first = world.submit(0, CallSpec::default()).unwrap();
        world.advance(1);
        for agent in 0..3 {
            let (entry, agent) = (ENTRY.addr(), Proc::Agent(agent).addr());
            world.net.cut(entry, agent);
        }
        world.advance(4_000);
        assert_eq!(world.outcome(first), Some(Outcome::Failed(Code::ConfigOutdated)));
        assert_eq!(world.runs(first), 0);
    }

    /// A lagging agent catches up before it runs anything.
    agent_behind_catches_up_before_work_runs(world) {
        world.configure(ENTRY, &fleet::config(4, false));
        let first = world.submit(0, CallSpec::default()).unwrap();
        world.advance(2);
        assert_eq!(world.runs(first), 0);
        world.advance(1_000);
        let second = world.submit(0, CallSpec::default()).unwrap();
        world.advance(2_000);
        assert_eq!(world.outcome(second), Some(Outcome::Whole));
        let agent = world.agent_of(second).unwrap();
        assert_eq!(world.version(Proc::Agent(agent)), 4);
    }

    /// A resumed peer still holds and announces the old version.
    frozen_peer_brings_nothing_back(world) {
        world.freeze(Proc::Entry(1));
        for proc in Proc::all() {
            world.configure(proc, &fleet::config(5, false));
        }
        world.advance(5_000);
        world.thaw(Proc::Entry(1));
        world.submit(1, CallSpec::default());
        world.advance(2_000);
        for proc in Proc::all() {
            assert_eq!(world.version(proc), 5);
        }
    }

    process_without_configuration_is_not_ready(world) {
        world.kill(ENTRY);
        world.restart_isolated(0, false);
        let call = world.submit(0, CallSpec::default()).unwrap();
        assert_eq!(world.outcome(call), Some(Outcome::Failed(Code::NotReady)));
    }

    versions_read_out_of_order_in_a_storm(world) {
        world.net.mode = NetworkMode::Combined;
        for version in [3, 2, 6, 4, 5, 1] {
            for proc in Proc::all() {
                world.configure(proc, &fleet::config(version, version % 2 == 0));
                world.submit(0, CallSpec::default());
                world.advance(50);
            }
        }
        for proc in Proc::all() {
            assert_eq!(world.version(proc), 6);
        }
    }
}
