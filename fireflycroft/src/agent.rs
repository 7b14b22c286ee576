//! The agent: the only door to one upstream.
//!
//! It reserves, admits, starts, numbers the tokens and keeps them for readers
//! to come. Time, messages and what the upstream does come in as
//! [`AgentEvent`]s; what is to be done comes out as [`AgentAction`]s.

use crate::admit::{Admission, AdmitPolicy, Capacity, OfferId, UpstreamReport, Verdict};
use crate::code::Code;
use crate::generation::{Generation, Stage};
use crate::ids::{Digest, GenerationId, Name, Peer, RequestId};
use crate::message::{ConfigVersion, Envelope, Finish, Load, Message, Standing};
use crate::news::News;
use crate::note::Note;
use crate::order::{Order, Orders};
use crate::quarantine::Quarantine;
use crate::store::Store;
use crate::stream::TokenLog;
use crate::time::Time;
use crate::work::{Demand, Work};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Bounds and waits of an agent.
#[derive(Clone, Copy, Debug)]
pub struct AgentLimits {
    /// How long a reservation waits for its start.
    pub hold: Duration,
    /// How long a settled offer is remembered, so that copies get its answer.
    pub remember: Duration,
    /// How long an ended answer is kept for readers.
    pub keep_finished: Duration,
    /// How long a generation that nobody reads goes on.
    pub keep_unread: Duration,
    /// Silence of the upstream after which a generation is stopped.
    pub max_stall: Duration,
    /// Silence after which a reader is dropped.
    pub reader_silence: Duration,
    /// Bytes of answers kept in all.
    pub max_bytes: usize,
    /// Offers remembered in all.
    pub max_offers: usize,
    /// Times that one broken stream is taken up again.
    pub max_resumes: u32,
}

impl Default for AgentLimits {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(2),
            remember: Duration::from_mins(1),
            keep_finished: Duration::from_mins(1),
            keep_unread: Duration::from_secs(30),
            max_stall: Duration::from_mins(10),
            reader_silence: Duration::from_secs(5),
            max_bytes: 64 * 1024 * 1024,
            max_offers: 8_192,
            max_resumes: 3,
        }
    }
}

/// What an agent is told at its start.
#[derive(Clone, Debug)]
pub struct AgentSetup {
    /// The agent itself.
    pub me: Peer,
    /// Models or plain services of its upstream.
    pub serves: Vec<Name>,
    /// How it admits.
    pub policy: AdmitPolicy,
    /// Size of its upstream.
    pub capacity: Capacity,
    /// Bounds and waits.
    pub limits: AgentLimits,
}

/// What an agent hears.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// A message of a process of the fleet.
    Message(Box<Envelope>),
    /// The upstream gave tokens.
    Tokens {
        /// The generation.
        generation: GenerationId,
        /// The tokens, in order.
        tokens: Vec<Vec<u8>>,
    },
    /// The upstream ended the generation in good order.
    Finished {
        /// The generation.
        generation: GenerationId,
        /// How it ended; total and crashes are set by the agent.
        finish: Finish,
    },
    /// The upstream refused the request, or it could not be sent.
    NotStarted {
        /// The generation.
        generation: GenerationId,
        /// Why: a code of the class "not run".
        code: Code,
    },
    /// The stream from the upstream broke.
    Broken {
        /// The generation.
        generation: GenerationId,
    },
    /// The broken stream cannot be taken up again.
    Lost {
        /// The generation.
        generation: GenerationId,
    },
    /// The upstream does not answer; all that ran on it is lost.
    UpstreamDown,
    /// The upstream answers.
    UpstreamUp,
    /// The upstream reports its load, late.
    Report(UpstreamReport),
    /// The agent is to stop, or its upstream is reclaimed.
    Leave,
    /// The agent stays after all.
    Stay,
    /// The upstream now holds these models.
    Serves(Vec<Name>),
    /// The platform told the fencing number in force.
    Fence(u64),
    /// The upstream answered the order that was passed on.
    OrderSettled(Code),
    /// A configuration is in force here.
    Config(ConfigVersion),
    /// Time went on.
    Tick,
}

/// What an agent wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Send a message.
    Send(SocketAddr, Message),
    /// Send a message to every member that is known.
    Broadcast(Message),
    /// Run the work on the upstream.
    Run {
        /// The generation.
        generation: GenerationId,
        /// The request.
        request: RequestId,
        /// What it needs.
        demand: Demand,
        /// The work.
        work: Work,
    },
    /// Take up a broken stream at a token.
    Resume {
        /// The generation.
        generation: GenerationId,
        /// First token wanted.
        from: u64,
    },
    /// Stop a generation on the upstream.
    Stop(GenerationId),
    /// Pass an order on to the upstream.
    Order(Order),
    /// Ask the sender for its configuration.
    PullConfig(SocketAddr),
    /// Something to log and count.
    Note(Note),
}

#[derive(Clone, Debug)]
enum Offered {
    /// Waits for admission.
    Waiting(SocketAddr, Demand),
    /// Became a reservation of that serial number.
    Reserved(u64),
    /// Settled: refused with that code since then.
    Refused(Code, Time),
}

/// The agent.
#[derive(Clone, Debug)]
pub struct Agent {
    me: Peer,
    pub(crate) serves: Vec<Name>,
    limits: AgentLimits,
    config: ConfigVersion,
    admission: Admission,
    offers: BTreeMap<OfferId, Offered>,
    pub(crate) generations: Store,
    next_serial: u64,
    quarantine: Quarantine,
    news: News,
    upstream_up: bool,
    leaving: bool,
    pub(crate) orders: Orders,
    /// Where the answer to the order under way goes.
    pub(crate) issuer: Option<SocketAddr>,
}

const LEAVING_RETRY: Duration = Duration::from_millis(100);
const DOWN_RETRY: Duration = Duration::from_secs(1);

impl Agent {
    /// An agent whose upstream is not yet known to answer.
    #[must_use]
    pub fn new(setup: AgentSetup) -> Self {
        Self {
            me: setup.me,
            serves: setup.serves,
            limits: setup.limits,
            config: ConfigVersion(0),
            admission: Admission::new(setup.policy, setup.capacity),
            offers: BTreeMap::new(),
            generations: Store::default(),
            next_serial: 1,
            quarantine: Quarantine::default(),
            news: News::default(),
            upstream_up: false,
            leaving: false,
            orders: Orders::default(),
            issuer: None,
        }
    }

    /// Takes one event at `now` and adds what is to be done to `out`.
    pub fn on_event(&mut self, now: Time, event: AgentEvent, out: &mut Vec<AgentAction>) {
        match event {
            AgentEvent::Message(envelope) => self.on_message(now, *envelope, out),
            AgentEvent::Tokens { generation, tokens } => {
                self.on_tokens(now, generation, &tokens, out);
            }
            AgentEvent::Finished { generation, finish } => {
                self.finish(now, generation, &finish, out);
            }
            AgentEvent::NotStarted { generation, code } => {
                self.on_not_started(now, generation, code, out);
            }
            AgentEvent::Broken { generation } => self.on_broken(now, generation, out),
            AgentEvent::Lost { generation } => self.on_lost(now, generation, out),
            AgentEvent::UpstreamDown => self.on_upstream_down(now, out),
            AgentEvent::UpstreamUp => self.upstream_up = true,
            AgentEvent::Report(report) => self.admission.report(report),
            AgentEvent::Leave => self.on_leave(now, out),
            AgentEvent::Stay => self.leaving = false,
            AgentEvent::Serves(models) => self.serves = models,
            AgentEvent::Fence(fence) => self.orders.learn_fence(fence),
            AgentEvent::OrderSettled(code) => self.on_order_settled(code, out),
            AgentEvent::Config(version) => self.config = self.config.max(version),
            AgentEvent::Tick => self.on_tick(now, out),
        }
        self.admit_waiting(now, out);
    }

    /// Load to ride on every message of this agent.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            leaving: self.leaving || !self.upstream_up,
            ..self.admission.load()
        }
    }

    /// Generations that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.generations.values().filter(|g| g.is_running()).count()
    }

    /// Bytes of answers kept.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.generations.bytes()
    }

    /// Offers remembered.
    #[must_use]
    pub fn offers(&self) -> usize {
        self.offers.len()
    }

    /// Whether a planned stop would cut off nothing any more.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        !self.generations.values().any(Generation::is_wanted)
    }

    /// Whether the agent takes no new work.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Digests that are refused.
    #[must_use]
    pub fn quarantined(&self) -> usize {
        self.quarantine.refused()
    }

    fn on_message(&mut self, now: Time, envelope: Envelope, out: &mut Vec<AgentAction>) {
        let from = envelope.from.addr;
        if envelope.config > self.config {
            out.push(AgentAction::PullConfig(from));
        }
        match envelope.body {
            Message::Offer {
                request,
                attempt,
                demand,
                max_wait,
            } => {
                let offer = OfferId { request, attempt };
                // Either side may be the older one; it catches up before work runs.
                let differs = envelope.config != self.config;
                self.on_offer(now, from, offer, demand, max_wait, differs, out);
            }
            Message::Withdraw { request, attempt } => {
                self.on_withdraw(now, OfferId { request, attempt }, out);
            }
            Message::Start {
                request,
                generation,
                work,
            } => self.on_start(now, from, request, generation, work, out),
            Message::Attach {
                reader,
                request,
                generation,
                workspace,
                from: token,
            } => self.on_attach(
                now, from, reader, request, generation, &workspace, token, out,
            ),
            Message::Ack {
                reader,
                generation,
                next,
            } => self.on_ack(now, reader, generation, next, out),
            Message::Detach { reader, generation } => {
                if let Some(g) = self.find(generation) {
                    g.detach(now, reader);
                }
            }
            Message::Cancel { generation } => self.on_cancel(now, generation, out),
            Message::Order(order) => self.on_order(from, order, out),
            Message::Crashes { content, count } => {
                self.quarantine.learn(now, content, count);
            }
            _ => {}
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn on_offer(
        &mut self,
        now: Time,
        from: SocketAddr,
        offer: OfferId,
        demand: Demand,
        max_wait: Duration,
        differs: bool,
        out: &mut Vec<AgentAction>,
    ) {
        if self.repeat_answer(now, from, offer, out) {
            return;
        }
        if let Some((code, retry)) = self.reason_to_refuse(&demand, differs) {
            self.refuse(now, from, offer, code, retry, out);
            return;
        }
        match self.admission.offer(now, offer, &demand, now + max_wait) {
            Verdict::Admit => self.reserve(now, from, offer, demand, out),
            Verdict::Queue(wait) => {
                self.offers.insert(offer, Offered::Waiting(from, demand));
                out.push(AgentAction::Send(from, queued(offer, wait)));
            }
            Verdict::Refuse(retry) => self.refuse(now, from, offer, Code::Overloaded, retry, out),
            Verdict::TooLong => {
                self.refuse(now, from, offer, Code::PromptTooLong, Duration::ZERO, out);
            }
        }
    }

    /// Answers a copy of an offer as the first was answered.
    fn repeat_answer(
        &mut self,
        now: Time,
        from: SocketAddr,
        offer: OfferId,
        out: &mut Vec<AgentAction>,
    ) -> bool {
        let answer = match self.offers.get(&offer) {
            None => return false,
            Some(Offered::Waiting(_, demand)) => {
                queued(offer, self.admission.expected_wait(demand.priority))
            }
            Some(Offered::Refused(code, _)) => refused(offer, *code, Duration::ZERO),
            Some(Offered::Reserved(serial)) => self.accepted(now, offer, *serial),
        };
        out.push(AgentAction::Send(from, answer));
        true
    }

    fn accepted(&self, now: Time, offer: OfferId, serial: u64) -> Message {
        let stage = self.generations.get(serial).map(|g| g.stage);
        let hold = match stage {
            Some(Stage::Reserved(until)) => until.since(now),
            Some(Stage::Running | Stage::Finished(_)) => Duration::ZERO,
            Some(Stage::Lapsed(_)) | None => {
                return refused(offer, Code::ReservationLapsed, Duration::ZERO);
            }
        };
        Message::Accept {
            request: offer.request,
            attempt: offer.attempt,
            generation: self.id_of(serial),
            hold,
        }
    }

    fn reason_to_refuse(&self, demand: &Demand, differs: bool) -> Option<(Code, Duration)> {
        if self.leaving {
            return Some((Code::Leaving, LEAVING_RETRY));
        }
        if !self.upstream_up || !self.serves.contains(&demand.target) {
            return Some((Code::NoUpstream, DOWN_RETRY));
        }
        if self.quarantine.is_refused(demand.content) {
            return Some((Code::Quarantined, Duration::ZERO));
        }
        if differs {
            return Some((Code::ConfigBehind, LEAVING_RETRY));
        }
        if self.offers.len() >= self.limits.max_offers {
            return Some((Code::Overloaded, DOWN_RETRY));
        }
        let suspect = demand.crashes.max(self.quarantine.crashes(demand.content)) > 0;
        if suspect && self.runs_another_suspect(demand.content) {
            return Some((Code::Overloaded, DOWN_RETRY));
        }
        None
    }

    fn runs_another_suspect(&self, content: Digest) -> bool {
        let is_suspect = |g: &Generation| {
            let crashes = self.quarantine.crashes(g.demand.content);
            g.demand.content != content && g.demand.crashes.max(crashes) > 0
        };
        let active = |g: &Generation| matches!(g.stage, Stage::Running | Stage::Reserved(_));
        self.generations
            .values()
            .any(|g| active(g) && is_suspect(g))
    }

    fn refuse(
        &mut self,
        now: Time,
        to: SocketAddr,
        offer: OfferId,
        code: Code,
        retry: Duration,
        out: &mut Vec<AgentAction>,
    ) {
        self.remember_refusal(now, offer, code);
        out.push(AgentAction::Send(to, refused(offer, code, retry)));
        out.push(note("offer_refused", offer.request, Some(code)));
    }

    fn reserve(
        &mut self,
        now: Time,
        to: SocketAddr,
        offer: OfferId,
        demand: Demand,
        out: &mut Vec<AgentAction>,
    ) {
        let serial = self.next_serial;
        self.next_serial += 1;
        let generation = Generation {
            id: self.id_of(serial),
            offer,
            demand,
            stage: Stage::Reserved(now + self.limits.hold),
            log: TokenLog::default(),
            finish: None,
            readers: Vec::new(),
            taken: false,
            unread_since: None,
            resumed: 0,
            heard: now,
        };
        self.generations.insert(generation);
        self.offers.insert(offer, Offered::Reserved(serial));
        out.push(AgentAction::Send(to, self.accepted(now, offer, serial)));
    }

    fn on_withdraw(&mut self, now: Time, offer: OfferId, out: &mut Vec<AgentAction>) {
        let known = self.offers.get(&offer).cloned();
        match known {
            Some(Offered::Reserved(serial)) => self.lapse(now, serial, out),
            Some(Offered::Refused(..)) => return,
            Some(Offered::Waiting(..)) | None => self.admission.release(offer),
        }
        // A copy of the offer may still be under way; it must not be taken.
        self.remember_refusal(now, offer, Code::Withdrawn);
    }

    /// Keeps a refusal for copies of the offer, within the bound. Beyond it,
    /// a copy may be reserved afresh; unless started, that lapses.
    fn remember_refusal(&mut self, now: Time, offer: OfferId, code: Code) {
        let room = self.offers.len() < self.limits.max_offers;
        if room || self.offers.contains_key(&offer) {
            self.offers.insert(offer, Offered::Refused(code, now));
        }
    }

    fn lapse(&mut self, now: Time, serial: u64, out: &mut Vec<AgentAction>) {
        let Some(g) = self.generations.get_mut(serial) else {
            return;
        };
        if !matches!(g.stage, Stage::Reserved(_)) {
            return;
        }
        g.stage = Stage::Lapsed(now);
        let offer = g.offer;
        self.admission.release(offer);
        out.push(note("reservation_lapsed", offer.request, None));
    }

    fn on_start(
        &mut self,
        now: Time,
        from: SocketAddr,
        request: RequestId,
        id: GenerationId,
        work: Work,
        out: &mut Vec<AgentAction>,
    ) {
        self.lapse_if_due(now, id, out);
        let standing = self.forgotten(id, request, None);
        let Some(g) = self.find(id).filter(|g| g.offer.request == request) else {
            out.push(stand(from, request, id, standing));
            return;
        };
        match g.stage {
            Stage::Lapsed(_) => out.push(stand(from, request, id, Standing::NeverStarted)),
            Stage::Running | Stage::Finished(_) => {
                // A copy: the first one started it already.
                out.extend(sends(g.messages(request, true)));
            }
            Stage::Reserved(_) => {
                g.stage = Stage::Running;
                g.heard = now;
                let demand = g.demand.clone();
                if g.attach(now, request, from, 0).is_ok() {
                    out.extend(sends(g.messages(request, true)));
                }
                out.push(AgentAction::Run {
                    generation: id,
                    request,
                    demand,
                    work,
                });
                out.push(note("generation_started", request, None));
            }
        }
    }

    /// Lets a reservation lapse by the clock, also when no tick came in time.
    fn lapse_if_due(&mut self, now: Time, id: GenerationId, out: &mut Vec<AgentAction>) {
        let stage = self.find(id).map(|g| g.stage);
        if matches!(stage, Some(Stage::Reserved(until)) if until <= now) {
            self.lapse(now, id.serial, out);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn on_attach(
        &mut self,
        now: Time,
        from: SocketAddr,
        reader: RequestId,
        request: RequestId,
        id: GenerationId,
        workspace: &Name,
        token: u64,
        out: &mut Vec<AgentAction>,
    ) {
        self.lapse_if_due(now, id, out);
        let own =
            |g: &&mut Generation| g.offer.request == request && g.demand.workspace == *workspace;
        // A foreign workspace learns no more than that nothing is known.
        let standing = self.forgotten(id, request, Some(workspace));
        let Some(g) = self.find(id).filter(own) else {
            out.push(stand(from, reader, id, standing));
            return;
        };
        match g.attach(now, reader, from, token) {
            Ok(()) => out.extend(sends(g.messages(reader, true))),
            Err(standing) => out.push(stand(from, reader, id, standing)),
        }
    }

    fn on_ack(
        &mut self,
        now: Time,
        reader: RequestId,
        id: GenerationId,
        next: u64,
        out: &mut Vec<AgentAction>,
    ) {
        if let Some(g) = self.find(id) {
            g.ack(now, reader, next);
            out.extend(sends(g.messages(reader, false)));
        }
    }

    fn on_cancel(&mut self, now: Time, id: GenerationId, out: &mut Vec<AgentAction>) {
        let Some(g) = self.find(id) else {
            return;
        };
        match g.stage {
            Stage::Reserved(_) => self.lapse(now, id.serial, out),
            Stage::Running => self.stop(now, id, Code::Cancelled, out),
            Stage::Finished(_) => g.taken = true,
            Stage::Lapsed(_) => {}
        }
    }

    fn stop(&mut self, now: Time, id: GenerationId, code: Code, out: &mut Vec<AgentAction>) {
        out.push(AgentAction::Stop(id));
        self.end_with(now, id, code, "stopped", out);
    }

    fn on_tokens(
        &mut self,
        now: Time,
        id: GenerationId,
        tokens: &[Vec<u8>],
        out: &mut Vec<AgentAction>,
    ) {
        let Some(g) = self.find(id).filter(|g| g.is_running()) else {
            return;
        };
        g.heard = now;
        let before = g.log.bytes();
        for token in tokens {
            g.log.push(token);
        }
        let added = g.log.bytes() - before;
        out.extend(sends(g.messages_to_all()));
        let offer = g.offer;
        let produced = g.log.end();
        self.generations.grow(added, self.limits.max_bytes);
        self.admission.progress(now, offer, produced);
    }

    fn finish(&mut self, now: Time, id: GenerationId, finish: &Finish, out: &mut Vec<AgentAction>) {
        let Some(g) = self.find(id).filter(|g| g.is_running()) else {
            return;
        };
        g.stage = Stage::Finished(now);
        g.finish = Some(Finish {
            total: g.log.end(),
            ..finish.clone()
        });
        out.extend(sends(g.messages_to_all()));
        let offer = g.offer;
        let total = g.log.end();
        if finish.code == Code::Ok {
            self.admission.finish(offer);
        } else {
            self.admission.release(offer);
        }
        let event = note("generation_ended", offer.request, Some(finish.code));
        out.push(with_count(event, total));
    }

    fn end_with(
        &mut self,
        now: Time,
        id: GenerationId,
        code: Code,
        reason: &str,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(content) = self.find(id).map(|g| g.demand.content) else {
            return;
        };
        let crashes = self.quarantine.crashes(content);
        if let Some(finish) = self.find(id).map(|g| g.finish_with(code, reason, crashes)) {
            self.finish(now, id, &finish, out);
        }
    }

    fn on_not_started(
        &mut self,
        now: Time,
        id: GenerationId,
        code: Code,
        out: &mut Vec<AgentAction>,
    ) {
        if code == Code::NoUpstream {
            self.upstream_up = false;
        }
        self.end_with(now, id, code, "not started", out);
    }

    fn on_broken(&mut self, now: Time, id: GenerationId, out: &mut Vec<AgentAction>) {
        let most = self.limits.max_resumes;
        let Some(g) = self.find(id).filter(|g| g.is_running()) else {
            return;
        };
        if g.resumed >= most {
            self.on_lost(now, id, out);
            return;
        }
        g.resumed += 1;
        let from = g.log.end();
        out.push(AgentAction::Resume {
            generation: id,
            from,
        });
        out.push(note("upstream_stream_broken", id_request(g), None));
    }

    fn on_lost(&mut self, now: Time, id: GenerationId, out: &mut Vec<AgentAction>) {
        self.end_with(now, id, Code::UpstreamFailed, "upstream failed", out);
    }

    /// Counts a crash for all that ran, tells the fleet and ends them.
    fn on_upstream_down(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        self.upstream_up = false;
        let lost: Vec<(GenerationId, Digest, u8)> = self
            .generations
            .values()
            .filter(|g| g.is_running())
            .map(|g| (g.id, g.demand.content, g.demand.crashes))
            .collect();
        for (_, content, known) in &lost {
            let count = self
                .quarantine
                .crashes(*content)
                .max(*known)
                .saturating_add(1);
            if self.quarantine.learn(now, *content, count) {
                let content = *content;
                self.news.add(now, content, count);
                out.push(AgentAction::Broadcast(Message::Crashes { content, count }));
            }
        }
        for (id, _, _) in lost {
            self.on_lost(now, id, out);
        }
        out.push(AgentAction::Note(Note::new("upstream_down")));
    }

    fn on_leave(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        out.push(AgentAction::Note(Note::new("agent_leaving")));
        let is_waiting = |o: &Offered| matches!(o, Offered::Waiting(..));
        let waiting: Vec<(OfferId, Offered)> = self
            .offers
            .iter()
            .filter(|(_, o)| is_waiting(o))
            .map(|(id, o)| (*id, o.clone()))
            .collect();
        for (offer, state) in waiting {
            if let Offered::Waiting(to, _) = state {
                self.admission.release(offer);
                self.refuse(now, to, offer, Code::Leaving, LEAVING_RETRY, out);
            }
        }
    }

    fn on_tick(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        self.lapse_due(now, out);
        self.refuse_expired(now, out);
        self.drop_silent_readers(now);
        self.stop_unread(now, out);
        self.stop_stalled(now, out);
        self.forget_old(now);
        self.quarantine.expire(now);
        out.extend(self.news.due(now).into_iter().map(AgentAction::Broadcast));
    }

    fn lapse_due(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        let due = |g: &&Generation| matches!(g.stage, Stage::Reserved(until) if until <= now);
        let serials: Vec<u64> = self
            .generations
            .values()
            .filter(due)
            .map(|g| g.id.serial)
            .collect();
        for serial in serials {
            self.lapse(now, serial, out);
        }
    }

    fn refuse_expired(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        for offer in self.admission.expired(now) {
            let Some(Offered::Waiting(to, demand)) = self.offers.get(&offer).cloned() else {
                continue;
            };
            let retry = self.admission.expected_wait(demand.priority);
            self.refuse(now, to, offer, Code::Overloaded, retry, out);
        }
    }

    fn drop_silent_readers(&mut self, now: Time) {
        let limit = now - self.limits.reader_silence;
        if limit == Time::default() {
            return;
        }
        for g in self.generations.values_mut() {
            if matches!(g.stage, Stage::Running | Stage::Finished(_)) {
                g.drop_silent(now, limit);
            }
        }
    }

    fn stop_unread(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        let keep = self.limits.keep_unread;
        let unread = |g: &&Generation| {
            g.is_running() && g.unread_since.is_some_and(|t| now.since(t) >= keep)
        };
        let ids: Vec<GenerationId> = self
            .generations
            .values()
            .filter(unread)
            .map(|g| g.id)
            .collect();
        for id in ids {
            self.stop(now, id, Code::Cancelled, out);
        }
    }

    fn stop_stalled(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        let most = self.limits.max_stall;
        let stalled = |g: &&Generation| g.is_running() && now.since(g.heard) >= most;
        let ids: Vec<GenerationId> = self
            .generations
            .values()
            .filter(stalled)
            .map(|g| g.id)
            .collect();
        for id in ids {
            self.stop(now, id, Code::DeadlineExceeded, out);
        }
    }

    /// Forgets settled offers and ended answers whose time has come.
    fn forget_old(&mut self, now: Time) {
        let limits = self.limits;
        self.generations.forget(now, &limits);
        let held = &self.generations;
        self.offers.retain(|_, o| match o {
            Offered::Waiting(..) => true,
            Offered::Reserved(serial) => held.get(*serial).is_some(),
            Offered::Refused(_, at) => now.since(*at) < limits.remember,
        });
    }

    fn admit_waiting(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        if self.leaving || !self.upstream_up {
            return;
        }
        while let Some(offer) = self.admission.next(now) {
            match self.offers.remove(&offer) {
                Some(Offered::Waiting(to, demand)) => self.reserve(now, to, offer, demand, out),
                _ => self.admission.release(offer),
            }
        }
    }

    fn find(&mut self, id: GenerationId) -> Option<&mut Generation> {
        if id.incarnation != self.me.incarnation {
            return None;
        }
        self.generations.get_mut(id.serial)
    }

    /// How a generation stands that is no longer held.
    fn forgotten(
        &self,
        id: GenerationId,
        request: RequestId,
        workspace: Option<&Name>,
    ) -> Standing {
        if id.incarnation != self.me.incarnation {
            return Standing::Unknown;
        }
        self.generations.standing(id.serial, request, workspace)
    }

    const fn id_of(&self, serial: u64) -> GenerationId {
        GenerationId {
            incarnation: self.me.incarnation,
            serial,
        }
    }
}

fn id_request(g: &Generation) -> RequestId {
    g.offer.request
}

const fn queued(offer: OfferId, wait: Duration) -> Message {
    Message::Queued {
        request: offer.request,
        attempt: offer.attempt,
        wait,
    }
}

const fn refused(offer: OfferId, code: Code, retry_after: Duration) -> Message {
    Message::Refuse {
        request: offer.request,
        attempt: offer.attempt,
        code,
        retry_after,
    }
}

fn stand(
    to: SocketAddr,
    reader: RequestId,
    generation: GenerationId,
    standing: Standing,
) -> AgentAction {
    AgentAction::Send(
        to,
        Message::Stand {
            reader,
            generation,
            standing,
        },
    )
}

fn sends(messages: Vec<(SocketAddr, Message)>) -> impl Iterator<Item = AgentAction> {
    messages
        .into_iter()
        .map(|(to, message)| AgentAction::Send(to, message))
}

fn note(event: &'static str, request: RequestId, code: Option<Code>) -> AgentAction {
    let mut note = Note::new(event).request(request);
    note.code = code;
    AgentAction::Note(note)
}

fn with_count(action: AgentAction, count: u64) -> AgentAction {
    match action {
        AgentAction::Note(note) => AgentAction::Note(note.count(count)),
        other => other,
    }
}
