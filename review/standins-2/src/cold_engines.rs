//! Entries whose seeds are down don't find each other, and each sends a cold engine what all may send together.

use crate::engine::Behaviour;
use crate::site::{Route, Site};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ENTRIES: u8 = 6;

/// Entries that are seeds in all settings.
const SEEDS: usize = 3;

/// Engines at the start, and the number of the one that is added.
const ENGINES: u8 = 4;
const ADDED: u8 = 4;

/// Requests a second that a cold engine tolerates, as the configuration says.
const COLD_PER_S: u32 = 30;

/// Bounds of the pages: `cold_overshoot` and `cold_slack`.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Time for which the added engine is cold.
const COLD_FOR: Duration = Duration::from_millis(4_500);

/// Callers at each entry that is left, and the pause between two requests of one.
const CALLERS: usize = 110;
const PAUSE: Duration = Duration::from_millis(10);

/// Traffic before and after the engine is added.
const BEFORE: Duration = Duration::from_secs(4);
const AFTER: Duration = Duration::from_secs(6);

pub fn play(record: &str, trouble: bool) -> io::Result<bool> {
    let behaviour = |cold_for| Behaviour {
        crashes_on: None,
        breaks_off: 0.0,
        loses: 0.0,
        is_active: Arc::default(),
        states_born: true,
        leaves: Default::default(),
        exits: Default::default(),
        gap: Duration::from_millis(100),
        cold_for,
        seed: 1,
    };
    let warm = |_| behaviour(Duration::ZERO);
    let routes = [Route {
        name: "grade",
        prefix: "/grade/",
        kind: "streaming",
        resumable: false,
        max_attempts: 1,
    }];
    let mut site = Site::new("cold", record, ENTRIES, ENGINES, warm, &routes, COLD_PER_S)?;
    site.start_entries()?;
    thread::sleep(Duration::from_secs(5));
    if trouble {
        for entry in &mut site.entries {
            entry.kill();
        }
        site.note("all machines lose power; the seeds don't come back");
        thread::sleep(Duration::from_secs(1));
        for entry in &mut site.entries[SEEDS..] {
            entry.start()?;
        }
        for entry in &site.entries[SEEDS..] {
            if !entry.until_ready() {
                return Err(io::Error::other("an entry isn't ready"));
            }
        }
        site.note("the other machines are back");
    }
    // All machines that run are in touch, and no entry counts as new.
    thread::sleep(Duration::from_secs(8));
    let site = Arc::new(site);
    let end = Instant::now() + BEFORE + AFTER;
    let callers: Vec<_> = (SEEDS..usize::from(ENTRIES))
        .flat_map(|entry| (0..CALLERS).map(move |_| entry))
        .map(|entry| {
            let site = site.clone();
            thread::spawn(move || call(&site, entry, end))
        })
        .collect();
    thread::sleep(BEFORE);
    let added_at = Instant::now();
    site.add_engine(ADDED, &behaviour(COLD_FOR))?;
    site.note("a cold engine is added");
    let mut statuses = BTreeMap::new();
    for caller in callers {
        for (status, count) in caller
            .join()
            .map_err(|_| io::Error::other("a caller failed"))?
        {
            *statuses.entry(status).or_insert(0) += count;
        }
    }
    site.note(&format!("answers by status: {statuses:?}"));
    site.note_runs();
    for entry in &site.entries {
        for line in entry
            .log_lines(&["event=started", "instance=m4-1"])
            .iter()
            .take(3)
        {
            site.note(&format!("entry {}: {line}", entry.number));
        }
    }
    Ok(judge(&site, added_at))
}

/// Sends requests to an entry until `end`; returns the number of answers by status.
fn call(site: &Site, entry: usize, end: Instant) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    while Instant::now() < end {
        let id = site.new_id();
        let to = site.entries[entry].front;
        let reply = site.generate(
            to,
            &id,
            "/grade/short?events=4",
            "e4402b7e:50",
            "50,16",
            &id,
        );
        *counts.entry(reply.status).or_insert(0) += 1;
        thread::sleep(PAUSE);
    }
    counts
}

/// Compares the most requests that the added engine got in any second while it was cold with the bound.
fn judge(site: &Site, added_at: Instant) -> bool {
    let bound = f64::from(COLD_PER_S) * OVERSHOOT + SLACK;
    let runs = site.runs.all();
    let instance = format!("m{ADDED}-1");
    let while_cold = |at: &Instant| *at < added_at + COLD_FOR;
    let times = runs.iter().filter(|r| r.instance == instance).map(|r| r.at);
    let mut times: Vec<Instant> = times.filter(while_cold).collect();
    times.sort_unstable();
    let within = |at: &Instant| {
        times
            .iter()
            .filter(|t| *t >= at && **t < *at + Duration::from_secs(1))
            .count()
    };
    let most = times.iter().map(within).max().unwrap_or(0);
    site.note(&format!(
        "the cold engine got {} requests while it was cold, {most} in its busiest second; \
         the rule allows {bound}",
        times.len()
    ));
    most as f64 <= bound
}
