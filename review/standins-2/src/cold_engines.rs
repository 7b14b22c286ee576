//! Entries whose seeds are down don't find each other, and each sends a cold engine what all may send together.

use crate::engine::{Behaviour, End};
use crate::site::{Route, Site};
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ENTRIES: u8 = 6;

/// Entries that are seeds in all settings.
const SEEDS: usize = 3;

const ENGINES: u8 = 3;

/// Requests a second that a cold engine tolerates, as the configuration says.
const COLD_PER_S: u32 = 30;

/// Bounds of the pages: `cold_overshoot` and `cold_slack`.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Time for which the engines are cold.
const COLD_FOR: Duration = Duration::from_secs(60);

/// Callers at each entry that is left, and the pause between two requests of one.
const CALLERS: usize = 20;
const PAUSE: Duration = Duration::from_millis(80);

const TRAFFIC: Duration = Duration::from_secs(12);

pub fn play(record: &str, trouble: bool) -> io::Result<bool> {
    let behaviour = |_| Behaviour {
        crashes_on: None,
        breaks_off: 0.0,
        gap: Duration::from_millis(10),
        cold_for: COLD_FOR,
        seed: 1,
    };
    let routes = [Route { name: "grade", prefix: "/grade/", resumable: false, max_attempts: 1 }];
    let mut site = Site::new("cold", record, ENTRIES, ENGINES, behaviour, &routes, COLD_PER_S)?;
    site.start_entries()?;
    thread::sleep(Duration::from_secs(5));
    if trouble {
        for entry in &mut site.entries {
            entry.kill();
        }
        site.note("all machines lose power; the seeds stay dark");
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
    thread::sleep(Duration::from_secs(6));
    let site = Arc::new(site);
    let end = Instant::now() + TRAFFIC;
    let callers: Vec<_> = (SEEDS..usize::from(ENTRIES))
        .flat_map(|entry| (0..CALLERS).map(move |_| entry))
        .map(|entry| {
            let site = site.clone();
            thread::spawn(move || call(&site, entry, end))
        })
        .collect();
    let mut statuses = std::collections::BTreeMap::new();
    for caller in callers {
        let counts = caller.join().map_err(|_| io::Error::other("a caller failed"))?;
        for (status, count) in counts {
            *statuses.entry(status).or_insert(0) += count;
        }
    }
    site.note(&format!("answers by status: {statuses:?}"));
    site.note_runs();
    Ok(judge(&site))
}

/// Sends requests to an entry until `end`; returns the number of answers by status.
fn call(site: &Site, entry: usize, end: Instant) -> Vec<(u16, usize)> {
    let mut counts = std::collections::BTreeMap::new();
    while Instant::now() < end {
        let id = site.new_id();
        let to = site.entries[entry].front;
        let reply = site.generate(to, &id, "/grade/short?events=2", "e4402b7e:50", "50,8", &id);
        *counts.entry(reply.status).or_insert(0) += 1;
        thread::sleep(PAUSE);
    }
    counts.into_iter().collect()
}

/// Compares the most requests that an engine got in any second with the bound.
fn judge(site: &Site) -> bool {
    let bound = f64::from(COLD_PER_S) * OVERSHOOT + SLACK;
    let runs = site.runs.all();
    let mut holds = true;
    for engine in 0..ENGINES {
        let instance = format!("m{engine}-1");
        let mut times: Vec<Instant> =
            runs.iter().filter(|r| r.instance == instance).map(|r| r.at).collect();
        times.sort_unstable();
        let within = |at: &Instant| {
            let later = times.iter().filter(|t| *t >= at && **t < *at + Duration::from_secs(1));
            later.count()
        };
        let most = times.iter().map(within).max().unwrap_or(0);
        site.note(&format!(
            "engine {instance}, cold: {most} requests in its busiest second; the rule allows {bound}"
        ));
        holds &= most as f64 <= bound;
    }
    let unfinished = runs.iter().filter(|r| r.end != End::Whole).count();
    site.note(&format!("{} runs, {unfinished} not whole", runs.len()));
    holds
}
