//! State announced by a direct entry to the other entries.

use crate::crash_report::CrashNews;
use crate::evacuation::Evacuations;
use crate::ids::{Incarnation, Name};
use crate::interference::PauseCounts;
use crate::listing::ListChange;
use crate::rate_limit::ToldRate;
use crate::retry_budget::RetryCount;
use crate::upstream::UpstreamIncarnation;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Memory that generations need which wait at an entry, or are expected to return to one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceDemand {
    /// The service.
    pub service: Name,
    /// Tokens of memory.
    pub tokens: u64,
}

/// State of a direct entry, sent several times a second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryAnnouncement {
    /// Name of the sender.
    pub name: Name,
    /// Data centre of the sender.
    pub data_centre: Name,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Active configuration version of the sender; zero for none.
    pub config: u64,
    /// Live entries known to the sender, itself included.
    pub entries: u32,
    /// Revision of the sender's upstream list.
    pub upstreams: u64,
    /// Revision up to which the sender has every change of that list.
    pub upstreams_complete: u64,
    /// Digest of that list.
    pub upstreams_digest: u64,
    /// Whether the sender watches the platform's store and gets answers.
    pub watches: bool,
    /// Time since the store answered the sender; `None` if it doesn't watch.
    pub store_age: Option<Duration>,
    /// Recent changes of the list, from watchers only.
    pub list_changes: Vec<ListChange>,
    /// The sender's requests and retries, by service.
    pub retries: Vec<RetryCount>,
    /// Evidence about requests that crash upstreams.
    pub crash_news: CrashNews,
    /// Some other entries known to the sender.
    pub peers: Vec<Ipv4Addr>,
    /// Evacuated data centres.
    pub evacuations: Evacuations,
    /// Upstreams that gave a leave notice in a response and are still listed as serving.
    pub departing: Vec<UpstreamIncarnation>,
    /// Current and recently lifted rate limits of upstreams.
    pub rate_limits: Vec<ToldRate>,
    /// Memory for which generations wait at the sender, by service.
    pub demands: Vec<ServiceDemand>,
    /// Pauses of the answers that the sender relayed, by service.
    pub pauses: Vec<PauseCounts>,
    /// Whether the sender is stopping.
    pub leaving: bool,
}

impl EntryAnnouncement {
    /// Returns whether the sender watches the store, which doesn't answer it any more.
    #[must_use]
    pub const fn is_unanswered_watcher(&self) -> bool {
        !self.watches && self.store_age.is_some()
    }
}
