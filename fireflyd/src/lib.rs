//! The daemon of the fleet: sockets, files and timers round the core, one file for each job.

pub mod admin;
pub mod keyring;
mod link;
pub mod logs;
pub mod mailbox;
pub mod metrics;
pub mod platform;
pub mod port_file;
pub mod settings;
pub mod sse;
pub mod upstream;
