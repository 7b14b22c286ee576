//! Whether callers got what the system promises, judged by what the stand-ins
//! really ran.
//!
//! [`Runs`] reads the run logs, [`judge`] compares them with what callers got
//! and names each [`Breach`]. The oracle knows nothing of how the system works.

mod checker;
mod runs;
mod tokens;

pub use self::checker::{Breach, BreachKind, find_breaches};
pub use self::runs::{GenerationRun, PlainRun, Runs};
pub use self::tokens::{TokenBreach, check_tokens};
