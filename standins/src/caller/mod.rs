//! Callers for the demo and for tests. They read streams, reconnect after a
//! broken connection and obey `retry_after`.
//!
//! A [`Session`] runs one request to its end over as many connections and
//! entries as needed, and records [`Attempt`]s for the oracle.

mod attempt;
mod events;
mod request;
mod session;

pub use self::attempt::{Attempt, End, RequestOutcome};
pub use self::request::{Request, Work};
pub use self::session::{Caller, Session};
