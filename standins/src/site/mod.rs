//! Stand-in for the users' prepared platform: its store and its upstreams.
//!
//! Follows the platform's published pages; used by tests of the direct entry. It
//! runs in one process on loopback addresses, and method calls inject faults. An
//! oracle checks the guarantees against the recorded runs of upstreams.

mod broken_answers;
mod checker;
mod connections;
mod crashes;
mod ends;
mod engine;
mod faults;
mod framing;
mod http;
mod moves;
mod plays;
mod proxy;
mod record;
mod runs;
mod start;
mod store;
mod store_mode;
mod versions;

pub use broken_answers::{BrokenAnswer, BrokenServer};
pub use checker::{AnnouncedRate, Attempt, Breach, Evidence, Outcome, RequestKind, ServingSpan};
pub use ends::{Disturbance, EndedStreams};
pub use engine::{Engine, EngineKind, FIRST_VERSION};
pub use faults::{AnswerFault, Loss};
pub use framing::Framing;
pub use moves::{Moves, StopAnswer, StoppedEnd};
pub use plays::Play;
pub use proxy::{Proxy, ProxyFault};
pub use record::{Record, Run, RunEnd};
pub use store::{Snapshot, Store};
pub use store_mode::StoreMode;
pub use versions::last_event;
