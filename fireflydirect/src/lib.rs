//! The direct entry: takes callers' requests and drives upstreams itself.
//!
//! One process on each entry VM, on one thread. The decisions are those of
//! [`fireflycroft`]; the names and formats of the platform are decoded by
//! [`fireflycroft_platform`]; here are the sockets and timers round them.
//!
//! A request comes in through [`callers`], is checked in [`serve`], and goes on
//! as a plain call ([`call`]) or as a stream of events ([`generation`]). Both
//! send it with [`exchange`] over a connection of [`links`]. What the process
//! knows of the fleet comes from the platform's store ([`feed`]) and from the
//! other entries ([`peers`]); it all hangs on one [`node::Node`].

pub mod announce;
pub mod answer;
pub mod call;
pub mod callers;
pub mod client;
pub mod clock;
pub mod conditions;
pub mod config_history;
pub mod config_read;
pub mod crash;
pub mod datagrams;
pub mod departures;
pub mod exchange;
pub mod feed;
pub mod generation;
pub mod ingest;
pub mod job;
pub mod links;
pub mod loads;
pub mod log_value;
pub mod metrics;
pub mod mover;
pub mod node;
pub mod overview;
pub mod owner_queries;
pub mod page_server;
pub mod peers;
pub mod placed;
pub mod process;
pub mod readiness;
pub mod receive;
pub mod reload;
pub mod reports;
pub mod retries;
pub mod returning_callers;
pub mod runs;
pub mod serve;
pub mod settings;
pub mod startup_wait;
pub mod state_page;
pub mod store_call;
pub mod store_connectivity;
