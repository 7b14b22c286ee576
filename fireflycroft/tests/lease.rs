//! The lease under freezes, outages, lost and late answers: there are never
//! two holders at once, and no fencing number is held by two incarnations.

use fireflycroft::{
    Lease, LeaseAnswer, LeaseCall, LeaseOp, LeaseRecord, LeaseTimings, Name, RequestId, Time,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::collections::BTreeMap;
use std::time::Duration;

const NODES: usize = 3;

/// One step of a run.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes, in milliseconds, and running nodes tick.
    Wait(u64),
    /// The oldest pending call of a node reaches the platform and is answered.
    Answer(usize),
    /// The oldest pending call reaches the platform, but its answer is lost.
    LoseAnswer(usize),
    /// The oldest pending call counts as lost, but takes effect later.
    Delay(usize),
    /// The oldest delayed call takes effect at the platform.
    ApplyDelayed,
    /// The platform refuses the oldest pending call.
    Refuse(usize),
    /// A node is paused without noticing.
    Freeze(usize),
    /// A paused node resumes.
    Thaw(usize),
    /// A node ends and starts as a new incarnation.
    Restart(usize),
}

/// The reference has no state; the invariants are checked on the nodes' leases.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Self::Transition> {
        let node = 0..NODES;
        prop_oneof![
            8 => prop_oneof![1_u64..400, 400_u64..3_000, 8_000_u64..20_000].prop_map(Step::Wait),
            8 => node.clone().prop_map(Step::Answer),
            2 => node.clone().prop_map(Step::LoseAnswer),
            2 => node.clone().prop_map(Step::Delay),
            2 => Just(Step::ApplyDelayed),
            1 => node.clone().prop_map(Step::Refuse),
            1 => node.clone().prop_map(Step::Freeze),
            2 => node.clone().prop_map(Step::Thaw),
            1 => node.prop_map(Step::Restart),
        ]
        .boxed()
    }

    fn apply((): (), _: &Self::Transition) {}
}

struct Node {
    lease: Lease,
    calls: Vec<(LeaseCall, LeaseOp)>,
    inbox: Vec<(LeaseCall, LeaseAnswer)>,
    frozen: bool,
}

struct World {
    now: Time,
    nodes: Vec<Node>,
    record: Option<(LeaseRecord, u64)>,
    revision: u64,
    delayed: Vec<LeaseOp>,
    incarnations: u128,
    /// Token of the holder under each fencing number.
    actors: BTreeMap<u64, RequestId>,
    tokens: Vec<RequestId>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: Time::from_millis(1),
            nodes: Vec::new(),
            record: None,
            revision: 0,
            delayed: Vec::new(),
            incarnations: 0,
            actors: BTreeMap::new(),
            tokens: Vec::new(),
        };
        for i in 0..NODES {
            let (node, token) = world.new_node(i);
            world.nodes.push(node);
            world.tokens.push(token);
        }
        world
    }

    fn new_node(&mut self, i: usize) -> (Node, RequestId) {
        self.incarnations += 1;
        let token = RequestId(self.incarnations);
        let name = Name::from(format!("node-{i}"));
        let node = Node {
            lease: Lease::new(name, token, LeaseTimings::default()),
            calls: Vec::new(),
            inbox: Vec::new(),
            frozen: false,
        };
        (node, token)
    }

    /// Performs a call at the platform.
    fn serve(&mut self, op: &LeaseOp) -> LeaseAnswer {
        match (op, self.record.clone()) {
            (LeaseOp::Read, Some((record, version))) => LeaseAnswer::Found(record, version),
            (LeaseOp::Read, None) => LeaseAnswer::Absent,
            (LeaseOp::Create(record), None) => self.write(record),
            (LeaseOp::Replace(on, record), Some((_, version))) if *on == version => {
                self.write(record)
            }
            _ => LeaseAnswer::Conflict,
        }
    }

    fn write(&mut self, record: &LeaseRecord) -> LeaseAnswer {
        self.revision += 1;
        self.record = Some((record.clone(), self.revision));
        LeaseAnswer::Written(self.revision)
    }

    fn deliver_answer(&mut self, i: usize, call: LeaseCall, answer: LeaseAnswer) {
        let node = &mut self.nodes[i];
        if node.frozen {
            node.inbox.push((call, answer));
        } else {
            node.lease.on_answer(self.now, call, answer);
        }
    }

    fn tick(&mut self) {
        for node in self.nodes.iter_mut().filter(|n| !n.frozen) {
            node.calls.extend(node.lease.on_tick(self.now, true));
        }
    }

    fn next_call(&mut self, i: usize) -> Option<(LeaseCall, LeaseOp)> {
        let calls = &mut self.nodes[i].calls;
        (!calls.is_empty()).then(|| calls.remove(0))
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Wait(millis) => self.now = self.now + Duration::from_millis(millis),
            Step::Answer(i) => {
                if let Some((call, op)) = self.next_call(i) {
                    let answer = self.serve(&op);
                    self.deliver_answer(i, call, answer);
                }
            }
            Step::LoseAnswer(i) => {
                if let Some((call, op)) = self.next_call(i) {
                    self.serve(&op);
                    self.deliver_answer(i, call, LeaseAnswer::Lost);
                }
            }
            Step::Delay(i) => {
                if let Some((call, op)) = self.next_call(i) {
                    self.delayed.push(op);
                    self.deliver_answer(i, call, LeaseAnswer::Lost);
                }
            }
            Step::ApplyDelayed => {
                if !self.delayed.is_empty() {
                    let op = self.delayed.remove(0);
                    self.serve(&op);
                }
            }
            Step::Refuse(i) => {
                if let Some((call, _)) = self.next_call(i) {
                    self.deliver_answer(i, call, LeaseAnswer::Unavailable);
                }
            }
            Step::Freeze(i) => self.nodes[i].frozen = true,
            Step::Thaw(i) => {
                self.nodes[i].frozen = false;
                for (call, answer) in std::mem::take(&mut self.nodes[i].inbox) {
                    self.nodes[i].lease.on_answer(self.now, call, answer);
                }
            }
            Step::Restart(i) => {
                let (node, token) = self.new_node(i);
                self.nodes[i] = node;
                self.tokens[i] = token;
            }
        }
        self.tick();
        self.check();
    }

    fn check(&mut self) {
        // A frozen node counts too: it would act on its lease if it resumed now.
        let held: Vec<(RequestId, u64)> = self
            .nodes
            .iter()
            .zip(&self.tokens)
            .filter_map(|(node, token)| Some((*token, node.lease.held(self.now)?)))
            .collect();
        assert!(held.len() <= 1, "two holders at once: {held:?}");
        for (token, fence) in held {
            let actor = *self.actors.entry(fence).or_insert(token);
            assert_eq!(
                actor, token,
                "fencing number {fence} was held by two incarnations"
            );
            let highest = *self.actors.keys().next_back().unwrap();
            assert_eq!(fence, highest, "a lower fencing number is held again");
        }
    }

    /// Checks that one node acquires the lease once all run and the platform answers.
    fn settle(&mut self) {
        for i in 0..NODES {
            self.apply(&Step::Thaw(i));
        }
        for _ in 0..400 {
            self.apply(&Step::Wait(500));
            for i in 0..NODES {
                self.apply(&Step::Answer(i));
                self.apply(&Step::Answer(i));
            }
        }
        let holders = self
            .nodes
            .iter()
            .filter(|n| n.lease.held(self.now).is_some())
            .count();
        assert_eq!(holders, 1, "not exactly one node holds the lease");
    }
}

struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.apply(&step);
        world
    }

    fn teardown(mut world: World, (): ()) {
        world.settle();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 400,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(6),
        ..Config::default()
    })]

    #[test]
    fn one_holder_at_a_time(sequential 1..120 => Fleet);
}

#[test]
fn a_holder_that_was_frozen_past_its_span_does_not_act() {
    let mut world = World::new();
    world.settle();
    let holder = world
        .nodes
        .iter()
        .position(|n| n.lease.held(world.now).is_some())
        .unwrap();
    world.apply(&Step::Freeze(holder));
    world.apply(&Step::Wait(20_000));
    assert_eq!(world.nodes[holder].lease.held(world.now), None);
}

#[test]
fn a_late_answer_to_an_abandoned_call_is_ignored() {
    let timings = LeaseTimings::default();
    let mut lease = Lease::new("node".into(), RequestId(1), timings);
    let (first, _) = lease.on_tick(Time::from_millis(1), true).unwrap();
    let late = Time::from_millis(1) + timings.call_timeout;
    let (second, _) = lease.on_tick(late + timings.ttl, true).unwrap();
    assert_ne!(first, second);
    lease.on_answer(late + timings.ttl, first, LeaseAnswer::Written(9));
    assert_eq!(lease.held(late + timings.ttl), None);
}
