//! Oracle of the guarantees to callers, based on what the stand-ins ran.
//!
//! [`Runs`] reads the run logs, [`find_breaches`] compares them with what
//! callers received and returns each [`Breach`]. The oracle doesn't depend on
//! how the system works.

mod checker;
mod runs;
mod tokens;

pub use self::checker::{Breach, BreachKind, find_breaches};
pub use self::runs::{GenerationRun, PlainRun, Runs};
pub use self::tokens::{TokenBreach, check_tokens};
