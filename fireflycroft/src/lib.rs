//! Decisions of a fleet that serves generations of unknown length.
//!
//! The crate holds what entries and agents decide and nothing else: no
//! sockets, files, clocks, threads or global state. Time and randomness come in
//! as arguments, and what is to be done goes out as values.
//!
//! Two carriers use it, each with modules of its own:
//!
//! - the agents' path (`fireflyd`): [`Entry`] and [`Agent`] with `member`,
//!   `route`, `admit`, `place`, `lease`, `claim` and what belongs to them;
//! - the direct entry (`fireflydirect`): [`Pool`] with `upstream`, `listing`,
//!   `loads`, `pace` and `admission_limit` says where a request goes, and
//!   `evacuation`, `cold`, `rate_limit` and `region` where it may not; `owners`, `repeat`,
//!   `returns`, `watchers` and `contact` say what entries know of each other and
//!   of the platform's store; `attempt`, `relay` and `rescue` follow a request.
//!
//! A direct entry that knows two engines sends a generation to the emptier one:
//!
//! ```
//! use fireflycroft::{Incarnation, Name, Need, Pool, Time, UpstreamRecord, UpstreamState};
//! use std::time::Duration;
//!
//! let record = |instance: &str, revision| UpstreamRecord {
//!     instance: Name::from(instance),
//!     incarnation: Incarnation::default(),
//!     service: Name::from("models"),
//!     addr: "127.0.0.1:80".parse().unwrap(),
//!     data_centre: Name::from("a"),
//!     slots: 24,
//!     state: UpstreamState::Serving,
//!     cold_for: Duration::ZERO,
//!     revision,
//! };
//! let now = Time::default();
//! let mut pool = Pool::new(Name::from("a"));
//! pool.learn(now, record("i-1", 1));
//! pool.learn(now, record("i-2", 2));
//! pool.set_memory(&Name::from("models"), Some(30_000));
//!
//! let need = Need { tokens: 4_000, ..Need::default() };
//! let first = pool.choose(now, "models", &need, &[]).unwrap();
//! pool.place(now, first, &need);
//! let second = pool.choose(now, "models", &need, &[]).unwrap();
//! assert_ne!(first, second);
//! ```

mod admission_limit;
mod admit;
mod agent;
mod allowance;
mod ask;
mod attempt;
mod attend;
mod burn;
mod carrier;
mod carry_out;
mod catalog;
mod catch_up;
mod claim;
mod code;
mod cold;
mod compile;
mod config;
mod contact;
mod deliver;
mod diff;
mod dispatch;
mod entry;
mod entry_io;
mod entry_news;
mod evacuation;
mod farewell;
mod fleet_view;
mod generation;
mod gossip;
mod ids;
mod inventory;
mod lease;
mod leave_notice;
mod length;
mod length_estimator;
mod listing;
mod loads;
mod mechanism;
mod member;
mod member_record;
mod memory_forecast;
mod merge;
mod message;
mod missing;
mod news;
mod note;
mod offer;
mod order;
mod outage;
mod overlap;
mod overview;
mod owner_news;
mod owners;
mod pace;
mod part_name;
mod ping;
mod place;
mod placed;
mod pool;
mod probe;
mod quarantine;
mod query_budget;
mod quota;
mod rate_limit;
mod reconcile;
mod region;
mod relay;
mod repeat;
mod rescue;
mod reserve;
mod resume;
mod retry;
mod returns;
mod revision;
mod roster;
mod route;
mod sent_requests;
mod snapshot;
mod snapshot_error;
mod store;
mod stream;
mod submit;
mod text_change;
mod tidy;
mod time;
mod upstream;
mod watchers;
mod withheld;
mod work;

pub use admission_limit::*;
pub use admit::*;
pub use agent::*;
pub use ask::*;
pub use attempt::*;
pub use burn::Measured;
pub use carrier::*;
pub use catalog::*;
pub use claim::*;
pub use code::*;
pub use cold::*;
pub use compile::*;
pub use config::*;
pub use contact::*;
pub use diff::*;
pub use entry::*;
pub use entry_io::*;
pub use entry_news::*;
pub use evacuation::*;
pub use fleet_view::*;
pub use ids::*;
pub use inventory::*;
pub use lease::*;
pub use length::*;
pub use length_estimator::*;
pub use listing::*;
pub use mechanism::*;
pub use member::*;
pub use member_record::*;
pub use memory_forecast::*;
pub use message::*;
pub use note::*;
pub use offer::*;
pub use order::*;
pub use outage::*;
pub use overlap::*;
pub use overview::*;
pub use owner_news::*;
pub use owners::*;
pub use pace::*;
pub use part_name::*;
pub use place::*;
pub use placed::*;
pub use pool::*;
pub use quarantine::*;
pub use query_budget::*;
pub use quota::*;
pub use rate_limit::*;
pub use region::*;
pub use relay::*;
pub use repeat::*;
pub use rescue::*;
pub use resume::*;
pub use retry::*;
pub use returns::*;
pub use revision::*;
pub use route::*;
pub use snapshot::*;
pub use snapshot_error::*;
pub use stream::*;
pub use text_change::*;
pub use time::*;
pub use upstream::*;
pub use watchers::*;
pub use withheld::*;
pub use work::*;
