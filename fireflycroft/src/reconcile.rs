//! Whole tables compared, part by part, where gossip has left a difference.
//!
//! Each ping and pong carries the digest of the sender's table. When it differs
//! from one's own, digests of the parts are sent; the other side answers with
//! the hashes of its records in the parts that differ and is sent what it lacks,
//! and the same the other way round. The bytes of a second are bounded; what
//! finds no room is left to the next comparison.

use crate::allowance::Allowance;
use crate::gossip::Payload;
use crate::ids::Peer;
use crate::member::Members;
use crate::member_record::{MemberAction, MemberRecord};
use crate::merge::Source;
use crate::message::Message;
use crate::roster::{OWN, PARTS, is_of_name};
use crate::time::Time;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Least time between two comparisons that this process begins.
const COMPARE_EVERY: Duration = Duration::from_secs(2);

/// Time after which a comparison is begun though changes wait to be told.
const OVERDUE: Duration = Duration::from_secs(5);

/// How long views must have differed; changes of late need that time to spread.
const SETTLE: Duration = Duration::from_secs(4);

/// Bytes sent a second on average, and at once after a quiet time.
const BYTES_PER_SECOND: u64 = 2 * 1_024;
const BURST_BYTES: u64 = 64 * 1_024;

/// Bytes of one hash, and round the hashes of one message.
const HASH_BYTES: usize = 8;
const HEAD_BYTES: usize = 64;

/// Hashes in one message, but for those of its last part.
const MAX_HASHES: usize = 128;

/// Processes that are compared with at the same time.
const MAX_RUNS: usize = 8;

/// Parts whose hashes one process is still to be sent.
#[derive(Clone, Copy, Debug)]
struct HashRun {
    to: SocketAddr,
    /// One bit for each part.
    parts: u64,
}

/// Comparisons under way.
#[derive(Clone, Debug)]
pub(crate) struct Reconciler {
    begun: Option<Time>,
    /// Since when the views of others have differed.
    differs: Option<Time>,
    runs: VecDeque<HashRun>,
    bytes: Allowance,
}

impl Default for Reconciler {
    fn default() -> Self {
        Self {
            begun: None,
            differs: None,
            runs: VecDeque::new(),
            bytes: Allowance::new(BYTES_PER_SECOND, BURST_BYTES),
        }
    }
}

impl Reconciler {
    /// Whether to compare with a process whose view differs.
    fn may_begin(&mut self, now: Time, quiet: bool) -> bool {
        let differs = *self.differs.get_or_insert(now);
        let Some(begun) = self.begun else {
            return true;
        };
        let waited = now.since(begun);
        let due = waited >= OVERDUE || (quiet && waited >= COMPARE_EVERY);
        due && now.since(differs) >= SETTLE && self.bytes.is_open(now)
    }

    fn add_run(&mut self, run: HashRun) {
        if let Some(held) = self.runs.iter_mut().find(|held| held.to == run.to) {
            held.parts |= run.parts;
        } else if self.runs.len() < MAX_RUNS {
            self.runs.push_back(run);
        }
    }
}

impl Members {
    /// Begins a comparison when the sender holds other records.
    pub(crate) fn compare_views(
        &mut self,
        now: Time,
        from: &Peer,
        view: u64,
        out: &mut Vec<MemberAction>,
    ) {
        if view == self.view() {
            self.reconciler.differs = None;
            return;
        }
        if !self.reconciler.may_begin(now, self.gossip.is_empty()) {
            return;
        }
        self.reconciler.begun = Some(now);
        self.spend_bytes(HEAD_BYTES + HASH_BYTES * PARTS);
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
        self.on_heard(now, from, out);
        if parts.len() != PARTS {
            return;
        }
        let pairs = parts.iter().zip(self.roster.parts()).enumerate();
        let differing = pairs.filter(|(_, (theirs, ours))| theirs != ours);
        let parts = differing.fold(0, |bits, (part, _)| bits | (1 << part));
        if parts != 0 {
            let run = HashRun {
                to: from.addr,
                parts,
            };
            self.reconciler.add_run(run);
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
        self.on_heard(now, from, out);
        hashes.sort_unstable();
        if !reply && self.reconciler.bytes.is_open(now) {
            let ours = self.hashes_of(parts);
            self.send_hashes(from.addr, parts, ours, true, out);
        }
        self.send_lacking(now, from.addr, parts, &hashes, out);
    }

    pub(crate) fn on_view_page(
        &mut self,
        now: Time,
        from: &Peer,
        records: Vec<MemberRecord>,
        out: &mut Vec<MemberAction>,
    ) {
        let behind = self.learn_all(now, from, records, Source::Page, out);
        self.on_heard(now, from, out);
        if behind.contains(&OWN) {
            self.greet(now, from.addr, out);
        }
    }

    /// Sends hashes of parts that differ as far as the bytes allow.
    pub(crate) fn tick_reconciler(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        while self.reconciler.bytes.is_open(now) {
            let Some(run) = self.reconciler.runs.pop_front() else {
                return;
            };
            self.step_run(run, out);
        }
    }

    fn step_run(&mut self, mut run: HashRun, out: &mut Vec<MemberAction>) {
        let mut sent = 0;
        let mut hashes = Vec::new();
        while run.parts != 0 && hashes.len() < MAX_HASHES {
            let part = 1 << run.parts.trailing_zeros();
            hashes.extend(self.hashes_of(part));
            run.parts &= !part;
            sent |= part;
        }
        self.send_hashes(run.to, sent, hashes, false, out);
        if run.parts != 0 {
            self.reconciler.runs.push_back(run);
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
        self.spend_bytes(HEAD_BYTES + HASH_BYTES * hashes.len());
        let message = Message::ViewHashes {
            parts,
            hashes,
            reply,
        };
        out.push(MemberAction::Send(to, message));
    }

    /// Sends records of `parts` that are not among `theirs`, which are sorted;
    /// of the dead only those that the other side holds as not dead.
    fn send_lacking(
        &mut self,
        now: Time,
        to: SocketAddr,
        parts: u64,
        theirs: &[u64],
        out: &mut Vec<MemberAction>,
    ) {
        let lacking: Vec<MemberRecord> = self
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
        let mut rest = lacking.as_slice();
        while !rest.is_empty() && self.reconciler.bytes.is_open(now) {
            let mut payload = Payload::default();
            let taken = rest.iter().take_while(|r| payload.add(r)).count();
            rest = &rest[taken.max(1)..];
            self.spend_bytes(HEAD_BYTES + payload.bytes());
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

    fn spend_bytes(&mut self, bytes: usize) {
        self.reconciler.bytes.spend(bytes as u64);
    }
}
