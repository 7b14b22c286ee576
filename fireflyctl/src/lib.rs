//! Command line of the operators, with one module for each job.
//!
//! A fleet is operated through its configuration, so most jobs read or write
//! the head object on the platform; the others query the nodes.

mod apply;
mod baseline;
mod burn;
mod check;
mod cli;
mod command;
mod console;
mod drain;
mod entries;
mod explain;
mod failure;
mod fleet;
mod json_tree;
mod keys;
mod log_line;
mod page;
mod publish;
mod record;
mod report;
mod schema;
mod scrape;
mod show;
mod status;
mod store;
mod table;
mod timeline;
mod vms;
mod wait;

pub use burn::{
    Alert, Cause, GoalReport, PAGE_BURN_RATE, Report, TICKET_BURN_RATE, WINDOWS, WindowReport,
    burn_rate, report,
};
pub use check::{CheckResult, ConfigSection, check};
pub use cli::run;
pub use command::{command, env_name};
pub use console::Console;
pub use failure::{Conflict, Failure, FileFault, Result};
pub use log_line::{LogLine, parse_line};
pub use publish::{
    PublishOutcome, StoredConfig, confirm_parts, past_document, publish_head, put_head, put_parts,
    put_past_head, read_stored_config, read_write_outcome,
};
pub use record::{GoalTally, Interval, Recorder};
pub use scrape::{Goal, Tallies, Tally, parse_metrics};
pub use store::{Store, StoreObject};
pub use timeline::{Timeline, TimelineEvent, build_timeline};
