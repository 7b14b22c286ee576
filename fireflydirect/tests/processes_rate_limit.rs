//! Real entries before an upstream in need, which names the rate that it takes from all of them.

mod support;

use standins::site::AnswerFault;
use std::time::{Duration, Instant};
use support::{Site, cases, outcome, until};

/// Header in which an upstream names its rate.
const RATE_LIMIT: &str = "Server-Limit";

/// Span in which requests to a limited upstream are counted: the users' bound.
const SPAN: Duration = Duration::from_secs(4);

/// Requests in that span that the rule allows an upstream that named 2 a second: half more than
/// that, and 5.
const ALLOWED: usize = 17;

/// Time in which an entry that has started learns how many there are.
const ALL_HEARD: Duration = Duration::from_millis(2_300);

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
        site.store.put("servers", "p-1", &site.plains[1].registration("records", "draining"));
        only.set_header(RATE_LIMIT, Some("50"));
        // The call may go to the upstream that leaves until that has been heard of.
        until("an answer that names the limit", || async {
            let id = site.id();
            site.call(0, "GET", "/fetch/a", &id).send().await.unwrap();
            let (_, shown) = site.operate(0, &["entries", "upstreams"]).await;
            shown.contains(" limited ")
        })
        .await;
        until_limited(&site, 1, true).await;
        only.set_header(RATE_LIMIT, None);
        // An entry that has just started has no share of a rate and refuses.
        until("a call that is served", || async {
            let call = site.call(0, "GET", "/fetch/a", &site.id());
            call.send().await.unwrap().status() == 200
        })
        .await;
        until_limited(&site, 1, false).await;
    }

    answer_that_failed_lifts_no_limit(site: 1) {
        let upstream = &site.plains[0];
        site.store.put("servers", "p-1", &site.plains[1].registration("records", "draining"));
        upstream.set_header(RATE_LIMIT, Some("50"));
        tokio::time::sleep(ALL_HEARD).await;
        site.call(0, "POST", "/file/a", &site.id()).send().await.unwrap();
        until_limited(&site, 0, true).await;
        upstream.set_header(RATE_LIMIT, None);
        upstream.set_fault(AnswerFault::Error);
        let failed = site.call(0, "POST", "/file/a", &site.id()).send().await.unwrap();
        assert_eq!(failed.status(), 500);
        until_limited(&site, 0, true).await;
        upstream.set_fault(AnswerFault::None);
        site.call(0, "POST", "/file/a", &site.id()).send().await.unwrap();
        until_limited(&site, 0, false).await;
    }

    failure_of_an_upstream_reaches_its_caller_when_nobody_else_may_be_asked(site: 1) {
        site.store.put("servers", "p-1", &site.plains[1].registration("records", "draining"));
        site.plains[0].set_header(RATE_LIMIT, Some("1"));
        site.plains[0].set_fault(AnswerFault::Error);
        tokio::time::sleep(ALL_HEARD).await;
        // Each call may be tried twice; four requests are allowed once the rate is known.
        for _ in 0..3 {
            let id = site.id();
            let answer = site.call(0, "GET", "/fetch/a", &id).send().await.unwrap();
            assert_eq!(answer.status(), 500);
            assert!(answer.headers().contains_key("x-response-seal"));
        }
        assert_eq!(site.record.runs().len(), 1 + 4);
    }

    callers_are_served_by_the_upstream_that_is_not_limited(site: 2) {
        site.plains[0].set_header(RATE_LIMIT, Some("1"));
        tokio::time::sleep(ALL_HEARD).await;
        for i in 0..40 {
            let call = site.call(i % 2, "POST", "/file/a", &site.id());
            assert_eq!(call.send().await.unwrap().status(), 200);
        }
        let runs = site.record.runs();
        let limited = runs.iter().filter(|run| run.instance == "p-0").count();
        // Each entry has to hear of it first.
        assert!(limited <= 2 + 4, "{limited}");
    }

    callers_of_limited_upstreams_alone_are_told_at_once_when_to_come_back(site: 1) {
        site.plains[0].set_header(RATE_LIMIT, Some("1"));
        site.plains[1].set_header(RATE_LIMIT, Some("1"));
        tokio::time::sleep(ALL_HEARD).await;
        let mut served = 0;
        for _ in 0..30 {
            let id = site.id();
            let answer = site.call(0, "POST", "/file/a", &id).send().await.unwrap();
            if answer.status() == 200 {
                served += 1;
                continue;
            }
            assert_eq!(outcome(&answer), (503, Some(2011)));
            let wait = answer.headers()["retry-after"].to_str().unwrap();
            let wait: f64 = wait.parse().unwrap();
            assert!((0.1..=1.0).contains(&wait), "{wait}");
            assert!(site.record.runs_of(&id).is_empty());
        }
        assert!((8..30).contains(&served), "{served}");
    }

    limited_upstream_gets_no_more_than_it_named_from_all_entries(site: 3) {
        site.plains[0].set_header(RATE_LIMIT, Some("2"));
        call_all(&site, 20, Duration::from_millis(1_500)).await;
        let told_at = Instant::now();
        call_all(&site, 20, Duration::from_secs(5)).await;
        let most = busiest_span(&site, "p-0", told_at);
        assert!(most <= ALLOWED, "{most} within {SPAN:?}");
    }
}
