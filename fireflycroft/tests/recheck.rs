//! A call is checked again if the configuration changes before its start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflycroft::{
    Brand, CallId, Code, Config, ConfigVersion, Delivery, Digest, Document, Entry, EntryAction,
    EntryEvent, EntryLimits, EntrySetup, Envelope, GenerationId, Incarnation, Inventory,
    MemberRecord, MemberState, Message, Model, Name, Peer, Reply, RequestId, Role, RoutePolicy,
    Rules, Submission, Time, Work, Workspace, compile, digest_key,
};

const KEY: &str = "key";
const CALL: CallId = CallId(1);

fn config(version: u64, workspaces: &[&str], models: &[&str]) -> Arc<Config> {
    let digest: Name = blake3::hash(KEY.as_bytes()).to_hex().as_str().into();
    let workspace = |name: &&str| Workspace {
        name: Name::from(*name),
        brand: "brand".into(),
        key_digests: vec![digest.clone()],
    };
    let model = |name: &str| Model {
        name: name.into(),
        replicas: 1,
    };
    let doc = Document {
        inventory: Inventory {
            brands: vec![Brand {
                name: "brand".into(),
                models: models.iter().map(|m| Name::from(*m)).collect(),
                services: Vec::new(),
            }],
            workspaces: workspaces.iter().map(workspace).collect(),
            models: vec![model("model"), model("other")],
            services: Vec::new(),
        },
        rules: Rules::default(),
    };
    let compiled = compile(ConfigVersion(version), Digest(version.into()), &doc);
    Arc::new(compiled.expect("no faults"))
}

fn peer(n: u16) -> Peer {
    Peer {
        name: format!("agent-{n}").into(),
        addr: SocketAddr::from(([127, 0, 0, 1], n)),
        incarnation: Incarnation(n.into()),
        role: Role::Agent,
    }
}

fn submission() -> Submission {
    Submission {
        key_digest: digest_key(KEY),
        target: "model".into(),
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        work: Work::Generate {
            body: Arc::from(*b"{}"),
        },
        priority: None,
        prompt_tokens: 1,
        max_tokens: 9,
        prefix: Digest(0),
        shared_parts: Vec::new(),
        delivery: Delivery::Whole,
        idempotency_key: None,
        never_retry: false,
        resume: None,
    }
}

struct World {
    entry: Entry,
    out: Vec<EntryAction>,
    now: Time,
}

impl World {
    /// Creates an entry with two agents whose first call has a pending offer.
    fn with_pending_offer() -> Self {
        let entry = Entry::new(EntrySetup {
            data_centre: "dc1".into(),
            policy: RoutePolicy::RoundRobin,
            seed: [7; 32],
            limits: EntryLimits::default(),
        });
        let mut world = Self {
            now: Time::from_millis(1),
            entry,
            out: Vec::new(),
        };
        world.apply(EntryEvent::Config(config(1, &["desk"], &["model"])));
        for n in [1, 2] {
            world.apply(EntryEvent::Member(MemberRecord {
                peer: peer(n),
                data_centre: "dc1".into(),
                state: MemberState::Alive,
                revision: 0,
                serves: vec!["model".into()],
            }));
        }
        world.apply(EntryEvent::Submit(CALL, Box::new(submission())));
        world
    }

    fn apply(&mut self, event: EntryEvent) {
        self.entry.on_event(self.now, event, &mut self.out);
    }

    /// Advances time by `count` ticks of 50 ms.
    fn ticks(&mut self, count: u32) {
        for _ in 0..count {
            self.now = self.now + Duration::from_millis(50);
            self.apply(EntryEvent::Tick);
        }
    }

    /// Returns the request, attempt and agent of the last offer.
    fn last_offer(&self) -> (RequestId, u32, u16) {
        let offer = |action: &EntryAction| match action {
            EntryAction::Send(
                to,
                Message::Offer {
                    request, attempt, ..
                },
            ) => Some((*request, *attempt, to.port())),
            _ => None,
        };
        self.out.iter().rev().find_map(offer).expect("an offer")
    }

    fn answer(&mut self, config: u64, body: impl Fn(RequestId, u32) -> Message) {
        let (request, attempt, agent) = self.last_offer();
        self.apply(EntryEvent::Message(Box::new(Envelope {
            from: peer(agent),
            config: ConfigVersion(config),
            load: None,
            body: body(request, attempt),
        })));
    }

    fn refuse(&mut self, config: u64) {
        self.answer(config, |request, attempt| Message::Refuse {
            request,
            attempt,
            code: Code::ConfigOutdated,
            retry_after: Duration::ZERO,
        });
    }

    fn accept(&mut self, config: u64) {
        self.answer(config, |request, attempt| Message::Accept {
            request,
            attempt,
            generation: GenerationId {
                incarnation: Incarnation(1),
                serial: 1,
            },
            hold: Duration::from_secs(2),
        });
    }

    fn ended_with(&self) -> Option<Code> {
        let fail = |action: &EntryAction| match action {
            EntryAction::Reply(_, Reply::Fail { code, .. }) => Some(*code),
            _ => None,
        };
        self.out.iter().find_map(fail)
    }

    fn offers(&self) -> usize {
        let is_offer = |a: &&EntryAction| matches!(a, EntryAction::Send(_, Message::Offer { .. }));
        self.out.iter().filter(is_offer).count()
    }

    fn started(&self) -> bool {
        let is_start = |a: &EntryAction| matches!(a, EntryAction::Send(_, Message::Start { .. }));
        self.out.iter().any(is_start)
    }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: |$world:ident| $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut $world = World::with_pending_offer();
            $body
        }
    )*};
}

cases! {
    /// The agent has a newer version: nothing is offered until this entry has it too.
    refused_while_behind: |world| {
        world.refuse(2);
        world.ticks(30);
        assert_eq!((world.ended_with(), world.offers()), (None, 1));
        world.ticks(20);
        assert_eq!(world.ended_with(), Some(Code::ConfigOutdated));
        assert_eq!(world.offers(), 1);
    }

    key_removed_before_the_next_offer: |world| {
        world.apply(EntryEvent::Config(config(2, &[], &["model"])));
        world.refuse(2);
        world.ticks(2);
        assert_eq!(world.ended_with(), Some(Code::KeyRefused));
        assert_eq!(world.offers(), 1);
    }

    key_moved_before_the_next_offer: |world| {
        world.apply(EntryEvent::Config(config(2, &["lab"], &["model"])));
        world.refuse(2);
        world.ticks(2);
        assert_eq!(world.ended_with(), Some(Code::KeyRefused));
    }

    model_removed_before_the_next_offer: |world| {
        world.apply(EntryEvent::Config(config(2, &["desk"], &["other"])));
        world.refuse(2);
        world.ticks(2);
        assert_eq!(world.ended_with(), Some(Code::ModelUnknown));
    }

    key_removed_before_the_start: |world| {
        world.apply(EntryEvent::Config(config(2, &[], &["model"])));
        world.accept(2);
        assert_eq!(world.ended_with(), Some(Code::KeyRefused));
        assert!(!world.started());
    }

    still_allowed: |world| {
        world.apply(EntryEvent::Config(config(2, &["desk"], &["model"])));
        world.refuse(2);
        world.ticks(2);
        assert_eq!((world.ended_with(), world.offers()), (None, 2));
        world.accept(2);
        assert!(world.started());
    }
}
