//! The fleet daemon: connects the core to sockets, files and timers, one module per task.

mod acceptor;
pub mod admin;
pub mod agent;
pub mod answer;
pub mod claims;
pub mod config_feed;
mod engine_messages;
pub mod entry;
mod flags;
pub mod fleet;
pub mod frontend;
pub mod grace_period;
mod http_server;
pub mod journal;
pub mod keyring;
pub mod leader;
pub mod leases;
mod link;
pub mod mailbox;
pub mod metrics;
pub mod node;
pub mod outbox;
mod plain_client;
pub mod platform;
pub mod port_file;
pub mod process;
pub mod request;
pub mod runner;
mod service;
mod setting_check;
pub mod settings;
pub mod sse;
pub mod status;
mod tls;
pub mod upstream;

pub use fireflylog as logs;
