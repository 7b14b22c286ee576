//! Membership, case by case.

mod members;

use fireflycroft::{
    DEAD_KEEP, GRACE, Incarnation, MAX_MEMBERS, MemberAction, MemberEvent, MemberRecord,
    MemberSetup, MemberState, Members, Message, Name, Peer, Role, SUSPECT_SPAN, Time, VM_LIST_LAG,
    Vm,
};
use members::fleet::{Fleet, NodeIx, addr};
use std::time::Duration;

const SEED: u64 = 11;
const SETTLE: Duration = Duration::from_secs(30);
const BOUND: Duration = Duration::from_mins(1);

/// Bytes a second of one member of two hundred when nothing happens.
const STEADY_BYTES: u64 = 1_024;
/// Members of a table that is compared.
const TABLE: usize = 200;
const LONGEST_PACKET: usize = 1_500;

/// One test for each scenario, on a settled fleet of its size.
macro_rules! fleets {
    ($($name:ident($count:literal): $scenario:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let scenario: fn(&mut Fleet) = $scenario;
                let mut fleet = Fleet::settled(SEED, $count, SETTLE);
                assert!(fleet.is_agreed());
                scenario(&mut fleet);
            }
        )+
    };
}

fleets! {
    one_alone(1): |fleet| {
        assert_eq!(fleet.node(NodeIx(0)).entries, 1);
    };
    nobody_doubts_when_nothing_happens(20): |fleet| {
        fleet.run(Duration::from_mins(5));
        assert_eq!(doubts(fleet), 0);
    };
    dead_everywhere(20): |fleet| {
        fleet.end(NodeIx(7));
        let took = fleet.run_until(BOUND, |f| f.all_hold("member-7", is_dead));
        assert_within(took, 12_000);
        assert_eq!(false_deaths(fleet), 0);
    };
    dead_is_forgotten_after_a_while(5): |fleet| {
        fleet.end(NodeIx(4));
        fleet.run(less(DEAD_KEEP, 10_000));
        assert!(fleet.all_hold("member-4", is_dead));
        fleet.run(BOUND);
        assert!(fleet.all_hold("member-4", |state| state.is_none()));
    };
    paused_is_dead_then_alive(12): |fleet| {
        fleet.pause(NodeIx(5));
        assert!(fleet.run_until(BOUND, |f| f.all_hold("member-5", is_dead)).is_some());
        fleet.thaw(NodeIx(5));
        let took = fleet.run_until(BOUND, Fleet::is_agreed);
        assert_within(took, 15_000);
    };
    thawed_calls_nobody_dead(12): |fleet| {
        for pause in [2, 20, 200] {
            fleet.pause(NodeIx(5));
            fleet.run(Duration::from_secs(pause));
            fleet.thaw(NodeIx(5));
            fleet.run(BOUND);
            assert!(fleet.is_agreed());
        }
        assert_eq!(deaths_seen_by(fleet, NodeIx(5)), 0);
    };
    all_paused_together_call_nobody_dead(12): |fleet| {
        let all = fleet.running();
        for ix in &all {
            fleet.pause(*ix);
        }
        fleet.run(BOUND);
        for ix in &all {
            fleet.thaw(*ix);
        }
        fleet.run(BOUND);
        assert!(fleet.is_agreed());
        assert_eq!(false_deaths(fleet), 0);
    };
    short_pause_kills_nobody(12): |fleet| {
        fleet.pause(NodeIx(5));
        fleet.run(Duration::from_secs(2));
        fleet.thaw(NodeIx(5));
        fleet.run(BOUND);
        assert!(fleet.is_agreed());
        assert_eq!(false_deaths(fleet), 0);
    };
    replaced_under_its_name(12): |fleet| {
        fleet.end(NodeIx(5));
        let new = fleet.start("member-5", 5);
        let took = fleet.run_until(BOUND, Fleet::is_agreed);
        assert_within(took, 8_000);
        let life = fleet.node(new).peer.incarnation;
        for at in fleet.running() {
            let held = fleet.node(at).members.get("member-5").unwrap();
            assert_eq!(held.peer.incarnation, life);
        }
    };
    replaced_at_the_same_address(12): |fleet| {
        fleet.end(NodeIx(5));
        fleet.start("another", 5);
        let took = fleet.run_until(BOUND, |f| {
            f.all_hold("member-5", |state| state.is_none_or(|s| s == MemberState::Dead))
        });
        assert_within(took, 8_000);
        assert!(fleet.run_until(BOUND, Fleet::is_agreed).is_some());
    };
    cut_off_data_centre_comes_back(18): |fleet| {
        fleet.cut(1);
        fleet.run(BOUND);
        let far = fleet.state(NodeIx(0), "member-1");
        assert_eq!(far, Some(MemberState::Dead));
        fleet.cuts.clear();
        let took = fleet.run_until(BOUND, Fleet::is_agreed);
        assert_within(took, 30_000);
    };
    cut_for_longer_than_the_dead_are_kept(9): |fleet| {
        fleet.cut(1);
        fleet.run(DEAD_KEEP + BOUND);
        assert_eq!(fleet.state(NodeIx(0), "member-4"), None);
        fleet.cuts.clear();
        assert!(fleet.run_until(BOUND, Fleet::is_agreed).is_some());
    };
    cut_between_two_of_three_kills_nobody(18): |fleet| {
        fleet.cut_between(0, 1);
        fleet.run(Duration::from_mins(5));
        assert_eq!(false_deaths(fleet), 0);
    };
    every_fifth_message_lost(20): |fleet| {
        fleet.loss = 20;
        fleet.run(BOUND);
        fleet.end(NodeIx(9));
        let took = fleet.run_until(BOUND, |f| f.all_hold("member-9", is_dead));
        assert_within(took, 30_000);
        fleet.loss = 0;
        assert!(fleet.run_until(BOUND, Fleet::is_agreed).is_some());
    };
    leaving_everywhere_at_once(60): |fleet| {
        fleet.leave(NodeIx(10));
        let took = fleet.run_until(BOUND, |f| f.all_hold("member-10", is_leaving));
        assert_within(took, 500);
        fleet.run(BOUND);
        assert!(fleet.all_hold("member-10", is_leaving));
    };
    leaving_everywhere_in_spite_of_loss(60): |fleet| {
        fleet.loss = 20;
        for ix in [10, 20, 30] {
            fleet.leave(NodeIx(ix));
            let name = format!("member-{ix}");
            let took = fleet.run_until(BOUND, |f| f.all_hold(&name, is_leaving));
            assert_within(took, 3_000);
        }
    };
    leaving_then_gone_is_dead(12): |fleet| {
        fleet.leave(NodeIx(5));
        fleet.run(Duration::from_secs(5));
        fleet.end(NodeIx(5));
        assert!(fleet.run_until(BOUND, |f| f.all_hold("member-5", is_dead)).is_some());
    };
    listed_as_leaving(12): |fleet| {
        fleet.run(VM_LIST_LAG);
        fleet.list_vms(NodeIx(2), &[Vm { addr: addr(5), leaving: true }]);
        let took = fleet.run_until(BOUND, |f| f.all_hold("member-5", is_leaving));
        assert_within(took, 3_000);
        let own = fleet.node(NodeIx(5)).members.own();
        assert_eq!(own.state, MemberState::Leaving);
    };
    listed_late_as_leaving(12): |fleet| {
        fleet.run(VM_LIST_LAG);
        fleet.end(NodeIx(5));
        fleet.start("member-5", 5);
        for _ in 0..60 {
            fleet.run(Duration::from_secs(1));
            for at in fleet.running() {
                fleet.list_vms(at, &[Vm { addr: addr(5), leaving: true }]);
            }
        }
        assert!(fleet.all_hold("member-5", |state| state == Some(MemberState::Alive)));
    };
    listed_members_that_are_gone(6): |fleet| {
        let gone: Vec<Vm> = (6..40).map(|at| Vm { addr: addr(at), leaving: false }).collect();
        fleet.list_vms(NodeIx(2), &gone);
        fleet.run(BOUND);
        assert!(fleet.is_agreed());
    };
    found_by_the_vm_list_alone(6): |fleet| {
        // Ends the seeds, so that the newcomer hears of nobody else.
        for ix in 0..3 {
            fleet.end(NodeIx(ix));
        }
        fleet.run(BOUND);
        let new = fleet.start("newcomer", 6);
        fleet.run(BOUND);
        assert_eq!(fleet.present(new).len(), 1);
        fleet.list_vms(new, &[Vm { addr: addr(4), leaving: false }]);
        assert!(fleet.run_until(BOUND, Fleet::is_agreed).is_some());
    };
    served_models_spread(12): |fleet| {
        let serves: Vec<Name> = vec!["other-model".into()];
        fleet.serve(NodeIx(4), &serves);
        let took = fleet.run_until(BOUND, |f| {
            f.running().into_iter().all(|at| {
                f.node(at).members.get("member-4").is_some_and(|r| r.serves == serves)
            })
        });
        assert_within(took, 5_000);
    };
    what_no_gossip_tells_is_compared(2): |fleet| {
        // Records of a page are not told on, so only tables can pass them.
        let records = (0..TABLE).map(|n| numbered(n, Alive)).collect();
        let third = peer("third", 9, 60);
        fleet.deliver(NodeIx(0), third, Message::ViewPage { records });
        let known = |f: &Fleet| f.node(NodeIx(1)).members.records().count() > TABLE;
        assert!(!known(fleet));
        let took = fleet.run_until(BOUND, known);
        assert_within(took, 10_000);
    };
    few_bytes_when_nothing_happens(200): |fleet| {
        fleet.run(BOUND);
        let before: Vec<u64> = fleet.nodes.iter().map(|node| node.bytes).collect();
        let secs = 20;
        fleet.run(Duration::from_secs(secs));
        for (node, before) in fleet.nodes.iter().zip(before) {
            let rate = (node.bytes - before) / secs;
            assert!(rate <= STEADY_BYTES, "{rate} bytes a second");
        }
        assert!(fleet.longest <= LONGEST_PACKET, "{} bytes", fleet.longest);
    };
}

fn assert_within(took: Option<Duration>, millis: u64) {
    let bound = Duration::from_millis(millis);
    assert!(took.is_some_and(|took| took < bound), "{took:?}");
}

/// The span less some milliseconds.
fn less(span: Duration, millis: u64) -> Duration {
    span.saturating_sub(Duration::from_millis(millis))
}

fn is_dead(state: Option<MemberState>) -> bool {
    state == Some(MemberState::Dead)
}

fn is_leaving(state: Option<MemberState>) -> bool {
    state == Some(MemberState::Leaving)
}

/// Members that some process ever held as suspect or dead.
fn doubts(fleet: &Fleet) -> usize {
    let seen = fleet.nodes.iter().flat_map(|node| node.seen.keys());
    seen.filter(|(_, state)| matches!(state, MemberState::Suspect | MemberState::Dead))
        .count()
}

/// Running members that some process ever held as dead.
fn false_deaths(fleet: &Fleet) -> usize {
    let running = fleet.running().into_iter();
    let name = |ix: NodeIx| fleet.node(ix).peer.name.clone();
    let dead = |ix: &NodeIx| {
        let key = (name(*ix), MemberState::Dead);
        fleet.nodes.iter().any(|node| node.seen.contains_key(&key))
    };
    running.filter(dead).count()
}

fn deaths_seen_by(fleet: &Fleet, at: NodeIx) -> usize {
    let seen = fleet.node(at).seen.keys();
    seen.filter(|(_, state)| *state == MemberState::Dead)
        .count()
}

/// One process, driven by hand, that knows one member named `other`.
struct Alone {
    members: Members,
    now: Time,
    out: Vec<MemberAction>,
}

const OTHER_LIFE: u64 = 50;

fn peer(name: &str, place: usize, life: u64) -> Peer {
    Peer {
        name: name.into(),
        addr: addr(place),
        incarnation: Incarnation(life),
        role: Role::Entry,
    }
}

fn record(life: u64, turn: u64, state: MemberState) -> MemberRecord {
    MemberRecord {
        peer: peer("other", 1, life),
        data_centre: "north".into(),
        state,
        turn,
        serves: Vec::new(),
    }
}

impl Alone {
    fn new() -> Self {
        let members = Members::new(MemberSetup {
            me: peer("me", 0, 40),
            data_centre: "north".into(),
            serves: Vec::new(),
            seeds: vec![addr(0), addr(1)],
            seed: [7; 32],
        });
        let mut alone = Self {
            members,
            now: Time::from_millis(0),
            out: Vec::new(),
        };
        alone.give(MemberEvent::Tick);
        alone.tell(record(OTHER_LIFE, 5, MemberState::Alive));
        alone.run(Duration::from_secs(1));
        alone
    }

    fn give(&mut self, event: MemberEvent) {
        self.members.on_event(self.now, event, &mut self.out);
    }

    /// Gives a record that a third process tells.
    fn tell(&mut self, record: MemberRecord) {
        self.tell_by(peer("third", 2, 60), record);
    }

    fn tell_by(&mut self, from: Peer, record: MemberRecord) {
        let message = Message::Ping {
            nonce: 1,
            records: vec![record],
            view: 0,
        };
        self.give(MemberEvent::Message(from, message));
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(100);
            self.give(MemberEvent::Tick);
        }
    }

    fn held(&self) -> (u64, u64, MemberState) {
        let held = self.members.get("other").unwrap();
        (held.peer.incarnation.0, held.turn, held.state)
    }

    /// Whether a message to `place` tells so of a member.
    fn told(&self, place: usize, wanted: impl Fn(&MemberRecord) -> bool) -> bool {
        self.out.iter().any(|action| match action {
            MemberAction::Send(
                to,
                Message::Ping { records, .. } | Message::Pong { records, .. },
            ) => *to == addr(place) && records.iter().any(&wanted),
            _ => false,
        })
    }
}

/// One test for each record told about a member held alive in turn 5.
macro_rules! merges {
    ($($name:ident: $($told:expr),+ => $held:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut alone = Alone::new();
                $(alone.tell($told);)+
                assert_eq!(alone.held(), $held);
            }
        )+
    };
}

use MemberState::{Alive, Dead, Leaving, Suspect};

merges! {
    same_record: record(50, 5, Alive) => (50, 5, Alive);
    older_turn: record(50, 4, Suspect) => (50, 5, Alive);
    older_life: record(49, 9, Dead) => (50, 5, Alive);
    older_life_alive: record(49, 9, Alive) => (50, 5, Alive);
    later_turn: record(50, 6, Alive) => (50, 6, Alive);
    later_life: record(51, 1, Alive) => (51, 1, Alive);
    later_life_dead: record(51, 1, Dead) => (51, 1, Dead);
    suspect_in_its_turn: record(50, 5, Suspect) => (50, 5, Suspect);
    suspect_then_refuted: record(50, 5, Suspect), record(50, 6, Alive) => (50, 6, Alive);
    refuted_then_suspect: record(50, 6, Alive), record(50, 5, Suspect) => (50, 6, Alive);
    dead_by_hearsay_is_checked: record(50, 5, Dead) => (50, 5, Alive);
    dead_in_a_later_turn_is_checked: record(50, 8, Dead) => (50, 8, Alive);
    leaving_by_hearsay: record(50, 5, Leaving) => (50, 5, Leaving);
    leaving_in_an_older_turn: record(50, 4, Leaving) => (50, 5, Leaving);
    leaving_is_not_taken_back: record(50, 6, Leaving), record(50, 7, Alive) => (50, 7, Leaving);
    leaving_is_not_suspected: record(50, 6, Leaving), record(50, 7, Suspect) => (50, 7, Leaving);
    leaving_ends_with_the_life: record(50, 6, Leaving), record(51, 1, Alive) => (51, 1, Alive);
}

#[test]
fn dead_by_hearsay_and_silent_is_dead() {
    let mut alone = Alone::new();
    alone.tell(record(50, 5, Dead));
    alone.run(SUSPECT_SPAN + Duration::from_millis(200));
    assert_eq!(alone.held(), (50, 5, Dead));
    assert!(alone.told(1, |r| r.state == Dead && r.turn == 5));
}

#[test]
fn dead_by_hearsay_and_heard_is_alive() {
    let mut alone = Alone::new();
    alone.tell(record(50, 5, Dead));
    for _ in 0..10 {
        alone.run(Duration::from_millis(500));
        alone.give(MemberEvent::Heard(peer("other", 1, OTHER_LIFE)));
    }
    assert_eq!(alone.held(), (50, 5, Alive));
}

#[test]
fn suspect_for_the_whole_span_then_dead_by_hearsay() {
    let mut alone = Alone::new();
    alone.tell(record(50, 5, Suspect));
    alone.tell(record(50, 5, Dead));
    assert_eq!(alone.held(), (50, 5, Suspect));
    alone.run(less(SUSPECT_SPAN, 100));
    assert_eq!(alone.held(), (50, 5, Suspect));
    alone.run(Duration::from_millis(300));
    assert_eq!(alone.held(), (50, 5, Dead));
}

#[test]
fn fresh_evidence_outweighs_suspicion() {
    let mut alone = Alone::new();
    alone.give(MemberEvent::Heard(peer("other", 1, OTHER_LIFE)));
    alone.tell(record(50, 5, Suspect));
    assert_eq!(alone.held(), (50, 5, Alive));
}

#[test]
fn dead_of_nobody_known_is_not_taken() {
    let mut alone = Alone::new();
    let mut unknown = record(7, 1, Dead);
    unknown.peer = peer("unknown", 9, 7);
    alone.tell(unknown);
    assert!(alone.members.get("unknown").is_none());
}

#[test]
fn header_of_a_later_life_ends_the_former() {
    let mut alone = Alone::new();
    alone.out.clear();
    alone.give(MemberEvent::Heard(peer("other", 1, OTHER_LIFE + 1)));
    assert_eq!(alone.held(), (51, 0, Alive));
    assert!(
        alone
            .out
            .iter()
            .any(|action| matches!(action, MemberAction::Changed(_)))
    );
    alone.tell(record(51, 1, Alive));
    assert_eq!(alone.held(), (51, 1, Alive));
}

#[test]
fn header_of_a_former_life_is_ignored() {
    let mut alone = Alone::new();
    alone.tell(record(50, 5, Suspect));
    alone.give(MemberEvent::Heard(peer("other", 1, OTHER_LIFE - 1)));
    assert_eq!(alone.held(), (50, 5, Suspect));
}

#[test]
fn unknown_sender_is_asked_who_it_is() {
    let mut alone = Alone::new();
    alone.out.clear();
    alone.give(MemberEvent::Heard(peer("unknown", 9, 7)));
    assert!(alone.told(9, |r| *r.peer.name == *"me"));
}

#[test]
fn dead_member_that_is_heard_is_told() {
    let mut alone = Alone::new();
    alone.tell(record(51, 1, Dead));
    alone.run(Duration::from_secs(2));
    alone.out.clear();
    alone.give(MemberEvent::Heard(peer("other", 1, OTHER_LIFE + 1)));
    assert!(alone.told(1, |r| r.state == Dead && r.turn == 1));
}

#[test]
fn own_death_is_refuted_in_the_pong() {
    let mut alone = Alone::new();
    let mut mine = alone.members.own().clone();
    let turn = mine.turn;
    mine.state = Dead;
    alone.out.clear();
    alone.tell(mine);
    assert_eq!(alone.members.own().state, Alive);
    assert_eq!(alone.members.own().turn, turn + 1);
    assert!(alone.told(2, |r| *r.peer.name == *"me" && r.turn == turn + 1));
}

#[test]
fn own_leaving_is_accepted_and_told() {
    let mut alone = Alone::new();
    let mut mine = alone.members.own().clone();
    mine.state = Leaving;
    alone.out.clear();
    alone.tell(mine);
    assert_eq!(alone.members.own().state, Leaving);
    assert!(alone.told(1, |r| *r.peer.name == *"me" && r.state == Leaving));
    let changed = MemberAction::Changed(alone.members.own().clone());
    assert!(alone.out.contains(&changed));
}

#[test]
fn later_life_of_its_own_name_is_noted() {
    let mut alone = Alone::new();
    assert!(!alone.members.is_replaced());
    alone.give(MemberEvent::Heard(peer("me", 0, 41)));
    assert!(alone.members.is_replaced());
}

#[test]
fn pause_is_followed_by_grace() {
    let mut alone = Alone::new();
    alone.run(Duration::from_secs(2));
    alone.now = alone.now + BOUND;
    alone.run(less(GRACE, 200));
    assert_eq!(alone.held().2, Alive);
    alone.run(BOUND);
    assert_eq!(alone.held().2, Dead);
}

#[test]
fn full_table_drops_the_dead_and_turns_newcomers_away() {
    let mut alone = Alone::new();
    let known = alone.members.records().count();
    for n in known..MAX_MEMBERS {
        alone.tell(numbered(n, Alive));
    }
    assert_eq!(alone.members.records().count(), MAX_MEMBERS);
    alone.out.clear();
    alone.tell(numbered(MAX_MEMBERS, Alive));
    assert!(alone.members.get("numbered-4096").is_none());
    let full = |action: &MemberAction| matches!(action, MemberAction::LogEvent(note) if note.event == "members_full");
    assert!(alone.out.iter().any(full));
    alone.tell(record(51, 1, Dead));
    alone.tell(numbered(MAX_MEMBERS, Alive));
    assert!(alone.members.get("numbered-4096").is_some());
    assert!(alone.members.get("other").is_none());
}

fn numbered(n: usize, state: MemberState) -> MemberRecord {
    let mut numbered = record(7, 1, state);
    numbered.peer = peer(&format!("numbered-{n}"), 10 + n, 7);
    numbered
}

#[test]
fn view_does_not_depend_on_the_order() {
    let mut forward = Alone::new();
    let mut backward = Alone::new();
    for n in 0..50 {
        forward.tell(numbered(n, Alive));
        backward.tell(numbered(49 - n, Alive));
    }
    assert_eq!(forward.members.view(), backward.members.view());
    forward.tell(numbered(3, Suspect));
    assert_ne!(forward.members.view(), backward.members.view());
}

#[test]
fn later_lives_compare_greater() {
    let earlier = Incarnation::started_at(1_780_000_000_000, u64::MAX);
    let later = Incarnation::started_at(1_780_000_000_001, 0);
    assert!(earlier < later);
}
