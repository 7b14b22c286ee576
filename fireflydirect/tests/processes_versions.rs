//! Entry processes before engines of several software versions.

mod support;

use reqwest::RequestBuilder;
use standins::site::{StoreMode, last_event};
use std::time::Duration;
use support::streams::{SHORT, list, read, site_of, take_up, versions};
use support::{Site, outcome, until};

/// Events of a stream that lasts longer than the notice of an engine that leaves.
const LONG: u64 = 200;

/// Events after which callers break off.
const READ: u64 = 5;

/// Streams that callers take up in one test.
const TAKE_UPS: usize = 12;

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

/// Reads a whole stream while its engine comes to harm; returns its body and the engine.
async fn harm_engine(
    site: &Site,
    req: RequestBuilder,
    id: &str,
    harm: impl AsyncFnOnce(usize),
) -> (String, usize) {
    let harmed = async {
        let engine = site.engine_of(id).await;
        // The caller has some events by then.
        tokio::time::sleep(Duration::from_millis(150)).await;
        harm(engine).await;
        engine
    };
    futures_util::future::join(read(req, LONG), harmed).await
}

/// Breaks a stream off after a few events; returns its body.
async fn begin(site: &Site, entry: usize, id: &str) -> String {
    let begun = read(site.stream(entry, "/grade/a", SHORT, id), READ).await;
    assert!(last_event(&begun) >= Some(READ), "{begun}");
    begun
}

/// Takes streams up at other entries; returns how many went on, all of them at one version.
async fn take_streams_up(site: &Site, from: usize, to: usize) -> usize {
    let mut went_on = 0;
    for _ in 0..TAKE_UPS {
        let (first, second) = (site.id(), site.id());
        let begun = begin(site, from, &first).await;
        let rest = read(take_up(site, to, &second, Some(&first), &begun), SHORT).await;
        assert_eq!(versions(&[&begun, &rest]).len(), 1, "{begun}{rest}");
        went_on += usize::from(last_event(&rest) == Some(SHORT));
    }
    went_on
}

cases! {
    crashed_stream_stays_off_copies_at_another_version(site: ["v1", "v2"], 1) {
        let id = site.id();
        let req = site.generation(0, "/log/a", LONG, &id);
        let (body, _) = harm_engine(&site, req, &id, async |e| site.engines[e].kill()).await;
        assert_eq!(versions(&[&body]).len(), 1, "{body}");
        assert!(last_event(&body) < Some(LONG), "{body}");
    }

    crashed_stream_goes_on_from_its_copy_at_the_same_version(site: ["v1", "v2", "v1", "v2"], 1) {
        for _ in 0..2 {
            let id = site.id();
            let req = site.generation(0, "/log/a", LONG, &id);
            let (body, engine) = harm_engine(&site, req, &id, async |e| site.engines[e].kill()).await;
            assert_eq!(versions(&[&body]).len(), 1, "{body}");
            assert_eq!(last_event(&body), Some(LONG), "{body}");
            // Another one of its version takes its place, so that the next stream has where to go on.
            let number = site.engines.len();
            site.start_engine(u8::try_from(number).unwrap()).await;
            site.engines[number].set_version(&site.engines[engine].version());
            list(&site, number, "ready");
            site.store.remove("servers", &site.engines[engine].instance());
            let gone = format!("event=upstream_leaves instance={}", site.engines[engine].instance());
            let came = format!("event=upstream_came instance={}", site.engines[number].instance());
            let both = || async { site.log(0).contains(&gone) && site.log(0).contains(&came) };
            until("the replacement", both).await;
        }
    }

    stream_of_an_engine_that_dies_with_its_first_event_goes_on(site: ["v1", "v1", "v1"], 1) {
        // A third crash of one content would have it refused.
        for _ in 0..2 {
            let id = site.id();
            let req = site.generation(0, "/log/a", LONG, &id);
            let kill = async {
                let runs = async {
                    while site.record.runs_of(&id).is_empty() {
                        tokio::task::yield_now().await;
                    }
                };
                tokio::time::timeout(Duration::from_secs(30), runs).await.unwrap();
                let engine = site.engine_of(&id).await;
                site.engines[engine].kill();
                engine
            };
            let (body, engine) = futures_util::future::join(read(req, LONG), kill).await;
            assert_eq!(last_event(&body), Some(LONG), "{}", site.log(0));
            let number = site.engines.len();
            site.start_engine(u8::try_from(number).unwrap()).await;
            list(&site, number, "ready");
            site.store.remove("servers", &site.engines[engine].instance());
            let gone = format!("event=upstream_leaves instance={}", site.engines[engine].instance());
            let came = format!("event=upstream_came instance={}", site.engines[number].instance());
            let both = || async { site.log(0).contains(&gone) && site.log(0).contains(&came) };
            until("the replacement", both).await;
        }
    }

    crashed_resumable_stream_stays_off_another_version(site: ["v1", "v2"], 1) {
        let id = site.id();
        let req = site.stream(0, "/grade/a", LONG, &id);
        let (body, _) = harm_engine(&site, req, &id, async |e| site.engines[e].kill()).await;
        assert_eq!(versions(&[&body]).len(), 1, "{body}");
        assert!(last_event(&body) < Some(LONG), "{body}");
    }

    stream_of_a_leaving_engine_is_not_moved_to_another_version(site: ["v1", "v2"], 1) {
        let id = site.id();
        let req = site.large_prompt(0, "/log/a", LONG, &id);
        let (body, _) = harm_engine(&site, req, &id, async |e| list(&site, e, "draining")).await;
        assert_eq!(versions(&[&body]).len(), 1, "{body}");
        assert_eq!(last_event(&body), Some(LONG), "{body}");
        assert_eq!(site.record.copy_count(), 0);
    }

    standby_copies_stay_at_the_version(site: ["v1", "v2"], 1) {
        site.store.set_mode(StoreMode::Silent);
        until("the watch", || async { site.log(0).contains("event=departure_watch active=true") }).await;
        let id = site.id();
        let req = site.large_prompt(0, "/log/a", LONG, &id);
        let (body, _) = harm_engine(&site, req, &id, async |e| {
            site.engines[e].report_leaving(1_500);
            tokio::time::sleep(Duration::from_millis(600)).await;
            site.engines[e].kill();
        }).await;
        assert_eq!(versions(&[&body]).len(), 1, "{body}");
        assert_eq!(site.record.copy_count(), 0);
    }

    streams_taken_up_at_another_entry_stay_at_their_version(site: ["v1", "v2", "v1", "v2"], 2) {
        assert_eq!(take_streams_up(&site, 0, 1).await, TAKE_UPS);
    }

    streams_taken_up_after_their_entry_died_stay_at_their_version(site: ["v1", "v2", "v1", "v2"], 3) {
        let mut begun = Vec::new();
        for _ in 0..TAKE_UPS {
            let first = site.id();
            let body = begin(&site, 0, &first).await;
            begun.push((first, body));
        }
        site.entries[0].kill();
        for (first, body) in begun {
            let rest = read(take_up(&site, 1, &site.id(), Some(&first), &body), SHORT).await;
            assert_eq!(versions(&[&body, &rest]).len(), 1, "{body}{rest}");
            assert_eq!(last_event(&rest), Some(SHORT), "{rest}");
        }
    }

    stream_goes_on_when_its_entry_and_two_owners_are_lost(site: ["v1", "v2", "v1", "v2"], 5) {
        let first = site.id();
        let begun = begin(&site, 0, &first).await;
        for entry in 0..3 {
            site.entries[entry].kill();
        }
        let rest = read(take_up(&site, 3, &site.id(), Some(&first), &begun), SHORT).await;
        assert_eq!(versions(&[&begun, &rest]).len(), 1, "{begun}{rest}");
        assert_eq!(last_event(&rest), Some(SHORT), "{rest}");
    }

    stream_whose_entry_and_owners_are_lost_is_refused(site: ["v1", "v2", "v1", "v2"], 2) {
        let first = site.id();
        let begun = begin(&site, 0, &first).await;
        site.entries[0].kill();
        site.entries[1].kill();
        site.entries[1].start();
        site.until_ready(1).await;
        let answer = take_up(&site, 1, &site.id(), Some(&first), &begun).send().await.unwrap();
        assert_eq!(outcome(&answer), (503, Some(2022)));
    }

    stream_goes_on_at_the_last_engine_of_a_drained_version(site: ["v1", "v2"], 2) {
        let first = site.id();
        let begun = begin(&site, 0, &first).await;
        let engine = site.engine_of(&first).await;
        list(&site, engine, "draining");
        let leaves = format!("event=upstream_leaves instance={}", site.engines[engine].instance());
        until("the notice", || async { site.log(1).contains(&leaves) }).await;
        let rest = read(take_up(&site, 1, &site.id(), Some(&first), &begun), SHORT).await;
        assert_eq!(versions(&[&begun, &rest]).len(), 1, "{begun}{rest}");
        assert_eq!(last_event(&rest), Some(SHORT), "{rest}");
    }

    stream_whose_version_nobody_knows_is_refused(site: ["v1", "v2", "v1", "v2"], 2) {
        let begun = begin(&site, 0, &site.id()).await;
        for first in [None, Some("never-seen")] {
            let id = site.id();
            let answer = take_up(&site, 1, &id, first, &begun).send().await.unwrap();
            assert_eq!(outcome(&answer).0, 503, "{first:?}");
            assert!(site.record.runs_of(&id).is_empty());
        }
    }

    stream_of_an_engine_without_a_version_goes_on_nowhere(site: ["", ""], 1) {
        let id = site.id();
        let req = site.generation(0, "/log/a", LONG, &id);
        let (body, _) = harm_engine(&site, req, &id, async |e| site.engines[e].kill()).await;
        assert!(last_event(&body) < Some(LONG), "{body}");
    }

    stream_taken_up_stays_off_an_id_that_came_back_at_another_version(site: ["v1", "v2"], 2) {
        site.store.remove("servers", &site.engines[1].instance());
        for entry in 0..2 {
            until("one engine", || async { site.log(entry).contains("event=upstream_leaves instance=m-1") }).await;
        }
        let first = site.id();
        let begun = begin(&site, 0, &first).await;
        site.engines[0].set_version("v3");
        site.engines[0].restart().await.unwrap();
        let id = site.id();
        let rest = read(take_up(&site, 1, &id, Some(&first), &begun), SHORT).await;
        assert_eq!(versions(&[&begun, &rest]).len(), 1, "{begun}{rest}");
    }
}
