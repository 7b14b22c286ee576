//! How an entry counts its requests against their objectives.

use fireflycroft::{
    Brand, CallId, Chunk, Code, ConfigVersion, Delivery, Digest, Document, Entry, EntryAction,
    EntryEvent, EntryLimits, EntrySetup, Envelope, Finish, GenerationId, Incarnation, Inventory,
    Load, MeasuredRequest, MemberRecord, MemberState, Message, Model, Name, Objective, Peer,
    Priority, RequestId, Role, RoutePolicy, Rules, Submission, Time, Work, Workspace, compile,
    digest_key,
};
use std::sync::Arc;
use std::time::Duration;

const CALL: CallId = CallId(1);
const FIRST_MS: u64 = 100;
const BETWEEN_MS: u64 = 20;

fn document() -> Document {
    let key = blake3::Hash::from_bytes(digest_key("key")).to_hex();
    let mut rules = Rules::default();
    rules.objectives.push(Objective {
        brand: None,
        priority: Priority::Interactive,
        first_token_ms: FIRST_MS,
        between_tokens_ms: BETWEEN_MS,
        per_mille: 950,
    });
    Document {
        inventory: Inventory {
            brands: vec![Brand {
                name: "brand".into(),
                models: vec!["model".into()],
                services: Vec::new(),
            }],
            workspaces: vec![Workspace {
                name: "desk".into(),
                brand: "brand".into(),
                key_digests: vec![key.as_str().into()],
            }],
            models: vec![Model {
                name: "model".into(),
                replicas: 1,
            }],
            services: Vec::new(),
        },
        rules,
    }
}

fn agent() -> Peer {
    Peer {
        name: "agent".into(),
        addr: ([127, 0, 0, 1], 7_000).into(),
        incarnation: Incarnation(1),
        role: Role::Agent,
    }
}

fn submission(key: &str, priority: Priority) -> Submission {
    Submission {
        key_digest: digest_key(key),
        target: "model".into(),
        method: "POST".into(),
        path: "/".into(),
        work: Work::Generate {
            body: Arc::from(&b"{}"[..]),
        },
        priority: Some(priority),
        prompt_tokens: 1,
        max_tokens: 100,
        prefix: Digest(0),
        shared_parts: Vec::new(),
        delivery: Delivery::Stream,
        idempotency_key: None,
        never_retry: false,
        resume: None,
    }
}

struct World {
    entry: Entry,
    now: Time,
    out: Vec<EntryAction>,
    sent: u64,
}

const GENERATION: GenerationId = GenerationId {
    incarnation: Incarnation(1),
    serial: 1,
};

impl World {
    fn new() -> Self {
        let entry = Entry::new(EntrySetup {
            data_centre: "dc".into(),
            policy: RoutePolicy::RoundRobin,
            seed: [1; 32],
            limits: EntryLimits::default(),
        });
        let mut world = Self {
            entry,
            now: Time::from_millis(1),
            out: Vec::new(),
            sent: 0,
        };
        let config = compile(ConfigVersion(1), Digest(1), &document()).expect("a valid document");
        world.on_event(EntryEvent::Config(Arc::new(config)));
        world.on_event(EntryEvent::Member(MemberRecord {
            peer: agent(),
            data_centre: "dc".into(),
            state: MemberState::Alive,
            revision: 0,
            serves: vec!["model".into()],
        }));
        world
    }

    fn on_event(&mut self, event: EntryEvent) {
        self.entry.on_event(self.now, event, &mut self.out);
    }

    fn submit(&mut self, key: &str, priority: Priority) {
        self.on_event(EntryEvent::Submit(
            CALL,
            Box::new(submission(key, priority)),
        ));
    }

    fn request(&self) -> RequestId {
        let offered = |action: &EntryAction| match action {
            EntryAction::Send(_, Message::Offer { request, .. }) => Some(*request),
            _ => None,
        };
        self.out.iter().find_map(offered).expect("an offer")
    }

    fn receive(&mut self, body: Message) {
        let envelope = Envelope {
            from: agent(),
            config: ConfigVersion(1),
            load: Some(Load::default()),
            body,
        };
        self.on_event(EntryEvent::Message(Box::new(envelope)));
    }

    fn begin(&mut self) {
        self.submit("key", Priority::Interactive);
        self.receive(Message::Accept {
            request: self.request(),
            attempt: 1,
            generation: GENERATION,
            hold: Duration::from_secs(2),
        });
    }

    /// Delivers one token after `after_ms` milliseconds.
    fn token(&mut self, after_ms: u64) {
        self.now = self.now + Duration::from_millis(after_ms);
        let mut chunk = Chunk {
            offset: self.sent,
            ..Chunk::default()
        };
        chunk.push(b"token ");
        self.sent += 1;
        self.tokens(chunk, None);
    }

    fn tokens(&mut self, chunk: Chunk, finish: Option<Finish>) {
        self.receive(Message::Tokens {
            reader: self.request(),
            generation: GENERATION,
            chunk,
            finish,
        });
    }

    fn end(&mut self, code: Code) {
        let chunk = Chunk {
            offset: self.sent,
            ..Chunk::default()
        };
        let finish = Finish {
            total: self.sent,
            code,
            reason: "stop".into(),
            status: 0,
            content_type: "".into(),
            prompt_tokens: 1,
            preemptions: 0,
            crashes: 0,
            ended: None,
        };
        self.tokens(chunk, Some(finish));
    }

    fn measured(&self) -> Vec<&MeasuredRequest> {
        self.out.iter().filter_map(measured_of).collect()
    }

    fn met(&self) -> Option<bool> {
        let all = self.measured();
        assert_eq!(all.len(), 1, "counted once");
        assert_eq!(all[0].brand, Name::from("brand"));
        all[0].met
    }
}

const fn measured_of(action: &EntryAction) -> Option<&MeasuredRequest> {
    match action {
        EntryAction::Measured(measured) => Some(measured),
        _ => None,
    }
}

macro_rules! cases {
    ($($name:ident: |$world:ident| $body:block)+) => {
        $(#[test]
        fn $name() {
            let mut $world = World::new();
            $body
        })+
    };
}

cases! {
    in_time_throughout: |world| {
        world.begin();
        world.token(FIRST_MS);
        (0..30).for_each(|_| world.token(BETWEEN_MS));
        world.end(Code::Ok);
        assert_eq!(world.met(), Some(true));
    }

    first_token_late: |world| {
        world.begin();
        world.token(FIRST_MS + 1);
        world.end(Code::Ok);
        assert_eq!(world.met(), Some(false));
    }

    one_late_token_in_twenty_is_allowed: |world| {
        world.begin();
        world.token(1);
        (0..18).for_each(|_| world.token(1));
        world.token(BETWEEN_MS + 1);
        world.end(Code::Ok);
        assert_eq!(world.met(), Some(true));
    }

    two_late_tokens_in_twenty_are_not: |world| {
        world.begin();
        world.token(1);
        (0..17).for_each(|_| world.token(1));
        world.token(BETWEEN_MS + 1);
        world.token(BETWEEN_MS + 1);
        world.end(Code::Ok);
        assert_eq!(world.met(), Some(false));
    }

    a_failed_upstream_counts_against_it: |world| {
        world.begin();
        world.token(1);
        world.end(Code::UpstreamFailed);
        assert_eq!(world.met(), Some(false));
    }

    no_objective_no_count: |world| {
        world.submit("key", Priority::Batch);
        world.on_event(EntryEvent::CallerGone(CALL));
        assert!(world.measured().iter().all(|m| m.met.is_none()));
    }

    a_wrong_key_is_a_caller_error: |world| {
        world.submit("another", Priority::Interactive);
        let all = world.measured();
        assert_eq!((all.len(), all[0].met, all[0].code), (1, None, Code::KeyRefused));
    }

    a_stopping_entry_counts_against_it: |world| {
        world.on_event(EntryEvent::Leave);
        world.submit("key", Priority::Interactive);
        assert_eq!(world.met(), Some(false));
    }
}
