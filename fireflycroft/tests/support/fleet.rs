//! Names, addresses, configurations and requests of the test fleet.

use fireflycroft::{
    AdmitPolicy, Agent, AgentLimits, AgentSetup, Brand, Capacity, Config, ConfigVersion, Delivery,
    Digest, Document, Entry, EntryLimits, EntrySetup, Incarnation, Inventory, Model, Name,
    NonRetryable, Peer, Priority, Role, RoutePolicy, Rules, Submission, WithoutKey, Work,
    Workspace, compile, digest_key,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub(crate) const ENTRIES: usize = 3;
pub(crate) const ENGINES: usize = 3;
/// Engines and one plain service.
pub(crate) const AGENTS: usize = ENGINES + 1;
pub(crate) const WORKSPACES: usize = 3;
pub(crate) const MODEL: &str = "model";
pub(crate) const SERVICE: &str = "records";

/// Bytes of whole answers that an entry buffers.
pub(crate) const MAX_HELD: usize = 2_048;

/// Calls in progress at an entry.
pub(crate) const MAX_CALLS: usize = 64;

/// Offers that an agent remembers.
pub(crate) const MAX_OFFERS: usize = 256;

/// Bytes of answers that an agent retains.
pub(crate) const MAX_BYTES: usize = 128 * 1_024;

/// Content that crashes every upstream that runs it.
pub(crate) const POISON: u8 = 6;
/// Content whose answer exceeds the entry's buffer.
pub(crate) const HUGE: u8 = 7;
/// Number of contents from which the fuzzer chooses.
pub(crate) const CONTENTS: u8 = 8;
/// Content whose answer exceeds any window; for named cases only.
pub(crate) const GIANT: u8 = 8;

/// Configuration versions divisible by this lack the last workspace.
const REDUCED_PERIOD: u64 = 3;

const ANSWER_TOKENS: [u64; 9] = [0, 1, 3, 12, 60, 400, 100, 300, 10_000];

/// Returns the number of tokens in a content's answer.
pub(crate) fn answer_tokens(content: u8) -> u64 {
    ANSWER_TOKENS[content as usize]
}

/// Index of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Proc {
    Entry(usize),
    Agent(usize),
}

impl Proc {
    pub(crate) fn addr(self) -> SocketAddr {
        let port = match self {
            Self::Entry(i) => 1_000 + i,
            Self::Agent(i) => 2_000 + i,
        };
        SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).unwrap()))
    }

    pub(crate) fn of(addr: SocketAddr) -> Self {
        let port = usize::from(addr.port());
        if port < 2_000 {
            Self::Entry(port - 1_000)
        } else {
            Self::Agent(port - 2_000)
        }
    }

    pub(crate) fn all() -> impl Iterator<Item = Self> {
        let entries = (0..ENTRIES).map(Self::Entry);
        entries.chain((0..AGENTS).map(Self::Agent))
    }

    pub(crate) fn peer(self, incarnation: u64) -> Peer {
        let (name, role) = match self {
            Self::Entry(i) => (format!("entry-{i}"), Role::Entry),
            Self::Agent(i) => (format!("agent-{i}"), Role::Agent),
        };
        let digest = Digest::of(&[name.as_bytes(), &incarnation.to_le_bytes()]).0;
        Peer {
            incarnation: Incarnation(u64::try_from(digest >> 64).unwrap()),
            name: Name::from(name),
            addr: self.addr(),
            role,
        }
    }
}

/// Routing policy of each entry; they differ to cover several.
const POLICIES: [RoutePolicy; ENTRIES] = [
    RoutePolicy::Expected,
    RoutePolicy::RoundRobin,
    RoutePolicy::TwoChoices,
];

/// Returns the targets that an agent's upstream serves.
pub(crate) fn serves(agent: usize) -> Vec<Name> {
    let target = if agent < ENGINES { MODEL } else { SERVICE };
    vec![Name::from(target)]
}

pub(crate) fn new_entry(i: usize, incarnation: u64) -> Entry {
    let seed = Digest::of(&[&i.to_le_bytes(), &incarnation.to_le_bytes()]);
    let mut bytes = [0; 32];
    bytes[..16].copy_from_slice(&seed.0.to_le_bytes());
    Entry::new(EntrySetup {
        data_centre: Name::from("dc"),
        policy: POLICIES[i],
        seed: bytes,
        limits: EntryLimits {
            max_answer_bytes: 1_024,
            max_buffered: MAX_HELD,
            max_offers: 2,
            max_calls: MAX_CALLS,
            ..EntryLimits::default()
        },
    })
}

pub(crate) fn new_agent(i: usize, incarnation: u64) -> Agent {
    Agent::new(AgentSetup {
        me: Proc::Agent(i).peer(incarnation),
        serves: serves(i),
        policy: AdmitPolicy::Expected,
        capacity: Capacity {
            tokens: 1_000,
            max_batch: 3,
            max_queue: 4,
        },
        limits: AgentLimits {
            max_bytes: MAX_BYTES,
            stall_timeout: Duration::from_mins(1),
            max_offers: MAX_OFFERS,
            ..AgentLimits::default()
        },
    })
}

/// Returns the configuration of that version; `conflicting` gives it another digest.
pub(crate) fn config(version: u64, conflicting: bool) -> Arc<Config> {
    let workspace_count = if version.is_multiple_of(REDUCED_PERIOD) {
        WORKSPACES - 1
    } else {
        WORKSPACES
    };
    let workspace = |i| Workspace {
        name: workspace_name(i),
        brand: Name::from("brand"),
        key_digests: vec![Name::from(
            blake3::hash(key_of(i).as_bytes()).to_hex().as_str(),
        )],
    };
    let doc = Document {
        inventory: Inventory {
            brands: vec![Brand {
                name: Name::from("brand"),
                models: vec![Name::from(MODEL)],
                services: vec![Name::from(SERVICE)],
            }],
            workspaces: (0..workspace_count).map(workspace).collect(),
            models: vec![Model {
                name: Name::from(MODEL),
                replicas: 1,
            }],
            services: vec![Name::from(SERVICE)],
        },
        rules: Rules {
            non_repeatable: vec![NonRetryable {
                target: Name::from(SERVICE),
                method: Some(Name::from("POST")),
                path: None,
                workspace: None,
            }],
            without_key: WithoutKey::RunOnce,
            interactive_wait_ms: 2_000,
            batch_wait_ms: 8_000,
            ..Rules::default()
        },
    };
    let digest = Digest::of(&[&version.to_le_bytes(), &[u8::from(conflicting)]]);
    Arc::new(compile(ConfigVersion(version), digest, &doc).unwrap())
}

pub(crate) fn workspace_name(i: usize) -> Name {
    Name::from(format!("workspace-{i}"))
}

fn key_of(workspace: usize) -> String {
    format!("key-{workspace}")
}

/// Kind of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A generation.
    #[default]
    Plain,
    /// A generation whose caller forbids retries.
    NeverRetry,
    /// A call of the plain service, for which a rule forbids retries.
    Service,
}

/// A caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallSpec {
    pub(crate) workspace: usize,
    pub(crate) content: u8,
    /// Number of the idempotency key.
    pub(crate) key: Option<u8>,
    pub(crate) kind: Kind,
    pub(crate) whole: bool,
    pub(crate) interactive: bool,
}

impl Default for CallSpec {
    fn default() -> Self {
        Self {
            workspace: 0,
            content: 3,
            key: None,
            kind: Kind::Plain,
            whole: false,
            interactive: true,
        }
    }
}

impl CallSpec {
    /// Returns whether it may run more than once.
    pub(crate) fn repeatable(&self) -> bool {
        self.key.is_none() && self.kind == Kind::Plain
    }

    /// Returns the longest wait before its start that the rules allow.
    pub(crate) fn max_wait(&self) -> Duration {
        Duration::from_secs(if self.interactive { 2 } else { 8 })
    }

    /// Returns the content digest, computed as the core does for a generation.
    pub(crate) fn digest(&self) -> Digest {
        Digest::of(&[MODEL.as_bytes(), &[self.content]])
    }

    pub(crate) fn submission(&self) -> Submission {
        let body: Arc<[u8]> = Arc::from([self.content].as_slice());
        let service = self.kind == Kind::Service;
        let work = if service {
            Work::Call {
                method: Name::from("POST"),
                path: Name::from("/file"),
                content_type: Name::from(""),
                body,
            }
        } else {
            Work::Generate { body }
        };
        Submission {
            key_digest: digest_key(&key_of(self.workspace)),
            target: Name::from(if service { SERVICE } else { MODEL }),
            method: Name::from("POST"),
            path: Name::from("/file"),
            work,
            priority: Some(if self.interactive {
                Priority::Interactive
            } else {
                Priority::Batch
            }),
            prompt_tokens: 20,
            max_tokens: 500,
            prefix: Digest(0),
            shared_parts: Vec::new(),
            delivery: if self.whole {
                Delivery::Whole
            } else {
                Delivery::Stream
            },
            idempotency_key: self.key.map(|k| Name::from(format!("once-{k}"))),
            never_retry: self.kind == Kind::NeverRetry,
            resume: None,
        }
    }
}

/// Returns the content of a piece of work.
pub(crate) fn content_of(work: &Work) -> u8 {
    match work {
        Work::Generate { body } | Work::Call { body, .. } => body[0],
    }
}
