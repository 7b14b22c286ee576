//! Software versions of upstreams, which restrict where a stream may go on.
//!
//! Upstreams of several versions may serve side by side in one service. What two versions write doesn't
//! fit together and upstreams don't check it, so a stream goes on only at the version that began it, from a
//! copy as well as by a new run. An unknown version matches none, not even another unknown one.

use crate::ids::Digest;
use crate::placed::Need;
use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::{Upstream, UpstreamIx, UpstreamRecord, UpstreamState};

/// Digest of a software version, for comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct VersionKey(u64);

impl VersionKey {
    /// Returns the key of a version.
    #[must_use]
    #[allow(clippy::cast_possible_truncation)]
    pub fn of(version: &str) -> Self {
        Self(Digest::of(&[version.as_bytes()]).0 as u64)
    }
}

impl UpstreamRecord {
    /// Returns the key of its software version, if it is stated.
    #[must_use]
    pub fn version_key(&self) -> Option<VersionKey> {
        self.software_version.as_deref().map(VersionKey::of)
    }

    /// Returns whether the other record states another software version.
    pub(crate) fn contradicts_version(&self, other: &Self) -> bool {
        let versions = self
            .software_version
            .as_ref()
            .zip(other.software_version.as_ref());
        versions.is_some_and(|(a, b)| a != b)
    }
}

impl Upstream {
    /// Takes over the version of a record of the same incarnation, unless one is known.
    pub(crate) fn learn_version(&mut self, record: &UpstreamRecord) {
        if self.record.software_version.is_none() {
            self.record
                .software_version
                .clone_from(&record.software_version);
            self.version = record.version_key();
        }
    }

    /// Returns whether its version is the one that `need` requires, if it requires one.
    pub(crate) fn has_version_for(&self, need: &Need) -> bool {
        need.version.is_none_or(|v| self.version == Some(v))
    }
}

impl Pool {
    /// Returns the software version of an upstream, if it is known.
    #[must_use]
    pub fn version(&self, ix: UpstreamIx) -> Option<VersionKey> {
        self.upstreams[ix.0].version
    }

    /// Chooses an upstream for a new run that continues a stream: a serving one, or else one that leaves and
    /// may still get requests.
    ///
    /// While a version is drained, its last upstreams are the only ones where its streams can go on.
    #[must_use]
    pub fn choose_to_continue(
        &self,
        now: Time,
        service: &str,
        need: &Need,
        tried: &[UpstreamIx],
    ) -> Option<UpstreamIx> {
        let serving = self.choose(now, service, need, tried);
        serving.or_else(|| self.choose_leaving(now, service, need, tried))
    }

    fn choose_leaving(
        &self,
        now: Time,
        service: &str,
        need: &Need,
        tried: &[UpstreamIx],
    ) -> Option<UpstreamIx> {
        let may_continue = |i: &usize| {
            let (u, ix) = (&self.upstreams[*i], UpstreamIx(*i));
            let is_listed = !u.removed && u.record.state != UpstreamState::Unreadable;
            is_listed
                && !u.is_serving()
                && u.avoid_until <= now
                && self.may_get_requests(now, ix)
                && self.is_candidate(now, need, tried, *i)
        };
        let mut candidates = self
            .of_service(service)
            .iter()
            .copied()
            .filter(may_continue);
        self.least_cost_of(now, service, need, &mut candidates)
    }
}
