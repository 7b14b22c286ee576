//! Records of the list that an upstream can't have written itself, or whose start contradicts the held one.
//!
//! A record is read whole before anything is concluded from it. One that names a service unknown to the configuration
//! ends no incarnation, whatever start it states; it counts once a configuration names that service. An upstream never
//! changes its service, so that one with a later start and another service is doubtful as well. One with an earlier
//! start than the held record may have been written late by an incarnation that has ended. Where such records go on to
//! come, and none of the held start between them, the held start was wrong: it was foreign, or the upstream's clock has
//! been set back since.
//!
//! While a record is doubtful, its upstream gets no new work, and what runs there goes on. A leave notice with an earlier
//! start counts as doubtful, unless its incarnation is known to have ended: the upstream may have started again with its
//! clock set back, and leave.

use crate::ids::Name;
use crate::listing::PoolChange;
use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::{Upstream, UpstreamIx, UpstreamRecord, UpstreamState};
use std::collections::HashSet;
use std::time::Duration;

/// Time for which newer records state an earlier start until the held one counts as wrong; a write that the store carries
/// out late comes within seconds.
const CONTRADICTED_FOR: Duration = Duration::from_secs(5);

/// What to make of a record that states another start than the held one.
pub(crate) enum StartClaim {
    /// It is of another incarnation, which has taken the place of the held one.
    Credible,
    /// It may be foreign.
    Doubtful,
    /// It may have been written late by an incarnation that has ended.
    Late,
}

impl Pool {
    /// Judges a record of a later incarnation.
    pub(crate) fn judge_restart(
        &mut self,
        now: Time,
        ix: UpstreamIx,
        record: &UpstreamRecord,
    ) -> StartClaim {
        let is_unknown = self.names_unknown_service(&self.upstreams[ix.0].record, record);
        let u = &mut self.upstreams[ix.0];
        if is_unknown {
            u.awaits_service = Some(record.clone());
            return StartClaim::Doubtful;
        }
        let is_listed = u.record.incarnation.is_known() && !u.removed;
        if !is_listed || record.service == u.record.service {
            return StartClaim::Credible;
        }
        // A record that is only read once more says nothing new.
        let is_news = record.revision > u.record.revision;
        if is_news && u.record_contradiction(now) {
            StartClaim::Credible
        } else {
            StartClaim::Doubtful
        }
    }

    /// Judges a newer record with an earlier start.
    pub(crate) fn judge_earlier_start(
        &mut self,
        now: Time,
        ix: UpstreamIx,
        record: &UpstreamRecord,
    ) -> StartClaim {
        if self.upstreams[ix.0].record_contradiction(now) {
            return StartClaim::Credible;
        }
        if record.state == UpstreamState::Leaving && !self.has_ended(record) {
            return StartClaim::Doubtful;
        }
        StartClaim::Late
    }

    /// Returns whether the incarnation of a record is known to have ended.
    fn has_ended(&self, record: &UpstreamRecord) -> bool {
        let of_record = record.upstream_incarnation();
        let mut ended = self.upstreams.iter().filter(|u| u.ended);
        ended.any(|u| u.record.upstream_incarnation() == of_record)
    }

    /// Sets the services of the active configuration, and applies the records that waited for one of them.
    pub fn set_services(
        &mut self,
        now: Time,
        services: impl IntoIterator<Item = Name>,
    ) -> Vec<PoolChange> {
        let services: HashSet<Name> = services.into_iter().collect();
        let waits = |u: &mut Upstream| u.awaits_service.take_if(|r| services.contains(&r.service));
        let due: Vec<UpstreamRecord> = self.upstreams.iter_mut().filter_map(waits).collect();
        self.services = Some(services);
        due.into_iter()
            .filter_map(|record| self.apply_awaited(now, record))
            .collect()
    }

    /// Applies a record that has waited for its service, with no record of the held incarnation since.
    fn apply_awaited(&mut self, now: Time, record: UpstreamRecord) -> Option<PoolChange> {
        match self.find(&record.instance) {
            Some(ix) if record.incarnation > self.record(ix).incarnation => {
                Some(self.restart(now, ix, record))
            }
            _ => self.upsert(now, record),
        }
    }

    /// Returns whether a record moves an upstream to a service that no configuration names.
    fn names_unknown_service(&self, held: &UpstreamRecord, received: &UpstreamRecord) -> bool {
        let is_known = |services: &HashSet<Name>| services.contains(&received.service);
        received.service != held.service && !self.services.as_ref().is_none_or(is_known)
    }
}

impl Upstream {
    /// Records a record that contradicts the held start; returns whether that is wrong.
    fn record_contradiction(&mut self, now: Time) -> bool {
        let since = *self.contradicted_since.get_or_insert(now);
        now.since(since) >= CONTRADICTED_FOR
    }

    /// Records a record of the held incarnation; one that is set aside is of nobody.
    pub(crate) fn record_own(&mut self, record: &UpstreamRecord) {
        if record.state != UpstreamState::Unreadable {
            self.contradicted_since = None;
            self.awaits_service = None;
        }
    }
}
