//! Streams that may be resumed, at engines of which some break a few answers off.

use crate::engine::Behaviour;
use crate::site::{Route, Site};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ENTRIES: u8 = 3;
const ENGINES: u8 = 10;

/// Engines that break answers off, six in ten, and the share of their answers.
const FAULTY: u8 = 6;
const BREAKS_OFF: f64 = 0.05;

/// `max_attempts` of the route.
const MAX_ATTEMPTS: usize = 2;

/// Requests that may run on more engines, as the pages allow.
const MAX_BEYOND: usize = 3;

/// Times for which they do so, one after the other, with a pause between two.
const WINDOWS: usize = 13;
const WINDOW: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_secs(1);

const CALLERS: usize = 30;
const EVENTS: u64 = 5;

pub fn play(record: &str, trouble: bool) -> io::Result<bool> {
    let seed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let seed = seed.map_or(1, |t| t.subsec_nanos().into());
    let active = Arc::new(AtomicBool::new(false));
    let behaviour = |number| Behaviour {
        crashes_on: None,
        breaks_off: if trouble && number < FAULTY { BREAKS_OFF } else { 0.0 },
        loses: 0.0,
        is_active: active.clone(),
        gap: Duration::from_millis(7),
        cold_for: Duration::ZERO,
        seed,
    };
    let max_attempts = MAX_ATTEMPTS as u32;
    let routes = [Route { name: "grade", prefix: "/grade/", resumable: true, max_attempts }];
    let mut site = Site::new("attempts", record, ENTRIES, ENGINES, behaviour, &routes, 0)?;
    site.start_entries()?;
    thread::sleep(Duration::from_secs(4));
    let site = Arc::new(site);
    let end = Instant::now() + (WINDOW + PAUSE) * WINDOWS as u32;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let site = site.clone();
            thread::spawn(move || call(&site, caller, end))
        })
        .collect();
    for _ in 0..WINDOWS {
        active.store(true, Ordering::SeqCst);
        thread::sleep(WINDOW);
        active.store(false, Ordering::SeqCst);
        thread::sleep(PAUSE);
    }
    let mut answers = BTreeMap::new();
    for caller in callers {
        for (answer, count) in caller.join().map_err(|_| io::Error::other("a caller failed"))? {
            *answers.entry(answer).or_insert(0) += count;
        }
    }
    site.note(&format!("answers by status and whether they are whole: {answers:?}"));
    Ok(judge(&site))
}

fn call(site: &Site, caller: usize, end: Instant) -> BTreeMap<(u16, bool), usize> {
    let mut counts = BTreeMap::new();
    let to = site.entries[caller % site.entries.len()].front;
    while Instant::now() < end {
        let id = site.new_id();
        let path = format!("/grade/short?events={EVENTS}");
        let reply = site.generate(to, &id, &path, "e4402b7e:50", "50,20", &id);
        *counts.entry((reply.status, reply.is_whole)).or_insert(0) += 1;
        thread::sleep(Duration::from_millis(60));
    }
    counts
}

/// Counts the consumer attempts that ran on more engines than the route allows.
fn judge(site: &Site) -> bool {
    let mut engines: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let runs = site.runs.all();
    for run in &runs {
        engines.entry(run.id.clone()).or_default().insert(run.instance.clone());
    }
    let beyond: Vec<&String> =
        engines.iter().filter(|(_, e)| e.len() > MAX_ATTEMPTS).map(|(id, _)| id).collect();
    site.note_runs();
    for id in &beyond {
        site.note(&format!("{id} ran on {:?}", engines[*id]));
    }
    let again = runs.len() - engines.len();
    site.note(&format!(
        "{} requests, {again} further runs; {} requests ran on more than {MAX_ATTEMPTS} engines, \
         the rule allows {MAX_BEYOND}",
        engines.len(),
        beyond.len()
    ));
    beyond.len() <= MAX_BEYOND
}
