//! Streams whose origin nobody knows, and the one origin that they can have.
//!
//! When all entries that knew of a stream are lost, it can go on only if its route led to one service and
//! that had one software version all the time. Neither the stream's age nor the timeout under which it began is known
//! then, since a new configuration may have changed that, so the time is a constant ([`MAX_STREAM_AGE`]) and not the
//! multiple of a timeout.

use crate::catalog::{Catalog, RouteSpec};
use crate::ids::Name;
use crate::pool::Pool;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Longest time from the first event of a stream to a caller's return for the rest.
pub const MAX_STREAM_AGE: Duration = Duration::from_mins(2);

/// Longest timeout of a route whose streams keep to that age, and their callers after a break too.
pub const MAX_SOLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Versions per service that are remembered after they left.
const MAX_LEFT_VERSIONS: usize = 16;

/// Maximum number of remembered route changes.
const MAX_ROUTE_CHANGES: usize = 4_096;

/// Software versions of upstreams that were removed, with the time of the last removal; `None` for an unknown one.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeftVersions {
    by_service: HashMap<Name, HashMap<Option<Name>, Time>>,
}

impl LeftVersions {
    pub(crate) fn record(&mut self, now: Time, service: &Name, version: Option<&Name>) {
        self.by_service.retain(|_, left| {
            left.retain(|_, at| now.since(*at) < MAX_STREAM_AGE);
            !left.is_empty()
        });
        let left = self.by_service.entry(service.clone()).or_default();
        let is_full = left.len() >= MAX_LEFT_VERSIONS;
        let version = version.filter(|_| !is_full).cloned();
        left.insert(version, now);
    }

    fn of_service(&self, now: Time, service: &str) -> impl Iterator<Item = Option<&Name>> {
        let left = self.by_service.get(service).into_iter().flatten();
        left.filter(move |(_, at)| now.since(**at) < MAX_STREAM_AGE)
            .map(|(version, _)| version.as_ref())
    }
}

impl Pool {
    /// Returns the software version of a service that was the only one for [`MAX_STREAM_AGE`], as far as this entry
    /// knows; `None` if there were several or an upstream stated none.
    #[must_use]
    pub fn sole_version(&self, now: Time, service: &str) -> Option<Name> {
        let upstreams = self.of_service(service).iter().map(|i| &self.upstreams[*i]);
        let listed = upstreams.filter(|u| !u.removed);
        let listed = listed.map(|u| u.record.software_version.as_ref());
        let mut versions = listed.chain(self.left_versions.of_service(now, service));
        let first = versions.next()??;
        versions.all(|v| v == Some(first)).then(|| first.clone())
    }
}

/// Route, added, removed or changed, whose requests may have gone elsewhere before.
#[derive(Clone, Debug)]
struct RouteChange {
    at: Time,
    host: Name,
    prefix: Name,
}

/// Recent changes of where requests go.
#[derive(Clone, Debug, Default)]
pub struct RouteChanges {
    changes: Vec<RouteChange>,
    /// Time since which no change was dropped.
    complete_since: Time,
}

impl RouteChanges {
    /// Records the changes from one configuration to the next.
    pub fn record(&mut self, now: Time, old: &Catalog, new: &Catalog) {
        self.changes.retain(|c| now.since(c.at) < MAX_STREAM_AGE);
        let gone = old.routes().filter(|r| !is_kept(new, r));
        let come = new.routes().filter(|r| !is_kept(old, r));
        self.changes.extend(gone.chain(come).map(|r| RouteChange {
            at: now,
            host: r.host.clone(),
            prefix: r.prefix.clone(),
        }));
        if self.changes.len() > MAX_ROUTE_CHANGES {
            self.changes.clear();
            self.complete_since = now;
        }
    }

    /// Returns the time since which requests for `path` at `host` have gone where they go now.
    #[must_use]
    pub fn unchanged_since(&self, host: &str, path: &str) -> Time {
        let concerns = |c: &&RouteChange| &*c.host == host && path.starts_with(&*c.prefix);
        let changes = self.changes.iter().filter(concerns).map(|c| c.at);
        changes.fold(self.complete_since, Time::max)
    }
}

/// Returns whether a configuration sends the requests of a route to the same services, and lets its streams get as old.
fn is_kept(other: &Catalog, route: &RouteSpec) -> bool {
    let other = other.route(&route.host, &route.prefix);
    let other = other.filter(|r| r.prefix == route.prefix);
    other.is_some_and(|r| {
        r.targets == route.targets && has_sole_timeout(r) == has_sole_timeout(route)
    })
}

/// Returns whether a route's streams keep to [`MAX_STREAM_AGE`].
#[must_use]
pub fn has_sole_timeout(route: &RouteSpec) -> bool {
    route.timeout <= MAX_SOLE_TIMEOUT
}
