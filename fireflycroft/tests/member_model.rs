//! Membership checked against an oracle that knows which processes run.
//!
//! The steps start, end, pause and partition processes and lose messages. The oracle
//! requires that, once nothing has happened for [`SETTLE_TIME`], every running process
//! holds exactly the running ones; that a leaving process is held as leaving everywhere
//! after [`LEAVE_BOUND`]; and that no record reverts to an older incarnation or
//! revision.

mod members;

use fireflycroft::{Incarnation, MemberState, Name, Time};
use members::config;
use members::fleet::{Fleet, NodeIx, ProcessState};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::collections::HashMap;
use std::time::Duration;

const CASES: u32 = 96;
const PLACES: usize = 9;
const SEED_PLACES: usize = 3;
const DATA_CENTRES: usize = 3;
const MAX_LOSS: u64 = 20;

/// Time without any event after which all processes must agree.
const SETTLE_TIME: Duration = Duration::from_secs(45);

/// Time after which a leaving member is held as leaving everywhere.
const LEAVE_BOUND: Duration = Duration::from_secs(3);

/// Time between two checks of all records.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// State of the process at one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Empty,
    Running,
    Leaving,
    Paused,
}

#[derive(Clone, Debug)]
struct Oracle {
    seed: u64,
    places: [Place; PLACES],
    cut: bool,
}

#[derive(Clone, Debug)]
enum Step {
    /// Starts a process at a place, under a new name or the former one.
    Start(usize, bool),
    End(usize),
    Pause(usize),
    Resume(usize),
    Leave(usize),
    /// Cuts a data centre off from all others, or from the next one only.
    Cut(usize, bool),
    Heal,
    /// Sets the percentage of messages lost.
    SetLoss(u64),
    Run(u64),
}

impl Oracle {
    /// Returns whether a seed other than the one at `place` runs.
    fn has_other_seed(&self, place: usize) -> bool {
        let seeds = self.places[..SEED_PLACES].iter().enumerate();
        seeds
            .filter(|(at, _)| *at != place)
            .any(|(_, held)| matches!(held, Place::Running | Place::Leaving))
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        any::<u64>()
            .prop_map(|seed| Self {
                seed,
                places: [Place::Running; PLACES],
                cut: false,
            })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let place = 0..PLACES;
        prop_oneof![
            2 => (place.clone(), any::<bool>()).prop_map(|(at, own)| Step::Start(at, own)),
            2 => place.clone().prop_map(Step::End),
            2 => place.clone().prop_map(Step::Pause),
            2 => place.clone().prop_map(Step::Resume),
            2 => place.prop_map(Step::Leave),
            1 => (0..DATA_CENTRES, any::<bool>()).prop_map(|(dc, all)| Step::Cut(dc, all)),
            2 => Just(Step::Heal),
            1 => (0..=MAX_LOSS).prop_map(Step::SetLoss),
            4 => (1..60_u64).prop_map(Step::Run),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        match *step {
            Step::Start(at, _) => state.places[at] == Place::Empty,
            Step::End(at) => state.places[at] != Place::Empty && state.has_other_seed(at),
            Step::Pause(at) => state.places[at] == Place::Running && state.has_other_seed(at),
            Step::Resume(at) => state.places[at] == Place::Paused,
            Step::Leave(at) => state.places[at] == Place::Running,
            Step::Heal => state.cut,
            Step::Cut(..) | Step::SetLoss(_) | Step::Run(_) => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match *step {
            Step::Start(at, _) | Step::Resume(at) => state.places[at] = Place::Running,
            Step::End(at) => state.places[at] = Place::Empty,
            Step::Pause(at) => state.places[at] = Place::Paused,
            Step::Leave(at) => state.places[at] = Place::Leaving,
            Step::Cut(..) => state.cut = true,
            Step::Heal => state.cut = false,
            Step::SetLoss(_) | Step::Run(_) => {}
        }
        state
    }
}

/// Incarnation, revision and state that an observer last held of a member.
type Held = (Incarnation, u64, MemberState);

/// The fleet under test, with the oracle's observations.
struct CheckedFleet {
    fleet: Fleet,
    at: [NodeIx; PLACES],
    /// Time of the last step, or of the last loss or partition.
    last_disturbed: Time,
    last_held: HashMap<(NodeIx, Name), Held>,
    started: usize,
}

impl CheckedFleet {
    fn new(seed: u64) -> Self {
        let fleet = Fleet::settled(seed, PLACES, Duration::from_secs(20));
        Self {
            last_disturbed: fleet.now,
            fleet,
            at: std::array::from_fn(NodeIx),
            last_held: HashMap::new(),
            started: PLACES,
        }
    }

    fn start(&mut self, place: usize, own_name: bool) {
        let name = if own_name {
            self.started += 1;
            format!("member-{}", self.started)
        } else {
            self.fleet.node(self.at[place]).peer.name.to_string()
        };
        self.at[place] = self.fleet.start(&name, place);
    }

    fn leave(&mut self, place: usize) {
        let leaver = self.at[place];
        let name = self.fleet.node(leaver).peer.name.clone();
        let leaver_incarnation = self.fleet.node(leaver).peer.incarnation;
        self.fleet.leave(leaver);
        self.run(LEAVE_BOUND);
        if !self.fleet.cuts.is_empty() {
            return;
        }
        for at in self.fleet.running() {
            let known = self
                .fleet
                .node(leaver)
                .members
                .get(&self.fleet.node(at).peer.name);
            let held = self.fleet.node(at).members.get(&name);
            if known.is_some_and(|r| r.state < MemberState::Dead)
                && let Some(held) = held
                && held.peer.incarnation == leaver_incarnation
            {
                assert_eq!(held.state, MemberState::Leaving, "{name} at {at:?}");
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.fleet.now + span;
        while self.fleet.now < end {
            self.fleet
                .run(CHECK_INTERVAL.min(end.since(self.fleet.now)));
            if self.fleet.loss > 0 || !self.fleet.cuts.is_empty() {
                self.last_disturbed = self.fleet.now;
            }
            self.check_order();
            self.check_agreement();
        }
    }

    /// Checks that no record reverts, and that leaving is never revoked.
    fn check_order(&mut self) {
        for at in self.fleet.running() {
            for record in self.fleet.node(at).members.records() {
                let now: Held = (record.peer.incarnation, record.revision, record.state);
                let key = (at, record.peer.name.clone());
                let before = self.last_held.insert(key, now);
                let Some(before) = before else {
                    continue;
                };
                assert!((now.0, now.1) >= (before.0, before.1), "{before:?} {now:?}");
                let same_incarnation = now.0 == before.0;
                if same_incarnation && before.2 == MemberState::Leaving {
                    assert!(now.2 >= MemberState::Leaving, "{before:?} {now:?}");
                }
            }
        }
    }

    /// Checks that all processes agree with the oracle after [`SETTLE_TIME`].
    fn check_agreement(&self) {
        if self.fleet.now.since(self.last_disturbed) < SETTLE_TIME {
            return;
        }
        let running = self.fleet.running();
        for at in &running {
            for other in &running {
                self.check_held(*at, *other);
            }
            self.check_gone(*at);
            assert_eq!(
                self.fleet.node(*at).entries,
                self.entries(),
                "entries at {at:?}"
            );
        }
    }

    fn check_held(&self, at: NodeIx, other: NodeIx) {
        let node = self.fleet.node(other);
        let wanted = if node.is_leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        };
        let held = self.fleet.node(at).members.get(&node.peer.name);
        let held = held.map(|r| (r.peer.clone(), r.state));
        assert_eq!(held, Some((node.peer.clone(), wanted)), "at {at:?}");
    }

    /// Checks that members that do not run are dead or forgotten.
    fn check_gone(&self, at: NodeIx) {
        let running = self.fleet.running();
        for record in self.fleet.node(at).members.records() {
            let is_running = running
                .iter()
                .any(|ix| self.fleet.node(*ix).peer == record.peer);
            assert!(
                is_running || record.state == MemberState::Dead,
                "{record:?} at {at:?}"
            );
        }
    }

    fn entries(&self) -> u32 {
        let running = self.fleet.running().into_iter();
        let accepting = running
            .map(|ix| self.fleet.node(ix))
            .filter(|node| node.peer.role == fireflycroft::Role::Entry && !node.is_leaving);
        u32::try_from(accepting.count()).unwrap()
    }
}

struct Membership;

impl StateMachineTest for Membership {
    type SystemUnderTest = CheckedFleet;
    type Reference = Oracle;

    fn init_test(oracle: &Oracle) -> CheckedFleet {
        CheckedFleet::new(oracle.seed)
    }

    fn apply(mut checked: CheckedFleet, _: &Oracle, step: Step) -> CheckedFleet {
        match step {
            Step::Start(place, own_name) => checked.start(place, own_name),
            Step::End(place) => checked.fleet.end(checked.at[place]),
            Step::Pause(place) => checked.fleet.pause(checked.at[place]),
            Step::Resume(place) => checked.fleet.resume(checked.at[place]),
            Step::Leave(place) => checked.leave(place),
            Step::Cut(dc, true) => checked.fleet.cut(dc),
            Step::Cut(dc, false) => checked.fleet.cut_between(dc, (dc + 1) % DATA_CENTRES),
            Step::Heal => checked.fleet.cuts.clear(),
            Step::SetLoss(loss) => checked.fleet.loss = loss,
            Step::Run(secs) => checked.run(Duration::from_secs(secs)),
        }
        if !matches!(step, Step::Run(_)) {
            checked.last_disturbed = checked.fleet.now;
        }
        checked
    }

    /// Ends every case with a settled fleet, so that agreement is always checked.
    fn teardown(mut checked: CheckedFleet, _: Oracle) {
        checked.fleet.cuts.clear();
        checked.fleet.loss = 0;
        checked.last_disturbed = checked.fleet.now;
        checked.run(SETTLE_TIME + CHECK_INTERVAL);
        let paused = checked.fleet.nodes.iter();
        let paused = paused
            .filter(|node| node.process_state == ProcessState::Paused)
            .count();
        assert!(paused < PLACES);
    }
}

prop_state_machine! {
    #![proptest_config(config(CASES))]

    #[test]
    fn members_agree_with_the_oracle(sequential 1..24 => Membership);
}
