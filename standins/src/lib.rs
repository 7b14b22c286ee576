//! Development only: small stand-ins for the systems that surround fireflycroft.
//!
//! Each stand-in is a library function `serve` that takes a bound listener and
//! returns a [`Running`] server, so that a test holds it in its own process, and
//! a thin binary round that function. What a stand-in really ran goes to its
//! [`RunLog`], which is the oracle of tests under failures.

pub mod caller;
pub mod cli;
pub mod demo;
pub mod engine;
pub mod load;
pub mod oracle;
pub mod plain;
pub mod platform;
pub mod site;

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
