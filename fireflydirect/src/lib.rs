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

pub mod answer;
pub mod assignment;
pub mod beginning;
pub mod call;
pub mod callers;
pub mod client;
pub mod clock;
pub mod conditions;
pub mod config_history;
pub mod config_read;
pub mod contact;
pub mod crash;
pub mod datagrams;
pub mod departures;
pub mod exchange;
pub mod feed;
pub mod figure;
pub mod generation;
pub mod hear;
pub mod intake;
pub mod job;
pub mod links;
pub mod loads;
pub mod metrics;
pub mod migration;
pub mod node;
pub mod overview;
pub mod peers;
pub mod process;
pub mod questions;
pub mod readiness;
pub mod reload;
pub mod repeats;
pub mod reports;
pub mod returns;
pub mod runs;
pub mod serve;
pub mod settings;
pub mod small_server;
pub mod state_page;
pub mod store_call;
pub mod tell;
