//! Admission of generations, memory backups of runs, and watchers of the store.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{
    AdmissionRequest, ArrivalKind, Departure, DepartureAction, FIRST_RANK_RESERVE, Incarnation,
    LATE_LIMIT, LONG_LIMIT, MAX_FILL_WITHOUT_RISK, MemoryUsage, Name, Need, Pool, RETURNING_LIMIT,
    STEP_DOWN_AFTER, STOP_AFTER_LEAVE_NOTICE, Time, UpstreamRecord, UpstreamState, ValueDensities,
    WATCHERS, WatcherRole, WatcherView, capacity_expected_after, departure_action, is_admitted,
    pick_backup_holder,
};
use std::net::Ipv4Addr;
use std::time::Duration;

cases! {
    run_with_a_backup_continues => assert_eq!(departure_action(true), DepartureAction::Continue);
    run_without_a_backup_is_migrated => assert_eq!(departure_action(false), DepartureAction::Migrate);
    copy_is_kept_elsewhere => copy_is_elsewhere();
    no_copy_where_memory_is_short => no_copy_when_short();
    no_copy_where_there_is_nobody_else => no_copy_alone();
    long_generation_needs_capacity => assert!(!admits(500, ArrivalKind::First, 1.0, 0.1) && admits(500, ArrivalKind::First, 0.5, 0.5));
    long_generation_leaves_capacity_for_migrations => assert!(!admits(500, ArrivalKind::First, 0.5, 1.0));
    late_generation_is_refused_first => late_is_refused_first();
    caller_in_time_and_late_are_distinguished => distinguished();
    generation_of_higher_value_density_goes_first => higher_value_goes_first();
    shorter_prompt_has_higher_value_density => shorter_prompt();
    shorter_answer_has_higher_value_density => shorter_answer();
    kinds_have_value_densities_of_their_own => own_kinds();
    absurd_sizes_do_not_distort_the_mean => absurd_sizes();
    run_is_stopped_early_while_nothing_is_known => assert_eq!(leaving(None, 0), STOP_AFTER_LEAVE_NOTICE);
    run_is_stopped_once_the_copies_are_done => copies_done();
    run_is_stopped_before_its_engine_is_gone => stopped_in_time();
    late_departure_does_not_delay_the_stop => assert_eq!(leaving(Some(9_000), 100), STOP_AFTER_LEAVE_NOTICE);
    returning_generation_is_admitted_first => returning_first();
    first_rank_is_admitted_first => first_rank();
    short_generation_is_admitted_beyond => assert!(admits(10, ArrivalKind::First, 1.0, 1.0) && !admits(10, ArrivalKind::First, 2.0, 1.0));
    fuller_memory_gives_a_later_retry_time => assert!(capacity_expected_after(1.5) > capacity_expected_after(0.5));
    lone_entry_watches => assert!(WatcherRole::new(addr(0), true).is_watching());
    enough_watchers_are_found => enough_watchers();
    watcher_that_fails_is_replaced => failed_is_replaced();
    watcher_steps_down_late => steps_down_late();
    few_are_primary_even_while_all_watch => few_primary();
    few_entries_call_an_unreachable_store_often => few_call_often();
    calls_of_a_silent_store_do_not_grow_with_the_fleet => calls_stay_few();
}

fn asking(expected_tokens: u64, arrival: ArrivalKind) -> AdmissionRequest {
    AdmissionRequest {
        expected_tokens,
        value_density: 0.0,
        arrival,
        rank: 1,
    }
}

fn admits(expected_tokens: u64, arrival: ArrivalKind, engine: f64, service: f64) -> bool {
    is_admitted(
        &asking(expected_tokens, arrival),
        &MemoryUsage { engine, service },
    )
}

fn returning_first() {
    let between = f64::midpoint(LONG_LIMIT, RETURNING_LIMIT);
    assert!(admits(500, ArrivalKind::AgainInTime, between, 0.5));
    assert!(!admits(500, ArrivalKind::First, between, 0.5));
    assert!(!admits(
        500,
        ArrivalKind::AgainInTime,
        RETURNING_LIMIT + 0.01,
        0.5
    ));
}

fn late_is_refused_first() {
    let between = f64::midpoint(LATE_LIMIT, RETURNING_LIMIT);
    assert!(admits(500, ArrivalKind::AgainInTime, between, 0.5));
    assert!(!admits(500, ArrivalKind::AgainLate, between, 0.5));
}

fn distinguished() {
    let after = |waited: Option<u64>| {
        let waited = waited.map(Duration::from_millis);
        ArrivalKind::after(waited, Duration::from_millis(1_800))
    };
    assert_eq!(after(None), ArrivalKind::First);
    assert_eq!(after(Some(0)), ArrivalKind::AgainInTime);
    assert_eq!(after(Some(600)), ArrivalKind::AgainInTime);
    assert_eq!(after(Some(1_500)), ArrivalKind::AgainLate);
}

fn higher_value_goes_first() {
    let fill = MemoryUsage {
        engine: LONG_LIMIT + 0.05,
        service: 0.5,
    };
    let with_value = |yields| AdmissionRequest {
        value_density: yields,
        ..asking(500, ArrivalKind::First)
    };
    assert!(is_admitted(&with_value(0.5), &fill));
    assert!(!is_admitted(&with_value(0.0), &fill));
    assert!(!is_admitted(&with_value(-0.5), &fill));
}

/// Returns the value density of a generation among many of 3,000 and 600 tokens.
fn value_of(prompt: u64, expected: u64) -> f64 {
    let mut yields = ValueDensities::default();
    let kind = Name::from("log");
    for _ in 0..100 {
        yields.record(&kind, 3_000, 600);
    }
    yields.record(&kind, prompt, expected)
}

fn shorter_prompt() {
    assert!(
        value_of(3_000, 600).abs() < 0.05,
        "{}",
        value_of(3_000, 600)
    );
    assert!(value_of(1_500, 600) > 0.3, "{}", value_of(1_500, 600));
    assert!(value_of(6_000, 600) < -0.3, "{}", value_of(6_000, 600));
}

fn shorter_answer() {
    assert!(value_of(3_000, 200) > 0.3, "{}", value_of(3_000, 200));
    assert!(value_of(3_000, 1_800) < -0.3, "{}", value_of(3_000, 1_800));
}

fn absurd_sizes() {
    let kind = Name::from("log");
    let mut yields = ValueDensities::default();
    yields.record(&kind, 4_000_000_000, 4_000_000_000);
    for _ in 0..100 {
        yields.record(&kind, 3_000, 600);
    }
    yields.record(&kind, 4_000_000_000, 4_000_000_000);
    let usual = yields.record(&kind, 3_000, 600);
    assert!(usual.abs() < 0.2, "{usual}");
}

fn own_kinds() {
    let mut yields = ValueDensities::default();
    for _ in 0..100 {
        yields.record(&Name::from("log"), 3_000, 600);
    }
    let of_grade = yields.record(&Name::from("grade"), 500, 20);
    assert!(of_grade.abs() < 0.05, "{of_grade}");
}

/// Returns the time from the leave notice to the stop of a run on an engine that is gone after
/// `gone` milliseconds.
fn leaving(gone: Option<u64>, copy_time: u64) -> Duration {
    let departure = Departure {
        notified_at: at(5_000),
        gone_at: gone.map(|gone| at(5_000 + gone)),
        copy_time: Duration::from_millis(copy_time),
    };
    departure.stop_at().since(at(5_000))
}

fn copies_done() {
    let stop = leaving(Some(3_000), 1_200);
    assert!(stop > Duration::from_millis(1_200), "{stop:?}");
    assert!(stop < Duration::from_secs(2), "{stop:?}");
}

fn stopped_in_time() {
    let stop = leaving(Some(1_600), 5_000);
    assert!(stop > STOP_AFTER_LEAVE_NOTICE, "{stop:?}");
    assert!(stop < Duration::from_millis(1_500), "{stop:?}");
}

fn first_rank() {
    let fill = MemoryUsage {
        engine: LONG_LIMIT + FIRST_RANK_RESERVE / 2.0,
        service: 0.5,
    };
    let of_rank = |rank| AdmissionRequest {
        rank,
        ..asking(500, ArrivalKind::First)
    };
    assert!(is_admitted(&of_rank(0), &fill));
    assert!(!is_admitted(&of_rank(1), &fill));
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn pool(count: usize) -> Pool {
    let mut pool = Pool::new(Name::from("dc"));
    for i in 0..count {
        let record = UpstreamRecord {
            incarnation: Incarnation::default(),
            instance: Name::from(format!("i{i}")),
            service: Name::from("models"),
            addr: "127.0.0.1:1".parse().unwrap(),
            data_centre: Name::from("dc"),
            software_version: Some(Name::from("v1")),
            slots: 8,
            state: UpstreamState::Serving,
            cold_for: Duration::ZERO,
            revision: i as u64 + 1,
        };
        pool.upsert(at(0), record);
    }
    pool.set_memory(&Name::from("models"), Some(10_000));
    pool
}

fn copy() -> Need {
    Need {
        tokens: 1_000,
        ..Need::default()
    }
}

fn copy_is_elsewhere() {
    let pool = pool(2);
    let source = pool.find("i0").unwrap();
    let holder = pick_backup_holder(&pool, at(0), &Name::from("models"), &copy(), source, 0.0);
    assert_eq!(holder, pool.find("i1"));
}

fn no_copy_when_short() {
    let mut pool = pool(2);
    let source = pool.find("i0").unwrap();
    let need = Need {
        tokens: 15_000,
        ..Need::default()
    };
    pool.place(at(0), source, &need);
    assert!(pool.service_memory_share(at(0), "models") > MAX_FILL_WITHOUT_RISK);
    let holder = pick_backup_holder(&pool, at(0), &Name::from("models"), &copy(), source, 0.0);
    assert_eq!(holder, None);
}

fn no_copy_alone() {
    let pool = pool(1);
    let source = pool.find("i0").unwrap();
    let holder = pick_backup_holder(&pool, at(0), &Name::from("models"), &copy(), source, 0.0);
    assert_eq!(holder, None);
}

fn addr(number: usize) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a01_0000 + u32::try_from(number).unwrap())
}

/// Returns a live entry that doesn't watch.
fn idle(number: usize) -> WatcherView {
    WatcherView {
        addr: addr(number),
        is_alive: true,
        watches: false,
        is_unanswered: false,
    }
}

/// Entries that receive each other's announcements and whose watches the store answers, except for
/// `cut`.
struct Fleet {
    addrs: Vec<Ipv4Addr>,
    roles: Vec<WatcherRole>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let addrs: Vec<Ipv4Addr> = (0..count).map(addr).collect();
        let roles = addrs.iter().map(|addr| WatcherRole::new(*addr, true));
        let roles = roles.collect();
        Self { addrs, roles }
    }

    fn watching(&self) -> Vec<usize> {
        let all = 0..self.roles.len();
        all.filter(|i| self.roles[*i].is_watching()).collect()
    }

    fn decide(&mut self, now: Time, cut: Option<usize>) {
        let views: Vec<WatcherView> = (0..self.addrs.len())
            .map(|i| WatcherView {
                addr: self.addrs[i],
                is_alive: true,
                watches: self.roles[i].is_watching() && Some(i) != cut,
                is_unanswered: self.roles[i].is_watching() && Some(i) == cut,
            })
            .collect();
        for (i, role) in self.roles.iter_mut().enumerate() {
            let others = views.iter().filter(|v| v.addr != self.addrs[i]);
            role.decide(now, others);
        }
    }

    fn settle(&mut self, from: Time, cut: Option<usize>) -> Time {
        let mut now = from;
        for _ in 0..60 {
            now = now + Duration::from_millis(250);
            self.decide(now, cut);
        }
        now
    }
}

fn enough_watchers() {
    let mut fleet = Fleet::new(20);
    fleet.settle(at(0), None);
    assert_eq!(fleet.watching().len(), WATCHERS);
}

fn failed_is_replaced() {
    let mut fleet = Fleet::new(20);
    let now = fleet.settle(at(0), None);
    let cut = fleet.watching()[0];
    fleet.decide(now + Duration::from_millis(250), Some(cut));
    let healthy = fleet.watching().into_iter().filter(|i| *i != cut).count();
    assert!(healthy >= WATCHERS, "{healthy}");
}

fn steps_down_late() {
    let mut fleet = Fleet::new(20);
    fleet.decide(at(0), None);
    fleet.decide(at(0) + STEP_DOWN_AFTER / 2, None);
    assert_eq!(fleet.watching().len(), 20);
}

/// While no entry reaches the store, only the top-ranked entries call it often, at any fleet size.
fn few_call_often() {
    let mut fleet = Fleet::new(20);
    let views: Vec<WatcherView> = (0..20).map(idle).collect();
    for (i, role) in fleet.roles.iter_mut().enumerate() {
        role.decide(at(0), views.iter().filter(|v| v.addr != fleet.addrs[i]));
    }
    assert_eq!(fleet.watching().len(), 20);
    let often = |d: &&WatcherRole| d.max_pause() < Duration::from_secs(1);
    assert_eq!(fleet.roles.iter().filter(often).count(), WATCHERS);
    assert!(WatcherRole::new(addr(0), true).max_pause() < Duration::from_secs(1));
}

fn calls_stay_few() {
    for size in [5, 68, 350] {
        let mut fleet = Fleet::new(size);
        let views: Vec<WatcherView> = (0..size).map(idle).collect();
        for (i, role) in fleet.roles.iter_mut().enumerate() {
            role.decide(at(0), views.iter().filter(|v| v.addr != fleet.addrs[i]));
        }
        let pauses = fleet.roles.iter().map(|d| d.max_pause().as_secs_f64());
        let calls_a_second: f64 = pauses.map(|p| 2.0 / p).sum();
        assert!(calls_a_second < 40.0, "{size} entries: {calls_a_second}");
    }
}

fn few_primary() {
    let mut fleet = Fleet::new(20);
    fleet.decide(at(0), None);
    let primary = fleet.roles.iter().filter(|d| d.is_primary()).count();
    assert_eq!((fleet.watching().len(), primary), (20, WATCHERS));
}
