//! Records of the list that an upstream can't have written itself, or whose start contradicts the held one.
//!
//! A record is read whole before anything is concluded from it. One that names a service unknown to the configuration
//! ends no incarnation, whatever start it states; it counts once a configuration names that service. One with an earlier
//! start than the held record may have been written late by an incarnation that has ended. Where such records go on to
//! come, and none of the held start between them, the held start was wrong: it was foreign, or the upstream's clock has
//! been set back since.

use crate::ids::Name;
use crate::listing::PoolChange;
use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::{Upstream, UpstreamRecord, UpstreamState};
use std::collections::HashSet;
use std::time::Duration;

/// Time for which newer records state an earlier start until the held one counts as wrong; a write that the store carries
/// out late comes within seconds.
const CONTRADICTED_FOR: Duration = Duration::from_secs(5);

impl Pool {
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
            .filter_map(|record| self.upsert(now, record))
            .collect()
    }

    /// Returns whether a record moves an upstream to a service that no configuration names.
    pub(crate) fn names_unknown_service(
        &self,
        held: &UpstreamRecord,
        received: &UpstreamRecord,
    ) -> bool {
        let is_known = |services: &HashSet<Name>| services.contains(&received.service);
        received.service != held.service && !self.services.as_ref().is_none_or(is_known)
    }
}

impl Upstream {
    /// Records a newer record with an earlier start; returns whether the held start is wrong.
    pub(crate) fn record_contradiction(&mut self, now: Time) -> bool {
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
