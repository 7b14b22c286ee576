//! Validation, look-ups and version order of configurations.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{
    ActiveConfig, AdoptOutcome, Brand, CompleteConfig, Config, ConfigTransfer, ConfigVersion,
    Digest, Document, Inventory, MAX_NAME, Message, Model, Name, NonRetryable, Objective, Part,
    Priority, PriorityRule, Progress, Quota, ReceivedPart, Rules, Snapshot, WithoutKey, Workspace,
    WorkspaceIx, compile, compile_parts, digest_key, split,
};
use proptest::prelude::*;
use proptest::test_runner::{Config as RunConfig, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::collections::BTreeMap;
use std::sync::{Arc, LazyLock};
use std::time::Duration;

/// Defines one test per invalid change of the document and the faults expected.
macro_rules! faults {
    ($($name:ident: $change:expr => [$($field:literal: $text:literal),* $(,)?];)+) => {
        $(
            #[test]
            fn $name() {
                let mut doc = document();
                let change: fn(&mut Document) = $change;
                change(&mut doc);
                assert_eq!(faults_of(&doc), [$(format!("{}: {}", $field, $text)),*] as [String; _]);
            }
        )+
    };
}

fn name(text: &str) -> Name {
    Name::from(text)
}

fn hex(key: &str) -> Name {
    blake3::hash(key.as_bytes()).to_hex().as_str().into()
}

fn document() -> Document {
    let brand = |text: &str, models: &[&str]| Brand {
        name: name(text),
        models: models.iter().copied().map(name).collect(),
        services: vec![name("records")],
    };
    let workspace = |text: &str, brand: &str| Workspace {
        name: name(text),
        brand: name(brand),
        key_digests: vec![hex(text)],
    };
    let model = |text: &str| Model {
        name: name(text),
        replicas: 2,
    };
    Document {
        inventory: Inventory {
            brands: vec![brand("one", &["model-a"]), brand("two", &["model-b"])],
            workspaces: vec![workspace("desk", "one"), workspace("lab", "two")],
            models: vec![model("model-a"), model("model-b")],
            services: vec![name("records")],
        },
        rules: rules(),
    }
}

fn rules() -> Rules {
    let objective = |brand: Option<&str>, priority, first_token_ms| Objective {
        brand: brand.map(name),
        priority,
        first_token_ms,
        between_tokens_ms: 100,
        per_mille: 990,
    };
    Rules {
        priorities: vec![PriorityRule {
            workspace: name("desk"),
            default: Priority::Interactive,
            highest: Priority::Interactive,
        }],
        quotas: vec![Quota {
            workspace: name("lab"),
            tokens_per_minute: 500,
        }],
        non_repeatable: vec![
            NonRetryable {
                target: name("records"),
                method: Some(name("POST")),
                path: Some(name("/dossiers")),
                workspace: None,
            },
            NonRetryable {
                target: name("model-b"),
                method: None,
                path: None,
                workspace: Some(name("lab")),
            },
        ],
        objectives: vec![
            objective(None, Priority::Interactive, 1_000),
            objective(Some("one"), Priority::Interactive, 500),
        ],
        ..Rules::default()
    }
}

fn compiled(doc: &Document) -> Config {
    compile(ConfigVersion(1), Digest(1), doc).unwrap()
}

fn faults_of(doc: &Document) -> Vec<String> {
    match compile(ConfigVersion(1), Digest(1), doc) {
        Ok(_) => Vec::new(),
        Err(faults) => faults
            .iter()
            .map(|f| format!("{}: {}", f.field, f.text))
            .collect(),
    }
}

fn workspace_ix(config: &Config, key: &str) -> WorkspaceIx {
    config.workspace_of_key(&digest_key(key)).unwrap()
}

faults! {
    valid_document: |_| {} => [];
    empty_document: |doc| *doc = Document::default() => [];
    brand_used_twice: |doc| doc.inventory.brands[1].name = name("one") => [
        "brands[1].name": "used twice: \"one\"",
        "workspaces[1].brand": "no such brand: \"two\"",
    ];
    empty_brand: |doc| {
        doc.inventory.brands.push(Brand { name: name(""), models: vec![], services: vec![] });
    } => ["brands[2].name": "empty"];
    brand_with_unknown_targets: |doc| {
        doc.inventory.brands[0].models.push(name("model-x"));
        doc.inventory.brands[0].services.push(name("mail"));
    } => [
        "brands[0].models[1]": "no such model: \"model-x\"",
        "brands[0].services[1]": "no such service: \"mail\"",
    ];
    workspace_used_twice: |doc| doc.inventory.workspaces[1].name = name("desk") => [
        "workspaces[1].name": "used twice: \"desk\"",
        "quotas[0].workspace": "no such workspace: \"lab\"",
        "non_repeatable[1].workspace": "no such workspace: \"lab\"",
    ];
    unknown_brand_makes_no_further_faults: |doc| {
        doc.inventory.workspaces[0].brand = name("three");
    } => ["workspaces[0].brand": "no such brand: \"three\""];
    name_with_a_space: |doc| doc.inventory.services.push(name("a b")) => [
        "services[1]": "holds a space or control character: \"a b\"",
    ];
    name_that_is_too_long: |doc| doc.inventory.services.push("x".repeat(MAX_NAME + 1).into()) => [
        "services[1]": "129 bytes, at most 128",
    ];
    key_that_is_no_digest_is_not_shown: |doc| {
        doc.inventory.workspaces[0].key_digests[0] = name("demo-key-1");
    } => ["workspaces[0].key_digests[0]": "not 64 hexadecimal digits"];
    key_held_twice: |doc| {
        let key = doc.inventory.workspaces[0].key_digests[0].clone();
        doc.inventory.workspaces[1].key_digests.push(key);
    } => ["workspaces[1].key_digests[1]": "held already, here or elsewhere"];
    key_held_twice_in_other_case: |doc| {
        let key = doc.inventory.workspaces[0].key_digests[0].to_uppercase();
        doc.inventory.workspaces[0].key_digests.push(key.into());
    } => ["workspaces[0].key_digests[1]": "held already, here or elsewhere"];
    model_used_twice: |doc| doc.inventory.models.push(doc.inventory.models[0].clone()) => [
        "models[2].name": "used twice: \"model-a\"",
    ];
    service_named_as_a_model: |doc| doc.inventory.services.push(name("model-a")) => [
        "services[1]": "a model has that name: \"model-a\"",
    ];
    priority_of_unknown_workspace: |doc| doc.rules.priorities[0].workspace = name("shed") => [
        "priorities[0].workspace": "no such workspace: \"shed\"",
    ];
    priority_named_twice: |doc| doc.rules.priorities.push(doc.rules.priorities[0].clone()) => [
        "priorities[1].workspace": "named twice: \"desk\"",
    ];
    default_above_the_highest: |doc| doc.rules.priorities[0].highest = Priority::Batch => [
        "priorities[0].default": "higher than the highest",
    ];
    quota_named_twice_and_unknown: |doc| {
        doc.rules.quotas.push(doc.rules.quotas[0].clone());
        doc.rules.quotas.push(Quota { workspace: name("shed"), tokens_per_minute: 1 });
    } => [
        "quotas[1].workspace": "named twice: \"lab\"",
        "quotas[2].workspace": "no such workspace: \"shed\"",
    ];
    call_of_nothing_known: |doc| {
        doc.rules.non_repeatable[0] = NonRetryable {
            target: name("mail"),
            method: None,
            path: Some(name("dossiers")),
            workspace: Some(name("shed")),
        };
    } => [
        "non_repeatable[0].target": "no such model or service: \"mail\"",
        "non_repeatable[0].path": "doesn't begin with /: \"dossiers\"",
        "non_repeatable[0].workspace": "no such workspace: \"shed\"",
    ];
    objectives_at_fault: |doc| {
        doc.rules.objectives[0].per_mille = 1_001;
        doc.rules.objectives[1].brand = Some(name("three"));
        doc.rules.objectives.push(doc.rules.objectives[0].clone());
        doc.rules.objectives[2].per_mille = 0;
    } => [
        "objectives[0].per_mille": "over 1000: 1001",
        "objectives[1].brand": "no such brand: \"three\"",
        "objectives[2].priority": "there is one of this brand and priority already",
    ];
}

cases! {
    key_finds_its_workspace => {
        let config = compiled(&document());
        let ix = workspace_ix(&config, "lab");
        assert_eq!(&**config.workspace_name(ix), "lab");
        assert_eq!(&**config.brand_name(ix), "two");
        assert_eq!(config.workspace_of_key(&digest_key("none")), None);
        assert_eq!(config.workspaces(), 2);
    };
    brand_may_use_its_own_targets_alone => {
        let config = compiled(&document());
        let ix = workspace_ix(&config, "lab");
        assert!(config.may_use(ix, "model-b") && config.may_use(ix, "records"));
        assert!(!config.may_use(ix, "model-a") && !config.may_use(ix, "model-x"));
    };
    priority_is_held_to_the_highest => {
        let mut doc = document();
        doc.rules.priorities[0].default = Priority::Batch;
        doc.rules.priorities[0].highest = Priority::Batch;
        let config = compiled(&doc);
        let desk = workspace_ix(&config, "desk");
        assert_eq!(config.priority(desk, Some(Priority::Interactive)), Priority::Batch);
        let lab = workspace_ix(&config, "lab");
        assert_eq!(config.priority(lab, None), Priority::Batch);
        assert_eq!(config.priority(lab, Some(Priority::Interactive)), Priority::Interactive);
    };
    quota_is_of_its_workspace_alone => {
        let config = compiled(&document());
        assert_eq!(config.tokens_per_minute(workspace_ix(&config, "lab")), Some(500));
        assert_eq!(config.tokens_per_minute(workspace_ix(&config, "desk")), None);
    };
    general_call_rule_covers_every_workspace => {
        let config = compiled(&document());
        for key in ["desk", "lab"] {
            let ix = workspace_ix(&config, key);
            assert!(config.is_non_retryable(ix, "records", "post", "/dossiers/7"));
            assert!(!config.is_non_retryable(ix, "records", "GET", "/dossiers/7"));
            assert!(!config.is_non_retryable(ix, "records", "POST", "/reels"));
        }
    };
    own_call_rule_covers_its_workspace_alone => {
        let config = compiled(&document());
        assert!(config.is_non_retryable(workspace_ix(&config, "lab"), "model-b", "POST", "/x"));
        assert!(!config.is_non_retryable(workspace_ix(&config, "desk"), "model-b", "POST", "/x"));
    };
    own_objective_precedes_the_general => {
        let config = compiled(&document());
        let first = |brand| config.objective(brand, Priority::Interactive).unwrap().first_token_ms;
        assert_eq!((first("one"), first("two")), (500, 1_000));
        assert_eq!(config.objective("one", Priority::Batch), None);
    };
    settings_have_safe_defaults => {
        let config = compiled(&Document::default());
        assert_eq!(config.without_key(), WithoutKey::Refuse);
        assert_eq!(config.max_wait(Priority::Interactive), Duration::from_secs(2));
        assert_eq!(config.max_wait(Priority::Batch), Duration::from_mins(1));
    };
    parts_compile_as_their_document_does => {
        let doc = document();
        let snapshot = split(&doc).unwrap();
        let head = snapshot.head(ConfigVersion(1), 0, name("op"), name("token"));
        let from_parts = compile_parts(&head, &snapshot.parts).unwrap();
        let from_doc = compile(ConfigVersion(1), snapshot.digest, &doc).unwrap();
        for key in ["desk", "lab"] {
            let (a, b) = (workspace_ix(&from_parts, key), workspace_ix(&from_doc, key));
            assert_eq!(from_parts.workspace_name(a), from_doc.workspace_name(b));
            assert_eq!(from_parts.brand_name(a), from_doc.brand_name(b));
            assert_eq!(from_parts.priority(a, None), from_doc.priority(b, None));
            assert_eq!(from_parts.tokens_per_minute(a), from_doc.tokens_per_minute(b));
        }
    };
    unreadable_part_is_a_fault => {
        let part = Part::new(b"[{}]".as_slice());
        let head = Snapshot { digest: Digest(0), parts: vec![part.clone()] };
        let head = head.head(ConfigVersion(1), 0, name("op"), name("token"));
        let faults = compile_parts(&head, &[part]).unwrap_err();
        assert_eq!(faults[0].field, "parts[0]");
    };
    unknown_fields_are_refused => {
        assert!(serde_json::from_str::<Inventory>(r#"{"brand":[]}"#).is_err());
        assert!(serde_json::from_str::<Rules>(r#"{"quota":[]}"#).is_err());
    };
}

fn config_of(version: u64, digest: u128) -> Arc<Config> {
    let doc = Document::default();
    Arc::new(compile(ConfigVersion(version), Digest(digest), &doc).unwrap())
}

cases! {
    higher_version_becomes_active => {
        let mut held = ActiveConfig::default();
        assert_eq!(held.adopt(config_of(3, 1)), AdoptOutcome::Activated);
        assert_eq!(held.adopt(config_of(7, 2)), AdoptOutcome::Activated);
        assert_eq!(held.version(), ConfigVersion(7));
    };
    lower_version_is_not_taken => {
        let mut held = ActiveConfig::default();
        held.adopt(config_of(7, 1));
        assert_eq!(held.adopt(config_of(6, 2)), AdoptOutcome::Outdated);
        assert_eq!(held.get().unwrap().digest, Digest(1));
    };
    same_version_with_other_content_is_a_conflict => {
        let mut held = ActiveConfig::default();
        held.adopt(config_of(7, 1));
        assert_eq!(held.adopt(config_of(7, 1)), AdoptOutcome::Unchanged);
        assert_eq!(held.adopt(config_of(7, 2)), AdoptOutcome::Conflict);
        assert_eq!(held.get().unwrap().digest, Digest(1));
    };
    observing_a_higher_version_is_lagging => {
        let mut held = ActiveConfig::default();
        held.adopt(config_of(3, 1));
        assert!(!held.observe_version(ConfigVersion(3)) && !held.observe_version(ConfigVersion(2)));
        assert!(held.observe_version(ConfigVersion(5)) && held.is_lagging());
        held.adopt(config_of(4, 1));
        assert!(held.is_lagging());
        held.adopt(config_of(5, 1));
        assert!(!held.is_lagging());
    };
}

/// Number of contents that the stateful test writes.
const CONTENTS: u8 = 8;
/// Number of nodes in the stateful test.
const NODES: usize = 4;

/// A step of the stateful test.
#[derive(Clone, Debug)]
enum Step {
    /// An operator publishes other content with a version above those of all nodes.
    Accept(u8),
    /// An operator publishes other content with a version above the platform's only.
    AcceptBlind(u8),
    /// The platform is restored to a state several writes earlier.
    Restore(usize),
    /// A node reads the platform as it was several writes earlier.
    Read(usize, usize),
    /// A node pulls a peer's version.
    Pull(usize, usize),
    /// A part of a peer's version reaches a node late and unrequested.
    LatePart(usize, usize, u32),
    /// A node's pull ends after several parts.
    CutPull(usize, usize, usize),
    /// A node receives the version that is active at a peer.
    Observe(usize, usize),
    /// A node is replaced by one without any state.
    Replace(usize),
}

/// A write of the head: version and content.
type Write = (u64, u8);

/// Oracle: the platform's writes, and the write that must be active at each node.
#[derive(Clone, Debug, Default)]
struct Fleet {
    writes: Vec<Write>,
    /// Write that last became active in the current incarnation of each node.
    nodes: [Option<Write>; NODES],
}

impl Fleet {
    fn highest(&self) -> u64 {
        let platform = self.writes.last().map_or(0, |w| w.0);
        let nodes = self.nodes.iter().flatten().map(|w| w.0).max();
        platform.max(nodes.unwrap_or(0))
    }

    fn read(&self, back: usize) -> Option<Write> {
        let at = self.writes.len().checked_sub(1 + back)?;
        self.writes.get(at).copied()
    }

    /// Delivers a complete version to a node.
    fn deliver(&mut self, node: usize, write: Option<Write>) {
        let held = self.nodes[node].map_or(0, |w| w.0);
        if let Some(write) = write.filter(|w| w.0 > held) {
            self.nodes[node] = Some(write);
        }
    }
}

impl ReferenceStateMachine for Fleet {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let node = 0..NODES;
        let pair = (0..NODES, 0..NODES);
        prop_oneof![
            3 => (0..CONTENTS).prop_map(Step::Accept),
            1 => (0..CONTENTS).prop_map(Step::AcceptBlind),
            1 => (1_usize..4).prop_map(Step::Restore),
            4 => (node.clone(), 0_usize..3).prop_map(|(n, back)| Step::Read(n, back)),
            4 => pair.clone().prop_map(|(from, to)| Step::Pull(from, to)),
            2 => (pair.clone(), 0_u32..12).prop_map(|((from, to), part)| Step::LatePart(from, to, part)),
            2 => (pair.clone(), 1_usize..6).prop_map(|((from, to), n)| Step::CutPull(from, to, n)),
            2 => pair.prop_map(|(from, to)| Step::Observe(from, to)),
            1 => node.prop_map(Step::Replace),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match *step {
            Step::Accept(content) => state.writes.push((state.highest() + 1, content)),
            Step::AcceptBlind(content) => {
                let version = state.writes.last().map_or(0, |w| w.0) + 1;
                state.writes.push((version, content));
            }
            Step::Restore(back) => {
                let keep = state.writes.len().saturating_sub(back);
                state.writes.truncate(keep);
            }
            Step::Read(node, back) => state.deliver(node, state.read(back)),
            Step::Pull(from, to) => state.deliver(to, state.nodes[from]),
            Step::Replace(node) => state.nodes[node] = None,
            Step::LatePart(..) | Step::CutPull(..) | Step::Observe(..) => {}
        }
        state
    }
}

/// A node, driven as the daemon does it.
#[derive(Default)]
struct Node {
    transfer: ConfigTransfer,
    active: ActiveConfig,
}

impl Node {
    fn read(&mut self, write: Write) {
        let snapshot = snapshot_of(write.1);
        let head = snapshot.head(ConfigVersion(write.0), 0, name("op"), name("token"));
        if let Some(complete) = self.transfer.install(head, snapshot.parts.clone()).unwrap() {
            self.adopt(&complete);
        }
    }

    /// Pulls at most `limit` parts from `peer`.
    fn pull(&mut self, peer: &Self, limit: usize) {
        for _ in 0..limit {
            let (have, part) = (self.transfer.version(), self.transfer.next_part());
            let Some(answer) = peer.transfer.serve(have, part).or_else(|| {
                self.transfer.abandon();
                peer.transfer.serve(have, 0)
            }) else {
                return;
            };
            if self.receive(answer) {
                return;
            }
        }
    }

    /// Receives a part; returns whether it completed a version.
    fn receive(&mut self, answer: Message) -> bool {
        let Message::ConfigPart {
            version,
            part,
            parts,
            digest,
            data,
        } = answer
        else {
            return false;
        };
        let part = ReceivedPart {
            version,
            part,
            parts,
            digest,
            data,
        };
        match self.transfer.on_part(&part) {
            Progress::Complete(complete) => {
                self.adopt(&complete);
                true
            }
            Progress::Ignored => {
                self.transfer.abandon();
                false
            }
            _ => false,
        }
    }

    fn adopt(&mut self, complete: &CompleteConfig) {
        let before = self.active.version();
        let config = complete.compile().unwrap();
        assert_eq!(self.active.adopt(Arc::new(config)), AdoptOutcome::Activated);
        assert!(self.active.version() > before);
    }
}

/// Snapshots by content.
static SNAPSHOTS: LazyLock<Vec<Snapshot>> =
    LazyLock::new(|| (0..CONTENTS).map(snapshot_with).collect());

fn snapshot_of(content: u8) -> &'static Snapshot {
    &SNAPSHOTS[usize::from(content)]
}

/// Returns the snapshot of a document of several parts that contains `content`.
fn snapshot_with(content: u8) -> Snapshot {
    let workspace = |i: usize| Workspace {
        name: format!("workspace-{i}").into(),
        brand: name(if i == usize::from(content) {
            "one"
        } else {
            "two"
        }),
        key_digests: vec![hex(&i.to_string())],
    };
    let mut doc = document();
    doc.rules = Rules::default();
    doc.inventory.workspaces = (0..600).map(workspace).collect();
    split(&doc).unwrap()
}

struct Nodes([Node; NODES]);

impl Nodes {
    /// Returns a copy of one node and a reference to another.
    fn pair(&mut self, from: usize, to: usize) -> Option<(Node, &mut Node)> {
        if from == to {
            return None;
        }
        let peer = Node {
            transfer: self.0[from].transfer.clone(),
            active: self.0[from].active.clone(),
        };
        Some((peer, &mut self.0[to]))
    }
}

impl StateMachineTest for Nodes {
    type SystemUnderTest = Self;
    type Reference = Fleet;

    fn init_test(_: &Fleet) -> Self {
        Self(std::array::from_fn(|_| Node::default()))
    }

    fn apply(mut sut: Self, state: &Fleet, step: Step) -> Self {
        match step {
            Step::Accept(_) | Step::AcceptBlind(_) | Step::Restore(_) => {}
            Step::Read(node, back) => {
                if let Some(write) = state.read(back) {
                    sut.0[node].read(write);
                }
            }
            Step::Pull(from, to) => {
                if let Some((peer, node)) = sut.pair(from, to) {
                    node.pull(&peer, usize::MAX);
                }
            }
            Step::CutPull(from, to, parts) => {
                // Fewer than all parts, of which there are four and a head.
                if let Some((peer, node)) = sut.pair(from, to) {
                    let missing = missing(node, &peer);
                    node.pull(&peer, parts.min(missing.saturating_sub(1)));
                }
            }
            Step::LatePart(from, to, part) => {
                if let Some((peer, node)) = sut.pair(from, to)
                    && missing(node, &peer) > 1
                    && let Some(answer) = peer.transfer.serve(ConfigVersion(0), part)
                {
                    node.receive(answer);
                }
            }
            Step::Observe(from, to) => {
                if let Some((peer, node)) = sut.pair(from, to) {
                    node.active.observe_version(peer.active.version());
                }
            }
            Step::Replace(node) => sut.0[node] = Node::default(),
        }
        sut
    }

    fn check_invariants(sut: &Self, state: &Fleet) {
        for (node, wanted) in sut.0.iter().zip(&state.nodes) {
            let found = node.active.get().map(|c| (c.version.0, c.digest));
            let wanted = wanted.map(|w| (w.0, snapshot_of(w.1).digest));
            assert_eq!(found, wanted);
            assert_eq!(node.transfer.version(), node.active.version());
        }
    }

    fn teardown(mut sut: Self, state: Fleet) {
        let highest = state.nodes.iter().flatten().map(|w| w.0).max();
        let by_version: BTreeMap<u64, usize> = (0..NODES)
            .map(|n| (sut.0[n].active.version().0, n))
            .collect();
        let Some((_, &from)) = by_version.last_key_value() else {
            return;
        };
        for to in 0..NODES {
            if let Some((peer, node)) = sut.pair(from, to) {
                node.pull(&peer, usize::MAX);
            }
            assert_eq!(sut.0[to].active.version().0, highest.unwrap_or(0));
        }
    }
}

/// Returns the number of parts, including the head, that `node` lacks of `peer`'s
/// version.
fn missing(node: &Node, peer: &Node) -> usize {
    let mut trial = node.transfer.clone();
    let mut missing_parts = 0;
    while let Some(answer) = peer.transfer.serve(trial.version(), trial.next_part()) {
        let mut receiver = Node {
            transfer: trial,
            active: node.active.clone(),
        };
        missing_parts += 1;
        let is_complete = receiver.receive(answer);
        trial = receiver.transfer;
        if is_complete {
            break;
        }
    }
    missing_parts
}

prop_state_machine! {
    #![proptest_config(RunConfig {
        cases: 64,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x00c0_ffee),
        failure_persistence: None,
        ..RunConfig::default()
    })]

    #[test]
    fn nodes_never_revert_and_catch_up(sequential 1..60 => Nodes);
}
