//! Mechanisms of the direct entry that can be switched off, one by one.
//!
//! All are on by default. Operators switch one off if it does harm in an incident,
//! and measurements to determine its effect.

use std::fmt;
use std::str::FromStr;

/// A mechanism that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Memory backups of runs, updated as they grow ([`crate::pick_backup_holder`]).
    Backups,
    /// Migration of runs off departing upstreams ([`crate::departure_action`]).
    Migrations,
    /// Queries to departing upstreams for the time of their end ([`crate::Departure`]).
    Departures,
    /// Admission limits for generations ([`crate::is_admitted`]).
    AdmissionLimits,
    /// Recognition of refused callers when they return ([`crate::ReturningCallers`]).
    ReturningCallers,
    /// Preference by value density at admission ([`crate::ValueDensities`]).
    ValueDensities,
    /// Cost of unread prompts in the choice of an upstream.
    Reading,
    /// Preference of fast engines for long generations ([`crate::Pace`]).
    Pace,
    /// Preference of engines that hold a shared part of the prompt.
    Shared,
    /// Cost of failures in the choice of an upstream.
    Failing,
    /// Hedged calls to the store ([`crate::HedgedCall`]).
    Hedging,
    /// Longer retry delays for callers in an outage ([`crate::unconfigured_retry_after`]).
    Outage,
    /// Load queries to the owners of upstreams ([`crate::owners_of`]).
    Owners,
    /// Queries to engines whether they depart, while the store can't tell.
    DepartureWatch,
    /// Copies of running generations, made while departures may go unannounced.
    StandbyCopies,
    /// Cost of the delays that prompts and answers on one engine cause each other.
    Interference,
    /// Bounded waits of generations for capacity, and reservations for refused ones.
    Waiting,
    /// Discovery of entries through the store, while no seed answers ([`crate::Discovery`]).
    Discovery,
    /// Refused suspects of crashes in the store ([`crate::RefusalKeeper`]).
    KeptRefusals,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 19] = [
        Self::Backups,
        Self::Migrations,
        Self::Departures,
        Self::AdmissionLimits,
        Self::ReturningCallers,
        Self::ValueDensities,
        Self::Reading,
        Self::Pace,
        Self::Shared,
        Self::Failing,
        Self::Hedging,
        Self::Outage,
        Self::Owners,
        Self::DepartureWatch,
        Self::StandbyCopies,
        Self::Interference,
        Self::Waiting,
        Self::Discovery,
        Self::KeptRefusals,
    ];

    /// Returns its name in settings and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Backups => "copies",
            Self::Migrations => "moves",
            Self::Departures => "departures",
            Self::AdmissionLimits => "door",
            Self::ReturningCallers => "returns",
            Self::ValueDensities => "yields",
            Self::Reading => "reading",
            Self::Pace => "pace",
            Self::Shared => "shared",
            Self::Failing => "failing",
            Self::Hedging => "overlap",
            Self::Outage => "outage",
            Self::Owners => "owners",
            Self::DepartureWatch => "departure_watch",
            Self::StandbyCopies => "standby_copies",
            Self::Interference => "interference",
            Self::Waiting => "waiting",
            Self::Discovery => "discovery",
            Self::KeptRefusals => "kept_refusals",
        }
    }

    const fn bit(self) -> u32 {
        1 << self as u16
    }
}

/// Error for a name that no mechanism has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownMechanism(String);

impl fmt::Display for UnknownMechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = Mechanism::ALL.map(Mechanism::name).join(", ");
        write!(
            f,
            "{:?} is not a mechanism; the mechanisms are {names}",
            self.0
        )
    }
}

impl std::error::Error for UnknownMechanism {}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        all.find(|m| m.name() == name)
            .ok_or_else(|| UnknownMechanism(name.to_owned()))
    }
}

/// Set of the enabled mechanisms; all by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    off: u32,
}

impl Policy {
    /// Returns the policy with all mechanisms except `off`.
    #[must_use]
    pub fn without(off: impl IntoIterator<Item = Mechanism>) -> Self {
        let off = off.into_iter();
        Self {
            off: off.fold(0, |bits, m| bits | m.bit()),
        }
    }

    /// Returns whether a mechanism is on.
    #[must_use]
    pub const fn uses(self, mechanism: Mechanism) -> bool {
        self.off & mechanism.bit() == 0
    }
}
