//! Decisions of a fleet that serves generations of unknown length.
//!
//! The crate holds what entries and agents decide and nothing else: no
//! sockets, files, clocks, threads or global state.

mod admit;
mod agent;
mod carrier;
mod claim;
mod code;
mod compile;
mod config;
mod deliver;
mod diff;
mod dispatch;
mod entry;
mod generation;
mod ids;
mod inventory;
mod lease;
mod length;
mod member;
mod message;
mod note;
mod order;
mod outlook;
mod place;
mod quarantine;
mod quota;
mod resume;
mod retry;
mod route;
mod snapshot;
mod store;
mod stream;
mod submit;
mod time;
mod work;

pub use admit::*;
pub use agent::*;
pub use carrier::*;
pub use claim::*;
pub use code::*;
pub use compile::*;
pub use config::*;
pub use diff::*;
pub use entry::*;
pub use ids::*;
pub use inventory::*;
pub use lease::*;
pub use length::*;
pub use member::*;
pub use message::*;
pub use note::*;
pub use order::*;
pub use outlook::*;
pub use place::*;
pub use quarantine::*;
pub use quota::*;
pub use resume::*;
pub use retry::*;
pub use route::*;
pub use snapshot::*;
pub use stream::*;
pub use time::*;
pub use work::*;
