//! Entry processes with a rate-limited upstream, which states the rate that it accepts from all of
//! them.

mod support;

use standins::site::AnswerFault;
use std::time::{Duration, Instant};
use support::{Site, cases, outcome, until};

/// Header of an upstream's rate limit.
const RATE_LIMIT: &str = "Server-Limit";

/// Window in which requests to a rate-limited upstream are counted, as users require.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// Requests allowed in that window at a limit of 2 per second: 1.5 times the limit, plus 5.
const MAX_LIMITED_REQUESTS: usize = 17;

/// Metric of the retries that an entry may still grant for plain calls.
const RETRIES_LEFT: &str = "firefly_direct_repeats_left{service=\"records\"}";

/// Retries at one entry that leave fewer to another.
const SHARED_RETRIES: u32 = 10;

/// Time in which a started entry discovers the number of entries.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(2_300);

/// Sends each entry sequential calls at even intervals for `span`.
async fn call_all(site: &Site, per_second: u32, span: Duration) {
    let end = Instant::now() + span;
    let calls = (0..site.entries.len()).map(|entry| async move {
        while Instant::now() < end {
            let call = site.call(entry, "GET", "/fetch/a", &site.id());
            // Answers are checked elsewhere.
            let _ = call.send().await;
            tokio::time::sleep(Duration::from_secs(1) / per_second).await;
        }
    });
    futures_util::future::join_all(calls).await;
}

/// Returns the maximum number of an upstream's runs within [`RATE_WINDOW`], among those that began
/// after `from`.
fn max_runs_in_window(site: &Site, instance: &str, from: Instant) -> usize {
    let runs = site.record.runs();
    let began = runs.iter().filter(|r| r.instance == instance);
    let mut began: Vec<Instant> = began.map(|r| r.began).filter(|b| *b > from).collect();
    began.sort_unstable();
    let mut most = 0;
    for (i, first) in began.iter().enumerate() {
        let within = began[i..].iter().take_while(|b| **b < *first + RATE_WINDOW);
        most = most.max(within.count());
    }
    most
}

/// Waits until an entry shows a rate-limited upstream, or none any more.
async fn until_limited(site: &Site, entry: usize, is_limited: bool) {
    until("the limit's state", || async {
        let (_, shown) = site.run_fireflyctl(entry, &["entries", "upstreams"]).await;
        shown.contains(" limited ") == is_limited
    })
    .await;
}

cases! {
    entry_hears_of_a_limit_and_of_its_end_from_another_one(site: 2) {
        let only = &site.plains[0];
        site.store.put("servers", "p-1", &site.plains[1].registration("records", "draining"));
        only.set_header(RATE_LIMIT, Some("50"));
        // The call may go to the departing upstream until its leave notice has arrived.
        until("an answer that names the limit", || async {
            let id = site.id();
            site.call(0, "GET", "/fetch/a", &id).send().await.unwrap();
            let (_, shown) = site.run_fireflyctl(0, &["entries", "upstreams"]).await;
            shown.contains(" limited ")
        })
        .await;
        until_limited(&site, 1, true).await;
        only.set_header(RATE_LIMIT, None);
        // An entry that has just started has no share of the rate and refuses.
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
        tokio::time::sleep(PEER_DISCOVERY_TIME).await;
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
        tokio::time::sleep(PEER_DISCOVERY_TIME).await;
        // Each call may have two attempts; four requests are allowed once the rate is known.
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
        tokio::time::sleep(PEER_DISCOVERY_TIME).await;
        for i in 0..40 {
            let call = site.call(i % 2, "POST", "/file/a", &site.id());
            assert_eq!(call.send().await.unwrap().status(), 200);
        }
        let runs = site.record.runs();
        let limited = runs.iter().filter(|run| run.instance == "p-0").count();
        // Each entry has to receive the limit first.
        assert!(limited <= 2 + 4, "{limited}");
    }

    callers_of_limited_upstreams_alone_are_told_at_once_when_to_come_back(site: 1) {
        site.plains[0].set_header(RATE_LIMIT, Some("1"));
        site.plains[1].set_header(RATE_LIMIT, Some("1"));
        tokio::time::sleep(PEER_DISCOVERY_TIME).await;
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
        let limit_known_at = Instant::now();
        call_all(&site, 20, Duration::from_secs(5)).await;
        let most = max_runs_in_window(&site, "p-0", limit_known_at);
        assert!(most <= MAX_LIMITED_REQUESTS, "{most} within {RATE_WINDOW:?}");
    }

    retries_and_limits_are_shared_by_entries_that_had_stale_seeds(site: 1) {
        site.add_strangers().await;
        let alone = site.metric(2, RETRIES_LEFT).await;
        site.correct_seeds().await;
        for plain in &site.plains {
            plain.set_fault(AnswerFault::Error);
        }
        for _ in 0..SHARED_RETRIES {
            site.call(1, "GET", "/fetch/a", &site.id()).send().await.unwrap();
        }
        for plain in &site.plains {
            plain.set_fault(AnswerFault::None);
        }
        until("the retries of the other entry", || async {
            site.metric(2, RETRIES_LEFT).await <= alone - f64::from(SHARED_RETRIES) / 2.0
        })
        .await;
        for plain in &site.plains {
            plain.set_header(RATE_LIMIT, Some("2"));
        }
        let begun = Instant::now();
        call_all(&site, 10, Duration::from_secs(7)).await;
        for plain in &site.plains {
            let most = max_runs_in_window(&site, &plain.instance(), begun + Duration::from_secs(1));
            assert!((1..=MAX_LIMITED_REQUESTS).contains(&most), "{most}");
        }
    }
}
