//! What a direct entry shows operators of itself, the upstreams and the other entries.

use crate::ids::Name;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

/// One entry and what it knows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryOverview {
    /// Its VM.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether callers should be sent to it.
    pub ready: bool,
    /// How far it has come in stopping, as a word.
    pub stage: String,
    /// Version of the configuration in force; zero for none.
    pub config: u64,
    /// Milliseconds since it was taken; absent without a configuration.
    pub config_age_ms: Option<u64>,
    /// Whether it watches the platform's store for the others.
    pub watches: bool,
    /// Whether the store answered its last call.
    pub store_answers: bool,
    /// Data centres that are evacuated.
    #[serde(default)]
    pub evacuated: Vec<Name>,
    /// Times that the store has come back from a copy, as far as is known.
    #[serde(default)]
    pub store_era: u64,
    /// Calls under way.
    pub calls: usize,
    /// Streams under way.
    pub streams: usize,
    /// Upstreams that are not gone.
    pub upstreams: Vec<UpstreamOverview>,
    /// Other entries.
    pub peers: Vec<PeerOverview>,
}

/// One upstream, as the entry sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamOverview {
    /// Id of this life of it.
    pub instance: Name,
    /// Service that it answers for.
    pub service: Name,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether it takes new work.
    pub serves: bool,
    /// Whether its data centre is evacuated.
    #[serde(default)]
    pub evacuated: bool,
    /// How much longer it is cold, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// Requests a second that it takes from all entries, while it names such a limit.
    #[serde(default)]
    pub rate_limit: Option<f64>,
    /// Requests of all entries there.
    pub running: u32,
    /// Share of its memory that is spoken for; zero for a plain service.
    pub memory: f64,
    /// Tokens of prompts that are still to be read.
    pub unread: u64,
    /// Share of the newest requests that failed there.
    pub failing: f64,
    /// Time that it takes for a token, against its service.
    pub pace: f64,
    /// Age in milliseconds of what is known of the work of other entries.
    pub told_age_ms: u64,
    /// Entries that own its load.
    #[serde(default)]
    pub owners: Vec<Ipv4Addr>,
}

/// Another entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerOverview {
    /// Its VM; empty while it is known by hearsay alone.
    pub name: Name,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Milliseconds since it was heard; absent if it never was.
    pub heard_ms: Option<u64>,
    /// Whether it watches the store and is answered.
    pub watches: bool,
    /// Whether it stops.
    pub leaving: bool,
}
