//! Seeded faults that show the oracle can fail.
//!
//! Each corrupts what passes between the core and its surroundings, so that
//! the fleet behaves as if one check of the core were missing.

/// The fault that a world is run with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mutant {
    #[default]
    None,
    /// Tokens of any generation count as those that the reader waits for.
    AnyGeneration,
    /// Frames that come twice are handed on twice.
    DeliverTwice,
    /// A reader's workspace is not compared with the generation's.
    AnyWorkspace,
    /// An unknown generation is said to be never started.
    UnknownIsNotRun,
    /// A claim that meets another counts as won.
    EveryClaimWon,
    /// The agent is not told to leave.
    IgnoreLeave,
    /// A leaving process ends at once.
    StopAtOnce,
    /// A lower configuration is taken.
    AnyConfig,
    /// Entries hear no ticks.
    NoTicks,
}
