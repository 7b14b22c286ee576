//! The entry: takes a caller's request and sees it to its one answer.
//!
//! A call is checked, offered to agents until one reserves, claimed where its
//! key asks for it, started, and read token by token. What happens comes in
//! as [`EntryEvent`]s, what is to be done comes out as [`EntryAction`]s.
//! `submit` holds the checks, `dispatch` the way to a start, `deliver` the
//! reading.

use crate::claim::ClaimRun;
use crate::code::{Class, Code};
use crate::config::{Adopted, Config, InForce};
use crate::entry_io::{Delivery, EntryAction, EntryEvent, EntryLimits, EntrySetup, Reply};
use crate::ids::{CallId, Digest, GenerationId, IdSource, Name, RequestId};
use crate::member_record::{MemberRecord, MemberState};
use crate::message::{ConfigVersion, Envelope, Load, Message};
use crate::note::Note;
use crate::objective::{LatencyGoal, MeasuredRequest, TokenTiming, met_objective};
use crate::quarantine::Quarantine;
use crate::quota::Quotas;
use crate::restart_budget::RestartBudget;
use crate::route::{AgentView, Router};
use crate::stream::{Chunk, Cursor};
use crate::time::Time;
use crate::work::{Demand, Work};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Where an offer was made.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub(crate) agent: Name,
    pub(crate) addr: SocketAddr,
}

/// Why a generation is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// This call started it.
    Own,
    /// Another call with the same key started it; the claim's version.
    Joined(u64),
    /// The caller came back to it.
    Resumed,
}

/// A generation that is read.
#[derive(Clone, Debug)]
pub(crate) struct Reading {
    pub(crate) asked: Asked,
    pub(crate) origin: Origin,
    pub(crate) request: RequestId,
    pub(crate) cursor: Cursor,
    /// When a frame of it came last; the start until then.
    pub(crate) heard: Time,
    /// Whether any frame came.
    pub(crate) begun: bool,
    pub(crate) polled: Time,
    pub(crate) acked_at: Time,
    pub(crate) acked: u64,
}

/// Where a call is on its way.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// No agent was asked yet.
    New,
    /// Waits until both sides hold one configuration; asked again then.
    Behind { again: Time },
    /// An offer is out.
    Offered { asked: Asked, sent: Time },
    /// The agent has it in its queue.
    Queued {
        asked: Asked,
        heard: Time,
        until: Time,
    },
    /// Reserved; the key is being claimed.
    Claiming {
        asked: Asked,
        generation: GenerationId,
        run: ClaimRun,
    },
    /// A generation is read.
    Reading(Reading),
}

/// One caller's request on its way.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) id: CallId,
    pub(crate) request: RequestId,
    pub(crate) key_digest: [u8; 32],
    /// Configuration by which it was checked.
    pub(crate) checked: ConfigVersion,
    pub(crate) demand: Demand,
    pub(crate) work: Work,
    pub(crate) delivery: Delivery,
    pub(crate) claim_key: Option<Digest>,
    /// Version of a claim that may be replaced.
    pub(crate) replace: Option<u64>,
    pub(crate) phase: Phase,
    pub(crate) attempt: u32,
    pub(crate) starts: u32,
    pub(crate) tried: Vec<Name>,
    /// Agents asked in this round of offers.
    pub(crate) offers: usize,
    /// Soonest time that a refusing agent named.
    pub(crate) retry_after: Option<Duration>,
    /// Worst reason that a refusing agent gave.
    pub(crate) refusal: Option<Code>,
    /// Since when it waits for a configuration, the first time.
    pub(crate) behind_since: Option<Time>,
    pub(crate) received: Time,
    pub(crate) brand: Name,
    pub(crate) goal: Option<LatencyGoal>,
    pub(crate) pace: TokenTiming,
    /// Whether the caller was told which generation it is given.
    pub(crate) told_begin: bool,
    pub(crate) held_back: Chunk,
    pub(crate) max_wait: Duration,
    /// Tokens charged to the quota beforehand.
    pub(crate) charged: u64,
}

/// The entry.
#[derive(Clone, Debug)]
pub struct Entry {
    pub(crate) limits: EntryLimits,
    pub(crate) ids: IdSource,
    pub(crate) config: InForce,
    pub(crate) router: Router,
    pub(crate) calls: BTreeMap<CallId, Call>,
    pub(crate) by_request: HashMap<RequestId, CallId>,
    /// Bytes of whole answers held back.
    pub(crate) held: usize,
    pub(crate) quarantine: Quarantine,
    pub(crate) quotas: Quotas,
    pub(crate) retries: RestartBudget,
    pub(crate) entries: u32,
    pub(crate) leaving: bool,
    /// Time of the last tick.
    pub(crate) ticked: Option<Time>,
}

impl Entry {
    /// An entry that knows no configuration and no agents yet.
    #[must_use]
    pub fn new(setup: EntrySetup) -> Self {
        Self {
            limits: setup.limits,
            ids: IdSource::new(setup.seed),
            config: InForce::default(),
            router: Router::new(setup.policy, setup.data_centre),
            calls: BTreeMap::new(),
            by_request: HashMap::new(),
            held: 0,
            quarantine: Quarantine::default(),
            quotas: Quotas::default(),
            retries: RestartBudget::default(),
            entries: 1,
            leaving: false,
            ticked: None,
        }
    }

    /// Takes one event at `now` and adds what is to be done to `out`.
    pub fn on_event(&mut self, now: Time, event: EntryEvent, out: &mut Vec<EntryAction>) {
        match event {
            EntryEvent::Submit(id, submission) => self.on_submit(now, id, *submission, out),
            EntryEvent::CallerGone(id) => self.on_caller_gone(id, out),
            EntryEvent::Taken(id, next) => self.on_taken(now, id, next, out),
            EntryEvent::Message(envelope) => self.on_message(now, *envelope, out),
            EntryEvent::Claim(id, answer) => self.on_claim(now, id, answer, out),
            EntryEvent::Config(config) => self.on_config(now, &config, out),
            EntryEvent::Member(record) => self.on_member(now, &record, out),
            EntryEvent::Entries(count) => self.entries = count.max(1),
            EntryEvent::Leave => self.leaving = true,
            EntryEvent::Tick => self.on_tick(now, out),
        }
    }

    /// Version of the configuration in force here.
    #[must_use]
    pub fn config_version(&self) -> ConfigVersion {
        self.config.version()
    }

    /// The configuration in force here.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.get()
    }

    /// Whether a higher version is known to be in force elsewhere.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.config.is_behind()
    }

    /// The table of agents.
    #[must_use]
    pub const fn router(&self) -> &Router {
        &self.router
    }

    /// Calls under way.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Bytes of whole answers held back.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Whether a planned stop would cut off nothing any more.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether the entry takes no new requests.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Digests that are refused.
    #[must_use]
    pub fn quarantined(&self) -> usize {
        self.quarantine.refused()
    }

    fn on_message(&mut self, now: Time, envelope: Envelope, out: &mut Vec<EntryAction>) {
        let Envelope {
            from,
            config,
            load,
            body,
        } = envelope;
        if self.config.hear(config) && config > self.config.version() {
            out.push(EntryAction::PullConfig(from.addr));
        }
        if let Some(load) = load {
            self.router.note_load(now, &from.name, load);
        }
        match body {
            Message::Queued {
                request,
                attempt,
                wait,
            } => self.on_queued(now, request, attempt, wait),
            Message::Accept {
                request,
                attempt,
                generation,
                hold,
            } => self.on_accept(now, &from, request, attempt, generation, hold, out),
            Message::Refuse {
                request,
                attempt,
                code,
                retry_after,
            } => self.on_refuse(now, request, attempt, code, retry_after, out),
            Message::Tokens {
                reader,
                generation,
                chunk,
                finish,
            } => self.on_tokens(now, &from, reader, generation, chunk, finish, out),
            Message::Stand {
                reader,
                generation,
                standing,
            } => self.on_stand(now, reader, generation, standing, out),
            Message::Crashes { content, count } => {
                self.quarantine.learn(now, content, count);
            }
            _ => {}
        }
    }

    fn on_config(&mut self, now: Time, config: &Arc<Config>, out: &mut Vec<EntryAction>) {
        let version = config.version.0;
        let event = match self.config.adopt(config.clone()) {
            Adopted::InForce => "config_in_force",
            Adopted::Conflict => "config_conflict",
            Adopted::Same | Adopted::Older => return,
        };
        out.push(EntryAction::Note(Note::new(event).count(version)));
        self.on_caught_up(now, out);
    }

    fn on_member(&mut self, now: Time, record: &MemberRecord, out: &mut Vec<EntryAction>) {
        if record.peer.role != crate::ids::Role::Agent {
            return;
        }
        let before = self
            .router
            .by_name(&record.peer.name)
            .map(|a| a.peer.incarnation);
        self.router.learn(record);
        let dead = record.state == MemberState::Dead;
        let replaced = before.is_some_and(|old| old != record.peer.incarnation);
        if replaced || dead {
            let alive = (!dead).then_some(record.peer.incarnation);
            self.on_agent_gone(now, &record.peer.name, alive, out);
        }
    }

    fn on_tick(&mut self, now: Time, out: &mut Vec<EntryAction>) {
        let gap = self.ticked.map_or(Duration::ZERO, |t| now.since(t));
        self.ticked = Some(now);
        if gap >= self.limits.pause {
            self.on_paused(now);
        }
        self.doubt_leaving(now);
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        for id in ids {
            self.tick_call(now, id, out);
        }
        self.quarantine.expire(now);
    }

    /// Agents that took no work a while ago may be asked again: one whose
    /// upstream came back says so only when it is spoken to.
    fn doubt_leaving(&mut self, now: Time) {
        let span = self.limits.believe_leaving;
        let old = |a: &&AgentView| a.load.leaving && now.since(a.load_at) >= span;
        let agents: Vec<(Name, Load)> = self
            .router
            .agents()
            .filter(old)
            .map(|a| (a.peer.name.clone(), a.load))
            .collect();
        for (name, load) in agents {
            let leaving = false;
            self.router.note_load(now, &name, Load { leaving, ..load });
        }
    }

    /// This process was paused: what came meanwhile waits to be read, so the
    /// silence of the others counts from now on.
    fn on_paused(&mut self, now: Time) {
        for call in self.calls.values_mut() {
            match &mut call.phase {
                Phase::Offered { sent, .. } => *sent = now,
                Phase::Queued { heard, .. } => *heard = now,
                Phase::Reading(reading) => reading.heard = now,
                Phase::New | Phase::Behind { .. } | Phase::Claiming { .. } => {}
            }
        }
    }

    /// Ends a call with a code; the caller gets it at once.
    ///
    /// After a start that may have run, "not run" would not be true.
    pub(crate) fn fail(
        &mut self,
        id: CallId,
        code: Code,
        retry_after: Option<Duration>,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(call) = self.remove(id) else {
            return;
        };
        let delivered = call.delivered();
        let code = if call.starts > 0 && code.class() == Class::NotRun {
            Code::OutcomeUnknown
        } else {
            code
        };
        if code.class() == Class::NotRun {
            self.quotas.give_back(&call.demand.workspace, call.charged);
        }
        let least = self.limits.min_retry_after;
        out.push(EntryAction::Reply(
            id,
            Reply::Fail {
                code,
                retry_after: retry_after.map(|r| r.max(least)),
                delivered,
            },
        ));
        out.push(call.measured(code));
        let note = Note::new("request_failed").request(call.request).code(code);
        out.push(EntryAction::Note(note.count(delivered)));
    }

    pub(crate) fn remove(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.by_request.remove(&call.request);
        self.held -= call.held_back.data.len();
        if let Some(asked) = call.asked() {
            self.router.note_done(&asked.agent);
        }
        Some(call)
    }

    pub(crate) fn call_of(&self, request: RequestId) -> Option<CallId> {
        self.by_request.get(&request).copied()
    }
}

impl Call {
    /// The request as it is counted when it ends with `code`.
    pub(crate) fn measured(&self, code: Code) -> EntryAction {
        EntryAction::Measured(MeasuredRequest {
            brand: self.brand.clone(),
            priority: self.demand.priority,
            code,
            met: met_objective(code, &self.pace, self.goal),
        })
    }

    pub(crate) const fn asked(&self) -> Option<&Asked> {
        match &self.phase {
            Phase::New | Phase::Behind { .. } => None,
            Phase::Offered { asked, .. }
            | Phase::Queued { asked, .. }
            | Phase::Claiming { asked, .. } => Some(asked),
            Phase::Reading(reading) => Some(&reading.asked),
        }
    }

    /// Tokens that the caller was given.
    pub(crate) const fn delivered(&self) -> u64 {
        match (&self.phase, self.delivery) {
            (Phase::Reading(reading), Delivery::Stream) => reading.cursor.next,
            _ => 0,
        }
    }
}
