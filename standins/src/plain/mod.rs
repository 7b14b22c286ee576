//! A stand-in for a plain service with idempotent reads and non-idempotent calls.

mod api;

use std::io;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::server::{self, Stop};
use crate::{RunLog, Running};

/// The point at which a call with the crash text crashes the service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CrashPoint {
    /// Before the call takes effect.
    #[default]
    Before,
    /// After the call takes effect, before the response.
    After,
}

/// A crash point that is neither `before` nor `after`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownCrashPoint;

impl std::fmt::Display for UnknownCrashPoint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("crash point must be \"before\" or \"after\"")
    }
}

impl std::error::Error for UnknownCrashPoint {}

impl FromStr for CrashPoint {
    type Err = UnknownCrashPoint;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "before" => Ok(Self::Before),
            "after" => Ok(Self::After),
            _ => Err(UnknownCrashPoint),
        }
    }
}

/// Settings of a plain service.
#[derive(Clone, Debug)]
pub struct Config {
    /// Delay before a call takes effect.
    pub delay: Duration,
    /// Text in a request body that crashes the service.
    pub crash_on: Option<Arc<str>>,
    /// Point of the crash within the call.
    pub crash_point: CrashPoint,
    /// Whether a crash aborts the process instead of stopping the server.
    pub crash_aborts: bool,
    /// Log of completed calls and crashes.
    pub run_log: Arc<RunLog>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            delay: Duration::ZERO,
            crash_on: None,
            crash_point: CrashPoint::default(),
            crash_aborts: false,
            run_log: Arc::new(RunLog::discard()),
        }
    }
}

/// Shared state of the endpoints.
#[derive(Debug)]
struct State {
    cfg: Config,
    stop: Stop,
    filed: AtomicU64,
    graded: AtomicU64,
    read: AtomicU64,
}

/// Serves a plain service on `listener`.
///
/// # Errors
///
/// Fails when the listener has no address.
pub fn serve(cfg: Config, listener: TcpListener) -> io::Result<Running> {
    let stop = Stop::default();
    let state = State {
        cfg,
        stop: stop.clone(),
        filed: AtomicU64::new(0),
        graded: AtomicU64::new(0),
        read: AtomicU64::new(0),
    };
    let ep = api::endpoint(Arc::new(state));
    server::start(listener, ep, stop, JoinSet::new())
}
