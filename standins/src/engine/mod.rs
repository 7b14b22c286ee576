//! A stand-in for a model engine with continuous batching.
//!
//! Each decode step adds one token to every running sequence. When the growing
//! sequences exceed the memory, one is preempted and recomputed later. Streams
//! outlive their connections for a limited time, so that a reader can reconnect.

mod api;
mod batch;
mod cache;
mod config;
mod core;
mod events;
mod length;
mod load;
mod log;
mod orders;
mod prompt;
mod runner;
mod sse;
mod state;
mod stream;
mod stream_faults;
mod text;

use std::io;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::JoinSet;

pub use self::config::Config;
pub use self::load::Load;

use crate::Running;
use crate::server::{self, Stop};

/// Serves an engine on `listener`.
///
/// # Errors
///
/// Fails when the listener has no address.
pub fn serve(cfg: Config, listener: TcpListener) -> io::Result<Running> {
    let stop = Stop::default();
    let state = Arc::new(state::State::new(cfg, stop.clone()));
    let mut tasks = JoinSet::new();
    tasks.spawn(runner::run(Arc::clone(&state)));
    tasks.spawn(runner::sweep(Arc::clone(&state)));
    server::start(listener, api::endpoint(state), stop, tasks)
}
