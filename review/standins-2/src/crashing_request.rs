//! A request that crashes the engines that begin it comes again after all processes of the system were killed at once.

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

/// Interval at which it comes again.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time for which it goes on coming after the processes are back and in touch.
const COMES_FOR: Duration = Duration::from_secs(45);

pub fn play(record: &str, trouble: bool) -> io::Result<bool> {
    let behaviour = |_| Behaviour {
        crashes_on: Some((BAD.to_owned(), 1)),
        breaks_off: 0.0,
        loses: 0.0,
        is_active: Default::default(),
        states_born: true,
        leaves: Default::default(),
        exits: Default::default(),
        gap: Duration::from_millis(20),
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
    let mut site = Site::new("crashing", record, ENTRIES, ENGINES, behaviour, &routes, 0)?;
    site.start_entries()?;
    thread::sleep(STABLE_WINDOW);
    // Comes until it has crashed the third engine, and three times more.
    let mut turn = 0;
    let end = Instant::now() + Duration::from_secs(20);
    while crashes(&site).len() < 3 && Instant::now() < end {
        send(&site, &mut turn);
    }
    for _ in 0..3 {
        send(&site, &mut turn);
    }
    let third = crashes(&site).get(2).copied();
    let third = third.ok_or_else(|| io::Error::other("fewer than three crashes"))?;
    if trouble {
        for entry in &mut site.entries {
            entry.kill();
        }
        site.note("all processes of the system are killed");
        thread::sleep(Duration::from_millis(500));
        site.start_entries()?;
    }
    // All machines are in touch again, and the three engines are back.
    thread::sleep(STABLE_WINDOW + Duration::from_millis(500));
    let end = Instant::now() + COMES_FOR;
    while Instant::now() < end {
        send(&site, &mut turn);
    }
    for entry in &mut site.entries {
        if !entry.is_running() {
            return Err(io::Error::other("an entry has ended"));
        }
    }
    site.note_runs();
    let late = site.runs.all();
    let late = late
        .iter()
        .filter(|r| r.path.starts_with(BAD) && r.at > third + STABLE_WINDOW);
    let late = late.count();
    for entry in &site.entries {
        for line in entry.log_lines(&[
            "event=started",
            "part_refused",
            "part_tried_again",
            "upstream_crashed",
        ]) {
            site.note(&format!("entry {}: {line}", entry.number));
        }
    }
    site.note(&format!(
        "{late} arrivals at engines later than 3 s after the third crash; the rule allows {MAX_LATE}"
    ));
    Ok(late <= MAX_LATE)
}

/// Sends the bad request to the next entry, and a sound one beside it.
fn send(site: &Site, turn: &mut usize) {
    let until = Instant::now() + INTERVAL;
    let entry = &site.entries[*turn % site.entries.len()];
    let other = &site.entries[(*turn + 2) % site.entries.len()];
    *turn += 1;
    let id = site.new_id();
    site.generate(
        entry.front,
        &id,
        &format!("{BAD}?events=20"),
        "e4402b7d:250",
        "250,80",
        "bad",
    );
    let id = site.new_id();
    site.generate(
        other.front,
        &id,
        "/log/sound?events=5",
        "e4402b7e:250",
        "250,20",
        &id,
    );
    thread::sleep(until.saturating_duration_since(Instant::now()));
}

fn crashes(site: &Site) -> Vec<Instant> {
    let runs = site.runs.all();
    let crashed = runs.iter().filter(|r| r.end == End::Crashed);
    crashed.map(|r| r.ended).collect()
}
