//! Stand-in for the platform: versioned objects, watches and the VM list.
//!
//! All state is in memory. Faults are set by calls under `/standin`, which are
//! not counted and are not subject to faults.

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

/// Default limit of reads and watches per second.
pub const READS_PER_SECOND: f64 = 2_000.0;

/// Default limit of writes per second.
pub const WRITES_PER_SECOND: f64 = 500.0;

/// Settings of a stand-in platform.
#[derive(Clone, Debug)]
pub struct Config {
    /// Maximum reads and watches per second; 0 for no limit.
    pub reads_per_second: f64,
    /// Maximum writes per second; 0 for no limit.
    pub writes_per_second: f64,
    /// Log of the writes that took effect and of fault changes.
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

/// Starts an empty platform on `listener`.
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
