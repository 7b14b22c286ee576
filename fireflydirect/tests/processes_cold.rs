//! An entry process with cold engines.
//!
//! Guards against sending cold engines as many requests at once as they have slots.

mod support;

use serde_json::json;
use std::time::Duration;
use support::{KEY, Site, cases, until};

/// Requests allowed to a cold engine in any second: 1.5 times its cold rate of 1, plus 5.
const MAX_COLD_REQUESTS: usize = 6;

/// Time in which a started entry discovers the number of entries.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(2_300);

fn make_cold(site: &Site, engine: usize, millis: u32) {
    let engine = &site.engines[engine];
    let mut entry = engine.registration("models", "ready");
    entry["cold_remaining_ms"] = json!(millis);
    site.store.put("servers", &engine.instance(), &entry);
}

async fn until_cold(site: &Site, entry: usize) {
    until("cold engines", || async {
        let (_, shown) = site.run_fireflyctl(entry, &["entries", "upstreams"]).await;
        shown.matches(" cold ").count() == site.engines.len()
    })
    .await;
}

/// Sends generations at once; returns how many ran and how many were refused with a retry delay.
async fn send_at_once(site: &Site, entry: usize, count: usize) -> (usize, usize) {
    let ids: Vec<String> = (0..count).map(|_| site.id()).collect();
    let sent = ids
        .iter()
        .map(|id| site.generation(entry, "/log/a", 2, id).send());
    let answers = futures_util::future::join_all(sent).await;
    let refused = answers.iter().filter(|answer| {
        let answer = answer.as_ref().unwrap();
        answer.status() == 503 && answer.headers().contains_key("retry-after")
    });
    let refused = refused.count();
    let runs: usize = ids.iter().map(|id| site.record.runs_of(id).len()).sum();
    (runs, refused)
}

cases! {
    cold_engines_get_what_they_bear_and_the_rest_is_told_to_come_back(site: 1) {
        site.cold_per_s = 1.0;
        site.publish(&[KEY]);
        tokio::time::sleep(PEER_DISCOVERY_TIME).await;
        make_cold(&site, 0, 60_000);
        make_cold(&site, 1, 60_000);
        until_cold(&site, 0).await;
        let (ran, refused) = send_at_once(&site, 0, 30).await;
        assert!((1..=2 * MAX_COLD_REQUESTS).contains(&ran), "{ran} ran");
        assert_eq!(ran + refused, 30);
    }

    warm_engine_takes_what_a_cold_one_may_not_get(site: 1) {
        site.cold_per_s = 1.0;
        site.publish(&[KEY]);
        make_cold(&site, 0, 60_000);
        make_cold(&site, 1, 0);
        until("the cold engine", || async {
            site.run_fireflyctl(0, &["entries", "upstreams"]).await.1.contains(" cold ")
        })
        .await;
        let (ran, refused) = send_at_once(&site, 0, 8).await;
        assert_eq!((ran, refused), (8, 0));
        let runs = site.record.runs();
        let on_cold = runs.iter().filter(|run| run.instance == "m-0").count();
        assert!(on_cold <= MAX_COLD_REQUESTS, "{on_cold}");
    }

    cold_engines_get_no_more_from_entries_that_had_stale_seeds(site: 1) {
        site.cold_per_s = 1.0;
        site.publish(&[KEY]);
        site.add_strangers().await;
        site.correct_seeds().await;
        tokio::time::sleep(PEER_DISCOVERY_TIME).await;
        make_cold(&site, 0, 60_000);
        make_cold(&site, 1, 60_000);
        for entry in 0..3 {
            until_cold(&site, entry).await;
        }
        let sent = futures_util::future::join_all((0..3).map(|entry| send_at_once(&site, entry, 20)));
        let (ran, refused): (Vec<usize>, Vec<usize>) = sent.await.into_iter().unzip();
        let ran: usize = ran.iter().sum();
        assert!((1..=2 * MAX_COLD_REQUESTS).contains(&ran), "{ran} ran");
        assert_eq!(ran + refused.iter().sum::<usize>(), 60);
    }
}
