//! Membership on small simulated fleets and single processes.

mod members;

use fireflycroft::{
    DEAD_RETENTION, GRACE_PERIOD, Incarnation, MAX_MEMBERS, MAX_VM_LIST_LAG, MemberAction,
    MemberEvent, MemberRecord, MemberSetup, MemberState, Members, Message, Name, Peer, Role,
    SUSPECT_TIMEOUT, Time, Vm,
};
use members::fleet::{Fleet, NodeIx, addr};
use std::time::Duration;

const SEED: u64 = 11;
const SETTLE: Duration = Duration::from_secs(30);
const TIMEOUT: Duration = Duration::from_mins(1);

/// Limit on bytes per second of one member in an idle fleet of two hundred.
const MAX_IDLE_BYTES_PER_SECOND: u64 = 1_024;
/// Members of a table that is sent by comparison.
const TABLE_MEMBERS: usize = 200;
const MAX_PACKET_BYTES: usize = 1_500;

/// Defines one test per scenario, run on a settled fleet of the given size.
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
    no_suspicion_when_idle(20): |fleet| {
        fleet.run(Duration::from_mins(5));
        assert_eq!(count_suspected(fleet), 0);
    };
    dead_everywhere(20): |fleet| {
        fleet.end(NodeIx(7));
        let took = fleet.run_until(TIMEOUT, |f| f.all_hold("member-7", is_dead));
        assert_within(took, 12_000);
        assert_eq!(false_deaths(fleet), 0);
    };
    dead_is_forgotten_after_a_while(5): |fleet| {
        fleet.end(NodeIx(4));
        fleet.run(shorter_by(DEAD_RETENTION, 10_000));
        assert!(fleet.all_hold("member-4", is_dead));
        fleet.run(TIMEOUT);
        assert!(fleet.all_hold("member-4", |state| state.is_none()));
    };
    paused_is_dead_then_alive(12): |fleet| {
        fleet.pause(NodeIx(5));
        assert!(fleet.run_until(TIMEOUT, |f| f.all_hold("member-5", is_dead)).is_some());
        fleet.resume(NodeIx(5));
        let took = fleet.run_until(TIMEOUT, Fleet::is_agreed);
        assert_within(took, 15_000);
    };
    resumed_process_reports_no_deaths(12): |fleet| {
        for pause in [2, 20, 200] {
            fleet.pause(NodeIx(5));
            fleet.run(Duration::from_secs(pause));
            fleet.resume(NodeIx(5));
            fleet.run(TIMEOUT);
            assert!(fleet.is_agreed());
        }
        assert_eq!(deaths_seen_by(fleet, NodeIx(5)), 0);
    };
    all_paused_together_report_no_deaths(12): |fleet| {
        let all = fleet.running();
        for ix in &all {
            fleet.pause(*ix);
        }
        fleet.run(TIMEOUT);
        for ix in &all {
            fleet.resume(*ix);
        }
        fleet.run(TIMEOUT);
        assert!(fleet.is_agreed());
        assert_eq!(false_deaths(fleet), 0);
    };
    short_pause_causes_no_false_death(12): |fleet| {
        fleet.pause(NodeIx(5));
        fleet.run(Duration::from_secs(2));
        fleet.resume(NodeIx(5));
        fleet.run(TIMEOUT);
        assert!(fleet.is_agreed());
        assert_eq!(false_deaths(fleet), 0);
    };
    replaced_under_its_name(12): |fleet| {
        fleet.end(NodeIx(5));
        let new = fleet.start("member-5", 5);
        let took = fleet.run_until(TIMEOUT, Fleet::is_agreed);
        assert_within(took, 8_000);
        let incarnation = fleet.node(new).peer.incarnation;
        for at in fleet.running() {
            let held = fleet.node(at).members.get("member-5").unwrap();
            assert_eq!(held.peer.incarnation, incarnation);
        }
    };
    replaced_at_the_same_address(12): |fleet| {
        fleet.end(NodeIx(5));
        fleet.start("another", 5);
        let took = fleet.run_until(TIMEOUT, |f| {
            f.all_hold("member-5", |state| state.is_none_or(|s| s == MemberState::Dead))
        });
        assert_within(took, 8_000);
        assert!(fleet.run_until(TIMEOUT, Fleet::is_agreed).is_some());
    };
    cut_off_data_centre_comes_back(18): |fleet| {
        fleet.cut(1);
        fleet.run(TIMEOUT);
        let far = fleet.state(NodeIx(0), "member-1");
        assert_eq!(far, Some(MemberState::Dead));
        fleet.cuts.clear();
        let took = fleet.run_until(TIMEOUT, Fleet::is_agreed);
        assert_within(took, 30_000);
    };
    cut_for_longer_than_the_dead_are_kept(9): |fleet| {
        fleet.cut(1);
        fleet.run(DEAD_RETENTION + TIMEOUT);
        assert_eq!(fleet.state(NodeIx(0), "member-4"), None);
        fleet.cuts.clear();
        assert!(fleet.run_until(TIMEOUT, Fleet::is_agreed).is_some());
    };
    cut_between_two_of_three_causes_no_false_death(18): |fleet| {
        fleet.cut_between(0, 1);
        fleet.run(Duration::from_mins(5));
        assert_eq!(false_deaths(fleet), 0);
    };
    every_fifth_message_lost(20): |fleet| {
        fleet.loss = 20;
        fleet.run(TIMEOUT);
        fleet.end(NodeIx(9));
        let took = fleet.run_until(TIMEOUT, |f| f.all_hold("member-9", is_dead));
        assert_within(took, 30_000);
        fleet.loss = 0;
        assert!(fleet.run_until(TIMEOUT, Fleet::is_agreed).is_some());
    };
    leaving_everywhere_at_once(60): |fleet| {
        fleet.leave(NodeIx(10));
        let took = fleet.run_until(TIMEOUT, |f| f.all_hold("member-10", is_leaving));
        assert_within(took, 500);
        fleet.run(TIMEOUT);
        assert!(fleet.all_hold("member-10", is_leaving));
    };
    leaving_everywhere_in_spite_of_loss(60): |fleet| {
        fleet.loss = 20;
        for ix in [10, 20, 30] {
            fleet.leave(NodeIx(ix));
            let name = format!("member-{ix}");
            let took = fleet.run_until(TIMEOUT, |f| f.all_hold(&name, is_leaving));
            assert_within(took, 3_000);
        }
    };
    leaving_then_gone_is_dead(12): |fleet| {
        fleet.leave(NodeIx(5));
        fleet.run(Duration::from_secs(5));
        fleet.end(NodeIx(5));
        assert!(fleet.run_until(TIMEOUT, |f| f.all_hold("member-5", is_dead)).is_some());
    };
    listed_as_leaving(12): |fleet| {
        fleet.run(MAX_VM_LIST_LAG);
        fleet.list_vms(NodeIx(2), &[Vm { addr: addr(5), leaving: true }]);
        let took = fleet.run_until(TIMEOUT, |f| f.all_hold("member-5", is_leaving));
        assert_within(took, 3_000);
        let own = fleet.node(NodeIx(5)).members.own();
        assert_eq!(own.state, MemberState::Leaving);
    };
    listed_late_as_leaving(12): |fleet| {
        fleet.run(MAX_VM_LIST_LAG);
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
        fleet.run(TIMEOUT);
        assert!(fleet.is_agreed());
    };
    found_by_the_vm_list_alone(6): |fleet| {
        // Ends the seeds, so that the newcomer can learn of other members only from the list.
        for ix in 0..3 {
            fleet.end(NodeIx(ix));
        }
        fleet.run(TIMEOUT);
        let new = fleet.start("newcomer", 6);
        fleet.run(TIMEOUT);
        assert_eq!(fleet.present(new).len(), 1);
        fleet.list_vms(new, &[Vm { addr: addr(4), leaving: false }]);
        assert!(fleet.run_until(TIMEOUT, Fleet::is_agreed).is_some());
    };
    served_models_spread(12): |fleet| {
        let serves: Vec<Name> = vec!["other-model".into()];
        fleet.serve(NodeIx(4), &serves);
        let took = fleet.run_until(TIMEOUT, |f| {
            f.running().into_iter().all(|at| {
                f.node(at).members.get("member-4").is_some_and(|r| r.serves == serves)
            })
        });
        assert_within(took, 5_000);
    };
    comparison_passes_on_ungossiped_records(2): |fleet| {
        // Records of a page are not gossiped, so only table comparison can pass them on.
        let records = (0..TABLE_MEMBERS).map(|n| numbered(n, Alive)).collect();
        let third = peer("third", 9, 60);
        fleet.deliver(NodeIx(0), third, Message::ViewPage { records });
        let known = |f: &Fleet| f.node(NodeIx(1)).members.records().count() > TABLE_MEMBERS;
        assert!(!known(fleet));
        let took = fleet.run_until(TIMEOUT, known);
        assert_within(took, 10_000);
    };
    few_bytes_when_idle(200): |fleet| {
        fleet.run(TIMEOUT);
        let before: Vec<u64> = fleet.nodes.iter().map(|node| node.bytes).collect();
        let secs = 20;
        fleet.run(Duration::from_secs(secs));
        for (node, before) in fleet.nodes.iter().zip(before) {
            let rate = (node.bytes - before) / secs;
            assert!(rate <= MAX_IDLE_BYTES_PER_SECOND, "{rate} bytes a second");
        }
        assert!(fleet.longest_packet <= MAX_PACKET_BYTES, "{} bytes", fleet.longest_packet);
    };
}

fn assert_within(took: Option<Duration>, millis: u64) {
    let bound = Duration::from_millis(millis);
    assert!(took.is_some_and(|took| took < bound), "{took:?}");
}

/// Shortens a span by some milliseconds.
fn shorter_by(span: Duration, millis: u64) -> Duration {
    span.saturating_sub(Duration::from_millis(millis))
}

fn is_dead(state: Option<MemberState>) -> bool {
    state == Some(MemberState::Dead)
}

fn is_leaving(state: Option<MemberState>) -> bool {
    state == Some(MemberState::Leaving)
}

/// Counts records that some process ever held as suspect or dead.
fn count_suspected(fleet: &Fleet) -> usize {
    let seen = fleet.nodes.iter().flat_map(|node| node.seen.keys());
    seen.filter(|(_, state)| matches!(state, MemberState::Suspect | MemberState::Dead))
        .count()
}

/// Counts running members that some process ever held as dead.
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

/// One process, driven event by event, that knows one member named `other`.
struct SingleProcess {
    members: Members,
    now: Time,
    out: Vec<MemberAction>,
}

const OTHER_INCARNATION: u64 = 50;

fn peer(name: &str, place: usize, incarnation: u64) -> Peer {
    Peer {
        name: name.into(),
        addr: addr(place),
        incarnation: Incarnation(incarnation),
        role: Role::Entry,
    }
}

fn record(incarnation: u64, revision: u64, state: MemberState) -> MemberRecord {
    MemberRecord {
        peer: peer("other", 1, incarnation),
        data_centre: "north".into(),
        state,
        revision,
        serves: Vec::new(),
    }
}

impl SingleProcess {
    fn new() -> Self {
        let members = Members::new(MemberSetup {
            me: peer("me", 0, 40),
            data_centre: "north".into(),
            serves: Vec::new(),
            seeds: vec![addr(0), addr(1)],
            seed: [7; 32],
        });
        let mut process = Self {
            members,
            now: Time::from_millis(0),
            out: Vec::new(),
        };
        process.feed(MemberEvent::Tick);
        process.deliver_record(record(OTHER_INCARNATION, 5, MemberState::Alive));
        process.run(Duration::from_secs(1));
        process
    }

    fn feed(&mut self, event: MemberEvent) {
        self.members.on_event(self.now, event, &mut self.out);
    }

    /// Delivers a record in a ping of a third process.
    fn deliver_record(&mut self, record: MemberRecord) {
        self.deliver_record_from(peer("third", 2, 60), record);
    }

    fn deliver_record_from(&mut self, from: Peer, record: MemberRecord) {
        let message = Message::Ping {
            nonce: 1,
            records: vec![record],
            view: 0,
        };
        self.feed(MemberEvent::Message(from, message));
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(100);
            self.feed(MemberEvent::Tick);
        }
    }

    fn held(&self) -> (u64, u64, MemberState) {
        let held = self.members.get("other").unwrap();
        (held.peer.incarnation.0, held.revision, held.state)
    }

    /// Returns whether a ping or pong to `place` contains such a record.
    fn sent_to(&self, place: usize, wanted: impl Fn(&MemberRecord) -> bool) -> bool {
        self.out.iter().any(|action| match action {
            MemberAction::Send(
                to,
                Message::Ping { records, .. } | Message::Pong { records, .. },
            ) => *to == addr(place) && records.iter().any(&wanted),
            _ => false,
        })
    }
}

/// Defines one test per sequence of records received about a member held alive in
/// revision 5.
macro_rules! merges {
    ($($name:ident: $($received:expr),+ => $held:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut process = SingleProcess::new();
                $(process.deliver_record($received);)+
                assert_eq!(process.held(), $held);
            }
        )+
    };
}

use MemberState::{Alive, Dead, Leaving, Suspect};

merges! {
    same_record: record(50, 5, Alive) => (50, 5, Alive);
    older_revision: record(50, 4, Suspect) => (50, 5, Alive);
    older_incarnation: record(49, 9, Dead) => (50, 5, Alive);
    older_incarnation_alive: record(49, 9, Alive) => (50, 5, Alive);
    later_revision: record(50, 6, Alive) => (50, 6, Alive);
    later_incarnation: record(51, 1, Alive) => (51, 1, Alive);
    later_incarnation_dead: record(51, 1, Dead) => (51, 1, Dead);
    suspect_in_the_same_revision: record(50, 5, Suspect) => (50, 5, Suspect);
    suspect_then_refuted: record(50, 5, Suspect), record(50, 6, Alive) => (50, 6, Alive);
    refuted_then_suspect: record(50, 6, Alive), record(50, 5, Suspect) => (50, 6, Alive);
    second_hand_death_is_checked: record(50, 5, Dead) => (50, 5, Alive);
    dead_in_a_later_revision_is_checked: record(50, 8, Dead) => (50, 8, Alive);
    second_hand_leaving: record(50, 5, Leaving) => (50, 5, Leaving);
    leaving_in_an_older_revision: record(50, 4, Leaving) => (50, 5, Leaving);
    leaving_is_not_taken_back: record(50, 6, Leaving), record(50, 7, Alive) => (50, 7, Leaving);
    leaving_is_not_suspected: record(50, 6, Leaving), record(50, 7, Suspect) => (50, 7, Leaving);
    leaving_ends_with_the_incarnation: record(50, 6, Leaving), record(51, 1, Alive) => (51, 1, Alive);
}

#[test]
fn second_hand_death_and_silence_is_dead() {
    let mut process = SingleProcess::new();
    process.deliver_record(record(50, 5, Dead));
    process.run(SUSPECT_TIMEOUT + Duration::from_millis(200));
    assert_eq!(process.held(), (50, 5, Dead));
    assert!(process.sent_to(1, |r| r.state == Dead && r.revision == 5));
}

#[test]
fn second_hand_death_and_messages_is_alive() {
    let mut process = SingleProcess::new();
    process.deliver_record(record(50, 5, Dead));
    for _ in 0..10 {
        process.run(Duration::from_millis(500));
        process.feed(MemberEvent::Received(peer("other", 1, OTHER_INCARNATION)));
    }
    assert_eq!(process.held(), (50, 5, Alive));
}

#[test]
fn suspect_until_the_timeout_then_second_hand_death() {
    let mut process = SingleProcess::new();
    process.deliver_record(record(50, 5, Suspect));
    process.deliver_record(record(50, 5, Dead));
    assert_eq!(process.held(), (50, 5, Suspect));
    process.run(shorter_by(SUSPECT_TIMEOUT, 100));
    assert_eq!(process.held(), (50, 5, Suspect));
    process.run(Duration::from_millis(300));
    assert_eq!(process.held(), (50, 5, Dead));
}

#[test]
fn fresh_evidence_outweighs_suspicion() {
    let mut process = SingleProcess::new();
    process.feed(MemberEvent::Received(peer("other", 1, OTHER_INCARNATION)));
    process.deliver_record(record(50, 5, Suspect));
    assert_eq!(process.held(), (50, 5, Alive));
}

#[test]
fn dead_of_nobody_known_is_not_taken() {
    let mut process = SingleProcess::new();
    let mut unknown = record(7, 1, Dead);
    unknown.peer = peer("unknown", 9, 7);
    process.deliver_record(unknown);
    assert!(process.members.get("unknown").is_none());
}

#[test]
fn header_of_a_later_incarnation_replaces_the_former() {
    let mut process = SingleProcess::new();
    process.out.clear();
    process.feed(MemberEvent::Received(peer(
        "other",
        1,
        OTHER_INCARNATION + 1,
    )));
    assert_eq!(process.held(), (51, 0, Alive));
    assert!(
        process
            .out
            .iter()
            .any(|action| matches!(action, MemberAction::Changed(_)))
    );
    process.deliver_record(record(51, 1, Alive));
    assert_eq!(process.held(), (51, 1, Alive));
}

#[test]
fn header_of_a_former_incarnation_is_ignored() {
    let mut process = SingleProcess::new();
    process.deliver_record(record(50, 5, Suspect));
    process.feed(MemberEvent::Received(peer(
        "other",
        1,
        OTHER_INCARNATION - 1,
    )));
    assert_eq!(process.held(), (50, 5, Suspect));
}

#[test]
fn unknown_sender_is_asked_for_its_record() {
    let mut process = SingleProcess::new();
    process.out.clear();
    process.feed(MemberEvent::Received(peer("unknown", 9, 7)));
    assert!(process.sent_to(9, |r| *r.peer.name == *"me"));
}

#[test]
fn dead_member_that_sends_is_notified() {
    let mut process = SingleProcess::new();
    process.deliver_record(record(51, 1, Dead));
    process.run(Duration::from_secs(2));
    process.out.clear();
    process.feed(MemberEvent::Received(peer(
        "other",
        1,
        OTHER_INCARNATION + 1,
    )));
    assert!(process.sent_to(1, |r| r.state == Dead && r.revision == 1));
}

#[test]
fn own_death_is_refuted_in_the_pong() {
    let mut process = SingleProcess::new();
    let mut mine = process.members.own().clone();
    let revision = mine.revision;
    mine.state = Dead;
    process.out.clear();
    process.deliver_record(mine);
    assert_eq!(process.members.own().state, Alive);
    assert_eq!(process.members.own().revision, revision + 1);
    assert!(process.sent_to(2, |r| *r.peer.name == *"me" && r.revision == revision + 1));
}

#[test]
fn own_leaving_is_accepted_and_announced() {
    let mut process = SingleProcess::new();
    let mut mine = process.members.own().clone();
    mine.state = Leaving;
    process.out.clear();
    process.deliver_record(mine);
    assert_eq!(process.members.own().state, Leaving);
    assert!(process.sent_to(1, |r| *r.peer.name == *"me" && r.state == Leaving));
    let changed = MemberAction::Changed(process.members.own().clone());
    assert!(process.out.contains(&changed));
}

#[test]
fn later_incarnation_of_its_own_name_is_recorded() {
    let mut process = SingleProcess::new();
    assert!(!process.members.is_replaced());
    process.feed(MemberEvent::Received(peer("me", 0, 41)));
    assert!(process.members.is_replaced());
}

#[test]
fn pause_is_followed_by_grace() {
    let mut process = SingleProcess::new();
    process.run(Duration::from_secs(2));
    process.now = process.now + TIMEOUT;
    process.run(shorter_by(GRACE_PERIOD, 200));
    assert_eq!(process.held().2, Alive);
    process.run(TIMEOUT);
    assert_eq!(process.held().2, Dead);
}

#[test]
fn full_table_drops_the_dead_and_turns_newcomers_away() {
    let mut process = SingleProcess::new();
    let known = process.members.records().count();
    for n in known..MAX_MEMBERS {
        process.deliver_record(numbered(n, Alive));
    }
    assert_eq!(process.members.records().count(), MAX_MEMBERS);
    process.out.clear();
    process.deliver_record(numbered(MAX_MEMBERS, Alive));
    assert!(process.members.get("numbered-4096").is_none());
    let full = |action: &MemberAction| matches!(action, MemberAction::LogEvent(note) if note.event == "members_full");
    assert!(process.out.iter().any(full));
    process.deliver_record(record(51, 1, Dead));
    process.deliver_record(numbered(MAX_MEMBERS, Alive));
    assert!(process.members.get("numbered-4096").is_some());
    assert!(process.members.get("other").is_none());
}

fn numbered(n: usize, state: MemberState) -> MemberRecord {
    let mut numbered = record(7, 1, state);
    numbered.peer = peer(&format!("numbered-{n}"), 10 + n, 7);
    numbered
}

#[test]
fn view_does_not_depend_on_the_order() {
    let mut forward = SingleProcess::new();
    let mut backward = SingleProcess::new();
    for n in 0..50 {
        forward.deliver_record(numbered(n, Alive));
        backward.deliver_record(numbered(49 - n, Alive));
    }
    assert_eq!(forward.members.view(), backward.members.view());
    forward.deliver_record(numbered(3, Suspect));
    assert_ne!(forward.members.view(), backward.members.view());
}

#[test]
fn later_incarnations_compare_greater() {
    let earlier = Incarnation::started_at(1_780_000_000_000, u64::MAX);
    let later = Incarnation::started_at(1_780_000_000_001, 0);
    assert!(earlier < later);
}
