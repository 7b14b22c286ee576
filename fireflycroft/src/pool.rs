//! Upstreams that a direct entry drives itself, and its choice among them.
//!
//! What this entry has placed is known to it at once; what the others have
//! placed is known from what they told last. Both are counted in tokens of
//! memory, prompt and expected answer, since it is memory that engines run out
//! of. A generation goes where the least of the memory is spoken for.

use crate::cold::{COLD_SPAN, ColdShare};
use crate::evacuation::Evacuations;
use crate::fleet_view::FleetView;
use crate::ids::Name;
use crate::listing::ListChange;
use crate::loads::MIN_REPLIES;
use crate::mechanism::Policy;
use crate::pace::Pace;
use crate::placed::{Need, Placed};
use crate::rate_limit::MAX_RATE_SPAN;
use crate::region::Regions;
use crate::store_connectivity::StoreConnectivity;
use crate::time::Time;
use crate::upstream::{
    CostContext, RATE_LIMITED_BACKUP_COST, REMOTE_BACKUP_COST, SHARED_PROMPT_LIFETIME, Upstream,
    UpstreamIx, UpstreamRecord, draw_fraction, draw_index, share, tie_cost,
};
use std::borrow::Cow;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::time::Duration;

/// The upstreams known.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) data_centre: Name,
    pub(crate) revision: u64,
    /// Revision up to which every change of the list is known; some later ones may be, too.
    pub(crate) complete_to: u64,
    /// Revision of the last whole list that was read from the store.
    pub(crate) list_revision: u64,
    pub(crate) store_connectivity: StoreConnectivity,
    /// Time for which an upstream that leaves may get requests; none until it is set.
    pub(crate) drain_timeout: Duration,
    pub(crate) changes: VecDeque<(Time, ListChange)>,
    pub(crate) by_instance: HashMap<Name, usize>,
    pub(crate) by_service: HashMap<Name, Vec<usize>>,
    pub(crate) digest: u64,
    pub(crate) memory_of: HashMap<Name, u64>,
    pub(crate) pace_of: HashMap<Name, Pace>,
    /// Upstreams of which each other entry has told this one.
    pub(crate) announced_by: HashMap<Name, HashSet<usize>>,
    pub(crate) policy: Policy,
    pub(crate) regions: Regions,
    pub(crate) fleet: FleetView,
    pub(crate) cold: ColdShare,
    /// Requests a second that a cold upstream bears, by service.
    pub(crate) cold_rate_of: HashMap<Name, f64>,
    pub(crate) evacuations: Evacuations,
    /// Data centres that were evacuated when the store came back from a copy that doesn't say so.
    pub(crate) unconfirmed_evacuations: BTreeSet<Name>,
}

/// Upstreams of a service beyond which a choice looks at a sample of so many.
///
/// The best of 64 drawn ones is as good as the best of all but for one in sixty, and costs the
/// same in a fleet of any size.
const SAMPLE_SIZE: usize = 64;

/// Part of the time for which an upstream that leaves may get requests that passes before its leaving
/// is heard of: watches rest for 0.3 s after changes, and news takes some 25 ms to all entries.
const DEPARTURE_NOTICE_DELAY: Duration = Duration::from_millis(400);

/// Parts of prompts remembered for an upstream.
const MAX_SHARED_PROMPTS: usize = 256;

/// Weight of the newest outcome in the failing share of an upstream.
const OUTCOME_WEIGHT: f64 = 0.15;

impl Pool {
    /// An empty pool of an entry in `data_centre`.
    #[must_use]
    pub fn new(data_centre: Name) -> Self {
        Self {
            data_centre,
            ..Self::default()
        }
    }

    /// Chooses by these mechanisms from now on.
    pub const fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Highest revision of any record taken.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision up to which every change of the list is known.
    #[must_use]
    pub const fn complete_to(&self) -> u64 {
        self.complete_to
    }

    /// Notes that every change of the list up to a revision is known.
    pub fn record_complete(&mut self, revision: u64) {
        self.complete_to = self.complete_to.max(revision);
    }

    /// Upstreams that are not gone.
    pub fn records(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.upstreams
            .iter()
            .filter(|u| !u.removed)
            .map(|u| &u.record)
    }

    /// Indices of the same.
    #[must_use]
    pub fn indices(&self) -> Vec<UpstreamIx> {
        let all = self.upstreams.iter().enumerate();
        all.filter(|(_, u)| !u.removed)
            .map(|(i, _)| UpstreamIx(i))
            .collect()
    }

    /// The record of an upstream.
    #[must_use]
    pub fn record(&self, ix: UpstreamIx) -> &UpstreamRecord {
        &self.upstreams[ix.0].record
    }

    /// Whether an upstream takes new work, as far as is known.
    #[must_use]
    pub fn is_serving(&self, ix: UpstreamIx) -> bool {
        self.upstreams[ix.0].is_serving()
    }

    /// Shares what the fleet may send among these entries.
    pub fn set_fleet(&mut self, fleet: FleetView) {
        self.fleet = fleet;
    }

    /// Notes that a request is about to be sent to an upstream.
    pub fn record_sending(&mut self, now: Time, ix: UpstreamIx) {
        let u = &mut self.upstreams[ix.0];
        if u.rate.is_known() {
            u.sent_requests.record(now, MAX_RATE_SPAN);
        } else if self.cold_rate_of.contains_key(&u.record.service) {
            u.sent_requests.record(now, COLD_SPAN);
        }
    }

    /// Sets the time for which an upstream that leaves may get requests.
    pub const fn set_drain_timeout(&mut self, timeout: Duration) {
        self.drain_timeout = timeout;
    }

    /// Whether a request may be sent to an upstream that was chosen before, or that holds memory of
    /// it: its life goes on, and it hasn't left for longer than allowed.
    #[must_use]
    pub fn may_get_requests(&self, now: Time, ix: UpstreamIx) -> bool {
        let u = &self.upstreams[ix.0];
        let allowed = self.drain_timeout.saturating_sub(DEPARTURE_NOTICE_DELAY);
        let left = u.left_at.filter(|_| !u.is_serving());
        !u.ended && left.is_none_or(|t| now.since(t) < allowed)
    }

    /// When an upstream was first known to leave.
    #[must_use]
    pub fn left_at(&self, ix: UpstreamIx) -> Option<Time> {
        self.upstreams[ix.0].left_at
    }

    /// Whether a later life of the same id is known, so that nothing of this one is left.
    #[must_use]
    pub fn is_ended(&self, ix: UpstreamIx) -> bool {
        self.upstreams[ix.0].ended
    }

    /// The upstream of that instance, in its latest life.
    #[must_use]
    pub fn find(&self, instance: &str) -> Option<UpstreamIx> {
        self.by_instance.get(instance).copied().map(UpstreamIx)
    }

    /// Sets the memory of the engines of a service.
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

    /// Counts a request as placed on an upstream.
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

    /// Notes that the prompt of a placed request has been read; its need changes with it.
    pub fn record_prompt_read(&mut self, ix: UpstreamIx, need: &mut Need) {
        let own_work = &mut self.upstreams[ix.0].own_work;
        own_work.unread = own_work.unread.saturating_sub(need.unread);
        need.unread = 0;
    }

    /// Counts a placed request as needing `tokens` of memory in all.
    pub fn grow(&mut self, ix: UpstreamIx, need: &mut Need, tokens: u64) {
        let own_work = &mut self.upstreams[ix.0].own_work;
        own_work.tokens += tokens.saturating_sub(need.tokens);
        need.tokens = need.tokens.max(tokens);
    }

    /// Takes back what [`Pool::place`] counted.
    pub fn release(&mut self, ix: UpstreamIx, need: &Need) {
        let own_work = &mut self.upstreams[ix.0].own_work;
        *own_work = own_work.without(need);
    }

    /// Notes whether a request failed through the upstream's fault.
    pub fn record_outcome(&mut self, ix: UpstreamIx, failed: bool) {
        let u = &mut self.upstreams[ix.0];
        let newest = if failed { 1.0 } else { 0.0 };
        u.failing += OUTCOME_WEIGHT * (newest - u.failing);
    }

    /// Notes that an upstream made tokens of a stream in a span without a break.
    pub fn record_pace(&mut self, ix: UpstreamIx, tokens: u64, span: Duration) {
        let u = &mut self.upstreams[ix.0];
        u.pace.own.record_for_engine(tokens, span);
        let of_service = self.pace_of.entry(u.record.service.clone()).or_default();
        of_service.record_for_service(tokens, span);
    }

    /// Time that an upstream takes for a token, against the mean of its service.
    #[must_use]
    pub fn relative_pace(&self, ix: UpstreamIx) -> f64 {
        let u = &self.upstreams[ix.0];
        u.pace.relative(self.pace_of_service(u))
    }

    fn cost_context(&self, u: &Upstream) -> CostContext<'_> {
        CostContext {
            data_centre: &self.data_centre,
            pace: self.pace_of_service(u),
            policy: self.policy,
        }
    }

    fn pace_of_service(&self, u: &Upstream) -> Pace {
        let of_service = self.pace_of.get(&u.record.service);
        of_service.copied().unwrap_or_default()
    }

    /// Leaves an upstream out for a while where there is another.
    pub fn avoid(&mut self, now: Time, ix: UpstreamIx, span: Duration) {
        let u = &mut self.upstreams[ix.0];
        u.avoid_until = u.avoid_until.max(now + span);
    }

    /// Share of an engine's memory that would be spoken for with one more request, copies left
    /// out: they give way to runs.
    #[must_use]
    pub fn memory_share_with(&self, now: Time, ix: UpstreamIx, need: &Need) -> f64 {
        let u = &self.upstreams[ix.0];
        let tokens = u.load(now).tokens + need.tokens;
        share(tokens, u.memory_tokens.unwrap_or(0))
    }

    /// Share of an engine's memory that is spoken for, by all entries.
    #[must_use]
    pub fn memory_share(&self, now: Time, ix: UpstreamIx) -> f64 {
        let u = &self.upstreams[ix.0];
        share(u.load(now).memory(), u.memory_tokens.unwrap_or(0))
    }

    /// Share of the memory of all serving engines of a service that is spoken for, copies included.
    #[must_use]
    pub fn service_memory_share(&self, now: Time, service: &str) -> f64 {
        self.service_share(now, service, Placed::memory)
    }

    /// Share of that memory that runs need, with those on engines that leave, which have to find
    /// room on the others.
    #[must_use]
    pub fn service_run_memory_share(&self, now: Time, service: &str) -> f64 {
        self.service_share(now, service, |placed| placed.tokens)
    }

    fn service_share(&self, now: Time, service: &str, of: impl Fn(&Placed) -> u64) -> f64 {
        let of_service = self.of_service(service).iter().map(|i| &self.upstreams[*i]);
        let of_service: Vec<&Upstream> = of_service.filter(|u| !u.has_departed(now)).collect();
        // Those whose load is known stand for the others.
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

    /// Upstreams of a service that take new work.
    #[must_use]
    pub fn count(&self, service: &str) -> usize {
        self.serving(service).count()
    }

    /// Chooses an upstream of `service` that is not in `tried`.
    ///
    /// One that is avoided is chosen only where there is no other.
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
        let best = self.least_cost(now, need, sampled.iter().copied().filter(not_avoided));
        let best =
            best.or_else(|| self.least_cost(now, need, open.iter().copied().filter(not_avoided)));
        best.or_else(|| self.least_cost(now, need, open.iter().copied()))
    }

    /// Those whose owners have replied just now; where these are few, [`SAMPLE`] drawn ones.
    fn fresh_or_sampled<'a>(&self, now: Time, need: &Need, open: &'a [usize]) -> Cow<'a, [usize]> {
        let fresh = |i: &&usize| self.upstreams[**i].is_fresh(now);
        let fresh: Vec<usize> = open.iter().filter(fresh).copied().collect();
        if fresh.len() >= MIN_REPLIES && need.tokens > 0 {
            return Cow::Owned(fresh);
        }
        sample(open, need.draw)
    }

    /// Upstreams of a service that may be chosen for `need` and are not in `tried`.
    pub(crate) fn untried<'a>(
        &'a self,
        now: Time,
        service: &str,
        need: &Need,
        tried: &'a [UpstreamIx],
    ) -> impl Iterator<Item = usize> {
        let regions = need.homes;
        let is_candidate = move |i: &usize| {
            let u = &self.upstreams[*i];
            let is_home = self.is_home(regions, &u.record.data_centre);
            is_home && self.withheld_reason(now, u).is_none() && !tried.contains(&UpstreamIx(*i))
        };
        self.serving(service).filter(is_candidate)
    }

    /// The `most` of `open` that would cost least.
    pub(crate) fn cheapest(
        &self,
        now: Time,
        need: &Need,
        open: &[usize],
        max_count: usize,
    ) -> Vec<usize> {
        let sampled = sample(open, need.draw);
        let costs = sampled.iter().map(|i| (self.cost(now, need, *i), *i));
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

    /// Whether an upstream is in a data centre that takes nothing new.
    fn is_closed(&self, u: &Upstream) -> bool {
        self.is_closed_to_new_work(&u.record.data_centre)
    }

    fn least_cost(
        &self,
        now: Time,
        need: &Need,
        candidates: impl Iterator<Item = usize>,
    ) -> Option<UpstreamIx> {
        let costs = candidates.map(|i| (i, self.cost(now, need, i)));
        let best = costs.min_by(|(_, a), (_, b)| a.total_cmp(b));
        best.map(|(i, _)| UpstreamIx(i))
    }

    /// What a copy from `source` costs at `u` beyond what any request costs there.
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

    fn cost(&self, now: Time, need: &Need, i: usize) -> f64 {
        let u = &self.upstreams[i];
        let backup = need.copied_from.map_or(0.0, |ix| self.backup_cost(ix, u));
        let tie = tie_cost(need) * draw_fraction(need.draw, i);
        u.cost(now, need, &self.cost_context(u)) + backup + tie
    }
}

/// All of `open`, or [`SAMPLE`] drawn ones of many.
fn sample(open: &[usize], draw: u64) -> Cow<'_, [usize]> {
    if open.len() <= SAMPLE_SIZE {
        return Cow::Borrowed(open);
    }
    let sampled = (0..SAMPLE_SIZE).map(|k| open[draw_index(draw, k, open.len())]);
    Cow::Owned(sampled.collect())
}
