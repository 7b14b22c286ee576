//! Streams that may run once only, at engines that lose a few answers on their way and work on.

use crate::engine::Behaviour;
use crate::site::{Route, Site};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ENTRIES: u8 = 3;
const ENGINES: u8 = 8;

/// Engines that lose answers, half of them, and the share of their answers.
const FAULTY: u8 = 4;
const LOSES: f64 = 0.05;

/// Time after which an engine must not work any more on a request that goes on elsewhere; a bound of the pages.
const OVERLAP: Duration = Duration::from_millis(400);

/// Times for which they do so, and the pause before each.
const WINDOWS: usize = 2;
const WINDOW: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_secs(4);

const CALLERS: usize = 100;
const EVENTS: u64 = 60;
const GAP: Duration = Duration::from_millis(40);

pub fn play(record: &str, trouble: bool) -> io::Result<bool> {
    let seed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let seed = seed.map_or(1, |t| t.subsec_nanos().into());
    let active = Arc::new(AtomicBool::new(false));
    let behaviour = |number| Behaviour {
        crashes_on: None,
        breaks_off: 0.0,
        loses: if trouble && number < FAULTY {
            LOSES
        } else {
            0.0
        },
        is_active: active.clone(),
        states_born: true,
        leaves: Default::default(),
        exits: Default::default(),
        gap: GAP,
        cold_for: Duration::ZERO,
        seed,
    };
    let routes = [Route {
        name: "log",
        prefix: "/log/",
        kind: "streaming",
        resumable: false,
        max_attempts: 1,
    }];
    let mut site = Site::new(
        "lost-answers",
        record,
        ENTRIES,
        ENGINES,
        behaviour,
        &routes,
        0,
    )?;
    site.start_entries()?;
    thread::sleep(Duration::from_secs(4));
    let site = Arc::new(site);
    let end = Instant::now() + (WINDOW + PAUSE) * WINDOWS as u32 + PAUSE;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let site = site.clone();
            thread::spawn(move || call(&site, caller, end))
        })
        .collect();
    for _ in 0..WINDOWS {
        thread::sleep(PAUSE);
        active.store(true, Ordering::SeqCst);
        site.note("some answers are lost");
        thread::sleep(WINDOW);
        active.store(false, Ordering::SeqCst);
        site.note("no answers are lost");
    }
    let mut answers = BTreeMap::new();
    for caller in callers {
        for (answer, count) in caller
            .join()
            .map_err(|_| io::Error::other("a caller failed"))?
        {
            *answers.entry(answer).or_insert(0) += count;
        }
    }
    // Runs whose answers were lost go on for some seconds.
    thread::sleep(Duration::from_secs(3));
    site.note_runs();
    site.note(&format!(
        "answers by status and whether they are whole: {answers:?}"
    ));
    Ok(judge(&site))
}

fn call(site: &Site, caller: usize, end: Instant) -> BTreeMap<(u16, bool), usize> {
    let mut counts = BTreeMap::new();
    let to = site.entries[caller % site.entries.len()].front;
    while Instant::now() < end {
        let id = site.new_id();
        let path = format!("/log/report?events={EVENTS}");
        let reply = site.generate(to, &id, &path, "5c1e07a2:40,e4402b7d:60", "100,100", &id);
        *counts.entry((reply.status, reply.is_whole)).or_insert(0) += 1;
    }
    counts
}

/// Looks for requests that went on at another engine while the engine before worked on.
fn judge(site: &Site) -> bool {
    let mut by_id = BTreeMap::new();
    let runs = site.runs.all();
    for run in &runs {
        by_id
            .entry(run.id.clone())
            .or_insert_with(Vec::new)
            .push(run);
    }
    let mut overlapping = 0;
    for (id, of_id) in &by_id {
        for pair in of_id.windows(2) {
            let worked_on = pair[0].ended.saturating_duration_since(pair[1].at);
            if pair[0].instance == pair[1].instance || worked_on <= OVERLAP {
                continue;
            }
            overlapping += 1;
            site.note(&format!(
                "{id}: goes on at {} from copy {:?} after event {:?} at {:.3}; {} works on for {} ms more",
                pair[1].instance,
                pair[1].from_copy,
                pair[1].after,
                pair[1].at.duration_since(site.began).as_secs_f64(),
                pair[0].instance,
                worked_on.as_millis()
            ));
        }
    }
    site.note(&format!(
        "{} requests, {} runs; {overlapping} requests went on while the engine before worked on for over {} ms",
        by_id.len(),
        runs.len(),
        OVERLAP.as_millis()
    ));
    overlapping == 0
}
