//! Streams that callers take up after all entries have ended at once, with engines of several software versions.

mod support;

use futures_util::future::{join, join_all};
use standins::site::{StoreMode, last_event};
use std::ops::Range;
use std::time::Duration;
use support::streams::{SHORT, list, read, site_of, take_up, versions};
use support::{KEY, Site, outcome, signal_all, until, until_within};

/// Streams that run when the entries end.
const STREAMS: usize = 6;

/// Events of a stream that runs for as long as a test needs.
const LONG: u64 = 200;

/// Most events of a cut stream that its caller holds, fewer than a stream that is taken up has.
const HELD_EVENTS: usize = 20;

/// Timeout of the route after the change, in milliseconds.
const SHORTENED_MS: u64 = 1_000;

/// Time within which the only version of a service counts as such.
const SOLE_WITHIN: Duration = Duration::from_mins(3);

/// Times after the return of the entries at which callers come back, in seconds.
const RETURNS: [u64; 4] = [0, 1, 2, 3];

/// Part of a stream that a caller holds.
struct Held {
    first: String,
    body: String,
}

/// Defines test cases, each run on a site with engines of the given versions and a number of entries.
macro_rules! cases {
    ($($name:ident($site:ident: $versions:expr, $entries:literal) $body:block)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                #[allow(unused_mut)]
                let mut $site = site_of(&$versions, $entries).await;
                $body
                $site.check();
            }
        )+
    };
}

/// Kills entries while streams run at all of them; returns what their callers hold.
async fn cut_streams(site: &mut Site, killed: Range<usize>) -> Vec<Held> {
    cut_streams_after(site, killed, async |_| {}).await
}

/// The same, with a change of the site shortly before.
async fn cut_streams_after(
    site: &mut Site,
    killed: Range<usize>,
    change: impl AsyncFnOnce(&mut Site),
) -> Vec<Held> {
    let entries = site.entries.len();
    let ids: Vec<String> = (0..STREAMS).map(|_| site.id()).collect();
    let stream =
        |(i, id): (usize, &String)| read(site.stream(i % entries, "/grade/a", LONG, id), u64::MAX);
    let streams: Vec<_> = ids.iter().enumerate().map(stream).collect();
    let kill = async {
        for id in &ids {
            site.engine_of(id).await;
        }
        // The callers have some events by then.
        tokio::time::sleep(Duration::from_millis(100)).await;
        change(site).await;
        signal_all(&site.entries[killed.clone()], "KILL");
    };
    let (bodies, ()) = join(join_all(streams), kill).await;
    for entry in killed {
        site.entries[entry].kill();
    }
    let streams = ids.into_iter().zip(bodies);
    let cut = streams.filter(|(_, body)| last_event(body).is_some_and(|last| last < LONG));
    let cut: Vec<Held> = cut
        .map(|(first, body)| Held {
            first,
            body: first_events(&body),
        })
        .collect();
    assert!(!cut.is_empty(), "no stream was cut");
    cut
}

/// Returns the events of a body that its caller holds, none of them cut.
fn first_events(body: &str) -> String {
    let ends = body.match_indices("\n\n").map(|(at, _)| at + 2);
    body[..ends.take(HELD_EVENTS).last().unwrap_or(0)].to_owned()
}

/// Breaks a stream off after a few events.
async fn begin(site: &Site) -> Held {
    let first = site.id();
    let body = read(site.stream(0, "/grade/a", SHORT, &first), 5).await;
    let body = first_events(&body);
    Held { first, body }
}

/// Takes a stream up without its first attempt; returns the last event.
async fn take_unnamed_up(site: &Site, held: &Held) -> Option<u64> {
    last_event(&read(take_up(site, 1, &site.id(), None, &held.body), SHORT).await)
}

/// Starts and lists an engine of another service, at another version.
async fn begin_other_service(site: &mut Site) {
    site.start_engine(2).await;
    site.engines[2].set_version("v2");
    let record = site.engines[2].registration("other-models", "ready");
    site.store.put("servers", "m-2", &record);
}

/// Starts the entries that have ended again.
async fn start_again(site: &mut Site) {
    for entry in &mut site.entries {
        entry.restart_if_ended();
    }
    for entry in 0..site.entries.len() {
        site.until_ready(entry).await;
    }
}

/// Removes the engines of a version from the list, and ends them.
fn end_version(site: &Site, version: &str) {
    for engine in site.engines.iter().filter(|e| e.version() == version) {
        site.store.remove("servers", &engine.instance());
        engine.kill();
    }
}

/// Starts and lists another engine.
async fn begin_version(site: &mut Site, version: &str) {
    let number = site.engines.len();
    site.start_engine(u8::try_from(number).unwrap()).await;
    site.engines[number].set_version(version);
    list(site, number, "ready");
}

/// Takes streams up at once and later, with and without their first attempts; returns how many went on.
async fn take_all_up(site: &Site, held: &[Held]) -> usize {
    take_all_up_at(site, held, &RETURNS).await
}

/// The same at other times.
async fn take_all_up_at(site: &Site, held: &[Held], returns: &[u64]) -> usize {
    let mut went_on = vec![false; held.len()];
    let began = tokio::time::Instant::now();
    for seconds in returns.iter().copied() {
        tokio::time::sleep_until(began + Duration::from_secs(seconds)).await;
        for (i, Held { first, body }) in held.iter().enumerate() {
            for first in [Some(first.as_str()), None] {
                let entry = (i + 1) % site.entries.len();
                let rest = read(take_up(site, entry, &site.id(), first, body), SHORT).await;
                let joined = versions(&[body, &rest]);
                assert_eq!(joined.len(), 1, "{first:?} after {seconds} s: {body}{rest}");
                went_on[i] |= last_event(&rest).is_some();
            }
        }
    }
    went_on.iter().filter(|w| **w).count()
}

cases! {
    streams_stay_at_their_version_while_both_serve(site: ["v1", "v2", "v1", "v2"], 3) {
        let held = cut_streams(&mut site, 0..3).await;
        start_again(&mut site).await;
        take_all_up(&site, &held).await;
    }

    streams_stay_at_a_version_that_left_before_the_entries_ended(site: ["v1", "v1"], 3) {
        site.grade_timeout_ms = SHORTENED_MS;
        site.publish(&[KEY]);
        let held = cut_streams_after(&mut site, 0..3, async |site| {
            begin_version(site, "v2").await;
            for engine in 0..2 {
                list(site, engine, "draining");
            }
            let leave = || async { site.log(0).matches("event=upstream_leaves").count() == 2 };
            until("the departures", leave).await;
            end_version(site, "v1");
        }).await;
        start_again(&mut site).await;
        take_all_up(&site, &held).await;
    }

    streams_stay_at_their_version_when_a_release_completes_in_the_outage(site: ["v1", "v1"], 3) {
        let held = cut_streams(&mut site, 0..3).await;
        begin_version(&mut site, "v2").await;
        begin_version(&mut site, "v2").await;
        end_version(&site, "v1");
        start_again(&mut site).await;
        take_all_up(&site, &held).await;
    }

    streams_outlast_a_timeout_shortened_in_the_outage(site: ["v1", "v1"], 3) {
        let held = cut_streams(&mut site, 0..3).await;
        begin_version(&mut site, "v2").await;
        end_version(&site, "v1");
        site.grade_timeout_ms = SHORTENED_MS;
        site.publish(&[KEY]);
        start_again(&mut site).await;
        take_all_up(&site, &held).await;
    }

    callers_who_return_after_twice_the_timeout_get_no_other_version(site: ["v1", "v1"], 3) {
        site.grade_timeout_ms = SHORTENED_MS;
        site.publish(&[KEY]);
        for entry in 0..3 {
            until("the timeout", || async { site.log(entry).contains("version=2 was=1") }).await;
        }
        let held = cut_streams(&mut site, 0..3).await;
        begin_version(&mut site, "v2").await;
        end_version(&site, "v1");
        start_again(&mut site).await;
        take_all_up(&site, &held).await;
    }

    streams_stay_at_their_version_when_the_store_is_restored_in_the_outage(site: ["v1", "v1"], 3) {
        site.grade_timeout_ms = SHORTENED_MS;
        begin_version(&mut site, "v2").await;
        site.publish(&[KEY]);
        for entry in 0..3 {
            until("the timeout", || async { site.log(entry).contains("version=2 was=1") }).await;
            until("the engine", || async { site.log(entry).contains("event=upstream_came instance=m-2") }).await;
        }
        let copy = site.store.snapshot();
        end_version(&site, "v1");
        let held = cut_streams(&mut site, 0..3).await;
        site.store.restore(copy);
        end_version(&site, "v2");
        begin_version(&mut site, "v3").await;
        for engine in ["m-0", "m-1", "m-2"] {
            site.store.remove("servers", engine);
        }
        start_again(&mut site).await;
        take_all_up(&site, &held).await;
    }

    streams_of_engines_without_a_version_stay_off_a_later_one(site: ["", ""], 3) {
        site.grade_timeout_ms = SHORTENED_MS;
        site.publish(&[KEY]);
        for entry in 0..3 {
            until("the timeout", || async { site.log(entry).contains("version=2 was=1") }).await;
        }
        let held = cut_streams(&mut site, 0..3).await;
        begin_version(&mut site, "v2").await;
        end_version(&site, "");
        start_again(&mut site).await;
        take_all_up(&site, &held).await;
    }

    streams_that_a_surviving_owner_knows_go_on(site: ["v1", "v2", "v1", "v2"], 4) {
        let held = cut_streams(&mut site, 0..3).await;
        start_again(&mut site).await;
        assert_eq!(take_all_up(&site, &held).await, held.len());
    }

    stream_goes_on_when_its_caller_returns_after_twice_the_timeout(site: ["v1", "v2", "v1", "v2"], 2) {
        site.grade_timeout_ms = SHORTENED_MS;
        site.publish(&[KEY]);
        until("the timeout", || async { site.log(0).contains("version=2 was=1") }).await;
        let held = [begin(&site).await];
        assert_eq!(take_all_up_at(&site, &held, &[3]).await, 1);
    }

    streams_of_entries_that_ended_stay_off_the_version_that_is_left(site: ["v1", "v2", "v1", "v2"], 5) {
        let held = cut_streams(&mut site, 0..4).await;
        end_version(&site, "v1");
        start_again(&mut site).await;
        take_all_up(&site, &held).await;
    }

    unnamed_stream_goes_on_once_its_service_had_one_version_for_long(site: ["v1", "v1"], 2) {
        let held = begin(&site).await;
        until_within(SOLE_WITHIN, "the sole version", || async { take_unnamed_up(&site, &held).await == Some(SHORT) }).await;
        // On a busy machine the store seems silent for a moment now and then.
        let watches = |active: bool| site.log(1).matches(&format!("event=departure_watch active={active}")).count();
        until("no silence", || async { watches(true) == watches(false) }).await;
        let before = watches(true);
        site.store.set_mode(StoreMode::Silent);
        until("the silence", || async { watches(true) > before }).await;
        let answer = take_up(&site, 1, &site.id(), None, &held.body).send().await.unwrap();
        assert_eq!(outcome(&answer), (503, Some(2022)));
    }

    unnamed_stream_stays_off_the_service_that_its_route_moved_to(site: ["v1", "v1"], 2) {
        begin_other_service(&mut site).await;
        let held = begin(&site).await;
        until_within(SOLE_WITHIN, "the sole version", || async { take_unnamed_up(&site, &held).await == Some(SHORT) }).await;
        site.grade_service = "other-models";
        site.publish(&[KEY]);
        for entry in 0..2 {
            until("the change", || async { site.log(entry).contains("version=2 was=1") }).await;
        }
        take_all_up(&site, &[held]).await;
    }

    unnamed_stream_stays_off_an_id_that_came_back_at_another_version(site: ["v1", "v1"], 2) {
        let held = begin(&site).await;
        until_within(SOLE_WITHIN, "the sole version", || async { take_unnamed_up(&site, &held).await == Some(SHORT) }).await;
        for engine in 0..2 {
            site.engines[engine].set_version("v2");
            site.engines[engine].restart().await.unwrap();
            list(&site, engine, "ready");
        }
        for entry in 0..2 {
            until("the restarts", || async { site.log(entry).matches("software_version=v2").count() >= 2 }).await;
        }
        take_all_up(&site, &[held]).await;
    }

    stream_stays_off_an_engine_that_came_back_at_its_address(site: ["v1", "v1"], 1) {
        let id = site.id();
        let stream = read(site.stream(0, "/grade/a", LONG, &id), u64::MAX);
        let replace = async {
            let engine = site.engine_of(&id).await;
            tokio::time::sleep(Duration::from_millis(150)).await;
            let other = &site.engines[1 - engine];
            site.store.remove("servers", &other.instance());
            other.kill();
            site.engines[engine].set_version("v2");
            site.engines[engine].restart().await.unwrap();
            list(&site, engine, "ready");
        };
        let (body, ()) = join(stream, replace).await;
        assert_eq!(versions(&[&body]).len(), 1, "{body}");
        assert!(last_event(&body) < Some(LONG), "{body}");
    }
}
