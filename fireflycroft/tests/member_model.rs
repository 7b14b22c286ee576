//! Membership against an oracle that knows which processes truly live.
//!
//! The oracle asks, whatever was started, ended, paused, cut and lost before:
//! once nothing has happened for [`CALM`], every running process holds exactly
//! the running ones; who leaves is held as leaving everywhere after
//! [`LEAVE_BOUND`]; and no record ever goes back to an older life or turn.

mod members;

use fireflycroft::{Incarnation, MemberState, Name, Time};
use members::config;
use members::fleet::{Fleet, Life, NodeIx};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::collections::HashMap;
use std::time::Duration;

const CASES: u32 = 96;
const PLACES: usize = 9;
const SEED_PLACES: usize = 3;
const DATA_CENTRES: usize = 3;
const MAX_LOSS: u64 = 20;

/// Time without any event after which all must agree.
const CALM: Duration = Duration::from_secs(45);

/// Time after which a leaving member is held so everywhere.
const LEAVE_BOUND: Duration = Duration::from_secs(3);

/// Time between two looks at all records.
const LOOK: Duration = Duration::from_millis(500);

/// What is at one place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Empty,
    Running,
    Leaving,
    Paused,
}

#[derive(Clone, Debug)]
struct Truth {
    seed: u64,
    places: [Place; PLACES],
    cut: bool,
}

#[derive(Clone, Debug)]
enum Step {
    /// Starts a process at a place; under a name of its own or the former one.
    Start(usize, bool),
    End(usize),
    Pause(usize),
    Thaw(usize),
    Leave(usize),
    /// Cuts a data centre off from all others, or from the next one only.
    Cut(usize, bool),
    Heal,
    /// Lets messages of a hundred be lost.
    Lose(u64),
    Run(u64),
}

impl Truth {
    /// Whether a seed other than at `place` can be reached.
    fn has_other_seed(&self, place: usize) -> bool {
        let seeds = self.places[..SEED_PLACES].iter().enumerate();
        seeds
            .filter(|(at, _)| *at != place)
            .any(|(_, held)| matches!(held, Place::Running | Place::Leaving))
    }
}

impl ReferenceStateMachine for Truth {
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
            2 => place.clone().prop_map(Step::Thaw),
            2 => place.prop_map(Step::Leave),
            1 => (0..DATA_CENTRES, any::<bool>()).prop_map(|(dc, all)| Step::Cut(dc, all)),
            2 => Just(Step::Heal),
            1 => (0..=MAX_LOSS).prop_map(Step::Lose),
            4 => (1..60_u64).prop_map(Step::Run),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        match *step {
            Step::Start(at, _) => state.places[at] == Place::Empty,
            Step::End(at) => state.places[at] != Place::Empty && state.has_other_seed(at),
            Step::Pause(at) => state.places[at] == Place::Running && state.has_other_seed(at),
            Step::Thaw(at) => state.places[at] == Place::Paused,
            Step::Leave(at) => state.places[at] == Place::Running,
            Step::Heal => state.cut,
            Step::Cut(..) | Step::Lose(_) | Step::Run(_) => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match *step {
            Step::Start(at, _) | Step::Thaw(at) => state.places[at] = Place::Running,
            Step::End(at) => state.places[at] = Place::Empty,
            Step::Pause(at) => state.places[at] = Place::Paused,
            Step::Leave(at) => state.places[at] = Place::Leaving,
            Step::Cut(..) => state.cut = true,
            Step::Heal => state.cut = false,
            Step::Lose(_) | Step::Run(_) => {}
        }
        state
    }
}

/// What an observer held of a member when last looked at.
type Held = (Incarnation, u64, MemberState);

/// The fleet, and what the oracle keeps of it.
struct Watched {
    fleet: Fleet,
    at: [NodeIx; PLACES],
    /// When something last happened, or messages were last lost or cut.
    disturbed: Time,
    held: HashMap<(NodeIx, Name), Held>,
    started: usize,
}

impl Watched {
    fn new(seed: u64) -> Self {
        let fleet = Fleet::settled(seed, PLACES, Duration::from_secs(20));
        Self {
            disturbed: fleet.now,
            fleet,
            at: std::array::from_fn(NodeIx),
            held: HashMap::new(),
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
        let life = self.fleet.node(leaver).peer.incarnation;
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
                && held.peer.incarnation == life
            {
                assert_eq!(held.state, MemberState::Leaving, "{name} at {at:?}");
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.fleet.now + span;
        while self.fleet.now < end {
            self.fleet.run(LOOK.min(end.since(self.fleet.now)));
            if self.fleet.loss > 0 || !self.fleet.cuts.is_empty() {
                self.disturbed = self.fleet.now;
            }
            self.check_order();
            self.check_agreement();
        }
    }

    /// No record goes back, and leaving is never taken back.
    fn check_order(&mut self) {
        for at in self.fleet.running() {
            for record in self.fleet.node(at).members.records() {
                let now: Held = (record.peer.incarnation, record.turn, record.state);
                let key = (at, record.peer.name.clone());
                let before = self.held.insert(key, now);
                let Some(before) = before else {
                    continue;
                };
                assert!((now.0, now.1) >= (before.0, before.1), "{before:?} {now:?}");
                let same_life = now.0 == before.0;
                if same_life && before.2 == MemberState::Leaving {
                    assert!(now.2 >= MemberState::Leaving, "{before:?} {now:?}");
                }
            }
        }
    }

    /// After a calm time all hold the truth.
    fn check_agreement(&self) {
        if self.fleet.now.since(self.disturbed) < CALM {
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
        let wanted = if node.leaves {
            MemberState::Leaving
        } else {
            MemberState::Alive
        };
        let held = self.fleet.node(at).members.get(&node.peer.name);
        let held = held.map(|r| (r.peer.clone(), r.state));
        assert_eq!(held, Some((node.peer.clone(), wanted)), "at {at:?}");
    }

    /// Who does not run is dead or forgotten.
    fn check_gone(&self, at: NodeIx) {
        let running = self.fleet.running();
        for record in self.fleet.node(at).members.records() {
            let lives = running
                .iter()
                .any(|ix| self.fleet.node(*ix).peer == record.peer);
            assert!(
                lives || record.state == MemberState::Dead,
                "{record:?} at {at:?}"
            );
        }
    }

    fn entries(&self) -> u32 {
        let running = self.fleet.running().into_iter();
        let takes = running
            .map(|ix| self.fleet.node(ix))
            .filter(|node| node.peer.role == fireflycroft::Role::Entry && !node.leaves);
        u32::try_from(takes.count()).unwrap()
    }
}

struct Membership;

impl StateMachineTest for Membership {
    type SystemUnderTest = Watched;
    type Reference = Truth;

    fn init_test(truth: &Truth) -> Watched {
        Watched::new(truth.seed)
    }

    fn apply(mut watched: Watched, _: &Truth, step: Step) -> Watched {
        match step {
            Step::Start(place, own_name) => watched.start(place, own_name),
            Step::End(place) => watched.fleet.end(watched.at[place]),
            Step::Pause(place) => watched.fleet.pause(watched.at[place]),
            Step::Thaw(place) => watched.fleet.thaw(watched.at[place]),
            Step::Leave(place) => watched.leave(place),
            Step::Cut(dc, true) => watched.fleet.cut(dc),
            Step::Cut(dc, false) => watched.fleet.cut_between(dc, (dc + 1) % DATA_CENTRES),
            Step::Heal => watched.fleet.cuts.clear(),
            Step::Lose(loss) => watched.fleet.loss = loss,
            Step::Run(secs) => watched.run(Duration::from_secs(secs)),
        }
        if !matches!(step, Step::Run(_)) {
            watched.disturbed = watched.fleet.now;
        }
        watched
    }

    /// Ends every case with a calm time, so that each is judged.
    fn teardown(mut watched: Watched, _: Truth) {
        watched.fleet.cuts.clear();
        watched.fleet.loss = 0;
        watched.disturbed = watched.fleet.now;
        watched.run(CALM + LOOK);
        let paused = watched.fleet.nodes.iter();
        let paused = paused.filter(|node| node.life == Life::Paused).count();
        assert!(paused < PLACES);
    }
}

prop_state_machine! {
    #![proptest_config(config(CASES))]

    #[test]
    fn members_agree_with_the_truth(sequential 1..24 => Membership);
}
