//! Decisions of a fleet that serves generations of unknown length.
//!
//! The crate holds what entries and agents decide and nothing else: no
//! sockets, files, clocks, threads or global state.

mod admit;
mod agent;
mod allowance;
mod claim;
mod code;
mod config;
mod deliver;
mod dispatch;
mod entry;
mod farewell;
mod generation;
mod gossip;
mod ids;
mod inventory;
mod member;
mod merge;
mod message;
mod note;
mod ping;
mod probe;
mod quarantine;
mod quota;
mod reconcile;
mod retry;
mod roster;
mod route;
mod stream;
mod submit;
mod time;
mod work;

pub use admit::*;
pub use agent::*;
pub use claim::*;
pub use code::*;
pub use config::*;
pub use entry::*;
pub use ids::*;
pub use inventory::*;
pub use member::*;
pub use message::*;
pub use note::*;
pub use quarantine::*;
pub use quota::*;
pub use retry::*;
pub use route::*;
pub use stream::*;
pub use time::*;
pub use work::*;
