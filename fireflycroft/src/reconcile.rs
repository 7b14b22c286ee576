//! Comparison of whole tables, part by part, where gossip has left a difference.
//!
//! Pings and pongs carry the digest of the sender's table. When it differs from the
//! receiver's, the receiver sends the digests of its parts. The other side answers
//! with the hashes of its records in the parts that differ, and each side sends the
//! records that the other lacks. Bytes per second are limited; what exceeds them is
//! left to the next comparison.

use crate::gossip::Payload;
use crate::ids::Peer;
use crate::member::Members;
use crate::member_record::{MemberAction, MemberRecord};
use crate::merge::RecordSource;
use crate::message::Message;
use crate::rate_limiter::RateLimiter;
use crate::roster::{OWN, PARTS, is_of_name};
use crate::time::Time;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Shortest time between two comparisons that this process begins.
const MIN_COMPARE_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which a comparison begins even while changes are pending.
const MAX_COMPARE_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which digests must differ, as recent changes need time to spread.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Bytes sent per second on average, and at once after an idle time.
const BYTES_PER_SECOND: u64 = 2 * 1_024;
const BURST_BYTES: u64 = 64 * 1_024;

/// Bytes of one hash, and overhead of one message of hashes.
const HASH_BYTES: usize = 8;
const HEADER_BYTES: usize = 64;

/// Hashes in one message, after which no further part is added.
const MAX_HASHES: usize = 128;

/// Processes that hashes are sent to at the same time.
const MAX_TRANSFERS: usize = 8;

/// Parts whose hashes are still to be sent to one process.
#[derive(Clone, Copy, Debug)]
struct HashTransfer {
    to: SocketAddr,
    /// One bit per part.
    parts: u64,
}

/// State of the comparisons with other processes.
#[derive(Clone, Debug)]
pub(crate) struct Reconciler {
    last_begun: Option<Time>,
    /// Time since which the digests of others have differed.
    differs_since: Option<Time>,
    transfers: VecDeque<HashTransfer>,
    bytes: RateLimiter,
}

impl Default for Reconciler {
    fn default() -> Self {
        Self {
            last_begun: None,
            differs_since: None,
            transfers: VecDeque::new(),
            bytes: RateLimiter::new(BYTES_PER_SECOND, BURST_BYTES),
        }
    }
}

impl Reconciler {
    /// Returns whether to begin a comparison with a process whose digest differs.
    fn may_begin(&mut self, now: Time, nothing_pending: bool) -> bool {
        let differs_since = *self.differs_since.get_or_insert(now);
        let Some(last_begun) = self.last_begun else {
            return true;
        };
        let waited = now.since(last_begun);
        let due =
            waited >= MAX_COMPARE_INTERVAL || (nothing_pending && waited >= MIN_COMPARE_INTERVAL);
        due && now.since(differs_since) >= SETTLE_TIME && self.bytes.has_budget(now)
    }

    fn add_transfer(&mut self, transfer: HashTransfer) {
        if let Some(held) = self
            .transfers
            .iter_mut()
            .find(|held| held.to == transfer.to)
        {
            held.parts |= transfer.parts;
        } else if self.transfers.len() < MAX_TRANSFERS {
            self.transfers.push_back(transfer);
        }
    }
}

impl Members {
    /// Begins a comparison if the sender holds other records.
    pub(crate) fn compare_views(
        &mut self,
        now: Time,
        from: &Peer,
        view: u64,
        out: &mut Vec<MemberAction>,
    ) {
        if view == self.view() {
            self.reconciler.differs_since = None;
            return;
        }
        if !self.reconciler.may_begin(now, self.gossip.is_empty()) {
            return;
        }
        self.reconciler.last_begun = Some(now);
        self.consume_bytes(HEADER_BYTES + HASH_BYTES * PARTS);
        let parts = self.roster.parts().to_vec();
        out.push(MemberAction::Send(from.addr, Message::ViewParts { parts }));
    }

    pub(crate) fn on_view_parts(
        &mut self,
        now: Time,
        from: &Peer,
        parts: &[u64],
        out: &mut Vec<MemberAction>,
    ) {
        self.on_received(now, from, out);
        if parts.len() != PARTS {
            return;
        }
        let pairs = parts.iter().zip(self.roster.parts()).enumerate();
        let differing = pairs.filter(|(_, (theirs, ours))| theirs != ours);
        let parts = differing.fold(0, |bits, (part, _)| bits | (1 << part));
        if parts != 0 {
            let transfer = HashTransfer {
                to: from.addr,
                parts,
            };
            self.reconciler.add_transfer(transfer);
            self.tick_reconciler(now, out);
        }
    }

    pub(crate) fn on_view_hashes(
        &mut self,
        now: Time,
        from: &Peer,
        parts: u64,
        mut hashes: Vec<u64>,
        reply: bool,
        out: &mut Vec<MemberAction>,
    ) {
        self.on_received(now, from, out);
        hashes.sort_unstable();
        if !reply && self.reconciler.bytes.has_budget(now) {
            let ours = self.hashes_of(parts);
            self.send_hashes(from.addr, parts, ours, true, out);
        }
        self.send_missing(now, from.addr, parts, &hashes, out);
    }

    pub(crate) fn on_view_page(
        &mut self,
        now: Time,
        from: &Peer,
        records: Vec<MemberRecord>,
        out: &mut Vec<MemberAction>,
    ) {
        let outdated = self.merge_records(now, from, records, RecordSource::Page, out);
        self.on_received(now, from, out);
        if outdated.contains(&OWN) {
            self.introduce_limited(now, from.addr, out);
        }
    }

    /// Sends hashes of differing parts, within the byte limit.
    pub(crate) fn tick_reconciler(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        while self.reconciler.bytes.has_budget(now) {
            let Some(transfer) = self.reconciler.transfers.pop_front() else {
                return;
            };
            self.step_transfer(transfer, out);
        }
    }

    fn step_transfer(&mut self, mut transfer: HashTransfer, out: &mut Vec<MemberAction>) {
        let mut sent = 0;
        let mut hashes = Vec::new();
        while transfer.parts != 0 && hashes.len() < MAX_HASHES {
            let part = 1 << transfer.parts.trailing_zeros();
            hashes.extend(self.hashes_of(part));
            transfer.parts &= !part;
            sent |= part;
        }
        self.send_hashes(transfer.to, sent, hashes, false, out);
        if transfer.parts != 0 {
            self.reconciler.transfers.push_back(transfer);
        }
    }

    fn send_hashes(
        &mut self,
        to: SocketAddr,
        parts: u64,
        hashes: Vec<u64>,
        reply: bool,
        out: &mut Vec<MemberAction>,
    ) {
        self.consume_bytes(HEADER_BYTES + HASH_BYTES * hashes.len());
        let message = Message::ViewHashes {
            parts,
            hashes,
            reply,
        };
        out.push(MemberAction::Send(to, message));
    }

    /// Sends the records of `parts` whose hashes are not in `theirs`, which is sorted.
    /// Dead records are sent only if the other side holds the member as not dead.
    fn send_missing(
        &mut self,
        now: Time,
        to: SocketAddr,
        parts: u64,
        theirs: &[u64],
        out: &mut Vec<MemberAction>,
    ) {
        let missing: Vec<MemberRecord> = self
            .roster
            .slots()
            .filter(|slot| parts & (1 << slot.part()) != 0)
            .filter(|slot| {
                if slot.is_present() {
                    return theirs.binary_search(&slot.hash()).is_err();
                }
                let after = theirs.partition_point(|hash| *hash < slot.hash());
                theirs
                    .get(after)
                    .is_some_and(|hash| is_of_name(*hash, slot))
            })
            .map(|slot| slot.record.clone())
            .collect();
        let mut rest = missing.as_slice();
        while !rest.is_empty() && self.reconciler.bytes.has_budget(now) {
            let mut payload = Payload::default();
            let taken = rest.iter().take_while(|r| payload.add(r)).count();
            rest = &rest[taken.max(1)..];
            self.consume_bytes(HEADER_BYTES + payload.bytes());
            let records = payload.into_records();
            out.push(MemberAction::Send(to, Message::ViewPage { records }));
        }
    }

    fn hashes_of(&self, parts: u64) -> Vec<u64> {
        let slots = self.roster.slots().filter(|slot| slot.is_present());
        slots
            .filter(|slot| parts & (1 << slot.part()) != 0)
            .map(crate::roster::Slot::hash)
            .collect()
    }

    fn consume_bytes(&mut self, bytes: usize) {
        self.reconciler.bytes.consume(bytes as u64);
    }
}
