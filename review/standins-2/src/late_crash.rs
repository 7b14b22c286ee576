//! A request that crashes each engine that runs it, some events into its answer, comes again and again.

use crate::engine::{Behaviour, End};
use crate::site::{Route, Site};
use std::io;
use std::thread;
use std::time::{Duration, Instant};

const ENTRIES: u8 = 5;
const ENGINES: u8 = 9;

/// Bound of the pages: time after the third crash from which arrivals count, `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Bound of the pages: counted arrivals that break no rule.
const MAX_LATE: usize = 3;

/// The request that crashes engines.
const BAD: &str = "/log/bad";

/// Event in whose place an engine crashes: 0.4 s after the head of the answer.
const CRASHES_AT: u64 = 10;
const GAP: Duration = Duration::from_millis(40);

/// Interval at which it comes again, and how long it does.
const INTERVAL: Duration = Duration::from_millis(1_500);
const COMES_FOR: Duration = Duration::from_secs(30);

pub fn play(record: &str, trouble: bool) -> io::Result<bool> {
    let behaviour = |_| Behaviour {
        crashes_on: trouble.then(|| (BAD.to_owned(), CRASHES_AT)),
        breaks_off: 0.0,
        loses: 0.0,
        is_active: Default::default(),
        states_born: true,
        leaves: Default::default(),
        exits: Default::default(),
        gap: GAP,
        cold_for: Duration::ZERO,
        seed: 1,
    };
    let routes = [Route {
        name: "log",
        prefix: "/log/",
        kind: "streaming",
        resumable: false,
        max_attempts: 1,
    }];
    let mut site = Site::new(
        "late-crash",
        record,
        ENTRIES,
        ENGINES,
        behaviour,
        &routes,
        0,
    )?;
    site.start_entries()?;
    thread::sleep(STABLE_WINDOW);
    let end = Instant::now() + COMES_FOR;
    let mut turn = 0;
    while Instant::now() < end {
        send(&site, turn);
        turn += 1;
    }
    for entry in &mut site.entries {
        if !entry.is_running() {
            return Err(io::Error::other("an entry has ended"));
        }
    }
    site.note_runs();
    for entry in &site.entries {
        for line in entry.log_lines(&[
            "event=started",
            "part_",
            "refused",
            "upstream_crashed",
            "stream_cut",
        ]) {
            site.note(&format!("entry {}: {line}", entry.number));
        }
    }
    Ok(judge(&site))
}

/// Sends the bad request to the next entry.
fn send(site: &Site, turn: usize) {
    let until = Instant::now() + INTERVAL;
    let entry = &site.entries[turn % site.entries.len()];
    let id = site.new_id();
    let path = format!("{BAD}?events=20");
    site.generate(
        entry.front,
        &id,
        &path,
        "5c1e07a2:80,e4402b7d:250",
        "330,400",
        "bad",
    );
    thread::sleep(until.saturating_duration_since(Instant::now()));
}

/// Counts the arrivals at engines later than allowed.
fn judge(site: &Site) -> bool {
    let runs = site.runs.all();
    let crashed: Vec<Instant> = runs
        .iter()
        .filter(|r| r.end == End::Crashed)
        .map(|r| r.ended)
        .collect();
    let Some(third) = crashed.get(2) else {
        site.note(&format!("{} crashes", crashed.len()));
        return true;
    };
    let late = runs
        .iter()
        .filter(|r| r.path.starts_with(BAD) && r.at > *third + STABLE_WINDOW);
    let late = late.count();
    site.note(&format!(
        "{} crashes; {late} arrivals at engines later than 3 s after the third, the rule allows {MAX_LATE}",
        crashed.len()
    ));
    late <= MAX_LATE
}
