//! A stand-in for the platform: versioned objects, watches and the VM list.
//!
//! Everything is held in memory. Faults are switched by calls below `/standin`,
//! which neither count nor fail themselves.

mod api;
mod calls;
mod faults;
mod limit;
mod state;
mod store;
mod vms;

use std::io;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::JoinSet;

pub use self::calls::CallCounts;
pub use self::faults::FaultPatch;
pub use self::vms::{Role, State as VmState, Vm, VmList};

use crate::server::{self, Stop};
use crate::{RunLog, Running};

/// Reads a second that the platform allows by default.
pub const READS_PER_SECOND: f64 = 2_000.0;

/// Writes a second that the platform allows by default.
pub const WRITES_PER_SECOND: f64 = 500.0;

/// Settings of a platform.
#[derive(Clone, Debug)]
pub struct Config {
    /// Reads and watches allowed a second; 0 for no limit.
    pub reads_per_second: f64,
    /// Writes allowed a second; 0 for no limit.
    pub writes_per_second: f64,
    /// Where writes that took effect are told.
    pub run_log: Arc<RunLog>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            reads_per_second: READS_PER_SECOND,
            writes_per_second: WRITES_PER_SECOND,
            run_log: Arc::new(RunLog::discard()),
        }
    }
}

/// Serves an empty platform on `listener`.
///
/// # Errors
///
/// Fails when the listener has no address.
pub fn serve(cfg: &Config, listener: TcpListener) -> io::Result<Running> {
    let state = Arc::new(state::State::new(cfg));
    server::start(
        listener,
        api::endpoint(state),
        Stop::default(),
        JoinSet::new(),
    )
}
