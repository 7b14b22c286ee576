//! Development only: small stand-ins for the systems around fireflycroft.
//!
//! Each stand-in is a library function `serve` that takes a bound listener and
//! returns a [`Running`] server, so that tests can run it in their own process,
//! and a thin binary around that function. It writes what it ran to its
//! [`RunLog`], against which tests with failures check the answers.

pub mod caller;
pub mod cli;
pub mod crowd;
pub mod demo;
pub mod engine;
pub mod http2;
pub mod load;
pub mod oracle;
pub mod plain;
pub mod platform;
pub mod site;
pub mod trouble;

mod acceptor;
mod clock;
mod hash;
mod lognormal;
mod reply;
mod run_log;
mod server;
mod sync;

pub use run_log::RunLog;
pub use server::Running;
