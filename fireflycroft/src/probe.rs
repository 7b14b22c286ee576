//! Who answers: one member is pinged each second, and the doubtful more often.
//!
//! A routine probe asks once and after a second once more, directly and through
//! two other members. Who has not answered is suspect and is asked on until
//! [`SUSPECT_SPAN`] is over; then it is dead. Bad news from others leads to a
//! probe of one's own. The dead, the seeds and the VMs listed are tried now and
//! then, so that the halves of a divided fleet find each other again.

use crate::allowance::Allowance;
use crate::log_event::LogEvent;
use crate::member::{GRACE, Members, SUSPECT_SPAN};
use crate::member_record::{MemberAction, MemberState};
use crate::message::Message;
use crate::ping::doubts;
use crate::roster::{MemberIx, OWN};
use crate::time::Time;
use std::net::SocketAddr;
use std::time::Duration;

const ROUTINE_EVERY: Duration = Duration::from_secs(1);
const SLOW_EVERY: Duration = Duration::from_secs(10);

/// Parts of an interval that chance adds or takes away at most.
const JITTER_PARTS: u32 = 10;

/// Steps from the shortest interval to the longest.
const JITTER_STEPS: u32 = 128;

/// Time that an answer to a routine ping may take.
const ANSWER_WAIT: Duration = Duration::from_secs(1);
const ROUTINE_TRIES: u32 = 2;

/// Pings to a doubtful member within [`SUSPECT_SPAN`].
const DOUBT_TRIES: u32 = 4;

/// Members asked to ping another.
const ROUTINE_HELPERS: usize = 2;
const DOUBT_HELPERS: usize = 1;

/// Probes and pings that others' messages cause, a second and at once.
const EXTRA_PER_SECOND: u64 = 4;

/// Seeds asked at the start, and members asked after a pause.
const JOIN_PINGS: usize = 3;

/// Draws for a mailbox to try that is not held by a member.
const SLOW_DRAWS: usize = 8;

/// Why a member is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeKind {
    /// Its turn has come.
    Routine,
    /// It is suspect and dead unless it answers.
    Suspected,
    /// Others call it worse than it is held here; it is dead unless it answers.
    Accused,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    ix: MemberIx,
    kind: ProbeKind,
    nonce: u64,
    sent: u32,
    due: Time,
}

/// Probes under way and to come.
#[derive(Clone, Debug)]
pub(crate) struct Prober {
    /// All members but this process, in the order of this round.
    order: Vec<MemberIx>,
    next: usize,
    routine_at: Time,
    slow_at: Time,
    probes: Vec<Probe>,
    waiting: Vec<(MemberIx, ProbeKind)>,
    /// Pings that may be sent beyond the routine.
    pub(crate) extra: Allowance,
}

impl Default for Prober {
    fn default() -> Self {
        Self {
            order: Vec::new(),
            next: 0,
            routine_at: Time::default(),
            slow_at: Time::default(),
            probes: Vec::new(),
            waiting: Vec::new(),
            extra: Allowance::new(EXTRA_PER_SECOND, EXTRA_PER_SECOND),
        }
    }
}

impl Probe {
    /// Waits `span` from when it was due; nearly as long when that is past.
    fn wait(&mut self, now: Time, span: Duration) {
        self.due = (self.due + span).max(now + span / 2);
    }
}

impl Prober {
    /// Puts a new member into the round, at a place drawn from `draw`.
    pub(crate) fn enter(&mut self, ix: MemberIx, draw: impl FnOnce(usize) -> usize) {
        let at = draw(self.order.len() + 1);
        self.order.insert(at, ix);
    }

    /// Member that the probe of that nonce asks.
    pub(crate) fn probed_by(&self, nonce: u64) -> Option<MemberIx> {
        let probe = self.probes.iter().find(|p| p.nonce == nonce);
        probe.map(|p| p.ix)
    }

    /// Ends the probes of a member.
    pub(crate) fn cancel(&mut self, ix: MemberIx) {
        self.probes.retain(|p| p.ix != ix);
        self.waiting.retain(|(held, _)| *held != ix);
    }

    /// Drops all trace of a member.
    pub(crate) fn forget(&mut self, ix: MemberIx) {
        self.cancel(ix);
        self.order.retain(|held| *held != ix);
    }

    fn is_probed(&self, ix: MemberIx) -> bool {
        let waits = self.waiting.iter().any(|(held, _)| *held == ix);
        waits || self.probes.iter().any(|p| p.ix == ix)
    }
}

impl Members {
    /// First pings of this life.
    pub(crate) fn join(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        self.count_entries(out);
        self.prober.routine_at = now + self.jittered(ROUTINE_EVERY);
        self.prober.slow_at = now + self.jittered(SLOW_EVERY);
        let first = self.ids.draw_below(self.seeds.len());
        let mut seeds = self.seeds.clone();
        seeds.rotate_left(first);
        for addr in seeds.into_iter().take(JOIN_PINGS) {
            self.introduce(now, addr, out);
        }
    }

    /// After a pause others are heard before any of them is doubted.
    pub(crate) fn on_pause(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        out.push(MemberAction::LogEvent(LogEvent::new("member_paused")));
        self.grace_until = now + GRACE;
        self.prober.probes.clear();
        self.prober.waiting.clear();
        let suspects: Vec<MemberIx> = self.in_state(MemberState::Suspect).collect();
        for ix in suspects {
            self.roster.get_mut(ix).since = now;
            self.prober.waiting.push((ix, ProbeKind::Suspected));
        }
        for ix in self.some_members(None, JOIN_PINGS) {
            self.ping(ix, out);
        }
    }

    /// Sends what is due and starts what waits.
    pub(crate) fn tick_probes(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        self.start_waiting(now);
        self.tick_routine(now, out);
        self.tick_slow(now, out);
        let probes = std::mem::take(&mut self.prober.probes);
        for probe in probes {
            let next = if probe.due <= now {
                self.step(now, probe, out)
            } else {
                Some(probe)
            };
            self.prober.probes.extend(next);
        }
    }

    /// Has a member probed because of what others say.
    pub(crate) fn check(&mut self, now: Time, ix: MemberIx, kind: ProbeKind) {
        let prober = &mut self.prober;
        if let Some(probe) = prober.probes.iter_mut().find(|p| p.ix == ix) {
            if probe.kind == ProbeKind::Routine {
                (probe.kind, probe.sent, probe.due) = (kind, 0, now);
            }
            return;
        }
        if !prober.waiting.iter().any(|(held, _)| *held == ix) {
            prober.waiting.push((ix, kind));
        }
        self.start_waiting(now);
    }

    /// Ends the doubts in a member that answered, directly or through another.
    pub(crate) fn on_answer(&mut self, ix: MemberIx) {
        if self.roster.get(ix).record.state != MemberState::Suspect {
            self.prober.cancel(ix);
            return;
        }
        // It lives, but must still say so to the others with a later turn.
        for probe in self.prober.probes.iter_mut().filter(|p| p.ix == ix) {
            probe.sent = 0;
        }
    }

    fn start_waiting(&mut self, now: Time) {
        while !self.prober.waiting.is_empty() && self.prober.extra.take(now) {
            let at = self.ids.draw_below(self.prober.waiting.len());
            let (ix, kind) = self.prober.waiting.swap_remove(at);
            self.start(now, ix, kind);
        }
    }

    fn start(&mut self, now: Time, ix: MemberIx, kind: ProbeKind) {
        let nonce = self.draw_nonce();
        self.prober.probes.push(Probe {
            ix,
            kind,
            nonce,
            sent: 0,
            due: now,
        });
    }

    /// Next step of a probe that is due; `None` when it is over.
    fn step(&mut self, now: Time, mut probe: Probe, out: &mut Vec<MemberAction>) -> Option<Probe> {
        if !self.roster.get(probe.ix).is_present() {
            return None;
        }
        if probe.kind == ProbeKind::Routine && probe.sent >= ROUTINE_TRIES {
            if now < self.grace_until {
                return None;
            }
            self.suspect(now, probe.ix, out);
            (probe.kind, probe.sent) = (ProbeKind::Suspected, 0);
        }
        if probe.kind == ProbeKind::Routine {
            return Some(self.ask(now, probe, out));
        }
        if probe.sent >= DOUBT_TRIES && now < self.grace_until {
            probe.sent = 0;
        }
        if probe.sent >= DOUBT_TRIES {
            self.mark(now, probe.ix, MemberState::Dead, out);
            return None;
        }
        Some(self.ask_doubtful(now, probe, out))
    }

    fn suspect(&mut self, now: Time, ix: MemberIx, out: &mut Vec<MemberAction>) {
        if self.roster.get(ix).record.state == MemberState::Alive {
            self.mark(now, ix, MemberState::Suspect, out);
        }
    }

    fn ask(&mut self, now: Time, mut probe: Probe, out: &mut Vec<MemberAction>) -> Probe {
        if probe.sent == 0 {
            let accusation = self.accusation(probe.ix, probe.kind);
            let addr = accusation.peer.addr;
            let doubts = doubts(accusation);
            let records = self.payload(now, |_, payload| {
                for record in &doubts {
                    payload.add(record);
                }
            });
            self.send_ping(addr, probe.nonce, records, out);
        } else {
            self.send_probe(&probe, out);
            self.ask_helpers(&probe, ROUTINE_HELPERS, out);
        }
        probe.sent += 1;
        probe.wait(now, ANSWER_WAIT);
        probe
    }

    fn ask_doubtful(&mut self, now: Time, mut probe: Probe, out: &mut Vec<MemberAction>) -> Probe {
        self.send_probe(&probe, out);
        if probe.sent == DOUBT_TRIES / 2 {
            self.ask_helpers(&probe, DOUBT_HELPERS, out);
        }
        probe.sent += 1;
        probe.wait(now, SUSPECT_SPAN / DOUBT_TRIES);
        probe
    }

    /// Pings without changes of late: they would likely reach nobody.
    fn send_probe(&self, probe: &Probe, out: &mut Vec<MemberAction>) {
        let accusation = self.accusation(probe.ix, probe.kind);
        let addr = accusation.peer.addr;
        self.send_ping(addr, probe.nonce, doubts(accusation), out);
    }

    fn ask_helpers(&mut self, probe: &Probe, count: usize, out: &mut Vec<MemberAction>) {
        let target = self.accusation(probe.ix, probe.kind);
        for ix in self.some_members(Some(probe.ix), count) {
            let addr = self.roster.get(ix).record.peer.addr;
            let message = Message::PingVia {
                nonce: probe.nonce,
                target: target.clone(),
            };
            out.push(MemberAction::Send(addr, message));
        }
    }

    /// Members alive, drawn at random, first from data centres that are neither
    /// this process's nor that of `target`.
    pub(crate) fn some_members(&mut self, target: Option<MemberIx>, count: usize) -> Vec<MemberIx> {
        let shift = self.ids.draw_below(self.prober.order.len());
        let turned = self.prober.order.iter().cycle().skip(shift);
        let alive = turned.take(self.prober.order.len()).copied().filter(|ix| {
            let state = self.roster.get(*ix).record.state;
            Some(*ix) != target && state == MemberState::Alive
        });
        let place = |ix: MemberIx| &self.roster.get(ix).record.data_centre;
        let near = |ix: MemberIx| {
            let same = |other: MemberIx| place(other) == place(ix);
            same(OWN) || target.is_some_and(same)
        };
        let (near, mut chosen): (Vec<_>, Vec<_>) = alive.partition(|ix| near(*ix));
        chosen.extend(near);
        chosen.truncate(count);
        chosen
    }

    fn tick_routine(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        if now < self.prober.routine_at {
            return;
        }
        self.prober.routine_at = now + self.jittered(ROUTINE_EVERY);
        if let Some(ix) = self.next_in_round() {
            self.start(now, ix, ProbeKind::Routine);
        }
        if self.is_alone() {
            let addrs = [&self.seeds[..], &self.vms[..]].concat();
            let at = self.ids.draw_below(addrs.len());
            if let Some(addr) = addrs.get(at) {
                self.introduce(now, *addr, out);
            }
        }
    }

    /// Tries a dead member, a seed or a VM listed.
    fn tick_slow(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        if now < self.prober.slow_at {
            return;
        }
        self.prober.slow_at = now + self.jittered(SLOW_EVERY);
        let dead = self.in_state(MemberState::Dead);
        let mut addrs: Vec<SocketAddr> = dead
            .map(|ix| self.roster.get(ix).record.peer.addr)
            .collect();
        addrs.extend(self.seeds.iter().chain(&self.vms));
        for _ in 0..SLOW_DRAWS {
            let at = self.ids.draw_below(addrs.len());
            let Some(addr) = addrs.get(at).copied() else {
                return;
            };
            if self.roster.holder_of(addr, None).is_none() {
                self.introduce(now, addr, out);
                return;
            }
        }
    }

    fn next_in_round(&mut self) -> Option<MemberIx> {
        for _ in 0..self.prober.order.len() {
            if self.prober.next >= self.prober.order.len() {
                self.shuffle();
            }
            let ix = self.prober.order[self.prober.next];
            self.prober.next += 1;
            if self.roster.get(ix).is_present() && !self.prober.is_probed(ix) {
                return Some(ix);
            }
        }
        None
    }

    fn shuffle(&mut self) {
        self.prober.next = 0;
        for last in (1..self.prober.order.len()).rev() {
            let at = self.ids.draw_below(last + 1);
            self.prober.order.swap(last, at);
        }
    }

    fn is_alone(&self) -> bool {
        let order = &self.prober.order;
        !order.iter().any(|ix| self.roster.get(*ix).is_present())
    }

    fn in_state(&self, state: MemberState) -> impl Iterator<Item = MemberIx> {
        let order = self.prober.order.iter().copied();
        order.filter(move |ix| self.roster.get(*ix).record.state == state)
    }

    /// The interval, a little longer or shorter.
    pub(crate) fn jittered(&mut self, span: Duration) -> Duration {
        let step = self.ids.draw_below(JITTER_STEPS as usize);
        let step = u32::try_from(step).unwrap_or(0);
        let least = span * (JITTER_PARTS - 1) / JITTER_PARTS;
        least + span * 2 * step / JITTER_STEPS / JITTER_PARTS
    }
}
