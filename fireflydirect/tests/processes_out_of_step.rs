//! An entry process that is out of step with the others while engines of a new software version join.

mod support;

use futures_util::future::{join, join_all};
use standins::site::last_event;
use std::time::Duration;
use support::streams::{SHORT, list, read, site_of, take_up, versions};
use support::{KEY, OtherBuild, Site, outcome, until, until_within};

/// Time within which the only version of a service counts as such.
const SOLE_WITHIN: Duration = Duration::from_mins(3);

/// Time for which an entry stands still.
const STANDSTILL: Duration = Duration::from_secs(4);

/// Callers who come while it does, and who come right after it.
const WAITING: usize = 8;
const RETURNING: usize = 100;

/// Interval between two of the latter.
const RETURN_INTERVAL: Duration = Duration::from_millis(10);

/// Part of a stream that a caller holds, with its first attempt.
struct Held {
    first: String,
    body: String,
}

async fn begin(site: &Site, entry: usize) -> Held {
    let first = site.id();
    let body = read(site.stream(entry, "/grade/a", SHORT, &first), 5).await;
    assert!(last_event(&body) >= Some(5), "{body}");
    Held { first, body }
}

/// Waits until an entry takes the only version known for that of any stream.
async fn until_sole(site: &Site, entry: usize) {
    let held = begin(site, 0).await;
    until_within(SOLE_WITHIN, "the sole version", || async {
        let rest = read(take_up(site, entry, &site.id(), None, &held.body), SHORT).await;
        last_event(&rest) == Some(SHORT)
    })
    .await;
}

/// Starts an engine of another version in place of the others, and a stream there through the first entry.
async fn begin_at_another_version(site: &mut Site) -> Held {
    let number = site.engines.len();
    site.start_engine(u8::try_from(number).unwrap()).await;
    site.engines[number].set_version("v2");
    list(site, number, "ready");
    let came = format!("event=upstream_came instance=m-{number}");
    until("the new engine", || async { site.log(0).contains(&came) }).await;
    for engine in 0..number {
        list(site, engine, "draining");
        let leaves = format!("event=upstream_leaves instance=m-{engine}");
        until("the release", || async { site.log(0).contains(&leaves) }).await;
    }
    let held = begin(site, 0).await;
    assert!(versions(&[&held.body]).contains("v2"), "{}", held.body);
    held
}

/// Takes a stream up at an entry; fails if it goes on at another version.
async fn check_taken_up(site: &Site, entry: usize, held: &Held, is_named: bool) {
    let first = is_named.then_some(held.first.as_str());
    let rest = read(take_up(site, entry, &site.id(), first, &held.body), SHORT).await;
    let joined = versions(&[&held.body, &rest]);
    assert_eq!(
        joined.len(),
        1,
        "named: {is_named}: {}{rest} {}",
        held.body,
        site.log_tail(entry)
    );
}

/// Has an entry stand still while a version joins; callers take a stream of it up there before and after it goes on.
async fn check_standstill(site: &mut Site, entry: usize) {
    until_sole(site, entry).await;
    site.entries[entry].signal("STOP");
    let stopped_at = tokio::time::Instant::now();
    let held = begin_at_another_version(site).await;
    tokio::time::sleep_until(stopped_at + STANDSTILL).await;
    let (site, held) = (&*site, &held);
    let waiting = (0..WAITING).map(|i| check_taken_up(site, entry, held, i % 2 == 0));
    let returning = (0..RETURNING).map(|i| async move {
        let pause = RETURN_INTERVAL * u32::try_from(i).unwrap();
        tokio::time::sleep(pause).await;
        if i == WAITING {
            site.entries[entry].signal("CONT");
        }
        check_taken_up(site, entry, held, i % 2 == 0).await;
    });
    join(join_all(waiting), join_all(returning)).await;
}

macro_rules! cases {
    ($($name:ident($site:ident: $entries:literal) $body:block)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                #[allow(unused_mut)]
                let mut $site = site_of(&["v1", "v1"], $entries).await;
                $body
                $site.check();
            }
        )+
    };
}

cases! {
    watcher_that_stood_still_joins_no_stream_to_another_version(site: 4) {
        check_standstill(&mut site, 1).await;
    }

    entry_that_stood_still_joins_no_stream_to_another_version(site: 4) {
        check_standstill(&mut site, 3).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_whose_list_differs_from_the_watchers_joins_no_stream_of_unknown_origin() {
    let mut site = Site::without_entries().await;
    site.publish(&[KEY]);
    let mut watchers = Vec::new();
    for seed in 1..=3 {
        watchers.push(OtherBuild::with_the_same_list(&site, seed, 4).await);
    }
    for engine in 0..2 {
        site.engines[engine].set_version("v1");
        list(&site, engine, "ready");
    }
    site.add_entry(4).await;
    site.until_ready(0).await;
    until_sole(&site, 0).await;
    let held = begin(&site, 0).await;
    let fetched = || watchers.iter().map(OtherBuild::fetched).sum::<usize>();
    let fetched_before = fetched();
    for watcher in &watchers {
        watcher.take_another_list();
    }
    until("a fetch of the other list", || async {
        fetched() > fetched_before
    })
    .await;
    for _ in 0..5 {
        let answer = take_up(&site, 0, &site.id(), None, &held.body).send().await;
        let answer = answer.unwrap();
        assert_eq!(outcome(&answer), (503, Some(2022)), "{}", site.log_tail(0));
        let later = answer
            .headers()
            .get("retry-after")
            .unwrap()
            .to_str()
            .unwrap();
        assert!(later.parse::<f64>().unwrap() < 60.0, "{later}");
    }
    site.check();
}
