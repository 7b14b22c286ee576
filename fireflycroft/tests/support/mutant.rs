//! Seeded faults that show that the oracle detects violations.
//!
//! Each changes the core's inputs or outputs so that the fleet behaves as if
//! one check of the core were missing.

/// The seeded fault of a world.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mutant {
    #[default]
    None,
    /// Readers accept tokens of any generation.
    AnyGeneration,
    /// Tokens are delivered to the caller twice.
    DeliverTwice,
    /// A reader's workspace is not compared with the generation's.
    AnyWorkspace,
    /// An unknown generation is reported as never started.
    UnknownIsNotRun,
    /// A claim that conflicts with another counts as acquired.
    EveryClaimWon,
    /// Agents ignore the order to leave.
    IgnoreLeave,
    /// A leaving process ends without waiting for its calls.
    StopAtOnce,
    /// A lower configuration version is accepted.
    AnyConfig,
    /// Entries get no ticks.
    NoTicks,
}
