//! A real entry whose engines have become cold.
//!
//! All that came went to them at once, as much as they had places.

mod support;

use serde_json::json;
use std::time::Duration;
use support::{KEY, Site, cases, until};

/// Requests to a cold engine that are allowed in any second: 1.5 times what it bears and 5.
const ALLOWED: usize = 6;

/// Time in which an entry that has started learns how many there are.
const ALL_HEARD: Duration = Duration::from_millis(2_300);

fn make_cold(site: &Site, engine: usize, millis: u32) {
    let engine = &site.engines[engine];
    let mut entry = engine.registration("models", "ready");
    entry["cold_remaining_ms"] = json!(millis);
    site.store.put("servers", &engine.instance(), &entry);
}

async fn until_cold(site: &Site) {
    until("cold engines", || async {
        let (_, shown) = site.operate(0, &["entries", "upstreams"]).await;
        shown.matches(" cold ").count() == site.engines.len()
    })
    .await;
}

/// Sends generations at once; gives how many ran and how many were told to come back.
async fn send_at_once(site: &Site, count: usize) -> (usize, usize) {
    let ids: Vec<String> = (0..count).map(|_| site.id()).collect();
    let sent = ids
        .iter()
        .map(|id| site.generation(0, "/log/a", 2, id).send());
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
        tokio::time::sleep(ALL_HEARD).await;
        make_cold(&site, 0, 60_000);
        make_cold(&site, 1, 60_000);
        until_cold(&site).await;
        let (ran, refused) = send_at_once(&site, 30).await;
        assert!((1..=2 * ALLOWED).contains(&ran), "{ran} ran");
        assert_eq!(ran + refused, 30);
    }

    warm_engine_takes_what_a_cold_one_may_not_get(site: 1) {
        site.cold_per_s = 1.0;
        site.publish(&[KEY]);
        make_cold(&site, 0, 60_000);
        make_cold(&site, 1, 0);
        until("the cold engine", || async {
            site.operate(0, &["entries", "upstreams"]).await.1.contains(" cold ")
        })
        .await;
        let (ran, refused) = send_at_once(&site, 8).await;
        assert_eq!((ran, refused), (8, 0));
        let runs = site.record.runs();
        let on_cold = runs.iter().filter(|run| run.instance == "m-0").count();
        assert!(on_cold <= ALLOWED, "{on_cold}");
    }
}
