//! Real entries before an upstream in need, which names the rate that it takes from all of them.

mod support;

use std::time::{Duration, Instant};
use support::{Site, cases, until};

/// Header in which an upstream names its rate.
const RATE_LIMIT: &str = "Server-Limit";

/// Span in which requests to a limited upstream are counted: the users' bound.
const SPAN: Duration = Duration::from_secs(4);

/// Requests in that span that the rule allows an upstream that named 2 a second: half more than
/// that, and 5.
const ALLOWED: usize = 17;

/// Calls that each entry is sent for so long, one after the other at even times.
async fn call_all(site: &Site, per_second: u32, span: Duration) {
    let end = Instant::now() + span;
    let calls = (0..site.entries.len()).map(|entry| async move {
        while Instant::now() < end {
            let call = site.call(entry, "GET", "/fetch/a", &site.id());
            // What callers get is checked elsewhere.
            let _ = call.send().await;
            tokio::time::sleep(Duration::from_secs(1) / per_second).await;
        }
    });
    futures_util::future::join_all(calls).await;
}

/// Most runs of an upstream within [`SPAN`], of those that began later than `from`.
fn busiest_span(site: &Site, instance: &str, from: Instant) -> usize {
    let runs = site.record.runs();
    let began = runs.iter().filter(|r| r.instance == instance);
    let mut began: Vec<Instant> = began.map(|r| r.began).filter(|b| *b > from).collect();
    began.sort_unstable();
    let mut most = 0;
    for (i, first) in began.iter().enumerate() {
        let within = began[i..].iter().take_while(|b| **b < *first + SPAN);
        most = most.max(within.count());
    }
    most
}

/// Waits until an entry shows that a plain upstream is limited, or no longer.
async fn until_limited(site: &Site, entry: usize, is_limited: bool) {
    until("word of the limit", || async {
        let (_, shown) = site.operate(entry, &["entries", "upstreams"]).await;
        shown.contains(" limited ") == is_limited
    })
    .await;
}

cases! {
    entry_hears_of_a_limit_and_of_its_end_from_another_one(site: 2) {
        let only = &site.plains[0];
        site.store.put("servers", "p-1", &site.plains[1].entry("records", "draining"));
        only.say(RATE_LIMIT, Some("50"));
        // The call may go to the upstream that leaves until that has been heard of.
        until("an answer that names the limit", || async {
            let id = site.id();
            site.call(0, "GET", "/fetch/a", &id).send().await.unwrap();
            let (_, shown) = site.operate(0, &["entries", "upstreams"]).await;
            shown.contains(" limited ")
        })
        .await;
        until_limited(&site, 1, true).await;
        only.say(RATE_LIMIT, None);
        site.call(0, "GET", "/fetch/a", &site.id()).send().await.unwrap();
        until_limited(&site, 1, false).await;
    }

    limited_upstream_gets_no_more_than_it_named_from_all_entries(site: 3) {
        site.plains[0].say(RATE_LIMIT, Some("2"));
        call_all(&site, 20, Duration::from_millis(1_500)).await;
        let told_at = Instant::now();
        call_all(&site, 20, Duration::from_secs(5)).await;
        let most = busiest_span(&site, "p-0", told_at);
        assert!(most <= ALLOWED, "{most} within {SPAN:?}");
    }
}
