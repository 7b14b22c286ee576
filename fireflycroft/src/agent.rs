//! The agent: the only door to one upstream.
//!
//! It reserves, admits, starts, numbers the tokens and keeps them for readers
//! to come. Time, messages and what the upstream does come in as
//! [`AgentEvent`]s; what is to be done comes out as [`AgentAction`]s.

use crate::admit::Admission;
use crate::code::Code;
use crate::generation::Generation;
use crate::ids::{GenerationId, Name, Peer, RequestId};
use crate::log_event::LogEvent;
use crate::message::{ConfigVersion, Envelope, Finish, Load, Message, Standing};
use crate::news::News;
use crate::offer::{AdmitPolicy, Capacity, OfferId, UpstreamReport};
use crate::order::{Order, Orders};
use crate::quarantine::Quarantine;
use crate::store::Store;
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
    LogEvent(LogEvent),
}

#[derive(Clone, Debug)]
pub(crate) enum Offered {
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
    pub(crate) me: Peer,
    pub(crate) serves: Vec<Name>,
    pub(crate) limits: AgentLimits,
    pub(crate) config: ConfigVersion,
    pub(crate) admission: Admission,
    pub(crate) offers: BTreeMap<OfferId, Offered>,
    pub(crate) generations: Store,
    pub(crate) next_serial: u64,
    pub(crate) quarantine: Quarantine,
    pub(crate) news: News,
    pub(crate) upstream_up: bool,
    pub(crate) leaving: bool,
    pub(crate) orders: Orders,
    /// Where the answer to the order under way goes.
    pub(crate) issuer: Option<SocketAddr>,
}

pub(crate) const LEAVING_RETRY: Duration = Duration::from_millis(100);
pub(crate) const DOWN_RETRY: Duration = Duration::from_secs(1);
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

    pub(crate) const fn id_of(&self, serial: u64) -> GenerationId {
        GenerationId {
            incarnation: self.me.incarnation,
            serial,
        }
    }
}

pub(crate) fn id_request(g: &Generation) -> RequestId {
    g.offer.request
}

pub(crate) const fn queued(offer: OfferId, wait: Duration) -> Message {
    Message::Queued {
        request: offer.request,
        attempt: offer.attempt,
        wait,
    }
}

pub(crate) const fn refused(offer: OfferId, code: Code, retry_after: Duration) -> Message {
    Message::Refuse {
        request: offer.request,
        attempt: offer.attempt,
        code,
        retry_after,
    }
}

pub(crate) fn stand(
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

pub(crate) fn sends(messages: Vec<(SocketAddr, Message)>) -> impl Iterator<Item = AgentAction> {
    messages
        .into_iter()
        .map(|(to, message)| AgentAction::Send(to, message))
}

pub(crate) fn note(event: &'static str, request: RequestId, code: Option<Code>) -> AgentAction {
    let mut note = LogEvent::new(event).request(request);
    note.code = code;
    AgentAction::LogEvent(note)
}

pub(crate) fn with_count(action: AgentAction, count: u64) -> AgentAction {
    match action {
        AgentAction::LogEvent(note) => AgentAction::LogEvent(note.count(count)),
        other => other,
    }
}
