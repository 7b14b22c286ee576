//! Memory that a service has for one more generation, on any of its engines.
//!
//! The engine with the least cost isn't always the one with most memory: speed, unread prompts and
//! shared parts count too. A generation is refused only if no engine has memory for it.

use crate::ids::Name;
use crate::loads::MIN_REPLIES;
use crate::placed::Need;
use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::{Upstream, UpstreamIx, share};

/// Memory of a service and what is reserved of it, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceMemory {
    /// Memory of the engines that take new work.
    pub capacity: u64,
    /// Memory that runs need there, including those on departing engines.
    pub reserved: u64,
}

impl ServiceMemory {
    /// Returns the reserved share; zero without any capacity.
    #[must_use]
    pub fn reserved_share(&self) -> f64 {
        share(self.reserved, self.capacity)
    }
}

impl Pool {
    /// Returns the cheapest upstream, not in `tried`, on which `need` stays within a share of the
    /// memory.
    ///
    /// Only upstreams with fresh replies of their owners are considered, if there are some.
    #[must_use]
    pub fn choose_within(
        &self,
        now: Time,
        service: &str,
        need: &Need,
        tried: &[UpstreamIx],
        limit: f64,
    ) -> Option<UpstreamIx> {
        let open = self.untried(now, service, need, tried);
        let open: Vec<usize> = open
            .filter(|i| self.upstreams[*i].avoid_until <= now)
            .collect();
        let fresh = |i: &&usize| self.upstreams[**i].is_fresh(now);
        let has_replies = open.iter().filter(fresh).count() >= MIN_REPLIES;
        let candidates = open.into_iter().filter(|i| {
            let is_within = self.memory_share_with(now, UpstreamIx(*i), need) <= limit;
            is_within && (!has_replies || fresh(&i))
        });
        let candidates: Vec<usize> = candidates.collect();
        let best = self.cheapest(now, need, &candidates, 1);
        best.first().map(|i| UpstreamIx(*i))
    }

    /// Returns the memory of a service, extrapolated from the upstreams with a known load.
    ///
    /// Runs on evacuated upstreams end there, so they need no memory elsewhere; those on departing
    /// ones do.
    #[must_use]
    pub fn service_memory(&self, now: Time, service: &Name) -> ServiceMemory {
        let of_service = self.of_service(service).iter().map(|i| &self.upstreams[*i]);
        let counted = |u: &&Upstream| {
            let ends_there = u.is_serving() && self.is_closed_to_new_work(&u.record.data_centre);
            !u.has_departed(now) && !ends_there
        };
        let all: Vec<&Upstream> = of_service.filter(counted).collect();
        let known: Vec<&Upstream> = all.iter().filter(|u| u.is_known(now)).copied().collect();
        let capacity_of = |some: &[&Upstream]| {
            let serving = some.iter().filter(|u| u.is_serving());
            serving.filter_map(|u| u.memory_tokens).sum::<u64>()
        };
        let known = if known.is_empty() { &all } else { &known };
        let reserved = known.iter().map(|u| u.load(now).tokens).sum::<u64>();
        let (capacity, known_capacity) = (capacity_of(&all), capacity_of(known));
        ServiceMemory {
            capacity,
            reserved: scaled(reserved, capacity, known_capacity),
        }
    }
}

/// Returns `tokens` times `to / from`; unchanged if `from` is zero.
fn scaled(tokens: u64, to: u64, from: u64) -> u64 {
    if from == 0 {
        return tokens;
    }
    let scaled = u128::from(tokens) * u128::from(to) / u128::from(from);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
