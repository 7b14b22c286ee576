//! Upstreams that a direct entry drives itself, and its choice among them.
//!
//! This entry's own work is known at once, the work of others from their last
//! announcements and replies. Both are counted in tokens of memory, prompt and
//! expected answer, since engines run out of memory first. A generation goes to
//! the engine with the least cost, mainly its reserved share of memory.

use crate::cold::{COLD_SPAN, ColdShare};
use crate::evacuation::Evacuations;
use crate::fleet_view::FleetView;
use crate::ids::Name;
use crate::interference::{Gap, Interference, PauseCounts, PausePeak, ServicePauses};
use crate::listing::ListChange;
use crate::loads::MIN_REPLIES;
use crate::mechanism::{Mechanism, Policy};
use crate::pace::Pace;
use crate::placed::{Need, Placed};
use crate::rate_limit::MAX_RATE_SPAN;
use crate::region::Regions;
use crate::sole_version::LeftVersions;
use crate::store_connectivity::StoreConnectivity;
use crate::time::Time;
use crate::upstream::{
    CostContext, RATE_LIMITED_BACKUP_COST, REMOTE_BACKUP_COST, SHARED_PROMPT_LIFETIME, Upstream,
    UpstreamIx, UpstreamRecord, draw_fraction, draw_index, share, tie_cost,
};
use std::borrow::Cow;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::time::Duration;

/// Known upstreams, and the state that a choice among them depends on.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) data_centre: Name,
    pub(crate) revision: u64,
    /// Revision up to which every change of the list is known; some later ones may be known too.
    pub(crate) complete_to: u64,
    /// Revision of the last whole list read from the store.
    pub(crate) list_revision: u64,
    pub(crate) store_connectivity: StoreConnectivity,
    /// Time for which a departing upstream may get requests; zero until it is set.
    pub(crate) drain_timeout: Duration,
    pub(crate) changes: VecDeque<(Time, ListChange)>,
    pub(crate) by_instance: HashMap<Name, usize>,
    pub(crate) by_service: HashMap<Name, Vec<usize>>,
    pub(crate) digest: u64,
    pub(crate) memory_of: HashMap<Name, u64>,
    /// Services of the active configuration; `None` before the first.
    pub(crate) services: Option<HashSet<Name>>,
    pub(crate) pace_of: HashMap<Name, Pace>,
    pub(crate) pauses_of: HashMap<Name, ServicePauses>,
    /// Upstreams with announced work, by the entry that announced it.
    pub(crate) announced_by: HashMap<Name, HashSet<usize>>,
    pub(crate) policy: Policy,
    pub(crate) regions: Regions,
    pub(crate) fleet: FleetView,
    pub(crate) cold: ColdShare,
    /// Requests per second that a cold upstream can take, by service.
    pub(crate) cold_rate_of: HashMap<Name, f64>,
    pub(crate) evacuations: Evacuations,
    pub(crate) left_versions: LeftVersions,
    /// Data centres evacuated before the store was restored from a backup that doesn't list them.
    pub(crate) unconfirmed_evacuations: BTreeSet<Name>,
}

/// Maximum number of upstreams that a choice compares; of more it takes a random sample of this size.
///
/// On average one in sixty upstreams is better than the best of 64 random ones, and the work of a
/// choice is the same in a fleet of any size.
const SAMPLE_SIZE: usize = 64;

/// Time until every entry knows that an upstream leaves, subtracted from the drain timeout: watches
/// pause for 0.3 s after changes, and an announcement takes about 25 ms to reach all entries.
const DEPARTURE_NOTICE_DELAY: Duration = Duration::from_millis(400);

/// Number of shared parts of prompts per upstream from which expired ones are removed.
const MAX_SHARED_PROMPTS: usize = 256;

/// Weight of the newest outcome in the moving average of an upstream's failures.
const OUTCOME_WEIGHT: f64 = 0.15;

impl Pool {
    /// Creates an empty pool for an entry in `data_centre`.
    #[must_use]
    pub fn new(data_centre: Name) -> Self {
        Self {
            data_centre,
            ..Self::default()
        }
    }

    /// Sets the mechanisms used in choices.
    pub const fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Returns the highest revision received.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the records of the upstreams that have not been removed.
    pub fn records(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.upstreams
            .iter()
            .filter(|u| !u.removed)
            .map(|u| &u.record)
    }

    /// Returns the indices of the same upstreams.
    #[must_use]
    pub fn indices(&self) -> Vec<UpstreamIx> {
        let all = self.upstreams.iter().enumerate();
        all.filter(|(_, u)| !u.removed)
            .map(|(i, _)| UpstreamIx(i))
            .collect()
    }

    /// Returns the record of an upstream.
    #[must_use]
    pub fn record(&self, ix: UpstreamIx) -> &UpstreamRecord {
        &self.upstreams[ix.0].record
    }

    /// Returns whether an upstream takes new work, as far as known.
    #[must_use]
    pub fn is_serving(&self, ix: UpstreamIx) -> bool {
        self.upstreams[ix.0].is_serving()
    }

    /// Sets the entries among which the fleet's request limits are shared.
    pub fn set_fleet(&mut self, fleet: FleetView) {
        self.fleet = fleet;
    }

    /// Records that a request is about to be sent to an upstream.
    pub fn record_sending(&mut self, now: Time, ix: UpstreamIx) {
        let u = &mut self.upstreams[ix.0];
        if u.rate.is_known() {
            u.sent_requests.record(now, MAX_RATE_SPAN);
        } else if self.cold_rate_of.contains_key(&u.record.service) {
            u.sent_requests.record(now, COLD_SPAN);
        }
    }

    /// Sets the time for which a departing upstream may get requests.
    pub const fn set_drain_timeout(&mut self, timeout: Duration) {
        self.drain_timeout = timeout;
    }

    /// Returns whether a request may still go to an upstream that was chosen for it or holds its memory:
    /// the incarnation has not ended, and if it leaves, the time allowed has not passed.
    #[must_use]
    pub fn may_get_requests(&self, now: Time, ix: UpstreamIx) -> bool {
        let u = &self.upstreams[ix.0];
        let allowed = self.drain_timeout.saturating_sub(DEPARTURE_NOTICE_DELAY);
        let left = u.left_at.filter(|_| !u.is_serving());
        !u.ended && left.is_none_or(|t| now.since(t) < allowed)
    }

    /// Returns the latest incarnation of an instance.
    #[must_use]
    pub fn find(&self, instance: &str) -> Option<UpstreamIx> {
        self.by_instance.get(instance).copied().map(UpstreamIx)
    }

    /// Sets the memory of each engine of a service; `None` if unknown.
    pub fn set_memory(&mut self, service: &Name, tokens: Option<u64>) {
        match tokens {
            Some(tokens) => self.memory_of.insert(service.clone(), tokens),
            None => self.memory_of.remove(service),
        };
        let of_service = self.by_service.get(service).into_iter().flatten();
        for i in of_service {
            self.upstreams[*i].memory_tokens = tokens;
        }
    }

    /// Adds a request to this entry's work on an upstream.
    pub fn place(&mut self, now: Time, ix: UpstreamIx, need: &Need) {
        let u = &mut self.upstreams[ix.0];
        u.own_work = u.own_work.with(need);
        if let Some(shared) = need.shared {
            if u.shared_prompts.len() >= MAX_SHARED_PROMPTS {
                u.shared_prompts
                    .retain(|_, t| now.since(*t) < SHARED_PROMPT_LIFETIME);
            }
            u.shared_prompts.insert(shared, now);
        }
    }

    /// Records that the prompt of a placed request has been read, and updates its need.
    pub fn record_prompt_read(&mut self, ix: UpstreamIx, need: &mut Need) {
        let own_work = &mut self.upstreams[ix.0].own_work;
        own_work.unread = own_work.unread.saturating_sub(need.unread);
        need.unread = 0;
    }

    /// Raises the memory that a placed request needs to `tokens` in all.
    pub fn grow(&mut self, ix: UpstreamIx, need: &mut Need, tokens: u64) {
        let own_work = &mut self.upstreams[ix.0].own_work;
        own_work.tokens += tokens.saturating_sub(need.tokens);
        let was_long = need.is_long();
        need.tokens = need.tokens.max(tokens);
        own_work.long += u32::from(need.is_long() && !was_long);
    }

    /// Records that an answer of this entry sees an upstream become slow, or no longer slow.
    pub fn record_slowed(&mut self, ix: UpstreamIx, is_slowed: bool) {
        let slowed = &mut self.upstreams[ix.0].own_work.slowed;
        *slowed = if is_slowed {
            *slowed + 1
        } else {
            slowed.saturating_sub(1)
        };
    }

    /// Removes a request that [`Pool::place`] added.
    pub fn release(&mut self, ix: UpstreamIx, need: &Need) {
        let own_work = &mut self.upstreams[ix.0].own_work;
        *own_work = own_work.without(need);
    }

    /// Records whether a request failed through a fault of the upstream.
    pub fn record_outcome(&mut self, ix: UpstreamIx, failed: bool) {
        let u = &mut self.upstreams[ix.0];
        let newest = if failed { 1.0 } else { 0.0 };
        u.failing += OUTCOME_WEIGHT * (newest - u.failing);
    }

    /// Records that an upstream produced tokens of a stream in a span without a break.
    pub fn record_pace(&mut self, ix: UpstreamIx, tokens: u64, span: Duration) {
        let u = &mut self.upstreams[ix.0];
        u.pace.own.record_for_engine(tokens, span);
        let of_service = self.pace_of.entry(u.record.service.clone()).or_default();
        of_service.record_for_service(tokens, span);
    }

    /// Returns the token time of an upstream relative to the mean of its service.
    #[must_use]
    pub fn relative_pace(&self, ix: UpstreamIx) -> f64 {
        let u = &self.upstreams[ix.0];
        u.pace.relative(self.pace_of_service(u))
    }

    /// Records a gap between events of a stream; returns whether owners should soon hear of it.
    ///
    /// `peak` belongs to the stream on this upstream.
    pub fn record_gap(&mut self, ix: UpstreamIx, gap: &Gap, peak: &mut PausePeak) -> bool {
        if !self.policy.uses(Mechanism::Interference) {
            return false;
        }
        let u = &mut self.upstreams[ix.0];
        let is_news = u.pace.record_gap(gap.tokens, gap.span);
        if let Some((usual, _)) = u.pace.usual() {
            let reading = u.reading.share(0.0);
            let service = u.record.service.clone();
            let pauses = self.pauses_of.entry(service).or_default();
            pauses.record_gap(gap, usual, reading, peak);
        }
        is_news
    }

    /// Records the time from sending a prompt to the first event.
    pub fn record_read(&mut self, ix: UpstreamIx, tokens: u64, span: Duration) {
        let service = self.upstreams[ix.0].record.service.clone();
        let pauses = self.pauses_of.entry(service).or_default();
        pauses.record_read(tokens, span);
    }

    /// Returns the pauses of this entry's answers, by service with uneven engines, to announce to others.
    #[must_use]
    pub fn pause_counts(&self) -> Vec<PauseCounts> {
        let uneven = |(service, _): &(&Name, &ServicePauses)| self.interference(service).is_some();
        let pauses = self.pauses_of.iter().filter(uneven);
        pauses.map(|(service, p)| p.counts(service)).collect()
    }

    /// Applies the pauses of another entry's answers.
    pub fn apply_pause_counts(&mut self, now: Time, entry: &Name, counts: Vec<PauseCounts>) {
        for counts in counts {
            // Services without answers here need no counts.
            if let Some(pauses) = self.pauses_of.get_mut(&counts.service) {
                pauses.apply_counts(now, entry, counts);
            }
        }
    }

    /// Returns the speed of an upstream's usual time per token relative to the mean engine, and the risk there.
    #[must_use]
    pub fn speed_and_risk(&self, ix: UpstreamIx) -> (f64, f64) {
        let u = &self.upstreams[ix.0];
        let engines = self.interference(&u.record.service);
        engines.map_or((1.0, 0.0), |i| (i.relative(u), i.risk(u)))
    }

    /// Returns the risk on the mean engine of a service, in late pauses per second of reading.
    #[must_use]
    pub fn service_risk(&self, service: &str) -> f64 {
        let engines = self.interference(service);
        engines.map_or(0.0, |i| i.mean_risk())
    }

    /// Returns the numbers of engines of a service that are known to be faster and slower than the mean one; none
    /// while they aren't known to be uneven.
    #[must_use]
    pub fn fast_and_slow(&self, service: &str) -> (usize, usize) {
        let Some(engines) = self.interference(service) else {
            return (0, 0);
        };
        let relative = |i| engines.relative(&self.upstreams[i]);
        let known = self.serving(service).map(relative);
        let (fast, others): (Vec<f64>, Vec<f64>) = known.partition(|r| *r < 1.0);
        let slow = others.iter().filter(|r| **r > 1.0).count();
        (fast.len(), slow)
    }

    /// Returns the serving engines of a service, if they are known to be uneven.
    fn interference(&self, service: &str) -> Option<Interference<'_>> {
        if !self.policy.uses(Mechanism::Interference) {
            return None;
        }
        let pauses = self.pauses_of.get(service)?;
        let pace = self.pace_of.get(service).copied().unwrap_or_default();
        let engines = self.serving(service).take(SAMPLE_SIZE);
        let engines: Vec<usize> = engines.collect();
        Interference::of(pauses, pace, engines.iter().map(|i| &self.upstreams[*i]))
    }

    fn cost_context(&self, service: &str) -> CostContext<'_> {
        CostContext {
            data_centre: &self.data_centre,
            pace: self.pace_of.get(service).copied().unwrap_or_default(),
            policy: self.policy,
            interference: self.interference(service),
        }
    }

    fn pace_of_service(&self, u: &Upstream) -> Pace {
        let of_service = self.pace_of.get(&u.record.service);
        of_service.copied().unwrap_or_default()
    }

    /// Avoids an upstream for `span`, unless there is no other to choose.
    pub fn avoid(&mut self, now: Time, ix: UpstreamIx, span: Duration) {
        let u = &mut self.upstreams[ix.0];
        u.avoid_until = u.avoid_until.max(now + span);
    }

    /// Returns the share of an engine's memory that would be reserved with one more request, without
    /// memory backups, which runs displace.
    #[must_use]
    pub fn memory_share_with(&self, now: Time, ix: UpstreamIx, need: &Need) -> f64 {
        let u = &self.upstreams[ix.0];
        let tokens = u.load(now).tokens + need.tokens;
        share(tokens, u.memory_tokens.unwrap_or(0))
    }

    /// Returns the share of an engine's memory that all entries have reserved.
    #[must_use]
    pub fn memory_share(&self, now: Time, ix: UpstreamIx) -> f64 {
        let u = &self.upstreams[ix.0];
        share(u.load(now).memory(), u.memory_tokens.unwrap_or(0))
    }

    /// Returns the reserved share of the memory of all serving engines of a service, memory backups
    /// included.
    #[must_use]
    pub fn service_memory_share(&self, now: Time, service: &str) -> f64 {
        self.service_share(now, service, Placed::memory)
    }

    /// Returns the share of that memory that runs need, including those on departing engines, which
    /// will need capacity on the others.
    #[must_use]
    pub fn service_run_memory_share(&self, now: Time, service: &str) -> f64 {
        self.service_share(now, service, |placed| placed.tokens)
    }

    fn service_share(&self, now: Time, service: &str, of: impl Fn(&Placed) -> u64) -> f64 {
        let of_service = self.of_service(service).iter().map(|i| &self.upstreams[*i]);
        let of_service: Vec<&Upstream> = of_service.filter(|u| !u.has_departed(now)).collect();
        // Upstreams with a known load represent the others.
        let known = of_service.iter().filter(|u| u.is_known(now));
        let known: Vec<&Upstream> = known.copied().collect();
        let counted = if known.is_empty() { of_service } else { known };
        let (used, all) = counted.into_iter().fold((0, 0), |sum, u| {
            let memory = if u.is_serving() && !self.is_closed(u) {
                u.memory_tokens.unwrap_or(0)
            } else {
                0
            };
            (sum.0 + of(&u.load(now)), sum.1 + memory)
        });
        share(used, all)
    }

    /// Returns the number of upstreams of a service that take new work.
    #[must_use]
    pub fn count(&self, service: &str) -> usize {
        self.serving(service).count()
    }

    /// Chooses an upstream of `service` that is not in `tried`.
    ///
    /// An avoided upstream is chosen only if there is no other.
    #[must_use]
    pub fn choose(
        &self,
        now: Time,
        service: &str,
        need: &Need,
        tried: &[UpstreamIx],
    ) -> Option<UpstreamIx> {
        let open: Vec<usize> = self.untried(now, service, need, tried).collect();
        let not_avoided = |i: &usize| self.upstreams[*i].avoid_until <= now;
        let sampled = self.fresh_or_sampled(now, need, &open);
        let context = self.cost_context(service);
        let least = |candidates: &mut dyn Iterator<Item = usize>| {
            self.least_cost(now, need, &context, candidates)
        };
        let best = least(&mut sampled.iter().copied().filter(not_avoided));
        let best = best.or_else(|| least(&mut open.iter().copied().filter(not_avoided)));
        best.or_else(|| least(&mut open.iter().copied()))
    }

    /// Returns the upstreams with fresh replies of their owners, or a random sample if these are few.
    fn fresh_or_sampled<'a>(&self, now: Time, need: &Need, open: &'a [usize]) -> Cow<'a, [usize]> {
        let fresh = |i: &&usize| self.upstreams[**i].is_fresh(now);
        let fresh: Vec<usize> = open.iter().filter(fresh).copied().collect();
        if fresh.len() >= MIN_REPLIES && need.tokens > 0 {
            return Cow::Owned(fresh);
        }
        sample(open, need.draw)
    }

    /// Returns the upstreams of a service that may be chosen for `need` and are not in `tried`.
    pub(crate) fn untried<'a>(
        &'a self,
        now: Time,
        service: &str,
        need: &Need,
        tried: &'a [UpstreamIx],
    ) -> impl Iterator<Item = usize> {
        let need = *need;
        self.serving(service)
            .filter(move |i| self.is_candidate(now, &need, tried, *i))
    }

    /// Returns whether an upstream may get a request with this need now, apart from its leaving.
    pub(crate) fn is_candidate(
        &self,
        now: Time,
        need: &Need,
        tried: &[UpstreamIx],
        i: usize,
    ) -> bool {
        let u = &self.upstreams[i];
        self.is_home(need.homes, &u.record.data_centre)
            && u.has_version_for(need)
            && self.withheld_reason(now, u).is_none()
            && !tried.contains(&UpstreamIx(i))
    }

    /// Returns up to `max_count` of `open` with the least cost.
    pub(crate) fn cheapest(
        &self,
        now: Time,
        need: &Need,
        open: &[usize],
        max_count: usize,
    ) -> Vec<usize> {
        let Some(first) = open.first() else {
            return Vec::new();
        };
        let context = self.cost_context(&self.upstreams[*first].record.service);
        let sampled = sample(open, need.draw);
        let costs = sampled
            .iter()
            .map(|i| (self.cost(now, need, &context, *i), *i));
        let mut costs: Vec<(f64, usize)> = costs.collect();
        costs.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
        costs.into_iter().take(max_count).map(|(_, i)| i).collect()
    }

    pub(crate) fn of_service(&self, service: &str) -> &[usize] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn serving(&self, service: &str) -> impl Iterator<Item = usize> {
        let of_service = self.of_service(service).iter().copied();
        of_service.filter(|i| {
            let u = &self.upstreams[*i];
            u.is_serving() && !self.is_closed(u)
        })
    }

    /// Returns whether the upstream's data centre takes no new work.
    fn is_closed(&self, u: &Upstream) -> bool {
        self.is_closed_to_new_work(&u.record.data_centre)
    }

    /// Returns the candidate with the least cost.
    pub(crate) fn least_cost_of(
        &self,
        now: Time,
        service: &str,
        need: &Need,
        candidates: &mut dyn Iterator<Item = usize>,
    ) -> Option<UpstreamIx> {
        self.least_cost(now, need, &self.cost_context(service), candidates)
    }

    fn least_cost(
        &self,
        now: Time,
        need: &Need,
        context: &CostContext<'_>,
        candidates: impl Iterator<Item = usize>,
    ) -> Option<UpstreamIx> {
        let costs = candidates.map(|i| (i, self.cost(now, need, context, i)));
        let best = costs.min_by(|(_, a), (_, b)| a.total_cmp(b));
        best.map(|(i, _)| UpstreamIx(i))
    }

    /// Returns the additional cost at `u` of a memory backup from `source`.
    fn backup_cost(&self, source: UpstreamIx, u: &Upstream) -> f64 {
        let is_remote = self.record(source).data_centre != u.record.data_centre;
        let remote = if is_remote { REMOTE_BACKUP_COST } else { 0.0 };
        let limited = if u.rate.limit().is_some() {
            RATE_LIMITED_BACKUP_COST
        } else {
            0.0
        };
        remote + limited
    }

    fn cost(&self, now: Time, need: &Need, context: &CostContext<'_>, i: usize) -> f64 {
        let u = &self.upstreams[i];
        let backup = need.copied_from.map_or(0.0, |ix| self.backup_cost(ix, u));
        let tie = tie_cost(need) * draw_fraction(need.draw, i);
        u.cost(now, need, context) + backup + tie
    }
}

/// Returns all of `open`, or a random sample if there are more than [`SAMPLE_SIZE`].
fn sample(open: &[usize], draw: u64) -> Cow<'_, [usize]> {
    if open.len() <= SAMPLE_SIZE {
        return Cow::Borrowed(open);
    }
    let sampled = (0..SAMPLE_SIZE).map(|k| open[draw_index(draw, k, open.len())]);
    Cow::Owned(sampled.collect())
}
