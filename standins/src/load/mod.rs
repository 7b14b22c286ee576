//! The load tool: open-loop load, measured at the caller.
//!
//! Arrivals follow a seeded Poisson process and don't wait for answers. Latencies
//! count from the scheduled arrival, so that a delayed start counts against the
//! system. Rates, durations and results are in the simulated time of the engines:
//! with a time scale of 10, ten simulated seconds pass in one real second.

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
