//! The operators' tool: one file for each job, the console round them.
//!
//! Operators drive a fleet by its configuration alone, so most jobs read or
//! write the one head object on the platform; the others ask the nodes.

mod apply;
mod check;
mod cli;
mod console;
mod drain;
mod explain;
mod failure;
mod fleet;
mod keys;
mod publish;
mod shape;
mod show;
mod span;
mod status;
mod store;
mod table;
mod vms;

pub use check::{Checked, Half, check};
pub use cli::{command, env_name, run};
pub use console::Console;
pub use failure::{Conflict, Failure, FileFault, Result};
pub use publish::{
    Base, Outcome, base, confirm_parts, past_document, publish_head, put_head, put_parts, put_past,
    read_back,
};
pub use store::{Store, StoreObject};
