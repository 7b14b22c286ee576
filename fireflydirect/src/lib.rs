//! The direct entry: takes callers' requests and drives upstreams itself.
//!
//! Each entry VM runs one single-threaded process. Decisions are made in [`fireflycroft`], and
//! the platform's names and formats are decoded by [`fireflycroft_platform`]; this crate adds
//! sockets and timers.
//!
//! A request arrives in [`callers`], is checked in [`serve`], and continues as a plain call
//! ([`call`]) or as a stream of events ([`generation`]). Both send it with [`exchange`] over a
//! connection of [`links`]. The state of the fleet comes from the platform's store ([`feed`]) and
//! from the other entries ([`peers`]); all tasks share one [`node::Node`].

pub mod announce;
pub mod answer;
pub mod assignment;
pub mod call;
pub mod callers;
mod capacity_check;
pub mod choice_log;
pub mod client;
pub mod clock;
pub mod conditions;
mod config_adoption;
pub mod config_history;
pub mod config_read;
mod continuation;
pub mod crash;
pub mod crash_sync;
pub mod datagrams;
pub mod departure_watch;
pub mod departures;
mod discovery;
pub(crate) mod event_times;
pub mod exchange;
pub mod feed;
mod fetch_guard;
mod following;
pub mod generation;
pub mod hold;
pub mod incarnations;
pub mod ingest;
pub mod job;
mod kept_refusals;
pub mod links;
mod list_freshness;
pub mod loads;
pub mod log_value;
pub mod memory_copy;
pub mod metrics;
pub mod migration;
pub mod node;
pub mod overview;
pub mod own_calls;
pub mod owner_queries;
pub mod page_server;

pub(crate) mod peer_fetch;
mod peer_record;
pub mod peers;
pub mod process;
pub mod readiness;
pub mod receive;
pub mod reload;
pub mod reports;
pub mod retries;
pub mod returning_callers;
mod run_end;
pub mod runs;
pub mod serve;
pub mod settings;
pub mod standby_copies;
pub mod startup_wait;
pub mod state_page;
pub mod stop_orders;
pub mod stopping;
pub mod store_call;
pub mod store_connectivity;
pub mod store_list;
pub mod stream_origins;
pub mod stream_pace;
pub mod stream_source;
pub mod suspects;
