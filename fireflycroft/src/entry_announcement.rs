//! What a direct entry tells the other entries.

use crate::evacuation::Evacuations;
use crate::ids::{Digest, Incarnation, Name};
use crate::listing::ListChange;
use crate::rate_limit::ToldRate;
use crate::retry_budget::RetryCount;
use crate::upstream::Life;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Upstreams that one content has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashCount {
    /// Digest of the content.
    pub content: Digest,
    /// Upstreams crashed.
    pub count: u8,
}

/// State of one direct entry, as it tells the others several times a second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryAnnouncement {
    /// Name of the sender.
    pub name: Name,
    /// Data centre of the sender.
    pub data_centre: Name,
    /// Life of the sender.
    pub incarnation: Incarnation,
    /// Version of the configuration in force there; zero for none.
    pub config: u64,
    /// Entries that the sender knows to live, itself included.
    pub entries: u32,
    /// Revision of the list of upstreams known there.
    pub upstreams: u64,
    /// Revision up to which every change of that list is known there.
    pub upstreams_complete: u64,
    /// Digest of that list.
    pub upstreams_digest: u64,
    /// Whether the sender watches the platform's store and is answered.
    pub watches: bool,
    /// Time since the store answered the sender itself; none if it doesn't watch.
    pub store_age: Option<Duration>,
    /// Changes of the list of late, from those that watch.
    pub list_changes: Vec<ListChange>,
    /// Requests and repeats of the sender, by service.
    pub retries: Vec<RetryCount>,
    /// Content that crashed upstreams of late.
    pub crashes: Vec<CrashCount>,
    /// Some other entries that the sender knows.
    pub peers: Vec<Ipv4Addr>,
    /// Data centres that are evacuated.
    pub evacuations: Evacuations,
    /// Upstreams that said in their answers that they leave, and that the list has as serving.
    pub departing: Vec<Life>,
    /// Rates that upstreams name, or named until a short while ago.
    pub rate_limits: Vec<ToldRate>,
    /// Whether the sender is stopping.
    pub leaving: bool,
}
