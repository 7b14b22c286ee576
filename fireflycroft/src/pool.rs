//! Upstreams that a direct entry drives itself, and its choice among them.
//!
//! What this entry has placed is known to it at once; what the others have
//! placed is known from what they told last. Both are counted in tokens of
//! memory, prompt and expected answer, since it is memory that engines run out
//! of. A generation goes where the least of the memory is spoken for.

use crate::ids::{Digest, Name};
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// It does.
    Serving,
    /// It has announced that it leaves.
    Leaving,
}

/// One upstream, as the platform's list has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Id of this life of the upstream; never used twice.
    pub instance: Name,
    /// Service that it answers for.
    pub service: Name,
    /// Where it listens; may pass to another upstream later.
    pub addr: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// How much longer it is slow after its start.
    pub cold_for: Duration,
    /// Revision of the list at which the record was written.
    pub revision: u64,
}

/// Index of an upstream in the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamIx(usize);

/// Work placed on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Placed {
    /// Requests under way.
    pub running: u32,
    /// Tokens of memory that they are expected to need.
    pub tokens: u64,
    /// Tokens of memory that copies of runs elsewhere take.
    pub copies: u64,
    /// Tokens of prompts that are still to be read.
    pub unread: u64,
}

impl Placed {
    /// Memory in all.
    const fn memory(&self) -> u64 {
        self.tokens + self.copies
    }

    const fn with(self, need: &Need) -> Self {
        if need.is_copy {
            return Self {
                copies: self.copies + need.tokens,
                ..self
            };
        }
        Self {
            running: self.running + 1,
            tokens: self.tokens + need.tokens,
            unread: self.unread + need.unread,
            ..self
        }
    }

    const fn without(self, need: &Need) -> Self {
        if need.is_copy {
            return Self {
                copies: self.copies.saturating_sub(need.tokens),
                ..self
            };
        }
        Self {
            running: self.running.saturating_sub(1),
            tokens: self.tokens.saturating_sub(need.tokens),
            unread: self.unread.saturating_sub(need.unread),
            ..self
        }
    }
}

/// Work that one entry has placed on one upstream, as it tells the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedAt {
    /// The upstream.
    pub instance: Name,
    /// What is placed there.
    pub placed: Placed,
}

/// What a request needs of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Whether it is a copy of a run's memory, which takes no place in the batch.
    pub is_copy: bool,
    /// Tokens of memory that it is expected to need; zero for a plain call.
    pub tokens: u64,
    /// Tokens of its prompt, which are part of `tokens`.
    pub prompt: u64,
    /// Tokens of its prompt that the upstream has to read first.
    pub unread: u64,
    /// Parts of its prompt that others may share, folded into one number.
    pub shared: Option<u64>,
    /// Random number that tells near ties apart, another one for each request.
    pub draw: u64,
    /// Upstream that its memory is copied from, over links that are shorter within a data centre.
    pub copied_from: Option<UpstreamIx>,
}

/// What the pool knows of one upstream.
#[derive(Clone, Debug)]
struct Upstream {
    record: UpstreamRecord,
    memory_tokens: Option<u64>,
    gone: bool,
    left_at: Option<Time>,
    missing_since: Option<Time>,
    mine: Placed,
    others: HashMap<Name, (Time, Placed)>,
    avoid_until: Time,
    failing: f64,
    cold_until: Time,
    read: HashMap<u64, Time>,
}

/// Load of an upstream, as a choice saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadView {
    /// Work of all entries.
    pub placed: Placed,
    /// Share of its memory that is spoken for; zero for a plain service.
    pub memory: f64,
    /// Share of the newest requests that failed there.
    pub failing: f64,
    /// Age of the oldest telling that counts.
    pub age: Duration,
}

/// What changed for those who have work on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolChange {
    /// A new upstream came.
    Came(UpstreamIx),
    /// An upstream leaves or is gone from the list.
    Leaves(UpstreamIx),
}

/// A change of the list of upstreams, as entries tell it each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListChange {
    /// An upstream wrote its record.
    Listed(UpstreamRecord),
    /// An upstream is no longer on the list.
    Removed {
        /// The upstream.
        instance: Name,
        /// Revision of the list at which it went.
        revision: u64,
    },
}

/// The upstreams known.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    upstreams: Vec<Upstream>,
    data_centre: Name,
    revision: u64,
    changes: VecDeque<(Time, ListChange)>,
}

/// Changes of the list that are kept to be told.
const MAX_CHANGES: usize = 16;

/// Time for which a change of the list is told again and again.
const TELL_FOR: Duration = Duration::from_millis(1_200);

/// Time for which what another entry told counts.
///
/// Entries tell every quarter of a second; four lost in a row mean that it is gone.
const TOLD_FOR: Duration = Duration::from_secs(1);

/// Time for which an upstream that is gone is remembered, so that an older
/// record can't bring it back.
const REMEMBER_GONE: Duration = Duration::from_mins(1);

/// Time for which a list after an outage of the store may lack an upstream
/// that lives; the platform states about two seconds.
pub const MISSING_FOR: Duration = Duration::from_millis(2_500);

/// Time from an upstream's notice to its end, at which nothing runs there any more.
const LEAVES_WITHIN: Duration = Duration::from_secs(2);

/// Time for which a shared part of a prompt is taken to stay in memory.
const READ_FOR: Duration = Duration::from_secs(6);

/// Parts of prompts remembered for an upstream.
const MAX_READ: usize = 256;

/// Weight of the newest outcome in the failing share of an upstream.
const FAILING_WEIGHT: f64 = 0.15;

/// What a wholly failing upstream costs, against one whose memory is full.
const FAILING_COST: f64 = 4.0;

/// What another data centre costs, against a full memory.
const FAR_COST: f64 = 0.02;

/// What a copy from another data centre costs, against a full memory: it takes twice as long on
/// the links of both upstreams.
const FAR_COPY_COST: f64 = 0.4;

/// Costs that differ by less are taken for equal, against a full memory.
///
/// Entries that decide within the quarter of a second between two tellings see the same upstream
/// as the best and would all go there.
const TIE_COST: f64 = 0.12;

/// The same for copies: when upstreams leave together, all entries look for room for all their
/// runs within a few milliseconds.
const COPY_TIE_COST: f64 = 0.4;

/// What a cold upstream costs, against a full memory.
const COLD_COST: f64 = 0.25;

/// What a full batch costs, against a full memory.
const BATCH_COST: f64 = 0.5;

/// Share of the memory from which on runs are likely to be preempted.
const CROWDED: f64 = 0.85;

/// What each share of the memory beyond [`CROWDED`] costs on top.
const CROWDED_COST: f64 = 4.0;

/// Tokens of prompts still to be read that cost as much as a full memory: an engine that reads
/// between the steps of its batch takes about two seconds for them, the longest objective of a
/// first event.
const UNREAD_TOKENS: u64 = 14_000;

/// What a shared part that lies there saves, against a full memory.
const SHARED_GAIN: f64 = 0.03;

impl Pool {
    /// An empty pool of an entry in `data_centre`.
    #[must_use]
    pub fn new(data_centre: Name) -> Self {
        Self {
            upstreams: Vec::new(),
            data_centre,
            revision: 0,
            changes: VecDeque::new(),
        }
    }

    /// Highest revision of any record taken.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Upstreams that are not gone.
    pub fn records(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.upstreams.iter().filter(|u| !u.gone).map(|u| &u.record)
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

    /// When an upstream was first known to leave.
    #[must_use]
    pub fn left_at(&self, ix: UpstreamIx) -> Option<Time> {
        self.upstreams[ix.0].left_at
    }

    /// The upstream of that instance.
    #[must_use]
    pub fn find(&self, instance: &str) -> Option<UpstreamIx> {
        let at = self
            .upstreams
            .iter()
            .position(|u| &*u.record.instance == instance);
        at.map(UpstreamIx)
    }

    /// Takes a record unless it is older than the one held.
    pub fn learn(&mut self, now: Time, record: UpstreamRecord) -> Option<PoolChange> {
        self.revision = self.revision.max(record.revision);
        let Some(ix) = self.find(&record.instance) else {
            self.note_change(now, ListChange::Listed(record.clone()));
            return Some(self.add(now, record));
        };
        let u = &mut self.upstreams[ix.0];
        u.missing_since = None;
        if record.revision <= u.record.revision {
            return None;
        }
        self.note_change(now, ListChange::Listed(record.clone()));
        let u = &mut self.upstreams[ix.0];
        let was_serving = !u.gone && u.record.state == UpstreamState::Serving;
        u.gone = false;
        u.cold_until = now + record.cold_for;
        u.record = record;
        match (was_serving, u.record.state) {
            (true, UpstreamState::Leaving) => {
                u.left_at = Some(now);
                Some(PoolChange::Leaves(ix))
            }
            (false, UpstreamState::Serving) => {
                u.left_at = None;
                Some(PoolChange::Came(ix))
            }
            _ => None,
        }
    }

    fn add(&mut self, now: Time, record: UpstreamRecord) -> PoolChange {
        let leaving = record.state == UpstreamState::Leaving;
        let upstream = Upstream {
            cold_until: now + record.cold_for,
            record,
            memory_tokens: None,
            gone: false,
            left_at: leaving.then_some(now),
            missing_since: None,
            mine: Placed::default(),
            others: HashMap::new(),
            avoid_until: Time::default(),
            failing: 0.0,
            read: HashMap::new(),
        };
        let free = |u: &Upstream| {
            u.gone
                && u.mine == Placed::default()
                && u.left_at.is_none_or(|t| now.since(t) > REMEMBER_GONE)
        };
        let ix = if let Some(at) = self.upstreams.iter().position(free) {
            self.upstreams[at] = upstream;
            UpstreamIx(at)
        } else {
            self.upstreams.push(upstream);
            UpstreamIx(self.upstreams.len() - 1)
        };
        if leaving {
            PoolChange::Leaves(ix)
        } else {
            PoolChange::Came(ix)
        }
    }

    fn note_change(&mut self, now: Time, change: ListChange) {
        self.changes.push_back((now, change));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Changes of the list of late, to tell the others.
    #[must_use]
    pub fn list_changes(&self, now: Time) -> Vec<ListChange> {
        let fresh = |(at, _): &&(Time, ListChange)| now.since(*at) < TELL_FOR;
        let changes = self.changes.iter().filter(fresh);
        changes.map(|(_, change)| change.clone()).collect()
    }

    /// Takes a change that another entry told.
    pub fn take_change(&mut self, now: Time, change: ListChange) -> Option<PoolChange> {
        match change {
            ListChange::Listed(record) => self.learn(now, record),
            ListChange::Removed { instance, revision } => self.forget(now, &instance, revision),
        }
    }

    /// Digest of the list; two entries with the same one know the same upstreams.
    #[must_use]
    #[allow(clippy::cast_possible_truncation)]
    pub fn digest(&self) -> u64 {
        let one = |r: &UpstreamRecord| {
            let revision = r.revision.to_le_bytes();
            Digest::of(&[r.instance.as_bytes(), &revision]).0 as u64
        };
        self.records().fold(0, |sum, record| sum ^ one(record))
    }

    /// Notes that the list no longer has an upstream, as of `revision`.
    pub fn forget(&mut self, now: Time, instance: &str, revision: u64) -> Option<PoolChange> {
        self.revision = self.revision.max(revision);
        let ix = self.find(instance)?;
        let u = &mut self.upstreams[ix.0];
        if revision < u.record.revision {
            return None;
        }
        if u.gone {
            u.record.revision = revision;
            return None;
        }
        u.record.revision = revision;
        u.gone = true;
        u.missing_since = None;
        let instance = u.record.instance.clone();
        self.note_change(now, ListChange::Removed { instance, revision });
        let u = &mut self.upstreams[ix.0];
        if u.left_at.is_some() {
            return None;
        }
        u.left_at = Some(now);
        Some(PoolChange::Leaves(ix))
    }

    /// Notes that the list lacks an upstream, which may live all the same.
    pub fn note_missing(&mut self, now: Time, instance: &str, revision: u64) {
        self.revision = self.revision.max(revision);
        if let Some(ix) = self.find(instance) {
            let u = &mut self.upstreams[ix.0];
            if !u.gone && revision >= u.record.revision {
                u.missing_since = u.missing_since.or(Some(now));
            }
        }
    }

    /// Forgets upstreams that a list as of `revision` surely lacks.
    pub fn forget_others(
        &mut self,
        now: Time,
        listed: &[UpstreamRecord],
        revision: u64,
    ) -> Vec<PoolChange> {
        let lacks = |u: &&Upstream| {
            let known = &u.record;
            let on_list = listed.iter().any(|r| r.instance == known.instance);
            !u.gone && !on_list && known.revision <= revision
        };
        let names = self.upstreams.iter().filter(lacks);
        let names: Vec<Name> = names.map(|u| u.record.instance.clone()).collect();
        names
            .iter()
            .filter_map(|name| self.forget(now, name, revision))
            .collect()
    }

    /// Takes a whole list as of `revision`; what it lacks is missing from now on.
    pub fn learn_all(
        &mut self,
        now: Time,
        records: Vec<UpstreamRecord>,
        revision: u64,
    ) -> Vec<PoolChange> {
        for u in &mut self.upstreams {
            let listed = records.iter().any(|r| r.instance == u.record.instance);
            if !u.gone && !listed && u.record.revision <= revision {
                u.missing_since = u.missing_since.or(Some(now));
            }
        }
        records
            .into_iter()
            .filter_map(|record| self.learn(now, record))
            .collect()
    }

    /// Forgets upstreams that a list has lacked for [`MISSING_FOR`].
    pub fn drop_missing(&mut self, now: Time) -> Vec<PoolChange> {
        let overdue = |u: &Upstream| {
            u.missing_since
                .is_some_and(|t| !u.gone && now.since(t) >= MISSING_FOR)
        };
        let names: Vec<(Name, u64)> = self
            .upstreams
            .iter()
            .filter(|u| overdue(u))
            .map(|u| (u.record.instance.clone(), u.record.revision))
            .collect();
        names
            .into_iter()
            .filter_map(|(name, revision)| self.forget(now, &name, revision))
            .collect()
    }

    /// Whether any upstream is missing from the last list.
    #[must_use]
    pub fn any_missing(&self) -> bool {
        self.upstreams.iter().any(|u| u.missing_since.is_some())
    }

    /// Sets the memory of the engines of a service.
    pub fn set_memory(&mut self, service: &str, tokens: Option<u64>) {
        for u in &mut self.upstreams {
            if &*u.record.service == service {
                u.memory_tokens = tokens;
            }
        }
    }

    /// Counts a request as placed on an upstream.
    pub fn place(&mut self, now: Time, ix: UpstreamIx, need: &Need) {
        let u = &mut self.upstreams[ix.0];
        u.mine = u.mine.with(need);
        if let Some(shared) = need.shared {
            if u.read.len() >= MAX_READ {
                u.read.retain(|_, t| now.since(*t) < READ_FOR);
            }
            u.read.insert(shared, now);
        }
    }

    /// Notes that the prompt of a placed request has been read; its need changes with it.
    pub fn note_read(&mut self, ix: UpstreamIx, need: &mut Need) {
        let mine = &mut self.upstreams[ix.0].mine;
        mine.unread = mine.unread.saturating_sub(need.unread);
        need.unread = 0;
    }

    /// Counts a placed request as needing `tokens` of memory in all.
    pub fn grow(&mut self, ix: UpstreamIx, need: &mut Need, tokens: u64) {
        let mine = &mut self.upstreams[ix.0].mine;
        mine.tokens += tokens.saturating_sub(need.tokens);
        need.tokens = need.tokens.max(tokens);
    }

    /// Takes back what [`Pool::place`] counted.
    pub fn release(&mut self, ix: UpstreamIx, need: &Need) {
        let mine = &mut self.upstreams[ix.0].mine;
        *mine = mine.without(need);
    }

    /// Notes whether a request failed through the upstream's fault.
    pub fn note_outcome(&mut self, ix: UpstreamIx, failed: bool) {
        let u = &mut self.upstreams[ix.0];
        let newest = if failed { 1.0 } else { 0.0 };
        u.failing += FAILING_WEIGHT * (newest - u.failing);
    }

    /// Leaves an upstream out for a while where there is another.
    pub fn avoid(&mut self, now: Time, ix: UpstreamIx, span: Duration) {
        let u = &mut self.upstreams[ix.0];
        u.avoid_until = u.avoid_until.max(now + span);
    }

    /// Takes what another entry has placed.
    ///
    /// With `changes_only`, what it has told of other upstreams still holds.
    pub fn note_others(
        &mut self,
        now: Time,
        entry: &Name,
        placed: &[PlacedAt],
        changes_only: bool,
    ) {
        if !changes_only {
            for u in &mut self.upstreams {
                u.others.remove(entry);
            }
        }
        for at in placed {
            if let Some(ix) = self.find(&at.instance) {
                let others = &mut self.upstreams[ix.0].others;
                others.insert(entry.clone(), (now, at.placed));
            }
        }
    }

    /// What this entry has placed on some upstreams, to tell the others.
    #[must_use]
    pub fn placed_at(&self, some: impl IntoIterator<Item = UpstreamIx>) -> Vec<PlacedAt> {
        let at = |ix: UpstreamIx| &self.upstreams[ix.0];
        let tell = |u: &Upstream| PlacedAt {
            instance: u.record.instance.clone(),
            placed: u.mine,
        };
        some.into_iter().map(|ix| tell(at(ix))).collect()
    }

    /// What this entry has placed, to tell the others.
    #[must_use]
    pub fn placed(&self) -> Vec<PlacedAt> {
        let busy = self
            .upstreams
            .iter()
            .filter(|u| u.mine != Placed::default());
        busy.map(|u| PlacedAt {
            instance: u.record.instance.clone(),
            placed: u.mine,
        })
        .collect()
    }

    /// What is known of an upstream's load, and how old the oldest part of it is.
    #[must_use]
    pub fn view(&self, now: Time, ix: UpstreamIx) -> LoadView {
        let u = &self.upstreams[ix.0];
        let ages = u.others.values().map(|(at, _)| now.since(*at));
        let placed = u.load(now);
        LoadView {
            placed,
            memory: share(placed.memory(), u.memory_tokens.unwrap_or(0)),
            failing: u.failing,
            age: ages.filter(|a| *a < TOLD_FOR).max().unwrap_or_default(),
        }
    }

    /// Share of an engine's memory that would be spoken for with one more request, copies left
    /// out: they give way to runs.
    #[must_use]
    pub fn fill_with(&self, now: Time, ix: UpstreamIx, need: &Need) -> f64 {
        let u = &self.upstreams[ix.0];
        let tokens = u.load(now).tokens + need.tokens;
        share(tokens, u.memory_tokens.unwrap_or(0))
    }

    /// Share of an engine's memory that is spoken for, by all entries.
    #[must_use]
    pub fn fill(&self, now: Time, ix: UpstreamIx) -> f64 {
        let u = &self.upstreams[ix.0];
        share(u.load(now).memory(), u.memory_tokens.unwrap_or(0))
    }

    /// Share of the memory of all serving engines of a service that is spoken for, copies included.
    #[must_use]
    pub fn fill_of(&self, now: Time, service: &str) -> f64 {
        self.share_of(now, service, Placed::memory)
    }

    /// Share of that memory that runs need, with those on engines that leave, which have to find
    /// room on the others.
    #[must_use]
    pub fn runs_fill_of(&self, now: Time, service: &str) -> f64 {
        self.share_of(now, service, |placed| placed.tokens)
    }

    fn share_of(&self, now: Time, service: &str, of: impl Fn(&Placed) -> u64) -> f64 {
        let of_service = self.upstreams.iter();
        let of_service = of_service.filter(|u| !u.is_over(now) && &*u.record.service == service);
        let (used, all) = of_service.fold((0, 0), |sum, u| {
            let memory = if u.is_serving() {
                u.memory_tokens.unwrap_or(0)
            } else {
                0
            };
            (sum.0 + of(&u.load(now)), sum.1 + memory)
        });
        share(used, all)
    }

    /// Share of the slots of all serving upstreams of a service that is taken.
    #[must_use]
    pub fn busy_of(&self, now: Time, service: &str) -> f64 {
        let serving = self.serving(service);
        let (running, slots) = serving.fold((0, 0), |sum, i| {
            let u = &self.upstreams[i];
            let running = u64::from(u.load(now).running);
            (sum.0 + running, sum.1 + u64::from(u.record.slots))
        });
        share(running, slots)
    }

    /// Serving upstreams of a service.
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
        let open = || {
            self.serving(service)
                .filter(|i| !tried.contains(&UpstreamIx(*i)))
        };
        let sound = open().filter(|i| self.upstreams[*i].avoid_until <= now);
        let best = self.least_cost(now, need, sound);
        best.or_else(|| self.least_cost(now, need, open()))
    }

    fn serving(&self, service: &str) -> impl Iterator<Item = usize> {
        (0..self.upstreams.len()).filter(move |i| {
            let u = &self.upstreams[*i];
            u.is_serving() && &*u.record.service == service
        })
    }

    fn least_cost(
        &self,
        now: Time,
        need: &Need,
        among: impl Iterator<Item = usize>,
    ) -> Option<UpstreamIx> {
        let source = need.copied_from.map(|ix| &self.upstreams[ix.0].record);
        let near = source.map(|record| &record.data_centre);
        let costs = among.map(|i| {
            let u = &self.upstreams[i];
            let far_copy = near.is_some_and(|n| *n != u.record.data_centre);
            let copy = if far_copy { FAR_COPY_COST } else { 0.0 };
            let tie = tie_cost(need) * draw_for(need.draw, i);
            (i, u.cost(now, need, &self.data_centre) + copy + tie)
        });
        let best = costs.min_by(|(_, a), (_, b)| a.total_cmp(b));
        best.map(|(i, _)| UpstreamIx(i))
    }
}

impl Upstream {
    fn is_serving(&self) -> bool {
        !self.gone && self.record.state == UpstreamState::Serving
    }

    /// Whether it has left, so that what ran there has ended or moved.
    fn is_over(&self, now: Time) -> bool {
        let left = self.left_at.filter(|_| !self.is_serving());
        left.is_some_and(|t| now.since(t) > LEAVES_WITHIN)
    }

    /// Work of all entries.
    fn load(&self, now: Time) -> Placed {
        let told = self.others.values();
        let fresh = told.filter(|(at, _)| now.since(*at) < TOLD_FOR);
        fresh.fold(self.mine, |sum, (_, placed)| Placed {
            running: sum.running + placed.running,
            tokens: sum.tokens + placed.tokens,
            copies: sum.copies + placed.copies,
            unread: sum.unread + placed.unread,
        })
    }

    /// Cost of one more request here, against a full memory.
    fn cost(&self, now: Time, need: &Need, data_centre: &Name) -> f64 {
        let load = self.load(now);
        let memory = self
            .memory_tokens
            .map_or(0.0, |m| share(load.memory() + need.tokens, m));
        let full = (memory - CROWDED).max(0.0) * CROWDED_COST;
        let reading = share(load.unread, UNREAD_TOKENS);
        let batch = share(u64::from(load.running), u64::from(self.record.slots));
        let far = if self.record.data_centre == *data_centre {
            0.0
        } else {
            FAR_COST
        };
        let cold = if self.cold_until > now {
            COLD_COST
        } else {
            0.0
        };
        let lies_there = need.shared.and_then(|part| self.read.get(&part));
        let shared = match lies_there {
            Some(at) if now.since(*at) < READ_FOR => SHARED_GAIN,
            _ => 0.0,
        };
        memory + full + reading + BATCH_COST * batch + FAILING_COST * self.failing + far + cold
            - shared
    }
}

/// Costs that are taken for equal in this choice.
const fn tie_cost(need: &Need) -> f64 {
    match need.copied_from {
        _ if need.tokens == 0 => 0.0,
        Some(_) => COPY_TIE_COST,
        None => TIE_COST,
    }
}

/// A number from 0 to 1 for the upstream at `i`, by a finaliser of the `SplitMix64` generator.
#[allow(clippy::cast_precision_loss)]
const fn draw_for(draw: u64, i: usize) -> f64 {
    let mut z = draw.wrapping_add((i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (z ^ (z >> 31)) as f64 / u64::MAX as f64
}

#[allow(clippy::cast_precision_loss)]
fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}
