//! State machine of an entry, which gives each caller's request exactly one final answer.
//!
//! A call is checked, offered to agents until one reserves capacity, claimed
//! if it has an idempotency key, started, and read token by token. Inputs are
//! [`EntryEvent`]s, outputs are [`EntryAction`]s. `submit` holds the checks,
//! `dispatch` offers, claims and starts, `deliver` reads tokens.

use crate::agent_crashes::content_limits;
use crate::claim::ClaimAttempt;
use crate::code::{Class, Code};
use crate::config::{ActiveConfig, AdoptOutcome, Config};
use crate::crash_evidence::CrashEvidence;
use crate::entry_io::{Delivery, EntryAction, EntryEvent, EntryLimits, EntrySetup, Reply};
use crate::ids::{CallId, Digest, GenerationId, IdSource, Name, RequestId};
use crate::log_event::LogEvent;
use crate::member_record::{MemberRecord, MemberState};
use crate::message::{ConfigVersion, Envelope, Load, Message};
use crate::objective::{LatencyGoal, MeasuredRequest, TokenTiming, met_objective};
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

/// The agent that holds an offer, a reservation or a generation of a call.
#[derive(Clone, Debug)]
pub(crate) struct AssignedAgent {
    pub(crate) agent: Name,
    pub(crate) addr: SocketAddr,
}

/// How a call came to read a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// This call started it.
    Own,
    /// Another call with the same key started it; holds the claim's version.
    Joined(u64),
    /// The caller resumed it.
    Resumed,
}

/// State of reading a generation.
#[derive(Clone, Debug)]
pub(crate) struct Reading {
    pub(crate) assigned: AssignedAgent,
    pub(crate) origin: Origin,
    pub(crate) request: RequestId,
    pub(crate) cursor: Cursor,
    /// Time of the last frame; time of the start before the first frame.
    pub(crate) last_received: Time,
    /// Whether any frame was received.
    pub(crate) frame_received: bool,
    pub(crate) polled: Time,
    pub(crate) acked_at: Time,
    pub(crate) acked: u64,
}

/// Phase of a call.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// No offer has been sent.
    New,
    /// Waits until entry and agent have the same configuration version.
    AwaitingConfig { retry_at: Time },
    /// An offer awaits its answer.
    Offered { assigned: AssignedAgent, sent: Time },
    /// The call is in the agent's queue.
    Queued {
        assigned: AssignedAgent,
        last_received: Time,
        deadline: Time,
    },
    /// The agent has reserved capacity; the key is being claimed.
    Claiming {
        assigned: AssignedAgent,
        generation: GenerationId,
        claim: ClaimAttempt,
    },
    /// A generation is being read.
    Reading(Reading),
}

/// A caller's request in progress.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) id: CallId,
    pub(crate) request: RequestId,
    pub(crate) key_digest: [u8; 32],
    /// Configuration version that it was checked against.
    pub(crate) checked_version: ConfigVersion,
    pub(crate) demand: Demand,
    pub(crate) work: Work,
    pub(crate) delivery: Delivery,
    pub(crate) claim_key: Option<Digest>,
    /// Version of an existing claim that may be replaced.
    pub(crate) replace: Option<u64>,
    pub(crate) phase: Phase,
    pub(crate) attempt: u32,
    pub(crate) starts: u32,
    pub(crate) tried: Vec<Name>,
    /// Offers counted in the current round; a restart or a move between queues begins a new one.
    pub(crate) offers: usize,
    /// Retry delay to report if no agent accepts.
    pub(crate) retry_after: Option<Duration>,
    /// Reason to report if no agent accepts; an overload outranks others.
    pub(crate) refusal: Option<Code>,
    /// Time at which it first had to wait for a configuration.
    pub(crate) awaiting_config_since: Option<Time>,
    pub(crate) received: Time,
    pub(crate) brand: Name,
    pub(crate) goal: Option<LatencyGoal>,
    pub(crate) pace: TokenTiming,
    /// Whether the caller was sent the generation's id.
    pub(crate) begin_sent: bool,
    pub(crate) buffered: Chunk,
    pub(crate) max_wait: Duration,
    /// Prompt tokens charged to the quota at admission.
    pub(crate) charged: u64,
}

/// An entry: its calls in progress and its view of the agents.
#[derive(Clone, Debug)]
pub struct Entry {
    pub(crate) limits: EntryLimits,
    pub(crate) ids: IdSource,
    pub(crate) config: ActiveConfig,
    pub(crate) router: Router,
    pub(crate) calls: BTreeMap<CallId, Call>,
    pub(crate) by_request: HashMap<RequestId, CallId>,
    /// Bytes of whole answers buffered for all calls.
    pub(crate) buffered_bytes: usize,
    pub(crate) crash_evidence: CrashEvidence,
    /// Agents asked for evidence of crashes.
    pub(crate) crash_questions: usize,
    pub(crate) quotas: Quotas,
    pub(crate) retries: RestartBudget,
    pub(crate) entries: u32,
    pub(crate) leaving: bool,
    /// Time of the last tick.
    pub(crate) last_tick: Option<Time>,
}

impl Entry {
    /// Creates an entry without a configuration and without agents.
    #[must_use]
    pub fn new(setup: EntrySetup) -> Self {
        Self {
            limits: setup.limits,
            ids: IdSource::new(setup.seed),
            config: ActiveConfig::default(),
            router: Router::new(setup.policy, setup.data_centre),
            calls: BTreeMap::new(),
            by_request: HashMap::new(),
            buffered_bytes: 0,
            crash_evidence: CrashEvidence::with_content_limits(content_limits()),
            crash_questions: 0,
            quotas: Quotas::default(),
            retries: RestartBudget::default(),
            entries: 1,
            leaving: false,
            last_tick: None,
        }
    }

    /// Handles an event at `now` and appends the resulting actions to `out`.
    pub fn on_event(&mut self, now: Time, event: EntryEvent, out: &mut Vec<EntryAction>) {
        match event {
            EntryEvent::Submit(id, submission) => self.on_submit(now, id, *submission, out),
            EntryEvent::CallerGone(id) => self.on_caller_gone(id, out),
            EntryEvent::Consumed(id, next) => self.on_delivered(now, id, next, out),
            EntryEvent::Message(envelope) => self.on_message(now, *envelope, out),
            EntryEvent::Claim(id, answer) => self.on_claim(now, id, answer, out),
            EntryEvent::Config(config) => self.on_config(now, &config, out),
            EntryEvent::Member(record) => self.on_member(now, &record, out),
            EntryEvent::EntryCount(count) => self.entries = count.max(1),
            EntryEvent::Leave => self.leaving = true,
            EntryEvent::Tick => self.on_tick(now, out),
        }
    }

    /// Returns the version of the active configuration.
    #[must_use]
    pub fn config_version(&self) -> ConfigVersion {
        self.config.version()
    }

    /// Returns the active configuration.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.get()
    }

    /// Returns whether a higher version is known to be active elsewhere.
    #[must_use]
    pub fn is_lagging(&self) -> bool {
        self.config.is_lagging()
    }

    /// Returns the table of agents.
    #[must_use]
    pub const fn router(&self) -> &Router {
        &self.router
    }

    /// Returns the number of calls in progress.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the bytes of whole answers buffered for all calls.
    #[must_use]
    pub const fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Returns whether the entry can stop without cutting off a call.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns whether the entry refuses new requests because it is stopping.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the number of quarantined content digests.
    #[must_use]
    pub fn quarantined(&self) -> usize {
        self.crash_evidence.refused_contents()
    }

    fn on_message(&mut self, now: Time, envelope: Envelope, out: &mut Vec<EntryAction>) {
        let Envelope {
            from,
            config,
            load,
            body,
        } = envelope;
        if self.config.observe_version(config) && config > self.config.version() {
            out.push(EntryAction::PullConfig(from.addr));
        }
        if let Some(load) = load {
            self.router.record_load(now, &from.name, load);
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
            Message::CrashNews(told) => self.on_crash_news(now, &told, out),
            _ => {}
        }
    }

    fn on_config(&mut self, now: Time, config: &Arc<Config>, out: &mut Vec<EntryAction>) {
        let version = config.version.0;
        let event = match self.config.adopt(config.clone()) {
            AdoptOutcome::Activated => "config_in_force",
            AdoptOutcome::Conflict => "config_conflict",
            AdoptOutcome::Unchanged | AdoptOutcome::Outdated => return,
        };
        out.push(EntryAction::LogEvent(LogEvent::new(event).count(version)));
        self.retry_awaiting_config(now, out);
    }

    fn on_member(&mut self, now: Time, record: &MemberRecord, out: &mut Vec<EntryAction>) {
        if record.peer.role != crate::ids::Role::Agent {
            return;
        }
        let before = self
            .router
            .by_name(&record.peer.name)
            .map(|a| a.peer.incarnation);
        self.router.upsert(record);
        let dead = record.state == MemberState::Dead;
        if !dead && before != Some(record.peer.incarnation) {
            self.meet_agent(now, record.peer.addr, out);
        }
        let replaced = before.is_some_and(|old| old != record.peer.incarnation);
        if replaced || dead {
            let alive = (!dead).then_some(record.peer.incarnation);
            self.on_agent_gone(now, &record.peer.name, alive, out);
        }
    }

    fn on_tick(&mut self, now: Time, out: &mut Vec<EntryAction>) {
        let gap = self.last_tick.map_or(Duration::ZERO, |t| now.since(t));
        self.last_tick = Some(now);
        if gap >= self.limits.pause_threshold {
            self.reset_silence_timers(now);
        }
        self.expire_leaving_reports(now);
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        for id in ids {
            self.tick_call(now, id, out);
        }
        self.crash_evidence.expire(now);
        self.judge_crashes(now, out);
    }

    /// Clears `leaving` reports older than their lifetime.
    ///
    /// An agent whose upstream recovered reports so only in reply to a
    /// message, so it has to be offered work again.
    fn expire_leaving_reports(&mut self, now: Time) {
        let span = self.limits.leaving_report_ttl;
        let old = |a: &&AgentView| a.load.leaving && now.since(a.load_received) >= span;
        let agents: Vec<(Name, Load)> = self
            .router
            .agents()
            .filter(old)
            .map(|a| (a.peer.name.clone(), a.load))
            .collect();
        for (name, load) in agents {
            let leaving = false;
            self.router
                .record_load(now, &name, Load { leaving, ..load });
        }
    }

    /// Restarts the silence timers after a pause of this process.
    ///
    /// Messages that arrived during the pause are still unread, so the agents
    /// were not necessarily silent.
    fn reset_silence_timers(&mut self, now: Time) {
        for call in self.calls.values_mut() {
            match &mut call.phase {
                Phase::Offered { sent, .. } => *sent = now,
                Phase::Queued { last_received, .. } => *last_received = now,
                Phase::Reading(reading) => reading.last_received = now,
                Phase::New | Phase::AwaitingConfig { .. } | Phase::Claiming { .. } => {}
            }
        }
    }

    /// Ends a call with a code, which is sent to the caller at once.
    ///
    /// After a start, which may have run, a code that claims "not run" is
    /// replaced by `OutcomeUnknown`.
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
            self.quotas.refund(&call.demand.workspace, call.charged);
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
        out.push(call.measurement(code));
        let event = LogEvent::new("request_failed")
            .request(call.request)
            .code(code);
        out.push(EntryAction::LogEvent(event.count(delivered)));
    }

    pub(crate) fn remove(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.by_request.remove(&call.request);
        self.buffered_bytes -= call.buffered.data.len();
        if let Some(assigned) = call.assigned() {
            self.router.record_done(&assigned.agent);
        }
        Some(call)
    }

    pub(crate) fn call_by_request(&self, request: RequestId) -> Option<CallId> {
        self.by_request.get(&request).copied()
    }
}

impl Call {
    /// Returns the measurement of a request that ends with `code`.
    pub(crate) fn measurement(&self, code: Code) -> EntryAction {
        EntryAction::Measured(MeasuredRequest {
            brand: self.brand.clone(),
            priority: self.demand.priority,
            code,
            met: met_objective(code, &self.pace, self.goal),
        })
    }

    pub(crate) const fn assigned(&self) -> Option<&AssignedAgent> {
        match &self.phase {
            Phase::New | Phase::AwaitingConfig { .. } => None,
            Phase::Offered { assigned, .. }
            | Phase::Queued { assigned, .. }
            | Phase::Claiming { assigned, .. } => Some(assigned),
            Phase::Reading(reading) => Some(&reading.assigned),
        }
    }

    /// Returns the number of tokens sent to the caller.
    pub(crate) const fn delivered(&self) -> u64 {
        match (&self.phase, self.delivery) {
            (Phase::Reading(reading), Delivery::Stream) => reading.cursor.next,
            _ => 0,
        }
    }
}
