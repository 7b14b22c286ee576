//! One upstream as a direct entry sees it, and what one more request there costs.

use crate::admission_limit::SHORT_TOKENS;
use crate::ids::{Incarnation, Name};
use crate::leave_notice::LeaveNotice;
use crate::loads::OwnerReply;
use crate::mechanism::{Mechanism, Policy};
use crate::missing::Missing;
use crate::pace::{ObservedPace, Pace};
use crate::placed::{Need, Placed, PlacedAt};
use crate::rate_limit::KnownRate;
use crate::sent_requests::SentRequests;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// It does.
    Serving,
    /// It has announced that it leaves.
    Leaving,
    /// Its record was overwritten with what can't be read: nothing new goes there until it writes
    /// its record again, and what runs there goes on.
    Unreadable,
}

/// One life of an upstream, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UpstreamIncarnation {
    /// Id, which it may keep when it starts again.
    pub instance: Name,
    /// Which start of that id.
    pub incarnation: Incarnation,
}

/// One upstream, as the platform's list has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Id of the upstream; it may keep it when it starts again.
    pub instance: Name,
    /// Unix milliseconds of its start; zero where it doesn't say.
    pub incarnation: Incarnation,
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

impl UpstreamRecord {
    /// The life that wrote the record.
    #[must_use]
    pub fn upstream_incarnation(&self) -> UpstreamIncarnation {
        UpstreamIncarnation {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// Index of one life of an upstream in the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamIx(pub(crate) usize);

/// What the pool knows of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) record: UpstreamRecord,
    pub(crate) memory_tokens: Option<u64>,
    /// Revision of the first record that was taken of it.
    pub(crate) first_revision: u64,
    pub(crate) removed: bool,
    /// Whether a later life has taken its id: all that it ran or held is lost.
    pub(crate) ended: bool,
    pub(crate) left_at: Option<Time>,
    pub(crate) leave_notice: LeaveNotice,
    pub(crate) missing: Option<Missing>,
    pub(crate) own_work: Placed,
    /// What other entries have told this one as an owner.
    pub(crate) announced_work: HashMap<Name, (Time, Placed)>,
    /// Entries that couldn't reach it, and when.
    pub(crate) unreachable: HashMap<Name, Time>,
    /// What an owner has told this entry.
    pub(crate) replied: Option<OwnerReply>,
    pub(crate) avoid_until: Time,
    pub(crate) paused_until: Time,
    pub(crate) failing: f64,
    pub(crate) cold_until: Time,
    /// Requests of this entry, where a cold one bears only so many.
    pub(crate) sent_requests: SentRequests,
    pub(crate) rate: KnownRate,
    pub(crate) shared_prompts: HashMap<u64, Time>,
    pub(crate) pace: ObservedPace,
}

/// Time for which what another entry told counts.
///
/// Entries tell twice a second; three lost in a row mean that it is gone.
pub(crate) const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(1_600);

/// Age up to which a choice goes by what an owner replied: replies are waited for for a little less.
///
/// Those of an earlier choice would send the entries of a large fleet to the same few upstreams.
pub(crate) const FRESH_REPLY_AGE: Duration = Duration::from_millis(30);

/// Age up to which a reply tells what to ask next, and how full the service is: loads change by a
/// run or two in that time.
pub(crate) const MAX_REPLY_AGE: Duration = Duration::from_secs(3);

/// Time from an upstream's notice to its end, at which nothing runs there any more.
const MAX_DEPARTURE_TIME: Duration = Duration::from_secs(2);

/// Time for which a shared part of a prompt is taken to stay in memory.
pub(crate) const SHARED_PROMPT_LIFETIME: Duration = Duration::from_secs(6);

/// What a wholly failing upstream costs, against one whose memory is full.
const FAILING_COST: f64 = 4.0;

/// What another data centre costs, against a full memory.
const REMOTE_COST: f64 = 0.02;

/// What a copy from another data centre costs, against a full memory: it takes twice as long on
/// the links of both upstreams.
pub(crate) const REMOTE_BACKUP_COST: f64 = 0.8;

/// What a copy costs at an upstream that names a rate, against a full memory: more than a crowded one,
/// since a run can't go on from there while the share of its entry is spent.
pub(crate) const RATE_LIMITED_BACKUP_COST: f64 = 16.0;

/// Costs that differ by less are taken for equal, against a full memory.
///
/// Entries that decide within the quarter of a second between two tellings see the same upstream
/// as the best and would all go there.
const TIE_COST: f64 = 0.12;

/// The same for copies: when upstreams leave together, all entries look for room for all their
/// runs within a few milliseconds.
const BACKUP_TIE_COST: f64 = 0.4;

/// What a cold upstream costs, against a full memory.
const COLD_COST: f64 = 0.25;

/// What a full batch costs, against a full memory.
const BATCH_COST: f64 = 0.5;

/// Share of the memory from which on runs are likely to be preempted.
const OVERLOAD_SHARE: f64 = 0.85;

/// What each share of the memory beyond [`CROWDED`] costs on top.
const OVERLOAD_COST: f64 = 4.0;

/// Tokens of prompts still to be read that cost as much as a full memory: an engine that reads
/// between the steps of its batch takes about two seconds for them, the longest objective of a
/// first event.
const FULL_PREFILL_TOKENS: u64 = 14_000;

/// Share of [`UNREAD_TOKENS`] from which on a prompt is likely to be read too late: between the
/// steps of a batch an engine reads some seven tokens a millisecond.
const LATE_PREFILL_SHARE: f64 = 0.5;

/// What each share beyond [`LATE_READING`] costs on top.
///
/// Without it all prompts go to engines that have just started, since these are empty.
const LATE_PREFILL_COST: f64 = 4.0;

/// What an engine that takes twice the mean time for a token costs a long generation, against a
/// full memory.
const PACE_COST: f64 = 1.0;

/// What a shared part that lies there saves, against a full memory.
const SHARED_PROMPT_DISCOUNT: f64 = 0.03;

/// What a choice compares an upstream with.
pub(crate) struct CostContext<'a> {
    /// Data centre of the entry that chooses.
    pub(crate) data_centre: &'a Name,
    /// Mean pace of the service.
    pub(crate) pace: Pace,
    /// Mechanisms that are on.
    pub(crate) policy: Policy,
}

impl Upstream {
    pub(crate) fn is_serving(&self) -> bool {
        self.is_listed_as_serving() && !self.has_sent_leave_notice()
    }

    /// Whether the list has it, and as one that takes new work.
    pub(crate) fn is_listed_as_serving(&self) -> bool {
        !self.removed && !self.ended && self.record.state == UpstreamState::Serving
    }

    /// Whether it has left, so that what ran there has ended or moved.
    pub(crate) fn has_departed(&self, now: Time) -> bool {
        if self.ended {
            return true;
        }
        let left = self.left_at.filter(|_| !self.is_serving());
        left.is_some_and(|t| now.since(t) > MAX_DEPARTURE_TIME)
    }

    /// What this entry has placed here, to tell the others.
    pub(crate) fn placed_at(&self) -> PlacedAt {
        PlacedAt {
            instance: self.record.instance.clone(),
            incarnation: self.record.incarnation,
            placed: self.own_work,
            pace: self.pace.own,
        }
    }

    /// Cost of one more request here, against a full memory.
    pub(crate) fn cost(&self, now: Time, need: &Need, context: &CostContext<'_>) -> f64 {
        let load = self.load(now);
        let memory = self
            .memory_tokens
            .map_or(0.0, |m| share(load.memory() + need.tokens, m));
        let full = (memory - OVERLOAD_SHARE).max(0.0) * OVERLOAD_COST;
        let unread = load.unread + need.unread;
        let late = (share(unread, FULL_PREFILL_TOKENS) - LATE_PREFILL_SHARE).max(0.0);
        let reading = if context.policy.uses(Mechanism::Reading) {
            share(load.unread, FULL_PREFILL_TOKENS) + late * LATE_PREFILL_COST
        } else {
            0.0
        };
        let batch = share(u64::from(load.running), u64::from(self.record.slots));
        let remote = if self.record.data_centre == *context.data_centre {
            0.0
        } else {
            REMOTE_COST
        };
        let cold = if self.cold_until > now {
            COLD_COST
        } else {
            0.0
        };
        let part = need
            .shared
            .filter(|_| context.policy.uses(Mechanism::Shared));
        let read_at = part.and_then(|part| self.shared_prompts.get(&part));
        let shared = match read_at {
            Some(at) if now.since(*at) < SHARED_PROMPT_LIFETIME => SHARED_PROMPT_DISCOUNT,
            _ => 0.0,
        };
        let is_long = need.tokens > need.prompt + SHORT_TOKENS && !need.is_copy;
        let slow = if is_long && context.policy.uses(Mechanism::Pace) {
            PACE_COST * (self.pace.relative(context.pace) - 1.0).clamp(-0.5, 1.0)
        } else {
            0.0
        };
        let failing = if context.policy.uses(Mechanism::Failing) {
            FAILING_COST * self.failing
        } else {
            0.0
        };
        memory + full + slow + reading + BATCH_COST * batch + failing + remote + cold - shared
    }
}

/// The `most` of some upstreams that were told to other entries longest ago.
pub(crate) fn least_recently_announced<'a>(
    upstreams: impl Iterator<Item = &'a mut Upstream>,
    announced_at: impl Fn(&Upstream) -> Option<Time>,
    max_count: usize,
) -> Vec<&'a mut Upstream> {
    let mut upstreams: Vec<&mut Upstream> = upstreams.collect();
    upstreams.sort_by_key(|u| announced_at(u));
    upstreams.truncate(max_count);
    upstreams
}

/// Costs that are taken for equal in this choice.
pub(crate) const fn tie_cost(need: &Need) -> f64 {
    match need.copied_from {
        _ if need.tokens == 0 => 0.0,
        Some(_) => BACKUP_TIE_COST,
        None => TIE_COST,
    }
}

/// The `k`-th index below `len` that a draw gives.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
pub(crate) const fn draw_index(draw: u64, k: usize, len: usize) -> usize {
    let at = (draw_fraction(!draw, k) * len as f64) as usize;
    if at < len { at } else { len - 1 }
}

/// A number from 0 to 1 for the upstream at `i`, by a finaliser of the `SplitMix64` generator.
#[allow(clippy::cast_precision_loss)]
pub(crate) const fn draw_fraction(draw: u64, i: usize) -> f64 {
    let mut z = draw.wrapping_add((i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (z ^ (z >> 31)) as f64 / u64::MAX as f64
}

#[allow(clippy::cast_precision_loss)]
pub(crate) fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}
