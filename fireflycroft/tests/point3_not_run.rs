//! Point 3: what is said to be not run was not run, and never will be.

mod support;

use fireflycroft::{CRASH_LIMIT, Code};
use support::cases;
use support::fleet::{Ask, ENGINES};
use support::oracle::Outcome;
use support::upstream::Mood;

cases! {
    /// Refused on its second way as quarantined: it ran on its first.
    quarantined_after_a_start_is_not_called_not_run(world) {
        for agent in 0..ENGINES {
            world.set_mood(agent, Mood::Lose(5));
        }
        let ask = Ask { whole: true, ..Ask::default() };
        let call = world.submit(0, ask).unwrap();
        world.advance(10);
        let first = world.agent_of(call).unwrap();
        world.tell_agents_of_crashes(first, &ask, CRASH_LIMIT);
        world.advance(2_000);
        assert_eq!(world.outcome(call), Some(Outcome::Failed(Code::OutcomeUnknown)));
    }
}
