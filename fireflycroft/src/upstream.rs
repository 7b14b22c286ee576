//! State of one upstream at a direct entry, and the cost of one more request there.

use crate::admission_limit::LONG_LIMIT;
use crate::ids::{Incarnation, Name};
use crate::interference::{Interference, ReadingShare};
use crate::leave_notice::LeaveNotice;
use crate::loads::OwnerReply;
use crate::mechanism::{Mechanism, Policy};
use crate::missing::Missing;
use crate::pace::{ObservedPace, Pace};
use crate::placed::{Need, Placed, PlacedAt};
use crate::rate_limit::KnownRate;
use crate::sent_requests::SentRequests;
use crate::software_version::VersionKey;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// Takes new work.
    Serving,
    /// Has announced that it leaves.
    Leaving,
    /// Its record was overwritten with an unreadable one. It gets no new work until it writes its
    /// record again; its runs continue.
    Unreadable,
}

/// One incarnation of an upstream, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UpstreamIncarnation {
    /// Id of the upstream, which may stay the same after a restart.
    pub instance: Name,
    /// Start of that id.
    pub incarnation: Incarnation,
}

/// Record of an upstream in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Id of the upstream, which may stay the same after a restart.
    pub instance: Name,
    /// Unix time of its start in milliseconds; zero if not stated.
    pub incarnation: Incarnation,
    /// Service that it provides.
    pub service: Name,
    /// Address that it listens on; another upstream may get it later.
    pub addr: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: Name,
    /// Version of its software, not of its weights; `None` if not stated.
    pub software_version: Option<Name>,
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Remaining time for which it is cold after its start.
    pub cold_for: Duration,
    /// Revision of the list at which the record was written.
    pub revision: u64,
}

impl UpstreamRecord {
    /// Returns the incarnation that wrote the record.
    #[must_use]
    pub fn upstream_incarnation(&self) -> UpstreamIncarnation {
        UpstreamIncarnation {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// Index of one incarnation of an upstream in the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamIx(pub(crate) usize);

/// State of one incarnation of an upstream in the pool.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) record: UpstreamRecord,
    /// Version of its software, if it is known.
    pub(crate) version: Option<VersionKey>,
    pub(crate) memory_tokens: Option<u64>,
    /// Revision of its first record.
    pub(crate) first_revision: u64,
    /// Whether the list no longer has this incarnation.
    pub(crate) removed: bool,
    /// Whether a later incarnation has taken its id: its runs and its memory are lost.
    pub(crate) ended: bool,
    /// Whether it was serving when that became known.
    pub(crate) crashed: bool,
    /// Record under its id that names a service unknown as yet.
    pub(crate) awaits_service: Option<UpstreamRecord>,
    /// Time since which newer records state an earlier start, and none this one.
    pub(crate) contradicted_since: Option<Time>,
    /// Time at which it was first known to leave.
    pub(crate) left_at: Option<Time>,
    pub(crate) leave_notice: LeaveNotice,
    pub(crate) missing: Option<Missing>,
    /// Work of this entry.
    pub(crate) own_work: Placed,
    /// Work that other entries have announced to this one as an owner, with the time.
    pub(crate) announced_work: HashMap<Name, (Time, Placed)>,
    /// Entries that couldn't reach it, with the time.
    pub(crate) unreachable: HashMap<Name, Time>,
    /// Last reply of its owners to this entry.
    pub(crate) replied: Option<OwnerReply>,
    pub(crate) avoid_until: Time,
    pub(crate) paused_until: Time,
    /// Moving average of failures, from 0 to 1.
    pub(crate) failing: f64,
    pub(crate) cold_until: Time,
    /// Recent requests of this entry, recorded if its rate is limited or limited while it is cold.
    pub(crate) sent_requests: SentRequests,
    pub(crate) rate: KnownRate,
    /// Shared parts of prompts sent there, by hash, with the time.
    pub(crate) shared_prompts: HashMap<u64, Time>,
    pub(crate) pace: ObservedPace,
    pub(crate) reading: ReadingShare,
}

/// Lifetime of another entry's announcement.
///
/// Entries announce twice a second; after three lost announcements in a row an entry counts as gone.
pub(crate) const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(1_600);

/// Age up to which an owner's reply is fresh; the wait for replies is a little shorter.
///
/// With replies to an earlier choice, the entries of a large fleet would choose the same few upstreams.
pub(crate) const FRESH_REPLY_AGE: Duration = Duration::from_millis(30);

/// Maximum age of a reply used to select the next queries and to compute the service's memory share:
/// loads change by one or two runs in that time.
pub(crate) const MAX_REPLY_AGE: Duration = Duration::from_secs(3);

/// Time after an upstream's leave notice within which it ends, and with it all of its runs.
const MAX_DEPARTURE_TIME: Duration = Duration::from_secs(2);

/// Time for which a shared part of a prompt is assumed to stay in an engine's memory.
pub(crate) const SHARED_PROMPT_LIFETIME: Duration = Duration::from_secs(6);

/// Cost of an upstream that fails every request, relative to a full memory.
const FAILING_COST: f64 = 4.0;

/// Cost of another data centre, relative to a full memory.
const REMOTE_COST: f64 = 0.02;

/// Cost of a memory backup from another data centre, relative to a full memory: it takes twice as
/// long on the links of both upstreams.
pub(crate) const REMOTE_BACKUP_COST: f64 = 0.8;

/// Cost of a memory backup at a rate-limited upstream, relative to a full memory: more than at an
/// overloaded one, since a run can't resume there while its entry's share is exhausted.
pub(crate) const RATE_LIMITED_BACKUP_COST: f64 = 16.0;

/// Difference below which costs count as equal, relative to a full memory.
///
/// Entries that decide within the 250 ms between two announcements see the same best upstream, and
/// would all choose it.
const TIE_COST: f64 = 0.12;

/// The same for memory backups: when upstreams leave together, all entries look for capacity for all
/// of their runs within a few milliseconds.
const BACKUP_TIE_COST: f64 = 0.4;

/// Cost of a cold upstream, relative to a full memory.
const COLD_COST: f64 = 0.25;

/// Cost of a full batch, relative to a full memory.
const BATCH_COST: f64 = 0.5;

/// Share of the memory beyond which preemption is likely.
const OVERLOAD_SHARE: f64 = 0.85;

/// Additional cost per share of the memory beyond [`OVERLOAD_SHARE`].
const OVERLOAD_COST: f64 = 4.0;

/// Unread prompt tokens that cost as much as a full memory: an engine that reads between the steps of
/// its batch takes about two seconds for them, the longest objective for a first event.
const FULL_PREFILL_TOKENS: u64 = 14_000;

/// Share of [`FULL_PREFILL_TOKENS`] beyond which a prompt is likely to be read too late: between the
/// steps of a batch an engine reads about seven tokens per millisecond.
const LATE_PREFILL_SHARE: f64 = 0.5;

/// Additional cost per share beyond [`LATE_PREFILL_SHARE`].
///
/// Without it all prompts go to engines that have just started, since these are empty.
const LATE_PREFILL_COST: f64 = 4.0;

/// Cost for a long generation of an engine with twice the mean token time, relative to a full memory.
const PACE_COST: f64 = 1.0;

/// Cost for a short generation of an engine that takes no time for a token, relative to a full memory: the time
/// of a fast engine is worth more to a long one.
const SHORT_PACE_COST: f64 = 1.0;

/// Cost of an engine of uneven ones without capacity for a long generation, relative to a full memory: a caller
/// is refused, or a run finds no room, although slower engines have capacity.
const REFUSING_COST: f64 = 3.0;

/// Discount for an engine that holds a shared part of the prompt, relative to a full memory.
const SHARED_PROMPT_DISCOUNT: f64 = 0.03;

/// Data besides the upstream that its cost depends on.
pub(crate) struct CostContext<'a> {
    /// Data centre of this entry.
    pub(crate) data_centre: &'a Name,
    /// Mean pace of the service.
    pub(crate) pace: Pace,
    /// Enabled mechanisms.
    pub(crate) policy: Policy,
    /// Engines of the service, if they are uneven.
    pub(crate) interference: Option<Interference<'a>>,
}

impl Upstream {
    /// Returns whether it takes new work: it is listed so and has sent no leave notice.
    pub(crate) fn is_serving(&self) -> bool {
        self.is_listed_as_serving() && !self.has_sent_leave_notice()
    }

    /// Returns whether it is listed as taking new work.
    pub(crate) fn is_listed_as_serving(&self) -> bool {
        !self.removed && !self.ended && self.record.state == UpstreamState::Serving
    }

    /// Returns whether it has departed: its runs have ended or were migrated.
    pub(crate) fn has_departed(&self, now: Time) -> bool {
        if self.ended {
            return true;
        }
        let left = self.left_at.filter(|_| !self.is_serving());
        left.is_some_and(|t| now.since(t) > MAX_DEPARTURE_TIME)
    }

    /// Returns the work of this entry here, to announce to others.
    pub(crate) fn placed_at(&self) -> PlacedAt {
        PlacedAt {
            instance: self.record.instance.clone(),
            incarnation: self.record.incarnation,
            placed: self.own_work,
            pace: self.pace.own,
        }
    }

    /// Returns the cost of one more request here, relative to a full memory.
    pub(crate) fn cost(&self, now: Time, need: &Need, context: &CostContext<'_>) -> f64 {
        let load = self.load(now);
        let memory = self
            .memory_tokens
            .map_or(0.0, |m| share(load.memory() + need.tokens, m));
        let full = (memory - OVERLOAD_SHARE).max(0.0) * OVERLOAD_COST;
        let interference = context.interference.as_ref();
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
        let slow = if need.is_long() && context.policy.uses(Mechanism::Pace) {
            let relative = match interference {
                Some(engines) => engines.relative(self),
                None => self.pace.relative(context.pace),
            };
            PACE_COST * (relative - 1.0).clamp(-0.5, 1.0)
        } else if !need.is_copy && need.tokens > 0 {
            let relative = interference.map_or(1.0, |engines| engines.relative(self));
            SHORT_PACE_COST * (1.0 - relative).max(0.0)
        } else {
            0.0
        };
        let failing = if context.policy.uses(Mechanism::Failing) {
            FAILING_COST * self.failing
        } else {
            0.0
        };
        let held_up = interference.map_or(0.0, |i| i.cost(self, &load, need));
        let runs = self
            .memory_tokens
            .map_or(0.0, |m| share(load.tokens + need.tokens, m));
        let refused = if interference.is_some() && need.is_long() && runs > LONG_LIMIT {
            REFUSING_COST
        } else {
            0.0
        };
        memory
            + full
            + refused
            + slow
            + held_up
            + reading
            + BATCH_COST * batch
            + failing
            + remote
            + cold
            - shared
    }
}

/// Returns up to `max_count` upstreams, those announced to other entries least recently.
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

/// Returns the difference below which costs count as equal for this request.
pub(crate) const fn tie_cost(need: &Need) -> f64 {
    match need.copied_from {
        _ if need.tokens == 0 => 0.0,
        Some(_) => BACKUP_TIE_COST,
        None => TIE_COST,
    }
}

/// Returns the `k`-th random index below `len` from a random number.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
pub(crate) const fn draw_index(draw: u64, k: usize, len: usize) -> usize {
    let at = (draw_fraction(!draw, k) * len as f64) as usize;
    if at < len { at } else { len - 1 }
}

/// Returns a random number from 0 to 1 for the upstream at `i`, by the finaliser of `SplitMix64`.
#[allow(clippy::cast_precision_loss)]
pub(crate) const fn draw_fraction(draw: u64, i: usize) -> f64 {
    let mut z = draw.wrapping_add((i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (z ^ (z >> 31)) as f64 / u64::MAX as f64
}

/// Returns `part / whole`, or zero for an empty whole.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}
