//! Callers as demo and tests need them: they read streams, come back where
//! the connection broke, and wait when they are told to.
//!
//! A [`Session`] sees one request to its end over as many connections and
//! entries as it takes. It keeps what it got as [`Attempt`]s for the oracle.

mod attempt;
mod events;
mod request;
mod session;

pub use self::attempt::{Attempt, End, RequestOutcome};
pub use self::request::{Request, Work};
pub use self::session::{Caller, Session};
