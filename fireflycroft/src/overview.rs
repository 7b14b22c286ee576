//! Overview of a direct entry, its upstreams and its peers, for operators.

use crate::ids::Name;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

/// One entry and its view of the fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryOverview {
    /// Name of its VM.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether it is ready for callers.
    pub ready: bool,
    /// Stage of its shutdown, as a word.
    pub stage: String,
    /// Active configuration version; zero for none.
    pub config: u64,
    /// Milliseconds since that version was adopted; absent without a configuration.
    pub config_age_ms: Option<u64>,
    /// Whether it watches the platform's store for the others.
    pub watches: bool,
    /// Whether the store answered its last call.
    pub store_answers: bool,
    /// Evacuated data centres.
    #[serde(default)]
    pub evacuated: Vec<Name>,
    /// Known number of times that the store was restored from a backup.
    #[serde(default)]
    pub store_era: u64,
    /// Calls in progress.
    pub calls: usize,
    /// Streams in progress.
    pub streams: usize,
    /// Parts of prompts that it refuses, the last crash first.
    #[serde(default)]
    pub refused_parts: Vec<RefusedPartOverview>,
    /// Contents of requests that it refuses, the last crash first.
    #[serde(default)]
    pub refused_contents: Vec<RefusedContentOverview>,
    /// Upstreams that are not gone.
    pub upstreams: Vec<UpstreamOverview>,
    /// Other entries.
    pub peers: Vec<PeerOverview>,
}

/// A part of prompts that an entry refuses.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RefusedPartOverview {
    /// Its id, in hexadecimal digits.
    pub part: Name,
    /// Incarnations of upstreams that ended under it.
    pub crashes: u32,
    /// Milliseconds since the last of them.
    pub crash_age_ms: u64,
}

/// A content of requests that an entry refuses.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RefusedContentOverview {
    /// Its id, in hexadecimal digits.
    pub content: Name,
    /// Incarnations of upstreams that ended under it.
    pub crashes: u32,
    /// Milliseconds since the last of them.
    pub crash_age_ms: u64,
}

/// One upstream as seen by the entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamOverview {
    /// Identifier of this incarnation of the upstream.
    pub instance: Name,
    /// Service that it serves.
    pub service: Name,
    /// Listening address.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether it accepts new work.
    pub serves: bool,
    /// Whether its data centre is evacuated.
    #[serde(default)]
    pub evacuated: bool,
    /// Remaining milliseconds for which it is cold.
    #[serde(default)]
    pub cold_ms: u64,
    /// Rate limit that it currently states, in requests per second from all entries.
    #[serde(default)]
    pub rate_limit: Option<f64>,
    /// Requests running there, of all entries.
    pub running: u32,
    /// Share of its memory that is reserved; zero for a plain service.
    pub memory: f64,
    /// Prompt tokens still to be processed.
    pub unread: u64,
    /// Failure rate of its most recent requests.
    pub failing: f64,
    /// Time per token, relative to its service.
    pub pace: f64,
    /// Age in milliseconds of the reports about other entries' work.
    pub told_age_ms: u64,
    /// Entries that own its load.
    #[serde(default)]
    pub owners: Vec<Ipv4Addr>,
}

/// Another entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerOverview {
    /// Name of its VM; empty while it is known only by gossip.
    pub name: Name,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Milliseconds since its last message; absent if none was received.
    pub heard_ms: Option<u64>,
    /// Whether it watches the store and gets answers.
    pub watches: bool,
    /// Whether it is stopping.
    pub leaving: bool,
}
