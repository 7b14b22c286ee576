//! Whether callers got what the system promises, judged by what the stand-ins
//! really ran.
//!
//! [`Runs`] reads the run logs, [`judge`] compares them with what callers got
//! and names each [`Breach`]. The oracle knows nothing of how the system works.

mod judge;
mod runs;
mod tokens;

pub use self::judge::{Breach, Wrong, judge};
pub use self::runs::{PlainRun, Run, Runs};
pub use self::tokens::{Flaw, check_tokens};
