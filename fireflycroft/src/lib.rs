//! Decision logic of a fleet that serves generations of unknown length.
//!
//! The crate contains the decisions of entries and agents and nothing else: no sockets, files,
//! clocks, threads or global state. Time and randomness are passed in as arguments, and actions are
//! returned as values.
//!
//! It has two parts, each with modules of its own:
//!
//! - the agents' path (`fireflyd`): [`Entry`] and [`Agent`] with `member`, `route`, `admit`,
//!   `placement`, `lease`, `claim` and related modules;
//! - the direct entry (`fireflydirect`): [`Pool`] with `upstream`, `listing`, `loads`, `pace` and
//!   `admission_limit` selects the upstream of a request, and `evacuation`, `cold`, `rate_limit`
//!   and `region` exclude upstreams; `owners`, `retry_budget`, `returning_callers`, `watchers` and
//!   `store_connectivity` hold state about other entries and about the platform's store;
//!   `attempt`, `relay` and `failover` handle one request; `software_version` and `stream_origin`
//!   restrict where its stream may go on.
//!
//! A direct entry that knows two engines sends a generation to the less loaded one:
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
//!     software_version: Some(Name::from("v1")),
//!     slots: 24,
//!     state: UpstreamState::Serving,
//!     cold_for: Duration::ZERO,
//!     revision,
//! };
//! let now = Time::default();
//! let mut pool = Pool::new(Name::from("a"));
//! pool.upsert(now, record("i-1", 1));
//! pool.upsert(now, record("i-2", 2));
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
mod agent_crashes;
mod agent_generations;
mod agent_maintenance;
mod agent_orders;
mod agent_reservations;
mod attempt;
mod attempted;
mod await_config;
mod capacity;
mod capacity_forecast;
mod catalog;
mod claim;
mod code;
mod cold;
mod compile;
mod config;
mod config_transfer;
mod connection_limits;
mod connection_table;
mod crash_evidence;
mod crash_report;
mod crash_reports;
mod deliver;
mod departure_watch;
mod diff;
mod discovery;
mod dispatch;
mod entry;
mod entry_announcement;
mod entry_crashes;
mod entry_io;
mod evacuation;
mod failover;
mod fleet_view;
mod foreign_record;
mod generation;
mod generation_store;
mod gossip;
mod hedging;
mod http_head;
mod ids;
mod incarnation_end;
mod interference;
mod inventory;
mod kept_refusals;
mod lease;
mod leave_broadcast;
mod leave_notice;
mod length;
mod length_estimator;
mod list_currency;
mod listing;
mod loads;
mod log_event;
mod mechanism;
mod member;
mod member_record;
mod memory_forecast;
mod merge;
mod message;
mod missing;
mod objective;
mod offer;
mod order;
mod overview;
mod owner_messages;
mod owners;
mod pace;
mod part_name;
mod ping;
mod placed;
mod placement;
mod planned_stop;
mod pool;
mod probe;
mod query_budget;
mod quota;
mod rate_limit;
mod rate_limiter;
mod reconcile;
mod refusals;
mod region;
mod relay;
mod restart_budget;
mod resume;
mod retry_budget;
mod returning_callers;
mod revision;
mod roster;
mod route;
mod run_times;
mod sent_requests;
mod snapshot;
mod snapshot_error;
mod software_version;
mod sole_version;
mod sound_suspects;
mod standby_copy;
mod store_connectivity;
mod stream;
mod stream_end;
mod stream_origin;
mod submit;
mod survivors;
mod suspicion;
mod text_change;
mod time;
mod unconfigured;
mod upstream;
mod wait_queue;
mod waiting_demand;
mod watchers;
mod withheld;
mod work;

pub use admission_limit::*;
pub use admit::*;
pub use agent::*;
pub use agent_crashes::CRASH_LIMIT;
pub use attempt::*;
pub use attempted::*;
pub use capacity::*;
pub use capacity_forecast::*;
pub use catalog::*;
pub use claim::*;
pub use code::*;
pub use cold::*;
pub use compile::*;
pub use config::*;
pub use config_transfer::*;
pub use connection_limits::{
    CALL_BYTES, CONNECTION_BYTES, ConnectionLimits, MAX_OWN_ANSWER_BYTES, Purpose,
    READ_BUFFER_BYTES, RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES, SMALL_BYTES, max_fleet_answer,
};
pub use connection_table::{ConnectionId, ConnectionTable, Eviction, Opening, Phase, Reservation};
pub use crash_evidence::*;
pub use crash_report::*;
pub use departure_watch::*;
pub use diff::*;
pub use discovery::*;
pub use entry::*;
pub use entry_announcement::*;
pub use entry_io::*;
pub use evacuation::*;
pub use failover::*;
pub use fleet_view::*;
pub use hedging::*;
pub use http_head::*;
pub use ids::*;
pub use interference::*;
pub use inventory::*;
pub use kept_refusals::*;
pub use lease::*;
pub use length::*;
pub use length_estimator::*;
pub use list_currency::*;
pub use listing::*;
pub use log_event::*;
pub use mechanism::*;
pub use member::*;
pub use member_record::*;
pub use memory_forecast::*;
pub use message::*;
pub use objective::MeasuredRequest;
pub use offer::*;
pub use order::*;
pub use overview::*;
pub use owner_messages::*;
pub use owners::*;
pub use pace::*;
pub use part_name::*;
pub use placed::*;
pub use placement::*;
pub use planned_stop::*;
pub use pool::*;
pub use query_budget::*;
pub use quota::*;
pub use rate_limit::*;
pub use region::*;
pub use relay::*;
pub use restart_budget::*;
pub use resume::*;
pub use retry_budget::*;
pub use returning_callers::*;
pub use revision::*;
pub use route::*;
pub use run_times::*;
pub use snapshot::*;
pub use snapshot_error::*;
pub use software_version::*;
pub use sole_version::*;
pub use standby_copy::*;
pub use store_connectivity::*;
pub use stream::*;
pub use stream_end::*;
pub use stream_origin::*;
pub use suspicion::*;
pub use text_change::*;
pub use time::*;
pub use unconfigured::*;
pub use upstream::*;
pub use wait_queue::*;
pub use waiting_demand::*;
pub use watchers::*;
pub use withheld::*;
pub use work::*;
