//! An agent and the messages of prompts that crash its upstream: what it tells, and which offers it refuses.

use fireflycroft::{
    AdmitPolicy, Agent, AgentAction, AgentEvent, AgentLimits, AgentSetup, Capacity, Code,
    ConfigVersion, CrashId, CrashNews, CrashReport, Demand, Digest, Envelope, Incarnation, Message,
    PartId, Peer, Priority, Reach, RefusedSuspect, RequestId, Role, SoundSuspect, Suspect, Time,
};
use std::net::SocketAddr;
use std::time::Duration;

const BAD: PartId = PartId(0xbad);
const FIRST: PartId = PartId(0xf1);

macro_rules! cases {
    ($($name:ident($site:ident: $batch:literal) $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let mut $site = Site::new($batch);
                $body
            }
        )+
    };
}

/// An agent whose upstream runs a number of generations at once.
struct Site {
    agent: Agent,
    now: Time,
    out: Vec<AgentAction>,
}

fn peer(name: &str, role: Role) -> Peer {
    Peer {
        name: name.into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        incarnation: Incarnation(1),
        role,
    }
}

fn crash(ended: u64) -> CrashReport {
    CrashReport {
        ended: CrashId(ended),
        suspects: vec![Suspect::Part(FIRST), Suspect::Part(BAD)],
        begun: true,
        reach: Reach::default(),
        age: Duration::ZERO,
    }
}

impl Site {
    fn new(max_batch: u32) -> Self {
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

    fn apply(&mut self, event: AgentEvent) {
        self.agent.on_event(self.now, event, &mut self.out);
    }

    fn receive(&mut self, body: Message) {
        self.apply(AgentEvent::Message(Box::new(Envelope {
            from: peer("entry", Role::Entry),
            config: ConfigVersion(0),
            load: None,
            body,
        })));
    }

    fn offer(&mut self, request: u128, parts: &[PartId]) {
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

    fn told(&mut self, evidence: CrashNews) {
        self.receive(Message::CrashNews(evidence));
    }

    /// Returns the answers to an offer: the code of a refusal, or none for an acceptance.
    fn answers(&self, of: u128) -> Vec<Option<Code>> {
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

fn refused() -> CrashNews {
    let part = RefusedSuspect {
        suspect: Suspect::Part(BAD),
        crashes: 3,
        age: Duration::from_secs(1),
    };
    CrashNews {
        refused: vec![part],
        ..CrashNews::default()
    }
}

cases! {
    offer_of_a_refused_part_is_refused(site: 2) {
        site.told(refused());
        site.offer(1, &[FIRST, BAD]);
        site.offer(2, &[FIRST]);
        assert_eq!(site.answers(1), [Some(Code::PartRefused)]);
        assert_eq!(site.answers(2), [None]);
    }

    part_that_is_being_found_out_gets_no_final_refusal(site: 2) {
        let crashes = (1..=3).map(crash).collect();
        site.told(CrashNews { crashes, ..CrashNews::default() });
        site.offer(1, &[FIRST, BAD]);
        assert_eq!(site.answers(1), [Some(Code::Overloaded)]);
        site.now = site.now + Duration::from_secs(1);
        site.apply(AgentEvent::Tick);
        site.offer(2, &[FIRST, BAD]);
        assert_eq!(site.answers(2), [Some(Code::PartRefused)]);
    }

    waiting_offer_is_refused_with_its_part(site: 1) {
        site.offer(1, &[FIRST]);
        site.offer(2, &[FIRST, BAD]);
        assert_eq!((site.answers(1), site.answers(2)), (vec![None], Vec::new()));
        site.told(refused());
        assert_eq!(site.answers(2), [Some(Code::PartRefused)]);
    }

    sound_part_is_released(site: 2) {
        site.told(refused());
        let sound = SoundSuspect { suspect: Suspect::Part(BAD), age: Duration::ZERO };
        site.told(CrashNews { sound: vec![sound], ..CrashNews::default() });
        site.offer(1, &[BAD]);
        assert_eq!(site.answers(1), [None]);
    }
}
