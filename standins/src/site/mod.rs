//! A stand-in for the users' prepared platform: its store and its upstreams.
//!
//! Written by the platform's published pages, for tests of the direct entry. All
//! of it runs in one process on loopback addresses; faults are switched on by
//! calls. What upstreams ran is on record, for an oracle to judge.

mod checker;
mod engine;
mod http;
mod proxy;
mod record;
mod runs;
mod start;
mod store;

pub use checker::{AnnouncedRate, Attempt, Breach, Evidence, Outcome, RequestKind};
pub use engine::{AnswerFault, Engine, EngineKind};
pub use proxy::{Proxy, ProxyFault};
pub use record::{Record, Run, RunEnd};
pub use store::{Snapshot, Store, StoreMode};
