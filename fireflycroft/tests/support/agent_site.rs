//! An agent and the messages that it is sent.

#![allow(dead_code, reason = "each test file uses a part")]

use fireflycroft::{
    AdmitPolicy, Agent, AgentAction, AgentEvent, AgentLimits, AgentSetup, Capacity, Code,
    ConfigVersion, Demand, Digest, Envelope, GenerationId, Incarnation, Message, PartId, Peer,
    Priority, RequestId, Role, Time, Work,
};
use std::net::SocketAddr;
use std::time::Duration;

/// An agent whose upstream runs a number of generations at once.
pub(crate) struct Site {
    agent: Agent,
    pub(crate) now: Time,
    pub(crate) out: Vec<AgentAction>,
}

fn peer(name: &str, role: Role) -> Peer {
    Peer {
        name: name.into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        incarnation: Incarnation(1),
        role,
    }
}

impl Site {
    pub(crate) fn new(max_batch: u32) -> Self {
        let agent = Agent::new(AgentSetup {
            me: peer("agent", Role::Agent),
            serves: vec!["model".into()],
            policy: AdmitPolicy::Expected,
            capacity: Capacity {
                tokens: 1_000,
                max_batch,
                max_queue: 4,
            },
            limits: AgentLimits::default(),
        });
        let mut site = Self {
            agent,
            now: Time::from_millis(1_000),
            out: Vec::new(),
        };
        site.apply(AgentEvent::UpstreamUp);
        site
    }

    /// Returns an agent with a running generation, that of request 1.
    pub(crate) fn running() -> (Self, GenerationId) {
        let mut site = Self::new(1);
        let generation = site.start(1);
        (site, generation)
    }

    /// Offers a request, which the agent must accept at once, and starts it.
    pub(crate) fn start(&mut self, request: u128) -> GenerationId {
        self.offer(request, &[]);
        assert_eq!(self.answers(request), [None]);
        let accepted = self.out.iter().find_map(|action| match action {
            AgentAction::Send(
                _,
                Message::Accept {
                    request: of,
                    generation,
                    ..
                },
            ) if of.0 == request => Some(*generation),
            _ => None,
        });
        let generation = accepted.expect("an idle agent accepts");
        let body = b"{}".as_slice().into();
        self.receive(Message::Start {
            request: RequestId(request),
            generation,
            work: Work::Generate { body },
        });
        generation
    }

    pub(crate) fn apply(&mut self, event: AgentEvent) {
        self.agent.on_event(self.now, event, &mut self.out);
    }

    pub(crate) fn receive(&mut self, body: Message) {
        self.apply(AgentEvent::Message(Box::new(Envelope {
            from: peer("entry", Role::Entry),
            config: ConfigVersion(0),
            load: None,
            body,
        })));
    }

    pub(crate) fn offer(&mut self, request: u128, parts: &[PartId]) {
        self.receive(Message::Offer {
            request: RequestId(request),
            attempt: 1,
            demand: Demand {
                workspace: "desk".into(),
                target: "model".into(),
                priority: Priority::Interactive,
                prompt_tokens: 10,
                max_tokens: 10,
                prefix: Digest(0),
                shared_parts: parts.to_vec(),
                content: Digest(request),
                retryable: true,
                crashes: 0,
            },
            max_wait: Duration::from_secs(5),
        });
    }

    /// Returns the answers to an offer: the code of a refusal, or none for an acceptance.
    pub(crate) fn answers(&self, of: u128) -> Vec<Option<Code>> {
        let answer = |action: &AgentAction| match action {
            AgentAction::Send(_, Message::Refuse { request, code, .. }) if request.0 == of => {
                Some(Some(*code))
            }
            AgentAction::Send(_, Message::Accept { request, .. }) if request.0 == of => Some(None),
            _ => None,
        };
        self.out.iter().filter_map(answer).collect()
    }
}
