//! What is known of one other entry.

use fireflycroft::{Incarnation, Name, Time};
use std::time::Duration;

/// Time without a datagram after a query, after which an entry counts as silent and is
/// skipped.
///
/// Replies arrive within milliseconds; a small VM whose processor share is used up waits for up
/// to a tenth of a second.
const QUERY_SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// State of another entry.
#[derive(Clone, Debug)]
pub(crate) struct PeerRecord {
    pub(crate) name: Option<Name>,
    /// Time of its last datagram of any kind.
    pub(crate) last_received: Option<Time>,
    /// Time of its last announcement: what is known of its state is as old.
    pub(crate) announced_at: Option<Time>,
    pub(crate) known_since: Time,
    pub(crate) leaving: bool,
    pub(crate) watches: bool,
    /// Whether it watches, and the store doesn't answer it any more.
    pub(crate) is_unanswered: bool,
    pub(crate) data_centre: Name,
    /// Time of the first query to it since its last datagram.
    pub(crate) queried_at: Option<Time>,
    /// Incarnation in its last announcement.
    pub(crate) incarnation: Option<Incarnation>,
    /// Version of the configuration in its last announcement.
    pub(crate) config: u64,
    /// Version for which it handed out something else than the configuration.
    pub(crate) refused_config: Option<u64>,
    /// Revision up to which its list of upstreams was complete, by its last announcement.
    pub(crate) list_complete_to: u64,
}

impl PeerRecord {
    pub(crate) fn second_hand(now: Time) -> Self {
        Self {
            name: None,
            data_centre: Name::default(),
            last_received: None,
            announced_at: None,
            known_since: now,
            leaving: false,
            watches: false,
            is_unanswered: false,
            queried_at: None,
            incarnation: None,
            config: 0,
            refused_config: None,
            list_complete_to: 0,
        }
    }

    /// Returns whether it is neither leaving nor silent, as far as is known.
    pub(crate) fn is_available(&self, now: Time) -> bool {
        let silent = self
            .queried_at
            .is_some_and(|t| now.since(t) >= QUERY_SILENCE_TIMEOUT);
        !self.leaving && !silent
    }

    /// Returns whether it announces a configuration of at least this version, as far as is known rightly.
    pub(crate) fn has_config(&self, version: u64) -> bool {
        self.config >= version && self.refused_config != Some(self.config)
    }

    /// Returns whether its last announcement is younger than `span`; its other datagrams tell nothing of its state.
    pub(crate) fn has_announced_within(&self, now: Time, span: Duration) -> bool {
        self.announced_at.is_some_and(|t| now.since(t) < span)
    }
}
