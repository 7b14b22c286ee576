//! An engine has told that it leaves; then the store comes back from a copy in which it is still ready.

use crate::engine::{Behaviour, End};
use crate::site::{Route, Site};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ENTRIES: u8 = 5;
const ENGINES: u8 = 4;

/// The engine that leaves.
const LEAVING: u8 = 1;

/// Bound of the pages: `drain_timeout_ms`.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Age of the copy as the engine tells that it leaves.
const COPY_AGE: Duration = Duration::from_millis(500);

/// Times of the store's absence and return, from the acknowledgement of that on.
const AWAY_AT: Duration = Duration::from_millis(1_950);
const BACK_AT: Duration = Duration::from_millis(2_450);

/// Time of the engine's exit: it serves for `drain_timeout_ms` and a little longer.
const EXIT_AT: Duration = Duration::from_millis(3_550);

/// Time for which callers go on.
const UNTIL: Duration = Duration::from_secs(6);

const CALLERS: usize = 40;
const PAUSE: Duration = Duration::from_millis(40);

pub fn play(record: &str, trouble: bool) -> io::Result<bool> {
    let leaves = Arc::new(AtomicBool::new(false));
    let exits = Arc::new(AtomicBool::new(false));
    let behaviour = |number| Behaviour {
        crashes_on: None,
        breaks_off: 0.0,
        loses: 0.0,
        is_active: Arc::default(),
        states_born: false,
        leaves: if number == LEAVING {
            leaves.clone()
        } else {
            Arc::default()
        },
        exits: if number == LEAVING {
            exits.clone()
        } else {
            Arc::default()
        },
        gap: Duration::from_millis(20),
        cold_for: Duration::ZERO,
        seed: 1,
    };
    let routes = [Route {
        name: "grade",
        prefix: "/grade/",
        kind: "unsafe",
        resumable: false,
        max_attempts: 1,
    }];
    let mut site = Site::new("copy", record, ENTRIES, ENGINES, behaviour, &routes, 0)?;
    site.start_entries()?;
    thread::sleep(Duration::from_secs(8));
    let site = Arc::new(site);
    let ends = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (site, ends) = (site.clone(), ends.clone());
            thread::spawn(move || call(&site, caller, &ends))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let copy = site.store.snapshot();
    thread::sleep(COPY_AGE);
    leaves.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(10));
    let acknowledged = Instant::now();
    site.note("the store has acknowledged that engine m1-1 is draining");
    if trouble {
        thread::sleep(AWAY_AT);
        site.store.go_away();
        site.note("the store is away");
        thread::sleep(BACK_AT - AWAY_AT);
        site.store.come_back_from(copy);
        site.note("the store is back from the copy");
    }
    thread::sleep(EXIT_AT.saturating_sub(acknowledged.elapsed()));
    exits.store(true, Ordering::SeqCst);
    site.note("engine m1-1 exits");
    thread::sleep(UNTIL.saturating_sub(acknowledged.elapsed()));
    ends.store(true, Ordering::SeqCst);
    for caller in callers {
        caller
            .join()
            .map_err(|_| io::Error::other("a caller failed"))?;
    }
    site.note_runs();
    for entry in &site.entries {
        for line in entry.log_lines(&[
            "event=started",
            "instance=m1-1 incarnation",
            "store_restored",
        ]) {
            site.note(&format!("entry {}: {line}", entry.number));
        }
    }
    Ok(judge(&site, acknowledged))
}

fn call(site: &Site, caller: usize, ends: &AtomicBool) {
    let to = site.entries[caller % site.entries.len()].front;
    while !ends.load(Ordering::SeqCst) {
        let id = site.new_id();
        site.generate(
            to,
            &id,
            "/grade/short?events=10",
            "e4402b7e:50",
            "50,40",
            &id,
        );
        thread::sleep(PAUSE);
    }
}

/// Counts the requests that reached the engine later than allowed.
fn judge(site: &Site, acknowledged: Instant) -> bool {
    let runs = site.runs.all();
    let of_engine = runs.iter().filter(|r| r.instance == "m1-1");
    let late: Vec<Duration> = of_engine
        .filter(|r| r.at > acknowledged + DRAIN_TIMEOUT)
        .map(|r| r.at - acknowledged)
        .collect();
    let cut = runs
        .iter()
        .filter(|r| r.instance == "m1-1" && r.end != End::Whole);
    site.note(&format!(
        "{} runs on engine m1-1 were cut by its exit",
        cut.count()
    ));
    site.note(&format!(
        "{} of {} requests reached engine m1-1 later than {} ms after the store had acknowledged that \
         it is draining; first and last after {:?} and {:?}",
        late.len(),
        runs.len(),
        DRAIN_TIMEOUT.as_millis(),
        late.iter().min(),
        late.iter().max()
    ));
    late.is_empty()
}
