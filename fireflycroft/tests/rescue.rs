//! Room for generations, copies of runs, and who watches the store.

use fireflycroft::{
    Asking, BACKUP_FILL, Fill, Name, Need, OnNotice, Pool, ROOM_FOR_FIRST, ROOM_FOR_LONG,
    ROOM_FOR_RETURNING, STEP_DOWN_AFTER, Time, UpstreamRecord, UpstreamState, WATCHERS, WatchDuty,
    WatchView, is_room, on_notice, pick_backup, room_after,
};
use std::time::Duration;

macro_rules! cases {
    ($($name:ident => $body:expr;)+) => {
        $(
            #[test]
            fn $name() {
                $body
            }
        )+
    };
}

cases! {
    run_with_a_copy_goes_on => assert_eq!(on_notice(true), OnNotice::LetRun);
    run_without_a_copy_is_moved => assert_eq!(on_notice(false), OnNotice::Move);
    copy_is_kept_elsewhere => copy_is_elsewhere();
    no_copy_where_memory_is_short => no_copy_when_short();
    no_copy_where_there_is_nobody_else => no_copy_alone();
    long_generation_needs_room => assert!(!room(500, false, 1.0, 0.1) && room(500, false, 0.5, 0.5));
    long_generation_needs_room_for_what_moves => assert!(!room(500, false, 0.5, 1.0));
    returning_generation_is_let_in_first => returning_first();
    first_rank_is_let_in_first => first_rank();
    short_generation_is_let_in_beyond => assert!(room(10, false, 1.0, 1.0) && !room(10, false, 2.0, 1.0));
    fuller_memory_says_come_back_later => assert!(room_after(1.5) > room_after(0.5));
    lone_entry_watches => assert!(WatchDuty::new(&Name::from("a")).is_watching());
    enough_watchers_are_found => enough_watchers();
    watcher_that_fails_is_replaced => failed_is_replaced();
    watcher_steps_down_late => steps_down_late();
    few_are_relied_on_even_while_all_watch => few_relied_on();
}

fn room(expected_tokens: u64, returns: bool, engine: f64, service: f64) -> bool {
    let asking = Asking {
        expected_tokens,
        returns,
        rank: 1,
    };
    is_room(&asking, &Fill { engine, service })
}

fn returning_first() {
    let between = f64::midpoint(ROOM_FOR_LONG, ROOM_FOR_RETURNING);
    assert!(room(500, true, between, 0.5));
    assert!(!room(500, false, between, 0.5));
    assert!(!room(500, true, ROOM_FOR_RETURNING + 0.01, 0.5));
}

fn first_rank() {
    let fill = Fill {
        engine: ROOM_FOR_LONG + ROOM_FOR_FIRST / 2.0,
        service: 0.5,
    };
    let of_rank = |rank| Asking {
        expected_tokens: 500,
        returns: false,
        rank,
    };
    assert!(is_room(&of_rank(0), &fill));
    assert!(!is_room(&of_rank(1), &fill));
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn pool(count: usize) -> Pool {
    let mut pool = Pool::new(Name::from("dc"));
    for i in 0..count {
        let record = UpstreamRecord {
            instance: Name::from(format!("i{i}")),
            service: Name::from("models"),
            addr: "127.0.0.1:1".parse().unwrap(),
            data_centre: Name::from("dc"),
            slots: 8,
            state: UpstreamState::Serving,
            cold_for: Duration::ZERO,
            revision: i as u64 + 1,
        };
        pool.learn(at(0), record);
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
    let keeper = pick_backup(&pool, at(0), &Name::from("models"), &copy(), source);
    assert_eq!(keeper, pool.find("i1"));
}

fn no_copy_when_short() {
    let mut pool = pool(2);
    let source = pool.find("i0").unwrap();
    let need = Need {
        tokens: 15_000,
        ..Need::default()
    };
    pool.place(at(0), source, &need);
    assert!(pool.fill_of(at(0), "models") > BACKUP_FILL);
    let keeper = pick_backup(&pool, at(0), &Name::from("models"), &copy(), source);
    assert_eq!(keeper, None);
}

fn no_copy_alone() {
    let pool = pool(1);
    let source = pool.find("i0").unwrap();
    let keeper = pick_backup(&pool, at(0), &Name::from("models"), &copy(), source);
    assert_eq!(keeper, None);
}

/// Entries that hear each other and whose watches the store answers, but for `cut`.
struct Fleet {
    names: Vec<Name>,
    duties: Vec<WatchDuty>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let names: Vec<Name> = (0..count).map(|i| Name::from(format!("e{i}"))).collect();
        let duties = names.iter().map(WatchDuty::new).collect();
        Self { names, duties }
    }

    fn watching(&self) -> Vec<usize> {
        let all = 0..self.duties.len();
        all.filter(|i| self.duties[*i].is_watching()).collect()
    }

    fn decide(&mut self, now: Time, cut: Option<usize>) {
        let views: Vec<WatchView> = (0..self.names.len())
            .map(|i| WatchView {
                name: self.names[i].clone(),
                watches: self.duties[i].is_watching() && Some(i) != cut,
            })
            .collect();
        for (i, duty) in self.duties.iter_mut().enumerate() {
            let others = views.iter().filter(|v| v.name != self.names[i]);
            duty.decide(now, others);
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
    let sound = fleet.watching().into_iter().filter(|i| *i != cut).count();
    assert!(sound >= WATCHERS, "{sound}");
}

fn steps_down_late() {
    let mut fleet = Fleet::new(20);
    fleet.decide(at(0), None);
    fleet.decide(at(0) + STEP_DOWN_AFTER / 2, None);
    assert_eq!(fleet.watching().len(), 20);
}

fn few_relied_on() {
    let mut fleet = Fleet::new(20);
    fleet.decide(at(0), None);
    let relied_on = fleet.duties.iter().filter(|d| d.is_relied_on()).count();
    assert_eq!((fleet.watching().len(), relied_on), (20, WATCHERS));
}
