//! Failure detection: one member is pinged each second, suspects more often.
//!
//! A routine probe pings once and, after a second, once more, directly and through
//! two other members. A member that has not answered is suspect and is pinged on
//! until [`SUSPECT_TIMEOUT`] has passed; then it is dead. Reports of failure from
//! other members start a probe. Dead members, seeds and listed VMs are contacted
//! now and then, so that the halves of a partitioned fleet find each other again.

use crate::log_event::LogEvent;
use crate::member::{GRACE_PERIOD, Members, SUSPECT_TIMEOUT};
use crate::member_record::{MemberAction, MemberState};
use crate::message::Message;
use crate::ping::refutable;
use crate::rate_limiter::RateLimiter;
use crate::roster::{MemberIx, OWN};
use crate::time::Time;
use std::net::SocketAddr;
use std::time::Duration;

const ROUTINE_INTERVAL: Duration = Duration::from_secs(1);
const RECONNECT_INTERVAL: Duration = Duration::from_secs(10);

/// Largest jitter, as a fraction: one part in this many of an interval.
const JITTER_PARTS: u32 = 10;

/// Steps between the shortest and the longest interval.
const JITTER_STEPS: u32 = 128;

/// Time allowed for the answer to a routine ping.
const PONG_TIMEOUT: Duration = Duration::from_secs(1);
const ROUTINE_ATTEMPTS: u32 = 2;

/// Pings to a suspect member within [`SUSPECT_TIMEOUT`].
const SUSPECT_ATTEMPTS: u32 = 4;

/// Members that relay a ping.
const ROUTINE_RELAYS: usize = 2;
const SUSPECT_RELAYS: usize = 1;

/// Limit per second, and at once, on probes and pings caused by others' messages.
const EXTRA_PINGS_PER_SECOND: u64 = 4;

/// Seeds contacted at the start, and members pinged after a pause.
const JOIN_PINGS: usize = 3;

/// Attempts to draw an address that no member holds.
const RECONNECT_DRAWS: usize = 8;

/// Reason for a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeKind {
    /// The member is next in the round.
    Routine,
    /// The member is suspect; it is dead unless it answers.
    Suspected,
    /// Others report a worse state than is held here; the member is dead unless it
    /// answers.
    Reported,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    ix: MemberIx,
    kind: ProbeKind,
    nonce: u64,
    sent: u32,
    due: Time,
}

/// Current and queued probes.
#[derive(Clone, Debug)]
pub(crate) struct Prober {
    /// All members except this process, in the order of this round.
    order: Vec<MemberIx>,
    next: usize,
    routine_at: Time,
    reconnect_at: Time,
    probes: Vec<Probe>,
    queued: Vec<(MemberIx, ProbeKind)>,
    /// Limit on pings beyond the routine.
    pub(crate) extra_pings: RateLimiter,
}

impl Default for Prober {
    fn default() -> Self {
        Self {
            order: Vec::new(),
            next: 0,
            routine_at: Time::default(),
            reconnect_at: Time::default(),
            probes: Vec::new(),
            queued: Vec::new(),
            extra_pings: RateLimiter::new(EXTRA_PINGS_PER_SECOND, EXTRA_PINGS_PER_SECOND),
        }
    }
}

impl Probe {
    /// Schedules the next step `span` after the previous due time, but at least half of
    /// `span` from now.
    fn schedule_next(&mut self, now: Time, span: Duration) {
        self.due = (self.due + span).max(now + span / 2);
    }
}

impl Prober {
    /// Adds a new member to the round, at a position drawn from `draw`.
    pub(crate) fn add(&mut self, ix: MemberIx, draw: impl FnOnce(usize) -> usize) {
        let at = draw(self.order.len() + 1);
        self.order.insert(at, ix);
    }

    /// Returns the member probed with this nonce.
    pub(crate) fn probed_by(&self, nonce: u64) -> Option<MemberIx> {
        let probe = self.probes.iter().find(|p| p.nonce == nonce);
        probe.map(|p| p.ix)
    }

    /// Cancels the probes of a member.
    pub(crate) fn cancel(&mut self, ix: MemberIx) {
        self.probes.retain(|p| p.ix != ix);
        self.queued.retain(|(held, _)| *held != ix);
    }

    /// Removes a member from the round and cancels its probes.
    pub(crate) fn forget(&mut self, ix: MemberIx) {
        self.cancel(ix);
        self.order.retain(|held| *held != ix);
    }

    fn is_probed(&self, ix: MemberIx) -> bool {
        let is_queued = self.queued.iter().any(|(held, _)| *held == ix);
        is_queued || self.probes.iter().any(|p| p.ix == ix)
    }
}

impl Members {
    /// Sends the first pings of this incarnation.
    pub(crate) fn join(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        self.count_entries(out);
        self.prober.routine_at = now + self.jittered(ROUTINE_INTERVAL);
        self.prober.reconnect_at = now + self.jittered(RECONNECT_INTERVAL);
        let first = self.ids.draw_below(self.seeds.len());
        let mut seeds = self.seeds.clone();
        seeds.rotate_left(first);
        for addr in seeds.into_iter().take(JOIN_PINGS) {
            self.introduce(now, addr, out);
        }
    }

    /// Restarts failure detection after a pause of this process, as silence during the
    /// pause proves nothing.
    pub(crate) fn on_pause(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        out.push(MemberAction::LogEvent(LogEvent::new("member_paused")));
        self.grace_until = now + GRACE_PERIOD;
        self.prober.probes.clear();
        self.prober.queued.clear();
        let suspects: Vec<MemberIx> = self.in_state(MemberState::Suspect).collect();
        for ix in suspects {
            self.roster.get_mut(ix).state_since = now;
            self.prober.queued.push((ix, ProbeKind::Suspected));
        }
        for ix in self.sample_members(None, JOIN_PINGS) {
            self.ping(ix, out);
        }
    }

    /// Starts queued probes and advances those that are due.
    pub(crate) fn tick_probes(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        self.start_queued(now);
        self.tick_routine(now, out);
        self.tick_reconnect(now, out);
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

    /// Requests a probe of a member because of a received record.
    pub(crate) fn request_probe(&mut self, now: Time, ix: MemberIx, kind: ProbeKind) {
        let prober = &mut self.prober;
        if let Some(probe) = prober.probes.iter_mut().find(|p| p.ix == ix) {
            if probe.kind == ProbeKind::Routine {
                (probe.kind, probe.sent, probe.due) = (kind, 0, now);
            }
            return;
        }
        if !prober.queued.iter().any(|(held, _)| *held == ix) {
            prober.queued.push((ix, kind));
        }
        self.start_queued(now);
    }

    /// Handles an answer of a member, direct or relayed.
    pub(crate) fn on_probe_answered(&mut self, ix: MemberIx) {
        if self.roster.get(ix).record.state != MemberState::Suspect {
            self.prober.cancel(ix);
            return;
        }
        // It is alive, but must still refute the suspicion with a higher revision.
        for probe in self.prober.probes.iter_mut().filter(|p| p.ix == ix) {
            probe.sent = 0;
        }
    }

    fn start_queued(&mut self, now: Time) {
        while !self.prober.queued.is_empty() && self.prober.extra_pings.try_consume(now) {
            let at = self.ids.draw_below(self.prober.queued.len());
            let (ix, kind) = self.prober.queued.swap_remove(at);
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

    /// Advances a due probe; returns `None` when it has ended.
    fn step(&mut self, now: Time, mut probe: Probe, out: &mut Vec<MemberAction>) -> Option<Probe> {
        if !self.roster.get(probe.ix).is_present() {
            return None;
        }
        if probe.kind == ProbeKind::Routine && probe.sent >= ROUTINE_ATTEMPTS {
            if now < self.grace_until {
                return None;
            }
            self.mark_suspect(now, probe.ix, out);
            (probe.kind, probe.sent) = (ProbeKind::Suspected, 0);
        }
        if probe.kind == ProbeKind::Routine {
            return Some(self.send_routine(now, probe, out));
        }
        if probe.sent >= SUSPECT_ATTEMPTS && now < self.grace_until {
            probe.sent = 0;
        }
        if probe.sent >= SUSPECT_ATTEMPTS {
            self.set_state(now, probe.ix, MemberState::Dead, out);
            return None;
        }
        Some(self.send_verification(now, probe, out))
    }

    fn mark_suspect(&mut self, now: Time, ix: MemberIx, out: &mut Vec<MemberAction>) {
        if self.roster.get(ix).record.state == MemberState::Alive {
            self.set_state(now, ix, MemberState::Suspect, out);
        }
    }

    fn send_routine(&mut self, now: Time, mut probe: Probe, out: &mut Vec<MemberAction>) -> Probe {
        if probe.sent == 0 {
            let probed_record = self.probed_record(probe.ix, probe.kind);
            let addr = probed_record.peer.addr;
            let refutable = refutable(probed_record);
            let records = self.payload(now, |_, payload| {
                for record in &refutable {
                    payload.add(record);
                }
            });
            self.send_ping(addr, probe.nonce, records, out);
        } else {
            self.send_probe(&probe, out);
            self.request_relayed_pings(&probe, ROUTINE_RELAYS, out);
        }
        probe.sent += 1;
        probe.schedule_next(now, PONG_TIMEOUT);
        probe
    }

    fn send_verification(
        &mut self,
        now: Time,
        mut probe: Probe,
        out: &mut Vec<MemberAction>,
    ) -> Probe {
        self.send_probe(&probe, out);
        if probe.sent == SUSPECT_ATTEMPTS / 2 {
            self.request_relayed_pings(&probe, SUSPECT_RELAYS, out);
        }
        probe.sent += 1;
        probe.schedule_next(now, SUSPECT_TIMEOUT / SUSPECT_ATTEMPTS);
        probe
    }

    /// Pings without recent changes, as they would probably be lost.
    fn send_probe(&self, probe: &Probe, out: &mut Vec<MemberAction>) {
        let probed_record = self.probed_record(probe.ix, probe.kind);
        let addr = probed_record.peer.addr;
        self.send_ping(addr, probe.nonce, refutable(probed_record), out);
    }

    fn request_relayed_pings(&mut self, probe: &Probe, count: usize, out: &mut Vec<MemberAction>) {
        let target = self.probed_record(probe.ix, probe.kind);
        for ix in self.sample_members(Some(probe.ix), count) {
            let addr = self.roster.get(ix).record.peer.addr;
            let message = Message::PingVia {
                nonce: probe.nonce,
                target: target.clone(),
            };
            out.push(MemberAction::Send(addr, message));
        }
    }

    /// Draws alive members at random, first from data centres that are neither this
    /// process's nor that of `target`.
    pub(crate) fn sample_members(
        &mut self,
        target: Option<MemberIx>,
        count: usize,
    ) -> Vec<MemberIx> {
        let shift = self.ids.draw_below(self.prober.order.len());
        let rotated = self.prober.order.iter().cycle().skip(shift);
        let alive = rotated.take(self.prober.order.len()).copied().filter(|ix| {
            let state = self.roster.get(*ix).record.state;
            Some(*ix) != target && state == MemberState::Alive
        });
        let data_centre_of = |ix: MemberIx| &self.roster.get(ix).record.data_centre;
        let near = |ix: MemberIx| {
            let same = |other: MemberIx| data_centre_of(other) == data_centre_of(ix);
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
        self.prober.routine_at = now + self.jittered(ROUTINE_INTERVAL);
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

    /// Contacts a dead member, a seed or a listed VM.
    fn tick_reconnect(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        if now < self.prober.reconnect_at {
            return;
        }
        self.prober.reconnect_at = now + self.jittered(RECONNECT_INTERVAL);
        let dead = self.in_state(MemberState::Dead);
        let mut addrs: Vec<SocketAddr> = dead
            .map(|ix| self.roster.get(ix).record.peer.addr)
            .collect();
        addrs.extend(self.seeds.iter().chain(&self.vms));
        for _ in 0..RECONNECT_DRAWS {
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

    /// Returns the interval with jitter.
    pub(crate) fn jittered(&mut self, span: Duration) -> Duration {
        let step = self.ids.draw_below(JITTER_STEPS as usize);
        let step = u32::try_from(step).unwrap_or(0);
        let shortest = span * (JITTER_PARTS - 1) / JITTER_PARTS;
        shortest + span * 2 * step / JITTER_STEPS / JITTER_PARTS
    }
}
