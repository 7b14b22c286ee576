//! Measures membership in virtual time: bytes, detection and agreement.
//!
//! `cargo run --release -p fireflycroft --example membership -- [members] [seed]`

#[path = "../tests/members/fleet.rs"]
mod fleet;

use fireflycroft::{
    ConfigVersion, Incarnation, MemberEvent, MemberRecord, MemberSetup, MemberState, Members,
    Message, Name, Peer, Role, Time,
};
use fireflycroft_wire::{decode_all, encode_all};
use fleet::{Fleet, NodeIx};
use std::collections::HashSet;
use std::time::{Duration, Instant};

const DEFAULT_MEMBERS: usize = 1_000;
/// Number of members that the steps below end or select by index.
const MIN_MEMBERS: usize = 64;
const DEFAULT_SEED: u64 = 7;
const TIMEOUT: Duration = Duration::from_mins(3);
const IDLE_SECS: u64 = 30;
const DEATHS: usize = 5;
const TABLES: usize = 50;
const PAGE_BYTES: usize = 4_096;

fn main() {
    let mut args = std::env::args().skip(1);
    let count = args.next().and_then(|a| a.parse().ok());
    let seed = args.next().and_then(|a| a.parse().ok());
    let (count, seed) = (
        count.unwrap_or(DEFAULT_MEMBERS).max(MIN_MEMBERS),
        seed.unwrap_or(DEFAULT_SEED),
    );
    println!("members={count} seed={seed}");
    measure_table_memory(count);
    let mut fleet = cold_start(count, seed);
    measure_idle(&mut fleet);
    measure_deaths(&mut fleet);
    measure_joining(&mut fleet, count);
    measure_leaving(&mut fleet);
    measure_loss(&mut fleet);
    measure_partition(&mut fleet);
    println!("longest_packet_bytes={}", fleet.longest_packet);
}

/// Measures the resident bytes of tables filled from decoded messages.
fn measure_table_memory(count: usize) {
    let before = resident_bytes();
    let tables: Vec<Members> = (0..TABLES).map(|_| filled_table(count)).collect();
    let held: usize = tables.iter().map(|table| table.records().count()).sum();
    let bytes = (resident_bytes() - before) / held;
    println!("resident_bytes_per_member_held={bytes} tables={TABLES}");
}

fn filled_table(count: usize) -> Members {
    let mut members = Members::new(MemberSetup {
        me: agent(0),
        data_centre: "north".into(),
        serves: Vec::new(),
        seeds: Vec::new(),
        seed: [1; 32],
    });
    let mut out = Vec::new();
    for n in 1..count {
        let record = MemberRecord {
            peer: agent(n),
            data_centre: "north".into(),
            state: MemberState::Alive,
            revision: 1,
            serves: vec!["model-of-the-archive".into()],
        };
        let body = Message::ViewPage {
            records: vec![record],
        };
        let packet = encode_all(&agent(0), ConfigVersion(0), None, &[body]);
        let (_, bodies) = decode_all(&packet).expect("a valid packet");
        for body in bodies {
            let event = MemberEvent::Message(agent(1), body);
            members.on_event(Time::default(), event, &mut out);
        }
        out.clear();
    }
    members
}

fn agent(n: usize) -> Peer {
    Peer {
        name: format!("member-{n}").into(),
        addr: fleet::addr(n),
        incarnation: Incarnation::started_at(1_780_000_000_000, n as u64),
        role: Role::Agent,
    }
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn cold_start(count: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::settled(seed, count, Duration::ZERO);
    let took = fleet.run_until(TIMEOUT, Fleet::is_agreed);
    let rate = rate(&fleet, 0, took.unwrap_or(TIMEOUT));
    println!("cold_start_agreed={took:?} bytes_per_second_per_member={rate}");
    fleet
}

fn measure_idle(fleet: &mut Fleet) {
    fleet.run(Duration::from_mins(3));
    let before: Vec<u64> = fleet.nodes.iter().map(|node| node.bytes).collect();
    let started = Instant::now();
    fleet.run(Duration::from_secs(IDLE_SECS));
    let micros = started.elapsed().as_micros() / u128::from(IDLE_SECS);
    let pairs = fleet.nodes.iter().zip(&before);
    let rates: Vec<u64> = pairs
        .map(|(node, b)| (node.bytes - b) / IDLE_SECS)
        .collect();
    let mean = rates.iter().sum::<u64>() / rates.len() as u64;
    let most = rates.iter().max().copied().unwrap_or(0);
    let micros = micros / fleet.nodes.len() as u128;
    println!("steady_bytes_per_second_per_member mean={mean} most={most}");
    println!("steady_micros_per_second_per_member={micros} with encoding and this driver");
}

fn measure_deaths(fleet: &mut Fleet) {
    for n in 0..DEATHS {
        let terminated = NodeIx(10 + 7 * n);
        let name = fleet.node(terminated).peer.name.clone();
        let (started, bytes) = (fleet.now, fleet.bytes());
        fleet.end(terminated);
        let all = fleet.run_until(TIMEOUT, |f| {
            f.all_hold(&name, |s| s == Some(MemberState::Dead))
        });
        let suspects = first_and_last(fleet, &name, MemberState::Suspect, started);
        let dead = first_and_last(fleet, &name, MemberState::Dead, started);
        let rate = rate(fleet, bytes, all.unwrap_or(TIMEOUT));
        println!(
            "death suspect_first_last={suspects:?} dead_first_last={dead:?} all={all:?} bytes_per_second_per_member={rate}"
        );
        fleet.run(Duration::from_secs(20));
    }
}

fn measure_leaving(fleet: &mut Fleet) {
    for (loss, at) in [(0, 60), (20, 61)] {
        fleet.loss = loss;
        let leaver = NodeIx(at);
        let name = fleet.node(leaver).peer.name.clone();
        let (before, all_before) = (fleet.node(leaver).bytes, fleet.bytes());
        fleet.leave(leaver);
        let entries = fleet.run_until(TIMEOUT, |f| {
            let entries = f.running().into_iter();
            entries
                .filter(|ix| f.node(*ix).peer.role == Role::Entry && *ix != leaver)
                .all(|ix| f.state(ix, &name) == Some(MemberState::Leaving))
        });
        let rest = fleet.run_until(TIMEOUT, |f| {
            f.all_hold(&name, |s| s == Some(MemberState::Leaving))
        });
        let all = entries.zip(rest).map(|(a, b)| a + b);
        let own = fleet.node(leaver).bytes - before;
        let total = fleet.bytes() - all_before;
        println!(
            "leaving loss={loss}% entries={entries:?} all={all:?} leaver_bytes={own} all_bytes={total}"
        );
        fleet.run(Duration::from_secs(10));
    }
    fleet.loss = 0;
    fleet.run(Duration::from_mins(1));
}

fn measure_joining(fleet: &mut Fleet, count: usize) {
    let name = "member-new";
    let bytes = fleet.bytes();
    let new = fleet.start(name, count);
    let alive = |s| s == Some(MemberState::Alive);
    let by_all = fleet.run_until(TIMEOUT, |f| f.all_hold(name, alive));
    let wanted = fleet.running().len();
    let itself = fleet.run_until(TIMEOUT, |f| {
        let records = f.node(new).members.records();
        records.filter(|r| r.state < MemberState::Dead).count() >= wanted
    });
    let rate = rate(fleet, bytes, by_all.unwrap_or(TIMEOUT));
    println!(
        "join known_to_all={by_all:?} then_knows_all={itself:?} bytes_per_second_per_member={rate}"
    );
    fleet.run(Duration::from_secs(20));
}

/// Counts records of running members that were dead for a time under message loss.
fn measure_loss(fleet: &mut Fleet) {
    let (started, bytes) = (fleet.now, fleet.bytes());
    fleet.loss = 20;
    let span = Duration::from_mins(1);
    fleet.run(span);
    fleet.loss = 0;
    let running = fleet.running();
    let peers = running.iter().map(|ix| fleet.node(*ix));
    let names: HashSet<Name> = peers.map(|node| node.peer.name.clone()).collect();
    let seen = running.iter().flat_map(|ix| &fleet.node(*ix).seen);
    let falsely = seen.filter(|((name, state), at)| {
        *state == MemberState::Dead && **at >= started && names.contains(name)
    });
    let count = falsely.count();
    let rate = rate(fleet, bytes, span);
    println!("loss=20% for 60s: false_death_views={count} bytes_per_second_per_member={rate}");
    fleet.run(Duration::from_mins(2));
}

fn measure_partition(fleet: &mut Fleet) {
    let bytes = fleet.bytes();
    fleet.cut(0);
    let cut_for = Duration::from_mins(1);
    fleet.run(cut_for);
    let rate_cut = rate(fleet, bytes, cut_for);
    let dead = count_dead(fleet);
    fleet.cuts.clear();
    let bytes = fleet.bytes();
    let healed = fleet.run_until(TIMEOUT, Fleet::is_agreed);
    let rate_healed = rate(fleet, bytes, healed.unwrap_or(TIMEOUT));
    println!(
        "cut_60s dead_views={dead} bytes_per_second_per_member={rate_cut} healed={healed:?} bytes_per_second_per_member={rate_healed}"
    );
}

fn count_dead(fleet: &Fleet) -> usize {
    let running = fleet.running().into_iter();
    let dead = |at| {
        let records = fleet.node(at).members.records();
        records.filter(|r| r.state == MemberState::Dead).count()
    };
    running.map(dead).sum()
}

fn first_and_last(
    fleet: &Fleet,
    name: &fireflycroft::Name,
    state: MemberState,
    started: fireflycroft::Time,
) -> Option<(Duration, Duration)> {
    let key = (name.clone(), state);
    let times = fleet.nodes.iter().filter_map(|node| node.seen.get(&key));
    let spans: Vec<Duration> = times.map(|at| at.since(started)).collect();
    spans.iter().min().copied().zip(spans.iter().max().copied())
}

/// Returns bytes per second and member since the count was `before`.
fn rate(fleet: &Fleet, before: u64, span: Duration) -> u64 {
    let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX).max(1);
    (fleet.bytes() - before) * 1_000 / millis / fleet.nodes.len() as u64
}
