//! Runs a fault plan on a site and checks every guarantee.

use crate::soak_parts::callers::{BAD_PART, BAD_PATH, Callers, CrashCause};
use crate::soak_parts::configurations::Asked;
use crate::soak_parts::engines::other_version;
use crate::soak_parts::faults::Soak;
use crate::soak_parts::plan::{Fault, Step};
use crate::soak_parts::report::{ended_beside_orders, report};
use crate::soak_parts::stale_seeds::STALE_SEEDS;
use crate::support::{KEY, Site, until};
use reqwest::Client;
use standins::site::{Attempt, FIRST_VERSION, Outcome, Run, RunEnd};
use std::time::Duration;

/// Default number of entries.
const DEFAULT_ENTRIES: u8 = 3;

/// Objective of the `log` route, a quarter of which is longer than most runs take.
const LOG_OBJECTIVE_MS: u64 = 16_000;

/// Concurrent callers.
const CALLER_COUNT: usize = 12;

/// Initial model engines: two always stay, so with fewer none would be removed.
const INITIAL_ENGINES: u8 = 4;

/// Most objects in a page of the store's lists.
const PAGE_SIZE: usize = 3;

/// Returns the value of an environment variable, or the default.
pub(crate) fn env_or<T: std::str::FromStr>(name: &str, default: T) -> T {
    let given = std::env::var(name).ok().and_then(|text| text.parse().ok());
    given.unwrap_or(default)
}

/// Changes to a soak beside its fault plan.
pub(crate) struct Changes {
    /// Mechanisms that entries go without, separated by commas.
    pub(crate) without: &'static str,
    pub(crate) callers: fn(Callers) -> Callers,
    /// Number of concurrent callers, unless there are more entries.
    pub(crate) caller_count: usize,
    /// Number of entries, unless another one is asked for; more than three, so that some don't watch the store.
    pub(crate) entries: u8,
    /// Initial model engines.
    pub(crate) engines: u8,
    /// Whether every second of these has another software version.
    pub(crate) two_versions: bool,
    /// What crashes engines.
    pub(crate) cause: CrashCause,
    /// Events after which the runs of a request that crashes engines do so, one run after the other.
    pub(crate) crash_points: &'static [u64],
    /// Whether the plan has planned work only, which may cut no answer.
    pub(crate) is_planned: bool,
    /// Time at which the seeds of the entries, all wrong till then, are corrected.
    pub(crate) corrected_at: Option<Duration>,
    /// Whether every second engine ends its answers with their connections, and the ends of streams are judged.
    pub(crate) stops_runs: bool,
}

/// No change.
pub(crate) const UNCHANGED: Changes = Changes {
    without: "",
    callers: |callers| callers,
    caller_count: CALLER_COUNT,
    entries: DEFAULT_ENTRIES,
    engines: INITIAL_ENGINES,
    two_versions: false,
    cause: CrashCause::Nothing,
    crash_points: &[0],
    is_planned: false,
    corrected_at: None,
    stops_runs: false,
};

/// Streams beside one that crashes engines and comes again.
pub(crate) const CRASHING_REQUESTS: Changes = Changes {
    callers: Callers::repeating,
    engines: 6,
    cause: CrashCause::Request,
    ..UNCHANGED
};

/// The same, with crashes at any point of its answer.
pub(crate) const LATE_CRASHES: Changes = Changes {
    crash_points: &[0, 12, 38, 25],
    ..CRASHING_REQUESTS
};

/// Streams of which some crash engines by a part of their prompts.
pub(crate) const CRASHING_PARTS: Changes = Changes {
    callers: Callers::crashing,
    engines: 6,
    cause: CrashCause::Part,
    ..UNCHANGED
};

/// Three engines of each of two software versions, and callers who take streams up.
pub(crate) const VERSIONS: Changes = Changes {
    callers: Callers::breaking_off,
    engines: 6,
    two_versions: true,
    ..UNCHANGED
};

/// The same, with callers who take their streams up late.
pub(crate) const LATE_RETURNS: Changes = Changes {
    callers: Callers::returning_late,
    ..VERSIONS
};

/// Large streams that are read slowly, before planned work only.
pub(crate) const SLOW_READERS: Changes = Changes {
    callers: Callers::reading_slowly,
    is_planned: true,
    ..UNCHANGED
};

/// Outcome of a soak that kept every guarantee.
pub(crate) struct Outcomes {
    pub(crate) attempts: Vec<Attempt>,
    /// Generations that were held.
    pub(crate) held: usize,
    /// Engines that a request or a part of its prompt crashed.
    pub(crate) crashes: usize,
    /// Runs that were stopped to go on elsewhere.
    pub(crate) stopped: usize,
}

/// Runs a fault plan and checks every guarantee.
pub(crate) async fn run_plan(name: &str, steps: &[Step], seconds: Duration) -> Outcomes {
    run_plan_with(UNCHANGED, name, steps, seconds).await
}

/// Starts a site and its entries, and waits until they are ready.
async fn start_site(changes: &Changes, entries: u8) -> Site {
    let mut site = Site::without_entries().await;
    site.without = changes.without;
    for number in 2..changes.engines {
        site.start_engine(number).await;
    }
    for engine in site.engines.iter().skip(1).step_by(2) {
        if changes.two_versions {
            engine.set_version(other_version(FIRST_VERSION));
        }
    }
    site.direct_engines = changes.cause != CrashCause::Nothing;
    match changes.cause {
        CrashCause::Nothing => {}
        CrashCause::Part => site.record.crash_on(BAD_PART),
        CrashCause::Request => site.record.crash_after(BAD_PATH, changes.crash_points),
    }
    site.use_proxies().await;
    site.log_objective_ms = LOG_OBJECTIVE_MS;
    site.put_odd_names(PAGE_SIZE);
    site.publish(&[KEY]);
    if changes.corrected_at.is_some() {
        site.seeds = STALE_SEEDS.to_vec();
        site.without = "discovery";
    }
    for i in 0..entries {
        site.add_entry(i + 1).await;
    }
    for entry in 0..usize::from(entries) {
        site.until_ready(entry).await;
    }
    site
}

/// Collects what callers and upstreams saw.
fn collect(soak: &mut Soak, callers: &Callers, changes: &Changes) {
    let record = &soak.site.record;
    let evidence = &mut soak.evidence;
    evidence.attempts = callers.attempts();
    evidence.runs = record.runs();
    evidence.crashing_parts = record.crashing_parts();
    evidence.crashing_paths = record.crashing_paths();
    evidence.is_planned = changes.is_planned;
    evidence.are_read_to_the_end = changes.stops_runs;
    evidence.copies = record.copied();
    evidence.foreign_memory = record.foreign_memory();
}

/// The same with changes.
pub(crate) async fn run_plan_with(
    changes: Changes,
    name: &str,
    steps: &[Step],
    seconds: Duration,
) -> Outcomes {
    let entries: u8 = env_or("FIREFLY_SOAK_ENTRIES", changes.entries);
    let restarts = steps.iter().any(|s| {
        matches!(
            s.fault,
            Fault::KillEntry | Fault::KillEntries | Fault::StopEntry
        )
    });
    let site = start_site(&changes, entries).await;
    let addrs = (0..usize::from(entries))
        .map(|e| site.callers_of(e))
        .collect();
    let callers = (changes.callers)(Callers::new(addrs));
    let foreign_service = if restarts { "nowhere" } else { "records" };
    let mut soak = Soak::new(site, foreign_service);
    soak.begin_stops(changes.stops_runs);
    let caller_count = changes.caller_count.max(usize::from(entries));
    let caller_tasks: Vec<_> = (0..caller_count)
        .map(|_| tokio::spawn(callers.clone().run(Client::new())))
        .collect();
    match changes.corrected_at {
        None => soak.run(steps, seconds).await,
        Some(at) => soak.run_with_stale_seeds(at, steps, seconds).await,
    }
    soak.recover().await;
    callers.end();
    for caller in caller_tasks {
        caller.await.unwrap();
    }
    until("the last run's end", || async {
        soak.site.record.running_count() == 0
    })
    .await;
    collect(&mut soak, &callers, &changes);
    let breaches = soak.evidence.find_breaches();
    assert!(
        breaches.is_empty(),
        "{}",
        report(name, steps, &breaches, &soak.site)
    );
    let Asked {
        judged, refused, ..
    } = &soak.asked;
    assert!(
        refused.is_empty(),
        "{name}: routes were refused too late, of {judged} requests: {refused:?}"
    );
    println!("{name}: {judged} requests on new routes");
    let complete = soak.evidence.attempts.iter();
    let complete = complete
        .filter(|a| matches!(a.outcome, Outcome::Complete(_)))
        .count();
    println!(
        "{name}: {} attempts, {complete} whole, {} faults",
        soak.evidence.attempts.len(),
        steps.len()
    );
    assert!(complete > 0, "{name}: nothing was served");
    let logs = (0..usize::from(entries)).map(|e| soak.site.log(e));
    let logs: Vec<String> = logs.collect();
    let held = logs.iter().map(|log| log.matches(" event=held ").count());
    let held = held.sum();
    soak.site.check();
    let ended_so = |end| move |r: &&Run| r.end.0 == end;
    let count = |end| soak.evidence.runs.iter().filter(ended_so(end)).count();
    let stopped = count(RunEnd::Migrated);
    let ended = soak.evidence.ended_streams();
    if changes.stops_runs {
        let beside = ended_beside_orders(&logs);
        println!(
            "{name}: {stopped} runs stopped, {beside} streams ended beside an order, {ended:?}"
        );
    }
    Outcomes {
        held,
        crashes: count(RunEnd::Crashed),
        stopped,
        attempts: soak.evidence.attempts,
    }
}
