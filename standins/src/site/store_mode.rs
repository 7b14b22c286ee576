//! Faults of the stand-in for the store.

use std::net::IpAddr;
use std::time::Duration;

/// Treatment of calls by the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Answers calls.
    #[default]
    Up,
    /// Resets every connection.
    Reset,
    /// Accepts calls and never answers.
    Silent,
    /// Accepts calls of these callers and never answers them.
    SilentTo(Vec<IpAddr>),
    /// Rejects calls of these callers with 503.
    Deny(Vec<IpAddr>),
    /// Never answers this number of next calls, nor later calls on their connections; answers all
    /// others.
    HangNext(u32),
    /// Delays answers by this time.
    Delay(Duration),
    /// Serves reads from the state at the start of this mode and sends no newer events to watches.
    /// The history is compacted when the mode ends.
    Stale,
}

impl StoreMode {
    pub(super) const fn delay(&self) -> Duration {
        match self {
            Self::Delay(delay) => *delay,
            _ => Duration::ZERO,
        }
    }
}
