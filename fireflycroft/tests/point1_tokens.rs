//! Point 1: every token once, in order, of one generation.

mod support;

use support::cases;
use support::fleet::Ask;
use support::oracle::Outcome;

cases! {
    /// A caller who resumes and wants the rest all at once gets it numbered.
    whole_rest_is_numbered_from_the_resume_point(world) {
        let ask = Ask { whole: true, ..Ask::default() };
        let first = world.submit(0, ask).unwrap();
        world.advance(2_000);
        assert_eq!(world.outcome(first), Some(Outcome::Whole));
        let rest = world.resume(1, first, 5).unwrap();
        world.advance(500);
        assert_eq!(world.outcome(rest), Some(Outcome::Whole));
    }
}
