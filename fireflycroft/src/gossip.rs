//! Recent changes and how often each was sent.
//!
//! Changes are added to messages that are sent anyway, least sent first. Each is
//! sent about three times the binary logarithm of the fleet's size, or once the
//! logarithm when many are pending. Bytes per second are limited. Changes dropped
//! from the queue are left to the comparison of whole tables.

use crate::ids::Name;
use crate::member_record::{MemberRecord, MemberState};
use crate::rate_limiter::RateLimiter;
use crate::roster::{MemberIx, Roster};
use crate::time::Time;

/// Estimated bytes of records in one message.
pub(crate) const MAX_RECORD_BYTES: usize = 1_200;

/// Most pending changes; the most often sent are dropped first.
const MAX_PENDING: usize = 256;

/// Number of pending changes from which each is sent less often.
const BUSY_PENDING: usize = 32;

/// Times that a change is sent per doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 3;
const SENDS_PER_DOUBLING_BUSY: u32 = 1;

/// Bytes of changes sent per second on average, and at once after an idle time.
const BYTES_PER_SECOND: u64 = 2 * 1_024;
const BURST_BYTES: u64 = 4 * 1_024;

/// Bytes of a record without its address and names.
const RECORD_BASE_BYTES: usize = 36;
const V4_BYTES: usize = 6;
const V6_BYTES: usize = 18;

/// Overhead bytes of each name in `serves`.
const NAME_OVERHEAD_BYTES: usize = 3;

#[derive(Clone, Copy, Debug)]
struct Pending {
    ix: MemberIx,
    sends: u32,
}

/// Pending changes.
#[derive(Clone, Debug)]
pub(crate) struct Gossip {
    pending: Vec<Pending>,
    bytes: RateLimiter,
}

impl Default for Gossip {
    fn default() -> Self {
        Self {
            pending: Vec::new(),
            bytes: RateLimiter::new(BYTES_PER_SECOND, BURST_BYTES),
        }
    }
}

/// Records of one message, limited in size.
#[derive(Clone, Debug, Default)]
pub(crate) struct Payload {
    records: Vec<MemberRecord>,
    bytes: usize,
}

impl Payload {
    /// Adds a record unless its member is present or it does not fit.
    pub(crate) fn add(&mut self, record: &MemberRecord) -> bool {
        let bytes = record_bytes(record);
        let fits = self.records.is_empty() || self.bytes + bytes <= MAX_RECORD_BYTES;
        if !fits || self.contains(&record.peer.name) {
            return false;
        }
        self.bytes += bytes;
        self.records.push(record.clone());
        true
    }

    /// Returns the estimated bytes of the records.
    pub(crate) const fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn into_records(self) -> Vec<MemberRecord> {
        self.records
    }

    fn contains(&self, name: &Name) -> bool {
        self.records.iter().any(|held| held.peer.name == *name)
    }
}

impl Gossip {
    /// Returns whether no change is pending.
    pub(crate) const fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Adds a change and restarts its count of sends.
    pub(crate) fn push(&mut self, ix: MemberIx) {
        self.forget(ix);
        if self.pending.len() >= MAX_PENDING {
            self.drop_most_sent();
        }
        self.pending.push(Pending { ix, sends: 0 });
    }

    /// Drops the pending change of a member.
    pub(crate) fn forget(&mut self, ix: MemberIx) {
        self.pending.retain(|p| p.ix != ix);
    }

    /// Fills `payload` with changes, leaving members first, then least sent first.
    pub(crate) fn fill(&mut self, now: Time, roster: &Roster, payload: &mut Payload) {
        if !self.bytes.has_budget(now) {
            return;
        }
        let before = payload.bytes();
        self.pending.sort_by_key(|p| {
            let leaving = roster.get(p.ix).record.state == MemberState::Leaving;
            (!leaving, p.sends)
        });
        for pending in &mut self.pending {
            if payload.add(&roster.get(pending.ix).record) {
                pending.sends += 1;
            }
        }
        self.bytes.consume((payload.bytes() - before) as u64);
        let limit = self.send_limit(roster);
        self.pending.retain(|p| p.sends < limit);
    }

    /// Returns how often each change is sent.
    fn send_limit(&self, roster: &Roster) -> u32 {
        let factor = if self.pending.len() < BUSY_PENDING {
            SENDS_PER_DOUBLING
        } else {
            SENDS_PER_DOUBLING_BUSY
        };
        factor * (roster.len() + 1).ilog2().max(1)
    }

    fn drop_most_sent(&mut self) {
        let most = (0..self.pending.len()).max_by_key(|at| self.pending[*at].sends);
        if let Some(at) = most {
            self.pending.swap_remove(at);
        }
    }
}

/// Returns an upper estimate of a record's bytes in a message.
pub(crate) fn record_bytes(record: &MemberRecord) -> usize {
    let names = record.peer.name.len() + record.data_centre.len();
    let addr = if record.peer.addr.is_ipv4() {
        V4_BYTES
    } else {
        V6_BYTES
    };
    let serves = record
        .serves
        .iter()
        .map(|name| name.len() + NAME_OVERHEAD_BYTES);
    RECORD_BASE_BYTES + addr + names + serves.sum::<usize>()
}
