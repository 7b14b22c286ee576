//! Reasons to send no request to a healthy upstream that takes new work.

use crate::placed::Need;
use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::{Upstream, UpstreamIx};
use std::fmt;
use std::time::Duration;

/// Reason for which an upstream gets no request of this entry for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// Its data centre is evacuated.
    Evacuated,
    /// It is cold, and this entry's share is exhausted.
    ColdShareExhausted,
    /// It is rate-limited, and this entry's share is exhausted.
    RateShareExhausted,
    /// It refused a request of this entry and requested a pause.
    Paused,
}

impl fmt::Display for Withheld {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Evacuated => "it is evacuated",
            Self::ColdShareExhausted => "it is cold",
            Self::RateShareExhausted => "its rate limit is exhausted",
            Self::Paused => "it requested a pause",
        })
    }
}

impl Pool {
    /// Returns the reason to send an upstream no request now; none where it may get one.
    #[must_use]
    pub fn withheld(&self, now: Time, ix: UpstreamIx) -> Option<Withheld> {
        self.withheld_reason(now, &self.upstreams[ix.0])
    }

    pub(crate) fn withheld_reason(&self, now: Time, u: &Upstream) -> Option<Withheld> {
        if self.is_closed_to_new_work(&u.record.data_centre) {
            Some(Withheld::Evacuated)
        } else if self.is_cold_share_exhausted(now, u) {
            Some(Withheld::ColdShareExhausted)
        } else if self.is_rate_share_exhausted(now, u) {
            Some(Withheld::RateShareExhausted)
        } else if now < u.paused_until {
            Some(Withheld::Paused)
        } else {
            None
        }
    }

    /// Returns the time until the first upstream for `need` that is rate-limited or paused may get a
    /// request of this entry again; none where there is no such upstream.
    #[must_use]
    pub fn until_any_is_free(&self, now: Time, service: &str, need: &Need) -> Option<Duration> {
        let open = self.serving(service).map(|i| &self.upstreams[i]);
        let open = open.filter(|u| self.is_home(need.homes, &u.record.data_centre));
        let waits = open.map(|u| {
            let until_share = self.until_rate_share(now, u).unwrap_or_default();
            until_share.max(u.paused_until.since(now))
        });
        waits.filter(|wait| !wait.is_zero()).min()
    }

    /// Records that an upstream refused a request of this entry and requested a pause.
    pub fn pause(&mut self, now: Time, ix: UpstreamIx, span: Duration) {
        let u = &mut self.upstreams[ix.0];
        u.paused_until = u.paused_until.max(now + span);
    }
}
