//! The daemon of the fleet: sockets, files and timers round the core, one file for each job.

pub mod answer;
pub mod front;
pub mod keyring;
pub mod mailbox;
pub mod metrics;
pub mod platform;
pub mod request;
pub mod settings;
pub mod sse;
pub mod upstream;
