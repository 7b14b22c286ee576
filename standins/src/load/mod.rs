//! The load tool: open-loop arrivals, measured where the caller stands.
//!
//! Arrivals follow a Poisson process drawn from a seed and don't wait for
//! answers. All latencies count from the intended arrival, so that a late start
//! counts against the system. Rates, durations and results are in the engines'
//! model of time: with a time scale of 10 the clock runs ten times faster than
//! the figures say.

mod call;
mod chart;
mod check;
mod events;
mod meter;
mod mix;
mod plan;
mod progress;
mod prompt;
mod record;
mod report;
mod run;
mod tally;

pub use self::chart::draw;
pub use self::check::{TokenCheck, Violation};
pub use self::meter::Meter;
pub use self::mix::{Class, Goal, Kind, LengthDistribution, Mix, Workspace};
pub use self::plan::{Arrival, arrivals};
pub use self::record::{ClassRecord, Quantiles, Record, Settings};
pub use self::report::table;
pub use self::run::{Config, run};
