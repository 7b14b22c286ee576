//! Racing operators, stale reads, lost answers and a platform that goes back to
//! an older state, checked with an oracle that knows every effective write.

use fireflycroft::{
    ConfigVersion, Document, HEAD_KIND, HEAD_NAME, Head, Inventory, Name, Workspace, WriteOutcome,
    split,
};
use fireflyctl::{
    PublishOutcome, Store, StoreObject, StoredConfig, confirm_parts, past_document, publish_head,
    put_head, put_parts, put_past_head, read_stored_config, read_write_outcome,
};
use fireflyd::platform::{Condition, PlatformError};
use proptest::prelude::*;
use proptest::test_runner::{Config as RunConfig, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Number of operators in the state machine test.
const OPERATORS: usize = 3;
/// Number of different documents that they write.
const CONTENTS: u8 = 6;

/// Delivery of a write and of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// The write takes effect and its answer arrives.
    Delivered,
    /// The write takes effect; its answer is lost.
    AnswerLost,
    /// The write is lost.
    WriteLost,
    /// The write takes effect later; its answer is lost.
    WriteLate,
    /// The platform refuses the write for now.
    Limited,
}

/// Write received by the platform.
#[derive(Clone, Debug)]
struct Pending {
    key: (String, String),
    value: Value,
    condition: Condition,
}

/// Platform in memory, with faults of writes and reads set by a test.
#[derive(Debug)]
struct FakePlatform {
    objects: BTreeMap<(String, String), (u64, Value)>,
    /// States after each write of the head, starting with the empty one.
    states: Vec<BTreeMap<(String, String), (u64, Value)>>,
    revision: u64,
    late: Vec<Pending>,
    /// Deliveries of the next writes of the head; `Delivered` when empty.
    deliveries: Vec<Delivery>,
    /// Number of head writes by which reads lag.
    read_lag: usize,
}

#[derive(Debug)]
struct FakeStore(RefCell<FakePlatform>);

impl FakeStore {
    fn new() -> Self {
        Self(RefCell::new(FakePlatform {
            objects: BTreeMap::new(),
            states: vec![BTreeMap::new()],
            revision: 0,
            late: Vec::new(),
            deliveries: Vec::new(),
            read_lag: 0,
        }))
    }

    fn with_deliveries(deliveries: &[Delivery]) -> Self {
        let store = Self::new();
        store.0.borrow_mut().deliveries = deliveries.to_vec();
        store
    }

    fn head(&self) -> Option<Head> {
        let platform = self.0.borrow();
        let (_, value) = platform.objects.get(&head_key())?;
        serde_json::from_value(value.clone()).ok()
    }
}

fn head_key() -> (String, String) {
    (HEAD_KIND.to_owned(), HEAD_NAME.to_owned())
}

impl FakePlatform {
    fn write(&mut self, pending: Pending) -> Result<u64, PlatformError> {
        let found = self.objects.get(&pending.key).map(|(version, _)| *version);
        let condition_holds = match pending.condition {
            Condition::Absent => found.is_none(),
            Condition::Version(version) => found == Some(version),
            Condition::Always => true,
        };
        if !condition_holds {
            let version = found.unwrap_or(0);
            return Err(PlatformError::Conflict { version });
        }
        self.revision += 1;
        let is_head = pending.key == head_key();
        self.objects
            .insert(pending.key, (self.revision, pending.value));
        if is_head {
            self.states.push(self.objects.clone());
        }
        Ok(self.revision)
    }

    fn apply_late_writes(&mut self) {
        for pending in std::mem::take(&mut self.late) {
            let _ = self.write(pending);
        }
    }

    /// Undoes the last `undone` writes of the head and drops late writes.
    fn restore(&mut self, undone: usize) {
        let keep = self.states.len().saturating_sub(undone).max(1);
        self.states.truncate(keep);
        self.objects = self.states[keep - 1].clone();
        self.late.clear();
    }

    fn visible_objects(&self) -> &BTreeMap<(String, String), (u64, Value)> {
        if self.read_lag == 0 {
            return &self.objects;
        }
        let at = self.states.len().saturating_sub(1 + self.read_lag);
        &self.states[at]
    }
}

impl Store for FakeStore {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<StoreObject>, PlatformError> {
        let platform = self.0.borrow();
        let key = (kind.to_owned(), name.to_owned());
        // Parts are immutable, so only reads of the head can be stale.
        let objects = if key == head_key() {
            platform.visible_objects()
        } else {
            &platform.objects
        };
        Ok(objects.get(&key).map(|(version, value)| StoreObject {
            version: *version,
            value: value.clone(),
        }))
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        value: &Value,
        condition: Condition,
    ) -> Result<u64, PlatformError> {
        let mut platform = self.0.borrow_mut();
        let pending = Pending {
            key: (kind.to_owned(), name.to_owned()),
            value: value.clone(),
            condition,
        };
        let is_head = pending.key == head_key();
        let delivery = if is_head && !platform.deliveries.is_empty() {
            platform.deliveries.remove(0)
        } else {
            Delivery::Delivered
        };
        match delivery {
            Delivery::Delivered => return platform.write(pending),
            Delivery::Limited => return Err(PlatformError::Unavailable { retry_after: None }),
            Delivery::AnswerLost => {
                let _ = platform.write(pending);
            }
            Delivery::WriteLate => platform.late.push(pending),
            Delivery::WriteLost => {}
        }
        Err(PlatformError::OutcomeUnknown)
    }
}

/// Builds a document of several parts that identifies `content`.
fn document(content: u8) -> Document {
    let workspace = |i: usize| Workspace {
        name: format!("workspace-{i}").into(),
        brand: if i == 100 * usize::from(content) {
            "one".into()
        } else {
            "two".into()
        },
        key_digests: vec![blake3::hash(&i.to_le_bytes()).to_hex().as_str().into()],
    };
    Document {
        inventory: Inventory {
            workspaces: (0..600).map(workspace).collect(),
            ..Inventory::default()
        },
        ..Document::default()
    }
}

fn head_over(base: &StoredConfig, content: u8, version: u64, token: &str) -> Head {
    let snapshot = split(&document(content)).unwrap();
    let head = snapshot.head(ConfigVersion(version), 0, "op".into(), Name::from(token));
    head.after(base.head.as_ref())
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(future)
}

/// Step of the state machine.
#[derive(Clone, Debug)]
enum Step {
    /// An operator reads the platform, lagging by some writes, and the nodes, to
    /// write a content.
    Read(usize, u8, usize),
    /// The operator writes the parts.
    Parts(usize),
    /// The operator writes the head, or repeats the write, with this delivery.
    Write(usize, Delivery),
    /// The operator reads the head back, lagging by some writes.
    ReadBack(usize, usize),
    /// Late writes take effect.
    ApplyLateWrites,
    /// The platform goes back by some writes.
    Restore(usize),
    /// The nodes adopt the platform's configuration.
    UpdateNodes,
}

/// An operator's write of the head.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Attempt {
    id: usize,
    version: u64,
    /// Object version and attempt that it replaces.
    replaces: Option<(u64, usize)>,
    has_parts: bool,
    /// Whether the platform went back since the operator read.
    restored: bool,
}

/// Expected state: the accepted heads and the attempts that wrote them.
#[derive(Clone, Debug, Default)]
struct Oracle {
    /// Accepted heads in order: object version, attempt, version.
    history: Vec<(u64, usize, u64)>,
    revision: u64,
    next_id: usize,
    operators: [Option<Attempt>; OPERATORS],
    late: Vec<Attempt>,
    /// Attempts that ever took effect.
    effective: Vec<usize>,
    /// Version active on the nodes.
    nodes: u64,
    /// Whether the last step's write was accepted; `None` without a known answer.
    last_accepted: Option<bool>,
}

impl Oracle {
    fn head(&self, lag: usize) -> Option<(u64, usize, u64)> {
        let at = self.history.len().checked_sub(1 + lag)?;
        self.history.get(at).copied()
    }

    fn write(&mut self, attempt: &Attempt) -> bool {
        let found = self.head(0).map(|(object, ..)| object);
        if found != attempt.replaces.map(|(object, _)| object) {
            return false;
        }
        self.revision += 1;
        self.history
            .push((self.revision, attempt.id, attempt.version));
        self.effective.push(attempt.id);
        true
    }

    /// Returns whether `outcome` is correct for an attempt, judged by a head read
    /// `lag` writes late.
    fn is_consistent(&self, attempt: &Attempt, outcome: WriteOutcome, lag: usize) -> bool {
        let read = self.head(lag).map(|(_, id, _)| id);
        let visible = &self.history[..self.history.len().saturating_sub(lag)];
        let in_history = visible.iter().any(|(_, id, _)| *id == attempt.id);
        match outcome {
            WriteOutcome::Active => read == Some(attempt.id),
            WriteOutcome::Replaced => in_history && read != Some(attempt.id),
            WriteOutcome::Lost => !self.effective.contains(&attempt.id) || attempt.restored,
            WriteOutcome::Pending => read == attempt.replaces.map(|(_, id)| id),
            WriteOutcome::Unknown => !in_history,
        }
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let operator = 0..OPERATORS;
        let lag = prop_oneof![3 => Just(0_usize), 1 => 1_usize..3];
        let delivery = prop_oneof![
            4 => Just(Delivery::Delivered),
            2 => Just(Delivery::AnswerLost),
            1 => Just(Delivery::WriteLost),
            1 => Just(Delivery::WriteLate),
            1 => Just(Delivery::Limited),
        ];
        prop_oneof![
            4 => (operator.clone(), 0..CONTENTS, lag.clone()).prop_map(|(o, c, lag)| Step::Read(o, c, lag)),
            4 => operator.clone().prop_map(Step::Parts),
            6 => (operator.clone(), delivery).prop_map(|(o, delivery)| Step::Write(o, delivery)),
            4 => (operator, lag).prop_map(|(o, lag)| Step::ReadBack(o, lag)),
            1 => Just(Step::ApplyLateWrites),
            1 => (1_usize..3).prop_map(Step::Restore),
            3 => Just(Step::UpdateNodes),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        let attempt = |o: usize| state.operators[o].as_ref();
        match step {
            Step::Parts(o) => attempt(*o).is_some_and(|a| !a.has_parts),
            Step::Write(o, _) | Step::ReadBack(o, _) => attempt(*o).is_some_and(|a| a.has_parts),
            _ => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        state.last_accepted = None;
        match *step {
            Step::Read(o, _, lag) => {
                let read = state.head(lag);
                let version = read.map_or(0, |(.., version)| version);
                state.next_id += 1;
                state.operators[o] = Some(Attempt {
                    id: state.next_id,
                    version: version.max(state.nodes) + 1,
                    replaces: read.map(|(object, id, _)| (object, id)),
                    has_parts: false,
                    restored: false,
                });
            }
            Step::Parts(o) => {
                if let Some(attempt) = &mut state.operators[o] {
                    attempt.has_parts = true;
                }
            }
            Step::Write(o, delivery) => {
                let Some(attempt) = state.operators[o].clone() else {
                    return state;
                };
                match delivery {
                    Delivery::Delivered => state.last_accepted = Some(state.write(&attempt)),
                    Delivery::AnswerLost => {
                        state.write(&attempt);
                    }
                    Delivery::WriteLate => state.late.push(attempt),
                    Delivery::WriteLost | Delivery::Limited => {}
                }
            }
            Step::ApplyLateWrites => {
                for attempt in std::mem::take(&mut state.late) {
                    state.write(&attempt);
                }
            }
            Step::Restore(undone) => {
                let keep = state.history.len().saturating_sub(undone);
                state.history.truncate(keep);
                state.late.clear();
                for attempt in state.operators.iter_mut().flatten() {
                    attempt.restored = true;
                }
            }
            Step::UpdateNodes => {
                let held = state.head(0).map_or(0, |(.., version)| version);
                state.nodes = state.nodes.max(held);
            }
            Step::ReadBack(..) => {}
        }
        state
    }
}

/// Operator with the configuration read and the head to write.
struct Operator {
    base: StoredConfig,
    head: Head,
    content: u8,
}

struct Platform {
    store: FakeStore,
    operators: [Option<Operator>; OPERATORS],
    /// Version active on the nodes.
    nodes: u64,
    ids: usize,
}

impl Platform {
    fn read(&mut self, o: usize, content: u8, lag: usize) {
        self.store.0.borrow_mut().read_lag = lag;
        let base = block_on(read_stored_config(&self.store)).unwrap();
        self.store.0.borrow_mut().read_lag = 0;
        self.ids += 1;
        let version = base.version().max(self.nodes) + 1;
        let head = head_over(&base, content, version, &format!("attempt-{}", self.ids));
        self.operators[o] = Some(Operator {
            base,
            head,
            content,
        });
    }

    fn write(&self, o: usize, delivery: Delivery) -> Option<bool> {
        let operator = self.operators[o].as_ref()?;
        self.store.0.borrow_mut().deliveries = vec![delivery];
        match block_on(put_head(&self.store, &operator.base, &operator.head)) {
            Ok(_) => {
                let snapshot = split(&document(operator.content)).unwrap();
                block_on(confirm_parts(&self.store, &snapshot)).unwrap();
                Some(true)
            }
            Err(PlatformError::Conflict { .. }) => Some(false),
            Err(_) => None,
        }
    }

    fn read_back(&self, o: usize, lag: usize) -> Option<WriteOutcome> {
        let operator = self.operators[o].as_ref()?;
        self.store.0.borrow_mut().read_lag = lag;
        let outcome = block_on(read_write_outcome(
            &self.store,
            &operator.base,
            &operator.head,
        ))
        .unwrap();
        self.store.0.borrow_mut().read_lag = 0;
        Some(outcome)
    }
}

impl StateMachineTest for Platform {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        Self {
            store: FakeStore::new(),
            operators: [const { None }; OPERATORS],
            nodes: 0,
            ids: 0,
        }
    }

    fn apply(mut sut: Self, state: &Oracle, step: Step) -> Self {
        match step {
            Step::Read(o, content, lag) => sut.read(o, content, lag),
            Step::Parts(o) => {
                let operator = sut.operators[o].as_ref().unwrap();
                let snapshot = split(&document(operator.content)).unwrap();
                let known = operator.base.complete_head();
                block_on(put_parts(&sut.store, &snapshot, known)).unwrap();
                block_on(put_past_head(&sut.store, &operator.head)).unwrap();
            }
            Step::Write(o, delivery) => assert_eq!(sut.write(o, delivery), state.last_accepted),
            Step::ReadBack(o, lag) => {
                let outcome = sut.read_back(o, lag).unwrap();
                let attempt = state.operators[o].as_ref().unwrap();
                assert!(
                    state.is_consistent(attempt, outcome, lag),
                    "{outcome:?} of {attempt:?}"
                );
            }
            Step::ApplyLateWrites => sut.store.0.borrow_mut().apply_late_writes(),
            Step::Restore(undone) => sut.store.0.borrow_mut().restore(undone),
            Step::UpdateNodes => {
                let held = sut.store.head().map_or(0, |head| head.version);
                sut.nodes = sut.nodes.max(held);
            }
        }
        sut
    }

    fn check_invariants(sut: &Self, state: &Oracle) {
        let found = sut.store.head().map(|head| (head.version, head.token));
        let expected = state.head(0);
        let expected =
            expected.map(|(_, id, version)| (version, Name::from(format!("attempt-{id}"))));
        assert_eq!(found, expected);
        assert_eq!(sut.nodes, state.nodes);
        // An accepted version is above the nodes' active one, as the operator queried them.
        if state.last_accepted == Some(true) {
            let head = sut.store.head().unwrap();
            let attempt = state.operators.iter().flatten();
            let restored = attempt.into_iter().any(|a| a.restored);
            assert!(restored || head.version > sut.nodes);
            let base = block_on(read_stored_config(&sut.store)).unwrap();
            assert_eq!(base.head, Some(head));
            assert!(
                base.doc.is_some(),
                "parts are missing after an accepted write"
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(RunConfig {
        cases: 64,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x5eed_0001),
        failure_persistence: None,
        ..RunConfig::default()
    })]

    #[test]
    fn operators_learn_true_outcomes(sequential 1..50 => Platform);
}

/// Test cases: deliveries of the head writes, the outcome and the version accepted.
macro_rules! outcomes {
    ($($name:ident: [$($delivery:ident),*] => $outcome:pat, $version:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let store = FakeStore::with_deliveries(&[$(Delivery::$delivery),*]);
                let from = block_on(read_stored_config(&store)).unwrap();
                block_on(put_parts(&store, &split(&document(1)).unwrap(), None)).unwrap();
                let head = head_over(&from, 1, 1, "own");
                let outcome = block_on(publish_head(&store, &from, &head)).unwrap();
                assert!(matches!(outcome, $outcome), "{outcome:?}");
                assert_eq!(store.head().map_or(0, |h| h.version), $version);
            }
        )+
    };
}

outcomes! {
    delivered_write_is_accepted: [Delivered] => PublishOutcome::Accepted, 1;
    lost_answer_is_settled_by_reading_back: [AnswerLost] => PublishOutcome::Accepted, 1;
    lost_write_is_written_again: [WriteLost] => PublishOutcome::Accepted, 1;
    two_lost_answers: [AnswerLost, AnswerLost] => PublishOutcome::Accepted, 1;
    limited_write_is_written_again: [Limited, Limited] => PublishOutcome::Accepted, 1;
    limit_that_stays_has_no_effect: [Limited, Limited, Limited, Limited, Limited]
        => PublishOutcome::NoEffect(PlatformError::Unavailable { .. }), 0;
    answers_that_stay_lost_are_settled: [WriteLost, WriteLost, WriteLost, WriteLost, AnswerLost]
        => PublishOutcome::Accepted, 1;
    writes_that_stay_lost_are_unknown: [WriteLost, WriteLost, WriteLost, WriteLost, WriteLost]
        => PublishOutcome::Unknown, 0;
}

/// Publishes after another operator's write to the same base.
fn race(deliveries: &[Delivery]) -> (FakeStore, PublishOutcome) {
    let store = FakeStore::new();
    let from = block_on(read_stored_config(&store)).unwrap();
    for (content, token) in [(1, "own"), (2, "other")] {
        block_on(put_parts(&store, &split(&document(content)).unwrap(), None)).unwrap();
        block_on(put_past_head(&store, &head_over(&from, content, 1, token))).unwrap();
    }
    block_on(put_head(&store, &from, &head_over(&from, 2, 1, "other"))).unwrap();
    store.0.borrow_mut().deliveries = deliveries.to_vec();
    let outcome = block_on(publish_head(&store, &from, &head_over(&from, 1, 1, "own"))).unwrap();
    (store, outcome)
}

#[test]
fn lost_race_shows_the_winner() {
    for deliveries in [
        &[Delivery::Delivered][..],
        &[Delivery::WriteLost],
        &[Delivery::AnswerLost],
    ] {
        let (_, outcome) = race(deliveries);
        let PublishOutcome::Lost(winner) = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(winner.doc, Some(document(2)));
    }
}

#[test]
fn replaced_write_is_distinguished_from_a_lost_one() {
    let store = FakeStore::with_deliveries(&[Delivery::AnswerLost]);
    let from = block_on(read_stored_config(&store)).unwrap();
    let own = head_over(&from, 1, 1, "own");
    block_on(put_parts(&store, &split(&document(1)).unwrap(), None)).unwrap();
    block_on(put_head(&store, &from, &own)).unwrap_err();
    let next = block_on(read_stored_config(&store)).unwrap();
    block_on(put_parts(&store, &split(&document(2)).unwrap(), None)).unwrap();
    block_on(put_head(&store, &next, &head_over(&next, 2, 2, "other"))).unwrap();
    store.0.borrow_mut().deliveries = vec![Delivery::WriteLost];
    let outcome = block_on(publish_head(&store, &from, &own)).unwrap();
    assert!(
        matches!(outcome, PublishOutcome::Replaced(ref now) if now.version == 2),
        "{outcome:?}"
    );
}

#[test]
fn earlier_versions_can_be_read() {
    let store = FakeStore::new();
    for content in 1..4 {
        let from = block_on(read_stored_config(&store)).unwrap();
        let head = head_over(&from, content, u64::from(content), &format!("t-{content}"));
        let snapshot = split(&document(content)).unwrap();
        block_on(put_parts(&store, &snapshot, from.head.as_ref())).unwrap();
        block_on(put_past_head(&store, &head)).unwrap();
        block_on(put_head(&store, &from, &head)).unwrap();
    }
    let head = store.head().unwrap();
    let past = |version| block_on(past_document(&store, &head, version)).unwrap();
    assert_eq!(past(1), Some(document(1)));
    assert_eq!(past(2), Some(document(2)));
    assert_eq!(past(9), None);
}

#[test]
fn few_parts_are_written_for_a_small_change() {
    let store = FakeStore::new();
    let from = block_on(read_stored_config(&store)).unwrap();
    let first = split(&document(1)).unwrap();
    let all = block_on(put_parts(&store, &first, None)).unwrap();
    block_on(put_head(&store, &from, &head_over(&from, 1, 1, "own"))).unwrap();
    let from = block_on(read_stored_config(&store)).unwrap();
    let second = split(&document(2)).unwrap();
    let some = block_on(put_parts(&store, &second, from.head.as_ref())).unwrap();
    assert!(all > some && some <= 2, "{some} of {all}");
}

#[test]
fn missing_parts_are_written_again() {
    let store = FakeStore::new();
    let snapshot = split(&document(1)).unwrap();
    block_on(put_parts(&store, &snapshot, None)).unwrap();
    let from = block_on(read_stored_config(&store)).unwrap();
    let head = head_over(&from, 1, 1, "own");
    block_on(put_head(&store, &from, &head)).unwrap();
    store
        .0
        .borrow_mut()
        .objects
        .retain(|key, _| *key == head_key());
    block_on(confirm_parts(&store, &snapshot)).unwrap();
    assert_eq!(
        block_on(read_stored_config(&store)).unwrap().doc,
        Some(document(1))
    );
}
