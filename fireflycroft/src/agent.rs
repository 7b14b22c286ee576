//! The agent, through which all requests to one upstream pass.
//!
//! It admits requests, grants reservations, starts generations, numbers their
//! tokens and stores them for readers that attach later. Time, messages and
//! upstream events come in as [`AgentEvent`]s; effects go out as
//! [`AgentAction`]s.

use crate::admit::Admission;
use crate::agent_crashes::content_limits;
use crate::code::Code;
use crate::crash_evidence::CrashEvidence;
use crate::generation::Generation;
use crate::generation_store::GenerationStore;
use crate::ids::{GenerationId, Name, Peer, RequestId};
use crate::log_event::LogEvent;
use crate::message::{ConfigVersion, Envelope, Finish, Load, Message, Standing};
use crate::offer::{AdmitPolicy, Capacity, OfferId, UpstreamReport};
use crate::order::{Order, Orders};
use crate::time::Time;
use crate::work::{Demand, Work};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Divisor of the VM's memory that gives the part for answers kept: their buffers, and what the allocator keeps of those
/// that an answer has passed through, take several times their bytes.
const KEPT_MEMORY_DIVISOR: u64 = 16;

/// Limits and timeouts of an agent.
#[derive(Clone, Copy, Debug)]
pub struct AgentLimits {
    /// Lifetime of a reservation that is not started.
    pub reservation_hold: Duration,
    /// Retention of a refused offer or expired reservation, so that duplicates
    /// of the offer get the same answer.
    pub offer_retention: Duration,
    /// Retention of a finished answer for readers.
    pub finished_retention: Duration,
    /// Time after which a generation without readers is stopped.
    pub unread_timeout: Duration,
    /// Time without output of the upstream after which a generation is stopped.
    pub stall_timeout: Duration,
    /// Time without messages after which a reader is dropped.
    pub reader_timeout: Duration,
    /// Total bytes of answers kept.
    pub max_bytes: usize,
    /// Total offers remembered.
    pub max_offers: usize,
    /// Reconnections of one broken upstream stream.
    pub max_resumes: u32,
}

impl AgentLimits {
    /// Returns the limits of an agent on a VM with so much memory in bytes.
    #[must_use]
    pub fn for_vm(memory: u64) -> Self {
        let limits = Self::default();
        let share = usize::try_from(memory / KEPT_MEMORY_DIVISOR).unwrap_or(usize::MAX);
        Self {
            max_bytes: share.min(limits.max_bytes),
            ..limits
        }
    }
}

impl Default for AgentLimits {
    fn default() -> Self {
        Self {
            reservation_hold: Duration::from_secs(2),
            offer_retention: Duration::from_mins(1),
            finished_retention: Duration::from_mins(1),
            unread_timeout: Duration::from_secs(30),
            stall_timeout: Duration::from_mins(10),
            reader_timeout: Duration::from_secs(5),
            max_bytes: 64 * 1024 * 1024,
            max_offers: 8_192,
            max_resumes: 3,
        }
    }
}

/// Initial settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSetup {
    /// The agent itself.
    pub me: Peer,
    /// Models or plain services of its upstream.
    pub serves: Vec<Name>,
    /// Admission policy.
    pub policy: AdmitPolicy,
    /// Capacity of its upstream.
    pub capacity: Capacity,
    /// Limits and timeouts.
    pub limits: AgentLimits,
}

/// Input of an agent.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// A message from another process of the fleet.
    Message(Box<Envelope>),
    /// The upstream opened the stream, at its start or when it is resumed.
    Opened {
        /// The generation.
        generation: GenerationId,
        /// Version of the upstream's software; `None` if it states none.
        software_version: Option<Name>,
    },
    /// The upstream produced tokens.
    Tokens {
        /// The generation.
        generation: GenerationId,
        /// The tokens, in order.
        tokens: Vec<Vec<u8>>,
    },
    /// The upstream completed the generation.
    Finished {
        /// The generation.
        generation: GenerationId,
        /// Result; `total` is set by the agent.
        finish: Finish,
    },
    /// The upstream refused the request, or it could not be sent.
    NotStarted {
        /// The generation.
        generation: GenerationId,
        /// Reason: a code of the class "not run".
        code: Code,
    },
    /// The stream from the upstream broke.
    Broken {
        /// The generation.
        generation: GenerationId,
    },
    /// The broken stream cannot be resumed.
    Lost {
        /// The generation.
        generation: GenerationId,
    },
    /// The upstream answers, but does not know the broken stream.
    Forgotten {
        /// The generation.
        generation: GenerationId,
    },
    /// The upstream does not answer; its generations are lost.
    UpstreamDown,
    /// The upstream answers.
    UpstreamUp,
    /// A delayed load report of the upstream.
    Report(UpstreamReport),
    /// The agent is to drain: it stops, or its upstream is reclaimed.
    Leave,
    /// The drain is cancelled.
    Stay,
    /// Models that the upstream holds now.
    Serves(Vec<Name>),
    /// The current fencing number, from the platform.
    Fence(u64),
    /// The upstream's answer to the forwarded order.
    OrderSettled(Code),
    /// A configuration became active here.
    Config(ConfigVersion),
    /// Timer tick.
    Tick,
}

/// Effect that an agent requests.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Send a message.
    Send(SocketAddr, Message),
    /// Send a message to every known member.
    Broadcast(Message),
    /// Run the work on the upstream.
    Run {
        /// The generation.
        generation: GenerationId,
        /// The request.
        request: RequestId,
        /// Its resource demand.
        demand: Demand,
        /// The work.
        work: Work,
    },
    /// Resume a broken stream at a token.
    Resume {
        /// The generation.
        generation: GenerationId,
        /// First token wanted.
        from: u64,
    },
    /// Stop a generation on the upstream.
    Stop(GenerationId),
    /// Forward an order to the upstream.
    Order(Order),
    /// Request the configuration of that process.
    PullConfig(SocketAddr),
    /// Event to log and count.
    LogEvent(LogEvent),
}

#[derive(Clone, Debug)]
pub(crate) enum OfferState {
    /// Waits for admission.
    Waiting(SocketAddr, Demand),
    /// Granted as the reservation with that serial number.
    Reserved(u64),
    /// Refused with that code at that time.
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
    pub(crate) offers: BTreeMap<OfferId, OfferState>,
    pub(crate) generations: GenerationStore,
    pub(crate) next_serial: u64,
    pub(crate) crash_evidence: CrashEvidence,
    /// Number of times that the upstream has ended.
    pub(crate) upstream_ends: u64,
    /// Whether it has evidence to tell, and when it last did.
    pub(crate) tells_crashes: bool,
    pub(crate) crashes_told: Time,
    pub(crate) upstream_up: bool,
    pub(crate) leaving: bool,
    pub(crate) orders: Orders,
    /// Recipient of the answer to the order in progress.
    pub(crate) issuer: Option<SocketAddr>,
}

pub(crate) const SHORT_RETRY_AFTER: Duration = Duration::from_millis(100);
pub(crate) const LONG_RETRY_AFTER: Duration = Duration::from_secs(1);
impl Agent {
    /// Creates an agent whose upstream is considered down.
    #[must_use]
    pub fn new(setup: AgentSetup) -> Self {
        Self {
            me: setup.me,
            serves: setup.serves,
            limits: setup.limits,
            config: ConfigVersion(0),
            admission: Admission::new(setup.policy, setup.capacity),
            offers: BTreeMap::new(),
            generations: GenerationStore::default(),
            next_serial: 1,
            crash_evidence: CrashEvidence::with_content_limits(content_limits()),
            upstream_ends: 0,
            tells_crashes: false,
            crashes_told: Time::default(),
            upstream_up: false,
            leaving: false,
            orders: Orders::default(),
            issuer: None,
        }
    }

    /// Handles one event at `now` and appends the resulting actions to `out`.
    pub fn on_event(&mut self, now: Time, event: AgentEvent, out: &mut Vec<AgentAction>) {
        match event {
            AgentEvent::Message(envelope) => self.on_message(now, *envelope, out),
            AgentEvent::Opened {
                generation,
                software_version,
            } => self.on_opened(now, generation, software_version, out),
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
            AgentEvent::Forgotten { generation } => self.on_forgotten(now, generation, out),
            AgentEvent::UpstreamDown => self.on_upstream_down(now, out),
            AgentEvent::UpstreamUp => self.upstream_up = true,
            AgentEvent::Report(report) => self.admission.record_report(report),
            AgentEvent::Leave => self.on_leave(now, out),
            AgentEvent::Stay => self.leaving = false,
            AgentEvent::Serves(models) => self.serves = models,
            AgentEvent::Fence(fence) => self.orders.observe_fence(fence),
            AgentEvent::OrderSettled(code) => self.on_order_settled(code, out),
            AgentEvent::Config(version) => self.config = self.config.max(version),
            AgentEvent::Tick => self.on_tick(now, out),
        }
        self.admit_waiting(now, out);
    }

    /// Returns the load to include in every message of this agent.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            leaving: self.leaving || !self.upstream_up,
            ..self.admission.load()
        }
    }

    /// Returns the number of running generations.
    #[must_use]
    pub fn running(&self) -> usize {
        self.generations.values().filter(|g| g.is_running()).count()
    }

    /// Returns the bytes of answers kept.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.generations.bytes()
    }

    /// Returns the number of offers remembered.
    #[must_use]
    pub fn offers(&self) -> usize {
        self.offers.len()
    }

    /// Returns whether a planned stop would interrupt nothing.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        !self.generations.values().any(Generation::blocks_shutdown)
    }

    /// Returns whether the agent refuses new work.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the number of quarantined digests.
    #[must_use]
    pub fn quarantined(&self) -> usize {
        self.crash_evidence.refused_contents()
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
                // Either side may lag behind; it must catch up before work runs.
                let config_differs = envelope.config != self.config;
                self.on_offer(now, from, offer, demand, max_wait, config_differs, out);
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
            Message::CrashNews(told) => self.on_crash_news(now, from, &told, out),
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

pub(crate) fn request_of(g: &Generation) -> RequestId {
    g.offer.request
}

pub(crate) const fn queued_message(offer: OfferId, wait: Duration) -> Message {
    Message::Queued {
        request: offer.request,
        attempt: offer.attempt,
        wait,
    }
}

pub(crate) const fn refusal_message(offer: OfferId, code: Code, retry_after: Duration) -> Message {
    Message::Refuse {
        request: offer.request,
        attempt: offer.attempt,
        code,
        retry_after,
    }
}

pub(crate) fn status_message(
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

pub(crate) fn send_actions(
    messages: Vec<(SocketAddr, Message)>,
) -> impl Iterator<Item = AgentAction> {
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
